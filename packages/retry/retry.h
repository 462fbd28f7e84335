/**
 * @file
 * Retry limits for a chain of calls, at-most-once execution of non-idempotent
 * requests and isolation of requests that crash backend servers. See decisions
 * D5, D6 and D9 in docs/design.md.
 *
 * The package only makes decisions; it uses no sockets and reads no clock.
 * `now` is a monotonic time in microseconds, `wall_ms` a wall-clock time in
 * milliseconds. Each object may be used by one thread only. Create functions
 * never return NULL, and destroy functions accept NULL.
 *
 * Terms:
 * - The entry is the daemon that receives a request from a client or from its
 *   own backend server, and routes it.
 * - The guard is the daemon beside the backend server that runs the request.
 * - The owner of an idempotency key is the daemon that records claims of it.
 * - A chain is a request with all calls that backend servers make for it. Each
 *   of these calls, with the daemon that sends it, is a hop of the chain.
 * - A roster is the set of VMs in a version of the configuration.
 *
 * Callers:
 * - An entry that starts a chain sends the attempt number that
 *   retry_initial_attempt() returns. A daemon that receives the answer to a
 *   request calls retry_budget_record_success() or retry_decide().
 * - An entry with a non-idempotent request sends a claim to the key's owner,
 *   which calls retry_ledger_claim(). On RETRY_CLAIM_NEW the entry sends the
 *   request to a guard and reports the result to the owner: complete when it
 *   has run, release when it has not. It reports nothing when the result is
 *   unclear, so the key stays RETRY_CLAIM_RUNNING.
 * - A guard calls retry_suspects_check() before it starts a request. For a
 *   suspect it requests a permit from the arbiter of the service.
 */
#ifndef RETRY_H
#define RETRY_H

#include "base.h"

/* ---- Retry budget and the decision after a failure ---- */

/** Retry tokens earned by one success. */
#define RETRY_BUDGET_TOKENS_PER_SUCCESS 0.1
/** Upper limit of the tokens in a budget. */
#define RETRY_BUDGET_MAX_TOKENS 10.0
/** Unspent tokens decay to 1/e of their number in this time. */
#define RETRY_BUDGET_DECAY_TIME_US (30 * BASE_SECOND_US)
/** Maximum number of reroutes of a request that has not run. */
#define RETRY_REROUTES_MAX 2
/** The same for a request whose last refusal was for overload. */
#define RETRY_REROUTES_OVERLOAD_MAX 1

/**
 * Retry tokens earned by recent successes. A zero-initialized budget is empty
 * and uses the constants above. Each daemon has one, and one per service where
 * calls cannot be assigned to the request that they are made for.
 */
struct retry_budget {
	/** One token pays for one retry. Negative while there is debt. */
	double tokens;
	int64_t updated_at;
	/** Set by retry_budget_init(); 0 selects the constants above. */
	double tokens_per_success;
	double max_tokens;
};

/**
 * Creates an empty budget with limits of its own. It is meant for platforms
 * where the calls made for a request cannot be distinguished from other
 * requests: retries of several hops then multiply, so each hop needs a smaller
 * share to leave room for the hops behind it.
 */
void retry_budget_init(struct retry_budget *budget, double tokens_per_success,
		       double max_tokens);

/** Records an answer other than an error, to a first attempt or a retry. */
void retry_budget_record_success(struct retry_budget *budget, int64_t now);
/** Takes one token. @return false when there is less than one */
bool retry_budget_try_spend(struct retry_budget *budget, int64_t now);
/**
 * Takes one token for a retry that another hop made in a chain that started at
 * this daemon. Call it when the request arrived without a call token, was sent
 * with attempt 0 and not retried here, and its answer, successful or not,
 * carries the "retried" flag. The budget may become negative; later successes
 * pay off the debt.
 */
void retry_budget_charge(struct retry_budget *budget, int64_t now);
/**
 * Returns `attempt` for the context of a request that starts a chain at this
 * daemon: 0, or 1 when the budget has less than one token, so that no hop
 * retries the request. Each hop has a budget of its own; without this rule
 * failures at many hops could use the budgets of all of them.
 */
uint32_t retry_initial_attempt(struct retry_budget *budget, int64_t now);

/** How a request that was sent to a guard ended. */
enum retry_outcome {
	/** Sending failed at once, or the guard reported `not_run`. */
	RETRY_OUTCOME_NOT_RUN,
	/** The guard refused the request for overload; it has not run. */
	RETRY_OUTCOME_OVERLOADED,
	/** The connection or the server was lost; the request may have run. */
	RETRY_OUTCOME_LOST,
	/** The backend server answered with an error (5xx). */
	RETRY_OUTCOME_SERVER_ERROR,
	/** The deadline of the request has passed. */
	RETRY_OUTCOME_DEADLINE,
};

enum retry_action {
	/** Send the request again with the next attempt number. */
	RETRY_ACTION_RETRY,
	/** Send the request to another server with the same attempt number. */
	RETRY_ACTION_REROUTE,
	/** Return the failure to the caller. */
	RETRY_ACTION_GIVE_UP,
};

/** Why a request is not sent again. */
enum retry_reason {
	RETRY_REASON_NONE = 0,
	/** The request may have run and must not run twice. */
	RETRY_REASON_NOT_IDEMPOTENT,
	/** The chain has used its one retry or may not use it. */
	RETRY_REASON_CHAIN,
	/** The budget has less than one token. */
	RETRY_REASON_BUDGET,
	/** The deadline of the request has passed. */
	RETRY_REASON_DEADLINE,
	/** The request has been rerouted as often as allowed. */
	RETRY_REASON_REROUTES,
};

/** Returns a static string, never NULL, for logs. */
const char *retry_reason_str(enum retry_reason reason);

/** A request that was sent and failed, the input of retry_decide(). */
struct retry_failure {
	enum retry_outcome outcome;
	/** `attempt` in the request's context: 0, or 1 if no hop may retry. */
	uint32_t attempt;
	/** The request reached a backend server, even if that rejected it. */
	bool arrived;
	/** "retried" flag of the failed answer; false without an answer. */
	bool answer_retried;
	bool idempotent;
	/** Reroutes of the request at this daemon so far. */
	uint32_t reroutes;
	/** When the request times out, in the clock of `now`. */
	int64_t deadline;
};

struct retry_decision {
	enum retry_action action;
	/** Set for RETRY_ACTION_GIVE_UP, otherwise RETRY_REASON_NONE. */
	enum retry_reason reason;
	/** `attempt` to send with a retry or a reroute. */
	uint32_t attempt;
	/**
	 * "retried" flag for the answer to the caller, if this failure or the
	 * next try provides that answer. Also set when a possible retry is not
	 * made, so that no daemon nearer to the caller retries the whole chain
	 * instead.
	 */
	bool retried;
};

/**
 * Decides how to continue after a failure. A retry takes one token of
 * @p budget, and so does a reroute of a request that reached a backend server.
 */
struct retry_decision retry_decide(const struct retry_failure *failed,
				   struct retry_budget *budget, int64_t now);

/**
 * Returns a random time in milliseconds after which a refused caller may try
 * again. The randomness spreads the retries of callers that were refused at the
 * same moment.
 * @return uniform in [base_ms, 2 x base_ms)
 */
int64_t retry_after_ms(struct base_rand *rnd, int64_t base_ms);

/* ---- Idempotency keys and the ledger of their owner ---- */

#define RETRY_KEY_SIZE 16
/** A UUIDv7 (RFC 9562). */
struct retry_key {
	uint8_t bytes[RETRY_KEY_SIZE];
};

/** Parses the 36-character form. @return false unless it is a UUIDv7 */
bool retry_key_parse(struct base_str text, struct retry_key *key);
/** Returns the wall-clock time at which the client created the key. */
int64_t retry_key_created_ms(const struct retry_key *key);

/**
 * Returns a digest that identifies a request. Claims use its method, path and
 * body, suspects its account, route, path and body. The length of each part is
 * part of the digest, so `ab`, `c` and `a`, `bc` differ.
 */
struct base_digest retry_fingerprint(const struct base_str *parts,
				     size_t count);

struct retry_ledger_limits {
	/** Maximum number of keys; beyond it, new claims are refused. */
	size_t max_keys;
	/** How long a key is kept after its claim. */
	int64_t retention_us;
	/** Maximum size of one stored answer; a larger one is not stored. */
	size_t max_answer_bytes;
	/** Maximum size of all stored answers; the oldest are dropped. */
	size_t max_total_answer_bytes;
	/** Largest assumed difference between two wall clocks. */
	int64_t clock_margin_ms;
};

/** The limits of docs/design.md, with 32 MiB for all stored answers. */
extern const struct retry_ledger_limits retry_ledger_default_limits;

enum retry_claim_status {
	/** The claim is recorded; the claimer may run the request once. */
	RETRY_CLAIM_NEW,
	/** The key was claimed before and its result is not known. */
	RETRY_CLAIM_RUNNING,
	/** The request has run; the result holds its answer if stored. */
	RETRY_CLAIM_DONE,
	/**
	 * The key may have been used before the time from which this owner has
	 * records, or it was created longer ago than keys are kept.
	 */
	RETRY_CLAIM_TOO_OLD,
	/** The key was created further in the future than clocks differ. */
	RETRY_CLAIM_TOO_NEW,
	/** The key was claimed before for a different request. */
	RETRY_CLAIM_MISMATCH,
	/** The ledger holds max_keys keys; nothing was recorded. */
	RETRY_CLAIM_FULL,
	/**
	 * This owner cannot decide yet, because another owner may still accept
	 * the key. Callers receive the reason owner_unreachable.
	 */
	RETRY_CLAIM_NOT_READY,
	/** The entry has stopped waiting; nothing was recorded. */
	RETRY_CLAIM_LATE,
};

/** Returns a static string, never NULL, for metrics. */
const char *retry_claim_status_str(enum retry_claim_status status);

struct retry_claim {
	/** Name of the client account. */
	struct base_str account;
	struct retry_key key;
	struct base_digest fingerprint;
	/**
	 * Another VM owned the key in a former roster. Rosters from the version
	 * retry_ledger_oldest_roster() on are considered.
	 */
	bool moved;
	/**
	 * When the entry stops waiting, converted to this process's clock by
	 * the link clock. A claim that is read later, for example after a
	 * pause of the process, is not recorded, because its entry has already
	 * refused the request as not run.
	 */
	int64_t deadline;
};

struct retry_claim_result {
	enum retry_claim_status status;
	/** For NEW: identifies the claim in complete and release. */
	uint64_t claim_id;
	/** For DONE: false if the answer was too large or has been dropped. */
	bool answer_kept;
	/** For DONE: owned by the ledger, valid until the next call on it. */
	struct base_str answer;
};

/**
 * Claims of the keys that this daemon owns. A new ledger has no record of
 * earlier claims, so it refuses keys created before its start plus
 * clock_margin_ms.
 */
struct retry_ledger;

/** @param limits  copied; NULL for retry_ledger_default_limits */
struct retry_ledger *
retry_ledger_create(const struct retry_ledger_limits *limits, int64_t wall_ms,
		    int64_t now);
void retry_ledger_destroy(struct retry_ledger *ledger);

/**
 * Records a claim of a key unless the key is already recorded or cannot be
 * accepted. See enum retry_claim_status.
 */
struct retry_claim_result retry_ledger_claim(struct retry_ledger *ledger,
					     const struct retry_claim *claim,
					     int64_t wall_ms, int64_t now);
/**
 * Records that the claimed request has run. A second call changes nothing.
 * @param answer  copied; NULL when it is too large to be sent to the owner
 * @return false when the ledger has no such claim: it has expired or belongs to
 *         an earlier start of this daemon
 */
bool retry_ledger_complete(struct retry_ledger *ledger, uint64_t claim_id,
			   const struct base_str *answer, int64_t now);
/**
 * Removes a claim whose request has certainly not run, so that its key can be
 * claimed again. An entry also releases a claim when the owner's answer arrives
 * after the entry stopped waiting.
 * @return false when the ledger has no such claim or its request has run
 */
bool retry_ledger_release(struct retry_ledger *ledger, uint64_t claim_id);

/**
 * Activates a version of the configuration in which the roster or the set of
 * failure domains in service has changed. After a pause, a call with the same
 * version confirms that it is still active. An older version is ignored. No
 * claim is accepted before the first call.
 * @param skipped  versions between the former and this one were not active
 *                 here. Keys may have moved away and back in them, so every key
 *                 counts as moved
 * @param domains  failure domains that have to report the version before moved
 *                 keys are accepted: those that are not out, including the one
 *                 of this daemon; copied
 */
void retry_ledger_activate_roster(struct retry_ledger *ledger, uint64_t version,
				  bool skipped, const uint32_t *domains,
				  size_t count, int64_t wall_ms, int64_t now);
/**
 * Records the version that a failure domain has active. Reports of domains that
 * were not passed to retry_ledger_activate_roster() are ignored.
 * @param version  the oldest version active at any daemon of the domain
 */
void retry_ledger_report_domain(struct retry_ledger *ledger, uint32_t domain,
				uint64_t version, int64_t wall_ms, int64_t now);
/**
 * Stops accepting new claims after a pause of the process of more than 1 s.
 * Recorded keys are kept. New claims are accepted again after a call of
 * retry_ledger_activate_roster() with the version that the peers have.
 */
void retry_ledger_suspend(struct retry_ledger *ledger);

/**
 * Returns the version of the oldest roster that must be compared to find out
 * whether a key has moved; older rosters may be discarded. It advances to a
 * version when the retention period has passed since all failure domains
 * reported it. A long partition therefore keeps former rosters in use: an entry
 * that is cut off may still claim keys at their former owners.
 * @return 0 while all rosters since the start must be compared
 */
uint64_t retry_ledger_oldest_roster(struct retry_ledger *ledger, int64_t now);

/** Returns whether moved keys are accepted, for status output. */
bool retry_ledger_ready(const struct retry_ledger *ledger, int64_t now);
/** Returns the number of recorded keys, possibly with expired ones. */
size_t retry_ledger_count(const struct retry_ledger *ledger);

/*
 * ---- Requests that crash servers ----
 *
 * A request that was in flight on a backend server when it died is a suspect.
 * At most one suspect of a service runs at a time, with a permit of the
 * service's arbiter. If the server dies during that run, the request is
 * convicted and refused by all guards; if the request succeeds, it is cleared.
 */

/** Requests recorded by one daemon over all services. */
#define RETRY_SUSPECTS_MAX 4096
/** How long a request keeps its state. */
#define RETRY_SUSPECT_TTL_US (600 * BASE_SECOND_US)
#define RETRY_CONVICTED_TTL_US (3600 * BASE_SECOND_US)
#define RETRY_CLEARED_TTL_US (60 * BASE_SECOND_US)
/**
 * Longest run of a suspect with a permit. A request that needs longer is never
 * cleared.
 */
#define RETRY_PERMIT_MAX_US (5 * BASE_SECOND_US)
/** Longest wait before a guard requests a permit again. */
#define RETRY_PERMIT_POLL_US (50 * BASE_MS_US)

enum retry_suspect_state {
	/** Not recorded; runs like any other request. */
	RETRY_SUSPECT_NONE,
	/** Was a suspect and has succeeded since; runs like any other. */
	RETRY_SUSPECT_CLEARED,
	/** In flight when a server died; needs a permit to run. */
	RETRY_SUSPECT_SUSPECTED,
	/** Refused by all guards of the service. */
	RETRY_SUSPECT_CONVICTED,
};

/** Content of the message `suspect` to the other guards of the service. */
struct retry_suspect_update {
	/**
	 * Number of the service at this daemon. The message carries the name
	 * instead, because numbers may differ between configuration versions.
	 */
	uint32_t service;
	struct base_digest fingerprint;
	enum retry_suspect_state state;
	/** Incremented each time the request becomes a suspect again. */
	uint32_t round;
};

/**
 * Suspects of all services that one daemon has recorded, at most
 * RETRY_SUSPECTS_MAX. Daemons that exchange updates reach the same state in any
 * order of messages: convicted wins, then the higher round, then cleared over
 * suspect.
 */
struct retry_suspects;

struct retry_suspects *retry_suspects_create(void);
void retry_suspects_destroy(struct retry_suspects *suspects);

/**
 * Called for each change that the other guards of the service must receive. It
 * sends or stores the update and must not destroy the suspects.
 */
typedef void (*retry_suspect_cb)(void *ctx,
				 const struct retry_suspect_update *update);

/** The requests on a backend server when it died or its guard was lost. */
struct retry_server_death {
	uint32_t service;
	/** All requests in flight, including those with a permit. */
	const struct base_digest *in_flight;
	size_t in_flight_len;
	/** The requests among them that ran with a permit. */
	const struct base_digest *permitted;
	size_t permitted_len;
};

/**
 * Records the death of a backend server. A request that ran with a permit is
 * convicted if it was the only one with a permit; all others in flight become
 * suspects. The caller should return the failures only after the updates can
 * have reached the other guards: a client that sends the request again earlier
 * may reach a guard that runs it without a permit, and another server dies. An
 * entry that loses the link to a guard also calls this for the requests that it
 * had in flight there.
 * @param cb  may be NULL
 */
void retry_suspects_record_server_death(struct retry_suspects *suspects,
					const struct retry_server_death *death,
					int64_t now, retry_suspect_cb cb,
					void *ctx);
/**
 * Records that a request has run to its end, and clears it if it was a suspect.
 * @param cb  may be NULL
 */
void retry_suspects_record_success(struct retry_suspects *suspects,
				   uint32_t service,
				   const struct base_digest *fingerprint,
				   int64_t now, retry_suspect_cb cb, void *ctx);
/** Applies an update from a peer. @return whether it changed the state */
bool retry_suspects_merge(struct retry_suspects *suspects,
			  const struct retry_suspect_update *update,
			  int64_t now);
/**
 * Returns the state of a request, to be checked before it runs. A check of a
 * convicted request extends its conviction.
 * @param[out] known  what is recorded of the request, to be sent with a permit
 *                    request; RETRY_SUSPECT_NONE and round 0 when it is not
 *                    recorded; may be NULL
 */
enum retry_suspect_state
retry_suspects_check(struct retry_suspects *suspects, uint32_t service,
		     const struct base_digest *fingerprint, int64_t now,
		     struct retry_suspect_update *known);
/**
 * Calls @p cb for each recorded request of a service, to bring a guard that has
 * just started up to date. @p cb must not change the suspects.
 */
void retry_suspects_for_each(const struct retry_suspects *suspects,
			     uint32_t service, int64_t now, retry_suspect_cb cb,
			     void *ctx);
/** Returns the number of recorded requests, possibly with expired ones. */
size_t retry_suspects_count(const struct retry_suspects *suspects);

enum retry_permit_status {
	/**
	 * Run the request now, stop it when the permit expires, and report the
	 * result. If possible, run nothing else on the server: if the server
	 * dies during the run, this request is convicted, even when another
	 * request, not yet a suspect, caused it.
	 */
	RETRY_PERMIT_GRANTED,
	/** Another suspect of the service may be running; try again later. */
	RETRY_PERMIT_BUSY,
	/** The request is convicted; refuse it. */
	RETRY_PERMIT_REFUSED,
	/** The request is not a suspect, or no longer; run it as usual. */
	RETRY_PERMIT_NOT_NEEDED,
};

/** Content of the message `suspect_answer`. */
struct retry_permit {
	enum retry_permit_status status;
	/** For GRANTED: identifies the permit. */
	uint64_t id;
	/** For GRANTED: validity, counted from when the guard requested it. */
	int64_t lifetime_us;
	/** For BUSY: time until the next permit request. */
	int64_t wait_us;
};

/**
 * Request for a permit, the content of the message `suspect_ask`. A guard has
 * at most one outstanding per service and holds its other suspects meanwhile,
 * which bounds the number of these messages.
 */
struct retry_permit_request {
	/** State at the guard; the arbiter may not have received it yet. */
	struct retry_suspect_update suspect;
	/** Time until the deadline of the request. */
	int64_t remaining_us;
};

/** How a run with a permit ended. */
enum retry_permit_result {
	RETRY_PERMIT_SUCCEEDED,
	/** The server died during the run. */
	RETRY_PERMIT_SERVER_DIED,
	/** Not started, or stopped; the request stays a suspect. */
	RETRY_PERMIT_UNUSED,
};

/**
 * Grants permits for the services whose arbiter is this daemon. At most one
 * permit of a service is in use at a time.
 */
struct retry_arbiter;

/**
 * @param suspects  of the same daemon; not owned, must outlive the arbiter
 * @param start     different for each start of the daemon, e.g. wall_ms, so
 *                  that permit ids of two starts differ
 */
struct retry_arbiter *retry_arbiter_create(struct retry_suspects *suspects,
					   uint64_t start);
void retry_arbiter_destroy(struct retry_arbiter *arbiter);
/**
 * Makes this daemon the arbiter of a service, after it has become the first
 * live guard by rank. Permits of its predecessor may still be in use, so none
 * is granted for RETRY_PERMIT_MAX_US.
 */
void retry_arbiter_take_over(struct retry_arbiter *arbiter, uint32_t service,
			     int64_t now);
/** Grants a permit or reports why there is none. */
struct retry_permit
retry_arbiter_request_permit(struct retry_arbiter *arbiter,
			     const struct retry_permit_request *request,
			     int64_t now);
/**
 * Ends a permit. An id that is not the last one granted for the service is
 * ignored.
 * @param cb  receives changes of the suspects, as at a guard; may be NULL
 */
void retry_arbiter_return_permit(struct retry_arbiter *arbiter,
				 uint32_t service, uint64_t permit_id,
				 enum retry_permit_result result, int64_t now,
				 retry_suspect_cb cb, void *ctx);

#endif
