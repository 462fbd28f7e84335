/* Model of entries, routes and one scarce service, in virtual time. */
#ifndef GRAPH_SIM_H
#define GRAPH_SIM_H

#include "overload.h"

#define SIM_ENTRIES 84
#define SIM_TICK_US (10 * BASE_MS_US)
#define SIM_TICKS 2000
#define SIM_ROUTES 3

struct sim_route {
	double per_second;
	uint32_t calls;
	uint8_t level;
	bool idempotent;
	/* Share of the requests that fail by themselves, after their calls. */
	double own_failures;
};

struct sim_count {
	double arrived, begun, ok;
};

struct sim {
	struct sim_route routes[SIM_ROUTES];
	/* Calls that the service takes in a second. */
	double capacity;
	/* Within [from, to) seconds: factor of the demand, rejected share. */
	double from, to, burst, rejected;
	/* Second at which the first entry restarts; 0 for never. */
	double restart_at;
	bool off;
	/* By the time of arrival. */
	struct sim_count counts[SIM_ROUTES][SIM_TICKS];
	double calls[SIM_TICKS];
	struct overload_graph *graphs[SIM_ENTRIES];
};

/* Three routes of a deployment that uses 0.94 of the scarce service. */
struct sim sim_default(void);
void sim_run(struct sim *sim, double seconds);
void sim_release(struct sim *sim);
/* Sums up the requests of a route that arrived in [from, to) seconds. */
struct sim_count sim_sum(const struct sim *sim, int route, double from,
			 double to);
double sim_mean_share(const struct sim *sim, int route);

#endif
