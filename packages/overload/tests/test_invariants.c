/* Random histories under virtual time: what must hold on every path. */
#include "rig.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define SEEDS 300
#define EVENTS 3000
#define IDS 4096

enum state {
	NONE,
	OFFERED,
	RUNNING,
};

struct history {
	struct overload_guard *guard;
	struct overload_guard_config config;
	struct base_rand rnd;
	int64_t now;
	uint64_t next_id;
	enum state state[IDS];
	struct overload_work work[IDS];
	int64_t started_at[IDS];
	int64_t lost_at;
	uint32_t running;
	uint32_t waiting;
	uint32_t idempotent;
	bool draining;
	/* The server was lost and no work has been answered since. */
	bool lost;
	bool trying;
};

static uint32_t below(struct history *h, uint32_t bound)
{
	return base_rand_below(&h->rnd, bound);
}

static void configure(struct history *h)
{
	h->config.slots = 1 + below(h, 30);
	h->config.connections = 1 + below(h, 40);
	h->config.cold_slots = 1 + below(h, 10);
	h->config.cold_us = below(h, 500000);
}

static void set_state(struct history *h, uint64_t id, enum state state)
{
	enum state *s = &h->state[id % IDS];
	bool idempotent = h->work[id % IDS].idempotent;

	h->running -= *s == RUNNING;
	h->waiting -= *s == OFFERED;
	h->idempotent -= *s != NONE && idempotent;
	*s = state;
	h->running += state == RUNNING;
	h->waiting += state == OFFERED;
	h->idempotent += state != NONE && idempotent;
}

static void check_start(struct history *h, uint64_t id, uint32_t limit)
{
	cr_assert(eq(int, h->state[id % IDS], OFFERED));
	set_state(h, id, RUNNING);
	h->started_at[id % IDS] = h->now;
	/* A lost server gets one request at a time. */
	cr_assert(not(h->lost && h->trying));
	h->trying = true;
	cr_assert(le(u32, h->running, h->config.slots));
	cr_assert(le(u32, h->running, h->config.connections));
	cr_assert(le(u32, h->running, limit));
	cr_assert(gt(i64, h->work[id % IDS].deadline, h->now));
}

static void check_drop(struct history *h, const struct overload_action *action)
{
	const struct overload_work *work = &h->work[action->id % IDS];

	cr_assert(eq(int, h->state[action->id % IDS], OFFERED));
	if (action->reason == OVERLOAD_REASON_DRAINING)
		cr_assert(h->draining);
	else if (!work->idempotent && work->deadline > h->now)
		cr_assert(eq(u32, h->idempotent, 0));
	set_state(h, action->id, NONE);
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
	cr_assert(eq(u32, overload_guard_queued(h->guard), h->waiting));
	/* Work never waits beside free slots, nor without bound. */
	if (h->waiting && !h->lost)
		cr_assert(ge(u32, h->running, limit));
	if (!h->idempotent)
		cr_assert(le(u32, h->waiting, 2 * limit));
}

static void offer(struct history *h)
{
	uint64_t id = ++h->next_id;
	struct overload_work *work = &h->work[id % IDS];

	cr_assert(eq(int, h->state[id % IDS], NONE));
	*work = (struct overload_work){
		.id = id,
		.level = (uint8_t)below(h, 4),
		.idempotent = below(h, 3) > 0,
		.account = below(h, 5),
		.weight = 1 + below(h, 3),
		.deadline = h->now + below(h, 200000),
	};
	set_state(h, id, OFFERED);
	overload_guard_offer(h->guard, work, h->now);
}

/* An id in the given state, or 0. */
static uint64_t pick(struct history *h, enum state state)
{
	uint64_t span = h->next_id < 200 ? h->next_id : 200;
	uint64_t i;

	for (i = below(h, 100); i < span; i++)
		if (h->state[(h->next_id - i) % IDS] == state)
			return h->next_id - i;
	return 0;
}

static void set_lost(struct history *h)
{
	h->lost = true;
	h->trying = false;
	h->lost_at = h->now;
}

static void finish(struct history *h)
{
	uint64_t id = pick(h, RUNNING);
	uint32_t kind = below(h, 100);

	if (!id)
		return;
	set_state(h, id, NONE);
	if (h->started_at[id % IDS] >= h->lost_at)
		h->trying = false;
	if (kind >= 99 && h->started_at[id % IDS] >= h->lost_at)
		set_lost(h);
	else if (kind < 94 && h->started_at[id % IDS] > h->lost_at)
		h->lost = false;
	overload_guard_add_onward_wait(h->guard, id, below(h, 5000));
	cr_assert(overload_guard_finish(h->guard, id,
					kind < 94 ? OVERLOAD_OUTCOME_OK
					: kind < 99
						? OVERLOAD_OUTCOME_FAILED
						: OVERLOAD_OUTCOME_SERVER_LOST,
					h->now));
}

static void rare_event(struct history *h)
{
	int64_t pause = below(h, 300000);
	uint64_t id;

	switch (below(h, 20)) {
	case 0:
		configure(h);
		overload_guard_reconfigure(h->guard, &h->config, h->now);
		break;
	case 1:
		overload_guard_server_lost(h->guard, h->now);
		set_lost(h);
		break;
	case 2:
		h->now += pause;
		overload_guard_resumed(h->guard, pause, h->now);
		break;
	case 3:
		h->draining |= below(h, 20) == 0;
		if (h->draining)
			overload_guard_drain(h->guard);
		break;
	default:
		id = pick(h, below(h, 2) ? OFFERED : RUNNING);
		if (id && overload_guard_cancel(h->guard, id, h->now))
			set_state(h, id, NONE);
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
	load = 30 + below(h, 60);
	for (i = 0; i < EVENTS; i++) {
		uint32_t kind = below(h, 100);

		h->now += below(h, 3000);
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

/* Guards against paths on which work in flight passes slots, connections,
 * learned limit or ramp; on which non-idempotent work is shed while idempotent
 * work runs or waits; or on which work is lost or handed out twice. */
Test(invariants, hold_in_random_histories)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		run_history(seed);
}
