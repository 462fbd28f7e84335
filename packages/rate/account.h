/*
 * Entry side of one account: the requests that wait, the tokens at hand and
 * the holders they come from.
 */
#ifndef RATE_ACCOUNT_H
#define RATE_ACCOUNT_H

#include "rate.h"

#include "base.h"

#include <uthash.h>

/* Requests of one account that may wait at the same time. */
#define ACCOUNT_WAITERS_MAX 256
/* Asks in a row that may be short: twice to each of 27 holders. */
#define ASK_CREDIT_MAX 54.0
/* Demand is averaged over about this long. */
#define DEMAND_TIME_CONSTANT_US 500e3

/* What is left of one grant. */
struct held_grant {
	uint64_t id;
	int64_t left_mt;
	int64_t used_mt;
	int64_t returned_mt;
	bool unreported;
	/* Counted from the sending of the ask. */
	int64_t expires_at;
	/* The rest is returned shortly before it would lapse. */
	int64_t return_at;
};

/* One holder of the account. */
struct token_source {
	uint64_t id;
	/* Process that the pieces come from. */
	uint64_t incarnation;
	struct held_grant grants[RATE_REPORTS_MAX];
	size_t grant_count;
	/* The ask in flight; 0 when none. */
	uint64_t ask_seq;
	int64_t asked_at;
	int64_t asked_need_mt;
	int64_t asked_prefetch_mt;
	/* Earliest times of the next ask. */
	int64_t need_ask_at;
	int64_t prefetch_ask_at;
	int64_t unavailable_until;
	/* 0 unless the last ask ahead was not met in full. */
	int64_t prefetch_backoff;
	int64_t last_prefetch_mt;
	int64_t unavailable_backoff;
};

struct waiter {
	uint64_t request;
	int64_t deadline;
};

/* Actions in order; see actions.c. */
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
	/* The fields below are empty while the account is idle. */
	bool active;
	struct token_source *sources;
	struct waiter *waiters;
	size_t waiter_head, waiter_count;
	/* Lifetime of the latest grant. */
	int64_t grant_lifetime;
	/* Recent demand in milli-tokens a second, as of demand_at. */
	double demand;
	/* The part of it that was refused. */
	double refused_demand;
	int64_t demand_at;
	/* Asks that may be sent, as of ask_credit_at. */
	double ask_credit;
	int64_t ask_credit_at;
	int64_t last_request_at;
	/* When account_tick() has something to do. */
	int64_t due_at;
	struct account *prev, *next;
	UT_hash_handle hh;
};

/* The entry's part that its accounts need. */
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
/* Asks, admits and refuses as far as possible, and sets `due`. */
void account_update(struct account *a, struct account_env *env, int64_t now);
bool account_is_idle(const struct account *a, int64_t now);

/* stock.c: tokens at hand */
int64_t tokens_usable(const struct account *a, int64_t valid_until);
/* Takes one token; the caller has checked that there is one. */
int64_t tokens_spend(struct account *a, int64_t now);
void tokens_add(struct token_source *s, const struct rate_grant *grant,
		int64_t now);
void tokens_drop_expired(struct account *a, int64_t now);
/* Makes all that is left due for return. */
void tokens_schedule_return(struct token_source *s, int64_t now);
/* Whether the source has a rest worth returning at `now`. */
bool tokens_return_due(const struct token_source *s, int64_t now);
/* Writes the reports on the pieces of a source and forgets finished ones. */
void tokens_report(struct token_source *s, struct rate_ask *ask, int64_t now);

/* asking.c: which holder is asked for what */
void asks_send_returns(struct account *a, struct account_env *env, int64_t now);
void asks_send_need(struct account *a, struct account_env *env, int64_t now);
void asks_send_prefetch(struct account *a, struct account_env *env,
			int64_t now);
void asks_expire(struct account *a, int64_t now);
void asks_on_grant(struct account *a, struct token_source *s,
		   const struct rate_grant *grant, int64_t now);
void asks_on_unavailable(struct token_source *s, int64_t now);
/* Earliest time at which a source may be asked for a waiting request. */
int64_t asks_next_need_at(const struct account *a, int64_t now);
/* Whether an answer that may bring tokens is still expected. */
bool asks_in_flight(const struct account *a);
/* When an ask in flight needs attention. */
int64_t asks_due_at(const struct account *a, int64_t now);

#endif
