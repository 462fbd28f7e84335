/**
 * @file
 * Overload control: the guard of one backend server (concurrency limit, fair
 * priority queue, cold start ramp, cutoff) and the throttle, which refuses
 * requests early at entries. An entry is a daemon that accepts requests of
 * callers and routes them.
 *
 * The code does no I/O and reads no clock. Times are microseconds of one
 * monotonic clock, passed as `now`; a guard treats a `now` smaller than an
 * earlier one as the earlier one. An object may be used by one thread at a
 * time. No function calls back into the caller.
 */
#ifndef OVERLOAD_H
#define OVERLOAD_H

#include "base.h"

/** Number of priority levels: 0 (highest) to OVERLOAD_LEVELS - 1 (lowest). */
#define OVERLOAD_LEVELS 32

/**
 * Number of steps of a cutoff within one priority level.
 *
 * A cutoff states which idempotent work a service sheds:
 * - cutoff / OVERLOAD_CUTOFF_STEPS is the cutoff level;
 * - work at a numerically greater level (lower priority) is shed;
 * - work at a numerically smaller level (higher priority) is admitted;
 * - of the work at the cutoff level, the share
 *   (cutoff % OVERLOAD_CUTOFF_STEPS) / OVERLOAD_CUTOFF_STEPS is admitted.
 *
 * The numerically smaller of two cutoffs is the stricter one. Non-idempotent
 * work is never refused early.
 */
#define OVERLOAD_CUTOFF_STEPS 1000
/** Cutoff of a service that sheds nothing. */
#define OVERLOAD_CUTOFF_NONE (OVERLOAD_LEVELS * OVERLOAD_CUTOFF_STEPS)

/** Reason for which work was dropped. Dropped work was never started. */
enum overload_reason {
	OVERLOAD_REASON_OVERLOADED,
	OVERLOAD_REASON_DEADLINE,
	OVERLOAD_REASON_DRAINING,
};

/**
 * Returns the name of the reason as callers receive it in a refusal. Never
 * NULL.
 */
const char *overload_reason_str(enum overload_reason reason);

/** Result of started work, as reported to overload_guard_finish(). */
enum overload_outcome {
	OVERLOAD_OUTCOME_OK,
	/** The backend server answered that it is overloaded, or timed out. */
	OVERLOAD_OUTCOME_FAILED,
	/** The connection broke or could not be opened. */
	OVERLOAD_OUTCOME_SERVER_LOST,
	/** The backend server states that it has not run the work; a failure.
	 */
	OVERLOAD_OUTCOME_REJECTED,
	/**
	 * The caller gave up and the work was cancelled. Treated as
	 * OVERLOAD_OUTCOME_OK, but no measurement of the learned capacity.
	 */
	OVERLOAD_OUTCOME_ABANDONED,
};

/**
 * Concurrency limit of one backend server. An implementation embeds this struct
 * as its first member.
 */
struct overload_limiter {
	const struct overload_limiter_ops *ops;
};

/** Measurement of one finished piece of work, for the limiter and the ramp. */
struct overload_sample {
	/** Time from start to finish without the waits for onward calls. */
	int64_t latency_us;
	int64_t started_at;
	/** Work in flight when it started, including itself. */
	uint32_t in_flight;
	/** False when the process was paused while the work was in flight. */
	bool latency_valid;
	/** Set for rejections too. */
	bool failed;
	bool rejected;
	bool abandoned;
	/** The work in flight had reached the limit when this work started. */
	bool limit_reached;
};

struct overload_limiter_ops {
	void (*destroy)(struct overload_limiter *limiter);
	uint32_t (*limit)(const struct overload_limiter *limiter);
	void (*sample)(struct overload_limiter *limiter,
		       const struct overload_sample *sample, int64_t now);
	void (*set_slots)(struct overload_limiter *limiter, uint32_t slots);
	/**
	 * The server has turned cold; samples of work started before @p now are
	 * ignored.
	 */
	void (*reset)(struct overload_limiter *limiter, int64_t now);
	/** The work in flight has changed. May be NULL. */
	void (*in_flight)(struct overload_limiter *limiter, uint32_t in_flight,
			  int64_t now);
};

/**
 * Creates a limiter that adapts the limit to latency and failures. The limit
 * starts at @p slots and never exceeds it.
 */
struct overload_limiter *overload_limiter_gradient_create(uint32_t slots);
/** Creates a limiter whose limit is always @p slots; a baseline. */
struct overload_limiter *overload_limiter_fixed_create(uint32_t slots);
void overload_limiter_destroy(struct overload_limiter *limiter);

/**
 * A limiter that learns how much load its server sustains: the time that the
 * server itself takes for a request at low load and now, and the concurrency
 * above which the throughput no longer grows (the knee). See
 * docs/design/learned-capacity.md.
 */
struct overload_capacity;

struct overload_capacity_config {
	/** Largest limit; at least 1. */
	uint32_t slots;
	/**
	 * What a cold start gives, in slots or requests a second; the limit
	 * does not fall below it.
	 */
	uint32_t cold_slots;
	double cold_rate_per_s;
};

/** What the limiter did last. */
enum overload_capacity_decision {
	OVERLOAD_CAPACITY_RESET,
	/** Requests take long at the limit; a lower one is on trial. */
	OVERLOAD_CAPACITY_TRY_KNEE,
	/** The server rejects work; a lower limit is on trial. */
	OVERLOAD_CAPACITY_TRY_REJECTIONS,
	/** The lower limit costs no throughput, or avoids rejections. */
	OVERLOAD_CAPACITY_KEPT,
	OVERLOAD_CAPACITY_RESTORED,
	/** The limit has grown to all slots again. */
	OVERLOAD_CAPACITY_GROWN,
};

/** Returns a static name. Never NULL. */
const char *
overload_capacity_decision_str(enum overload_capacity_decision decision);

struct overload_capacity_view {
	uint32_t limit;
	uint32_t slots;
	/** Last limit that was lowered and kept; 0 when unknown. */
	uint32_t knee;
	/** Time of the server per request at low load; 0 when unknown. */
	int64_t base_us;
	/**
	 * The same at present; 0 when unknown or when nothing has ended for
	 * 10 s.
	 */
	int64_t service_us;
	/** Share of work that succeeds, 1 to 1000; 0 when unknown. */
	uint32_t success_permille;
	/** Onward calls in flight, see overload_capacity_set_onward(). */
	uint32_t onward;
	enum overload_capacity_decision last;
	/** Number of decisions, and of trials by their result. */
	uint32_t decisions;
	uint32_t lowered;
	uint32_t restored;
};

struct overload_capacity *
overload_capacity_create(const struct overload_capacity_config *config,
			 int64_t now);
/**
 * Applies a new configuration; overload_guard_reconfigure() passes on the slots
 * alone.
 */
void overload_capacity_reconfigure(
	struct overload_capacity *capacity,
	const struct overload_capacity_config *config);
/** The limiter; owns the object, which lives as long as the limiter. */
struct overload_limiter *
overload_capacity_limiter(struct overload_capacity *capacity);
/**
 * Reports how many onward calls the backend server has in flight, whenever the
 * number changes. Used where onward calls do not name their parent: their mean
 * number is subtracted, see overload_guard_add_onward_wait() for the other
 * case.
 */
void overload_capacity_set_onward(struct overload_capacity *capacity,
				  uint32_t in_flight, int64_t now);
struct overload_capacity_view
overload_capacity_view(const struct overload_capacity *capacity, int64_t now);

/**
 * Queues the work for one backend server, and decides what is started and what
 * is refused.
 */
struct overload_guard;

struct overload_guard_config {
	/** Requests the backend server can process at once. At least 1. */
	uint32_t slots;
	/**
	 * Connections the server accepts; also bounds the work in flight. At
	 * least 1.
	 */
	uint32_t connections;
	/** Requests it can process at once after a start. At least 1. */
	uint32_t cold_slots;
	/** Time after a start until it can process as many as all slots. */
	int64_t cold_us;
	/**
	 * Requests a second that a cold server can take. When it is not 0, the
	 * server itself reports whether it is cold (see
	 * overload_guard_server_ready()), and this rate limits the starts of
	 * work in place of cold_slots.
	 */
	double cold_rate_per_s;
	/** Seed of the retry-after jitter. */
	uint64_t seed;
};

/** A request offered to the guard. */
struct overload_work {
	/** Unique among the work that is queued or in flight. */
	uint64_t id;
	/** Priority level; 0 is the highest. */
	uint8_t level;
	bool idempotent;
	/** Index of the client account and its weight (at least 1). */
	uint32_t account;
	uint32_t weight;
	/** Absolute time on the clock of `now`. */
	int64_t deadline;
};

enum overload_action_type {
	/** Send the work to the backend server; it counts as in flight. */
	OVERLOAD_ACTION_START,
	/** Refuse the work; the guard has removed it. */
	OVERLOAD_ACTION_DROP,
};

struct overload_action {
	enum overload_action_type type;
	uint64_t id;
	/** For drops only. */
	enum overload_reason reason;
	/**
	 * For drops only: time after which a retry makes sense, with jitter; 0
	 * for OVERLOAD_REASON_DRAINING.
	 */
	int64_t retry_after_us;
};

/**
 * Creates a guard that initially treats its server as cold.
 * @param limiter  owned by the guard from now on; NULL for a gradient limiter
 */
struct overload_guard *
overload_guard_create(const struct overload_guard_config *config,
		      struct overload_limiter *limiter, int64_t now);
void overload_guard_destroy(struct overload_guard *guard);
/** Applies new bounds. Work in flight beyond them is allowed to finish. */
void overload_guard_reconfigure(struct overload_guard *guard,
				const struct overload_guard_config *config,
				int64_t now);

/**
 * Offers work to the guard. Call overload_guard_next_action() afterwards; its
 * actions state what happens to the work.
 */
void overload_guard_offer(struct overload_guard *guard,
			  const struct overload_work *work, int64_t now);
/**
 * Returns the next action in @p action. After each event, and at the time of
 * overload_guard_next_timer_at(), call it until it returns false.
 * @return false when no action is pending
 */
bool overload_guard_next_action(struct overload_guard *guard, int64_t now,
				struct overload_action *action);
/**
 * Reports that started work has ended. OVERLOAD_OUTCOME_SERVER_LOST also
 * restarts the ramp, unless the work started before the last loss of the
 * server.
 * @return false when no such work is in flight
 */
bool overload_guard_finish(struct overload_guard *guard, uint64_t id,
			   enum overload_outcome outcome, int64_t now);
/**
 * Reports that work in flight has waited @p waited_us for onward calls, that
 * is, calls the backend server made to other services on behalf of the work.
 * The waits are subtracted from the latency that the concurrency limit and the
 * detection of a cold server use, as a slow downstream service is no evidence
 * about this server.
 *
 * Report the time during which at least one onward call was in progress, and
 * report it before the work finishes. A failure that only passes on the failure
 * of an onward call is OVERLOAD_OUTCOME_OK.
 */
void overload_guard_add_onward_wait(struct overload_guard *guard, uint64_t id,
				    int64_t waited_us);
/**
 * Cancels work whose caller has disconnected. Queued work is removed and yields
 * no action. Work in flight still occupies the backend server; its end must be
 * reported as usual.
 * @return true when the work was queued and has been removed
 */
bool overload_guard_cancel(struct overload_guard *guard, uint64_t id,
			   int64_t now);
/**
 * Reports that the backend server has exited or refuses connections. The guard
 * treats it as cold from now on. The end of each piece of work in flight must
 * still be reported.
 */
void overload_guard_server_lost(struct overload_guard *guard, int64_t now);
/**
 * Starts no work until overload_guard_server_ready() is called, as the state of
 * the backend server is unknown. For guards with a cold_rate_per_s.
 */
void overload_guard_hold(struct overload_guard *guard, int64_t now);
/**
 * Reports that the backend server runs.
 * @param cold_us  time for which it remains cold; 0 when it is warm
 */
void overload_guard_server_ready(struct overload_guard *guard, int64_t cold_us,
				 int64_t now);
/**
 * The backend server states how many requests a second it takes. The rate
 * limits the starts of work in addition to all other limits.
 * @param rate_per_s  not negative; with 0, no work starts after a first burst
 */
void overload_guard_set_stated_rate(struct overload_guard *guard,
				    double rate_per_s, int64_t now);
/** The backend server no longer states a rate. */
void overload_guard_clear_stated_rate(struct overload_guard *guard);
/**
 * Returns whether work waits for a health check, as the server was idle and may
 * have turned cold. To be answered with overload_guard_server_ready().
 */
bool overload_guard_needs_check(const struct overload_guard *guard,
				int64_t now);
/**
 * Returns whether the server was lost or its state is unknown, and nothing has
 * shown since that it can work.
 */
bool overload_guard_is_unavailable(const struct overload_guard *guard);
/** Returns whether starts are suspended, see overload_guard_hold(). */
bool overload_guard_is_held(const struct overload_guard *guard);
/**
 * Reports that the process has resumed after a pause. The latencies of the work
 * in flight are ignored, and the pause does not count as warm-up time. Read the
 * sockets, and offer and cancel work accordingly, before calling
 * overload_guard_next_action().
 */
void overload_guard_resumed(struct overload_guard *guard, int64_t paused_us,
			    int64_t now);
/**
 * Drops all work offered from now on; queued work still runs. This cannot be
 * undone.
 */
void overload_guard_drain(struct overload_guard *guard);

uint32_t overload_guard_in_flight(const struct overload_guard *guard);
uint32_t overload_guard_queued(const struct overload_guard *guard);
/**
 * Returns the work that can be in flight at @p now: the smallest of the slots,
 * the connections, the limits of the limiter and of the cold start ramp, and
 * what a stated rate sustains. At least 1.
 */
uint32_t overload_guard_limit(const struct overload_guard *guard, int64_t now);
/** Returns whether the server has not finished warming up after a start. */
bool overload_guard_is_cold(const struct overload_guard *guard, int64_t now);
/** Returns the cutoff of this server; see OVERLOAD_CUTOFF_STEPS. */
int32_t overload_guard_cutoff(const struct overload_guard *guard);
/**
 * Returns the time at which overload_guard_next_action() must be called if no
 * event occurs earlier; INT64_MAX when no such call is needed.
 */
int64_t overload_guard_next_timer_at(const struct overload_guard *guard);

/**
 * Returns the cutoff level: idempotent work at numerically greater levels is
 * shed.
 */
uint8_t overload_cutoff_level(int32_t cutoff);
/**
 * Returns the stricter of two cutoffs. An answer carries the strictest one of
 * the server and of the services it called.
 */
int32_t overload_cutoff_stricter(int32_t a, int32_t b);

/** Refuses requests early at an entry, by the cutoffs that answers carry. */
struct overload_throttle;

/** A caller's request that is about to be routed. */
struct overload_request {
	/** Index below the number of routes. */
	uint32_t route;
	uint8_t level;
	bool idempotent;
	/** Index of the client account and its weight (at least 1). */
	uint32_t account;
	uint32_t weight;
};

/** @param seed  seeds the random choices and the retry-after jitter */
struct overload_throttle *overload_throttle_create(uint32_t routes,
						   uint64_t seed);
void overload_throttle_destroy(struct overload_throttle *throttle);
/** Changes the number of routes; discards all observations and demands. */
void overload_throttle_set_routes(struct overload_throttle *throttle,
				  uint32_t routes);
/**
 * Records that an answer of @p route carried @p cutoff, the strictest one along
 * the call chain.
 */
void overload_throttle_observe(struct overload_throttle *throttle,
			       uint32_t route, int32_t cutoff, int64_t now);
/**
 * Decides whether to admit a request. Call it once for a request, at the first
 * hop only: the decision covers the onward calls of the request, and a new one
 * at each hop would multiply the refusals. While the admitted share of the
 * requests that may be refused is below 1%, 1% of them are admitted as probes.
 * @param retry_after_us  set on refusal; may be NULL
 * @return false to refuse with reason overloaded, outcome not-run
 */
bool overload_throttle_admit(struct overload_throttle *throttle,
			     const struct overload_request *request,
			     int64_t now, int64_t *retry_after_us);
/** Returns the cutoff in force for a route at @p now. */
int32_t overload_throttle_cutoff(const struct overload_throttle *throttle,
				 uint32_t route, int64_t now);

/**
 * Admission of whole call graphs at an entry. It follows how the requests of
 * each route and priority level end. When they end badly for causes downstream,
 * fewer of them are begun, until those that are begun mostly end well. Without
 * records everything is admitted.
 */
struct overload_graph;

/** How an admitted request ended. */
enum overload_graph_outcome {
	OVERLOAD_GRAPH_OK,
	/** Refused for load by a guard after it was sent. */
	OVERLOAD_GRAPH_REFUSED,
	/** A backend server answered with an error (5xx). */
	OVERLOAD_GRAPH_FAILED,
	/** The deadline passed after it was sent. */
	OVERLOAD_GRAPH_DEADLINE,
};

#define OVERLOAD_GRAPH_OUTCOMES (OVERLOAD_GRAPH_DEADLINE + 1)

/** Returns a static string, never NULL, for logs. */
const char *overload_graph_outcome_str(enum overload_graph_outcome outcome);

struct overload_graph_end {
	enum overload_graph_outcome outcome;
	/** Time of the admission. */
	int64_t begun_at;
	/** Any id of the server of the last try. */
	uint32_t server;
};

enum overload_graph_verdict {
	OVERLOAD_GRAPH_ADMIT,
	/** Its route's share is used up. */
	OVERLOAD_GRAPH_REFUSE,
	/** Its remaining time is too short for requests of its route. */
	OVERLOAD_GRAPH_REFUSE_LATE,
};

/** A clear change of a share, for the log. */
struct overload_graph_change {
	uint32_t route;
	uint8_t level;
	double old_share;
	double new_share;
	/** Whether lowering was stopped as it did not improve the outcomes. */
	bool held;
	/** Ends since the last report, by outcome. */
	uint32_t ends[OVERLOAD_GRAPH_OUTCOMES];
};

/** @param seed  seeds the random choices and the jitter */
struct overload_graph *overload_graph_create(uint32_t routes, uint64_t seed);
void overload_graph_destroy(struct overload_graph *graph);
/** Changes the number of routes; discards everything learned. */
void overload_graph_set_routes(struct overload_graph *graph, uint32_t routes);
/**
 * Decides whether to begin a request. Call it once for a request, at the first
 * hop only. A non-idempotent request is refused only when the idempotent ones
 * at this entry that end badly are refused already.
 * @param remaining_us    time until the deadline of the request
 * @param retry_after_us  set on refusal; may be NULL
 */
enum overload_graph_verdict overload_graph_admit(
	struct overload_graph *graph, const struct overload_request *request,
	int64_t remaining_us, int64_t now, int64_t *retry_after_us);
/**
 * Records the end of an admitted request. Ends without a meaning for load, such
 * as a lost connection or a caller that has gone, are not recorded.
 */
void overload_graph_record(struct overload_graph *graph,
			   const struct overload_request *request,
			   const struct overload_graph_end *end, int64_t now);
/** Returns the share of the requests of a route and level that is begun. */
double overload_graph_share(const struct overload_graph *graph, uint32_t route,
			    uint8_t level);
/**
 * Returns the next change of a share that is worth a log line: at most one a
 * second for each route and level.
 * @return false when there is none
 */
bool overload_graph_next_change(struct overload_graph *graph, int64_t now,
				struct overload_graph_change *change);

#endif
