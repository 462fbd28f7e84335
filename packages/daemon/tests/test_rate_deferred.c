/* Tests of asks that are deferred until a link is up. */
#include "rate_deferred.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Guards against asks that are lost or sent to another holder. */
Test(rate_deferred, asks_wait_for_their_holder)
{
	struct rate_deferred_asks deferred = { .count = 0 };
	struct rate_ask ask = { .account = 1 };
	uint64_t holder;

	cr_assert(eq(i64, rate_deferred_next_expiry(&deferred), INT64_MAX));
	cr_assert(rate_deferred_add(&deferred, 10, &ask, 200));
	ask.account = 2;
	cr_assert(rate_deferred_add(&deferred, 11, &ask, 100));
	cr_assert(eq(i64, rate_deferred_next_expiry(&deferred), 100));
	cr_assert(not(rate_deferred_find_expired(&deferred, 99, &holder)));
	cr_assert(rate_deferred_find_expired(&deferred, 100, &holder));
	cr_assert(eq(u64, holder, 11));
	cr_assert(rate_deferred_take(&deferred, 10, &ask));
	cr_assert(eq(u64, ask.account, 1));
	cr_assert(not(rate_deferred_take(&deferred, 10, &ask)));
	cr_assert(rate_deferred_take(&deferred, 11, &ask));
	cr_assert(eq(u64, ask.account, 2));
	cr_assert(eq(sz, deferred.count, 0));
}

Test(rate_deferred, the_number_of_asks_is_bounded)
{
	struct rate_deferred_asks deferred = { .count = 0 };
	struct rate_ask ask = { .account = 1 };
	int i;

	for (i = 0; i < RATE_DEFERRED_MAX; i++)
		cr_assert(rate_deferred_add(&deferred, 10, &ask, 200));
	cr_assert(not(rate_deferred_add(&deferred, 10, &ask, 200)));
}
