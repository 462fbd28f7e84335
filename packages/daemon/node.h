/*
 * State of the data task. Each concern has a struct of its own and reaches the
 * others through this one; everything runs on the thread of the event loop.
 */
#ifndef NODE_H
#define NODE_H

#include "control.h"
#include "daemon.h"
#include "dialect.h"
#include "http.h"
#include "messages.h"
#include "metrics.h"
#include "overload.h"
#include "peer.h"
#include "rate.h"
#include "retry.h"
#include "routing.h"

#include <event2/event.h>

struct admin;
struct claims;
struct entry;
struct guard;
struct membership;
struct onward;
struct roster;
struct quarantine;
struct rate_limiter;
struct seeds;
struct spans;
struct vm_list;

struct node {
	const struct daemon_settings *settings;
	const struct daemon_dialect *dialect;
	struct event_base *base;
	struct base_log *log;
	struct base_counters *counters;
	struct metrics *metrics;
	struct base_rand rnd;
	/** Greater after each start. */
	uint64_t incarnation;
	int64_t started_at;
	/** Last time the loop is known to have run. */
	int64_t touched_at;
	/** The end of a pause was seen and the sockets are not drained yet. */
	int64_t paused_us;
	struct event *wake_event;
	/** The peer sockets were drained; callers that hung up are next. */
	bool wake_drained;

	/** In force; NULL until the first activation. */
	const struct config_snapshot *snapshot;
	struct publication *publication;
	/** Of the own VM in the snapshot; NULL when it is not in it. */
	const struct config_vm *self;

	struct base_mailbox *inbox;
	struct control *control;
	struct peer_transport *transport;
	struct roster *roster;
	struct routing_table *routing;
	struct overload_throttle *throttle;
	struct retry_budget budget;

	struct http_server *callers;
	struct membership *membership;
	struct seeds *seeds;
	struct vm_list *vm_list;
	struct guard *guard;
	struct entry *entry;
	struct onward *onward;
	struct claims *claims;
	struct quarantine *quarantine;
	struct rate_limiter *rate_limiter;
	struct spans *spans;
	struct admin *admin;

	/** The last refused set and conflict, for status. */
	struct base_buf last_refused;
	struct base_buf last_conflict;
	bool platform_up;
	bool draining;
	/** What is open then is refused, as the daemon stops; 0 when it runs.
	 */
	int64_t drain_deadline;
};

/** Adds to the counter of that name. */
void node_counter_add(struct node *node, const char *name);
/** Link to a VM's daemon, opened when there is none; NULL for the own one. */
struct peer_link *node_get_link(struct node *node, const struct config_vm *vm);
/**
 * Notes that the loop runs. Interfaces call it before they act on input: after
 * a pause of the process, no work is started until the sockets were drained.
 */
void node_detect_pause(struct node *node, int64_t now);
bool node_is_resuming(const struct node *node);
/** True for the VM that this daemon runs on. */
bool node_is_self(const struct node *node, const struct config_vm *vm);

#endif
