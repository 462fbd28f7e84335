/* How long requests of a route take at a server, as this entry sees it. */
#include "internal.h"

/* Part of the difference that the average takes over from one request. */
#define GAIN 0.1
/*
 * The time of requests spreads to about twice its average. Where the average is
 * beyond this part of the time allowed, the slower ones are late.
 */
#define TIME_PART 0.55
/* A slow server is avoided for one that takes at most 1 / QUICKER of its time.
 */
#define QUICKER 1.5
/* A server that is avoided is tried again after this long. */
#define RECHECK_US (5 * BASE_SECOND_US)

struct routing_speed {
	uint64_t route;
	double average_us;
	int64_t updated_at;
	UT_hash_handle hh;
};

static struct routing_speed *find(const struct routing_state *s, uint64_t route)
{
	struct routing_speed *speed;

	HASH_FIND(hh, s->speeds, &route, sizeof(route), speed);
	return speed;
}

void routing_speed_add(struct routing_state *s, uint64_t route, int64_t us,
		       int64_t now)
{
	struct routing_speed *speed = find(s, route);

	if (!speed) {
		speed = base_alloc(sizeof(*speed));
		speed->route = route;
		speed->average_us = (double)us;
		HASH_ADD(hh, s->speeds, route, sizeof(speed->route), speed);
	}
	speed->average_us += GAIN * ((double)us - speed->average_us);
	speed->updated_at = now;
}

void routing_speed_forget(struct routing_state *s)
{
	struct routing_speed *speed, *next;

	HASH_ITER (hh, s->speeds, speed, next) {
		HASH_DEL(s->speeds, speed);
		free(speed);
	}
}

double routing_speed_average(const struct routing_state *s, uint64_t route)
{
	const struct routing_speed *speed = find(s, route);

	return speed ? speed->average_us : 0;
}

bool routing_speed_is_slow(const struct routing_state *s,
			   const struct routing_query *query, double quickest,
			   int64_t now)
{
	const struct routing_speed *speed = find(s, query->route);

	return speed && now - speed->updated_at < RECHECK_US &&
	       speed->average_us >
		       TIME_PART * (double)query->latency_target_us &&
	       speed->average_us > QUICKER * quickest;
}

void routing_speed_tried(struct routing_state *s, uint64_t route, int64_t now)
{
	struct routing_speed *speed = find(s, route);

	/* Until this request ends, the former average stands. */
	if (speed && now - speed->updated_at >= RECHECK_US)
		speed->updated_at = now;
}

int64_t routing_fastest_latency_us(const struct routing_table *table,
				   uint32_t service, uint64_t route)
{
	const struct routing_service *svc =
		routing_service_find(table, service);
	double quickest = 0;
	size_t i;

	for (i = 0; svc && i < svc->count; i++) {
		double average = routing_speed_average(svc->servers[i], route);

		if (average > 0 && (quickest <= 0 || average < quickest))
			quickest = average;
	}
	return (int64_t)quickest;
}
