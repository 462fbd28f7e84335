/*
 * Tests of retry budgets on a platform where calls made for a request cannot be
 * distinguished from other requests.
 */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define TOKENS_PER_SUCCESS 0.04
#define MAX_TOKENS 2.0
#define REQUESTS 10000

static struct retry_failure rejected_by_server(void)
{
	return (struct retry_failure){ .outcome = RETRY_OUTCOME_OVERLOADED,
				       .arrived = true,
				       .idempotent = true,
				       .deadline = INT64_MAX };
}

/*
 * Requests that servers reject must not be sent to one server after another
 * without limit: they put load on each of them.
 */
Test(service_budget, rejections_by_servers_draw_on_the_budget)
{
	struct retry_failure failed = rejected_by_server();
	struct retry_budget budget;
	int retries = 0;
	int i;

	retry_budget_init(&budget, TOKENS_PER_SUCCESS, MAX_TOKENS);
	for (i = 0; i < REQUESTS; i++) {
		int64_t now = i * BASE_MS_US;

		/* Every other request succeeds. */
		if (i % 2)
			retry_budget_record_success(&budget, now);
		else if (retry_decide(&failed, &budget, now).action !=
			 RETRY_ACTION_GIVE_UP)
			retries++;
	}
	cr_assert(le(int, retries,
		     (int)(TOKENS_PER_SUCCESS * REQUESTS / 2 + MAX_TOKENS)));
	cr_assert(ge(int, retries, (int)(TOKENS_PER_SUCCESS * REQUESTS / 4)));
}

/* Refusals of requests that reached no server must not spend the budget. */
Test(service_budget, refusals_of_guards_cost_nothing)
{
	struct retry_failure failed = rejected_by_server();
	struct retry_budget budget;

	failed.arrived = false;
	retry_budget_init(&budget, TOKENS_PER_SUCCESS, MAX_TOKENS);
	cr_assert(eq(int, retry_decide(&failed, &budget, 0).action,
		     RETRY_ACTION_REROUTE));
	failed.arrived = true;
	cr_assert(eq(int, retry_decide(&failed, &budget, 0).action,
		     RETRY_ACTION_GIVE_UP));
}
