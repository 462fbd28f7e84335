/* Concurrency limits: gradient and fixed. */
#include "overload.h"

#include <assert.h>

/* The limit falls when the latency exceeds this multiple of the minimum. */
#define TOLERANCE 2.0
/* Bounds of one fall. The effect of a smaller one would be lost in noise. */
#define FALL_MAX 0.5
#define FALL_MIN 0.8
#define FALL_FAILURES 0.9
/*
 * The minimum moves up by this share of the distance each round in which the
 * limit was not reached. At the limit, latency that the limit itself causes
 * would raise the minimum, and that the limit, round by round.
 */
#define MINIMUM_DRIFT 0.01
/* Fewer samples do not make a round. */
#define ROUND_MIN 8

struct gradient {
	struct overload_limiter base;
	uint32_t slots;
	double limit;
	/* Long-term minimum of the round averages; 0 while unknown. */
	double minimum_us;
	/* The round under way: work started since round_at. */
	int64_t round_at;
	uint32_t count;
	uint32_t failures;
	double sum_us;
	bool limited;
	/* Limit and latency before the last fall; 0 when it has been judged. */
	double fell_from;
	double fell_at_us;
};

static void limiter_free(struct overload_limiter *limiter)
{
	free(limiter);
}

static uint32_t gradient_limit(const struct overload_limiter *limiter)
{
	const struct gradient *g = (const struct gradient *)limiter;

	return (uint32_t)g->limit;
}

static void bound_limit(struct gradient *g)
{
	if (g->limit > g->slots)
		g->limit = g->slots;
	if (g->limit < 1)
		g->limit = 1;
}

static void start_round(struct gradient *g, int64_t now)
{
	g->round_at = now;
	g->count = 0;
	g->failures = 0;
	g->sum_us = 0;
	g->limited = false;
}

static void fall(struct gradient *g, double factor, double latency)
{
	g->fell_from = g->limit;
	g->fell_at_us = latency;
	if (factor < FALL_MAX)
		factor = FALL_MAX;
	if (factor > FALL_MIN)
		factor = FALL_MIN;
	g->limit *= factor;
}

/*
 * When work inside the server queues, a lower limit lowers the latency by the
 * same factor. When it did not, the work itself takes longer, and the lower
 * limit only wastes slots: the limit is restored and the latency accepted.
 */
static bool fall_was_useless(struct gradient *g, double latency)
{
	double expected;

	if (g->fell_from <= 0)
		return false;
	expected = (1 + g->limit / g->fell_from) / 2;
	return latency > g->fell_at_us * expected;
}

static void end_round(struct gradient *g, int64_t now)
{
	uint32_t timed = g->count - g->failures;
	double latency = timed ? g->sum_us / timed : g->minimum_us;
	double threshold;

	if (g->minimum_us <= 0 || latency < g->minimum_us)
		g->minimum_us = latency;
	else if (!g->limited)
		g->minimum_us += MINIMUM_DRIFT * (latency - g->minimum_us);
	threshold = TOLERANCE * g->minimum_us;
	if (g->failures) {
		g->fell_from = 0;
		g->limit *= FALL_FAILURES;
	} else if (latency <= threshold) {
		g->fell_from = 0;
		if (g->limited)
			g->limit += 1;
	} else if (fall_was_useless(g, latency)) {
		g->limit = g->fell_from;
		g->fell_from = 0;
		g->minimum_us = latency;
	} else {
		fall(g, threshold / latency, latency);
	}
	bound_limit(g);
	start_round(g, now);
}

static void gradient_sample(struct overload_limiter *limiter,
			    const struct overload_sample *sample, int64_t now)
{
	struct gradient *g = (struct gradient *)limiter;

	if (sample->started_at < g->round_at)
		return;
	if (!sample->timed && !sample->failed)
		return;
	g->count++;
	if (sample->failed)
		g->failures++;
	else
		g->sum_us += (double)sample->latency_us;
	g->limited |= sample->limited;
	if (g->count >= ROUND_MIN && g->count >= sample->in_flight)
		end_round(g, now);
}

static void gradient_set_slots(struct overload_limiter *limiter, uint32_t slots)
{
	struct gradient *g = (struct gradient *)limiter;

	/* An unused limit stays unused; growth by one a round would be slow. */
	if (g->limit >= g->slots)
		g->limit = slots;
	g->slots = slots;
	g->fell_from = 0;
	bound_limit(g);
}

static void gradient_reset(struct overload_limiter *limiter, int64_t now)
{
	struct gradient *g = (struct gradient *)limiter;

	g->fell_from = 0;
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
	struct gradient *g = base_alloc(sizeof(*g));

	assert(slots > 0);
	g->base.ops = &gradient_ops;
	g->slots = slots;
	g->limit = slots;
	return &g->base;
}

struct fixed {
	struct overload_limiter base;
	uint32_t slots;
};

static uint32_t fixed_limit(const struct overload_limiter *limiter)
{
	return ((const struct fixed *)limiter)->slots;
}

static void fixed_sample(struct overload_limiter *limiter,
			 const struct overload_sample *sample, int64_t now)
{
}

static void fixed_set_slots(struct overload_limiter *limiter, uint32_t slots)
{
	((struct fixed *)limiter)->slots = slots;
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
	struct fixed *f = base_alloc(sizeof(*f));

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
