/* The two deployments: services, routes, accounts, and what they can do. */
#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "base.h"

#define MODEL_SERVICES 4
#define MODEL_ROUTES 6
#define MODEL_ACCOUNTS 8
#define MODEL_DEPTH 4
#define MODEL_DOMAINS 3

struct model_service {
	const char *name;
	uint32_t servers;
	uint32_t slots;
	uint32_t connections;
	uint32_t cold_slots;
	int64_t cold_us;
	/* Time a request spends in a server of the service itself. */
	int64_t service_time_us;
};

struct model_route {
	const char *name;
	/* Services of the chain, caller first. */
	uint8_t chain[MODEL_DEPTH];
	uint8_t depth;
	uint8_t level;
	bool idempotent;
	int64_t timeout_us;
	/* Share of all requests. */
	double share;
};

struct model {
	const char *name;
	int64_t domain_delay_us;
	int64_t client_delay_us;
	struct model_service services[MODEL_SERVICES];
	struct model_route routes[MODEL_ROUTES];
	/* The deep service that slows down or turns cold. */
	uint8_t slow_service;
};

extern const struct model model_lakeshore;
extern const struct model model_zawadzki;
/** Share of the requests of each account; its weight is in per cent. */
extern const double model_account_share[MODEL_ACCOUNTS];

/**
 * Requests per second by route that the services can do at most when @p demand
 * is asked for: classes in the order of priority, non-idempotent ones first;
 * the routes of a class grow together until a service has no slots left.
 * @param slowdown  factor on the time in the deep service
 */
void model_capacity(const struct model *model, double slowdown,
		    const double demand[MODEL_ROUTES],
		    double served[MODEL_ROUTES]);
/** The rate of all requests, in the usual mix, at which a service is full. */
double model_saturation_rate(const struct model *model);

#endif
