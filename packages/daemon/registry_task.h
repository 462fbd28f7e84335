/*
 * The control task's work on a platform with a registry: the mirror is kept up
 * from the platform and from peers, and what it decodes to is activated.
 */
#ifndef REGISTRY_TASK_H
#define REGISTRY_TASK_H

#include "registry.h"

struct registry_task;
struct event_base;

struct registry_task_settings {
	const char *platform;
	/** "IP:PORT"; peers listen on the same port. */
	const char *peer_listen;
	const char *region;
	/** Time for which a leaving server still takes requests. */
	int64_t leave_us;
	const struct registry_codec *codec;
	/** Receives struct data_message. */
	struct base_mailbox *outbox;
	struct base_log *log;
	struct base_counters *counters;
};

struct registry_task *
registry_task_create(struct event_base *base,
		     const struct registry_task_settings *settings,
		     struct base_error *err);
void registry_task_destroy(struct registry_task *t);
/** A peer's mirror has this revision. */
void registry_task_on_peer_version(struct registry_task *t, int64_t revision,
				   int64_t now);
/** A peer answered a fetch of its manifest or of a part. */
void registry_task_on_peer_value(struct registry_task *t,
				 const struct control_message *m, int64_t now);
/** To be called about every 100 ms. */
void registry_task_tick(struct registry_task *t, int64_t now);

#endif
