/* Tests of a server that tells how long it is cold and bears a rate. */
#include "overload.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define COLD_RATE 16.0
/* The rate, and what a cold server gets at once. */
#define COLD_SECOND 20

struct cold {
	struct overload_guard *guard;
	uint64_t next_id;
	int64_t now;
};

static void setup(struct cold *c)
{
	struct overload_guard_config config = {
		.slots = 100,
		.connections = 700,
		.cold_slots = 1,
		.cold_us = 3 * BASE_SECOND_US,
		.cold_rate_per_s = COLD_RATE,
		.seed = 1,
	};

	*c = (struct cold){ .now = BASE_SECOND_US };
	c->guard = overload_guard_create(
		&config, overload_limiter_fixed_create(100), c->now);
}

/* Offers a request each millisecond; returns how many were started. */
static uint32_t load(struct cold *c, int64_t us)
{
	struct overload_action action;
	uint32_t started = 0;
	int64_t end = c->now + us;

	for (; c->now < end; c->now += BASE_MS_US) {
		struct overload_work work = {
			.id = ++c->next_id,
			.idempotent = true,
			.weight = 1,
			.deadline = c->now + BASE_SECOND_US,
		};

		overload_guard_offer(c->guard, &work, c->now);
		while (overload_guard_next_action(c->guard, c->now, &action)) {
			if (action.type != OVERLOAD_ACTION_START)
				continue;
			started++;
			overload_guard_finish(c->guard, action.id,
					      OVERLOAD_OUTCOME_OK, c->now);
		}
	}
	return started;
}

/* Guards against more starts in any second than a cold server bears. */
Test(cold_rate_per_s, bounds_the_starts_while_cold)
{
	struct cold c;

	setup(&c);
	overload_guard_server_ready(c.guard, 3 * BASE_SECOND_US, c.now);
	cr_assert(le(u32, load(&c, BASE_SECOND_US), COLD_SECOND));
	cr_assert(ge(u32, load(&c, BASE_SECOND_US), 15));
	cr_assert(le(u32, load(&c, BASE_SECOND_US), COLD_SECOND));
	cr_assert(ge(u32, load(&c, BASE_SECOND_US), 500));
	overload_guard_destroy(c.guard);
}

/* Guards against work sent before the server has said who it is. */
Test(cold_rate_per_s, starts_nothing_while_held)
{
	struct cold c;

	setup(&c);
	overload_guard_hold(c.guard, c.now);
	cr_assert(overload_guard_is_held(c.guard));
	cr_assert(eq(u32, load(&c, BASE_SECOND_US), 0));
	overload_guard_server_ready(c.guard, 0, c.now);
	cr_assert(ge(u32, load(&c, BASE_SECOND_US), 500));
	overload_guard_destroy(c.guard);
}

/* Guards against a burst each time that the state is told anew. */
Test(cold_rate_per_s, telling_it_again_earns_nothing)
{
	uint32_t started = 0;
	struct cold c;
	int i;

	setup(&c);
	for (i = 0; i < 10; i++) {
		overload_guard_server_ready(c.guard, 3 * BASE_SECOND_US, c.now);
		started += load(&c, BASE_SECOND_US / 10);
	}
	cr_assert(le(u32, started, COLD_SECOND));
	overload_guard_destroy(c.guard);
}
