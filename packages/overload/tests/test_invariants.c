/* Invariants of the guard, checked on random histories in simulated time. */
#include "guard_sim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define SEED_COUNT 300
#define EVENTS_PER_SEED 3000
#define ID_SLOTS 4096

enum state {
	ABSENT,
	OFFERED,
	RUNNING,
};

struct history {
	struct overload_guard *guard;
	struct overload_guard_config config;
	struct base_rand rnd;
	int64_t now;
	uint64_t next_id;
	enum state state[ID_SLOTS];
	struct overload_work work[ID_SLOTS];
	int64_t started_at[ID_SLOTS];
	int64_t lost_at;
	uint32_t running;
	uint32_t queued;
	uint32_t idempotent;
	bool draining;
	/* The server was lost and has answered no work since. */
	bool server_lost;
	bool trial_in_flight;
};

static uint32_t random_below(struct history *h, uint32_t bound)
{
	return base_rand_below(&h->rnd, bound);
}

static void configure(struct history *h)
{
	h->config.slots = 1 + random_below(h, 30);
	h->config.connections = 1 + random_below(h, 40);
	h->config.cold_slots = 1 + random_below(h, 10);
	h->config.cold_us = random_below(h, 500000);
}

static void set_state(struct history *h, uint64_t id, enum state state)
{
	enum state *s = &h->state[id % ID_SLOTS];
	bool idempotent = h->work[id % ID_SLOTS].idempotent;

	h->running -= *s == RUNNING;
	h->queued -= *s == OFFERED;
	h->idempotent -= *s != ABSENT && idempotent;
	*s = state;
	h->running += state == RUNNING;
	h->queued += state == OFFERED;
	h->idempotent += state != ABSENT && idempotent;
}

static void check_start(struct history *h, uint64_t id, uint32_t limit)
{
	cr_assert(eq(int, h->state[id % ID_SLOTS], OFFERED));
	set_state(h, id, RUNNING);
	h->started_at[id % ID_SLOTS] = h->now;
	/* A lost server gets one request at a time. */
	cr_assert(not(h->server_lost && h->trial_in_flight));
	h->trial_in_flight = true;
	cr_assert(le(u32, h->running, h->config.slots));
	cr_assert(le(u32, h->running, h->config.connections));
	cr_assert(le(u32, h->running, limit));
	cr_assert(gt(i64, h->work[id % ID_SLOTS].deadline, h->now));
}

static void check_drop(struct history *h, const struct overload_action *action)
{
	const struct overload_work *work = &h->work[action->id % ID_SLOTS];

	cr_assert(eq(int, h->state[action->id % ID_SLOTS], OFFERED));
	if (action->reason == OVERLOAD_REASON_DRAINING)
		cr_assert(h->draining);
	else if (!work->idempotent && work->deadline > h->now)
		cr_assert(eq(u32, h->idempotent, 0));
	set_state(h, action->id, ABSENT);
}

static void act(struct history *h)
{
	uint32_t limit = overload_guard_limit(h->guard, h->now);
	struct overload_action action;

	while (overload_guard_next_action(h->guard, h->now, &action)) {
		if (action.type == OVERLOAD_ACTION_START)
			check_start(h, action.id, limit);
		else
			check_drop(h, &action);
	}
	cr_assert(eq(u32, overload_guard_in_flight(h->guard), h->running));
	cr_assert(eq(u32, overload_guard_queued(h->guard), h->queued));
	/* Work does not wait while slots are free, and the queue is bounded. */
	if (h->queued && !h->server_lost)
		cr_assert(ge(u32, h->running, limit));
	if (!h->idempotent)
		cr_assert(le(u32, h->queued, 2 * limit));
}

static void offer(struct history *h)
{
	uint64_t id = ++h->next_id;
	struct overload_work *work = &h->work[id % ID_SLOTS];

	cr_assert(eq(int, h->state[id % ID_SLOTS], ABSENT));
	*work = (struct overload_work){
		.id = id,
		.level = (uint8_t)random_below(h, 4),
		.idempotent = random_below(h, 3) > 0,
		.account = random_below(h, 5),
		.weight = 1 + random_below(h, 3),
		.deadline = h->now + random_below(h, 200000),
	};
	set_state(h, id, OFFERED);
	overload_guard_offer(h->guard, work, h->now);
}

/* Returns the id of random work in the state, or 0 if none was found. */
static uint64_t pick_in_state(struct history *h, enum state state)
{
	uint64_t span = h->next_id < 200 ? h->next_id : 200;
	uint64_t i;

	for (i = random_below(h, 100); i < span; i++)
		if (h->state[(h->next_id - i) % ID_SLOTS] == state)
			return h->next_id - i;
	return 0;
}

static void set_server_lost(struct history *h)
{
	h->server_lost = true;
	h->trial_in_flight = false;
	h->lost_at = h->now;
}

static void finish(struct history *h)
{
	uint64_t id = pick_in_state(h, RUNNING);
	uint32_t kind = random_below(h, 100);

	if (!id)
		return;
	set_state(h, id, ABSENT);
	if (h->started_at[id % ID_SLOTS] >= h->lost_at)
		h->trial_in_flight = false;
	if (kind >= 99 && h->started_at[id % ID_SLOTS] >= h->lost_at)
		set_server_lost(h);
	else if (kind < 94 && h->started_at[id % ID_SLOTS] > h->lost_at)
		h->server_lost = false;
	overload_guard_add_onward_wait(h->guard, id, random_below(h, 5000));
	cr_assert(overload_guard_finish(h->guard, id,
					kind < 94 ? OVERLOAD_OUTCOME_OK
					: kind < 99
						? OVERLOAD_OUTCOME_FAILED
						: OVERLOAD_OUTCOME_SERVER_LOST,
					h->now));
}

static void rare_event(struct history *h)
{
	int64_t pause = random_below(h, 300000);
	uint64_t id;

	switch (random_below(h, 20)) {
	case 0:
		configure(h);
		overload_guard_reconfigure(h->guard, &h->config, h->now);
		break;
	case 1:
		overload_guard_server_lost(h->guard, h->now);
		set_server_lost(h);
		break;
	case 2:
		h->now += pause;
		overload_guard_resumed(h->guard, pause, h->now);
		break;
	case 3:
		h->draining |= random_below(h, 20) == 0;
		if (h->draining)
			overload_guard_drain(h->guard);
		break;
	default:
		id = pick_in_state(h, random_below(h, 2) ? OFFERED : RUNNING);
		if (id && overload_guard_cancel(h->guard, id, h->now))
			set_state(h, id, ABSENT);
	}
}

static void run_history(uint64_t seed)
{
	struct history *h = base_alloc(sizeof(*h));
	uint32_t load;
	int i;

	base_rand_seed(&h->rnd, seed);
	configure(h);
	h->config.seed = seed;
	h->now = 1;
	h->guard = overload_guard_create(&h->config, NULL, h->now);
	load = 30 + random_below(h, 60);
	for (i = 0; i < EVENTS_PER_SEED; i++) {
		uint32_t kind = random_below(h, 100);

		h->now += random_below(h, 3000);
		if (kind >= 95)
			rare_event(h);
		else if (kind < load)
			offer(h);
		else
			finish(h);
		act(h);
	}
	overload_guard_destroy(h->guard);
	free(h);
}

/*
 * Fails if, in some sequence of events,
 * - the work in flight exceeds the slots, the connections, or the limit of the
 *   limiter or the ramp;
 * - non-idempotent work is shed while idempotent work runs or waits; or
 * - work is lost or returned by more than one action.
 */
Test(invariants, hold_in_random_histories)
{
	uint64_t seed;

	for (seed = 1; seed <= SEED_COUNT; seed++)
		run_history(seed);
}
