/* Events of a simulated fleet in the order of their time. */
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
	/* An admitted request is about to be sent. */
	EVENT_SEND,
};

struct event {
	int64_t at;
	/* Order of events of the same time. */
	uint64_t number;
	enum event_type type;
	uint32_t from;
	uint32_t to;
	/* Process that an own event belongs to; others reach any process. */
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

/* Adds a copy. */
void events_add(struct events *q, const struct event *event);
/* Time of the next event, INT64_MAX when there is none. */
int64_t events_next(const struct events *q);
/* The caller frees the event. */
struct event *events_take(struct events *q);
void events_release(struct events *q);

#endif
