/* Decides which holders are asked for how many tokens, and when. */
#include "account.h"
#include "minmax.h"

#include <math.h>

/* After this time without an answer, another holder is asked as well. */
#define ANSWER_OVERDUE_US (4 * BASE_MS_US)
/* After this time without an answer, the holder counts as unavailable. */
#define ANSWER_TIMEOUT_US (100 * BASE_MS_US)
#define UNAVAILABLE_BACKOFF_MIN_US (250 * BASE_MS_US)
#define UNAVAILABLE_BACKOFF_MAX_US BASE_SECOND_US
#define RETRY_MIN_US BASE_MS_US
/* Used when a grant had expired before it arrived. */
#define EXPIRED_GRANT_RETRY_US BASE_SECOND_US
#define PREFETCH_BACKOFF_MIN_US (100 * BASE_MS_US)
#define PREFETCH_BACKOFF_MAX_US (400 * BASE_MS_US)
/*
 * When at least this many holders may not be asked again yet because their last
 * grant fell short, the missing tokens are split over the others.
 */
#define SPLIT_MIN_SHORT_HOLDERS 2
#define SPLIT_MIN_MT (RATE_TOKEN_MT / 4)
/*
 * Prefetch marks, as fractions of the demand within the lifetime of a grant.
 * When the tokens that do not expire soon are at most one above the low mark,
 * an ask fills them up to the target. A token expires soon when no more than
 * the lifetime divided by EXPIRING_SOON_DIVISOR is left.
 */
#define TARGET_LIFETIME_FRACTION 0.5
#define LOW_LIFETIME_FRACTION 0.16
#define EXPIRING_SOON_DIVISOR 8
/*
 * While an account is overloaded, the asks whose grants fall short of one token
 * or of the waiting requests are limited to this many a second, plus this many
 * for each granted token. Without a limit each daemon would ask each holder all
 * the time.
 */
#define ASK_CREDIT_PER_SECOND 20.0
#define ASK_CREDIT_PER_TOKEN 0.25
/* An account is overloaded when more than this part of demand is refused. */
#define OVERLOAD_REFUSED_FRACTION 0.25
/* Nothing is prefetched for less demand within the lifetime of a grant. */
#define PREFETCH_DEMAND_MIN_MT (2 * RATE_TOKEN_MT)

static bool is_answer_overdue(const struct token_source *s, int64_t now)
{
	return s->ask_seq && s->asked_at + ANSWER_OVERDUE_US <= now;
}

/* Each ask can report on RATE_REPORTS_MAX grants only. */
static bool has_grant_slot(const struct token_source *s)
{
	size_t i, used_slots = 0;

	for (i = 0; i < s->grant_count; i++)
		used_slots += s->grants[i].left_mt > 0;
	return used_slots < RATE_REPORTS_MAX;
}

static bool can_ask(const struct token_source *s, int64_t now)
{
	return !s->ask_seq && s->unavailable_until <= now && has_grant_slot(s);
}

static bool can_ask_need(const struct token_source *s, int64_t now)
{
	return can_ask(s, now) && s->need_ask_at <= now;
}

static bool can_ask_prefetch(const struct token_source *s, int64_t now)
{
	return can_ask(s, now) && s->prefetch_ask_at <= now;
}

static void refill_ask_credit(struct account *a, int64_t now)
{
	a->ask_credit += (double)(now - a->ask_credit_at) *
			 ASK_CREDIT_PER_SECOND / (double)BASE_SECOND_US;
	if (a->ask_credit > ASK_CREDIT_MAX)
		a->ask_credit = ASK_CREDIT_MAX;
	a->ask_credit_at = now;
}

static bool is_ask_limited(const struct account *a)
{
	return a->ask_credit < 1 &&
	       a->refused_demand > OVERLOAD_REFUSED_FRACTION * a->demand;
}

static void send_ask(struct account *a, struct account_env *env,
		     struct token_source *s, int64_t need, int64_t prefetch,
		     int64_t now)
{
	struct rate_action action = {
		.type = RATE_ACTION_ASK,
		.account = a->id,
		.holder = s->id,
		.ask = { .account = a->id,
			 .entry = env->incarnation,
			 .seq = ++env->last_seq,
			 .need_mt = need,
			 .prefetch_mt = prefetch },
	};

	tokens_report(s, &action.ask, now);
	action_queue_push(&env->actions, &action);
	if (need <= 0 && prefetch <= 0)
		return;
	a->ask_credit = a->ask_credit > 1 ? a->ask_credit - 1 : 0;
	s->ask_seq = action.ask.seq;
	s->asked_at = now;
	s->asked_need_mt = need;
	s->asked_prefetch_mt = prefetch;
}

/* Tokens that a holder is likely to grant, judged by its last answer. */
static int64_t expected_prefetch(const struct token_source *s, int64_t wanted)
{
	if (!s->prefetch_backoff)
		return wanted;
	return min_i64(wanted, s->last_prefetch_mt + RATE_TOKEN_MT);
}

/* Tokens that asks in flight are expected to bring, without overdue asks. */
static int64_t expected_tokens(const struct account *a, int64_t now,
			       bool with_prefetch)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct token_source *s = &a->sources[i];

		if (!s->ask_seq || is_answer_overdue(s, now))
			continue;
		sum += s->asked_need_mt;
		if (with_prefetch)
			sum += expected_prefetch(s, s->asked_prefetch_mt);
	}
	return sum;
}

static double current_demand(const struct account *a, int64_t now)
{
	double age = (double)(now - a->demand_at);

	return a->demand * exp(-age / DEMAND_TIME_CONSTANT_US);
}

/* Whether a prefetched token is likely to be used before it expires. */
static bool should_prefetch(const struct account *a, int64_t now)
{
	double lifetime = (double)a->grant_lifetime / (double)BASE_SECOND_US;

	return current_demand(a, now) * lifetime >= PREFETCH_DEMAND_MIN_MT;
}

/* Milli-tokens to prefetch; 0 while enough are available. */
static int64_t prefetch_wanted(const struct account *a, int64_t now)
{
	double lifetime = (double)a->grant_lifetime / (double)BASE_SECOND_US;
	double demand = current_demand(a, now);
	double target = demand * lifetime * TARGET_LIFETIME_FRACTION;
	int64_t expiring_soon = a->grant_lifetime / EXPIRING_SOON_DIVISOR;
	int64_t available;

	if (!should_prefetch(a, now))
		return 0;
	available = tokens_usable(a, now + expiring_soon) +
		    expected_tokens(a, now, true) -
		    (int64_t)a->waiter_count * RATE_TOKEN_MT;
	if (available > RATE_TOKEN_MT + (int64_t)(demand * lifetime *
						  LOW_LIFETIME_FRACTION))
		return 0;
	target = ceil((target - (double)available) / RATE_TOKEN_MT);
	return max_i64((int64_t)target, 1) * RATE_TOKEN_MT;
}

/* Tokens that waiting requests lack beyond those held or asked for. */
static int64_t need_missing(const struct account *a, int64_t now)
{
	int64_t need = (int64_t)a->waiter_count * RATE_TOKEN_MT;

	if (!need)
		return 0;
	return need - tokens_usable(a, now) - expected_tokens(a, now, false);
}

/* Tokens to ask of one holder at a time. */
static int64_t need_per_ask(const struct account *a, int64_t missing,
			    int64_t now)
{
	int64_t askable_holders = 0;
	int64_t short_holders = 0;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		askable_holders += can_ask_need(&a->sources[i], now);
		short_holders += a->sources[i].need_ask_at > now;
	}
	if (short_holders < SPLIT_MIN_SHORT_HOLDERS || !askable_holders)
		return missing;
	return max_i64((missing + askable_holders - 1) / askable_holders,
		       SPLIT_MIN_MT);
}

void asks_send_need(struct account *a, struct account_env *env, int64_t now)
{
	int64_t missing = need_missing(a, now);
	int64_t prefetch, part;
	size_t i;

	if (missing <= 0)
		return;
	refill_ask_credit(a, now);
	prefetch = prefetch_wanted(a, now);
	part = need_per_ask(a, missing, now);
	for (i = 0; i < a->spec.holder_count && missing > 0; i++) {
		if (is_ask_limited(a))
			return;
		struct token_source *s = &a->sources[i];

		if (!can_ask_need(s, now))
			continue;
		send_ask(a, env, s, min_i64(part, missing),
			 s->prefetch_ask_at <= now ? prefetch : 0, now);
		missing -= part;
		prefetch = 0;
	}
}

void asks_send_prefetch(struct account *a, struct account_env *env, int64_t now)
{
	int64_t wanted = prefetch_wanted(a, now);
	size_t i;

	refill_ask_credit(a, now);
	for (i = 0; i < a->spec.holder_count && wanted > 0; i++) {
		if (is_ask_limited(a))
			return;
		if (!can_ask_prefetch(&a->sources[i], now))
			continue;
		send_ask(a, env, &a->sources[i], 0, wanted, now);
		wanted -= expected_prefetch(&a->sources[i], wanted);
	}
}

void asks_send_returns(struct account *a, struct account_env *env, int64_t now)
{
	bool surplus = !a->waiter_count && !asks_in_flight(a) &&
		       !should_prefetch(a, now);
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		if (surplus)
			tokens_schedule_return(&a->sources[i], now);
		if (tokens_return_due(&a->sources[i], now))
			send_ask(a, env, &a->sources[i], 0, 0, now);
	}
}

void asks_on_unavailable(struct token_source *s, int64_t now)
{
	s->ask_seq = 0;
	s->unavailable_backoff = min_i64(
		max_i64(2 * s->unavailable_backoff, UNAVAILABLE_BACKOFF_MIN_US),
		UNAVAILABLE_BACKOFF_MAX_US);
	s->unavailable_until = now + s->unavailable_backoff;
}

void asks_expire(struct account *a, int64_t now)
{
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct token_source *s = &a->sources[i];

		if (s->ask_seq && s->asked_at + ANSWER_TIMEOUT_US <= now)
			asks_on_unavailable(s, now);
	}
}

/*
 * Backs off from prefetching: for the minimum after a partial grant, and longer
 * each time after no grant.
 */
static void record_prefetch(struct token_source *s, int64_t amount, int64_t now)
{
	int64_t prefetch = max_i64(amount - s->asked_need_mt, 0);

	if (!s->asked_prefetch_mt)
		return;
	s->last_prefetch_mt = prefetch;
	if (prefetch >= s->asked_prefetch_mt) {
		s->prefetch_backoff = 0;
		return;
	}
	if (prefetch > 0)
		s->prefetch_backoff = PREFETCH_BACKOFF_MIN_US;
	else
		s->prefetch_backoff = min_i64(max_i64(2 * s->prefetch_backoff,
						      PREFETCH_BACKOFF_MIN_US),
					      PREFETCH_BACKOFF_MAX_US);
	s->prefetch_ask_at = now + s->prefetch_backoff;
}

void asks_on_grant(struct account *a, struct token_source *s,
		   const struct rate_grant *grant, int64_t now)
{
	int64_t amount = grant->amount_mt;

	s->ask_seq = 0;
	s->unavailable_until = 0;
	s->unavailable_backoff = 0;
	if (amount >= max_i64(s->asked_need_mt, RATE_TOKEN_MT))
		a->ask_credit += 1;
	a->ask_credit += (double)amount * ASK_CREDIT_PER_TOKEN / RATE_TOKEN_MT;
	if (grant->status != RATE_GRANT_OK) {
		s->need_ask_at = now + max_i64(grant->retry_us, RETRY_MIN_US);
		s->prefetch_ask_at = s->need_ask_at;
		return;
	}
	if (s->asked_prefetch_mt > 0)
		a->grant_lifetime = grant->lifetime_us;
	/* The round trip takes longer than the lifetime of the grant. */
	if (s->asked_at + grant->lifetime_us <= now)
		s->need_ask_at = now + EXPIRED_GRANT_RETRY_US;
	else if (amount < s->asked_need_mt)
		s->need_ask_at = now + max_i64(grant->retry_us, RETRY_MIN_US);
	record_prefetch(s, amount, now);
	tokens_add(s, grant, now);
}

/* Earliest time at which the credit suffices for another ask. */
static int64_t ask_credit_due_at(const struct account *a)
{
	double missing = 1 - a->ask_credit;

	if (!is_ask_limited(a))
		return a->ask_credit_at;
	return a->ask_credit_at + 1 +
	       (int64_t)(missing / ASK_CREDIT_PER_SECOND *
			 (double)BASE_SECOND_US);
}

int64_t asks_next_need_at(const struct account *a, int64_t now)
{
	int64_t next = INT64_MAX;
	int64_t credit = ask_credit_due_at(a);
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct token_source *s = &a->sources[i];
		int64_t ask_at = max_i64(s->need_ask_at, s->unavailable_until);

		ask_at = max_i64(ask_at, credit);
		if (!s->ask_seq && has_grant_slot(s))
			next = min_i64(next, max_i64(ask_at, now));
	}
	return next;
}

bool asks_in_flight(const struct account *a)
{
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct token_source *s = &a->sources[i];

		if (s->ask_seq && s->asked_need_mt + s->asked_prefetch_mt > 0)
			return true;
	}
	return false;
}

static int64_t source_due_at(const struct account *a,
			     const struct token_source *s, int64_t now)
{
	int64_t due = INT64_MAX;
	size_t i;

	for (i = 0; i < s->grant_count; i++) {
		const struct held_grant *g = &s->grants[i];

		due = min_i64(due, g->return_at > now ? g->return_at
						      : g->expires_at);
	}
	if (s->ask_seq && a->waiter_count && !is_answer_overdue(s, now))
		due = min_i64(due, s->asked_at + ANSWER_OVERDUE_US);
	else if (s->ask_seq)
		due = min_i64(due, s->asked_at + ANSWER_TIMEOUT_US);
	return due;
}

int64_t asks_due_at(const struct account *a, int64_t now)
{
	int64_t due = INT64_MAX;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++)
		due = min_i64(due, source_due_at(a, &a->sources[i], now));
	if (a->waiter_count && need_missing(a, now) > 0)
		due = min_i64(due, max_i64(asks_next_need_at(a, now), now + 1));
	return due;
}
