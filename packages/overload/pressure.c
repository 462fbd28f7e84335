/* Early refusal at an entry. */
#include "overload.h"

#include <assert.h>
#include <uthash.h>

/* Weight of one observation; entries follow a rise faster than a fall. */
#define GAIN_STRICTER 0.3
#define GAIN_LOOSER 0.2
/* Closer to OVERLOAD_CUTOFF_NONE than this, nothing is refused. */
#define DEAD_BAND 20
/* Without news the cutoff is forgotten. */
#define EXPIRY_US (2 * BASE_SECOND_US)
#define PROBE_SHARE 0.01
#define RETRY_US (200 * BASE_MS_US)
/* Demand of an account is averaged over this time. */
#define DEMAND_US (500 * BASE_MS_US)
/* Shares are computed anew at most this often. */
#define SHARES_US (20 * BASE_MS_US)
/* Accounts with less demand than this (requests) are forgotten. */
#define DEMAND_MIN 0.01

/* What one account asks for on one route. */
struct demand {
	uint32_t account;
	uint32_t weight;
	/* Decaying count of the requests at the cutoff level. */
	double count;
	/* Probability with which a request is admitted. */
	double share;
	UT_hash_handle hh;
};

struct route {
	/* Average of the cutoffs observed, in steps. */
	double cutoff;
	int64_t observed_at;
	struct demand *demands;
	uint8_t demand_level;
	int64_t shared_at;
};

struct overload_pressure {
	struct route *routes;
	uint32_t count;
	struct base_rand rnd;
};

static void forget_demands(struct route *route)
{
	struct demand *demand, *next;

	HASH_ITER (hh, route->demands, demand, next) {
		HASH_DEL(route->demands, demand);
		free(demand);
	}
}

static void free_routes(struct overload_pressure *pressure)
{
	uint32_t i;

	for (i = 0; i < pressure->count; i++)
		forget_demands(&pressure->routes[i]);
	free(pressure->routes);
}

static void init_routes(struct overload_pressure *pressure, uint32_t routes)
{
	uint32_t i;

	pressure->count = routes;
	pressure->routes = base_alloc_array(routes, sizeof(struct route));
	for (i = 0; i < routes; i++)
		pressure->routes[i].cutoff = OVERLOAD_CUTOFF_NONE;
}

struct overload_pressure *overload_pressure_create(uint32_t routes,
						   uint64_t seed)
{
	struct overload_pressure *pressure = base_alloc(sizeof(*pressure));

	init_routes(pressure, routes);
	base_rand_seed(&pressure->rnd, seed);
	return pressure;
}

void overload_pressure_destroy(struct overload_pressure *pressure)
{
	if (!pressure)
		return;
	free_routes(pressure);
	free(pressure);
}

void overload_pressure_set_routes(struct overload_pressure *pressure,
				  uint32_t routes)
{
	free_routes(pressure);
	init_routes(pressure, routes);
}

static bool expired(const struct route *route, int64_t now)
{
	return now - route->observed_at > EXPIRY_US;
}

void overload_pressure_observe(struct overload_pressure *pressure,
			       uint32_t route, int32_t cutoff, int64_t now)
{
	struct route *r = &pressure->routes[route];
	double gain;

	assert(route < pressure->count);
	if (cutoff < 0)
		cutoff = 0;
	if (cutoff > OVERLOAD_CUTOFF_NONE)
		cutoff = OVERLOAD_CUTOFF_NONE;
	if (expired(r, now))
		r->cutoff = OVERLOAD_CUTOFF_NONE;
	/* Unused levels between a cutoff and none are not worth averaging. */
	if (cutoff == OVERLOAD_CUTOFF_NONE && r->cutoff < OVERLOAD_CUTOFF_NONE)
		cutoff = ((int32_t)r->cutoff / OVERLOAD_CUTOFF_STEPS + 1) *
			 OVERLOAD_CUTOFF_STEPS;
	else if (r->cutoff >= OVERLOAD_CUTOFF_NONE)
		r->cutoff = (overload_cutoff_level(cutoff) + 1.0) *
			    OVERLOAD_CUTOFF_STEPS;
	gain = cutoff < r->cutoff ? GAIN_STRICTER : GAIN_LOOSER;
	r->cutoff += gain * (cutoff - r->cutoff);
	r->observed_at = now;
}

int32_t overload_pressure_cutoff(const struct overload_pressure *pressure,
				 uint32_t route, int64_t now)
{
	const struct route *r = &pressure->routes[route];

	assert(route < pressure->count);
	if (expired(r, now))
		return OVERLOAD_CUTOFF_NONE;
	return (int32_t)r->cutoff;
}

static struct demand *demand_of(struct route *route,
				const struct overload_request *request)
{
	struct demand *demand;

	if (route->demand_level != request->level)
		forget_demands(route);
	route->demand_level = request->level;
	HASH_FIND(hh, route->demands, &request->account,
		  sizeof(request->account), demand);
	if (!demand) {
		demand = base_alloc(sizeof(*demand));
		demand->account = request->account;
		demand->share = 1;
		HASH_ADD(hh, route->demands, account, sizeof(demand->account),
			 demand);
	}
	demand->weight = request->weight ? request->weight : 1;
	return demand;
}

static double decay_demands(struct route *route, int64_t now)
{
	double factor = 1 - (double)(now - route->shared_at) / DEMAND_US;
	struct demand *demand, *next;
	double total = 0;

	if (factor < 0)
		factor = 0;
	HASH_ITER (hh, route->demands, demand, next) {
		demand->count *= factor;
		total += demand->count;
		if (demand->count < DEMAND_MIN) {
			HASH_DEL(route->demands, demand);
			free(demand);
		}
	}
	return total;
}

/*
 * Max-min shares: finds the level up to which each account is served by
 * weight, so that all together get @p admitted of the demand.
 */
static double fair_level(const struct route *route, double admitted)
{
	const struct demand *demand, *next;
	double level = 0;
	double weights, rest, previous;

	do {
		previous = level;
		weights = 0;
		rest = admitted;
		HASH_ITER (hh, route->demands, demand, next) {
			if (demand->count <= level * demand->weight)
				rest -= demand->count;
			else
				weights += demand->weight;
		}
		if (weights > 0)
			level = rest / weights;
	} while (weights > 0 && level > previous * 1.000001);
	return level;
}

static void compute_shares(struct route *route, double admitted, int64_t now)
{
	double total = decay_demands(route, now);
	double level = fair_level(route, total * admitted);
	struct demand *demand, *next;

	route->shared_at = now;
	HASH_ITER (hh, route->demands, demand, next) {
		demand->share = level * demand->weight / demand->count;
	}
}

static bool refuse(struct overload_pressure *pressure, int64_t *retry_after_us)
{
	if (base_rand_unit(&pressure->rnd) < PROBE_SHARE)
		return true;
	if (retry_after_us)
		*retry_after_us =
			(int64_t)((0.5 + base_rand_unit(&pressure->rnd)) *
				  RETRY_US);
	return false;
}

bool overload_pressure_admit(struct overload_pressure *pressure,
			     const struct overload_request *request,
			     int64_t now, int64_t *retry_after_us)
{
	struct route *route = &pressure->routes[request->route];
	int32_t cutoff =
		overload_pressure_cutoff(pressure, request->route, now);
	uint8_t level = overload_cutoff_level(cutoff);
	struct demand *demand;
	double admitted;

	if (!request->idempotent || request->level < level)
		return true;
	if (request->level > level)
		return refuse(pressure, retry_after_us);
	admitted = (double)(cutoff % OVERLOAD_CUTOFF_STEPS + DEAD_BAND) /
		   OVERLOAD_CUTOFF_STEPS;
	if (admitted >= 1)
		return true;
	if (now - route->shared_at >= SHARES_US)
		compute_shares(route, admitted, now);
	demand = demand_of(route, request);
	demand->count += 1;
	if (base_rand_unit(&pressure->rnd) < demand->share)
		return true;
	return refuse(pressure, retry_after_us);
}
