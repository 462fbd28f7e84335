/* Event queue of a simulated fleet, ordered by time. */
#ifndef RATE_EVENTS_H
#define RATE_EVENTS_H

#include "rate.h"

enum event_type {
	EVENT_ASK,
	EVENT_GRANT,
	EVENT_VERSION,
	EVENT_ACTIVATE,
	EVENT_HEARTBEAT,
	EVENT_TICK,
	/* A paused process resumes and sends an admitted request. */
	EVENT_SEND,
};

struct event {
	int64_t at;
	/* Breaks ties between events of the same time. */
	uint64_t number;
	enum event_type type;
	uint32_t from;
	uint32_t to;
	/* Process that may receive the event; 0 for any process there. */
	uint64_t process;
	uint32_t version;
	union {
		struct rate_ask ask;
		struct rate_grant grant;
		struct {
			uint32_t account;
			struct rate_decision decision;
		} send;
	} u;
};

struct events {
	struct event **heap;
	size_t count, cap;
	uint64_t last_number;
};

/* Adds a copy of the event. */
void events_add(struct events *q, const struct event *event);
/* Time of the next event; INT64_MAX when the queue is empty. */
int64_t events_next(const struct events *q);
/* Removes the next event. The caller frees it. */
struct event *events_take(struct events *q);
void events_release(struct events *q);

#endif
