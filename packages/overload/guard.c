/* The guard: combines limiter, queue, cold start ramp and cutoff. */
#include "bucket.h"
#include "cutoff.h"
#include "queue.h"
#include "ramp.h"

#include <assert.h>
#include <math.h>
#include <uthash.h>

/*
 * Queue length, as the concurrency limit divided by this number, up to which
 * work at levels that are shed entirely may wait.
 */
#define SHED_QUEUE_DIVISOR 8
#define SERVICE_TIME_GAIN 0.05
/*
 * With a stated rate, at least the work of this time may be in flight. Requests
 * to a fast server would otherwise be refused when a short wait serves them.
 */
#define STATED_RATE_MIN_TIME_US (250 * BASE_MS_US)
#define RETRY_AFTER_MIN_US (100 * BASE_MS_US)
#define RETRY_AFTER_MAX_US (2 * BASE_SECOND_US)

struct running {
	uint64_t id;
	int64_t started_at;
	int64_t onward_wait_us;
	uint32_t in_flight;
	bool idempotent;
	bool limit_reached;
	bool paused;
	UT_hash_handle hh;
};

/* Id of work in a list of work to be refused. */
struct work_id {
	uint64_t id;
	struct work_id *next;
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
	struct work_id *refused;
	/* Queued work beyond the cutoff; it is started at once or refused. */
	struct work_id *probes;
	/* Average time in the backend server; 0 if unknown. */
	double service_time_us;
	/* The server states a rate; it limits the starts. */
	bool has_stated_rate;
	struct overload_bucket stated_starts;
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

/* Keeps the time passed to the parts of the guard from decreasing. */
static int64_t advance_clock(struct overload_guard *guard, int64_t now)
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

static void free_work_ids(struct work_id *list)
{
	struct work_id *next;

	for (; list; list = next) {
		next = list->next;
		free(list);
	}
}

static void push_work_id(struct work_id **list, uint64_t id)
{
	struct work_id *head = base_alloc(sizeof(*head));

	head->id = id;
	head->next = *list;
	*list = head;
}

static uint64_t pop_work_id(struct work_id **list)
{
	struct work_id *head = *list;
	uint64_t id = head->id;

	*list = head->next;
	free(head);
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
	free_work_ids(guard->refused);
	free_work_ids(guard->probes);
	overload_queue_destroy(guard->queue);
	overload_limiter_destroy(guard->limiter);
	free(guard);
}

void overload_guard_reconfigure(struct overload_guard *guard,
				const struct overload_guard_config *config,
				int64_t now)
{
	check_config(config);
	advance_clock(guard, now);
	guard->config = *config;
	guard->limiter->ops->set_slots(guard->limiter, config->slots);
	overload_ramp_configure(&guard->ramp, config);
}

static uint32_t concurrency_limit(const struct overload_guard *guard,
				  int64_t now)
{
	uint32_t limit =
		min_u32(guard->config.slots, guard->config.connections);

	limit = min_u32(limit, guard->limiter->ops->limit(guard->limiter));
	return min_u32(limit, overload_ramp_limit(&guard->ramp, now));
}

/* Time for which work counts as in flight. */
static double slot_time_us(const struct overload_guard *guard)
{
	if (guard->has_stated_rate &&
	    guard->service_time_us < STATED_RATE_MIN_TIME_US)
		return STATED_RATE_MIN_TIME_US;
	return guard->service_time_us;
}

/*
 * A stated rate sustains as much work in flight as starts during the service
 * time. With the whole concurrency limit as its capacity, the server would
 * look idle to the entries, and its queue would take far longer to empty.
 */
uint32_t overload_guard_limit(const struct overload_guard *guard, int64_t now)
{
	uint32_t limit = concurrency_limit(guard, now);
	double sustained;

	if (!guard->has_stated_rate)
		return limit;
	sustained = ceil(guard->stated_starts.rate_per_s * slot_time_us(guard) /
			 BASE_SECOND_US);
	if (sustained < 1)
		sustained = 1;
	return sustained < limit ? (uint32_t)sustained : limit;
}

/*
 * Entries apply a cutoff to the whole service. A stated rate is that of one
 * server, and the others may have headroom, so its excess is refused here, by
 * the bound of the queue, and the entries try another server.
 */
static void update_cutoff(struct overload_guard *guard)
{
	struct overload_load load = {
		.in_flight = guard->in_flight,
		.queued = overload_queue_length(guard->queue),
		.limit = overload_guard_limit(guard, guard->now),
	};

	if (guard->has_stated_rate)
		return;
	overload_cutoff_update(&guard->cutoff, &load, guard->now);
}

void overload_guard_offer(struct overload_guard *guard,
			  const struct overload_work *work, int64_t now)
{
	now = advance_clock(guard, now);
	if (guard->draining) {
		push_work_id(&guard->refused, work->id);
		return;
	}
	overload_cutoff_count_offered(&guard->cutoff, work, now);
	overload_queue_push(guard->queue, work, now);
	/*
	 * Work at a level that is shed entirely is a probe, which must not
	 * wait: it would occupy slots of all services upstream of this one.
	 */
	if (work->idempotent &&
	    work->level >= overload_cutoff_first_shed_level(&guard->cutoff))
		push_work_id(&guard->probes, work->id);
}

/*
 * Below this utilization of the limit, work is started even if it will probably
 * miss its deadline: it takes no capacity from other work, and some of it does
 * meet its deadline.
 */
#define LIGHT_LOAD_SHARE 0.5

static int64_t expected_service_us(const struct overload_guard *guard)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);

	/* Without work in flight, no answer would ever correct the estimate. */
	if (!guard->in_flight || guard->in_flight < LIGHT_LOAD_SHARE * limit)
		return 0;
	return (int64_t)guard->service_time_us;
}

/* Returns the time for the queue to empty, with jitter to spread retries. */
static int64_t retry_after_us(struct overload_guard *guard)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);
	double wait_us =
		slot_time_us(guard) *
		(1 + (double)overload_queue_length(guard->queue) / limit);

	if (wait_us < RETRY_AFTER_MIN_US)
		wait_us = RETRY_AFTER_MIN_US;
	if (wait_us > RETRY_AFTER_MAX_US)
		wait_us = RETRY_AFTER_MAX_US;
	return (int64_t)(wait_us * (0.5 + base_rand_unit(&guard->rnd)));
}

static void set_drop(struct overload_guard *guard, uint64_t id,
		     enum overload_reason reason,
		     struct overload_action *action)
{
	action->type = OVERLOAD_ACTION_DROP;
	action->id = id;
	action->reason = reason;
	action->retry_after_us =
		reason == OVERLOAD_REASON_DRAINING ? 0 : retry_after_us(guard);
}

static bool next_refused(struct overload_guard *guard,
			 struct overload_action *action)
{
	if (!guard->refused)
		return false;
	set_drop(guard, pop_work_id(&guard->refused), OVERLOAD_REASON_DRAINING,
		 action);
	return true;
}

static bool next_probe(struct overload_guard *guard,
		       struct overload_action *action)
{
	uint64_t id;

	while (guard->probes) {
		id = pop_work_id(&guard->probes);
		if (!overload_queue_remove(guard->queue, id))
			continue;
		set_drop(guard, id, OVERLOAD_REASON_OVERLOADED, action);
		return true;
	}
	return false;
}

/*
 * Whether there is idempotent work that could make room for non-idempotent
 * work. What runs already occupies slots, but no part of a stated rate.
 */
static bool holds_idempotent_work(const struct overload_guard *guard)
{
	if (guard->has_stated_rate)
		return overload_queue_idempotent_length(guard->queue) > 0;
	return guard->idempotent_in_flight ||
	       overload_queue_idempotent_length(guard->queue);
}

static bool next_expired(struct overload_guard *guard,
			 struct overload_action *action)
{
	struct overload_work work;

	/*
	 * While there is idempotent work, non-idempotent work is dropped only
	 * after its deadline and not because of an estimate.
	 */
	if (!overload_queue_expire(guard->queue, expected_service_us(guard),
				   !holds_idempotent_work(guard), guard->now,
				   &work))
		return false;
	set_drop(guard, work.id, OVERLOAD_REASON_DEADLINE, action);
	return true;
}

static bool may_start_by_stated_rate(const struct overload_guard *guard)
{
	return !guard->has_stated_rate ||
	       overload_bucket_has_token(&guard->stated_starts, guard->now);
}

static void report_in_flight(struct overload_guard *guard)
{
	if (guard->limiter->ops->in_flight)
		guard->limiter->ops->in_flight(guard->limiter, guard->in_flight,
					       guard->now);
}

static bool next_start(struct overload_guard *guard,
		       struct overload_action *action)
{
	uint32_t limit = concurrency_limit(guard, guard->now);
	struct overload_work work;
	struct running *run;

	if (guard->in_flight >= limit ||
	    !overload_ramp_may_start(&guard->ramp, guard->now) ||
	    !may_start_by_stated_rate(guard) ||
	    !overload_queue_pop(guard->queue, guard->now, &work))
		return false;
	HASH_FIND(hh, guard->running, &work.id, sizeof(work.id), run);
	assert(!run);
	run = base_alloc(sizeof(*run));
	run->id = work.id;
	run->started_at = guard->now;
	run->idempotent = work.idempotent;
	run->in_flight = ++guard->in_flight;
	run->limit_reached = guard->in_flight >= limit;
	guard->idempotent_in_flight += work.idempotent;
	HASH_ADD(hh, guard->running, id, sizeof(run->id), run);
	overload_cutoff_count_started(&guard->cutoff);
	overload_ramp_work_started(&guard->ramp, guard->now);
	report_in_flight(guard);
	if (guard->has_stated_rate)
		overload_bucket_take(&guard->stated_starts, guard->now);
	*action = (struct overload_action){ .type = OVERLOAD_ACTION_START,
					    .id = work.id };
	return true;
}

/*
 * Sheds queued work. The queue length is bounded by a multiple of the limit. Of
 * the work at levels that are shed entirely, only as much may wait as keeps the
 * server busy: it would wait behind all other work and occupy slots of the
 * services upstream of this one. Idempotent work does not wait for a lost
 * server, as another server may process it.
 */
static bool next_shed(struct overload_guard *guard,
		      struct overload_action *action)
{
	uint32_t limit = overload_guard_limit(guard, guard->now);
	uint32_t queued = overload_queue_length(guard->queue);
	bool full = queued > OVERLOAD_QUEUE_FACTOR * limit;
	uint32_t first = OVERLOAD_FIRST_IDEMPOTENT_CLASS;
	struct overload_work work;

	if (full && !holds_idempotent_work(guard))
		first = OVERLOAD_FIRST_CLASS;
	else if (guard->ramp.unavailable)
		full = true;
	else if (queued <= limit / SHED_QUEUE_DIVISOR)
		return false;
	else if (queued <= overload_cutoff_queue_bound(&guard->cutoff, limit))
		first += overload_cutoff_first_shed_level(&guard->cutoff);
	if (!overload_queue_shed(guard->queue, first, !full, guard->now, &work))
		return false;
	set_drop(guard, work.id, OVERLOAD_REASON_OVERLOADED, action);
	return true;
}

bool overload_guard_next_action(struct overload_guard *guard, int64_t now,
				struct overload_action *action)
{
	advance_clock(guard, now);
	if (next_refused(guard, action) || next_expired(guard, action) ||
	    next_start(guard, action) || next_probe(guard, action) ||
	    next_shed(guard, action))
		return true;
	update_cutoff(guard);
	return false;
}

static void record_sample(struct overload_guard *guard,
			  const struct running *run,
			  enum overload_outcome outcome)
{
	int64_t elapsed_us = guard->now - run->started_at;
	struct overload_sample sample = {
		.latency_us = elapsed_us - run->onward_wait_us,
		.started_at = run->started_at,
		.in_flight = run->in_flight,
		.latency_valid = !run->paused,
		.failed = outcome == OVERLOAD_OUTCOME_FAILED ||
			  outcome == OVERLOAD_OUTCOME_REJECTED,
		.rejected = outcome == OVERLOAD_OUTCOME_REJECTED,
		.abandoned = outcome == OVERLOAD_OUTCOME_ABANDONED,
		.limit_reached = run->limit_reached,
	};

	if (sample.latency_us < 0)
		sample.latency_us = 0;
	if (sample.latency_valid && !sample.failed)
		guard->service_time_us +=
			guard->service_time_us > 0
				? SERVICE_TIME_GAIN *
					  (elapsed_us - guard->service_time_us)
				: elapsed_us;
	if (overload_ramp_work_answered(&guard->ramp, &sample, guard->now))
		guard->limiter->ops->reset(guard->limiter, guard->now);
	else if (!overload_ramp_is_cold(&guard->ramp, guard->now))
		guard->limiter->ops->sample(guard->limiter, &sample,
					    guard->now);
}

bool overload_guard_finish(struct overload_guard *guard, uint64_t id,
			   enum overload_outcome outcome, int64_t now)
{
	struct running *run;

	advance_clock(guard, now);
	HASH_FIND(hh, guard->running, &id, sizeof(id), run);
	if (!run)
		return false;
	HASH_DEL(guard->running, run);
	guard->in_flight--;
	report_in_flight(guard);
	guard->idempotent_in_flight -= run->idempotent;
	overload_ramp_work_ended(&guard->ramp, run->started_at, guard->now);
	if (outcome != OVERLOAD_OUTCOME_SERVER_LOST)
		record_sample(guard, run, outcome);
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
		run->onward_wait_us += waited_us;
}

bool overload_guard_cancel(struct overload_guard *guard, uint64_t id,
			   int64_t now)
{
	advance_clock(guard, now);
	return overload_queue_remove(guard->queue, id);
}

void overload_guard_server_lost(struct overload_guard *guard, int64_t now)
{
	now = advance_clock(guard, now);
	overload_ramp_server_lost(&guard->ramp, now);
	guard->limiter->ops->reset(guard->limiter, guard->now);
}

void overload_guard_hold(struct overload_guard *guard, int64_t now)
{
	advance_clock(guard, now);
	overload_ramp_hold(&guard->ramp);
}

void overload_guard_server_ready(struct overload_guard *guard, int64_t cold_us,
				 int64_t now)
{
	now = advance_clock(guard, now);
	overload_ramp_server_ready(&guard->ramp, cold_us, now);
}

void overload_guard_set_stated_rate(struct overload_guard *guard,
				    double rate_per_s, int64_t now)
{
	now = advance_clock(guard, now);
	assert(rate_per_s >= 0);
	if (!guard->has_stated_rate) {
		guard->stated_starts.rate_per_s = rate_per_s;
		overload_bucket_fill(&guard->stated_starts, now);
		overload_cutoff_init(&guard->cutoff, now);
	}
	overload_bucket_set_rate(&guard->stated_starts, rate_per_s, now);
	guard->has_stated_rate = true;
}

void overload_guard_clear_stated_rate(struct overload_guard *guard)
{
	guard->has_stated_rate = false;
}

bool overload_guard_needs_check(const struct overload_guard *guard, int64_t now)
{
	return overload_queue_length(guard->queue) &&
	       overload_ramp_needs_check(&guard->ramp, now);
}

bool overload_guard_is_unavailable(const struct overload_guard *guard)
{
	return guard->ramp.unavailable;
}

bool overload_guard_is_held(const struct overload_guard *guard)
{
	return guard->ramp.cold_starts.rate_per_s > 0 &&
	       guard->ramp.unavailable;
}

void overload_guard_resumed(struct overload_guard *guard, int64_t paused_us,
			    int64_t now)
{
	struct running *run, *next;

	advance_clock(guard, now);
	HASH_ITER (hh, guard->running, run, next)
		run->paused = true;
	overload_ramp_exclude_pause(&guard->ramp, paused_us);
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
	return overload_ramp_is_cold(&guard->ramp, now);
}

int32_t overload_guard_cutoff(const struct overload_guard *guard)
{
	return overload_cutoff_steps(&guard->cutoff);
}

/*
 * The earliest of the next deadline decision, the next cutoff update, the next
 * start that a stated rate permits and, while work waits for a server that is
 * or may be cold, the next millisecond.
 */
int64_t overload_guard_next_timer_at(const struct overload_guard *guard)
{
	int64_t at = overload_cutoff_next_update_at(&guard->cutoff);
	int64_t earliest = overload_queue_earliest_deadline(guard->queue);

	if (guard->refused || guard->probes)
		return guard->now;
	if (earliest < INT64_MAX) {
		earliest -= expected_service_us(guard);
		if (earliest <= guard->now)
			earliest = guard->now + BASE_MS_US;
		at = earliest < at ? earliest : at;
	}
	if (overload_queue_length(guard->queue) && guard->has_stated_rate &&
	    !may_start_by_stated_rate(guard)) {
		earliest = overload_bucket_next_token_at(&guard->stated_starts,
							 guard->now);
		at = earliest < at ? earliest : at;
	}
	if (overload_queue_length(guard->queue) &&
	    (overload_ramp_is_cold(&guard->ramp, guard->now) ||
	     overload_ramp_needs_check(&guard->ramp, guard->now))) {
		earliest = guard->now + BASE_MS_US;
		at = earliest < at ? earliest : at;
	}
	return at;
}
