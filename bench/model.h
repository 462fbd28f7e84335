/* The two modelled deployments: services, routes, accounts and capacity. */
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
	/* Mean time to execute a request, without its onward calls. */
	int64_t service_time_us;
};

struct model_route {
	const char *name;
	/* Services of the call chain in the order of the calls. */
	uint8_t chain[MODEL_DEPTH];
	uint8_t depth;
	uint8_t level;
	bool idempotent;
	int64_t timeout_us;
	/* Fraction of all requests. */
	double share;
};

struct model {
	const char *name;
	int64_t domain_delay_us;
	int64_t client_delay_us;
	struct model_service services[MODEL_SERVICES];
	struct model_route routes[MODEL_ROUTES];
	/* The service that slows down or becomes cold in the scenarios. */
	uint8_t slow_service;
};

extern const struct model model_lakeshore;
extern const struct model model_zawadzki;
/** Fraction of the requests by account; its weight is this in per cent. */
extern const double model_account_share[MODEL_ACCOUNTS];

/**
 * Computes the highest throughput by route for a demand. Classes are filled in
 * order of priority, all non-idempotent ones first. The routes of a class grow
 * by the same fraction of their demand until a service has no slots left.
 * @param slowdown  factor on the service time of the slow service
 * @param demand    requests per second by route
 * @param served    receives requests per second by route
 */
void model_capacity(const struct model *model, double slowdown,
		    const double demand[MODEL_ROUTES],
		    double served[MODEL_ROUTES]);
/** Total requests per second, in the usual mix, that fill a service. */
double model_saturation_rate(const struct model *model);

#endif
