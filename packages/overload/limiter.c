/* Concurrency limiters: gradient and fixed. */
#include "overload.h"

#include <assert.h>

/* The limit is decreased above this multiple of the minimum latency. */
#define LATENCY_TOLERANCE 2.0
/*
 * Bounds of the factor of one decrease. The effect of a decrease by less than
 * the maximum factor could not be told from noise.
 */
#define DECREASE_FACTOR_MIN 0.5
#define DECREASE_FACTOR_MAX 0.8
#define FAILURE_DECREASE_FACTOR 0.9
/*
 * After each round in which the limit was not reached, the minimum latency
 * moves towards the latency of the round by this share of the difference. In a
 * round at the limit, the limit itself may cause the latency; this would raise
 * the minimum, and thereby the limit, round by round.
 */
#define MIN_LATENCY_DRIFT 0.01
/* A round has at least this many samples. */
#define ROUND_SAMPLES_MIN 8

struct gradient_limiter {
	struct overload_limiter base;
	uint32_t slots;
	double limit;
	/* Long-term minimum of the average latency of rounds; 0 if unknown. */
	double min_latency_us;
	/* The current round: samples of work started since round_started_at. */
	int64_t round_started_at;
	uint32_t sample_count;
	uint32_t failure_count;
	double latency_sum_us;
	bool limit_reached;
	/* State before the last decrease; the limit is 0 once it is judged. */
	double limit_before_decrease;
	double latency_before_decrease_us;
};

static void limiter_free(struct overload_limiter *limiter)
{
	free(limiter);
}

static uint32_t gradient_limit(const struct overload_limiter *limiter)
{
	const struct gradient_limiter *g =
		(const struct gradient_limiter *)limiter;

	return (uint32_t)g->limit;
}

static void clamp_limit(struct gradient_limiter *g)
{
	if (g->limit > g->slots)
		g->limit = g->slots;
	if (g->limit < 1)
		g->limit = 1;
}

static void start_round(struct gradient_limiter *g, int64_t now)
{
	g->round_started_at = now;
	g->sample_count = 0;
	g->failure_count = 0;
	g->latency_sum_us = 0;
	g->limit_reached = false;
}

static void decrease_limit(struct gradient_limiter *g, double factor,
			   double latency_us)
{
	g->limit_before_decrease = g->limit;
	g->latency_before_decrease_us = latency_us;
	if (factor < DECREASE_FACTOR_MIN)
		factor = DECREASE_FACTOR_MIN;
	if (factor > DECREASE_FACTOR_MAX)
		factor = DECREASE_FACTOR_MAX;
	g->limit *= factor;
}

/*
 * Returns whether the last decrease of the limit did not reduce the latency.
 *
 * If work queues inside the server, a lower limit reduces the latency by the
 * same factor. If the latency falls by less than half as much, the work itself
 * takes longer and the lower limit only wastes slots. The caller then restores
 * the limit and accepts the latency as the new minimum.
 */
static bool decrease_was_ineffective(struct gradient_limiter *g,
				     double latency_us)
{
	double expected_factor;

	if (g->limit_before_decrease <= 0)
		return false;
	expected_factor = (1 + g->limit / g->limit_before_decrease) / 2;
	return latency_us > g->latency_before_decrease_us * expected_factor;
}

static void end_round(struct gradient_limiter *g, int64_t now)
{
	uint32_t successes = g->sample_count - g->failure_count;
	double latency_us =
		successes ? g->latency_sum_us / successes : g->min_latency_us;
	double threshold_us;

	if (g->min_latency_us <= 0 || latency_us < g->min_latency_us)
		g->min_latency_us = latency_us;
	else if (!g->limit_reached)
		g->min_latency_us +=
			MIN_LATENCY_DRIFT * (latency_us - g->min_latency_us);
	threshold_us = LATENCY_TOLERANCE * g->min_latency_us;
	if (g->failure_count) {
		g->limit_before_decrease = 0;
		g->limit *= FAILURE_DECREASE_FACTOR;
	} else if (latency_us <= threshold_us) {
		g->limit_before_decrease = 0;
		if (g->limit_reached)
			g->limit += 1;
	} else if (decrease_was_ineffective(g, latency_us)) {
		g->limit = g->limit_before_decrease;
		g->limit_before_decrease = 0;
		g->min_latency_us = latency_us;
	} else {
		decrease_limit(g, threshold_us / latency_us, latency_us);
	}
	clamp_limit(g);
	start_round(g, now);
}

static void gradient_sample(struct overload_limiter *limiter,
			    const struct overload_sample *sample, int64_t now)
{
	struct gradient_limiter *g = (struct gradient_limiter *)limiter;

	if (sample->started_at < g->round_started_at)
		return;
	if (!sample->latency_valid && !sample->failed)
		return;
	g->sample_count++;
	if (sample->failed)
		g->failure_count++;
	else
		g->latency_sum_us += (double)sample->latency_us;
	g->limit_reached |= sample->limit_reached;
	if (g->sample_count >= ROUND_SAMPLES_MIN &&
	    g->sample_count >= sample->in_flight)
		end_round(g, now);
}

static void gradient_set_slots(struct overload_limiter *limiter, uint32_t slots)
{
	struct gradient_limiter *g = (struct gradient_limiter *)limiter;

	/*
	 * A limit that has not been decreased follows the slots at once, as
	 * growth by one per round would be slow.
	 */
	if (g->limit >= g->slots)
		g->limit = slots;
	g->slots = slots;
	g->limit_before_decrease = 0;
	clamp_limit(g);
}

static void gradient_reset(struct overload_limiter *limiter, int64_t now)
{
	struct gradient_limiter *g = (struct gradient_limiter *)limiter;

	g->limit_before_decrease = 0;
	start_round(g, now);
}

static const struct overload_limiter_ops gradient_ops = {
	.destroy = limiter_free,
	.limit = gradient_limit,
	.sample = gradient_sample,
	.set_slots = gradient_set_slots,
	.reset = gradient_reset,
};

struct overload_limiter *overload_limiter_gradient_create(uint32_t slots)
{
	struct gradient_limiter *g = base_alloc(sizeof(*g));

	assert(slots > 0);
	g->base.ops = &gradient_ops;
	g->slots = slots;
	g->limit = slots;
	return &g->base;
}

struct fixed_limiter {
	struct overload_limiter base;
	uint32_t slots;
};

static uint32_t fixed_limit(const struct overload_limiter *limiter)
{
	return ((const struct fixed_limiter *)limiter)->slots;
}

static void fixed_sample(struct overload_limiter *limiter,
			 const struct overload_sample *sample, int64_t now)
{
}

static void fixed_set_slots(struct overload_limiter *limiter, uint32_t slots)
{
	((struct fixed_limiter *)limiter)->slots = slots;
}

static void fixed_reset(struct overload_limiter *limiter, int64_t now)
{
}

static const struct overload_limiter_ops fixed_ops = {
	.destroy = limiter_free,
	.limit = fixed_limit,
	.sample = fixed_sample,
	.set_slots = fixed_set_slots,
	.reset = fixed_reset,
};

struct overload_limiter *overload_limiter_fixed_create(uint32_t slots)
{
	struct fixed_limiter *f = base_alloc(sizeof(*f));

	assert(slots > 0);
	f->base.ops = &fixed_ops;
	f->slots = slots;
	return &f->base;
}

void overload_limiter_destroy(struct overload_limiter *limiter)
{
	if (limiter)
		limiter->ops->destroy(limiter);
}
