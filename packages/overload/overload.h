/**
 * @file
 * Overload decisions: the guard beside one backend server (concurrency limit,
 * fair priority queue, cold start ramp, cutoff) and the early refusal at
 * entries.
 *
 * All code here is pure: it opens no sockets and reads no clock. Times are
 * microseconds of one monotonic clock, passed as `now`; a `now` smaller than an
 * earlier one counts as the earlier one. An object may be used by one thread at
 * a time. No function calls back into the caller.
 */
#ifndef OVERLOAD_H
#define OVERLOAD_H

#include "base.h"

/** Priority levels are 0 (highest) to OVERLOAD_LEVELS - 1. */
#define OVERLOAD_LEVELS 32

/**
 * A cutoff says which idempotent work a service is shedding. It counts steps:
 * cutoff / OVERLOAD_CUTOFF_STEPS is the cutoff level. Work at a numerically
 * greater level is shed, work at a smaller level is not, and of the cutoff
 * level itself (cutoff % OVERLOAD_CUTOFF_STEPS) / OVERLOAD_CUTOFF_STEPS is
 * admitted. The smaller of two cutoffs is the stricter one. Non-idempotent
 * work is never refused early.
 */
#define OVERLOAD_CUTOFF_STEPS 1000
/** Nothing is being shed. */
#define OVERLOAD_CUTOFF_NONE (OVERLOAD_LEVELS * OVERLOAD_CUTOFF_STEPS)

/** Why work was dropped. Dropped work was never started. */
enum overload_reason {
	OVERLOAD_REASON_OVERLOADED,
	OVERLOAD_REASON_DEADLINE,
	OVERLOAD_REASON_DRAINING,
};

/** Returns the refusal reason of the interfaces. Never NULL. */
const char *overload_reason_str(enum overload_reason reason);

/** How started work ended. */
enum overload_outcome {
	OVERLOAD_OUTCOME_OK,
	/** The backend server answered that it is overloaded, or timed out. */
	OVERLOAD_OUTCOME_FAILED,
	/** The connection broke or could not be opened. */
	OVERLOAD_OUTCOME_SERVER_LOST,
};

/**
 * Concurrency limit of one backend server. The vtable is the first member;
 * implementations embed this struct first.
 */
struct overload_limiter {
	const struct overload_limiter_ops *ops;
};

/** One finished piece of work, as the limiter sees it. */
struct overload_sample {
	/** Time from start to finish. */
	int64_t latency_us;
	int64_t started_at;
	/** Work in flight when it started, including itself. */
	uint32_t in_flight;
	/** False when the time is not meaningful, for example after a pause. */
	bool timed;
	bool failed;
	/** The limit had been in use since the last sample. */
	bool limited;
};

struct overload_limiter_ops {
	void (*destroy)(struct overload_limiter *limiter);
	uint32_t (*limit)(const struct overload_limiter *limiter);
	void (*sample)(struct overload_limiter *limiter,
		       const struct overload_sample *sample, int64_t now);
	void (*set_slots)(struct overload_limiter *limiter, uint32_t slots);
	/** The server is cold: work started so far says nothing any more. */
	void (*reset)(struct overload_limiter *limiter, int64_t now);
};

/**
 * Learns the limit from latency and failures; starts at @p slots and never
 * exceeds them.
 */
struct overload_limiter *overload_limiter_gradient_create(uint32_t slots);
/** Always @p slots; a baseline. */
struct overload_limiter *overload_limiter_fixed_create(uint32_t slots);
void overload_limiter_destroy(struct overload_limiter *limiter);

struct overload_guard;

struct overload_guard_config {
	/** Requests the backend server runs at once. At least 1. */
	uint32_t slots;
	/** Connections it accepts; bounds work in flight too. At least 1. */
	uint32_t connections;
	/** Requests it bears just after a start. At least 1. */
	uint32_t cold_slots;
	/** Time from a start until it bears all slots. */
	int64_t cold_us;
	/**
	 * Requests a second that a cold server bears. When it is not 0, the
	 * server's own word tells when it is cold
	 * (overload_guard_server_ready()), and this bounds the starts in place
	 * of cold_slots.
	 */
	double cold_rate_per_s;
	/** Seeds the jitter of retry-after. */
	uint64_t seed;
};

/** One request offered to the guard. */
struct overload_work {
	/** Unique among the work the guard holds. */
	uint64_t id;
	/** Priority level, 0 is the highest. */
	uint8_t level;
	bool idempotent;
	/** Index of the client account and its weight (at least 1). */
	uint32_t account;
	uint32_t weight;
	/** Absolute, on the clock of `now`. */
	int64_t deadline;
};

enum overload_action_type {
	/** Send the work to the backend server; it counts as in flight. */
	OVERLOAD_ACTION_START,
	/** Refuse the work; the guard has forgotten it. */
	OVERLOAD_ACTION_DROP,
};

struct overload_action {
	enum overload_action_type type;
	uint64_t id;
	/** For drops only. */
	enum overload_reason reason;
	/** For drops only: jittered time after which a retry makes sense. */
	int64_t retry_after_us;
};

/**
 * Creates a guard that takes its server to be cold.
 * @param limiter  owned by the guard from here on; NULL for the gradient limit
 */
struct overload_guard *
overload_guard_create(const struct overload_guard_config *config,
		      struct overload_limiter *limiter, int64_t now);
void overload_guard_destroy(struct overload_guard *guard);
/** Takes over new bounds; work in flight above them is left to finish. */
void overload_guard_reconfigure(struct overload_guard *guard,
				const struct overload_guard_config *config,
				int64_t now);

/**
 * Hands over work. What becomes of it comes out of
 * overload_guard_next_action(), which must be called afterwards.
 */
void overload_guard_offer(struct overload_guard *guard,
			  const struct overload_work *work, int64_t now);
/**
 * Takes the next action. Call it in a loop until it returns false after every
 * event and at overload_guard_next_timer_at().
 * @return false when there is nothing to do now
 */
bool overload_guard_next_action(struct overload_guard *guard, int64_t now,
				struct overload_action *action);
/**
 * Started work has ended. OVERLOAD_OUTCOME_SERVER_LOST also restarts the ramp,
 * unless the work started before the last restart.
 * @return false when no such work is in flight
 */
bool overload_guard_finish(struct overload_guard *guard, uint64_t id,
			   enum overload_outcome outcome, int64_t now);
/**
 * Work in flight has waited @p waited_us for onward calls. The limit and the
 * detection of a cold server use the time less these waits, as a slow service
 * further down says nothing about this server. Report the time during which at
 * least one onward call was under way, before the work finishes. A failure that
 * only passes on the failure of an onward call is OVERLOAD_OUTCOME_OK.
 */
void overload_guard_add_onward_wait(struct overload_guard *guard, uint64_t id,
				    int64_t waited_us);
/**
 * The caller has gone. Queued work is forgotten without an action. Work in
 * flight still occupies the backend server and must be finished as usual.
 * @return true when the work was queued, that is, will not run
 */
bool overload_guard_cancel(struct overload_guard *guard, uint64_t id,
			   int64_t now);
/**
 * The backend server ended or refuses connections: it is cold from here on.
 * Work in flight must still be finished one by one.
 */
void overload_guard_server_lost(struct overload_guard *guard, int64_t now);
/**
 * The state of the backend server is not known: nothing is started until
 * overload_guard_server_ready(). For guards with a cold_rate_per_s.
 */
void overload_guard_hold(struct overload_guard *guard, int64_t now);
/**
 * The backend server runs.
 * @param cold_us  time for which it is still cold, 0 when it is warm
 */
void overload_guard_server_ready(struct overload_guard *guard, int64_t cold_us,
				 int64_t now);
/** Nothing is started, see overload_guard_hold(). */
bool overload_guard_is_held(const struct overload_guard *guard);
/**
 * The process was paused. Latencies of the work in flight are not used, and the
 * ramp does not count the pause. Offer and cancel what the sockets hold before
 * calling overload_guard_next_action().
 */
void overload_guard_resumed(struct overload_guard *guard, int64_t paused_us,
			    int64_t now);
/** Drops work offered from here on; queued work still runs. Not reversible. */
void overload_guard_drain(struct overload_guard *guard);

uint32_t overload_guard_in_flight(const struct overload_guard *guard);
uint32_t overload_guard_queued(const struct overload_guard *guard);
/** The smallest of slots, connections, learned limit and ramp at @p now. */
uint32_t overload_guard_limit(const struct overload_guard *guard, int64_t now);
/** The ramp has not reached the slots yet. */
bool overload_guard_is_cold(const struct overload_guard *guard, int64_t now);
/** Cutoff of this server, in steps; see OVERLOAD_CUTOFF_STEPS. */
int32_t overload_guard_cutoff(const struct overload_guard *guard);
/**
 * When overload_guard_next_action() has to be called without another event.
 * @return INT64_MAX when there is no such time
 */
int64_t overload_guard_next_timer_at(const struct overload_guard *guard);

/** The level below which (numerically above which) work is shed. */
uint8_t overload_cutoff_level(int32_t cutoff);
/** The cutoff to carry on an answer: own and downstream. */
int32_t overload_cutoff_stricter(int32_t a, int32_t b);

/** Early refusal at an entry, from the cutoffs carried on answers. */
struct overload_throttle;

/** A request of a caller that is about to be routed. */
struct overload_request {
	/** Index below the number of routes. */
	uint32_t route;
	uint8_t level;
	bool idempotent;
	uint32_t account;
	/** At least 1. */
	uint32_t weight;
};

/** @param seed  seeds probing and the jitter of retry-after */
struct overload_throttle *overload_throttle_create(uint32_t routes,
						   uint64_t seed);
void overload_throttle_destroy(struct overload_throttle *throttle);
/** Changes the number of routes; all observations are forgotten. */
void overload_throttle_set_routes(struct overload_throttle *throttle,
				  uint32_t routes);
/** An answer of @p route carried @p cutoff, its strictest along the chain. */
void overload_throttle_observe(struct overload_throttle *throttle,
			       uint32_t route, int32_t cutoff, int64_t now);
/**
 * Decides whether to send a request on. Ask once for a request, at hop 1 only:
 * onward calls of an admitted request have been decided on with it, and asking
 * again at each hop would multiply the refusals. While none of the refusable
 * requests are admitted, 1% go through as probes.
 * @param retry_after_us  set on refusal; may be NULL
 * @return false to refuse with reason overloaded, outcome not-run
 */
bool overload_throttle_admit(struct overload_throttle *throttle,
			     const struct overload_request *request,
			     int64_t now, int64_t *retry_after_us);
/** The cutoff in force for a route at @p now, in steps. */
int32_t overload_throttle_cutoff(const struct overload_throttle *throttle,
				 uint32_t route, int64_t now);

#endif
