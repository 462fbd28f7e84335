/**
 * @file
 * Bounded retries over a call chain (D5), at most once for non-idempotent
 * requests (D6) and requests that crash servers (D9).
 *
 * Pure decision code: no sockets, no clock. `now` is monotonic microseconds,
 * `wall_ms` is wall-clock milliseconds. An object belongs to one thread.
 *
 * Who calls what:
 * - An entry that starts a chain stamps retry_initial_attempt(). Any daemon
 * that gets an answer calls retry_budget_record_success() or retry_decide().
 * - An entry with a non-idempotent request asks the key's owner, which calls
 *   retry_ledger_claim(). On NEW the entry sends the request to a guard and
 *   tells the owner how it ended: complete, or release when it has not run. It
 *   tells nothing when the end is unclear, so the key stays RUNNING.
 * - A guard calls retry_suspects_check() before it starts a request and asks
 *   the arbiter of the service for a permit when it is a suspect.
 */
#ifndef RETRY_H
#define RETRY_H

#include "base.h"

/* ---- Retry budget and the decision after a failure (D5) ---- */

/** Share of successes that may be spent on retries. */
#define RETRY_BUDGET_SHARE 0.1
/** Unspent retries that a budget holds at most. */
#define RETRY_BUDGET_CAP 10.0
/** Unspent retries shrink to 1/e in this time. */
#define RETRY_BUDGET_WINDOW_US (30 * BASE_SECOND_US)
/** Servers tried after the first when the request has not run. */
#define RETRY_REROUTES_MAX 2
/** The same after a refusal for overload. */
#define RETRY_REROUTES_OVERLOAD_MAX 1

/**
 * Retries earned by recent successes. Zero it to create: it starts empty. One
 * for each daemon.
 */
struct retry_budget {
	double tokens;
	int64_t updated_at;
	/** Set by retry_budget_init(); 0 for the constants above. */
	double share;
	double cap;
};

/**
 * A budget of its own share of successes, where calls made for a request cannot
 * be told from others: each hop then has to leave room for those behind it.
 */
void retry_budget_init(struct retry_budget *budget, double share, double cap);

/** An answer other than an error came, at the first attempt or a retry. */
void retry_budget_record_success(struct retry_budget *budget, int64_t now);
/** Takes one retry out of the budget. @return false when there is none */
bool retry_budget_try_spend(struct retry_budget *budget, int64_t now);
/**
 * A daemon nearer to the failing hop retried within a chain that started here:
 * the request came without a call token, was sent with attempt 0 and not
 * retried here, and its answer (good or bad) says "retried". The budget may
 * become negative; successes work the debt off.
 */
void retry_budget_charge(struct retry_budget *budget, int64_t now);
/**
 * `attempt` for the context of a request that starts a chain here: 0, or 1
 * when the budget is spent, so that no hop retries it. Each hop has a budget
 * of its own; without this rule failures at many hops would add up to one
 * budget per hop.
 */
uint32_t retry_initial_attempt(struct retry_budget *budget, int64_t now);

/** How a request that was sent to a guard ended. */
enum retry_outcome {
	/** The send failed at once or the guard said `not_run`. */
	RETRY_OUTCOME_NOT_RUN,
	/** The guard refused it for overload; it has not run. */
	RETRY_OUTCOME_OVERLOADED,
	/** The link broke or the server died; it may have run. */
	RETRY_OUTCOME_LOST,
	/** The backend server answered with an error (5xx). */
	RETRY_OUTCOME_SERVER_ERROR,
	/** The request is out of time. */
	RETRY_OUTCOME_DEADLINE,
};

enum retry_action {
	/** Send it again with the next attempt number. */
	RETRY_ACTION_RETRY,
	/** Send it to another server with the same attempt number. */
	RETRY_ACTION_REROUTE,
	/** Answer the caller. */
	RETRY_ACTION_GIVE_UP,
};

/** Why a request is not tried again. */
enum retry_reason {
	RETRY_REASON_NONE = 0,
	/** It may have run and must not run twice. */
	RETRY_REASON_NOT_IDEMPOTENT,
	/** The chain has used or forgone its retry. */
	RETRY_REASON_CHAIN,
	RETRY_REASON_BUDGET,
	RETRY_REASON_DEADLINE,
	RETRY_REASON_REROUTES,
};

/** Returns a static description. Never NULL. */
const char *retry_reason_str(enum retry_reason reason);

/** A failed try, as input of retry_decide(). */
struct retry_failure {
	enum retry_outcome outcome;
	/** `attempt` of the request's context: 0, or 1 in a retried chain. */
	uint32_t attempt;
	/** A backend server has seen it, also one that rejected it. */
	bool arrived;
	/** "retried" as carried on the failed answer; false without one. */
	bool answer_retried;
	bool idempotent;
	/** Times that this daemon has already rerouted the request. */
	uint32_t reroutes;
	/** End of the request's time. */
	int64_t deadline;
};

struct retry_decision {
	enum retry_action action;
	/** Set when action is RETRY_ACTION_GIVE_UP. */
	enum retry_reason reason;
	/** `attempt` to send when it is tried again. */
	uint32_t attempt;
	/**
	 * "retried" for the answer to the caller if this or the next try is
	 * its end. Also set when a retry was forgone, so that no daemon nearer
	 * to the caller retries the whole chain instead.
	 */
	bool retried;
};

/** Decides what follows a failed try; spends from @p budget for a retry. */
struct retry_decision retry_decide(const struct retry_failure *failed,
				   struct retry_budget *budget, int64_t now);

/**
 * Spreads callers that were refused at the same moment.
 * @return uniform in [base_ms, 2 x base_ms]
 */
int64_t retry_after_ms(struct base_rand *rnd, int64_t base_ms);

/* ---- Idempotency keys and the ledger of their owner (D6) ---- */

#define RETRY_KEY_SIZE 16
/** A UUIDv7 (RFC 9562). */
struct retry_key {
	uint8_t bytes[RETRY_KEY_SIZE];
};

/** Parses the 36-character form; false unless it is a UUIDv7. */
bool retry_key_parse(struct base_str text, struct retry_key *key);
/** Creation time by the clock of the key's maker. */
int64_t retry_key_created_ms(const struct retry_key *key);

/**
 * Digest of a request: of its method, path and body for a claim, of account,
 * route, path and body for suspects. Parts are kept apart by their lengths.
 */
struct base_digest retry_fingerprint(const struct base_str *parts,
				     size_t count);

struct retry_ledger_limits {
	/** Keys held at once; further claims are refused. */
	size_t keys;
	/** Time that a key is kept from its claim. */
	int64_t retention_us;
	/** Bytes of one answer; a greater one is not kept. */
	size_t answer_bytes;
	/** Bytes of all answers; the oldest answers are dropped first. */
	size_t answers_bytes;
	/** Greatest difference between two clocks. */
	int64_t margin_ms;
};

/** The limits of the design page and 32 MiB for all answers. */
extern const struct retry_ledger_limits retry_ledger_default_limits;

enum retry_claim_status {
	/** The caller of claim may run the request, once. */
	RETRY_CLAIM_NEW,
	/** It was claimed before and its end is not known. */
	RETRY_CLAIM_RUNNING,
	/** It has run; the answer is given if it was kept. */
	RETRY_CLAIM_DONE,
	/** It may have run before what this owner knows. */
	RETRY_CLAIM_TOO_OLD,
	RETRY_CLAIM_TOO_NEW,
	/** The key was used for another request. */
	RETRY_CLAIM_MISMATCH,
	/** No room; nothing was recorded. */
	RETRY_CLAIM_FULL,
	/** This owner cannot tell yet (owner_unreachable). */
	RETRY_CLAIM_NOT_READY,
	/** The entry no longer waits; nothing was recorded. */
	RETRY_CLAIM_LATE,
};

/** Returns a static description. Never NULL. */
const char *retry_claim_status_str(enum retry_claim_status status);

struct retry_claim {
	/** Name of the client account. */
	struct base_str account;
	struct retry_key key;
	struct base_digest fingerprint;
	/**
	 * Another VM owned the key in a former roster, from the version
	 * retry_ledger_oldest_roster() on.
	 */
	bool moved;
	/**
	 * When the entry stops waiting, by this process's clock and the link
	 * clock. A claim read later (after a pause) is not recorded, because
	 * its entry has already refused the request as not run.
	 */
	int64_t deadline;
};

struct retry_claim_result {
	enum retry_claim_status status;
	/** For NEW: names the claim in complete and release. */
	uint64_t claim_id;
	/** For DONE: false when the answer was too big or was dropped. */
	bool answer_kept;
	/** For DONE: valid until the next call on the ledger. */
	struct base_str answer;
};

/**
 * Keys owned by this daemon. It starts empty and knows nothing of keys claimed
 * before, so it refuses keys created before its start + margin.
 */
struct retry_ledger;

/** @param limits  NULL for retry_ledger_default_limits */
struct retry_ledger *
retry_ledger_create(const struct retry_ledger_limits *limits, int64_t wall_ms,
		    int64_t now);
void retry_ledger_destroy(struct retry_ledger *ledger);

struct retry_claim_result retry_ledger_claim(struct retry_ledger *ledger,
					     const struct retry_claim *claim,
					     int64_t wall_ms, int64_t now);
/**
 * The claimed request has run.
 * @param answer  NULL when it is too big to carry
 * @return false when the claim is not known (expired, or of another start)
 */
bool retry_ledger_complete(struct retry_ledger *ledger, uint64_t claim_id,
			   const struct base_str *answer, int64_t now);
/**
 * The claimed request certainly has not run; its key may be claimed again. An
 * entry also releases a claim whose answer came after it stopped waiting.
 */
bool retry_ledger_release(struct retry_ledger *ledger, uint64_t claim_id);

/**
 * A roster or the set of failure domains that are in changed, or the version
 * was confirmed after a pause (the same version again). No claim is accepted
 * before the first call.
 * @param skipped  versions between the former and this one were not active
 *                 here, so keys may have moved away and back unseen; every key
 *                 counts as moved
 * @param domains  those that are not out, the own one included
 */
void retry_ledger_activate_roster(struct retry_ledger *ledger, uint64_t version,
				  bool skipped, const uint32_t *domains,
				  size_t count, int64_t wall_ms, int64_t now);
/**
 * Ignored for domains that the active roster does not name.
 * @param version  the oldest that any daemon of the domain has active
 */
void retry_ledger_report_domain(struct retry_ledger *ledger, uint32_t domain,
				uint64_t version, int64_t wall_ms, int64_t now);
/**
 * This process woke from a pause over 1 s. Keys are kept; nothing new is
 * accepted until retry_ledger_activate_roster() is called with the version
 * that the peers have.
 */
void retry_ledger_suspend(struct retry_ledger *ledger);

/**
 * Version of the oldest roster that claims are compared with to tell whether
 * their key has moved; older rosters may be forgotten. It follows the active
 * version once all domains have reported that for the retention period, so a
 * long partition keeps former rosters alive: an entry that is cut off may
 * still claim keys at their former owners.
 * @return 0 while all rosters since the start count
 */
uint64_t retry_ledger_oldest_roster(struct retry_ledger *ledger, int64_t now);

/** Moved keys are accepted; for status output. */
bool retry_ledger_ready(const struct retry_ledger *ledger, int64_t now);
size_t retry_ledger_count(const struct retry_ledger *ledger);

/* ---- Requests that crash servers (D9) ---- */

#define RETRY_SUSPECTS_MAX 4096
#define RETRY_SUSPECT_TTL_US (600 * BASE_SECOND_US)
#define RETRY_CONVICTED_TTL_US (3600 * BASE_SECOND_US)
#define RETRY_CLEARED_TTL_US (60 * BASE_SECOND_US)
/** Longest run of a suspect with a permit; a longer request never clears. */
#define RETRY_PERMIT_US (5 * BASE_SECOND_US)
/** Longest wait before a guard asks again. */
#define RETRY_PERMIT_POLL_US (50 * BASE_MS_US)

enum retry_suspect_state {
	/** Not known; runs like any other. */
	RETRY_SUSPECT_NONE,
	/** Ran freely again after it was a suspect. */
	RETRY_SUSPECT_CLEARED,
	/** In flight when a server died; needs permission to run. */
	RETRY_SUSPECT_SUSPECTED,
	/** Refused everywhere. */
	RETRY_SUSPECT_CONVICTED,
};

/** Content of the message `suspect`, sent to the guards of the service. */
struct retry_suspect_update {
	/**
	 * This daemon's number of the service. A message carries the name,
	 * because numbers may differ between configuration versions.
	 */
	uint32_t service;
	struct base_digest fingerprint;
	enum retry_suspect_state state;
	/** Grows each time the request becomes a suspect again. */
	uint32_t round;
};

/**
 * Suspects of all services as known to one daemon, at most RETRY_SUSPECTS_MAX.
 * Daemons that exchange news reach the same state in any order of messages: a
 * conviction wins, then the higher round, then cleared over suspect.
 */
struct retry_suspects;

struct retry_suspects *retry_suspects_create(void);
void retry_suspects_destroy(struct retry_suspects *suspects);

/**
 * Called for each change that the other guards of the service must learn. It
 * sends or stores the news and does not destroy the suspects.
 */
typedef void (*retry_suspect_cb)(void *ctx,
				 const struct retry_suspect_update *news);

/** Requests on a backend server when it died, or when its guard was lost. */
struct retry_server_death {
	uint32_t service;
	/** In flight, those with permission included. */
	const struct base_digest *in_flight;
	size_t in_flight_len;
	/** Those of them that ran with a permit. */
	const struct base_digest *permitted;
	size_t permitted_len;
};

/**
 * A backend server died. The request that ran with a permit is convicted if
 * there is exactly one; all others in flight become suspects. Answer the
 * failures only when the other guards can have the news: a caller that sends
 * the request again earlier may reach a guard that runs it freely, and costs
 * another server. An entry that loses the link to a guard calls this, too, for
 * what it had in flight there.
 */
void retry_suspects_record_server_death(struct retry_suspects *suspects,
					const struct retry_server_death *death,
					int64_t now, retry_suspect_cb cb,
					void *ctx);
/** A request ran to its end; clears it if it was a suspect. */
void retry_suspects_record_success(struct retry_suspects *suspects,
				   uint32_t service,
				   const struct base_digest *fingerprint,
				   int64_t now, retry_suspect_cb cb, void *ctx);
/** News from a peer. @return whether it changed anything here */
bool retry_suspects_merge(struct retry_suspects *suspects,
			  const struct retry_suspect_update *news, int64_t now);
/**
 * Asked for each request before it runs.
 * @param[out] known  what is known of the request, for an ask; may be NULL
 */
enum retry_suspect_state
retry_suspects_check(struct retry_suspects *suspects, uint32_t service,
		     const struct base_digest *fingerprint, int64_t now,
		     struct retry_suspect_update *known);
/**
 * Reports all that is known of a service, for a guard that has just started.
 * @p cb must not change the suspects.
 */
void retry_suspects_for_each(const struct retry_suspects *suspects,
			     uint32_t service, int64_t now, retry_suspect_cb cb,
			     void *ctx);
size_t retry_suspects_count(const struct retry_suspects *suspects);

enum retry_permit_status {
	/**
	 * Run it now; stop it when the permit ends, and report its end. Run it
	 * with nothing else on the server if possible: a death during the run
	 * convicts it, also when an unknown request beside it was the cause.
	 */
	RETRY_PERMIT_GRANTED,
	/** Another suspect of the service runs; ask again later. */
	RETRY_PERMIT_BUSY,
	/** The request is convicted. */
	RETRY_PERMIT_REFUSED,
	/** The request is no suspect (any more); run it freely. */
	RETRY_PERMIT_NOT_NEEDED,
};

/** Content of the message `suspect_answer`. */
struct retry_permit {
	enum retry_permit_status status;
	/** For GRANTED: names the permit. */
	uint64_t id;
	/** For GRANTED: time it is good for; the guard counts from its ask. */
	int64_t lifetime_us;
	/** For BUSY: time until the next ask. */
	int64_t wait_us;
};

/**
 * Content of the message `suspect_ask`. A guard has one ask a service
 * outstanding and holds its other suspects, which bounds these messages.
 */
struct retry_permit_request {
	/** As the guard knows it; the arbiter may not have heard yet. */
	struct retry_suspect_update suspect;
	/** Time that the request has left. */
	int64_t remaining_us;
};

/** How a run with a permit ended. */
enum retry_permit_result {
	RETRY_PERMIT_SUCCEEDED,
	/** The server died during it. */
	RETRY_PERMIT_SERVER_DIED,
	/** It was not started or was stopped; it stays a suspect. */
	RETRY_PERMIT_UNUSED,
};

/** Hands out permits for the services whose arbiter this daemon is. */
struct retry_arbiter;

/**
 * @param suspects  of the same daemon; outlives the arbiter
 * @param start     makes permit ids of two starts differ, e.g. wall_ms
 */
struct retry_arbiter *retry_arbiter_create(struct retry_suspects *suspects,
					   uint64_t start);
void retry_arbiter_destroy(struct retry_arbiter *arbiter);
/**
 * This daemon is now the service's first live guard by rank. Permits of its
 * predecessor may be in use, so none is granted for one RETRY_PERMIT_US.
 */
void retry_arbiter_take_over(struct retry_arbiter *arbiter, uint32_t service,
			     int64_t now);
struct retry_permit
retry_arbiter_request_permit(struct retry_arbiter *arbiter,
			     const struct retry_permit_request *ask,
			     int64_t now);
/** Changes to the suspects are reported to @p cb, as for the guard. */
void retry_arbiter_return_permit(struct retry_arbiter *arbiter,
				 uint32_t service, uint64_t permit_id,
				 enum retry_permit_result end, int64_t now,
				 retry_suspect_cb cb, void *ctx);

#endif
