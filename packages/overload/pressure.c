/* Early refusal at an entry. */
#include "overload.h"

#include <assert.h>
#include <uthash.h>

/* Weight of one observation; servers of a service differ in their cutoffs. */
#define GAIN 0.3
/* An observation after this long without one replaces what is known. */
#define NEWS_US (100 * BASE_MS_US)
/* With less than this share refused, nothing is refused. */
#define DEAD_BAND 0.02
/* Without news the cutoff is trusted this long, then lifted gradually. */
#define TRUST_US (500 * BASE_MS_US)
#define EXPIRY_US (1500 * BASE_MS_US)
#define PROBE_SHARE 0.01
#define RETRY_US (200 * BASE_MS_US)
/* Demand of an account is averaged over this time. */
#define DEMAND_US (500 * BASE_MS_US)
/* Shares are computed anew at most this often. */
#define SHARES_US (20 * BASE_MS_US)

/* What one account asks for on one route. */
struct demand {
	uint32_t account;
	uint32_t weight;
	/* Decaying count of the requests. */
	double count;
	/* Probability with which a request is admitted. */
	double share;
	UT_hash_handle hh;
};

struct route {
	uint8_t level;
	/*
	 * Share admitted at the level: the average of what the cutoffs observed
	 * mean for it. An average of cutoffs would mix in unused levels.
	 */
	double admitted;
	int32_t last_cutoff;
	int64_t observed_at;
	struct demand *demands;
	int64_t shared_at;
};

struct overload_throttle {
	struct route *routes;
	uint32_t count;
	struct base_rand rnd;
};

static void forget_demands(struct route *route)
{
	struct demand *demand = route->demands;
	struct demand *next;

	HASH_CLEAR(hh, route->demands);
	for (; demand; demand = next) {
		next = demand->hh.next;
		free(demand);
	}
}

static void free_routes(struct overload_throttle *throttle)
{
	uint32_t i;

	for (i = 0; i < throttle->count; i++)
		forget_demands(&throttle->routes[i]);
	free(throttle->routes);
}

static void init_routes(struct overload_throttle *throttle, uint32_t routes)
{
	uint32_t i;

	throttle->count = routes;
	throttle->routes = base_alloc_array(routes, sizeof(struct route));
	for (i = 0; i < routes; i++) {
		throttle->routes[i].admitted = 1;
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

/* The share of work at @p level that a cutoff admits. */
static double share_of(int32_t cutoff, uint8_t level)
{
	int32_t steps = cutoff - level * OVERLOAD_CUTOFF_STEPS;

	if (steps <= 0)
		return 0;
	if (steps >= OVERLOAD_CUTOFF_STEPS)
		return 1;
	return (double)steps / OVERLOAD_CUTOFF_STEPS;
}

static double admitted_now(const struct route *route, int64_t now)
{
	int64_t silent = now - route->observed_at;

	if (silent >= EXPIRY_US)
		return 1;
	if (silent <= TRUST_US)
		return route->admitted;
	return route->admitted + (1 - route->admitted) *
					 (double)(silent - TRUST_US) /
					 (EXPIRY_US - TRUST_US);
}

void overload_throttle_observe(struct overload_throttle *throttle,
			       uint32_t route, int32_t cutoff, int64_t now)
{
	struct route *r = &throttle->routes[route];
	double share = share_of(cutoff, r->level);
	double gain = GAIN;

	assert(route < throttle->count);
	r->admitted = admitted_now(r, now);
	if (now - r->observed_at > NEWS_US * GAIN)
		gain = (double)(now - r->observed_at) / NEWS_US;
	r->admitted += (gain < 1 ? gain : 1) * (share - r->admitted);
	r->last_cutoff = cutoff;
	r->observed_at = now;
}

int32_t overload_throttle_cutoff(const struct overload_throttle *throttle,
				 uint32_t route, int64_t now)
{
	const struct route *r = &throttle->routes[route];
	double admitted;

	assert(route < throttle->count);
	admitted = admitted_now(r, now);
	if (admitted > 1 - DEAD_BAND)
		return OVERLOAD_CUTOFF_NONE;
	return r->level * OVERLOAD_CUTOFF_STEPS +
	       (int32_t)(admitted * OVERLOAD_CUTOFF_STEPS);
}

static struct demand *demand_of(struct route *route,
				const struct overload_request *request)
{
	struct demand *demand;

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

	if (factor <= 0) {
		forget_demands(route);
		return 0;
	}
	HASH_ITER (hh, route->demands, demand, next) {
		demand->count *= factor;
		total += demand->count;
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
		demand->share = level * demand->weight / (demand->count + 1e-9);
	}
}

/*
 * Probes are needed only while nothing else is admitted. Otherwise they would
 * favour the accounts with the most refusals.
 */
static bool refuse(struct overload_throttle *throttle, double admitted,
		   int64_t *retry_after_us)
{
	if (admitted < PROBE_SHARE &&
	    base_rand_unit(&throttle->rnd) < PROBE_SHARE)
		return true;
	if (retry_after_us)
		*retry_after_us =
			(int64_t)((0.5 + base_rand_unit(&throttle->rnd)) *
				  RETRY_US);
	return false;
}

bool overload_throttle_admit(struct overload_throttle *throttle,
			     const struct overload_request *request,
			     int64_t now, int64_t *retry_after_us)
{
	struct route *route = &throttle->routes[request->route];
	struct demand *demand;
	double admitted;

	assert(request->route < throttle->count);
	if (!request->idempotent)
		return true;
	if (route->level != request->level) {
		route->level = request->level;
		route->admitted = share_of(route->last_cutoff, route->level);
	}
	admitted = admitted_now(route, now);
	if (now - route->shared_at >= SHARES_US)
		compute_shares(route, admitted, now);
	demand = demand_of(route, request);
	demand->count += 1;
	if (admitted > 1 - DEAD_BAND ||
	    base_rand_unit(&throttle->rnd) < demand->share)
		return true;
	return refuse(throttle, admitted, retry_after_us);
}
