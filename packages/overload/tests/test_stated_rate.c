/* Tests with a server that states how many requests a second it takes. */
#include "overload.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define SLOTS 100
#define RATE_PER_S 10.0
#define WINDOW_US (4 * BASE_SECOND_US)
/* What the rate and its burst permit in a window. */
#define STARTS_MAX 43

struct fixture {
	struct overload_guard *guard;
	uint64_t next_id;
	int64_t now;
	uint32_t dropped;
	uint32_t dropped_non_idempotent;
	int64_t longest_retry_after_us;
};

static void setup(struct fixture *f)
{
	struct overload_guard_config config = {
		.slots = SLOTS,
		.connections = 700,
		.cold_slots = 1,
		.cold_us = 3 * BASE_SECOND_US,
		.cold_rate_per_s = 16,
		.seed = 1,
	};

	*f = (struct fixture){ .now = BASE_SECOND_US };
	f->guard = overload_guard_create(
		&config, overload_limiter_fixed_create(SLOTS), f->now);
	overload_guard_server_ready(f->guard, 0, f->now);
}

static uint32_t take_actions(struct fixture *f)
{
	struct overload_action action;
	uint32_t started = 0;

	while (overload_guard_next_action(f->guard, f->now, &action)) {
		if (action.type == OVERLOAD_ACTION_START) {
			started++;
			overload_guard_finish(f->guard, action.id,
					      OVERLOAD_OUTCOME_OK, f->now);
			continue;
		}
		f->dropped++;
		/* Odd ids are idempotent, see load(). */
		f->dropped_non_idempotent += action.id % 2 == 0;
		if (action.retry_after_us > f->longest_retry_after_us)
			f->longest_retry_after_us = action.retry_after_us;
	}
	return started;
}

/* Offers a request each @p every_us; returns how many were started. */
static uint32_t load(struct fixture *f, int64_t us, int64_t every_us)
{
	uint32_t started = 0;
	int64_t end = f->now + us;

	for (; f->now < end; f->now += every_us) {
		struct overload_work work = {
			.id = ++f->next_id,
			.idempotent = f->next_id % 2 == 1,
			.weight = 1,
			.deadline = f->now + 2 * BASE_SECOND_US,
		};

		overload_guard_offer(f->guard, &work, f->now);
		started += take_actions(f);
	}
	return started;
}

/* Fails if a server gets more than it takes, or clearly less. */
Test(stated_rate, bounds_the_starts_while_it_is_stated)
{
	struct fixture f;
	uint32_t started;

	setup(&f);
	overload_guard_set_stated_rate(f.guard, RATE_PER_S, f.now);
	started = load(&f, WINDOW_US, 2 * BASE_MS_US);
	cr_assert(le(u32, started, STARTS_MAX));
	cr_assert(ge(u32, started, 38));
	overload_guard_clear_stated_rate(f.guard);
	cr_assert(ge(u32, load(&f, BASE_SECOND_US, 2 * BASE_MS_US), 490));
	overload_guard_destroy(f.guard);
}

/* Fails if each answer that repeats the rate grants a new burst. */
Test(stated_rate, repeating_the_rate_adds_no_starts)
{
	struct fixture f;
	uint32_t started = 0;
	int i;

	setup(&f);
	for (i = 0; i < 400; i++) {
		overload_guard_set_stated_rate(f.guard, RATE_PER_S, f.now);
		started += load(&f, WINDOW_US / 400, 2 * BASE_MS_US);
	}
	cr_assert(le(u32, started, STARTS_MAX));
	overload_guard_destroy(f.guard);
}

/*
 * Fails if entries see headroom at a server that takes no more, if they refuse
 * for the whole service because of it, or if refusals do not say when to come
 * back.
 */
Test(stated_rate, excess_is_refused_here_and_not_for_the_service)
{
	struct fixture f;

	setup(&f);
	overload_guard_set_stated_rate(f.guard, RATE_PER_S, f.now);
	load(&f, WINDOW_US, 2 * BASE_MS_US);
	cr_assert(le(u32, overload_guard_limit(f.guard, f.now), 4));
	cr_assert(
		eq(i32, overload_guard_cutoff(f.guard), OVERLOAD_CUTOFF_NONE));
	cr_assert(gt(u32, f.dropped, 1000));
	cr_assert(gt(i64, f.longest_retry_after_us, 500 * BASE_MS_US));
	overload_guard_destroy(f.guard);
}

/* Fails if idempotent work takes the rate that non-idempotent work needs. */
Test(stated_rate, non_idempotent_work_comes_first)
{
	struct fixture f;
	uint32_t started;

	setup(&f);
	overload_guard_set_stated_rate(f.guard, RATE_PER_S, f.now);
	/* 16 requests a second, half of them non-idempotent. */
	started = load(&f, WINDOW_US, 62500);
	cr_assert(ge(u32, started, 38));
	cr_assert(eq(u32, f.dropped_non_idempotent, 0));
	overload_guard_destroy(f.guard);
}

/* Fails if queued work waits for another event although a token is due. */
Test(stated_rate, timer_fires_when_the_next_start_is_due)
{
	struct fixture f;
	struct overload_work work = { .weight = 1 };
	uint32_t started = 0;
	int64_t at;
	int i;

	setup(&f);
	overload_guard_set_stated_rate(f.guard, 2, f.now);
	for (i = 0; i < 2; i++) {
		work.id = ++f.next_id;
		work.deadline = f.now + 2 * BASE_SECOND_US;
		overload_guard_offer(f.guard, &work, f.now);
	}
	started = take_actions(&f);
	cr_assert(eq(u32, started, 1));
	at = overload_guard_next_timer_at(f.guard);
	cr_assert(le(i64, at - f.now, 501 * BASE_MS_US));
	f.now = at;
	cr_assert(eq(u32, take_actions(&f), 1));
	overload_guard_destroy(f.guard);
}

/* Fails on a division by the rate 0, or if such a server gets work. */
Test(stated_rate, rate_zero_starts_nothing_after_the_first_request)
{
	struct fixture f;

	setup(&f);
	overload_guard_set_stated_rate(f.guard, 0, f.now);
	cr_assert(le(u32, load(&f, WINDOW_US, 10 * BASE_MS_US), 1));
	cr_assert(gt(u32, f.dropped, 300));
	overload_guard_destroy(f.guard);
}
