/* Whether a request is tried again after a failed try. */
#include "flow.h"

static enum retry_outcome outcome_of(const struct peer_answer *answer)
{
	if (base_str_equal(answer->reason, BASE_STR("deadline")))
		return RETRY_OUTCOME_DEADLINE;
	if (answer->outcome == PEER_NOT_RUN) {
		if (base_str_equal(answer->reason, BASE_STR("overloaded")))
			return RETRY_OUTCOME_OVERLOADED;
		return RETRY_OUTCOME_NOT_RUN;
	}
	if (answer->outcome == PEER_RAN)
		return RETRY_OUTCOME_SERVER_ERROR;
	return RETRY_OUTCOME_LOST;
}

/* These do not change by asking another server. */
static bool is_final_refusal(const struct peer_answer *answer)
{
	return base_str_equal(answer->reason, BASE_STR("bad_request")) ||
	       base_str_equal(answer->reason, BASE_STR("suspect"));
}

/*
 * Calls that backend servers make cannot be told from other requests on some
 * platforms. A retry then multiplies over the hops behind it, of which there
 * may be four, and their sum has to stay under a fifth of the requests.
 */
#define SERVICE_RETRY_SHARE 0.04
#define SERVICE_RETRY_CAP 2.0

struct retry_budget *flow_budget(struct flow *f)
{
	struct node *node = f->node;
	struct entry_budget *b;
	uint32_t service;

	if (node->dialect->headers.call_token)
		return &node->budget;
	service = roster_service_id(node->roster, f->service->name);
	HASH_FIND(hh, f->entry->budgets, &service, sizeof(service), b);
	if (b)
		return &b->budget;
	b = base_alloc(sizeof(*b));
	b->service = service;
	retry_budget_init(&b->budget, SERVICE_RETRY_SHARE, SERVICE_RETRY_CAP);
	HASH_ADD(hh, f->entry->budgets, service, sizeof(b->service), b);
	return &b->budget;
}

/* Whether the route lets the request go to one more backend server. */
static bool may_try_again(const struct flow *f)
{
	return f->ex && f->tries < FLOW_TRIES_MAX &&
	       (!f->route->max_attempts ||
		f->arrivals < f->route->max_attempts);
}

bool flow_decide_retry(struct flow *f, const struct peer_answer *answer,
		       int64_t now)
{
	struct retry_try failed = {
		.outcome = outcome_of(answer),
		.attempt = f->attempt,
		.answer_retried = answer->retried,
		.idempotent = f->route->idempotent,
		.reroutes = f->reroutes,
		.deadline = f->deadline,
		.arrived = answer->arrived,
	};
	struct retry_decision decision;

	f->arrivals += answer->arrived || answer->outcome != PEER_NOT_RUN;
	if (is_final_refusal(answer) || !may_try_again(f)) {
		flow_log_try(f, answer, f->ex ? "final" : "caller_gone");
		return false;
	}
	decision = retry_decide(&failed, flow_budget(f), now);
	flow_log_try(f, answer,
		     decision.action == RETRY_ACTION_GIVE_UP
			     ? retry_reason_str(decision.reason)
		     : decision.action == RETRY_ACTION_RETRY ? "retry"
							     : "reroute");
	f->retried = f->retried || decision.retried;
	if (decision.action == RETRY_ACTION_GIVE_UP)
		return false;
	if (decision.action == RETRY_ACTION_RETRY) {
		node_count(f->node, "retries");
		f->may_have_run = true;
	} else {
		node_count(f->node, "reroutes");
		f->reroutes++;
	}
	f->attempt = decision.attempt;
	return true;
}
