/*
 * The control task's work on a platform with a registry: keeps the mirror up to
 * date from the platform and from peers, and activates each configuration that
 * it decodes to.
 */
#ifndef REGISTRY_TASK_H
#define REGISTRY_TASK_H

#include "registry.h"

struct registry_task;
struct event_base;

struct registry_task_settings {
	const char *platform;
	/** "IP:PORT"; the peer interface of every daemon has this port. */
	const char *peer_listen;
	const char *region;
	/** Time for which a leaving backend server still takes requests. */
	int64_t leave_us;
	/** Interval in which a backend server writes its entry. */
	int64_t beat_us;
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
/** Relays read the platform; other daemons do when the relays do not. */
void registry_task_set_role(struct registry_task *t, bool relay, int64_t now);
/** A relay that reads the platform announced the revision of its mirror. */
void registry_task_on_announcement(struct registry_task *t,
				   const struct control_message *m,
				   int64_t now);
/** A peer reported the revision of its mirror. */
void registry_task_on_peer_version(struct registry_task *t, int64_t revision,
				   int64_t now);
/** A peer answered a request for its changes, its manifest or a part. */
void registry_task_on_peer_value(struct registry_task *t,
				 const struct control_message *m, int64_t now);
/** To be called about every 100 ms. */
void registry_task_tick(struct registry_task *t, int64_t now);

#endif
