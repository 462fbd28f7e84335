/* Tests of the guard's queue, deadlines and life cycle. */
#include "guard_sim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/*
 * Fails if idempotent work starts before non-idempotent work, which must not be
 * shed, or if priority levels are ignored.
 */
Test(guard, starts_non_idempotent_work_first_then_by_level)
{
	struct guard_sim sim;
	uint64_t low_priority, high_priority, non_idempotent;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	low_priority = guard_sim_offer(&sim, 1, 5, true);
	high_priority = guard_sim_offer(&sim, 2, 1, true);
	non_idempotent = guard_sim_offer(&sim, 3, 5, false);
	guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_OK);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u64, sim.last_started, non_idempotent));
	guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_OK);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u64, sim.last_started, high_priority));
	guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_OK);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u64, sim.last_started, low_priority));
	guard_sim_destroy(&sim);
}

/* Fails if a flood of one account displaces the work of other accounts. */
Test(guard, sheds_the_newest_work_of_the_heaviest_account)
{
	struct guard_sim sim;
	uint64_t newest;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	guard_sim_offer(&sim, 1, 0, true);
	newest = guard_sim_offer(&sim, 1, 0, true);
	guard_sim_offer(&sim, 2, 0, true);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_OVERLOADED], 1));
	cr_assert(eq(u64, sim.last_dropped, newest));
	cr_assert(eq(u32, overload_guard_queued(sim.guard), 2));
	guard_sim_destroy(&sim);
}

/*
 * Fails if non-idempotent work (such as orders) is shed while idempotent work
 * (such as searches) occupies the server.
 */
Test(guard, keeps_non_idempotent_work_while_idempotent_runs)
{
	struct guard_sim sim;
	int i;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	for (i = 0; i < 10; i++)
		guard_sim_offer(&sim, 1, 0, false);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_OVERLOADED], 0));
	guard_sim_finish_all(&sim, OVERLOAD_OUTCOME_OK);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_OVERLOADED], 7));
	cr_assert(eq(u32, overload_guard_queued(sim.guard), 2));
	guard_sim_destroy(&sim);
}

/* Fails if work starts that would end after its caller has timed out. */
Test(guard, drops_work_that_cannot_end_in_time)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_warm(&sim);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	guard_sim_offer_due(&sim, 1, true, 8000);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_DEADLINE], 1));
	cr_assert(eq(u32, sim.started, 1));
	guard_sim_destroy(&sim);
}

/*
 * Fails if an estimate of the processing time, which may be wrong, sheds
 * non-idempotent work, or if such work starts after its deadline.
 */
Test(guard, drops_non_idempotent_work_for_its_deadline_only_when_it_has_come)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_warm(&sim);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	sim.running[0].finish_at += BASE_SECOND_US;
	guard_sim_offer_due(&sim, 1, false, 8000);
	guard_sim_run(&sim, 7000);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_DEADLINE], 0));
	guard_sim_run(&sim, 1000);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_DEADLINE], 1));
	guard_sim_destroy(&sim);
}

/*
 * Fails if a too high estimate of the processing time drops all work
 * permanently: without started work the estimate would never be corrected.
 */
Test(guard, starts_work_despite_the_estimate_when_idle)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 1, 100000);
	guard_sim_warm(&sim);
	sim.service_us = 5000;
	guard_sim_offer_due(&sim, 0, true, 10000);
	guard_sim_run(&sim, 10000);
	cr_assert(eq(u32, sim.finished, 1));
	guard_sim_destroy(&sim);
}

/* Fails if a shutdown aborts accepted requests. */
Test(guard, draining_finishes_accepted_work_and_refuses_new_work)
{
	struct guard_sim sim;

	guard_sim_init(&sim, 1, 10000);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	overload_guard_drain(sim.guard);
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, sim.dropped[OVERLOAD_REASON_DRAINING], 1));
	guard_sim_run(&sim, 30000);
	cr_assert(eq(u32, sim.finished, 2));
	guard_sim_destroy(&sim);
}

/*
 * Fails if cancelled work starts later, or if cancelling work in flight frees a
 * slot that the server still uses.
 */
Test(guard, removes_cancelled_work_only_while_queued)
{
	struct guard_sim sim;
	uint64_t running, queued;

	guard_sim_init(&sim, 1, 10000);
	running = guard_sim_offer(&sim, 0, 0, true);
	queued = guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	cr_assert(not(overload_guard_cancel(sim.guard, running, sim.now)));
	cr_assert(overload_guard_cancel(sim.guard, queued, sim.now));
	cr_assert(eq(u32, overload_guard_in_flight(sim.guard), 1));
	cr_assert(eq(u32, overload_guard_queued(sim.guard), 0));
	guard_sim_destroy(&sim);
}

/* Fails if more work is in flight than the server has connections. */
Test(guard, stays_within_the_connections)
{
	struct overload_guard_config config = {
		.slots = 20, .connections = 3, .cold_slots = 20, .seed = 1
	};
	struct guard_sim sim;
	int i;

	guard_sim_init(&sim, 20, 10000);
	overload_guard_reconfigure(sim.guard, &config, sim.now);
	for (i = 0; i < 20; i++)
		guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	cr_assert(eq(u32, overload_guard_in_flight(sim.guard), 3));
	guard_sim_destroy(&sim);
}

/* Fails if the caller gets no timer for the deadline of queued work. */
Test(guard, reports_the_time_of_the_next_deadline)
{
	struct guard_sim sim;
	struct overload_action action;
	int64_t at;

	guard_sim_init(&sim, 1, 10000);
	cr_assert(eq(i64, overload_guard_next_timer_at(sim.guard), INT64_MAX));
	guard_sim_offer(&sim, 0, 0, true);
	guard_sim_take_actions(&sim);
	guard_sim_offer_due(&sim, 1, true, 5000);
	guard_sim_take_actions(&sim);
	at = overload_guard_next_timer_at(sim.guard);
	cr_assert(le(i64, at, sim.now + 5000));
	cr_assert(
		overload_guard_next_action(sim.guard, sim.now + 5000, &action));
	cr_assert(eq(int, action.type, OVERLOAD_ACTION_DROP));
	guard_sim_destroy(&sim);
}

/*
 * Fails if an account at five times its fair share takes capacity from accounts
 * whose demand is below their fair share.
 */
Test(fairness, an_account_at_five_times_its_share_gets_only_the_rest)
{
	struct guard_sim sim;
	double worst = 1;
	int ms, i;

	guard_sim_init(&sim, 20, 20000);
	guard_sim_warm(&sim);
	/* Capacity is 1000/s; seven accounts send 120/s and one sends 600/s. */
	for (ms = 0; ms < 20000; ms++) {
		for (i = 0; i < GUARD_SIM_ACCOUNTS; i++)
			if (base_rand_unit(&sim.rnd) < (i ? 0.12 : 0.6))
				guard_sim_offer(&sim, (uint32_t)i, 0, true);
		guard_sim_take_actions(&sim);
		guard_sim_run(&sim, BASE_MS_US);
	}
	guard_sim_run(&sim, BASE_SECOND_US);
	for (i = 1; i < GUARD_SIM_ACCOUNTS; i++) {
		double served = (double)sim.finished_by_account[i] /
				sim.offered_by_account[i];

		worst = served < worst ? served : worst;
	}
	cr_assert(ge(dbl, worst, 0.99));
	/* The heavy account gets the rest; no capacity is left unused. */
	cr_assert(ge(u32, sim.finished, 19000));
	guard_sim_destroy(&sim);
}

/* Fails if the weights of accounts are ignored. */
Test(fairness, shares_follow_the_weights)
{
	struct guard_sim sim;
	int ms;

	guard_sim_init(&sim, 20, 20000);
	guard_sim_warm(&sim);
	sim.extra_weight[1] = 2;
	for (ms = 0; ms < 10000; ms++) {
		guard_sim_offer(&sim, 0, 0, true);
		guard_sim_offer(&sim, 1, 0, true);
		guard_sim_take_actions(&sim);
		guard_sim_run(&sim, BASE_MS_US);
	}
	cr_assert(ge(u32, sim.finished_by_account[1], 7200));
	cr_assert(le(u32, sim.finished_by_account[1], 7800));
	cr_assert(ge(u32, sim.finished, 9700));
	guard_sim_destroy(&sim);
}
