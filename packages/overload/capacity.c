/*
 * Learned capacity: a limiter that finds the concurrency above which the
 * throughput of a server does not grow, and reports how fast it is.
 *
 * Latency alone does not tell a full server from one that has become slow: in
 * both cases requests take longer. The limiter therefore lowers the limit on
 * trial and keeps the lower limit only if the throughput holds.
 */
#include "capacity.h"

#include <assert.h>
#include <math.h>

/* Interval in which the present time is measured and the limit may grow. */
#define STEP_US (100 * BASE_MS_US)
#define STEP_SAMPLES_MIN 4
/* Steps with fewer samples than STEP_SAMPLES_MIN end after this time. */
#define STEP_MAX_US BASE_SECOND_US
/*
 * Shortest interval over which throughputs are compared. Some servers stall
 * every 600 ms, and each interval should contain a stall as the others do.
 */
#define JUDGE_US (600 * BASE_MS_US)
#define JUDGE_MAX_US (2 * BASE_SECOND_US)
#define JUDGE_SAMPLES_MIN 16
/* An interval this old holds samples of another load and is discarded. */
#define STALE_US (5 * BASE_SECOND_US)

/* Ratio of present to low-load time above which a lower limit is tried. */
#define KNEE_RATIO 1.25
/* Ratio up to which the server is certainly below its knee. */
#define CLEAR_RATIO 1.1
#define LOWER_FACTOR_MIN 0.7
#define LOWER_FACTOR_MAX 0.9
/*
 * A lower limit is kept if the throughput falls by less than this share of the
 * decrease. It falls by all of it below the knee and by nothing above.
 */
#define KEEP_LOSS_SHARE 0.4
/* The limit stays above these fractions of the slots, see at_least(). */
#define KNEE_FLOOR_FRACTION 0.25
#define REJECTED_FLOOR_FRACTION 0.5

#define REJECTED_SHARE_MIN 0.02
#define REJECTED_FACTOR 0.8
/*
 * Shares of rejections are compared over a shorter interval than throughputs,
 * as stalls do not change them: each trial costs throughput when the server
 * rejects at any load.
 */
#define REJECTED_JUDGE_US (200 * BASE_MS_US)
/* With 16, a share of 0.55 falls below the ratio by chance once in 10 times. */
#define REJECTED_SAMPLES_MIN 50
/* Part of the latency after which the lower concurrency is reached. */
#define REJECTED_SETTLE_FRACTION 0.3
/* A lower limit is kept if the share of rejections falls below this part. */
#define REJECTED_KEEP_RATIO 0.7

/* Growth of the limit in a step; from half to all slots takes under 1 s. */
#define GROWTH_FAST 0.1
#define GROWTH_SLOW 0.03
/* A limit that was kept does not grow for this time while requests are slow. */
#define KEEP_US (3 * BASE_SECOND_US)
/* Time until the next trial after one that failed; it doubles up to the max. */
#define HOLD_OFF_US (2 * BASE_SECOND_US)
#define HOLD_OFF_MAX_US (8 * BASE_SECOND_US)

static void decide(struct overload_capacity *c,
		   enum overload_capacity_decision decision)
{
	c->last = decision;
	c->decisions++;
}

/* Lowest limit: what a cold start gives, and never less than 1. */
static double at_least(const struct overload_capacity *c, double fraction)
{
	double floor = fraction * c->config.slots;
	double cold = ceil(c->config.cold_rate_per_s * c->latency_us /
			   BASE_SECOND_US);

	if (floor < c->config.cold_slots)
		floor = c->config.cold_slots;
	if (floor < cold)
		floor = cold;
	if (floor > c->config.slots)
		floor = c->config.slots;
	return floor > 1 ? floor : 1;
}

static void set_limit(struct overload_capacity *c, double limit,
		      double floor_fraction)
{
	double floor = at_least(c, floor_fraction);

	if (limit < floor)
		limit = floor;
	if (limit > c->config.slots)
		limit = c->config.slots;
	c->limit = limit;
}

static double served_per_s(const struct window *w, int64_t now)
{
	return (double)w->served * BASE_SECOND_US /
	       (double)(now - w->started_at);
}

static double rejected_share(const struct window *w)
{
	return (double)w->rejected / capacity_ended(w);
}

/* Half of the requests found the limit reached when they started. */
static bool limit_was_reached(const struct window *w)
{
	return 2 * w->at_limit >= capacity_ended(w);
}

static double time_ratio(const struct overload_capacity *c, double own_us)
{
	return c->base_us > 0 && own_us > 0 ? own_us / c->base_us : 1;
}

static void grow(struct overload_capacity *c, double ratio, int64_t now)
{
	double growth = GROWTH_SLOW;

	if (c->trial.state != TRIAL_NONE || c->limit >= c->config.slots)
		return;
	if (ratio <= CLEAR_RATIO && !c->step.rejected)
		growth = GROWTH_FAST;
	else if (now < c->keep_until)
		return;
	set_limit(c, c->limit + fmax(growth * c->limit, 1), 0);
	if (c->limit >= c->config.slots)
		decide(c, OVERLOAD_CAPACITY_GROWN);
}

static void end_step(struct overload_capacity *c, int64_t now)
{
	double own_us = capacity_learn(c, now);

	grow(c, time_ratio(c, own_us), now);
	capacity_start_window(c, &c->step, now);
}

/* Time until the concurrency has fallen to a lower limit. */
static int64_t settle_us(const struct overload_capacity *c, bool for_rejections)
{
	if (for_rejections)
		return (int64_t)(REJECTED_SETTLE_FRACTION * c->latency_us);
	return STEP_US + (int64_t)c->latency_us;
}

static void start_trial(struct overload_capacity *c, double factor,
			bool for_rejections, int64_t now)
{
	struct trial *t = &c->trial;
	double before = c->limit;

	set_limit(c, factor * before,
		  for_rejections ? REJECTED_FLOOR_FRACTION
				 : KNEE_FLOOR_FRACTION);
	if (c->limit >= before) {
		c->limit = before;
		return;
	}
	t->state = TRIAL_SETTLING;
	t->for_rejections = for_rejections;
	t->settled_at = now + settle_us(c, for_rejections);
	t->limit_before = before;
	t->served_per_s = served_per_s(&c->judge, now);
	t->rejected_share = rejected_share(&c->judge);
	decide(c, for_rejections ? OVERLOAD_CAPACITY_TRY_REJECTIONS
				 : OVERLOAD_CAPACITY_TRY_KNEE);
}

static bool trial_succeeded(const struct overload_capacity *c, int64_t now)
{
	const struct trial *t = &c->trial;
	double decrease = 1 - c->limit / t->limit_before;

	if (t->for_rejections)
		return rejected_share(&c->judge) <
		       REJECTED_KEEP_RATIO * t->rejected_share;
	return served_per_s(&c->judge, now) >=
	       t->served_per_s * (1 - KEEP_LOSS_SHARE * decrease);
}

static void end_trial(struct overload_capacity *c, double own_us, int64_t now)
{
	c->trial.state = TRIAL_NONE;
	if (trial_succeeded(c, now)) {
		c->lowered++;
		c->knee = (uint32_t)c->limit;
		c->keep_until = now + KEEP_US;
		c->hold_off_us = HOLD_OFF_US;
		decide(c, OVERLOAD_CAPACITY_KEPT);
		return;
	}
	c->restored++;
	c->limit = c->trial.limit_before;
	c->next_trial_at = now + c->hold_off_us;
	c->hold_off_us = 2 * c->hold_off_us;
	if (c->hold_off_us > HOLD_OFF_MAX_US)
		c->hold_off_us = HOLD_OFF_MAX_US;
	if (!c->trial.for_rejections && !c->base_measured && own_us > 0) {
		c->base_us = own_us;
		c->base_measured = true;
	}
	decide(c, OVERLOAD_CAPACITY_RESTORED);
}

/* Puts a lower limit on trial where the server rejects work or is slow. */
static void consider_trial(struct overload_capacity *c, double ratio,
			   int64_t now)
{
	const struct window *w = &c->judge;
	double factor = LOWER_FACTOR_MIN;

	if (now < c->next_trial_at)
		return;
	if (rejected_share(w) > REJECTED_SHARE_MIN) {
		start_trial(c, REJECTED_FACTOR, true, now);
		return;
	}
	if (!limit_was_reached(w))
		return;
	if (c->base_measured) {
		if (ratio <= KNEE_RATIO) {
			c->hold_off_us = HOLD_OFF_US;
			return;
		}
		factor = fmin(fmax(1.05 / ratio, LOWER_FACTOR_MIN),
			      LOWER_FACTOR_MAX);
	}
	start_trial(c, factor, false, now);
}

static void end_judge(struct overload_capacity *c, int64_t now)
{
	double own_us = capacity_own_time_us(c, &c->judge, now);

	capacity_correct_base(c, own_us);
	if (c->trial.state == TRIAL_MEASURING)
		end_trial(c, own_us, now);
	else if (c->trial.state == TRIAL_NONE)
		consider_trial(c, time_ratio(c, own_us), now);
	capacity_start_window(c, &c->judge, now);
}

static bool step_is_due(const struct overload_capacity *c, int64_t now)
{
	int64_t age = now - c->step.started_at;

	return age >= STEP_MAX_US ||
	       (age >= STEP_US && capacity_ended(&c->step) >= STEP_SAMPLES_MIN);
}

static bool judge_is_due(const struct overload_capacity *c, int64_t now)
{
	int64_t age = now - c->judge.started_at;
	int64_t want = (int64_t)(2 * c->latency_us);
	uint32_t samples = JUDGE_SAMPLES_MIN;

	if (want < JUDGE_US)
		want = JUDGE_US;
	if (want > JUDGE_MAX_US)
		want = JUDGE_MAX_US;
	if (c->trial.state == TRIAL_MEASURING && c->trial.for_rejections) {
		want = REJECTED_JUDGE_US;
		samples = REJECTED_SAMPLES_MIN;
	}
	return age >= want && capacity_ended(&c->judge) >= samples;
}

/* Too few requests ended to judge the lower limit. */
static void abort_trial(struct overload_capacity *c, int64_t now)
{
	if (c->trial.state == TRIAL_NONE)
		return;
	c->trial.state = TRIAL_NONE;
	c->limit = c->trial.limit_before;
	c->next_trial_at = now + c->hold_off_us;
}

static void capacity_sample(struct overload_limiter *limiter,
			    const struct overload_sample *sample, int64_t now)
{
	struct overload_capacity *c = (struct overload_capacity *)limiter;

	if (sample->started_at < c->reset_at || sample->abandoned)
		return;
	if (!sample->latency_valid) {
		capacity_restart(c, now);
		return;
	}
	if (now - c->judge.started_at > STALE_US) {
		abort_trial(c, now);
		capacity_start_window(c, &c->judge, now);
	}
	if (now - c->step.started_at > STALE_US)
		capacity_start_window(c, &c->step, now);
	if (c->trial.state == TRIAL_SETTLING && now >= c->trial.settled_at) {
		c->trial.state = TRIAL_MEASURING;
		capacity_start_window(c, &c->judge, now);
	}
	c->sampled_at = now;
	capacity_add_sample(c, &c->step, sample);
	capacity_add_sample(c, &c->judge, sample);
	if (step_is_due(c, now))
		end_step(c, now);
	if (judge_is_due(c, now))
		end_judge(c, now);
}

static void capacity_destroy(struct overload_limiter *limiter)
{
	free(limiter);
}

static uint32_t capacity_limit(const struct overload_limiter *limiter)
{
	const struct overload_capacity *c =
		(const struct overload_capacity *)limiter;

	return (uint32_t)c->limit;
}

static void capacity_set_slots(struct overload_limiter *limiter, uint32_t slots)
{
	struct overload_capacity *c = (struct overload_capacity *)limiter;
	bool full = c->limit >= c->config.slots;

	c->config.slots = slots;
	if (c->trial.limit_before > slots)
		c->trial.limit_before = slots;
	set_limit(c, full ? slots : c->limit, 0);
}

static void capacity_reset(struct overload_limiter *limiter, int64_t now)
{
	struct overload_capacity *c = (struct overload_capacity *)limiter;

	c->limit = c->config.slots;
	c->reset_at = now;
	c->trial.state = TRIAL_NONE;
	c->keep_until = 0;
	c->next_trial_at = 0;
	c->hold_off_us = HOLD_OFF_US;
	c->knee = 0;
	capacity_forget(c, now);
	decide(c, OVERLOAD_CAPACITY_RESET);
}

static const struct overload_limiter_ops capacity_ops = {
	.destroy = capacity_destroy,
	.limit = capacity_limit,
	.sample = capacity_sample,
	.set_slots = capacity_set_slots,
	.reset = capacity_reset,
	.in_flight = capacity_in_flight,
};

struct overload_capacity *
overload_capacity_create(const struct overload_capacity_config *config,
			 int64_t now)
{
	struct overload_capacity *c = base_alloc(sizeof(*c));

	assert(config->slots > 0);
	c->base.ops = &capacity_ops;
	c->config = *config;
	c->onward_at = now;
	c->in_flight_at = now;
	capacity_reset(&c->base, now);
	return c;
}

void overload_capacity_reconfigure(
	struct overload_capacity *capacity,
	const struct overload_capacity_config *config)
{
	assert(config->slots > 0);
	capacity->config.cold_slots = config->cold_slots;
	capacity->config.cold_rate_per_s = config->cold_rate_per_s;
	capacity_set_slots(&capacity->base, config->slots);
}

struct overload_limiter *
overload_capacity_limiter(struct overload_capacity *capacity)
{
	return &capacity->base;
}

const char *
overload_capacity_decision_str(enum overload_capacity_decision decision)
{
	switch (decision) {
	case OVERLOAD_CAPACITY_RESET:
		return "reset";
	case OVERLOAD_CAPACITY_TRY_KNEE:
		return "try_lower_for_slow_requests";
	case OVERLOAD_CAPACITY_TRY_REJECTIONS:
		return "try_lower_for_rejections";
	case OVERLOAD_CAPACITY_KEPT:
		return "keep_lower";
	case OVERLOAD_CAPACITY_RESTORED:
		return "restore";
	case OVERLOAD_CAPACITY_GROWN:
		return "all_slots";
	}
	return "unknown";
}
