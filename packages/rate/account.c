/* Admits, queues and refuses the requests of one account. */
#include "account.h"

#include <assert.h>
#include <math.h>

#define ACCOUNT_IDLE_US (5 * BASE_SECOND_US)
/* Amount that one request adds to the average demand. */
#define REQUEST_DEMAND_MT_PER_S \
	((double)(RATE_TOKEN_MT * BASE_SECOND_US) / DEMAND_TIME_CONSTANT_US)
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
	a->grant_lifetime = RATE_GRANT_LIFETIME_MAX_US;
	a->demand_at = now;
	a->ask_credit = ASK_CREDIT_MAX;
	a->ask_credit_at = now;
	a->last_request_at = now;
	a->due_at = INT64_MAX;
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
	a->refused_demand = 0;
	a->active = false;
}

bool account_is_idle(const struct account *a, int64_t now)
{
	return !a->waiter_count && a->last_request_at + ACCOUNT_IDLE_US <= now;
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
	int64_t next = asks_next_need_at(a, now);
	int64_t retry = RETRY_AFTER_MIN_US;

	a->refused_demand += REQUEST_DEMAND_MT_PER_S;
	if (next > now + RETRY_AFTER_MAX_US)
		retry = RETRY_AFTER_MAX_US;
	else if (next - now > retry)
		retry = next - now;
	return (struct rate_decision){
		.result = RATE_REFUSED,
		.retry_after_us = retry,
	};
}

static struct rate_decision admit_with_token(struct account *a, int64_t now)
{
	return (struct rate_decision){
		.result = RATE_ADMITTED,
		.token_expires_at = tokens_spend(a, now),
	};
}

static void decide_first_waiter(struct account *a, struct account_env *env,
				const struct rate_decision *decision)
{
	struct waiter w = pop_waiter(a);

	action_queue_push(&env->actions, &(struct rate_action){
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
		decide_first_waiter(a, env, &decision);
}

static void admit_waiters(struct account *a, struct account_env *env,
			  int64_t now)
{
	int64_t usable = a->waiter_count ? tokens_usable(a, now) : 0;

	for (; a->waiter_count && usable >= RATE_TOKEN_MT;
	     usable -= RATE_TOKEN_MT) {
		struct rate_decision decision = admit_with_token(a, now);

		decide_first_waiter(a, env, &decision);
	}
}

/* Whether no token can arrive before the deadline. */
static bool will_miss_deadline(const struct account *a, int64_t deadline,
			       int64_t now)
{
	if (deadline <= now)
		return true;
	return !asks_in_flight(a) && asks_next_need_at(a, now) >= deadline;
}

static void refuse_late_waiters(struct account *a, struct account_env *env,
				int64_t now)
{
	while (a->waiter_count &&
	       will_miss_deadline(a, waiter_at(a, 0)->deadline, now)) {
		struct rate_decision decision = refuse(a, now);

		decide_first_waiter(a, env, &decision);
	}
}

static void update_due_at(struct account *a, int64_t now)
{
	a->due_at = asks_due_at(a, now);
	if (a->waiter_count && waiter_at(a, 0)->deadline < a->due_at)
		a->due_at = waiter_at(a, 0)->deadline;
	if (!a->waiter_count &&
	    a->last_request_at + ACCOUNT_IDLE_US < a->due_at)
		a->due_at = a->last_request_at + ACCOUNT_IDLE_US;
}

void account_update(struct account *a, struct account_env *env, int64_t now)
{
	tokens_drop_expired(a, now);
	asks_expire(a, now);
	admit_waiters(a, env, now);
	asks_send_need(a, env, now);
	refuse_late_waiters(a, env, now);
	asks_send_prefetch(a, env, now);
	asks_send_returns(a, env, now);
	update_due_at(a, now);
}

static void record_demand(struct account *a, int64_t now)
{
	double age = (double)(now - a->demand_at);

	if (age > 0) {
		a->demand *= exp(-age / DEMAND_TIME_CONSTANT_US);
		a->refused_demand *= exp(-age / DEMAND_TIME_CONSTANT_US);
		a->demand_at = now;
	}
	a->demand += REQUEST_DEMAND_MT_PER_S;
	a->last_request_at = now;
}

static struct rate_decision enqueue_waiter(struct account *a,
					   struct account_env *env,
					   uint64_t request, int64_t now)
{
	int64_t deadline = now + RATE_WAIT_MAX_US;

	if (a->waiter_count == ACCOUNT_WAITERS_MAX)
		return refuse(a, now);
	*waiter_at(a, a->waiter_count++) = (struct waiter){
		.request = request,
		.deadline = deadline,
	};
	asks_send_need(a, env, now);
	if (!will_miss_deadline(a, deadline, now))
		return (struct rate_decision){ .result = RATE_WAITING };
	a->waiter_count--;
	return refuse(a, now);
}

struct rate_decision account_admit(struct account *a, struct account_env *env,
				   uint64_t request, int64_t now)
{
	struct rate_decision decision;

	record_demand(a, now);
	tokens_drop_expired(a, now);
	admit_waiters(a, env, now);
	if (!a->waiter_count && tokens_usable(a, now) >= RATE_TOKEN_MT)
		decision = admit_with_token(a, now);
	else
		decision = enqueue_waiter(a, env, request, now);
	account_update(a, env, now);
	return decision;
}
