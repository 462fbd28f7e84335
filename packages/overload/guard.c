/* The guard: puts limit, queue, ramp and cutoff together. */
#include "cutoff.h"
#include "queue.h"
#include "ramp.h"

#include <assert.h>
#include <uthash.h>

/* Of work to be shed altogether, the limit divided by this may wait. */
#define SHED_DIVISOR 8
#define SERVICE_GAIN 0.05
#define RETRY_MIN_US (100 * BASE_MS_US)
#define RETRY_MAX_US (2 * BASE_SECOND_US)

struct running {
	uint64_t id;
	int64_t started_at;
	int64_t onward_us;
	uint32_t in_flight;
	bool idempotent;
	bool limited;
	bool paused;
	UT_hash_handle hh;
};

/* Work to be refused when the caller takes the next action. */
struct refused {
	uint64_t id;
	struct refused *next;
};

struct overload_guard {
	struct overload_guard_config config;
	struct overload_limiter *limiter;
	struct overload_queue *queue;
	struct overload_ramp ramp;
	struct overload_cutoff cutoff;
	struct base_rand rnd;
	struct running *running;
	uint32_t in_flight;
	uint32_t idempotent_in_flight;
	struct refused *refused;
	/* Queued work beyond the cutoff: it is started at once or refused. */
	struct refused *probes;
	/* Average time in the backend server; 0 while unknown. */
	double service_us;
	int64_t now;
	bool draining;
};

const char *overload_reason_str(enum overload_reason reason)
{
	switch (reason) {
	case OVERLOAD_REASON_OVERLOADED:
		return "overloaded";
	case OVERLOAD_REASON_DEADLINE:
		return "deadline";
	case OVERLOAD_REASON_DRAINING:
		return "draining";
	}
	return "unknown";
}

static void check_config(const struct overload_guard_config *config)
{
	assert(config->slots > 0);
	assert(config->connections > 0);
	assert(config->cold_slots > 0);
	assert(config->cold_us >= 0);
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Time never goes back for the parts of the guard. */
static int64_t advance(struct overload_guard *guard, int64_t now)
{
	if (now > guard->now)
		guard->now = now;
	return guard->now;
}

struct overload_guard *
overload_guard_create(const struct overload_guard_config *config,
		      struct overload_limiter *limiter, int64_t now)
{
	struct overload_guard *guard = base_alloc(sizeof(*guard));

	check_config(config);
	guard->config = *config;
	guard->limiter =
		limiter ? limiter
			: overload_limiter_gradient_create(config->slots);
	guard->queue = overload_queue_create();
	guard->now = now;
	overload_ramp_init(&guard->ramp, config, now);
	overload_cutoff_init(&guard->cutoff, now);
	base_rand_seed(&guard->rnd, config->seed);
	return guard;
}

static void free_refused(struct refused *list)
{
	struct refused *next;

	for (; list; list = next) {
		next = list->next;
		free(list);
	}
}

static void add_refused(struct refused **list, uint64_t id)
{
	struct refused *refused = base_alloc(sizeof(*refused));

	refused->id = id;
	refused->next = *list;
	*list = refused;
}

static uint64_t take_refused(struct refused **list)
{
	struct refused *refused = *list;
	uint64_t id = refused->id;

	*list = refused->next;
	free(refused);
	return id;
}

void overload_guard_destroy(struct overload_guard *guard)
{
	struct running *run, *next_run;

	if (!guard)
		return;
	HASH_ITER (hh, guard->running, run, next_run) {
		HASH_DEL(guard->running, run);
		free(run);
	}
	free_refused(guard->refused);
	free_refused(guard->probes);
	overload_queue_destroy(guard->queue);
	overload_limiter_destroy(guard->limiter);
	free(guard);
}

void overload_guard_reconfigure(struct overload_guard *guard,
				const struct overload_guard_config *config,
				int64_t now)
{
	check_config(config);
	advance(guard, now);
	guard->config = *config;
	guard->limiter->ops->set_slots(guard->limiter, config->slots);
	overload_ramp_configure(&guard->ramp, config);
}

uint32_t overload_guard_limit(const struct overload_guard *guard, int64_t now)
{
	uint32_t limit =
		min_u32(guard->config.slots, guard->config.connections);

	limit = min_u32(limit, guard->limiter->ops->limit(guard->limiter));
	return min_u32(limit, overload_ramp_bound(&guard->ramp, now));
}

static void update_cutoff(struct overload_guard *guard)
{
	struct overload_load load = {
		.in_flight = guard->in_flight,
		.queued = overload_queue_length(guard->queue),
		.limit = overload_guard_limit(guard, guard->now),
	};

	overload_cutoff_update(&guard->cutoff, &load, guard->now);
}

void overload_guard_offer(struct overload_guard *guard,
			  const struct overload_work *work, int64_t now)
{
	now = advance(guard, now);
	if (guard->draining) {
		add_refused(&guard->refused, work->id);
		return;
	}
	overload_cutoff_offered(&guard->cutoff, work, now);
	overload_queue_push(guard->queue, work, now);
	/* Waiting, a probe would occupy slots of all services before this. */
	if (work->idempotent &&
	    work->level >= overload_cutoff_first_shed(&guard->cutoff))
		add_refused(&guard->probes, work->id);
}

/*
 * With more than this part of the limit free, work that will probably not end
 * in time takes nothing from other work, and some of it does end.
 */
#define ROOM_TO_TRY 0.5

static int64_t expected_service(const struct overload_guard *guard)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);

	/* Without work in flight no answer would ever correct the estimate. */
	if (!guard->in_flight || guard->in_flight < ROOM_TO_TRY * limit)
		return 0;
	return (int64_t)guard->service_us;
}

/* Time for the queue to empty, with jitter, so that retries do not align. */
static int64_t retry_after(struct overload_guard *guard)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);
	double wait = guard->service_us *
		      (1 + (double)overload_queue_length(guard->queue) / limit);

	if (wait < RETRY_MIN_US)
		wait = RETRY_MIN_US;
	if (wait > RETRY_MAX_US)
		wait = RETRY_MAX_US;
	return (int64_t)(wait * (0.5 + base_rand_unit(&guard->rnd)));
}

static void set_drop(struct overload_guard *guard, uint64_t id,
		     enum overload_reason reason,
		     struct overload_action *action)
{
	action->type = OVERLOAD_ACTION_DROP;
	action->id = id;
	action->reason = reason;
	action->retry_after_us =
		reason == OVERLOAD_REASON_DRAINING ? 0 : retry_after(guard);
}

static bool next_refused(struct overload_guard *guard,
			 struct overload_action *action)
{
	if (!guard->refused)
		return false;
	set_drop(guard, take_refused(&guard->refused), OVERLOAD_REASON_DRAINING,
		 action);
	return true;
}

static bool next_probe(struct overload_guard *guard,
		       struct overload_action *action)
{
	uint64_t id;

	while (guard->probes) {
		id = take_refused(&guard->probes);
		if (!overload_queue_remove(guard->queue, id))
			continue;
		set_drop(guard, id, OVERLOAD_REASON_OVERLOADED, action);
		return true;
	}
	return false;
}

static bool idempotent_present(const struct overload_guard *guard)
{
	return guard->idempotent_in_flight ||
	       overload_queue_idempotent(guard->queue);
}

static bool next_expired(struct overload_guard *guard,
			 struct overload_action *action)
{
	struct overload_work work;

	/* An estimate is no ground to shed non-idempotent work early. */
	if (!overload_queue_expire(guard->queue, expected_service(guard),
				   !idempotent_present(guard), guard->now,
				   &work))
		return false;
	set_drop(guard, work.id, OVERLOAD_REASON_DEADLINE, action);
	return true;
}

static bool next_start(struct overload_guard *guard,
		       struct overload_action *action)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);
	struct overload_work work;
	struct running *run;

	if (guard->in_flight >= limit ||
	    !overload_ramp_open(&guard->ramp, guard->now) ||
	    !overload_queue_pop(guard->queue, guard->now, &work))
		return false;
	HASH_FIND(hh, guard->running, &work.id, sizeof(work.id), run);
	assert(!run);
	run = base_alloc(sizeof(*run));
	run->id = work.id;
	run->started_at = guard->now;
	run->idempotent = work.idempotent;
	run->in_flight = ++guard->in_flight;
	run->limited = guard->in_flight >= limit;
	guard->idempotent_in_flight += work.idempotent;
	HASH_ADD(hh, guard->running, id, sizeof(run->id), run);
	overload_cutoff_started(&guard->cutoff);
	overload_ramp_started(&guard->ramp, guard->now);
	*action = (struct overload_action){ .type = OVERLOAD_ACTION_START,
					    .id = work.id };
	return true;
}

/*
 * The queue is bounded by the limit. Of work at levels that are shed altogether
 * only as much waits as keeps the server busy: it would wait behind all other
 * work and occupy slots of the services before this one. Idempotent work does
 * not wait for a lost server, as another one may take it.
 */
static bool next_shed(struct overload_guard *guard,
		      struct overload_action *action)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);
	uint32_t queued = overload_queue_length(guard->queue);
	bool full = queued > OVERLOAD_QUEUE_FACTOR * limit;
	uint32_t first = OVERLOAD_CLASS_IDEMPOTENT;
	struct overload_work work;

	if (full && !idempotent_present(guard))
		first = OVERLOAD_CLASS_ALL;
	else if (guard->ramp.lost)
		full = true;
	else if (queued <= limit / SHED_DIVISOR)
		return false;
	else if (queued <= overload_cutoff_queue_bound(&guard->cutoff, limit))
		first += overload_cutoff_first_shed(&guard->cutoff);
	if (!overload_queue_shed(guard->queue, first, !full, guard->now, &work))
		return false;
	set_drop(guard, work.id, OVERLOAD_REASON_OVERLOADED, action);
	return true;
}

bool overload_guard_next_action(struct overload_guard *guard, int64_t now,
				struct overload_action *action)
{
	advance(guard, now);
	if (next_refused(guard, action) || next_expired(guard, action) ||
	    next_start(guard, action) || next_probe(guard, action) ||
	    next_shed(guard, action))
		return true;
	update_cutoff(guard);
	return false;
}

static void learn(struct overload_guard *guard, const struct running *run,
		  enum overload_outcome outcome)
{
	int64_t elapsed = guard->now - run->started_at;
	struct overload_sample sample = {
		.latency_us = elapsed - run->onward_us,
		.started_at = run->started_at,
		.in_flight = run->in_flight,
		.timed = !run->paused,
		.failed = outcome != OVERLOAD_OUTCOME_OK,
		.limited = run->limited,
	};

	if (sample.latency_us < 0)
		sample.latency_us = 0;
	if (sample.timed && !sample.failed)
		guard->service_us +=
			guard->service_us > 0
				? SERVICE_GAIN * (elapsed - guard->service_us)
				: elapsed;
	if (overload_ramp_answered(&guard->ramp, &sample, guard->now))
		guard->limiter->ops->reset(guard->limiter, guard->now);
	else if (!overload_ramp_cold(&guard->ramp, guard->now))
		guard->limiter->ops->sample(guard->limiter, &sample,
					    guard->now);
}

bool overload_guard_finish(struct overload_guard *guard, uint64_t id,
			   enum overload_outcome outcome, int64_t now)
{
	struct running *run;

	advance(guard, now);
	HASH_FIND(hh, guard->running, &id, sizeof(id), run);
	if (!run)
		return false;
	HASH_DEL(guard->running, run);
	guard->in_flight--;
	guard->idempotent_in_flight -= run->idempotent;
	overload_ramp_ended(&guard->ramp, run->started_at);
	if (outcome != OVERLOAD_OUTCOME_SERVER_LOST)
		learn(guard, run, outcome);
	else if (run->started_at >= guard->ramp.lost_at)
		overload_guard_server_lost(guard, now);
	free(run);
	return true;
}

void overload_guard_add_onward_wait(struct overload_guard *guard, uint64_t id,
				    int64_t waited_us)
{
	struct running *run;

	HASH_FIND(hh, guard->running, &id, sizeof(id), run);
	if (run)
		run->onward_us += waited_us;
}

bool overload_guard_cancel(struct overload_guard *guard, uint64_t id,
			   int64_t now)
{
	advance(guard, now);
	return overload_queue_remove(guard->queue, id);
}

void overload_guard_server_lost(struct overload_guard *guard, int64_t now)
{
	now = advance(guard, now);
	overload_ramp_lost(&guard->ramp, now);
	guard->limiter->ops->reset(guard->limiter, guard->now);
}

void overload_guard_hold(struct overload_guard *guard, int64_t now)
{
	advance(guard, now);
	overload_ramp_hold(&guard->ramp);
}

void overload_guard_server_ready(struct overload_guard *guard, int64_t cold_us,
				 int64_t now)
{
	now = advance(guard, now);
	overload_ramp_ready(&guard->ramp, cold_us, now);
}

bool overload_guard_is_held(const struct overload_guard *guard)
{
	return guard->ramp.cold_rate_per_s > 0 && guard->ramp.lost;
}

void overload_guard_resumed(struct overload_guard *guard, int64_t paused_us,
			    int64_t now)
{
	struct running *run, *next;

	advance(guard, now);
	HASH_ITER (hh, guard->running, run, next)
		run->paused = true;
	overload_ramp_paused(&guard->ramp, paused_us);
}

void overload_guard_drain(struct overload_guard *guard)
{
	guard->draining = true;
}

uint32_t overload_guard_in_flight(const struct overload_guard *guard)
{
	return guard->in_flight;
}

uint32_t overload_guard_queued(const struct overload_guard *guard)
{
	return overload_queue_length(guard->queue);
}

bool overload_guard_is_cold(const struct overload_guard *guard, int64_t now)
{
	return overload_ramp_cold(&guard->ramp, now);
}

int32_t overload_guard_cutoff(const struct overload_guard *guard)
{
	return overload_cutoff_steps(&guard->cutoff);
}

/* Time of the next deadline decision and of the next cutoff change. */
int64_t overload_guard_next_timer_at(const struct overload_guard *guard)
{
	int64_t at = overload_cutoff_next_at(&guard->cutoff);
	int64_t earliest = overload_queue_earliest(guard->queue);

	if (guard->refused || guard->probes)
		return guard->now;
	if (earliest < INT64_MAX) {
		earliest -= expected_service(guard);
		if (earliest <= guard->now)
			earliest = guard->now + BASE_MS_US;
		at = earliest < at ? earliest : at;
	}
	if (overload_queue_length(guard->queue) &&
	    overload_ramp_cold(&guard->ramp, guard->now)) {
		earliest = guard->now + BASE_MS_US;
		at = earliest < at ? earliest : at;
	}
	return at;
}
