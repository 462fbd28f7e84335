/* Control of the cutoff a guard publishes. */
#ifndef OVERLOAD_CUTOFF_H
#define OVERLOAD_CUTOFF_H

#include "overload.h"

/** The queue holds this multiple of the limit. */
#define OVERLOAD_QUEUE_FACTOR 2

struct overload_cutoff {
	/* Of this level the share is admitted; OVERLOAD_LEVELS: no cutoff. */
	uint8_t level;
	double admitted_share;
	/* When work at a level was last offered; -1 for never. */
	int64_t last_offered_at[OVERLOAD_LEVELS];
	/* Start of the time over or under the target; -1 when it is not. */
	int64_t over_since;
	int64_t under_since;
	/* The queue has been over the target too long for a burst. */
	bool standing_queue;
	/* Decaying counts of work offered, in all and by level, and started. */
	double offered;
	double offered_by_level[OVERLOAD_LEVELS];
	double offered_non_idempotent;
	double started;
	/* Share of the limit in use since the last update. */
	double utilization;
	/* Decaying integrals of the time and of the use of the limit. */
	double time_integral;
	double utilization_integral;
	int64_t updated_at;
};

/** State of the guard at an update. */
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
/** Call after each change of @p load and at overload_cutoff_next_update_at().
 */
void overload_cutoff_update(struct overload_cutoff *cutoff,
			    const struct overload_load *load, int64_t now);
/** @return INT64_MAX when no update is needed without an event */
int64_t overload_cutoff_next_update_at(const struct overload_cutoff *cutoff);
/** Length beyond which idempotent work is shed from a queue of the limit. */
uint32_t overload_cutoff_queue_bound(const struct overload_cutoff *cutoff,
				     uint32_t limit);
/** The first (numerically smallest) level that is shed altogether. */
uint8_t overload_cutoff_first_shed_level(const struct overload_cutoff *cutoff);
int32_t overload_cutoff_steps(const struct overload_cutoff *cutoff);

#endif
