/* Tests of the cold start ramp, the concurrency limit and the cutoff. */
#include "rig.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Guards against filling a server that has just started. */
Test(ramp, grows_from_the_cold_slots_with_time_since_the_first_answer)
{
	struct rig rig;

	rig_init(&rig, 100, 20000);
	rig_run(&rig, 5 * BASE_SECOND_US);
	cr_assert(eq(u32, overload_guard_limit(rig.guard, rig.now), 10));
	rig_load(&rig, 10000, 20000);
	cr_assert(eq(u32, rig.max_in_flight, 10));
	rig_load(&rig, 10000, 500000);
	cr_assert(le(u32, rig.max_in_flight, 55));
	cr_assert(ge(u32, rig.max_in_flight, 45));
	rig_load(&rig, 10000, BASE_SECOND_US);
	cr_assert(eq(u32, rig.max_in_flight, 100));
	cr_assert(not(overload_guard_is_cold(rig.guard, rig.now)));
	rig_release(&rig);
}

/* Guards against a ramp that counts the time in which the server is down, and
 * against late reports of the same loss starting it again. */
Test(ramp, restarts_once_for_each_loss)
{
	struct rig rig;
	uint64_t old;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	old = rig_offer(&rig, 0, 0, true);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig.now += 1000;
	overload_guard_server_lost(rig.guard, rig.now);
	cr_assert(eq(u32, overload_guard_limit(rig.guard, rig.now), 10));
	rig.running[0].used = false;
	/* A lost server is held for 50 ms. */
	rig.now += 60000;
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig_run(&rig, 600000);
	cr_assert(gt(u32, overload_guard_limit(rig.guard, rig.now), 50));
	overload_guard_finish(rig.guard, old, OVERLOAD_OUTCOME_SERVER_LOST,
			      rig.now);
	cr_assert(gt(u32, overload_guard_limit(rig.guard, rig.now), 50));
	rig_release(&rig);
}

/* Guards against failing request after request on a server that is down, and
 * against keeping idempotent work from the servers that are not. */
Test(ramp, tries_a_lost_server_with_one_request_at_a_time)
{
	struct rig rig;
	int i;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	overload_guard_server_lost(rig.guard, rig.now);
	for (i = 0; i < 10; i++)
		rig_offer(&rig, 0, 0, false);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_OVERLOADED], 1));
	rig_run(&rig, 49000);
	cr_assert(eq(u32, rig.started, 0));
	rig_run(&rig, 2000);
	cr_assert(eq(u32, rig.started, 1));
	rig_end_all(&rig, OVERLOAD_OUTCOME_SERVER_LOST);
	rig_run(&rig, 49000);
	cr_assert(eq(u32, rig.started, 1));
	rig_run(&rig, 30000);
	cr_assert(eq(u32, rig.started, 10));
	rig_release(&rig);
}

/* Guards against full load on a server that has turned cold without losing a
 * connection. */
Test(ramp, restarts_when_the_latency_rises_suddenly)
{
	struct rig rig;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	rig_load(&rig, 2000, BASE_SECOND_US);
	cr_assert(eq(u32, overload_guard_limit(rig.guard, rig.now), 100));
	rig.service_us = 100000;
	rig_load(&rig, 2000, 130000);
	cr_assert(overload_guard_is_cold(rig.guard, rig.now));
	cr_assert(le(u32, overload_guard_limit(rig.guard, rig.now), 20));
	rig_release(&rig);
}

/* Guards against lowering the limit for time spent in services further down. */
Test(ramp, does_not_blame_the_server_for_onward_calls)
{
	struct overload_action action;
	struct rig rig;
	int i;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	for (i = 0; i < 2000; i++) {
		uint64_t id = rig_offer(&rig, 0, 0, true);

		while (overload_guard_next_action(rig.guard, rig.now, &action))
			;
		rig.now += 200000;
		overload_guard_add_onward_wait(rig.guard, id, 180000);
		overload_guard_finish(rig.guard, id, OVERLOAD_OUTCOME_OK,
				      rig.now);
	}
	cr_assert(eq(u32, overload_guard_limit(rig.guard, rig.now), 100));
	rig_release(&rig);
}

/* Guards against taking a pause of the process for a slow server, and against
 * counting the pause as time to warm up. */
Test(ramp, ignores_pauses)
{
	struct rig rig;

	rig_init(&rig, 100, 20000);
	rig_load(&rig, 1000, 300000);
	rig.now += 10 * BASE_SECOND_US;
	overload_guard_resumed(rig.guard, 10 * BASE_SECOND_US, rig.now);
	cr_assert(le(u32, overload_guard_limit(rig.guard, rig.now), 40));
	rig_load(&rig, 1000, 3 * BASE_SECOND_US);
	rig.now += 10 * BASE_SECOND_US;
	overload_guard_resumed(rig.guard, 10 * BASE_SECOND_US, rig.now);
	rig_load(&rig, 1000, 500000);
	cr_assert(eq(u32, overload_guard_limit(rig.guard, rig.now), 100));
	rig_release(&rig);
}

/* Guards against work queueing inside a server with fewer real slots. */
Test(limiter, falls_while_a_lower_limit_lowers_the_latency)
{
	struct rig rig;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	rig.shared_above = 20;
	rig_load(&rig, 5000, 10 * BASE_SECOND_US);
	cr_assert(le(u32, overload_guard_limit(rig.guard, rig.now), 60));
	rig_release(&rig);
}

/* Guards against wasting slots of a server whose work just takes longer. */
Test(limiter, stays_when_a_lower_limit_does_not_help)
{
	struct rig rig;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	rig_load(&rig, 1000, BASE_SECOND_US);
	rig.service_us = 50000;
	rig_load(&rig, 5000, 5 * BASE_SECOND_US);
	rig.started = 0;
	rig_load(&rig, 5000, 5 * BASE_SECOND_US);
	cr_assert(ge(u32, rig.started, 9500));
	rig_release(&rig);
}

/* Guards against pushing more work at a server that fails under it. */
Test(limiter, falls_on_failures_and_recovers)
{
	struct rig rig;
	int i;

	rig_init(&rig, 100, 20000);
	rig_warm(&rig);
	for (i = 0; i < 50; i++) {
		rig_load(&rig, 20000, BASE_MS_US);
		rig_end_all(&rig, OVERLOAD_OUTCOME_FAILED);
	}
	cr_assert(le(u32, overload_guard_limit(rig.guard, rig.now), 50));
	rig_load(&rig, 6000, 10 * BASE_SECOND_US);
	cr_assert(ge(u32, overload_guard_limit(rig.guard, rig.now), 95));
	rig_release(&rig);
}

/* Guards against shedding for a burst, and against a cutoff that stays. */
Test(cutoff, rises_after_20_ms_over_target_and_falls_after_200_ms_under)
{
	struct rig rig;

	rig_init(&rig, 10, 20000);
	rig_warm(&rig);
	rig_load(&rig, 5000, 15000);
	cr_assert(eq(i32, overload_guard_cutoff(rig.guard),
		     OVERLOAD_CUTOFF_NONE));
	rig_load(&rig, 5000, 20000);
	cr_assert(lt(i32, overload_guard_cutoff(rig.guard),
		     OVERLOAD_CUTOFF_STEPS));
	rig_load(&rig, 5000, BASE_SECOND_US);
	cr_assert(lt(i32, overload_guard_cutoff(rig.guard),
		     OVERLOAD_CUTOFF_STEPS / 2));
	rig_run(&rig, 100000);
	cr_assert(lt(i32, overload_guard_cutoff(rig.guard),
		     OVERLOAD_CUTOFF_STEPS / 2));
	rig_run(&rig, 3 * BASE_SECOND_US);
	cr_assert(eq(i32, overload_guard_cutoff(rig.guard),
		     OVERLOAD_CUTOFF_NONE));
	rig_release(&rig);
}
