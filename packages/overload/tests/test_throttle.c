/* Tests of the throttle, which refuses requests early at entries. */
#include "overload.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

static void observe_many(struct overload_throttle *t, int32_t cutoff,
			 int64_t now)
{
	int i;

	for (i = 0; i < 50; i++)
		overload_throttle_observe(t, 0, cutoff, now);
}

/* Returns the admitted share of 10,000 requests; answers carry @p cutoff. */
static double admitted_share(uint8_t level, bool idempotent, int32_t cutoff)
{
	struct overload_throttle *t = overload_throttle_create(1, 1);
	struct overload_request request = { .level = level,
					    .idempotent = idempotent,
					    .weight = 1 };
	int admitted = 0;
	int64_t now = 0;
	int i;

	for (i = 0; i < 10100; i++) {
		bool ok = overload_throttle_admit(t, &request, now, NULL);

		/* The first answers carry the cutoff to the entry. */
		admitted += ok && i >= 100;
		overload_throttle_observe(t, 0, cutoff, now);
		now += 500;
	}
	overload_throttle_destroy(t);
	return admitted / 10000.0;
}

/*
 * Fails if levels that are not shed or non-idempotent requests are refused, or
 * if no probes are sent, so that no answer could report a new cutoff.
 */
Test(throttle, refuses_levels_beyond_the_cutoff_except_probes)
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

/*
 * Fails if requests are refused by the outdated cutoff of a service that has
 * recovered, or if all requests are admitted again at once.
 */
Test(throttle, expires_old_observations_gradually)
{
	struct overload_throttle *t = overload_throttle_create(1, 1);
	int32_t lifted;

	observe_many(t, 0, 0);
	cr_assert(eq(i32, overload_throttle_cutoff(t, 0, 400 * BASE_MS_US), 0));
	lifted = overload_throttle_cutoff(t, 0, BASE_SECOND_US);
	cr_assert(gt(i32, lifted, 0));
	cr_assert(lt(i32, lifted, OVERLOAD_CUTOFF_STEPS));
	cr_assert(eq(i32, overload_throttle_cutoff(t, 0, 2 * BASE_SECOND_US),
		     OVERLOAD_CUTOFF_NONE));
	overload_throttle_destroy(t);
}

/* Fails if the cutoff of one of several servers applies to the service. */
Test(throttle, averages_over_the_servers_of_a_service)
{
	struct overload_throttle *t = overload_throttle_create(1, 1);
	int32_t cutoff;
	int i;

	for (i = 0; i < 100; i++)
		overload_throttle_observe(t, 0,
					  i % 4 ? OVERLOAD_CUTOFF_NONE : 0, 0);
	cutoff = overload_throttle_cutoff(t, 0, 0);
	cr_assert(ge(i32, cutoff, OVERLOAD_CUTOFF_STEPS / 2));
	cr_assert(le(i32, cutoff, OVERLOAD_CUTOFF_STEPS));
	overload_throttle_destroy(t);
}

/* Fails if a flood of one account makes the entry refuse all accounts alike. */
Test(throttle, concentrates_refusals_on_the_heaviest_account)
{
	struct overload_throttle *t = overload_throttle_create(1, 1);
	struct overload_request request = { .idempotent = true, .weight = 1 };
	int admitted[2] = { 0 };
	int64_t retry = 0;
	int i;

	observe_many(t, 600, 0);
	for (i = 0; i < 20000; i++) {
		/* Account 1 sends five of six requests. */
		request.account = i % 6 ? 1 : 0;
		if (i % 100 == 0)
			observe_many(t, 600, i * 100);
		if (overload_throttle_admit(t, &request, i * 100, &retry) &&
		    i >= 10000)
			admitted[request.account]++;
	}
	cr_assert(ge(int, admitted[0], 1650));
	cr_assert(le(int, admitted[0] + admitted[1], 6500));
	cr_assert(ge(int, admitted[0] + admitted[1], 5700));
	cr_assert(gt(i64, retry, 0));
	overload_throttle_destroy(t);
}

/* Fails if observations of removed routes apply to a new configuration. */
Test(throttle, clears_observations_when_the_routes_change)
{
	struct overload_throttle *t = overload_throttle_create(1, 1);

	observe_many(t, 0, 0);
	overload_throttle_set_routes(t, 3);
	cr_assert(eq(i32, overload_throttle_cutoff(t, 0, 0),
		     OVERLOAD_CUTOFF_NONE));
	cr_assert(eq(i32, overload_throttle_cutoff(t, 2, 0),
		     OVERLOAD_CUTOFF_NONE));
	overload_throttle_destroy(t);
}
