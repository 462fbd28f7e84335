/* Tests of the guard's queue, deadlines and life cycle. */
#include "rig.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Guards against idempotent work running ahead of work that must not be shed,
 * and against ignoring the priority levels. */
Test(guard, starts_non_idempotent_work_first_then_by_level)
{
	struct rig rig;
	uint64_t browse, urgent, order;

	rig_init(&rig, 1, 10000);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	browse = rig_offer(&rig, 1, 5, true);
	urgent = rig_offer(&rig, 2, 1, true);
	order = rig_offer(&rig, 3, 5, false);
	rig_end_all(&rig, OVERLOAD_OUTCOME_OK);
	rig_act(&rig);
	cr_assert(eq(u64, rig.last_started, order));
	rig_end_all(&rig, OVERLOAD_OUTCOME_OK);
	rig_act(&rig);
	cr_assert(eq(u64, rig.last_started, urgent));
	rig_end_all(&rig, OVERLOAD_OUTCOME_OK);
	rig_act(&rig);
	cr_assert(eq(u64, rig.last_started, browse));
	rig_release(&rig);
}

/* Guards against a flood of one account pushing out the others. */
Test(guard, sheds_the_newest_work_of_the_heaviest_account)
{
	struct rig rig;
	uint64_t newest;

	rig_init(&rig, 1, 10000);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig_offer(&rig, 1, 0, true);
	newest = rig_offer(&rig, 1, 0, true);
	rig_offer(&rig, 2, 0, true);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_OVERLOADED], 1));
	cr_assert(eq(u64, rig.last_dropped, newest));
	cr_assert(eq(u32, overload_guard_queued(rig.guard), 2));
	rig_release(&rig);
}

/* Guards against shedding reservations while browsing occupies the server. */
Test(guard, keeps_non_idempotent_work_while_idempotent_runs)
{
	struct rig rig;
	int i;

	rig_init(&rig, 1, 10000);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	for (i = 0; i < 10; i++)
		rig_offer(&rig, 1, 0, false);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_OVERLOADED], 0));
	rig_end_all(&rig, OVERLOAD_OUTCOME_OK);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_OVERLOADED], 7));
	cr_assert(eq(u32, overload_guard_queued(rig.guard), 2));
	rig_release(&rig);
}

/* Guards against running work whose caller has stopped waiting. */
Test(guard, drops_work_that_cannot_end_in_time)
{
	struct rig rig;

	rig_init(&rig, 1, 10000);
	rig_warm(&rig);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig_offer_due(&rig, 1, true, 8000);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_DEADLINE], 1));
	cr_assert(eq(u32, rig.started, 1));
	rig_release(&rig);
}

/* Guards against a wrong estimate shedding non-idempotent work, and against
 * running it after its deadline. */
Test(guard, drops_non_idempotent_work_for_its_deadline_only_when_it_has_come)
{
	struct rig rig;

	rig_init(&rig, 1, 10000);
	rig_warm(&rig);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig.running[0].ends_at += BASE_SECOND_US;
	rig_offer_due(&rig, 1, false, 8000);
	rig_run(&rig, 7000);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_DEADLINE], 0));
	rig_run(&rig, 1000);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_DEADLINE], 1));
	rig_release(&rig);
}

/* Guards against an estimate so high that all work is dropped for ever. */
Test(guard, tries_work_again_when_nothing_runs)
{
	struct rig rig;

	rig_init(&rig, 1, 100000);
	rig_warm(&rig);
	rig.service_us = 5000;
	rig_offer_due(&rig, 0, true, 10000);
	rig_run(&rig, 10000);
	cr_assert(eq(u32, rig.finished, 1));
	rig_release(&rig);
}

/* Guards against a stop that cuts accepted requests. */
Test(guard, drains_what_it_holds_and_refuses_the_rest)
{
	struct rig rig;

	rig_init(&rig, 1, 10000);
	rig_offer(&rig, 0, 0, true);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	overload_guard_drain(rig.guard);
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	cr_assert(eq(u32, rig.dropped[OVERLOAD_REASON_DRAINING], 1));
	rig_run(&rig, 30000);
	cr_assert(eq(u32, rig.finished, 2));
	rig_release(&rig);
}

/* Guards against starting work nobody waits for, and against freeing a slot
 * that the server still uses. */
Test(guard, forgets_cancelled_work_only_when_it_is_queued)
{
	struct rig rig;
	uint64_t running, queued;

	rig_init(&rig, 1, 10000);
	running = rig_offer(&rig, 0, 0, true);
	queued = rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	cr_assert(not(overload_guard_cancel(rig.guard, running, rig.now)));
	cr_assert(overload_guard_cancel(rig.guard, queued, rig.now));
	cr_assert(eq(u32, overload_guard_in_flight(rig.guard), 1));
	cr_assert(eq(u32, overload_guard_queued(rig.guard), 0));
	rig_release(&rig);
}

/* Guards against more work in flight than the server has connections. */
Test(guard, stays_within_the_connections)
{
	struct overload_guard_config config = {
		.slots = 20, .connections = 3, .cold_slots = 20, .seed = 1
	};
	struct rig rig;
	int i;

	rig_init(&rig, 20, 10000);
	overload_guard_reconfigure(rig.guard, &config, rig.now);
	for (i = 0; i < 20; i++)
		rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	cr_assert(eq(u32, overload_guard_in_flight(rig.guard), 3));
	rig_release(&rig);
}

/* Guards against missing the time at which queued work has to be dropped. */
Test(guard, names_the_time_of_the_next_deadline)
{
	struct rig rig;
	struct overload_action action;
	int64_t at;

	rig_init(&rig, 1, 10000);
	cr_assert(eq(i64, overload_guard_next_timer_at(rig.guard), INT64_MAX));
	rig_offer(&rig, 0, 0, true);
	rig_act(&rig);
	rig_offer_due(&rig, 1, true, 5000);
	rig_act(&rig);
	at = overload_guard_next_timer_at(rig.guard);
	cr_assert(le(i64, at, rig.now + 5000));
	cr_assert(
		overload_guard_next_action(rig.guard, rig.now + 5000, &action));
	cr_assert(eq(int, action.type, OVERLOAD_ACTION_DROP));
	rig_release(&rig);
}

/* Guards against one account at five times its share taking service from
 * accounts that ask for less than their fair share. */
Test(fairness, an_account_at_five_times_its_share_gets_only_the_rest)
{
	struct rig rig;
	double worst = 1;
	int ms, i;

	rig_init(&rig, 20, 20000);
	rig_warm(&rig);
	/* Capacity 1000/s: seven accounts at 120/s and one at 600/s. */
	for (ms = 0; ms < 20000; ms++) {
		for (i = 0; i < RIG_ACCOUNTS; i++)
			if (base_rand_unit(&rig.rnd) < (i ? 0.12 : 0.6))
				rig_offer(&rig, (uint32_t)i, 0, true);
		rig_act(&rig);
		rig_run(&rig, BASE_MS_US);
	}
	rig_run(&rig, BASE_SECOND_US);
	for (i = 1; i < RIG_ACCOUNTS; i++) {
		double served = (double)rig.finished_of[i] / rig.offered_of[i];

		worst = served < worst ? served : worst;
	}
	cr_assert(ge(dbl, worst, 0.99));
	/* Nor is capacity left unused: the heavy account has the rest. */
	cr_assert(ge(u32, rig.finished, 19000));
	rig_release(&rig);
}

/* Guards against ignoring the weights of accounts. */
Test(fairness, shares_follow_the_weights)
{
	struct rig rig;
	int ms;

	rig_init(&rig, 20, 20000);
	rig_warm(&rig);
	rig.weight_of[1] = 2;
	for (ms = 0; ms < 10000; ms++) {
		rig_offer(&rig, 0, 0, true);
		rig_offer(&rig, 1, 0, true);
		rig_act(&rig);
		rig_run(&rig, BASE_MS_US);
	}
	cr_assert(ge(u32, rig.finished_of[1], 7200));
	cr_assert(le(u32, rig.finished_of[1], 7800));
	cr_assert(ge(u32, rig.finished, 9700));
	rig_release(&rig);
}
