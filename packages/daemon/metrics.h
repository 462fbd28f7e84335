/* Latencies of the stages of a request, and all counters, as text. */
#ifndef METRICS_H
#define METRICS_H

#include "base.h"

enum metrics_stage {
	/** From the arrival of a request at its entry to the reply. */
	METRICS_ENTRY,
	/** In the queue of the guard. */
	METRICS_QUEUE,
	/** At the backend server. */
	METRICS_SERVER,
	METRICS_STAGES,
};

struct metrics;

struct metrics *metrics_create(struct base_counters *counters,
			       struct base_log *log);
void metrics_destroy(struct metrics *m);
void metrics_record(struct metrics *m, enum metrics_stage stage, int64_t us);
/** One "name value" line each, as usual scrapers read them. */
void metrics_render(const struct metrics *m, struct base_buf *out);

#endif
