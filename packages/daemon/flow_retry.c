/* Decisions about retries, reroutes and resends of a request. */
#include "flow.h"

static enum retry_outcome outcome_from_answer(const struct peer_answer *answer)
{
	if (base_str_equal(answer->reason, BASE_STR("deadline")))
		return RETRY_OUTCOME_DEADLINE;
	if (answer->outcome == PEER_OUTCOME_NOT_RUN) {
		if (base_str_equal(answer->reason, BASE_STR("overloaded")))
			return RETRY_OUTCOME_OVERLOADED;
		return RETRY_OUTCOME_NOT_RUN;
	}
	if (answer->outcome == PEER_OUTCOME_RAN)
		return RETRY_OUTCOME_SERVER_ERROR;
	return RETRY_OUTCOME_LOST;
}

/* Refusals that every server would give. */
static bool is_final_refusal(const struct peer_answer *answer)
{
	return base_str_equal(answer->reason, BASE_STR("bad_request")) ||
	       base_str_equal(answer->reason, BASE_STR("suspect"));
}

/*
 * Without call tokens, onward calls cannot be distinguished from requests of
 * callers. Each hop then retries on its own and retries multiply over the hops
 * downstream, of which there may be four. The sum has to stay below a fifth of
 * the requests.
 */
#define SERVICE_RETRY_SHARE 0.04
#define SERVICE_RETRY_CAP 2.0

/*
 * With admission control for call graphs, most of these go to onward calls, for
 * which work was done before. The repeats at the last of four hops stay the
 * same: 1.02 * 1.046^3 = 1.167, as 1.04^4 = 1.170. With up to 38 daemons of
 * callers among 84, the caps over all daemons stay below those of one budget,
 * as only the daemons of a service's callers use the second one.
 */
#define FIRST_HOP_RETRY_SHARE 0.02
#define FIRST_HOP_RETRY_CAP 1.2
#define ONWARD_RETRY_SHARE 0.046
#define ONWARD_RETRY_CAP 1.75

/*
 * A try whose VM has become silent has seldom reached its backend server, and
 * the tries in flight when the silence is detected were sent within 0.7 s. With
 * this share, the resends in the ten seconds after a failure domain was cut off
 * stay below a tenth of the requests at four hops.
 */
#define RESEND_SHARE 0.03
#define RESEND_CAP 10.0

static struct entry_retry_budgets *service_budgets(struct flow *f)
{
	uint32_t service = flow_service_id(f);
	struct entry_retry_budgets *b;

	HASH_FIND(hh, f->entry->budgets, &service, sizeof(service), b);
	if (b)
		return b;
	b = base_alloc(sizeof(*b));
	b->service = service;
	if (f->node->settings->graph_admission) {
		retry_budget_init(&b->retries, FIRST_HOP_RETRY_SHARE,
				  FIRST_HOP_RETRY_CAP);
		retry_budget_init(&b->onward_retries, ONWARD_RETRY_SHARE,
				  ONWARD_RETRY_CAP);
	} else {
		retry_budget_init(&b->retries, SERVICE_RETRY_SHARE,
				  SERVICE_RETRY_CAP);
	}
	retry_budget_init(&b->resends, RESEND_SHARE, RESEND_CAP);
	HASH_ADD(hh, f->entry->budgets, service, sizeof(b->service), b);
	return b;
}

struct retry_budget *flow_retry_budget(struct flow *f)
{
	if (f->node->dialect->headers.call_token)
		return &f->node->budget;
	if (f->onward && f->node->settings->graph_admission)
		return &service_budgets(f)->onward_retries;
	return &service_budgets(f)->retries;
}

void flow_record_success(struct flow *f, int64_t now)
{
	retry_budget_record_success(flow_retry_budget(f), now);
	retry_budget_record_success(&service_budgets(f)->resends, now);
}

/*
 * Whether the route allows another try when so many backend servers may have
 * received the request.
 */
static bool may_try_again(const struct flow *f, uint32_t arrivals)
{
	return f->ex && f->try_count < FLOW_TRIES_MAX &&
	       (!f->route->max_attempts || arrivals < f->route->max_attempts);
}

/*
 * Few requests end in less than half of the average latency, even at the
 * fastest server. A try that cannot end in time only delays the answer and
 * loads its server.
 */
static bool is_too_late(const struct flow *f, int64_t now)
{
	return f->deadline - now <= flow_expected_latency_us(f) / 2;
}

bool flow_decide_resend(struct flow *f, int64_t now)
{
	/* The backend server of the silent VM may run it nevertheless. */
	uint32_t arrivals = f->arrivals + 1;

	if (!f->route->idempotent || !may_try_again(f, arrivals) ||
	    is_too_late(f, now) ||
	    !retry_budget_try_spend(&service_budgets(f)->resends, now))
		return false;
	node_counter_add(f->node, "resends");
	f->arrivals = arrivals;
	f->may_have_run = true;
	return true;
}

bool flow_decide_retry(struct flow *f, const struct peer_answer *answer,
		       int64_t now)
{
	struct retry_failure failed = {
		.outcome = outcome_from_answer(answer),
		.attempt = f->attempt,
		.answer_retried = answer->retried,
		.idempotent = f->route->idempotent,
		.reroutes = f->reroutes,
		.deadline = f->deadline,
		.arrived = answer->arrived,
	};
	struct retry_decision decision;

	f->arrivals +=
		answer->arrived || answer->outcome != PEER_OUTCOME_NOT_RUN;
	if (is_final_refusal(answer) || !may_try_again(f, f->arrivals)) {
		flow_log_failed_try(f, answer, f->ex ? "final" : "caller_gone");
		return false;
	}
	if (is_too_late(f, now)) {
		flow_log_failed_try(f, answer, "no_time_left");
		return false;
	}
	decision = retry_decide(&failed, flow_retry_budget(f), now);
	flow_log_failed_try(f, answer,
			    decision.action == RETRY_ACTION_GIVE_UP
				    ? retry_reason_str(decision.reason)
			    : decision.action == RETRY_ACTION_RETRY
				    ? "retry"
				    : "reroute");
	f->retried = f->retried || decision.retried;
	if (decision.action == RETRY_ACTION_GIVE_UP)
		return false;
	if (decision.action == RETRY_ACTION_RETRY) {
		node_counter_add(f->node, "retries");
		f->may_have_run = true;
	} else {
		node_counter_add(f->node, "reroutes");
		f->reroutes++;
	}
	f->attempt = decision.attempt;
	return true;
}
