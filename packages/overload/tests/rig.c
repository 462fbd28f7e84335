#include "rig.h"

#include <assert.h>
#include <string.h>

void rig_init(struct rig *rig, uint32_t slots, int64_t service_us)
{
	struct overload_guard_config config = {
		.slots = slots,
		.connections = slots * 6,
		.cold_slots = slots < 10 ? 1 : slots / 10,
		.cold_us = BASE_SECOND_US,
		.seed = 1,
	};

	memset(rig, 0, sizeof(*rig));
	rig->now = 1000;
	rig->service_us = service_us;
	rig->guard = overload_guard_create(&config, NULL, rig->now);
	base_rand_seed(&rig->rnd, 7);
}

void rig_release(struct rig *rig)
{
	overload_guard_destroy(rig->guard);
}

static void start(struct rig *rig, const struct overload_work *work)
{
	uint32_t in_flight = overload_guard_in_flight(rig->guard);
	double factor = 0.9 + 0.2 * base_rand_unit(&rig->rnd);
	struct rig_running *run = rig->running;

	while (run->used)
		run++;
	assert(run < rig->running + RIG_RUNNING);
	if (rig->shared_above && in_flight > rig->shared_above)
		factor *= (double)in_flight / rig->shared_above;
	run->work = *work;
	run->used = true;
	run->ends_at = rig->now + (int64_t)(factor * (double)rig->service_us);
	if (in_flight > rig->max_in_flight)
		rig->max_in_flight = in_flight;
	rig->started++;
	rig->last_started = work->id;
}

void rig_act(struct rig *rig)
{
	struct overload_work work = { 0 };
	struct overload_action action;

	while (overload_guard_next_action(rig->guard, rig->now, &action)) {
		if (action.type == OVERLOAD_ACTION_DROP) {
			rig->dropped[action.reason]++;
			rig->last_dropped = action.id;
			continue;
		}
		/* The id carries what the model has to know of the work. */
		work.id = action.id;
		work.account = (uint32_t)(action.id % RIG_ACCOUNTS);
		start(rig, &work);
	}
}

static uint64_t offer(struct rig *rig, struct overload_work *work)
{
	work->id = ++rig->next_id * RIG_ACCOUNTS + work->account;
	work->weight = rig->weight_of[work->account] + 1;
	rig->offered_of[work->account]++;
	overload_guard_offer(rig->guard, work, rig->now);
	return work->id;
}

uint64_t rig_offer(struct rig *rig, uint32_t account, uint8_t level,
		   bool idempotent)
{
	struct overload_work work = {
		.level = level,
		.idempotent = idempotent,
		.account = account,
		.deadline = rig->now + 10 * BASE_SECOND_US,
	};

	return offer(rig, &work);
}

uint64_t rig_offer_due(struct rig *rig, uint32_t account, bool idempotent,
		       int64_t due_in_us)
{
	struct overload_work work = {
		.idempotent = idempotent,
		.account = account,
		.deadline = rig->now + due_in_us,
	};

	return offer(rig, &work);
}

static void finish(struct rig *rig, struct rig_running *run,
		   enum overload_outcome outcome)
{
	run->used = false;
	rig->finished++;
	rig->finished_of[run->work.account]++;
	overload_guard_finish(rig->guard, run->work.id, outcome, rig->now);
}

void rig_end_all(struct rig *rig, enum overload_outcome outcome)
{
	size_t i;

	for (i = 0; i < RIG_RUNNING; i++)
		if (rig->running[i].used)
			finish(rig, &rig->running[i], outcome);
}

void rig_run(struct rig *rig, int64_t us)
{
	int64_t until = rig->now + us;
	size_t i;

	while (rig->now < until) {
		rig->now += BASE_MS_US;
		for (i = 0; i < RIG_RUNNING; i++)
			if (rig->running[i].used &&
			    rig->running[i].ends_at <= rig->now)
				finish(rig, &rig->running[i],
				       OVERLOAD_OUTCOME_OK);
		rig_act(rig);
	}
}

void rig_load(struct rig *rig, double per_s, int64_t us)
{
	int64_t until = rig->now + us;
	double per_ms = per_s / 1000;

	while (rig->now < until) {
		int due = (int)(per_ms + base_rand_unit(&rig->rnd));

		while (due-- > 0)
			rig_offer(rig, 0, 0, true);
		rig_act(rig);
		rig_run(rig, BASE_MS_US);
	}
}

void rig_warm(struct rig *rig)
{
	int i;

	for (i = 0; i < 100; i++) {
		rig_offer(rig, 0, 0, true);
		rig_act(rig);
		rig_run(rig, rig->service_us * 2);
	}
	rig_run(rig, BASE_SECOND_US);
	rig->started = 0;
	rig->finished = 0;
	rig->max_in_flight = 0;
	memset(rig->offered_of, 0, sizeof(rig->offered_of));
	memset(rig->finished_of, 0, sizeof(rig->finished_of));
}
