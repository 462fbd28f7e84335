/* Tests of early refusal at entries. */
#include "overload.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

static void observe_many(struct overload_throttle *p, int32_t cutoff,
			 int64_t now)
{
	int i;

	for (i = 0; i < 50; i++)
		overload_throttle_observe(p, 0, cutoff, now);
}

/* Share of 10,000 requests admitted while answers carry @p cutoff. */
static double admitted_share(uint8_t level, bool idempotent, int32_t cutoff)
{
	struct overload_throttle *p = overload_throttle_create(1, 1);
	struct overload_request request = { .level = level,
					    .idempotent = idempotent,
					    .weight = 1 };
	int admitted = 0;
	int64_t now = 0;
	int i;

	for (i = 0; i < 10100; i++) {
		bool ok = overload_throttle_admit(p, &request, now, NULL);

		/* The first answers tell the entry of the cutoff. */
		admitted += ok && i >= 100;
		overload_throttle_observe(p, 0, cutoff, now);
		now += 500;
	}
	overload_throttle_destroy(p);
	return admitted / 10000.0;
}

/* Guards against refusing classes that are not shed, or non-idempotent work,
 * and against losing sight of a service because nothing is sent there. */
Test(throttle, refuses_levels_beyond_the_cutoff_but_for_probes)
{
	int32_t cutoff = 2 * OVERLOAD_CUTOFF_STEPS + 500;

	cr_assert(eq(dbl, admitted_share(3, true, OVERLOAD_CUTOFF_NONE), 1));
	cr_assert(eq(dbl, admitted_share(1, true, cutoff), 1));
	cr_assert(eq(dbl, admitted_share(3, false, cutoff), 1));
	cr_assert(ge(dbl, admitted_share(3, true, cutoff), 0.006));
	cr_assert(le(dbl, admitted_share(3, true, cutoff), 0.014));
	cr_assert(ge(dbl, admitted_share(2, true, cutoff), 0.45));
	cr_assert(le(dbl, admitted_share(2, true, cutoff), 0.55));
}

/* Guards against refusing on the word of a service long recovered, and against
 * opening at once to all that was refused. */
Test(throttle, forgets_old_observations_gradually)
{
	struct overload_throttle *p = overload_throttle_create(1, 1);
	int32_t lifted;

	observe_many(p, 0, 0);
	cr_assert(eq(i32, overload_throttle_cutoff(p, 0, 400 * BASE_MS_US), 0));
	lifted = overload_throttle_cutoff(p, 0, BASE_SECOND_US);
	cr_assert(gt(i32, lifted, 0));
	cr_assert(lt(i32, lifted, OVERLOAD_CUTOFF_STEPS));
	cr_assert(eq(i32, overload_throttle_cutoff(p, 0, 2 * BASE_SECOND_US),
		     OVERLOAD_CUTOFF_NONE));
	overload_throttle_destroy(p);
}

/* Guards against one server of several closing the whole service. */
Test(throttle, averages_over_the_servers_of_a_service)
{
	struct overload_throttle *p = overload_throttle_create(1, 1);
	int32_t cutoff;
	int i;

	for (i = 0; i < 100; i++)
		overload_throttle_observe(p, 0,
					  i % 4 ? OVERLOAD_CUTOFF_NONE : 0, 0);
	cutoff = overload_throttle_cutoff(p, 0, 0);
	cr_assert(ge(i32, cutoff, OVERLOAD_CUTOFF_STEPS / 2));
	cr_assert(le(i32, cutoff, OVERLOAD_CUTOFF_STEPS));
	overload_throttle_destroy(p);
}

/* Guards against an entry refusing all accounts alike when one floods it. */
Test(throttle, takes_the_refusals_from_the_heaviest_account)
{
	struct overload_throttle *p = overload_throttle_create(1, 1);
	struct overload_request request = { .idempotent = true, .weight = 1 };
	int admitted[2] = { 0 };
	int64_t retry = 0;
	int i;

	observe_many(p, 600, 0);
	for (i = 0; i < 20000; i++) {
		/* Account 1 sends five of six requests. */
		request.account = i % 6 ? 1 : 0;
		if (i % 100 == 0)
			observe_many(p, 600, i * 100);
		if (overload_throttle_admit(p, &request, i * 100, &retry) &&
		    i >= 10000)
			admitted[request.account]++;
	}
	cr_assert(ge(int, admitted[0], 1650));
	cr_assert(le(int, admitted[0] + admitted[1], 6500));
	cr_assert(ge(int, admitted[0] + admitted[1], 5700));
	cr_assert(gt(i64, retry, 0));
	overload_throttle_destroy(p);
}

/* Guards against use of routes that a new configuration has removed. */
Test(throttle, starts_anew_with_other_routes)
{
	struct overload_throttle *p = overload_throttle_create(1, 1);

	observe_many(p, 0, 0);
	overload_throttle_set_routes(p, 3);
	cr_assert(eq(i32, overload_throttle_cutoff(p, 0, 0),
		     OVERLOAD_CUTOFF_NONE));
	cr_assert(eq(i32, overload_throttle_cutoff(p, 2, 0),
		     OVERLOAD_CUTOFF_NONE));
	overload_throttle_destroy(p);
}
