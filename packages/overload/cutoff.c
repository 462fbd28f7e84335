/* Cutoff controller with hysteresis. */
#include "cutoff.h"

#include <math.h>

/*
 * Queue lengths, as shares of the concurrency limit: the length above which
 * the queue is over its target, the target, and the length below which it is
 * under its target. The constant part of the first keeps single requests from
 * counting as overload of a small server.
 */
#define QUEUE_OVER_SHARE 0.15
#define QUEUE_TARGET_SHARE 0.1
#define QUEUE_UNDER_SHARE 0.05
#define QUEUE_OVER_BASE_REQUESTS 2
/* Time in which a queue over its target should shrink to the target. */
#define QUEUE_DRAIN_US (300 * BASE_MS_US)
/*
 * Maximum length of a standing queue, as a share of the concurrency limit plus
 * a constant part that absorbs random variation on small servers. It must
 * exceed the length at which the queue is over its target; otherwise the cutoff
 * would not be tightened.
 */
#define STANDING_QUEUE_SHARE 0.15
#define STANDING_QUEUE_BASE_REQUESTS 12
/* A queue is over its target for this long before the cutoff is tightened. */
#define TIGHTEN_AFTER_US (20 * BASE_MS_US)
/* Answers must carry a new cutoff to the entries before it takes effect. */
#define TIGHTEN_INTERVAL_US (50 * BASE_MS_US)
/* A queue is under its target for this long before the cutoff is relaxed. */
#define RELAX_AFTER_US (200 * BASE_MS_US)
/* One update multiplies the admitted share of a level by at least this. */
#define TIGHTEN_FACTOR_MIN 0.25
/*
 * One update multiplies the admitted share of a level by at most this factor,
 * but may raise it to RELAX_SHARE_CAP_MIN in any case.
 */
#define RELAX_FACTOR_MAX 10.0
#define RELAX_SHARE_CAP_MIN 0.3
/* Share of a level that entries admit as probes while it is shed entirely. */
#define PROBE_SHARE 0.01
/* A level with a smaller admitted share is shed entirely. */
#define ADMITTED_SHARE_MIN 0.02
/*
 * Demand, as a share of the concurrency limit, that a relaxed cutoff should
 * let through: slightly more than the whole limit.
 */
#define UTILIZATION_TARGET 1.02
/* A server with a smaller utilization counts as idle. */
#define UTILIZATION_IDLE 0.7
/* Time constant of the counts, which decay in steps of at least 1 ms. */
#define DECAY_TIME_CONSTANT_US (100 * BASE_MS_US)
/* A level without offered work for this long is skipped. */
#define LEVEL_EXPIRY_US (10 * BASE_SECOND_US)

void overload_cutoff_init(struct overload_cutoff *cutoff, int64_t now)
{
	size_t i;

	*cutoff = (struct overload_cutoff){ 0 };
	cutoff->level = OVERLOAD_LEVELS;
	cutoff->over_since = -1;
	cutoff->under_since = -1;
	cutoff->updated_at = now;
	for (i = 0; i < OVERLOAD_LEVELS; i++)
		cutoff->last_offered_at[i] = -1;
}

void overload_cutoff_count_offered(struct overload_cutoff *cutoff,
				   const struct overload_work *work,
				   int64_t now)
{
	cutoff->offered += 1;
	if (!work->idempotent) {
		cutoff->offered_non_idempotent += 1;
		return;
	}
	cutoff->last_offered_at[work->level] = now;
	cutoff->offered_by_level[work->level] += 1;
}

void overload_cutoff_count_started(struct overload_cutoff *cutoff)
{
	cutoff->started += 1;
}

static void decay_counts(struct overload_cutoff *cutoff, int64_t now)
{
	double elapsed_us = (double)(now - cutoff->updated_at);
	double factor;
	size_t i;

	if (elapsed_us < (double)BASE_MS_US)
		return;
	factor = exp(-elapsed_us / DECAY_TIME_CONSTANT_US);
	cutoff->updated_at = now;
	cutoff->offered *= factor;
	cutoff->offered_non_idempotent *= factor;
	cutoff->started *= factor;
	cutoff->time_integral = (cutoff->time_integral + elapsed_us) * factor;
	cutoff->utilization_integral = (cutoff->utilization_integral +
					elapsed_us * cutoff->utilization) *
				       factor;
	for (i = 0; i < OVERLOAD_LEVELS; i++)
		cutoff->offered_by_level[i] *= factor;
}

static bool level_is_active(const struct overload_cutoff *cutoff, int level,
			    int64_t now)
{
	return cutoff->last_offered_at[level] >= 0 &&
	       now - cutoff->last_offered_at[level] < LEVEL_EXPIRY_US;
}

/*
 * Moves the cutoff to the next active level of higher priority, with all its
 * work admitted; returns false when there is none.
 */
static bool select_higher_priority_level(struct overload_cutoff *cutoff,
					 int64_t now)
{
	int level = cutoff->level;

	while (level > 0)
		if (level_is_active(cutoff, --level, now)) {
			cutoff->level = (uint8_t)level;
			cutoff->admitted_share = 1;
			return true;
		}
	return false;
}

/* Sheds @p excess of the work offered, starting with the lowest priority. */
static void tighten_cutoff(struct overload_cutoff *cutoff, double excess,
			   int64_t now)
{
	double offered, factor;

	if (cutoff->level == OVERLOAD_LEVELS &&
	    !select_higher_priority_level(cutoff, now))
		return;
	do {
		offered = cutoff->offered_by_level[cutoff->level];
		factor = offered > excess ? 1 - excess / offered : 0;
		if (factor < TIGHTEN_FACTOR_MIN &&
		    cutoff->admitted_share > ADMITTED_SHARE_MIN)
			factor = TIGHTEN_FACTOR_MIN;
		cutoff->admitted_share *= factor;
		excess -= offered * (1 - factor);
		if (cutoff->admitted_share >= ADMITTED_SHARE_MIN)
			return;
		cutoff->admitted_share = 0;
	} while (select_higher_priority_level(cutoff, now) && excess > 0);
	/*
	 * With little non-idempotent work, some work of the last level is
	 * admitted to keep the server busy.
	 */
	if (cutoff->admitted_share <= 0 &&
	    cutoff->offered_non_idempotent < cutoff->started / 2)
		cutoff->admitted_share = ADMITTED_SHARE_MIN;
}

/*
 * Admits @p spare more work than was offered, starting with the highest
 * priority. The demand of a level is estimated from the work offered by its
 * admitted share, or by the probes.
 */
static void relax_cutoff(struct overload_cutoff *cutoff, double spare,
			 bool idle, int64_t now)
{
	double share, demand, max_share;
	int level = cutoff->level;

	while (level < OVERLOAD_LEVELS && spare > 0) {
		share = cutoff->admitted_share;
		max_share = share * RELAX_FACTOR_MAX;
		if (max_share < RELAX_SHARE_CAP_MIN)
			max_share = RELAX_SHARE_CAP_MIN;
		demand = cutoff->offered_by_level[level] /
			 (share > PROBE_SHARE ? share : PROBE_SHARE);
		cutoff->admitted_share = share + spare / (demand + 1);
		/* On an idle server, a wrong estimate does no harm. */
		if (idle || cutoff->admitted_share > max_share)
			cutoff->admitted_share = max_share;
		if (cutoff->admitted_share < 1)
			return;
		spare -= (1 - share) * demand;
		do
			level++;
		while (level < OVERLOAD_LEVELS &&
		       !level_is_active(cutoff, level, now));
		cutoff->level = (uint8_t)level;
		cutoff->admitted_share = 0;
	}
}

static void update_over(struct overload_cutoff *cutoff, double surplus,
			int64_t now)
{
	double excess;

	cutoff->under_since = -1;
	if (cutoff->over_since < 0) {
		cutoff->over_since = now;
		return;
	}
	if (now - cutoff->over_since < TIGHTEN_AFTER_US)
		return;
	cutoff->standing_queue = true;
	/*
	 * Work offered in excess of the work started, plus the part of the
	 * surplus in the queue that should go within one decay time constant.
	 */
	excess = cutoff->offered - cutoff->started +
		 surplus * (double)DECAY_TIME_CONSTANT_US / QUEUE_DRAIN_US;
	cutoff->over_since = now;
	if (excess <= 0)
		return;
	tighten_cutoff(cutoff, excess, now);
	cutoff->over_since = now + TIGHTEN_INTERVAL_US - TIGHTEN_AFTER_US;
}

static void update_under(struct overload_cutoff *cutoff, int64_t now)
{
	double utilization;

	cutoff->over_since = -1;
	cutoff->standing_queue = false;
	if (cutoff->under_since < 0) {
		cutoff->under_since = now;
		return;
	}
	if (now - cutoff->under_since < RELAX_AFTER_US)
		return;
	utilization =
		cutoff->utilization_integral / (cutoff->time_integral + 1);
	if (utilization < UTILIZATION_TARGET && cutoff->level < OVERLOAD_LEVELS)
		relax_cutoff(
			cutoff,
			cutoff->offered *
				(UTILIZATION_TARGET / (utilization + 0.01) - 1),
			utilization < UTILIZATION_IDLE, now);
	cutoff->under_since = now;
}

void overload_cutoff_update(struct overload_cutoff *cutoff,
			    const struct overload_load *load, int64_t now)
{
	double limit = load->limit;

	decay_counts(cutoff, now);
	cutoff->utilization = load->in_flight / limit;
	if (load->queued >
	    QUEUE_OVER_BASE_REQUESTS + QUEUE_OVER_SHARE * limit) {
		update_over(cutoff, load->queued - QUEUE_TARGET_SHARE * limit,
			    now);
	} else if (load->queued <= QUEUE_UNDER_SHARE * limit) {
		update_under(cutoff, now);
	} else {
		cutoff->over_since = -1;
		cutoff->under_since = -1;
	}
}

int64_t overload_cutoff_next_update_at(const struct overload_cutoff *cutoff)
{
	if (cutoff->over_since >= 0)
		return cutoff->over_since + TIGHTEN_AFTER_US;
	if (cutoff->under_since >= 0 && cutoff->level < OVERLOAD_LEVELS)
		return cutoff->under_since + RELAX_AFTER_US;
	return INT64_MAX;
}

uint32_t overload_cutoff_queue_bound(const struct overload_cutoff *cutoff,
				     uint32_t limit)
{
	uint32_t standing_bound = STANDING_QUEUE_BASE_REQUESTS +
				  (uint32_t)(STANDING_QUEUE_SHARE * limit);
	uint32_t bound = OVERLOAD_QUEUE_FACTOR * limit;

	/* A standing queue serves no work sooner and delays all of it. */
	return cutoff->standing_queue && standing_bound < bound ? standing_bound
								: bound;
}

uint8_t overload_cutoff_first_shed_level(const struct overload_cutoff *cutoff)
{
	return cutoff->level + (cutoff->admitted_share > 0);
}

int32_t overload_cutoff_steps(const struct overload_cutoff *cutoff)
{
	if (cutoff->level == OVERLOAD_LEVELS)
		return OVERLOAD_CUTOFF_NONE;
	return cutoff->level * OVERLOAD_CUTOFF_STEPS +
	       (int32_t)(cutoff->admitted_share * OVERLOAD_CUTOFF_STEPS);
}

uint8_t overload_cutoff_level(int32_t cutoff)
{
	if (cutoff <= 0)
		return 0;
	if (cutoff >= OVERLOAD_CUTOFF_NONE)
		return OVERLOAD_LEVELS;
	return (uint8_t)(cutoff / OVERLOAD_CUTOFF_STEPS);
}

int32_t overload_cutoff_stricter(int32_t a, int32_t b)
{
	return a < b ? a : b;
}
