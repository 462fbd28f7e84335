/* Latencies by stage of a request, and all counters, as text. */
#ifndef METRICS_H
#define METRICS_H

#include "base.h"

enum metrics_stage {
	/** From the arrival of a request at the entry to its reply. */
	METRICS_ENTRY,
	/**
	 * From the submission of a request to the guard until it is sent to the
	 * backend server, or until its end if it is never sent.
	 */
	METRICS_QUEUE,
	/**
	 * From sending a request to the backend server to its answer, or to its
	 * end without one.
	 */
	METRICS_SERVER,
	METRICS_STAGES,
};

struct metrics;

struct metrics *metrics_create(struct base_counters *counters,
			       struct base_log *log);
void metrics_destroy(struct metrics *m);
/** @param us  latency in microseconds */
void metrics_record(struct metrics *m, enum metrics_stage stage, int64_t us);
/** Appends one "name value" line per metric, as metric scrapers read them. */
void metrics_render(const struct metrics *m, struct base_buf *out);

#endif
