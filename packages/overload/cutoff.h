/*
 * Controls the cutoff that a guard publishes, by the length of its queue and
 * the utilization of its concurrency limit.
 */
#ifndef OVERLOAD_CUTOFF_H
#define OVERLOAD_CUTOFF_H

#include "overload.h"

/** Maximum length of a queue, as a multiple of the concurrency limit. */
#define OVERLOAD_QUEUE_FACTOR 2

struct overload_cutoff {
	/*
	 * The cutoff level, and the share of its work that is admitted. The
	 * level is OVERLOAD_LEVELS while nothing is shed.
	 */
	uint8_t level;
	double admitted_share;
	/* When idempotent work of a level was last offered; -1 for never. */
	int64_t last_offered_at[OVERLOAD_LEVELS];
	/* Since when the queue is over or under its target; -1 if it is not. */
	int64_t over_since;
	int64_t under_since;
	/* The queue has been over its target for longer than a burst lasts. */
	bool standing_queue;
	/*
	 * Decaying counts: all work offered, idempotent work offered by level,
	 * non-idempotent work offered, and work started.
	 */
	double offered;
	double offered_by_level[OVERLOAD_LEVELS];
	double offered_non_idempotent;
	double started;
	/* Share of the limit in use since the last update. */
	double utilization;
	/* Decaying integrals of the time and of the utilization over time. */
	double time_integral;
	double utilization_integral;
	int64_t updated_at;
};

/** State of the guard, as input of an update. */
struct overload_load {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t limit;
};

void overload_cutoff_init(struct overload_cutoff *cutoff, int64_t now);
void overload_cutoff_count_offered(struct overload_cutoff *cutoff,
				   const struct overload_work *work,
				   int64_t now);
void overload_cutoff_count_started(struct overload_cutoff *cutoff);
/**
 * Adjusts the cutoff. Call it after each change of @p load and at the time of
 * overload_cutoff_next_update_at().
 */
void overload_cutoff_update(struct overload_cutoff *cutoff,
			    const struct overload_load *load, int64_t now);
/**
 * Returns the time of the next update if the load does not change earlier;
 * INT64_MAX when none is needed.
 */
int64_t overload_cutoff_next_update_at(const struct overload_cutoff *cutoff);
/** Returns the queue length beyond which idempotent work is shed. */
uint32_t overload_cutoff_queue_bound(const struct overload_cutoff *cutoff,
				     uint32_t limit);
/** Returns the first (numerically smallest) level that is shed entirely. */
uint8_t overload_cutoff_first_shed_level(const struct overload_cutoff *cutoff);
/** Returns the cutoff in the form of OVERLOAD_CUTOFF_STEPS. */
int32_t overload_cutoff_steps(const struct overload_cutoff *cutoff);

#endif
