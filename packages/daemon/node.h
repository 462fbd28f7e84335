/*
 * State of the data task. Each component keeps its state in a struct of its own
 * and reaches the other components through struct node. Everything here is used
 * on the thread of the event loop only.
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
	/** Wall-clock time of the start in ms, so it grows with each start. */
	uint64_t incarnation;
	int64_t started_at;
	/** Time of the last node_detect_pause(). */
	int64_t last_loop_run_at;
	/**
	 * Length of the pause that the daemon is resuming from; 0 when it is
	 * not resuming.
	 */
	int64_t paused_us;
	struct event *resume_event;
	/**
	 * While resuming: the messages that peers sent during the pause were
	 * received, and disconnects of callers are read next.
	 */
	bool peers_drained;

	/** The active configuration; NULL until the first activation. */
	const struct config_snapshot *snapshot;
	struct publication *publication;
	/** The own VM in the snapshot; NULL when the snapshot lacks it. */
	const struct config_vm *self;

	struct base_mailbox *inbox;
	struct control *control;
	struct peer_transport *transport;
	struct roster *roster;
	struct routing_table *routing;
	struct overload_throttle *throttle;
	/** NULL without admission control for call graphs. */
	struct overload_graph *graph;
	struct retry_budget budget;

	/** Of callers, the onward interface and the guard. */
	struct http_request_budget *request_budget;
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

	/** When a drop of each cause (enum http_request_drop) was logged. */
	int64_t drop_logged_at[3];

	/** Last refused configuration and last conflict, for /status. */
	struct base_buf last_refused;
	struct base_buf last_conflict;
	bool platform_up;
	/**
	 * On a relay: when its configuration last had all changes of the
	 * platform, by its own calls, and since when the platform has answered
	 * it without an outage; 0 before any answer.
	 */
	int64_t platform_current_at;
	int64_t platform_steady_since;
	bool draining;
	/**
	 * During a planned stop, the time at which open requests are refused;
	 * otherwise 0.
	 */
	int64_t drain_deadline;
	/**
	 * During a planned stop, the time until which callers and peers may not
	 * have noticed it; otherwise 0.
	 */
	int64_t drain_noticed_at;
};

/** Adds 1 to the counter of that name. */
void node_counter_add(struct node *node, const char *name);
/**
 * Returns the link to the daemon of a VM and opens it if there is none. The
 * membership owns the link.
 * @return NULL when no link can be opened, as to the own daemon
 */
struct peer_link *node_get_link(struct node *node, const struct config_vm *vm);
/**
 * Records that the event loop runs and detects that the process was paused.
 * Interfaces call it before they handle input: after a pause, no work starts
 * until the input that arrived meanwhile was read.
 */
void node_detect_pause(struct node *node, int64_t now);
/** True from the detection of a pause until its input was read. */
bool node_is_resuming(const struct node *node);
/** Bytes of answers that callers and peers have not taken yet. */
size_t node_unsent_answer_bytes(const struct node *node);
/** Logs that an HTTP server has replaced a response with this status by 502. */
void node_log_invalid_response(struct node *node, int status);
/** True for the VM on which this daemon runs. */
bool node_is_self(const struct node *node, const struct config_vm *vm);

#endif
