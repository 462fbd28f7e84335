/* Tests of the cold start ramp, the concurrency limit and the cutoff. */
#include "guard_sim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Fails if a server that has just started gets its full load. */
Test(ramp, grows_from_the_cold_slots_with_time_since_the_first_answer)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_run(&sim, 5 * BASE_SECOND_US);
	cr_assert(eq(u32, overload_guard_limit(sim.guard, sim.now), 10));
	guard_sim_load(&sim, 10000, 20000);
	cr_assert(eq(u32, sim.max_in_flight, 10));
	guard_sim_load(&sim, 10000, 500000);
	cr_assert(le(u32, sim.max_in_flight, 55));
	cr_assert(ge(u32, sim.max_in_flight, 45));
	guard_sim_load(&sim, 10000, BASE_SECOND_US);
	cr_assert(eq(u32, sim.max_in_flight, 100));
	cr_assert(not(overload_guard_is_cold(sim.guard, sim.now)));
	guard_sim_destroy(&sim);
}

/*
 * Fails if the time in which the server is down counts as warm-up time, or if
 * late reports of the same loss restart the ramp.
 */
Test(ramp, restarts_once_for_each_loss)
{
	struct guard_sim sim;
	uint64_t old;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	old = guard_sim_offer(&sim, 0, 0, true);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	sim.now += 1000;
	overload_guard_server_lost(sim.guard, sim.now);
	cr_assert(eq(u32, overload_guard_limit(sim.guard, sim.now), 10));
	sim.running[0].used = false;
	/* A lost server gets no work for 50 ms. */
	sim.now += 60000;
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	guard_sim_run(&sim, 600000);
	cr_assert(gt(u32, overload_guard_limit(sim.guard, sim.now), 50));
	overload_guard_finish(sim.guard, old, OVERLOAD_OUTCOME_SERVER_LOST,
			      sim.now);
	cr_assert(gt(u32, overload_guard_limit(sim.guard, sim.now), 50));
	guard_sim_destroy(&sim);
}

/*
 * Fails if request after request is sent to a server that is down, or if
 * idempotent work waits for it although other servers could process it.
 */
Test(ramp, tries_a_lost_server_with_one_request_at_a_time)
{
	struct guard_sim sim;
	int i;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	overload_guard_server_lost(sim.guard, sim.now);
	for (i = 0; i < 10; i++)
		guard_sim_offer(&sim, 0, 0, false);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_OVERLOADED], 1));
	guard_sim_run(&sim, 49000);
	cr_assert(eq(u32, sim.started, 0));
	guard_sim_run(&sim, 2000);
	cr_assert(eq(u32, sim.started, 1));
	guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_SERVER_LOST);
	guard_sim_run(&sim, 49000);
	cr_assert(eq(u32, sim.started, 1));
	guard_sim_run(&sim, 30000);
	cr_assert(eq(u32, sim.started, 10));
	guard_sim_destroy(&sim);
}

/*
 * Fails if a server that has turned cold without closing a connection keeps
 * getting its full load.
 */
Test(ramp, restarts_when_the_latency_rises_suddenly)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	guard_sim_load(&sim, 2000, BASE_SECOND_US);
	cr_assert(eq(u32, overload_guard_limit(sim.guard, sim.now), 100));
	sim.service_us = 100000;
	guard_sim_load(&sim, 2000, 130000);
	cr_assert(overload_guard_is_cold(sim.guard, sim.now));
	cr_assert(le(u32, overload_guard_limit(sim.guard, sim.now), 20));
	guard_sim_destroy(&sim);
}

/* Fails if time spent in downstream services lowers the limit. */
Test(ramp, excludes_onward_calls_from_the_latency)
{
	struct overload_action action;
	struct guard_sim sim;
	int i;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	for (i = 0; i < 2000; i++) {
		uint64_t id = guard_sim_offer(&sim, 0, 0, true);

		while (overload_guard_next_action(sim.guard, sim.now, &action))
			;
		sim.now += 200000;
		overload_guard_add_onward_wait(sim.guard, id, 180000);
		overload_guard_finish(sim.guard, id, OVERLOAD_OUTCOME_OK,
				      sim.now);
	}
	cr_assert(eq(u32, overload_guard_limit(sim.guard, sim.now), 100));
	guard_sim_destroy(&sim);
}

/*
 * Fails if a pause of the process is mistaken for a slow server, or counts as
 * warm-up time.
 */
Test(ramp, ignores_pauses)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_load(&sim, 1000, 300000);
	sim.now += 10 * BASE_SECOND_US;
	overload_guard_resumed(sim.guard, 10 * BASE_SECOND_US, sim.now);
	cr_assert(le(u32, overload_guard_limit(sim.guard, sim.now), 40));
	guard_sim_load(&sim, 1000, 3 * BASE_SECOND_US);
	sim.now += 10 * BASE_SECOND_US;
	overload_guard_resumed(sim.guard, 10 * BASE_SECOND_US, sim.now);
	guard_sim_load(&sim, 1000, 500000);
	cr_assert(eq(u32, overload_guard_limit(sim.guard, sim.now), 100));
	guard_sim_destroy(&sim);
}

/* Fails if work queues inside a server whose capacity is below its slots. */
Test(limiter, falls_while_a_lower_limit_lowers_the_latency)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	sim.capacity = 20;
	guard_sim_load(&sim, 5000, 10 * BASE_SECOND_US);
	cr_assert(le(u32, overload_guard_limit(sim.guard, sim.now), 60));
	guard_sim_destroy(&sim);
}

/* Fails if slots stay unused because the work itself takes longer. */
Test(limiter, keeps_the_limit_when_lowering_it_does_not_help)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	guard_sim_load(&sim, 1000, BASE_SECOND_US);
	sim.service_us = 50000;
	guard_sim_load(&sim, 5000, 5 * BASE_SECOND_US);
	sim.started = 0;
	guard_sim_load(&sim, 5000, 5 * BASE_SECOND_US);
	cr_assert(ge(u32, sim.started, 9500));
	guard_sim_destroy(&sim);
}

/* Fails if the limit of a server that fails under load does not decrease. */
Test(limiter, falls_on_failures_and_recovers)
{
	struct guard_sim sim;
	int i;

	guard_sim_init(&sim, 100, 20000);
	guard_sim_warm(&sim);
	for (i = 0; i < 50; i++) {
		guard_sim_load(&sim, 20000, BASE_MS_US);
		guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_FAILED);
	}
	cr_assert(le(u32, overload_guard_limit(sim.guard, sim.now), 50));
	guard_sim_load(&sim, 6000, 10 * BASE_SECOND_US);
	cr_assert(ge(u32, overload_guard_limit(sim.guard, sim.now), 95));
	guard_sim_destroy(&sim);
}

/* Fails if a burst causes shedding, or if the cutoff stays after overload. */
Test(cutoff, tightens_after_20_ms_over_target_and_relaxes_after_200_ms_under)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 10, 20000);
	guard_sim_warm(&sim);
	guard_sim_load(&sim, 5000, 15000);
	cr_assert(eq(i32, overload_guard_cutoff(sim.guard),
		     OVERLOAD_CUTOFF_NONE));
	guard_sim_load(&sim, 5000, 20000);
	cr_assert(lt(i32, overload_guard_cutoff(sim.guard),
		     OVERLOAD_CUTOFF_STEPS));
	guard_sim_load(&sim, 5000, BASE_SECOND_US);
	cr_assert(lt(i32, overload_guard_cutoff(sim.guard),
		     OVERLOAD_CUTOFF_STEPS / 2));
	guard_sim_run(&sim, 100000);
	cr_assert(lt(i32, overload_guard_cutoff(sim.guard),
		     OVERLOAD_CUTOFF_STEPS / 2));
	guard_sim_run(&sim, 3 * BASE_SECOND_US);
	cr_assert(eq(i32, overload_guard_cutoff(sim.guard),
		     OVERLOAD_CUTOFF_NONE));
	guard_sim_destroy(&sim);
}
