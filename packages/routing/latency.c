/* Average latency of each route at each server, as measured by this entry. */
#include "internal.h"

/* Weight of one request in the exponentially weighted moving average. */
#define EWMA_WEIGHT 0.1
/*
 * Latencies spread up to about twice their average. When the average exceeds
 * this fraction of the latency target, the slower requests exceed the target.
 */
#define SLOW_TARGET_FRACTION 0.55
/*
 * A slow server is avoided only if its average is more than this many times
 * that of the fastest server.
 */
#define SLOW_RATIO_MIN 1.5
/* An avoided server gets a request again after this time. */
#define SLOW_RECHECK_US (5 * BASE_SECOND_US)

struct routing_latency {
	uint64_t route;
	double average_us;
	int64_t updated_at;
	UT_hash_handle hh;
};

static struct routing_latency *find(const struct routing_state *s,
				    uint64_t route)
{
	struct routing_latency *latency;

	HASH_FIND(hh, s->latencies, &route, sizeof(route), latency);
	return latency;
}

void routing_latency_add(struct routing_state *s, uint64_t route, int64_t us,
			 int64_t now)
{
	struct routing_latency *latency = find(s, route);

	if (!latency) {
		latency = base_alloc(sizeof(*latency));
		latency->route = route;
		latency->average_us = (double)us;
		HASH_ADD(hh, s->latencies, route, sizeof(latency->route),
			 latency);
	}
	latency->average_us += EWMA_WEIGHT * ((double)us - latency->average_us);
	latency->updated_at = now;
}

void routing_latency_destroy(struct routing_state *s)
{
	struct routing_latency *latency, *next;

	HASH_ITER (hh, s->latencies, latency, next) {
		HASH_DEL(s->latencies, latency);
		free(latency);
	}
}

double routing_latency_average_us(const struct routing_state *s, uint64_t route)
{
	const struct routing_latency *latency = find(s, route);

	return latency ? latency->average_us : 0;
}

bool routing_latency_is_slow(const struct routing_state *s,
			     const struct routing_query *query,
			     double fastest_us, int64_t now)
{
	const struct routing_latency *latency = find(s, query->route);

	return latency && now - latency->updated_at < SLOW_RECHECK_US &&
	       latency->average_us > SLOW_TARGET_FRACTION *
					     (double)query->latency_target_us &&
	       latency->average_us > SLOW_RATIO_MIN * fastest_us;
}

void routing_latency_picked(struct routing_state *s, uint64_t route,
			    int64_t now)
{
	struct routing_latency *latency = find(s, route);

	/* Keep the old average until this request ends. */
	if (latency && now - latency->updated_at >= SLOW_RECHECK_US)
		latency->updated_at = now;
}

int64_t routing_fastest_latency_us(const struct routing_table *table,
				   uint32_t service, uint64_t route)
{
	const struct routing_service *svc =
		routing_service_find(table, service);
	double fastest_us = 0;
	size_t i;

	for (i = 0; svc && i < svc->count; i++) {
		double average =
			routing_latency_average_us(svc->servers[i], route);

		if (average > 0 && (fastest_us <= 0 || average < fastest_us))
			fastest_us = average;
	}
	return (int64_t)fastest_us;
}
