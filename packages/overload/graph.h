/* State of the admission of call graphs. */
#ifndef OVERLOAD_GRAPH_H
#define OVERLOAD_GRAPH_H

#include "demand.h"
#include "overload.h"

/* Requests of one route at one level. */
struct overload_graph_class {
	/* Route and level. */
	uint32_t key;
	uint32_t route;
	uint8_t level;
	bool idempotent;
	double share;
	struct overload_demands demands;
	int64_t last_request_at;
	/* Moving average of the ends that were good. */
	double success;

	/*
	 * CUSUM statistic for "requests end badly", and the ends since it was
	 * last 0. Only requests begun at or after epoch_at count.
	 */
	double score;
	uint32_t good;
	uint32_t bad;
	int64_t epoch_at;
	int64_t last_bad_at;
	uint32_t last_bad_server;

	int64_t lowered_at;
	int64_t next_raise_at;
	double raise_step;
	/*
	 * Success and share when lowering began; the success is negative while
	 * nothing is lowered.
	 */
	double first_success;
	double first_share;
	/* Until then, the share is not lowered; the end of the last hold. */
	int64_t held_until;
	/* Length of the next hold. */
	int64_t hold_us;
	/* When the share was last below EXPENDED_SHARE. */
	int64_t expended_at;

	/* Duration of requests that ended well, and its mean deviation. */
	double duration_us;
	double deviation_us;
	int64_t last_good_at;

	double reported_share;
	int64_t reported_at;
	uint32_t ends[OVERLOAD_GRAPH_OUTCOMES];
	UT_hash_handle hh;
};

#endif
