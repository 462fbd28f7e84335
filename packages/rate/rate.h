/**
 * @file
 * Rate and burst of client accounts over the whole fleet.
 *
 * The rate and burst of an account are split over a few holders, chosen by the
 * caller from the roster. A holder hands out tokens in grants of short
 * lifetime; an entry asks the holders for grants and spends one token on each
 * request that it admits. In any window of t seconds all entries together admit
 * at most rate x t + burst requests, whatever is lost, delayed, repeated,
 * killed or paused.
 *
 * Amounts are int64_t milli-tokens (`_mt`); one request costs RATE_TOKEN_MT.
 * Times are int64_t microseconds of the monotonic clock of the own process; no
 * clock is shared. The clock must also count while the machine is suspended
 * (CLOCK_BOOTTIME on Linux). Accounts, holders and entries are identified by
 * 64-bit numbers that are the same on all daemons.
 *
 * Nothing here does input or output. An object belongs to one thread.
 */
#ifndef RATE_H
#define RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Cost of one request. */
#define RATE_TOKEN_MT INT64_C(1000)
/** Bounds of the lifetime of a grant. */
#define RATE_GRANT_LIFETIME_MAX_US INT64_C(250000)
#define RATE_GRANT_LIFETIME_MIN_US INT64_C(10000)
/**
 * Longest time that a request waits for a grant: a fifth of the shortest
 * latency objectives in use (250 ms). With 20 ms, holders on busy machines
 * answered too late for requests inside their account's rate.
 */
#define RATE_WAIT_MAX_US INT64_C(50000)
/** Greatest rate (tokens a second) and burst (tokens) of an account. */
#define RATE_VALUE_MAX INT64_C(1000000000)
/** Greatest number of holders of an account. */
#define RATE_HOLDERS_MAX 64
/** Greatest number of grants that one ask reports on. */
#define RATE_REPORTS_MAX 8
/** Greatest number of confirmers in one rate_epoch. */
#define RATE_CONFIRMERS_MAX 64

/**
 * Number of holders of an account: the same number in each failure domain, one
 * to three.
 * @param domains  at least 1
 * @param burst    tokens
 */
uint32_t rate_holder_count(uint32_t domains, int64_t burst);

/** What one holder may hand out. */
struct rate_share {
	/** Milli-tokens a second. */
	int64_t rate_mt_per_s;
	/** Bound of level plus outstanding grants. */
	int64_t burst_mt;
};

/**
 * The share of each of @p holders holders; their sum never exceeds the whole.
 * @param rate     tokens a second, 0 to RATE_VALUE_MAX
 * @param burst    tokens, 0 to RATE_VALUE_MAX
 * @param holders  at least 1
 */
struct rate_share rate_share_compute(int64_t rate, int64_t burst,
				     uint32_t holders);

/** Lifetime of the grants of a share, in microseconds. */
int64_t rate_share_grant_lifetime_us(const struct rate_share *share);

/*
 * Messages
 */

/** How much of a grant is gone, counted from its start. */
struct rate_report {
	/** rate_grant.id */
	uint64_t grant;
	int64_t used_mt;
	/** The entry will not use these any more. */
	int64_t returned_mt;
};

/**
 * From an entry to a holder. With need_mt and prefetch_mt zero it only reports.
 */
struct rate_ask {
	uint64_t account;
	/** Random number drawn by the entry process when it starts. */
	uint64_t entry;
	/** Grows with each ask of that entry process. */
	uint64_t seq;
	/** For requests that wait. */
	int64_t need_mt;
	/** For requests expected soon; granted only while tokens are plenty. */
	int64_t prefetch_mt;
	/** Process of the holder that the reports are about; 0 when none. */
	uint64_t holder;
	uint32_t report_count;
	struct rate_report reports[RATE_REPORTS_MAX];
};

enum rate_grant_status {
	RATE_GRANT_OK,
	/** The holder has no share of that account. */
	RATE_GRANT_NOT_HOLDER,
	/** The holder still waits out grants of others. */
	RATE_GRANT_STARTING,
};

/** From a holder to an entry, the answer to an ask. */
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
	/** Use ends this long after the entry sent the ask. */
	int64_t lifetime_us;
	/** A further ask is of no use before this time has passed. */
	int64_t retry_us;
};

/*
 * Holder side
 */

/** The shares of all accounts that one daemon holds. */
struct rate_holder;

/**
 * @param incarnation  random, not 0; differs between processes
 * @param now          monotonic microseconds
 */
struct rate_holder *rate_holder_create(uint64_t incarnation, int64_t now);
void rate_holder_destroy(struct rate_holder *holder);

/** Who must confirm a change of the set of holders of an account. */
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
	 * previous one. Peers known to have the version may be left out.
	 */
	const uint64_t *confirmers;
	size_t confirmer_count;
	/**
	 * This daemon acted on every version since the one of its present
	 * share. If not, a skipped version may have named other holders, which
	 * take its confirmation of a later version as the end of that share;
	 * the share then ends at once when the epoch changes.
	 */
	bool no_version_skipped;
};

/**
 * Sets the share of an account.
 *
 * A new share, or one of a new epoch, hands out nothing beyond what the old
 * share allowed (if continuous) until all confirmers have confirmed and one
 * maximum lifetime has passed after that. A lower rate or burst applies at
 * once, a higher one of the same epoch too, without creating tokens. An older
 * epoch than the present one is ignored.
 */
void rate_holder_set_share(struct rate_holder *holder, uint64_t account,
			   const struct rate_share *share,
			   const struct rate_epoch *epoch, int64_t now);

/** Ends a share. Grants that are out lapse by themselves. */
void rate_holder_remove_share(struct rate_holder *holder, uint64_t account);

/** Tells that @p confirmer acts on configuration @p version or a later one. */
void rate_holder_confirm(struct rate_holder *holder, uint64_t confirmer,
			 uint64_t version, int64_t now);

/**
 * Answers an ask and books its reports.
 * @return false when there is nothing to send: the ask only reported, is a
 *         late or repeated one, or is malformed (negative amounts, too many
 *         reports) and was ignored
 */
bool rate_holder_handle_ask(struct rate_holder *holder,
			    const struct rate_ask *ask, int64_t now,
			    struct rate_grant *out);

/** Present state of a share, for status output and tests. */
struct rate_holder_state {
	struct rate_share share;
	int64_t level_mt;
	int64_t outstanding_mt;
	size_t grants;
	size_t entries;
	/** Confirmations still missing. */
	size_t unconfirmed;
	/** Nothing new is handed out before all are confirmed and this time. */
	int64_t ready_at;
};

/** @return false when the account has no share here */
bool rate_holder_state(struct rate_holder *holder, uint64_t account,
		       int64_t now, struct rate_holder_state *out);

/*
 * Entry side
 */

enum rate_result {
	/** The request may go on until rate_decision.token_expires_at. */
	RATE_ADMITTED,
	/** An action RATE_ACTION_DECIDED follows within RATE_WAIT_MAX_US. */
	RATE_WAITING,
	/** The account is beyond its rate, or no holder is in reach. */
	RATE_REFUSED,
	/** The account was not set. */
	RATE_UNKNOWN_ACCOUNT,
};

struct rate_decision {
	enum rate_result result;
	/**
	 * When admitted: the tokens lapse at this time. See
	 * rate_decision_valid().
	 */
	int64_t token_expires_at;
	/** When refused: time after which a request may succeed. */
	int64_t retry_after_us;
};

/**
 * Tells whether an admitted request may still be sent. Call it with a fresh
 * clock reading as the last step before sending: a process that was paused
 * since the decision must ask for admission again.
 *
 * Send or drop an admitted request before taking the next action, because an
 * action may report its token as used. A request that is held in between must
 * ask for admission again.
 */
bool rate_decision_valid(const struct rate_decision *decision, int64_t now);

enum rate_action_type {
	/** Send `ask` to `holder`. */
	RATE_ACTION_ASK,
	/** The waiting request `request` has got `decision`. */
	RATE_ACTION_DECIDED,
};

struct rate_action {
	enum rate_action_type type;
	uint64_t account;
	uint64_t holder;
	struct rate_ask ask;
	uint64_t request;
	struct rate_decision decision;
};

/** Rate and holders of an account as an entry sees them. */
struct rate_account {
	/** Tokens a second and tokens, of the whole fleet. */
	int64_t rate;
	int64_t burst;
	/** In order of preference, the own failure domain first. */
	const uint64_t *holders;
	/** At most RATE_HOLDERS_MAX. */
	size_t holder_count;
};

struct rate_entry;

/** Behaviour of an entry; the functions below call it. */
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
 * Asks holders for grants.
 * @param incarnation  random, not 0; differs between processes
 */
struct rate_entry *rate_entry_create(uint64_t incarnation);
/** Baseline: admits rate / @p daemons and burst / @p daemons on its own. */
struct rate_entry *rate_entry_create_local_share(uint32_t daemons);
/** Baseline: admits everything. */
struct rate_entry *rate_entry_create_unlimited(void);
void rate_entry_destroy(struct rate_entry *entry);

/**
 * Adds or changes an account. Grants of holders that are no longer named are
 * given up.
 */
void rate_entry_set_account(struct rate_entry *entry, uint64_t account,
			    const struct rate_account *spec, int64_t now);
/** Waiting requests of the account are refused. */
void rate_entry_remove_account(struct rate_entry *entry, uint64_t account);

/**
 * Decides about one request. After this and the functions below, and after the
 * request was sent, drain rate_entry_next_action().
 * @param request  chosen by the caller, unique among the waiting requests
 */
struct rate_decision rate_entry_admit(struct rate_entry *entry,
				      uint64_t account, uint64_t request,
				      int64_t now);
/** Forgets a waiting request, for example when its caller left. */
void rate_entry_cancel(struct rate_entry *entry, uint64_t account,
		       uint64_t request);
void rate_entry_on_grant(struct rate_entry *entry, uint64_t holder,
			 const struct rate_grant *grant, int64_t now);
/** Tells that the link to @p holder failed or is cut. */
void rate_entry_on_holder_unreachable(struct rate_entry *entry, uint64_t holder,
				      int64_t now);
/** Call at rate_entry_next_tick(); being late costs refusals, not the bound. */
void rate_entry_tick(struct rate_entry *entry, int64_t now);
/** @return INT64_MAX when nothing is pending */
int64_t rate_entry_next_tick(const struct rate_entry *entry);
/** Takes the oldest action. @return false when there is none */
bool rate_entry_next_action(struct rate_entry *entry, struct rate_action *out);

#endif
