/* Retries on a platform where calls cannot be tied to their request. */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define SHARE 0.04
#define CAP 2.0
#define REQUESTS 10000

static struct retry_failure rejected_by_server(void)
{
	return (struct retry_failure){ .outcome = RETRY_OUTCOME_OVERLOADED,
				       .arrived = true,
				       .idempotent = true,
				       .deadline = INT64_MAX };
}

/*
 * Guards against requests that servers reject being sent to one server after
 * the other: to them these are load like any other.
 */
Test(service_budget, rejections_by_servers_draw_on_the_budget)
{
	struct retry_failure failed = rejected_by_server();
	struct retry_budget budget;
	int again = 0;
	int i;

	retry_budget_init(&budget, SHARE, CAP);
	for (i = 0; i < REQUESTS; i++) {
		int64_t now = i * BASE_MS_US;

		/* Every other request is answered well. */
		if (i % 2)
			retry_budget_record_success(&budget, now);
		else if (retry_decide(&failed, &budget, now).action !=
			 RETRY_ACTION_GIVE_UP)
			again++;
	}
	cr_assert(le(int, again, (int)(SHARE * REQUESTS / 2 + CAP)));
	cr_assert(ge(int, again, (int)(SHARE * REQUESTS / 4)));
}

/* Guards against a budget spent on refusals that no server has seen. */
Test(service_budget, refusals_of_guards_cost_nothing)
{
	struct retry_failure failed = rejected_by_server();
	struct retry_budget budget;

	failed.arrived = false;
	retry_budget_init(&budget, SHARE, CAP);
	cr_assert(eq(int, retry_decide(&failed, &budget, 0).action,
		     RETRY_ACTION_REROUTE));
	failed.arrived = true;
	cr_assert(eq(int, retry_decide(&failed, &budget, 0).action,
		     RETRY_ACTION_GIVE_UP));
}
