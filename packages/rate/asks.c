/* Which holder is asked for how much, and when. */
#include "account.h"
#include "minmax.h"

#include <math.h>

/* Another holder is asked when an answer takes longer than this. */
#define OVERDUE_US (4 * BASE_MS_US)
/* A holder that has not answered after this time counts as silent. */
#define SILENT_US (100 * BASE_MS_US)
#define SILENT_BACKOFF_MIN_US (250 * BASE_MS_US)
#define SILENT_BACKOFF_MAX_US BASE_SECOND_US
#define RETRY_MIN_US BASE_MS_US
#define FAR_RETRY_US BASE_SECOND_US
#define AHEAD_BACKOFF_MIN_US (100 * BASE_MS_US)
#define AHEAD_BACKOFF_MAX_US (400 * BASE_MS_US)
/* With this many holders short, what is missing is split over the others. */
#define SHORT_HOLDERS 2
#define SPLIT_MIN_MT (RATE_TOKEN_MT / 4)
/*
 * Stock in parts of the lifetime of a grant: an ask fills up to the target when
 * less than the low mark is left of tokens that last a while.
 */
#define TARGET_PART 0.5
#define LOW_PART 0.16
#define LASTING_DIVISOR 8
/*
 * Asks that bring less than a token, or less than waiting requests need, are
 * limited to this many a second and a token while overloaded; otherwise each
 * daemon would ask each holder all the time.
 */
#define SHORT_ASKS_PER_SECOND 20.0
#define SHORT_ASKS_PER_TOKEN 0.25
/* Overloaded: this part of the requests is refused. */
#define OVERLOAD_PART 0.25
/* No stock is kept when less demand is expected within a lifetime. */
#define STOCK_MIN_MT (2 * RATE_TOKEN_MT)

static bool is_overdue(const struct source *s, int64_t now)
{
	return s->ask_seq && s->asked_at + OVERDUE_US <= now;
}

static bool has_room(const struct source *s)
{
	size_t i, kept = 0;

	for (i = 0; i < s->piece_count; i++)
		kept += s->pieces[i].left_mt > 0;
	return kept < RATE_REPORTS_MAX;
}

static bool is_askable(const struct source *s, int64_t now)
{
	return !s->ask_seq && s->silent_until <= now && has_room(s);
}

static bool may_need(const struct source *s, int64_t now)
{
	return is_askable(s, now) && s->need_at <= now;
}

static bool may_ahead(const struct source *s, int64_t now)
{
	return is_askable(s, now) && s->ahead_at <= now;
}

static void refill_credit(struct account *a, int64_t now)
{
	a->credit += (double)(now - a->credit_at) * SHORT_ASKS_PER_SECOND /
		     (double)BASE_SECOND_US;
	if (a->credit > ACCOUNT_SHORT_ASKS)
		a->credit = ACCOUNT_SHORT_ASKS;
	a->credit_at = now;
}

static bool is_out_of_asks(const struct account *a)
{
	return a->credit < 1 && a->refused > OVERLOAD_PART * a->demand;
}

static void send(struct account *a, struct account_env *env, struct source *s,
		 int64_t need, int64_t ahead, int64_t now)
{
	struct rate_action action = {
		.type = RATE_ACTION_ASK,
		.account = a->id,
		.holder = s->id,
		.ask = { .account = a->id,
			 .entry = env->incarnation,
			 .seq = ++env->last_seq,
			 .need_mt = need,
			 .ahead_mt = ahead },
	};

	stock_report(s, &action.ask, now);
	actions_add(&env->actions, &action);
	if (need <= 0 && ahead <= 0)
		return;
	a->credit = a->credit > 1 ? a->credit - 1 : 0;
	s->ask_seq = action.ask.seq;
	s->asked_at = now;
	s->asked_need_mt = need;
	s->asked_ahead_mt = ahead;
}

/* What a holder is likely to give ahead, judged by its last answer. */
static int64_t likely_ahead(const struct source *s, int64_t wanted)
{
	if (!s->ahead_backoff)
		return wanted;
	return min_i64(wanted, s->ahead_given_mt + RATE_TOKEN_MT);
}

/* What is asked for and not overdue. */
static int64_t expected(const struct account *a, int64_t now, bool with_ahead)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct source *s = &a->sources[i];

		if (!s->ask_seq || is_overdue(s, now))
			continue;
		sum += s->asked_need_mt;
		if (with_ahead)
			sum += likely_ahead(s, s->asked_ahead_mt);
	}
	return sum;
}

static double demand_at(const struct account *a, int64_t now)
{
	double age = (double)(now - a->demand_at);

	return a->demand * exp(-age / DEMAND_AVERAGE_US);
}

/* Whether a token at hand is likely to be used before it lapses. */
static bool keeps_stock(const struct account *a, int64_t now)
{
	double lifetime = (double)a->lifetime / (double)BASE_SECOND_US;

	return demand_at(a, now) * lifetime >= STOCK_MIN_MT;
}

/* Tokens wanted for requests to come; 0 while the stock lasts. */
static int64_t ahead_wanted(const struct account *a, int64_t now)
{
	double lifetime = (double)a->lifetime / (double)BASE_SECOND_US;
	double demand = demand_at(a, now);
	double target = demand * lifetime * TARGET_PART;
	int64_t lasting = a->lifetime / LASTING_DIVISOR;
	int64_t stock;

	if (!keeps_stock(a, now))
		return 0;
	stock = stock_usable(a, now + lasting) + expected(a, now, true) -
		(int64_t)a->waiter_count * RATE_TOKEN_MT;
	if (stock > RATE_TOKEN_MT + (int64_t)(demand * lifetime * LOW_PART))
		return 0;
	target = ceil((target - (double)stock) / RATE_TOKEN_MT);
	return max_i64((int64_t)target, 1) * RATE_TOKEN_MT;
}

static int64_t need_missing(const struct account *a, int64_t now)
{
	int64_t need = (int64_t)a->waiter_count * RATE_TOKEN_MT;

	if (!need)
		return 0;
	return need - stock_usable(a, now) - expected(a, now, false);
}

/* How much to ask of each holder at a time. */
static int64_t need_part(const struct account *a, int64_t missing, int64_t now)
{
	int64_t askable = 0;
	int64_t shorts = 0;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		askable += may_need(&a->sources[i], now);
		shorts += a->sources[i].need_at > now;
	}
	if (shorts < SHORT_HOLDERS || !askable)
		return missing;
	return max_i64((missing + askable - 1) / askable, SPLIT_MIN_MT);
}

void asking_need(struct account *a, struct account_env *env, int64_t now)
{
	int64_t missing = need_missing(a, now);
	int64_t ahead, part;
	size_t i;

	if (missing <= 0)
		return;
	refill_credit(a, now);
	ahead = ahead_wanted(a, now);
	part = need_part(a, missing, now);
	for (i = 0; i < a->spec.holder_count && missing > 0; i++) {
		if (is_out_of_asks(a))
			return;
		struct source *s = &a->sources[i];

		if (!may_need(s, now))
			continue;
		send(a, env, s, min_i64(part, missing),
		     s->ahead_at <= now ? ahead : 0, now);
		missing -= part;
		ahead = 0;
	}
}

void asking_ahead(struct account *a, struct account_env *env, int64_t now)
{
	int64_t wanted = ahead_wanted(a, now);
	size_t i;

	refill_credit(a, now);
	for (i = 0; i < a->spec.holder_count && wanted > 0; i++) {
		if (is_out_of_asks(a))
			return;
		if (!may_ahead(&a->sources[i], now))
			continue;
		send(a, env, &a->sources[i], 0, wanted, now);
		wanted -= likely_ahead(&a->sources[i], wanted);
	}
}

void asking_return(struct account *a, struct account_env *env, int64_t now)
{
	bool surplus = !a->waiter_count && !asking_in_flight(a) &&
		       !keeps_stock(a, now);
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		if (surplus)
			stock_give_back(&a->sources[i], now);
		if (stock_return_due(&a->sources[i], now))
			send(a, env, &a->sources[i], 0, 0, now);
	}
}

void asking_on_silent(struct source *s, int64_t now)
{
	s->ask_seq = 0;
	s->silent_backoff =
		min_i64(max_i64(2 * s->silent_backoff, SILENT_BACKOFF_MIN_US),
			SILENT_BACKOFF_MAX_US);
	s->silent_until = now + s->silent_backoff;
}

void asking_expire(struct account *a, int64_t now)
{
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct source *s = &a->sources[i];

		if (s->ask_seq && s->asked_at + SILENT_US <= now)
			asking_on_silent(s, now);
	}
}

/* Asks ahead less and less often of a holder that has nothing to spare. */
static void note_ahead(struct source *s, int64_t amount, int64_t now)
{
	int64_t ahead = max_i64(amount - s->asked_need_mt, 0);

	if (!s->asked_ahead_mt)
		return;
	s->ahead_given_mt = ahead;
	if (ahead >= s->asked_ahead_mt) {
		s->ahead_backoff = 0;
		return;
	}
	if (ahead > 0)
		s->ahead_backoff = AHEAD_BACKOFF_MIN_US;
	else
		s->ahead_backoff = min_i64(
			max_i64(2 * s->ahead_backoff, AHEAD_BACKOFF_MIN_US),
			AHEAD_BACKOFF_MAX_US);
	s->ahead_at = now + s->ahead_backoff;
}

void asking_on_grant(struct account *a, struct source *s,
		     const struct rate_grant *grant, int64_t now)
{
	int64_t amount = grant->amount_mt;

	s->ask_seq = 0;
	s->silent_until = 0;
	s->silent_backoff = 0;
	if (amount >= max_i64(s->asked_need_mt, RATE_TOKEN_MT))
		a->credit += 1;
	a->credit += (double)amount * SHORT_ASKS_PER_TOKEN / RATE_TOKEN_MT;
	if (grant->status != RATE_GRANT_OK) {
		s->need_at = now + max_i64(grant->retry_us, RETRY_MIN_US);
		s->ahead_at = s->need_at;
		return;
	}
	if (s->asked_ahead_mt > 0)
		a->lifetime = grant->lifetime_us;
	/* Too far away for grants of this lifetime. */
	if (s->asked_at + grant->lifetime_us <= now)
		s->need_at = now + FAR_RETRY_US;
	else if (amount < s->asked_need_mt)
		s->need_at = now + max_i64(grant->retry_us, RETRY_MIN_US);
	note_ahead(s, amount, now);
	stock_add(s, grant, now);
}

/* When the credit for the next ask is there. */
static int64_t credit_due(const struct account *a)
{
	double missing = 1 - a->credit;

	if (!is_out_of_asks(a))
		return a->credit_at;
	return a->credit_at + 1 +
	       (int64_t)(missing / SHORT_ASKS_PER_SECOND *
			 (double)BASE_SECOND_US);
}

int64_t asking_next(const struct account *a, int64_t now)
{
	int64_t next = INT64_MAX;
	int64_t credit = credit_due(a);
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct source *s = &a->sources[i];
		int64_t at = max_i64(s->need_at, s->silent_until);

		at = max_i64(at, credit);
		if (!s->ask_seq && has_room(s))
			next = min_i64(next, max_i64(at, now));
	}
	return next;
}

bool asking_in_flight(const struct account *a)
{
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct source *s = &a->sources[i];

		if (s->ask_seq && s->asked_need_mt + s->asked_ahead_mt > 0)
			return true;
	}
	return false;
}

static int64_t source_due(const struct account *a, const struct source *s,
			  int64_t now)
{
	int64_t due = INT64_MAX;
	size_t i;

	for (i = 0; i < s->piece_count; i++) {
		const struct piece *p = &s->pieces[i];

		due = min_i64(due, p->return_at > now ? p->return_at
						      : p->expires_at);
	}
	if (s->ask_seq && a->waiter_count && !is_overdue(s, now))
		due = min_i64(due, s->asked_at + OVERDUE_US);
	else if (s->ask_seq)
		due = min_i64(due, s->asked_at + SILENT_US);
	return due;
}

int64_t asking_due(const struct account *a, int64_t now)
{
	int64_t due = INT64_MAX;
	size_t i;

	for (i = 0; i < a->spec.holder_count; i++)
		due = min_i64(due, source_due(a, &a->sources[i], now));
	if (a->waiter_count && need_missing(a, now) > 0)
		due = min_i64(due, max_i64(asking_next(a, now), now + 1));
	return due;
}
