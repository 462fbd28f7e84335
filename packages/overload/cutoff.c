/* Cutoff controller with hysteresis. */
#include "cutoff.h"

#include <math.h>

/*
 * Over the target: more work waits than this share of the limit. The constant
 * part keeps single requests from counting as overload of a small server.
 */
#define TARGET_OVER 0.15
#define TARGET 0.1
#define TARGET_UNDER 0.05
#define TARGET_FLOOR 2
/* Time in which the queue is meant to shrink to the target. */
#define DRAIN_US (300 * BASE_MS_US)
/*
 * A standing queue holds this share of the limit only,
 * with a constant part that evens out chance on small servers. It must exceed
 * the over target: below it, the cutoff would not rise.
 */
#define STANDING 0.15
#define STANDING_FLOOR 12
#define RAISE_AFTER_US (20 * BASE_MS_US)
/* Answers have to carry a new cutoff to the entries before it shows. */
#define RAISE_AGAIN_US (50 * BASE_MS_US)
#define LOWER_AFTER_US (200 * BASE_MS_US)
/* One step lowers the admitted share of a level at most to this part. */
#define RAISE_FACTOR 0.25
/* One step raises the share at most by this factor, and to this at least. */
#define LOWER_FACTOR 10.0
#define ADMITTED_FIRST 0.3
/* Entries send this share of what they refuse as probes. */
#define PROBE_SHARE 0.01
/* A level with a smaller share is shed altogether. */
#define ADMITTED_MIN 0.02
/* Part of the limit that is meant to be asked for: more than all of it. */
#define USE_TARGET 1.02
#define USE_IDLE 0.7
/* The counts decay with this time constant, in steps of at least 1 ms. */
#define DECAY_US (100 * BASE_MS_US)
/* Levels not offered for this long are passed over. */
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
		cutoff->seen_at[i] = -1;
}

void overload_cutoff_offered(struct overload_cutoff *cutoff,
			     const struct overload_work *work, int64_t now)
{
	cutoff->offered += 1;
	if (!work->idempotent) {
		cutoff->offered_non_idempotent += 1;
		return;
	}
	cutoff->seen_at[work->level] = now;
	cutoff->offered_at[work->level] += 1;
}

void overload_cutoff_started(struct overload_cutoff *cutoff)
{
	cutoff->started += 1;
}

static void decay(struct overload_cutoff *cutoff, int64_t now)
{
	double dt = (double)(now - cutoff->updated_at);
	double factor;
	size_t i;

	if (dt < (double)BASE_MS_US)
		return;
	factor = exp(-dt / DECAY_US);
	cutoff->updated_at = now;
	cutoff->offered *= factor;
	cutoff->offered_non_idempotent *= factor;
	cutoff->started *= factor;
	cutoff->time = (cutoff->time + dt) * factor;
	cutoff->used = (cutoff->used + dt * cutoff->use) * factor;
	for (i = 0; i < OVERLOAD_LEVELS; i++)
		cutoff->offered_at[i] *= factor;
}

static bool in_use(const struct overload_cutoff *cutoff, int level, int64_t now)
{
	return cutoff->seen_at[level] >= 0 &&
	       now - cutoff->seen_at[level] < LEVEL_EXPIRY_US;
}

/* Moves to the next level that is in use; false when there is none. */
static bool next_level_up(struct overload_cutoff *cutoff, int64_t now)
{
	int level = cutoff->level;

	while (level > 0)
		if (in_use(cutoff, --level, now)) {
			cutoff->level = (uint8_t)level;
			cutoff->admitted = 1;
			return true;
		}
	return false;
}

/* Sheds @p excess of the work offered: lowest level first. */
static void raise_cutoff(struct overload_cutoff *cutoff, double excess,
			 int64_t now)
{
	double offered, factor;

	if (cutoff->level == OVERLOAD_LEVELS && !next_level_up(cutoff, now))
		return;
	do {
		offered = cutoff->offered_at[cutoff->level];
		factor = offered > excess ? 1 - excess / offered : 0;
		if (factor < RAISE_FACTOR && cutoff->admitted > ADMITTED_MIN)
			factor = RAISE_FACTOR;
		cutoff->admitted *= factor;
		excess -= offered * (1 - factor);
		if (cutoff->admitted >= ADMITTED_MIN)
			return;
		cutoff->admitted = 0;
	} while (next_level_up(cutoff, now) && excess > 0);
	/* Without more important work, the last level keeps the server busy. */
	if (cutoff->admitted <= 0 &&
	    cutoff->offered_non_idempotent < cutoff->started / 2)
		cutoff->admitted = ADMITTED_MIN;
}

/*
 * Admits @p spare more work than was offered: highest level first. What a level
 * asks for is estimated from what its admitted share, or the probes, offered.
 */
static void lower_cutoff(struct overload_cutoff *cutoff, double spare,
			 bool idle, int64_t now)
{
	double share, demand, most;
	int level = cutoff->level;

	while (level < OVERLOAD_LEVELS && spare > 0) {
		share = cutoff->admitted;
		most = share * LOWER_FACTOR;
		if (most < ADMITTED_FIRST)
			most = ADMITTED_FIRST;
		demand = cutoff->offered_at[level] /
			 (share > PROBE_SHARE ? share : PROBE_SHARE);
		cutoff->admitted = share + spare / (demand + 1);
		/* On an idle server a wrong estimate does no harm. */
		if (idle || cutoff->admitted > most)
			cutoff->admitted = most;
		if (cutoff->admitted < 1)
			return;
		spare -= (1 - share) * demand;
		do
			level++;
		while (level < OVERLOAD_LEVELS && !in_use(cutoff, level, now));
		cutoff->level = (uint8_t)level;
		cutoff->admitted = 0;
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
	if (now - cutoff->over_since < RAISE_AFTER_US)
		return;
	cutoff->standing = true;
	/* Work beyond what is started, and what the queue has to lose. */
	excess = cutoff->offered - cutoff->started +
		 surplus * (double)DECAY_US / DRAIN_US;
	cutoff->over_since = now;
	if (excess <= 0)
		return;
	raise_cutoff(cutoff, excess, now);
	cutoff->over_since = now + RAISE_AGAIN_US - RAISE_AFTER_US;
}

static void update_under(struct overload_cutoff *cutoff, int64_t now)
{
	double use;

	cutoff->over_since = -1;
	cutoff->standing = false;
	if (cutoff->under_since < 0) {
		cutoff->under_since = now;
		return;
	}
	if (now - cutoff->under_since < LOWER_AFTER_US)
		return;
	use = cutoff->used / (cutoff->time + 1);
	if (use < USE_TARGET && cutoff->level < OVERLOAD_LEVELS)
		lower_cutoff(cutoff,
			     cutoff->offered * (USE_TARGET / (use + 0.01) - 1),
			     use < USE_IDLE, now);
	cutoff->under_since = now;
}

void overload_cutoff_update(struct overload_cutoff *cutoff,
			    const struct overload_load *load, int64_t now)
{
	double limit = load->limit;

	decay(cutoff, now);
	cutoff->use = load->in_flight / limit;
	if (load->queued > TARGET_FLOOR + TARGET_OVER * limit) {
		update_over(cutoff, load->queued - TARGET * limit, now);
	} else if (load->queued <= TARGET_UNDER * limit) {
		update_under(cutoff, now);
	} else {
		cutoff->over_since = -1;
		cutoff->under_since = -1;
	}
}

int64_t overload_cutoff_next_at(const struct overload_cutoff *cutoff)
{
	if (cutoff->over_since >= 0)
		return cutoff->over_since + RAISE_AFTER_US;
	if (cutoff->under_since >= 0 && cutoff->level < OVERLOAD_LEVELS)
		return cutoff->under_since + LOWER_AFTER_US;
	return INT64_MAX;
}

uint32_t overload_cutoff_queue_bound(const struct overload_cutoff *cutoff,
				     uint32_t limit)
{
	uint32_t standing = STANDING_FLOOR + (uint32_t)(STANDING * limit);
	uint32_t bound = OVERLOAD_QUEUE_FACTOR * limit;

	/* A standing queue serves nobody sooner, and all of it later. */
	return cutoff->standing && standing < bound ? standing : bound;
}

uint8_t overload_cutoff_first_shed(const struct overload_cutoff *cutoff)
{
	return cutoff->level + (cutoff->admitted > 0);
}

int32_t overload_cutoff_steps(const struct overload_cutoff *cutoff)
{
	if (cutoff->level == OVERLOAD_LEVELS)
		return OVERLOAD_CUTOFF_NONE;
	return cutoff->level * OVERLOAD_CUTOFF_STEPS +
	       (int32_t)(cutoff->admitted * OVERLOAD_CUTOFF_STEPS);
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
