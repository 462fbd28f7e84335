#include "guard_sim.h"

#include <assert.h>
#include <string.h>

void guard_sim_init(struct guard_sim *sim, uint32_t slots, int64_t service_us)
{
	guard_sim_init_limiter(sim, slots, service_us, NULL);
}

void guard_sim_init_limiter(struct guard_sim *sim, uint32_t slots,
			    int64_t service_us,
			    struct overload_limiter *limiter)
{
	struct overload_guard_config config = {
		.slots = slots,
		.connections = slots * 6,
		.cold_slots = slots < 10 ? 1 : slots / 10,
		.cold_us = BASE_SECOND_US,
		.seed = 1,
	};

	memset(sim, 0, sizeof(*sim));
	sim->now = 1000;
	sim->service_us = service_us;
	sim->guard = overload_guard_create(&config, limiter, sim->now);
	base_rand_seed(&sim->rnd, 7);
}

void guard_sim_destroy(struct guard_sim *sim)
{
	overload_guard_destroy(sim->guard);
}

static void start(struct guard_sim *sim, const struct overload_work *work)
{
	uint32_t in_flight = overload_guard_in_flight(sim->guard);
	double factor = 0.9 + 0.2 * base_rand_unit(&sim->rnd);
	struct guard_sim_work *run = sim->running;

	while (run->used)
		run++;
	assert(run < sim->running + GUARD_SIM_RUNNING_MAX);
	if (sim->capacity && in_flight > sim->capacity)
		factor *= (double)in_flight / sim->capacity;
	if (sim->factor)
		factor *= sim->factor(sim, in_flight);
	run->work = *work;
	run->used = true;
	run->finish_at = sim->now + (int64_t)(factor * (double)sim->service_us);
	run->rejected = sim->reject_share > 0 &&
			base_rand_unit(&sim->rnd) < sim->reject_share;
	if (run->rejected)
		run->finish_at = sim->now + 2 * BASE_MS_US;
	if (in_flight > sim->max_in_flight)
		sim->max_in_flight = in_flight;
	sim->started++;
	sim->last_started = work->id;
}

void guard_sim_take_actions(struct guard_sim *sim)
{
	struct overload_work work = { 0 };
	struct overload_action action;

	while (overload_guard_next_action(sim->guard, sim->now, &action)) {
		if (action.type == OVERLOAD_ACTION_DROP) {
			sim->dropped[action.reason]++;
			sim->last_dropped = action.id;
			continue;
		}
		/* The id encodes the account, see offer(). */
		work.id = action.id;
		work.account = (uint32_t)(action.id % GUARD_SIM_ACCOUNTS);
		start(sim, &work);
	}
}

static uint64_t offer(struct guard_sim *sim, struct overload_work *work)
{
	work->id = ++sim->next_id * GUARD_SIM_ACCOUNTS + work->account;
	work->weight = sim->extra_weight[work->account] + 1;
	sim->offered_by_account[work->account]++;
	overload_guard_offer(sim->guard, work, sim->now);
	return work->id;
}

uint64_t guard_sim_offer(struct guard_sim *sim, uint32_t account, uint8_t level,
			 bool idempotent)
{
	struct overload_work work = {
		.level = level,
		.idempotent = idempotent,
		.account = account,
		.deadline = sim->now + 10 * BASE_SECOND_US,
	};

	return offer(sim, &work);
}

uint64_t guard_sim_offer_due(struct guard_sim *sim, uint32_t account,
			     bool idempotent, int64_t due_in_us)
{
	struct overload_work work = {
		.idempotent = idempotent,
		.account = account,
		.deadline = sim->now + due_in_us,
	};

	return offer(sim, &work);
}

static void finish(struct guard_sim *sim, struct guard_sim_work *run,
		   enum overload_outcome outcome)
{
	run->used = false;
	if (run->rejected && outcome == OVERLOAD_OUTCOME_OK) {
		sim->rejected++;
		overload_guard_finish(sim->guard, run->work.id,
				      OVERLOAD_OUTCOME_REJECTED, sim->now);
		return;
	}
	sim->finished++;
	sim->finished_by_account[run->work.account]++;
	overload_guard_finish(sim->guard, run->work.id, outcome, sim->now);
}

void guard_sim_finish_all(struct guard_sim *sim, enum overload_outcome outcome)
{
	size_t i;

	for (i = 0; i < GUARD_SIM_RUNNING_MAX; i++)
		if (sim->running[i].used)
			finish(sim, &sim->running[i], outcome);
}

void guard_sim_run(struct guard_sim *sim, int64_t us)
{
	int64_t until = sim->now + us;
	size_t i;

	while (sim->now < until) {
		sim->now += BASE_MS_US;
		for (i = 0; i < GUARD_SIM_RUNNING_MAX; i++)
			if (sim->running[i].used &&
			    sim->running[i].finish_at <= sim->now)
				finish(sim, &sim->running[i],
				       OVERLOAD_OUTCOME_OK);
		guard_sim_take_actions(sim);
	}
}

void guard_sim_load(struct guard_sim *sim, double per_s, int64_t us)
{
	int64_t until = sim->now + us;
	double per_ms = per_s / 1000;

	while (sim->now < until) {
		int due = (int)(per_ms + base_rand_unit(&sim->rnd));

		while (due-- > 0)
			guard_sim_offer(sim, 0, 0, true);
		guard_sim_take_actions(sim);
		guard_sim_run(sim, BASE_MS_US);
	}
}

void guard_sim_warm(struct guard_sim *sim)
{
	int i;

	for (i = 0; i < 100; i++) {
		guard_sim_offer(sim, 0, 0, true);
		guard_sim_take_actions(sim);
		guard_sim_run(sim, sim->service_us * 2);
	}
	guard_sim_run(sim, BASE_SECOND_US);
	sim->started = 0;
	sim->finished = 0;
	sim->max_in_flight = 0;
	memset(sim->offered_by_account, 0, sizeof(sim->offered_by_account));
	memset(sim->finished_by_account, 0, sizeof(sim->finished_by_account));
}
