/* One run: servers with their daemons, calls between them, and callers. */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "measure.h"
#include "model.h"
#include "overload.h"
#include "sim.h"

#include <sys/queue.h>

#define WORLD_SERVERS 20

struct policy {
	const char *name;
	/* A guard beside each server; otherwise work goes straight in. */
	bool guard;
	/* The guard has a fixed limit, no ramp, no priorities, no accounts. */
	bool fixed;
	/* Entries refuse early. */
	bool throttle;
	/* Servers are chosen by reported load, otherwise in turn. */
	bool by_load;
	/* Hops end with the deadline of the request, else after their own. */
	bool deadlines;
	/* Tries of a hop after the first; one in all for a chain if budget. */
	int retries;
	bool retry_budget;
};

enum call_state {
	CALL_SENT,
	CALL_HELD,
	CALL_RUNNING,
	CALL_ENDED,
};

/** How an answer reads. */
enum result {
	RESULT_OK,
	/** Not run; another server may take it. */
	RESULT_REFUSED,
	/** Not run, and too late for another server. */
	RESULT_EXPIRED,
	RESULT_FAILED,
	RESULT_LOST,
};

/** One request of a caller, with all its attempts. */
struct request {
	struct world *world;
	const struct model_route *route;
	uint32_t route_index;
	uint32_t account;
	int64_t arrived_at;
	int64_t deadline;
	int attempts;
	/* Number of the attempt under way; answers to others come too late. */
	int current;
	bool done;
	bool retried;
	int refs;
};

/** One hop of an attempt, as its sending daemon sees it. */
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

/** One execution of a hop at a server. */
struct call {
	struct hop *hop;
	struct server *server;
	enum call_state state;
	enum result result;
	/* Strictest cutoff on the way. */
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

/** What an entry knows of a server, from answers. */
struct view {
	uint32_t outstanding;
	uint32_t load;
	uint32_t limit;
	int64_t out_until;
};

/** A backend server with the daemon beside it. */
struct server {
	struct world *world;
	uint8_t service;
	uint32_t index;
	int domain;
	bool up;
	int64_t cold_since;
	uint32_t running;
	uint32_t strain;
	struct call_list held;
	struct call_list active;
	struct overload_guard *guard;
	struct overload_throttle *throttle;
	int64_t wake_at;
	struct view views[WORLD_SERVERS];
	uint32_t turn[MODEL_SERVICES];
	double retry_tokens;
};

struct world {
	struct sim sim;
	const struct model *model;
	const struct policy *policy;
	struct server servers[WORLD_SERVERS];
	uint32_t server_count;
	/* Index of the first server of each service. */
	uint32_t first[MODEL_SERVICES];
	/* Idempotent work that the servers of a service hold, and run. */
	uint32_t idempotent_held[MODEL_SERVICES];
	uint32_t idempotent_running[MODEL_SERVICES];
	double slowdown;
	double rate;
	double account_factor[MODEL_ACCOUNTS];
	struct measure measure;
};

/* server.c */
void server_init(struct server *server, struct world *world, uint8_t service,
		 uint32_t index);
void server_release(struct server *server);
/** The call has come in over the network. Takes over the reference. */
void server_receive(struct server *server, struct call *call);
/** The onward call of @p call has ended. */
void server_onward_done(struct call *call, enum result result, int32_t cutoff);
/** Ends the process; it is back, cold, after @p down_us. */
void server_crash(struct server *server, int64_t down_us);
/** The server is cold without any other sign. */
void server_chill(struct server *server);

/* hop.c */
/**
 * Sends an attempt or an onward call.
 * @param parent  NULL for an attempt of a caller
 */
void hop_start(struct request *request, struct server *from,
	       struct call *parent, int depth);
/** Carries the answer of an ended call back. Takes over the reference. */
void hop_answer(struct call *call);
void call_release(struct call *call);

/* caller.c */
void caller_start(struct world *world);
void caller_result(struct request *request, int attempt, enum result result);
void request_release(struct request *request);

#endif
