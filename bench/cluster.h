/*
 * State of a simulation run: backend servers with their daemons, the calls
 * between them, and the callers. Times are microseconds of simulated time.
 */
#ifndef BENCH_CLUSTER_H
#define BENCH_CLUSTER_H

#include "measure.h"
#include "model.h"
#include "overload.h"
#include "sim.h"

#include <sys/queue.h>

#define CLUSTER_SERVERS_MAX 20

struct policy {
	const char *name;
	/* A guard admits and queues the work of each server. */
	bool guard;
	/* The limit is constant; no cold-start ramp, priorities or accounts. */
	bool fixed_limit;
	/* Entries refuse requests by the cutoffs that servers report. */
	bool throttle;
	/* The server is chosen by reported load, otherwise round-robin. */
	bool balance_by_load;
	/* Hops use the deadline of the request, else HOP_TIMEOUT_US. */
	bool propagate_deadlines;
	/* Retries of a hop; with a budget, one per attempt on all hops. */
	int retries;
	bool retry_budget;
};

enum call_state {
	CALL_SENT,
	CALL_ACCEPTED,
	CALL_RUNNING,
	CALL_ENDED,
};

/** Outcome of a call in its response. */
enum result {
	RESULT_OK,
	/** Not run; another server may run it. */
	RESULT_REFUSED,
	/** Timed out; too late for another server. */
	RESULT_EXPIRED,
	RESULT_FAILED,
	RESULT_LOST,
};

/** A request of a caller, with all its attempts. */
struct request {
	struct cluster *cluster;
	const struct model_route *route;
	uint32_t route_index;
	uint32_t account;
	int64_t arrived_at;
	int64_t deadline;
	int attempts;
	/* Attempt in progress or 0; results of others are ignored. */
	int current_attempt;
	bool done;
	bool retried;
	int refs;
};

/** One hop of an attempt, at the daemon that sends it. */
struct hop {
	struct request *request;
	struct server *from;
	/* The call that waits for this hop; NULL for the first. */
	struct call *parent;
	struct call *call;
	int attempt;
	int depth;
	int tries;
	int64_t timeout_at;
	bool done;
	int refs;
};

/** One try of a hop at a server. */
struct call {
	struct hop *hop;
	struct server *server;
	enum call_state state;
	enum result result;
	/* Strictest cutoff of this server and the onward calls. */
	int32_t cutoff;
	uint32_t load;
	uint32_t limit;
	int64_t held_at;
	int64_t onward_at;
	bool second_half;
	int refs;
	TAILQ_ENTRY(call) link;
};

TAILQ_HEAD(call_list, call);

/** State of a server as last reported to an entry in responses. */
struct server_view {
	uint32_t outstanding;
	uint32_t load;
	uint32_t limit;
	int64_t excluded_until;
};

/** A backend server with the daemon beside it. */
struct server {
	struct cluster *cluster;
	uint8_t service;
	uint32_t index;
	int domain;
	bool up;
	int64_t cold_since;
	uint32_t running;
	/*
	 * Calls started beyond the cold capacity since the server became cold.
	 * The server collapses when they exceed half of its slots.
	 */
	uint32_t cold_excess_starts;
	/* Calls that wait for a slot of the server. */
	struct call_list backlog;
	struct call_list running_calls;
	struct overload_guard *guard;
	struct overload_throttle *throttle;
	int64_t timer_at;
	struct server_view views[CLUSTER_SERVERS_MAX];
	uint32_t round_robin_next[MODEL_SERVICES];
	double retry_tokens;
};

struct cluster {
	struct sim sim;
	const struct model *model;
	const struct policy *policy;
	struct server servers[CLUSTER_SERVERS_MAX];
	uint32_t server_count;
	/* Index of the first server of each service. */
	uint32_t first[MODEL_SERVICES];
	/* Idempotent calls at each service: all, and those that run. */
	uint32_t idempotent_held[MODEL_SERVICES];
	uint32_t idempotent_running[MODEL_SERVICES];
	/* Factor on the service time of the slow service. */
	double slowdown;
	/* Requests per second of all callers, before account_factor. */
	double rate;
	double account_factor[MODEL_ACCOUNTS];
	struct measure measure;
};

/* server.c */
void server_init(struct server *server, struct cluster *cluster,
		 uint8_t service, uint32_t index);
void server_release(struct server *server);
/** Handles a call received over the network. Takes over the reference. */
void server_receive(struct server *server, struct call *call);
/** Continues @p call after its onward call has ended. */
void server_onward_done(struct call *call, enum result result, int32_t cutoff);
/** Stops the server process; it restarts cold after @p down_us. */
void server_crash(struct server *server, int64_t down_us);
/** Makes the server cold without a restart that its guard could detect. */
void server_set_cold(struct server *server);

/* hop.c */
/**
 * Sends an attempt or an onward call.
 * @param parent  NULL for an attempt of a caller
 */
void hop_start(struct request *request, struct server *from,
	       struct call *parent, int depth);
/** Sends the response of an ended call. Takes over the reference. */
void hop_send_response(struct call *call);
void call_release(struct call *call);

/* caller.c */
void caller_start(struct cluster *cluster);
void caller_result(struct request *request, int attempt, enum result result);
void request_release(struct request *request);

#endif
