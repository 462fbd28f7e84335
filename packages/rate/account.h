/*
 * Entry side of one account: the requests that wait for a token, the tokens
 * granted to this entry, and the holders that grant them. Times and durations
 * are microseconds of the local monotonic clock.
 */
#ifndef RATE_ACCOUNT_H
#define RATE_ACCOUNT_H

#include "rate.h"

#include "base.h"

#include <uthash.h>

/* Greatest number of requests of one account that wait at the same time. */
#define ACCOUNT_WAITERS_MAX 256
/* Bound of account.ask_credit: two asks to each of 27 holders. */
#define ASK_CREDIT_MAX 54.0
/* Time constant of the exponential average of the demand. */
#define DEMAND_TIME_CONSTANT_US 500e3

/* A grant that this entry holds, with what is left of it. */
struct held_grant {
	uint64_t id;
	int64_t left_mt;
	int64_t used_mt;
	int64_t returned_mt;
	/* Used or returned amounts have changed since the last report. */
	bool unreported;
	/* The lifetime is counted from the time at which the ask was sent. */
	int64_t expires_at;
	/* Unused tokens are returned at this time, before they expire. */
	int64_t return_at;
};

/* One holder of the account and the grants that it made to this entry. */
struct token_source {
	/* The holder, as in rate_account.holders. */
	uint64_t id;
	/* Process of the holder that made the grants. */
	uint64_t incarnation;
	struct held_grant grants[RATE_REPORTS_MAX];
	size_t grant_count;
	/* Sequence number of the ask in flight; 0 when there is none. */
	uint64_t ask_seq;
	int64_t asked_at;
	int64_t asked_need_mt;
	int64_t asked_prefetch_mt;
	/* Earliest time of the next ask for waiting requests. */
	int64_t need_ask_at;
	/* Earliest time of the next ask for prefetched tokens. */
	int64_t prefetch_ask_at;
	/* No tokens are asked for before this time, after a failed ask. */
	int64_t unavailable_until;
	/* 0 unless the last prefetch was granted only in part or not at all. */
	int64_t prefetch_backoff;
	/* Milli-tokens of prefetch that the last such ask brought. */
	int64_t last_prefetch_mt;
	int64_t unavailable_backoff;
};

struct waiter {
	uint64_t request;
	int64_t deadline;
};

/* FIFO queue of the actions that the caller must take. */
struct action_queue {
	struct rate_action *items;
	size_t head, count, capacity;
};

void action_queue_push(struct action_queue *q,
		       const struct rate_action *action);
bool action_queue_pop(struct action_queue *q, struct rate_action *out);
void action_queue_clear(struct action_queue *q);

struct account {
	uint64_t id;
	struct rate_account spec;
	uint64_t *holder_ids;
	/* The fields below, up to due_at, are used only while it is active. */
	bool active;
	struct token_source *sources;
	/* Ring buffer of ACCOUNT_WAITERS_MAX elements. */
	struct waiter *waiters;
	size_t waiter_head, waiter_count;
	/* Lifetime in the latest answer to an ask with prefetch. */
	int64_t grant_lifetime;
	/* Average demand in milli-tokens a second, as of demand_at. */
	double demand;
	/* The refused part of `demand`. */
	double refused_demand;
	int64_t demand_at;
	/* Token bucket that limits asks under overload, as of ask_credit_at. */
	double ask_credit;
	int64_t ask_credit_at;
	int64_t last_request_at;
	/* account_update() must be called at this time. */
	int64_t due_at;
	struct account *prev, *next;
	UT_hash_handle hh;
};

/* State of the entry that all its accounts share. */
struct account_env {
	uint64_t incarnation;
	uint64_t last_seq;
	struct action_queue actions;
};

/* account.c: requests */
void account_activate(struct account *a, int64_t now);
void account_deactivate(struct account *a);
struct rate_decision account_admit(struct account *a, struct account_env *env,
				   uint64_t request, int64_t now);
void account_cancel(struct account *a, uint64_t request);
void account_refuse_waiters(struct account *a, struct account_env *env,
			    int64_t now);
/*
 * Admits or refuses waiting requests, sends the asks that are due, and sets
 * account.due_at.
 */
void account_update(struct account *a, struct account_env *env, int64_t now);
bool account_is_idle(const struct account *a, int64_t now);

/* tokens.c: granted tokens */
/* Milli-tokens that expire later than `valid_until`. */
int64_t tokens_usable(const struct account *a, int64_t valid_until);
/*
 * Spends one token, which must be there at `now`. Returns the time at which the
 * spent token expires.
 */
int64_t tokens_spend(struct account *a, int64_t now);
void tokens_add(struct token_source *s, const struct rate_grant *grant,
		int64_t now);
void tokens_drop_expired(struct account *a, int64_t now);
/* Makes all unused tokens of the source due for return. */
void tokens_schedule_return(struct token_source *s, int64_t now);
/* Whether the source has unused tokens that are worth returning at `now`. */
bool tokens_return_due(const struct token_source *s, int64_t now);
/*
 * Adds the reports on the grants of a source to an ask, and drops grants that
 * are used up or returned in full.
 */
void tokens_report(struct token_source *s, struct rate_ask *ask, int64_t now);

/* asks.c: asks to the holders */
/* Returns unused tokens that are about to expire or unlikely to be used. */
void asks_send_returns(struct account *a, struct account_env *env, int64_t now);
/* Asks for the tokens that waiting requests lack. */
void asks_send_need(struct account *a, struct account_env *env, int64_t now);
/* Asks for the tokens of requests that are expected soon. */
void asks_send_prefetch(struct account *a, struct account_env *env,
			int64_t now);
/* Times out asks that were not answered. */
void asks_expire(struct account *a, int64_t now);
void asks_on_grant(struct account *a, struct token_source *s,
		   const struct rate_grant *grant, int64_t now);
/* The holder was unreachable or timed out: backs off. */
void asks_on_unavailable(struct token_source *s, int64_t now);
/* Earliest time at which a holder may be asked for a waiting request. */
int64_t asks_next_need_at(const struct account *a, int64_t now);
/* Whether an ask for tokens is still to be answered. */
bool asks_in_flight(const struct account *a);
/* Next time at which an ask is due, overdue or times out, or a grant ends. */
int64_t asks_due_at(const struct account *a, int64_t now);

#endif
