/**
 * @file
 * Distributed rate limits of client accounts, enforced over the whole fleet.
 *
 * The rate and burst of an account are split into shares, one for each of a few
 * holders that the caller chooses from the roster. A holder is a daemon that
 * runs a token bucket for its share and gives tokens to entries in grants of
 * short lifetime. An entry is the part of a daemon that admits requests: it
 * sends asks (requests for tokens) to the holders and spends one token on each
 * request that it admits.
 *
 * In any window of t seconds all entries together admit at most
 * rate x t + burst requests. The bound holds when messages are lost, delayed or
 * repeated and when processes are killed or paused.
 *
 * Amounts are int64_t milli-tokens (`_mt`); one request costs RATE_TOKEN_MT.
 * Times are int64_t microseconds of the local monotonic clock; clocks of
 * different processes are never compared. The clock must also advance while the
 * machine is suspended (CLOCK_BOOTTIME on Linux). Accounts, holders and entries
 * are identified by 64-bit numbers that are the same on all daemons.
 *
 * This package performs no input or output: the caller sends the messages and
 * runs the timers. An object must be used by one thread only. The process ends
 * when memory is exhausted, so that no function returns an error for it.
 */
#ifndef RATE_H
#define RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Milli-tokens in one token, the cost of one request. */
#define RATE_TOKEN_MT INT64_C(1000)
/** Greatest lifetime of a grant. */
#define RATE_GRANT_LIFETIME_MAX_US INT64_C(250000)
/** Lower bound of rate_share_grant_lifetime_us(). */
#define RATE_GRANT_LIFETIME_MIN_US INT64_C(10000)
/**
 * Longest time that a request waits for a grant: a fifth of the shortest
 * latency objective in use (250 ms). With 20 ms, holders on busy machines
 * answered too late, so that requests within the rate were refused.
 */
#define RATE_WAIT_MAX_US INT64_C(50000)
/** Greatest rate (tokens a second) and burst (tokens) of an account. */
#define RATE_VALUE_MAX INT64_C(1000000000)
/** Greatest number of holders of an account. */
#define RATE_HOLDERS_MAX 64
/**
 * Greatest number of grants that one ask reports on, and that an entry holds of
 * one account from one holder.
 */
#define RATE_REPORTS_MAX 8
/** Greatest number of confirmers in one rate_epoch. */
#define RATE_CONFIRMERS_MAX 64

/**
 * Returns the number of holders of an account: the same number in each failure
 * domain, one to three.
 * @param domains  at least 1
 * @param burst    tokens, at least 0
 */
uint32_t rate_holder_count(uint32_t domains, int64_t burst);

/** The part of the rate and burst of an account that one holder may grant. */
struct rate_share {
	int64_t rate_mt_per_s;
	/** Bound of the bucket level plus outstanding grants. */
	int64_t burst_mt;
};

/**
 * Returns the share of each of @p holders holders, rounded down so that their
 * sum never exceeds the rate and burst of the account.
 * @param rate     tokens a second, 0 to RATE_VALUE_MAX
 * @param burst    tokens, 0 to RATE_VALUE_MAX
 * @param holders  at least 1
 */
struct rate_share rate_share_compute(int64_t rate, int64_t burst,
				     uint32_t holders);

/** Returns the longest lifetime of the grants of a share, in microseconds. */
int64_t rate_share_grant_lifetime_us(const struct rate_share *share);

/*
 * Messages
 */

/** Use of a grant; the amounts are totals since the grant was made. */
struct rate_report {
	/** rate_grant.id */
	uint64_t grant;
	int64_t used_mt;
	/** Unused tokens that the entry gives back. */
	int64_t returned_mt;
};

/**
 * Request for tokens, from an entry to a holder. It also carries reports on
 * earlier grants; with need_mt and prefetch_mt zero it carries nothing else.
 */
struct rate_ask {
	uint64_t account;
	/** Random number drawn by the entry process when it starts. */
	uint64_t entry;
	/** Increases with each ask of that entry process. */
	uint64_t seq;
	/** Tokens for requests that wait. */
	int64_t need_mt;
	/**
	 * Tokens for requests expected soon; granted from at most half of what
	 * is left after need_mt.
	 */
	int64_t prefetch_mt;
	/**
	 * rate_grant.holder of the grants that are reported on; 0 without
	 * reports.
	 */
	uint64_t holder;
	uint32_t report_count;
	struct rate_report reports[RATE_REPORTS_MAX];
};

enum rate_grant_status {
	RATE_GRANT_OK,
	/** The holder has no share of that account. */
	RATE_GRANT_NOT_HOLDER,
	/** The holder waits until the grants of former holders have expired. */
	RATE_GRANT_STARTING,
};

/** Answer of a holder to an ask of an entry. */
struct rate_grant {
	uint64_t account;
	/** Copied from the ask. */
	uint64_t entry;
	uint64_t seq;
	/** Random number drawn by the holder process when it starts. */
	uint64_t holder;
	enum rate_grant_status status;
	/** Unique in the holder process; 0 when nothing was granted. */
	uint64_t id;
	int64_t amount_mt;
	/** The tokens expire this long after the entry sent the ask. */
	int64_t lifetime_us;
	/** Time to wait before the next ask if this one was not fully met. */
	int64_t retry_us;
};

/*
 * Holder side
 */

/** The shares of all accounts that one daemon holds. */
struct rate_holder;

/**
 * Creates a holder without shares. The caller must destroy it.
 * @param incarnation  random, not 0; differs between processes
 * @param now          monotonic microseconds
 */
struct rate_holder *rate_holder_create(uint64_t incarnation, int64_t now);
/** Accepts NULL. */
void rate_holder_destroy(struct rate_holder *holder);

/** A version of the holder set of an account, and who must confirm it. */
struct rate_epoch {
	/**
	 * Configuration version that last changed the set of holders or their
	 * number. A change of rate or burst alone keeps it.
	 */
	uint64_t version;
	/**
	 * Peers that may still act on an older version, as identifiers chosen
	 * by the caller: former holders, or whole failure domains. They must
	 * cover every older version that may be in force anywhere, not only the
	 * previous one. Peers known to act on this version may be left out.
	 * The array is copied.
	 */
	const uint64_t *confirmers;
	size_t confirmer_count;
	/**
	 * This daemon acted on every version since the one of its current
	 * share. When false, the share ends at once when the epoch changes: a
	 * skipped version may have named other holders, which treat the
	 * confirmation of a later version by this daemon as the end of its
	 * share.
	 */
	bool no_version_skipped;
};

/**
 * Sets the share of an account.
 *
 * A new share, or a share of a new epoch, takes effect when all confirmers have
 * confirmed and the maximum grant lifetime has passed after that. Until then
 * the old share limits what is granted, or nothing is granted if there was none
 * or a version was skipped. A lower rate or burst always applies at once. A
 * higher one applies at once within the same epoch, and creates no tokens. An
 * older epoch than the current one is ignored.
 */
void rate_holder_set_share(struct rate_holder *holder, uint64_t account,
			   const struct rate_share *share,
			   const struct rate_epoch *epoch, int64_t now);

/** Ends a share. Outstanding grants stay valid until they expire. */
void rate_holder_remove_share(struct rate_holder *holder, uint64_t account);

/**
 * Records that @p confirmer acts on configuration @p version or a later one,
 * for all shares.
 */
void rate_holder_confirm(struct rate_holder *holder, uint64_t confirmer,
			 uint64_t version, int64_t now);

/**
 * Applies the reports of an ask and writes the answer to @p out.
 * @return false when no answer is to be sent: the ask only carried reports, or
 *         was ignored because it is late, repeated or malformed (negative
 *         amounts, too many reports)
 */
bool rate_holder_handle_ask(struct rate_holder *holder,
			    const struct rate_ask *ask, int64_t now,
			    struct rate_grant *out);

/** Current state of a share, for status output and tests. */
struct rate_holder_state {
	struct rate_share share;
	/** Tokens in the bucket, and tokens in outstanding grants. */
	int64_t level_mt;
	int64_t outstanding_mt;
	/** Number of outstanding grants. */
	size_t grants;
	/** Number of entry processes that asked recently. */
	size_t entries;
	/** Number of missing confirmations. */
	size_t unconfirmed;
	/**
	 * A new share or epoch takes effect at this time if no confirmation is
	 * missing; each confirmation sets it anew.
	 */
	int64_t ready_at;
};

/** @return false when the account has no share here */
bool rate_holder_state(struct rate_holder *holder, uint64_t account,
		       int64_t now, struct rate_holder_state *out);

/*
 * Entry side
 */

enum rate_result {
	/** The request may be sent until rate_decision.token_expires_at. */
	RATE_ADMITTED,
	/**
	 * The decision follows within RATE_WAIT_MAX_US, as an action
	 * RATE_ACTION_DECIDED, unless the request is cancelled.
	 */
	RATE_WAITING,
	/** The account exceeds its rate, or no holder can be reached. */
	RATE_REFUSED,
	/** The account was not added by rate_entry_set_account(). */
	RATE_UNKNOWN_ACCOUNT,
};

struct rate_decision {
	enum rate_result result;
	/**
	 * When admitted: expiry of the spent token; see rate_decision_valid().
	 */
	int64_t token_expires_at;
	/** When refused: time after which a request may be admitted. */
	int64_t retry_after_us;
};

/**
 * Returns whether an admitted request may still be sent. Call it with a fresh
 * clock reading as the last step before sending: if the process was paused
 * after the decision, the token may have expired and the request must be
 * submitted to rate_entry_admit() again.
 *
 * Send or drop an admitted request before taking the next action, because an
 * action may report its token as used. A request that is held back while
 * actions are taken must be submitted again.
 */
bool rate_decision_valid(const struct rate_decision *decision, int64_t now);

enum rate_action_type {
	/** Send `ask` to `holder`. */
	RATE_ACTION_ASK,
	/** The waiting request `request` is decided: see `decision`. */
	RATE_ACTION_DECIDED,
};

/** Something that the caller must do for an entry. */
struct rate_action {
	enum rate_action_type type;
	uint64_t account;
	uint64_t holder;
	struct rate_ask ask;
	uint64_t request;
	struct rate_decision decision;
};

/** Rate and holders of an account, as set on an entry. */
struct rate_account {
	/** Tokens a second, for the whole fleet. */
	int64_t rate;
	/** Tokens, for the whole fleet. */
	int64_t burst;
	/** In order of preference, the local failure domain first. */
	const uint64_t *holders;
	/** At most RATE_HOLDERS_MAX. */
	size_t holder_count;
};

struct rate_entry;

/** Implementation of an entry; rate_entry_*() functions call it. */
struct rate_entry_ops {
	void (*destroy)(struct rate_entry *entry);
	void (*set_account)(struct rate_entry *entry, uint64_t account,
			    const struct rate_account *spec, int64_t now);
	void (*remove_account)(struct rate_entry *entry, uint64_t account);
	struct rate_decision (*admit)(struct rate_entry *entry,
				      uint64_t account, uint64_t request,
				      int64_t now);
	void (*cancel)(struct rate_entry *entry, uint64_t account,
		       uint64_t request);
	void (*on_grant)(struct rate_entry *entry, uint64_t holder,
			 const struct rate_grant *grant, int64_t now);
	void (*on_holder_unreachable)(struct rate_entry *entry, uint64_t holder,
				      int64_t now);
	void (*tick)(struct rate_entry *entry, int64_t now);
	int64_t (*next_tick)(const struct rate_entry *entry);
	bool (*next_action)(struct rate_entry *entry, struct rate_action *out);
};

struct rate_entry {
	const struct rate_entry_ops *ops;
};

/**
 * Creates an entry that admits requests with tokens granted by holders. The
 * caller must destroy it.
 * @param incarnation  random, not 0; differs between processes
 */
struct rate_entry *rate_entry_create(uint64_t incarnation);
/**
 * Baseline for comparison: enforces rate / @p daemons and burst / @p daemons
 * locally, without holders.
 */
struct rate_entry *rate_entry_create_local_share(uint32_t daemons);
/** Baseline for comparison: admits every request, also of unknown accounts. */
struct rate_entry *rate_entry_create_unlimited(void);
/** Accepts NULL. */
void rate_entry_destroy(struct rate_entry *entry);

/**
 * Adds or changes an account. Grants of holders that are no longer listed are
 * dropped. @p spec and its holders are copied.
 */
void rate_entry_set_account(struct rate_entry *entry, uint64_t account,
			    const struct rate_account *spec, int64_t now);
/** Removes an account and refuses its waiting requests. */
void rate_entry_remove_account(struct rate_entry *entry, uint64_t account);

/**
 * Decides on one request. After a call of this or another rate_entry_*()
 * function, and after an admitted request was sent, the caller must call
 * rate_entry_next_action() until it returns false.
 * @param request  chosen by the caller, unique among the waiting requests
 */
struct rate_decision rate_entry_admit(struct rate_entry *entry,
				      uint64_t account, uint64_t request,
				      int64_t now);
/** Drops a waiting request, for example when its client disconnected. */
void rate_entry_cancel(struct rate_entry *entry, uint64_t account,
		       uint64_t request);
/** Handles an answer of @p holder. Late and repeated answers are ignored. */
void rate_entry_on_grant(struct rate_entry *entry, uint64_t holder,
			 const struct rate_grant *grant, int64_t now);
/** Handles a failed or closed connection to @p holder. */
void rate_entry_on_holder_unreachable(struct rate_entry *entry, uint64_t holder,
				      int64_t now);
/**
 * Runs the timers of the entry. Call it at rate_entry_next_tick(): a late call
 * may cause refusals but never admits more requests than the bound.
 */
void rate_entry_tick(struct rate_entry *entry, int64_t now);
/**
 * Returns when rate_entry_tick() must be called next; INT64_MAX if no timer is
 * pending.
 */
int64_t rate_entry_next_tick(const struct rate_entry *entry);
/**
 * Removes the oldest pending action and writes it to @p out.
 * @return false when there is none
 */
bool rate_entry_next_action(struct rate_entry *entry, struct rate_action *out);

#endif
