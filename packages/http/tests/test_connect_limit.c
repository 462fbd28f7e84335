/* Tests of the bound on new connections to a server in trouble. */
#include "../connect_limit.h"
#include "base.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

static int take_all(struct connect_limit *l, int64_t now)
{
	int n = 0;

	while (n < 1000 && connect_limit_take(l, now))
		n++;
	return n;
}

/* Guards against a limit for servers that work, or without the setting. */
Test(connect_limit, no_limit_without_trouble)
{
	struct connect_limit l = { .per_s = 20 };
	struct connect_limit unlimited = { 0 };

	cr_assert(eq(int, take_all(&l, 1), 1000));
	connect_limit_failed(&unlimited, 1);
	cr_assert(eq(int, take_all(&unlimited, 1), 1000));
}

/* Guards against a storm of connections to a server that resets them. */
Test(connect_limit, bounds_the_rate_while_connections_fail)
{
	struct connect_limit l = { .per_s = 20 };
	int64_t now;
	int opened = 0;

	for (now = 1; now <= 10 * BASE_SECOND_US; now += BASE_MS_US) {
		connect_limit_failed(&l, now);
		opened += take_all(&l, now);
	}
	cr_assert(ge(int, opened, 195));
	cr_assert(le(int, opened, 205));
}

/* Guards against a server that has recovered and stays limited. */
Test(connect_limit, doubles_with_each_round_of_successes)
{
	struct connect_limit l = { .per_s = 20 };
	int64_t now = 1;
	int opened;
	int i;

	connect_limit_failed(&l, now);
	opened = take_all(&l, now);
	cr_assert(eq(int, opened, 4));
	for (i = 0; i < opened; i++)
		connect_limit_succeeded(&l, now);
	cr_assert(eq(int, take_all(&l, now), 8));
	cr_assert(eq(int, take_all(&l, now + BASE_SECOND_US), 1000));
}
