/* Retry budget, and the decision after a failure. */
#include "retry.h"

#include <math.h>

/* Unspent tokens decay; debt remains until successes pay it off. */
static void decay(struct retry_budget *budget, int64_t now)
{
	double age = (double)(now - budget->updated_at);

	if (budget->tokens > 0 && age > 0)
		budget->tokens *= exp(-age / RETRY_BUDGET_DECAY_TIME_US);
	budget->updated_at = now;
}

void retry_budget_init(struct retry_budget *budget, double tokens_per_success,
		       double max_tokens)
{
	*budget =
		(struct retry_budget){ .tokens_per_success = tokens_per_success,
				       .max_tokens = max_tokens };
}

void retry_budget_record_success(struct retry_budget *budget, int64_t now)
{
	double max_tokens = budget->max_tokens > 0 ? budget->max_tokens
						   : RETRY_BUDGET_MAX_TOKENS;

	decay(budget, now);
	budget->tokens += budget->tokens_per_success > 0
				  ? budget->tokens_per_success
				  : RETRY_BUDGET_TOKENS_PER_SUCCESS;
	if (budget->tokens > max_tokens)
		budget->tokens = max_tokens;
}

bool retry_budget_try_spend(struct retry_budget *budget, int64_t now)
{
	decay(budget, now);
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

void retry_budget_charge(struct retry_budget *budget, int64_t now)
{
	decay(budget, now);
	budget->tokens -= 1;
}

uint32_t retry_initial_attempt(struct retry_budget *budget, int64_t now)
{
	decay(budget, now);
	return budget->tokens < 1 ? 1 : 0;
}

static struct retry_decision give_up(enum retry_reason reason, uint32_t attempt)
{
	struct retry_decision d = { .action = RETRY_ACTION_GIVE_UP,
				    .reason = reason,
				    .attempt = attempt,
				    .retried = true };

	return d;
}

static struct retry_decision decide_not_run(const struct retry_failure *failed,
					    struct retry_budget *budget,
					    int64_t now)
{
	struct retry_decision d = { .action = RETRY_ACTION_REROUTE };
	uint32_t max = RETRY_REROUTES_MAX;

	if (failed->outcome == RETRY_OUTCOME_OVERLOADED)
		max = RETRY_REROUTES_OVERLOAD_MAX;
	if (failed->reroutes >= max)
		return give_up(RETRY_REASON_REROUTES, failed->attempt);
	/*
	 * A request that reached a backend server has put load on it, even if
	 * the server rejected it, so sending it again takes a token.
	 */
	if (failed->arrived && !retry_budget_try_spend(budget, now))
		return give_up(RETRY_REASON_BUDGET, failed->attempt);
	d.attempt = failed->attempt;
	d.retried = failed->attempt > 0 || failed->answer_retried;
	return d;
}

struct retry_decision retry_decide(const struct retry_failure *failed,
				   struct retry_budget *budget, int64_t now)
{
	struct retry_decision d = { .action = RETRY_ACTION_RETRY,
				    .attempt = failed->attempt + 1,
				    .retried = true };

	if (failed->outcome == RETRY_OUTCOME_DEADLINE ||
	    now >= failed->deadline)
		return give_up(RETRY_REASON_DEADLINE, failed->attempt);
	if (failed->outcome == RETRY_OUTCOME_NOT_RUN ||
	    failed->outcome == RETRY_OUTCOME_OVERLOADED)
		return decide_not_run(failed, budget, now);
	if (!failed->idempotent)
		return give_up(RETRY_REASON_NOT_IDEMPOTENT, failed->attempt);
	if (failed->attempt > 0 || failed->answer_retried)
		return give_up(RETRY_REASON_CHAIN, failed->attempt);
	if (!retry_budget_try_spend(budget, now))
		return give_up(RETRY_REASON_BUDGET, failed->attempt);
	return d;
}

int64_t retry_after_ms(struct base_rand *rnd, int64_t base_ms)
{
	return base_ms + (int64_t)(base_rand_unit(rnd) * (double)base_ms);
}

const char *retry_reason_str(enum retry_reason reason)
{
	switch (reason) {
	case RETRY_REASON_NONE:
		return "none";
	case RETRY_REASON_NOT_IDEMPOTENT:
		return "not_idempotent";
	case RETRY_REASON_CHAIN:
		return "chain_retried";
	case RETRY_REASON_BUDGET:
		return "budget_spent";
	case RETRY_REASON_DEADLINE:
		return "deadline";
	case RETRY_REASON_REROUTES:
		return "reroutes_spent";
	}
	return "unknown";
}
