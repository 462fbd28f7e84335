/* Tests with a server that reports how long it is cold and has a cold rate. */
#include "overload.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define COLD_RATE_PER_S 16.0
/* The cold rate plus the burst of a cold server. */
#define STARTS_PER_SECOND_MAX 20

struct fixture {
	struct overload_guard *guard;
	uint64_t next_id;
	int64_t now;
};

static void setup(struct fixture *f)
{
	struct overload_guard_config config = {
		.slots = 100,
		.connections = 700,
		.cold_slots = 1,
		.cold_us = 3 * BASE_SECOND_US,
		.cold_rate_per_s = COLD_RATE_PER_S,
		.seed = 1,
	};

	*f = (struct fixture){ .now = BASE_SECOND_US };
	f->guard = overload_guard_create(
		&config, overload_limiter_fixed_create(100), f->now);
}

/* Offers a request each millisecond; returns how many were started. */
static uint32_t load(struct fixture *f, int64_t us)
{
	struct overload_action action;
	uint32_t started = 0;
	int64_t end = f->now + us;

	for (; f->now < end; f->now += BASE_MS_US) {
		struct overload_work work = {
			.id = ++f->next_id,
			.idempotent = true,
			.weight = 1,
			.deadline = f->now + BASE_SECOND_US,
		};

		overload_guard_offer(f->guard, &work, f->now);
		while (overload_guard_next_action(f->guard, f->now, &action)) {
			if (action.type != OVERLOAD_ACTION_START)
				continue;
			started++;
			overload_guard_finish(f->guard, action.id,
					      OVERLOAD_OUTCOME_OK, f->now);
		}
	}
	return started;
}

/* Fails if a cold server gets more starts in a second than it can take. */
Test(cold_start_rate, bounds_the_starts_while_cold)
{
	struct fixture f;

	setup(&f);
	overload_guard_server_ready(f.guard, 3 * BASE_SECOND_US, f.now);
	cr_assert(le(u32, load(&f, BASE_SECOND_US), STARTS_PER_SECOND_MAX));
	cr_assert(ge(u32, load(&f, BASE_SECOND_US), 15));
	cr_assert(le(u32, load(&f, BASE_SECOND_US), STARTS_PER_SECOND_MAX));
	cr_assert(ge(u32, load(&f, BASE_SECOND_US), 500));
	overload_guard_destroy(f.guard);
}

/* Fails if work is sent before the server has reported its state. */
Test(cold_start_rate, starts_nothing_while_held)
{
	struct fixture f;

	setup(&f);
	overload_guard_hold(f.guard, f.now);
	cr_assert(overload_guard_is_held(f.guard));
	cr_assert(eq(u32, load(&f, BASE_SECOND_US), 0));
	overload_guard_server_ready(f.guard, 0, f.now);
	cr_assert(ge(u32, load(&f, BASE_SECOND_US), 500));
	overload_guard_destroy(f.guard);
}

/* Fails if each repeated report of the state permits another burst. */
Test(cold_start_rate, repeated_ready_reports_add_no_burst)
{
	uint32_t started = 0;
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 10; i++) {
		overload_guard_server_ready(f.guard, 3 * BASE_SECOND_US, f.now);
		started += load(&f, BASE_SECOND_US / 10);
	}
	cr_assert(le(u32, started, STARTS_PER_SECOND_MAX));
	overload_guard_destroy(f.guard);
}

/* Runs a server under load, then leaves it idle. */
static void leave_idle(struct fixture *f)
{
	setup(f);
	overload_guard_server_ready(f->guard, 0, f->now);
	cr_assert(ge(u32, load(f, BASE_SECOND_US), 900));
	cr_assert(not(overload_guard_needs_check(f->guard, f->now)));
	f->now += 300 * BASE_MS_US;
}

/*
 * Fails if a server that turned cold while it was idle, untold, gets all at
 * once what a warm one takes.
 */
Test(cold_start_rate, idle_server_is_checked_before_a_group_of_requests)
{
	struct fixture f;
	uint32_t started;

	leave_idle(&f);
	started = load(&f, 60 * BASE_MS_US);
	cr_assert(le(u32, started, 5));
	cr_assert(overload_guard_needs_check(f.guard, f.now));
	overload_guard_server_ready(f.guard, 3 * BASE_SECOND_US, f.now);
	started += load(&f, 940 * BASE_MS_US);
	cr_assert(le(u32, started, STARTS_PER_SECOND_MAX));
	overload_guard_destroy(f.guard);
}

/* Fails if a check that says warm, or is not answered, does not end the wait.
 */
Test(cold_start_rate, group_of_requests_starts_after_the_check)
{
	struct fixture f;

	leave_idle(&f);
	load(&f, 10 * BASE_MS_US);
	overload_guard_server_ready(f.guard, 0, f.now);
	cr_assert(ge(u32, load(&f, 10 * BASE_MS_US), 10));
	overload_guard_destroy(f.guard);
	leave_idle(&f);
	load(&f, BASE_SECOND_US);
	cr_assert(ge(u32, load(&f, 10 * BASE_MS_US), 10));
	overload_guard_destroy(f.guard);
}

/* Fails if each single request to an idle server costs a health check. */
Test(cold_start_rate, single_requests_need_no_check)
{
	struct fixture f;
	int i;

	leave_idle(&f);
	for (i = 0; i < 10; i++) {
		cr_assert(eq(u32, load(&f, BASE_MS_US), 1));
		cr_assert(not(overload_guard_needs_check(f.guard, f.now)));
		f.now += 250 * BASE_MS_US;
	}
	overload_guard_destroy(f.guard);
}
