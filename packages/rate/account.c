/* Requests of one account: admitted, waiting or refused. */
#include "account.h"

#include <assert.h>
#include <math.h>

#define IDLE_US (5 * BASE_SECOND_US)
/* What one request adds to the average demand. */
#define DEMAND_OF_REQUEST \
	((double)(RATE_TOKEN_MT * BASE_SECOND_US) / DEMAND_AVERAGE_US)
#define RETRY_AFTER_MIN_US BASE_MS_US
#define RETRY_AFTER_MAX_US BASE_SECOND_US

void account_activate(struct account *a, int64_t now)
{
	size_t i;

	a->sources =
		base_alloc_array(a->spec.holder_count + 1, sizeof(*a->sources));
	a->waiters = base_alloc_array(ACCOUNT_WAITERS_MAX, sizeof(*a->waiters));
	for (i = 0; i < a->spec.holder_count; i++)
		a->sources[i].id = a->holder_ids[i];
	a->active = true;
	a->lifetime = RATE_GRANT_LIFETIME_MAX_US;
	a->demand_at = now;
	a->credit = ACCOUNT_SHORT_ASKS;
	a->credit_at = now;
	a->used_at = now;
	a->due = INT64_MAX;
}

void account_deactivate(struct account *a)
{
	free(a->sources);
	free(a->waiters);
	a->sources = NULL;
	a->waiters = NULL;
	a->waiter_head = 0;
	a->waiter_count = 0;
	a->demand = 0;
	a->refused = 0;
	a->active = false;
}

bool account_is_idle(const struct account *a, int64_t now)
{
	return !a->waiter_count && a->used_at + IDLE_US <= now;
}

static struct waiter *waiter_at(struct account *a, size_t i)
{
	return &a->waiters[(a->waiter_head + i) % ACCOUNT_WAITERS_MAX];
}

static struct waiter pop_waiter(struct account *a)
{
	struct waiter w = *waiter_at(a, 0);

	a->waiter_head = (a->waiter_head + 1) % ACCOUNT_WAITERS_MAX;
	a->waiter_count--;
	return w;
}

void account_cancel(struct account *a, uint64_t request)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < a->waiter_count; i++) {
		if (waiter_at(a, i)->request != request)
			*waiter_at(a, kept++) = *waiter_at(a, i);
	}
	a->waiter_count = kept;
}

static struct rate_decision refuse(struct account *a, int64_t now)
{
	int64_t next = asking_next(a, now);
	int64_t retry = RETRY_AFTER_MIN_US;

	a->refused += DEMAND_OF_REQUEST;
	if (next > now + RETRY_AFTER_MAX_US)
		retry = RETRY_AFTER_MAX_US;
	else if (next - now > retry)
		retry = next - now;
	return (struct rate_decision){
		.result = RATE_REFUSED,
		.retry_after_us = retry,
	};
}

static struct rate_decision admission(struct account *a, int64_t now)
{
	return (struct rate_decision){
		.result = RATE_ADMITTED,
		.token_expires_at = stock_take(a, now),
	};
}

static void decide_first(struct account *a, struct account_env *env,
			 const struct rate_decision *decision)
{
	struct waiter w = pop_waiter(a);

	actions_add(&env->actions, &(struct rate_action){
					   .type = RATE_ACTION_DECIDED,
					   .account = a->id,
					   .request = w.request,
					   .decision = *decision,
				   });
}

void account_refuse_waiters(struct account *a, struct account_env *env,
			    int64_t now)
{
	struct rate_decision decision = refuse(a, now);

	while (a->waiter_count)
		decide_first(a, env, &decision);
}

static void serve(struct account *a, struct account_env *env, int64_t now)
{
	int64_t usable = a->waiter_count ? stock_usable(a, now) : 0;

	for (; a->waiter_count && usable >= RATE_TOKEN_MT;
	     usable -= RATE_TOKEN_MT) {
		struct rate_decision decision = admission(a, now);

		decide_first(a, env, &decision);
	}
}

/* Whether a request with that deadline can still get a token. */
static bool is_hopeless(const struct account *a, int64_t deadline, int64_t now)
{
	if (deadline <= now)
		return true;
	return !asking_in_flight(a) && asking_next(a, now) >= deadline;
}

static void refuse_hopeless(struct account *a, struct account_env *env,
			    int64_t now)
{
	while (a->waiter_count &&
	       is_hopeless(a, waiter_at(a, 0)->deadline, now)) {
		struct rate_decision decision = refuse(a, now);

		decide_first(a, env, &decision);
	}
}

static void set_due(struct account *a, int64_t now)
{
	a->due = asking_due(a, now);
	if (a->waiter_count && waiter_at(a, 0)->deadline < a->due)
		a->due = waiter_at(a, 0)->deadline;
	if (!a->waiter_count && a->used_at + IDLE_US < a->due)
		a->due = a->used_at + IDLE_US;
}

void account_advance(struct account *a, struct account_env *env, int64_t now)
{
	stock_drop_lapsed(a, now);
	asking_expire(a, now);
	serve(a, env, now);
	asking_need(a, env, now);
	refuse_hopeless(a, env, now);
	asking_ahead(a, env, now);
	asking_return(a, env, now);
	set_due(a, now);
}

static void note_demand(struct account *a, int64_t now)
{
	double age = (double)(now - a->demand_at);

	if (age > 0) {
		a->demand *= exp(-age / DEMAND_AVERAGE_US);
		a->refused *= exp(-age / DEMAND_AVERAGE_US);
		a->demand_at = now;
	}
	a->demand += DEMAND_OF_REQUEST;
	a->used_at = now;
}

static struct rate_decision enqueue(struct account *a, struct account_env *env,
				    uint64_t request, int64_t now)
{
	int64_t deadline = now + RATE_WAIT_MAX_US;

	if (a->waiter_count == ACCOUNT_WAITERS_MAX)
		return refuse(a, now);
	*waiter_at(a, a->waiter_count++) = (struct waiter){
		.request = request,
		.deadline = deadline,
	};
	asking_need(a, env, now);
	if (!is_hopeless(a, deadline, now))
		return (struct rate_decision){ .result = RATE_WAITING };
	a->waiter_count--;
	return refuse(a, now);
}

struct rate_decision account_admit(struct account *a, struct account_env *env,
				   uint64_t request, int64_t now)
{
	struct rate_decision decision;

	note_demand(a, now);
	stock_drop_lapsed(a, now);
	serve(a, env, now);
	if (!a->waiter_count && stock_usable(a, now) >= RATE_TOKEN_MT)
		decision = admission(a, now);
	else
		decision = enqueue(a, env, request, now);
	account_advance(a, env, now);
	return decision;
}
