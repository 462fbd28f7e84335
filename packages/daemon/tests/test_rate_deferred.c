/* Tests of asks that wait for a link. */
#include "rate_deferred.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Guards against an ask that is lost, or sent to another holder. */
Test(rate_parked, asks_wait_for_their_holder)
{
	struct rate_parked parked = { .count = 0 };
	struct rate_ask ask = { .account = 1 };
	uint64_t holder;

	cr_assert(eq(i64, rate_parked_next(&parked), INT64_MAX));
	cr_assert(rate_parked_add(&parked, 10, &ask, 200));
	ask.account = 2;
	cr_assert(rate_parked_add(&parked, 11, &ask, 100));
	cr_assert(eq(i64, rate_parked_next(&parked), 100));
	cr_assert(not(rate_parked_expired(&parked, 99, &holder)));
	cr_assert(rate_parked_expired(&parked, 100, &holder));
	cr_assert(eq(u64, holder, 11));
	cr_assert(rate_parked_take(&parked, 10, &ask));
	cr_assert(eq(u64, ask.account, 1));
	cr_assert(not(rate_parked_take(&parked, 10, &ask)));
	cr_assert(rate_parked_take(&parked, 11, &ask));
	cr_assert(eq(u64, ask.account, 2));
	cr_assert(eq(sz, parked.count, 0));
}

Test(rate_parked, the_number_of_asks_is_bounded)
{
	struct rate_parked parked = { .count = 0 };
	struct rate_ask ask = { .account = 1 };
	int i;

	for (i = 0; i < RATE_PARKED_MAX; i++)
		cr_assert(rate_parked_add(&parked, 10, &ask, 200));
	cr_assert(not(rate_parked_add(&parked, 10, &ask, 200)));
}
