/* Early refusal of requests at an entry, fair between client accounts. */
#include "demand.h"
#include "overload.h"

#include <assert.h>

/*
 * Weight of one observation in the moving average. The average is needed as the
 * servers of a service differ in their cutoffs.
 */
#define OBSERVATION_GAIN 0.3
/* An observation this long after the previous one replaces the average. */
#define OBSERVATION_WINDOW_US (100 * BASE_MS_US)
/* When the share to be refused is smaller than this, nothing is refused. */
#define DEAD_BAND 0.02
/*
 * Age of the last observation up to which it is fully in force, and the age at
 * which it has expired. In between, the admitted share rises linearly to 1.
 */
#define CUTOFF_TRUST_US (500 * BASE_MS_US)
#define CUTOFF_EXPIRY_US (1500 * BASE_MS_US)
#define PROBE_SHARE 0.01
#define RETRY_AFTER_US (200 * BASE_MS_US)
/* Minimum time between two computations of the shares. */
#define SHARES_INTERVAL_US (20 * BASE_MS_US)

struct route {
	uint8_t level;
	/*
	 * Share of the requests at the level that is admitted: the average of
	 * the shares by the observed cutoffs. An average of the cutoffs
	 * themselves would include levels that are not in use.
	 */
	double admitted_share;
	int32_t last_cutoff;
	int64_t observed_at;
	struct overload_demands demands;
};

struct overload_throttle {
	struct route *routes;
	uint32_t route_count;
	struct base_rand rnd;
};

static void free_routes(struct overload_throttle *throttle)
{
	uint32_t i;

	for (i = 0; i < throttle->route_count; i++)
		overload_demands_release(&throttle->routes[i].demands);
	free(throttle->routes);
}

static void init_routes(struct overload_throttle *throttle, uint32_t routes)
{
	uint32_t i;

	throttle->route_count = routes;
	throttle->routes = base_alloc_array(routes, sizeof(struct route));
	for (i = 0; i < routes; i++) {
		throttle->routes[i].admitted_share = 1;
		throttle->routes[i].last_cutoff = OVERLOAD_CUTOFF_NONE;
	}
}

struct overload_throttle *overload_throttle_create(uint32_t routes,
						   uint64_t seed)
{
	struct overload_throttle *throttle = base_alloc(sizeof(*throttle));

	init_routes(throttle, routes);
	base_rand_seed(&throttle->rnd, seed);
	return throttle;
}

void overload_throttle_destroy(struct overload_throttle *throttle)
{
	if (!throttle)
		return;
	free_routes(throttle);
	free(throttle);
}

void overload_throttle_set_routes(struct overload_throttle *throttle,
				  uint32_t routes)
{
	free_routes(throttle);
	init_routes(throttle, routes);
}

/* Returns the share of work at @p level that a cutoff admits. */
static double cutoff_admitted_share(int32_t cutoff, uint8_t level)
{
	int32_t steps = cutoff - level * OVERLOAD_CUTOFF_STEPS;

	if (steps <= 0)
		return 0;
	if (steps >= OVERLOAD_CUTOFF_STEPS)
		return 1;
	return (double)steps / OVERLOAD_CUTOFF_STEPS;
}

static double current_admitted_share(const struct route *route, int64_t now)
{
	int64_t age = now - route->observed_at;

	if (age >= CUTOFF_EXPIRY_US)
		return 1;
	if (age <= CUTOFF_TRUST_US)
		return route->admitted_share;
	return route->admitted_share +
	       (1 - route->admitted_share) * (double)(age - CUTOFF_TRUST_US) /
		       (CUTOFF_EXPIRY_US - CUTOFF_TRUST_US);
}

void overload_throttle_observe(struct overload_throttle *throttle,
			       uint32_t route, int32_t cutoff, int64_t now)
{
	struct route *r = &throttle->routes[route];
	double share = cutoff_admitted_share(cutoff, r->level);
	double gain = OBSERVATION_GAIN;

	assert(route < throttle->route_count);
	r->admitted_share = current_admitted_share(r, now);
	if (now - r->observed_at > OBSERVATION_WINDOW_US * OBSERVATION_GAIN)
		gain = (double)(now - r->observed_at) / OBSERVATION_WINDOW_US;
	r->admitted_share +=
		(gain < 1 ? gain : 1) * (share - r->admitted_share);
	r->last_cutoff = cutoff;
	r->observed_at = now;
}

int32_t overload_throttle_cutoff(const struct overload_throttle *throttle,
				 uint32_t route, int64_t now)
{
	const struct route *r = &throttle->routes[route];
	double admitted_share;

	assert(route < throttle->route_count);
	admitted_share = current_admitted_share(r, now);
	if (admitted_share > 1 - DEAD_BAND)
		return OVERLOAD_CUTOFF_NONE;
	return r->level * OVERLOAD_CUTOFF_STEPS +
	       (int32_t)(admitted_share * OVERLOAD_CUTOFF_STEPS);
}

/*
 * Decides on a request that is over its share: admits it as a probe or sets the
 * retry-after. Probes are admitted only while next to nothing else is, since
 * they favour the accounts with the most refusals.
 */
static bool admit_as_probe(struct overload_throttle *throttle,
			   double admitted_share, int64_t *retry_after_us)
{
	if (admitted_share < PROBE_SHARE &&
	    base_rand_unit(&throttle->rnd) < PROBE_SHARE)
		return true;
	if (retry_after_us)
		*retry_after_us =
			(int64_t)((0.5 + base_rand_unit(&throttle->rnd)) *
				  RETRY_AFTER_US);
	return false;
}

bool overload_throttle_admit(struct overload_throttle *throttle,
			     const struct overload_request *request,
			     int64_t now, int64_t *retry_after_us)
{
	struct route *route = &throttle->routes[request->route];
	struct overload_demand *demand;
	double admitted_share;

	assert(request->route < throttle->route_count);
	if (!request->idempotent)
		return true;
	if (route->level != request->level) {
		route->level = request->level;
		route->admitted_share =
			cutoff_admitted_share(route->last_cutoff, route->level);
	}
	admitted_share = current_admitted_share(route, now);
	if (now - route->demands.computed_at >= SHARES_INTERVAL_US)
		overload_demands_compute(&route->demands, admitted_share, now);
	demand = overload_demands_find_or_add(&route->demands, request->account,
					      request->weight);
	demand->count += 1;
	if (admitted_share > 1 - DEAD_BAND ||
	    base_rand_unit(&throttle->rnd) < demand->share)
		return true;
	return admit_as_probe(throttle, admitted_share, retry_after_us);
}
