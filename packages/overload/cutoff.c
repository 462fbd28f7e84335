/* Cutoff controller with hysteresis. */
#include "cutoff.h"

/* Over the target: more work waits than this share of the limit. */
#define TARGET_OVER 0.5
#define TARGET_UNDER 0.125
#define RAISE_AFTER_US (20 * BASE_MS_US)
/* Answers have to carry a new cutoff to the entries before it shows. */
#define RAISE_AGAIN_US (100 * BASE_MS_US)
#define LOWER_AFTER_US (200 * BASE_MS_US)
/* One step changes the admitted share at most by this factor. */
#define STEP_FACTOR 0.5
/* A level with a smaller share is shed altogether. */
#define ADMITTED_MIN 0.02
/* The share with which a level comes back. */
#define ADMITTED_FIRST 0.1
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

void overload_cutoff_offered(struct overload_cutoff *cutoff, uint8_t level,
			     int64_t now)
{
	cutoff->seen_at[level] = now;
	cutoff->offered++;
}

void overload_cutoff_started(struct overload_cutoff *cutoff)
{
	cutoff->started++;
}

static bool in_use(const struct overload_cutoff *cutoff, int level, int64_t now)
{
	return cutoff->seen_at[level] >= 0 &&
	       now - cutoff->seen_at[level] < LEVEL_EXPIRY_US;
}

/* Sheds more: less of the cutoff level, then the next level above it. */
static void raise_cutoff(struct overload_cutoff *cutoff, double factor,
			 int64_t now)
{
	int level = cutoff->level;

	if (factor < STEP_FACTOR)
		factor = STEP_FACTOR;
	if (level < OVERLOAD_LEVELS &&
	    cutoff->admitted * factor >= ADMITTED_MIN) {
		cutoff->admitted *= factor;
		return;
	}
	while (level > 0 && !in_use(cutoff, level - 1, now))
		level--;
	if (level == 0) {
		if (cutoff->level < OVERLOAD_LEVELS)
			cutoff->admitted = 0;
		return;
	}
	cutoff->level = (uint8_t)(level - 1);
	cutoff->admitted = factor;
}

/* Sheds less, in the opposite order. */
static void lower_cutoff(struct overload_cutoff *cutoff, double factor,
			 int64_t now)
{
	int level = cutoff->level;

	if (level == OVERLOAD_LEVELS)
		return;
	if (factor > 1 / STEP_FACTOR)
		factor = 1 / STEP_FACTOR;
	if (cutoff->admitted < ADMITTED_FIRST) {
		cutoff->admitted = ADMITTED_FIRST;
		return;
	}
	cutoff->admitted *= factor;
	if (cutoff->admitted < 1)
		return;
	do
		level++;
	while (level < OVERLOAD_LEVELS && !in_use(cutoff, level, now));
	cutoff->level = (uint8_t)level;
	cutoff->admitted = ADMITTED_FIRST;
}

static void update_over(struct overload_cutoff *cutoff, int64_t now)
{
	double share;

	cutoff->under_since = -1;
	if (cutoff->over_since < 0) {
		cutoff->over_since = now;
		cutoff->offered = 0;
		cutoff->started = 0;
		return;
	}
	if (now - cutoff->over_since < RAISE_AFTER_US)
		return;
	share = cutoff->offered ? (double)cutoff->started / cutoff->offered : 1;
	raise_cutoff(cutoff, share < 0.95 ? share : 0.95, now);
	cutoff->over_since = now + RAISE_AGAIN_US - RAISE_AFTER_US;
	cutoff->offered = 0;
	cutoff->started = 0;
}

static void update_under(struct overload_cutoff *cutoff, int64_t now)
{
	double use;

	cutoff->over_since = -1;
	if (cutoff->under_since < 0) {
		cutoff->under_since = now;
		cutoff->used = 0;
		return;
	}
	if (now - cutoff->under_since < LOWER_AFTER_US)
		return;
	use = cutoff->used / (double)(now - cutoff->under_since);
	lower_cutoff(cutoff, use < 0.95 ? 1 / (use + 0.01) : 1.05, now);
	cutoff->under_since = now;
	cutoff->used = 0;
}

void overload_cutoff_update(struct overload_cutoff *cutoff,
			    const struct overload_load *load, int64_t now)
{
	double limit = load->limit;

	cutoff->used +=
		(double)(now - cutoff->updated_at) * load->in_flight / limit;
	cutoff->updated_at = now;
	if (load->queued > TARGET_OVER * limit) {
		update_over(cutoff, now);
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
