/* Model of entries, routes and one scarce service, in virtual time. */
#include "graph_sim.h"

#include <stdlib.h>

#define TICKS_PER_S (BASE_SECOND_US / SIM_TICK_US)
/* Ticks of work before the calls, and of one call. */
#define WORK_TICKS 16
#define CALL_TICKS 4

struct run {
	int entry, route, arrival;
	uint32_t left;
	struct run *next;
};

struct sim sim_default(void)
{
	return (struct sim){
		.routes = { { 942, 8, 3, true, 0 },
			    { 483, 4, 3, false, 0 },
			    { 453, 1, 3, true, 0 } },
		.capacity = 10400,
		.burst = 1,
	};
}

static struct overload_request request_of(const struct sim *sim, int route)
{
	return (struct overload_request){
		.route = (uint32_t)route,
		.level = sim->routes[route].level,
		.idempotent = sim->routes[route].idempotent,
		.weight = 1,
	};
}

static void end_run(struct sim *sim, struct run *r, bool ok, int tick)
{
	struct overload_request request = request_of(sim, r->route);
	bool refused = sim->routes[r->route].calls == 1;
	struct overload_graph_end end = {
		/* A request for the scarce service itself has not run. */
		.outcome = ok	     ? OVERLOAD_GRAPH_OK
			   : refused ? OVERLOAD_GRAPH_REFUSED
				     : OVERLOAD_GRAPH_FAILED,
		.begun_at = r->arrival * SIM_TICK_US,
		.server = (uint32_t)(rand() % 38),
	};

	sim->counts[r->route][r->arrival].ok += ok;
	overload_graph_record(sim->graphs[r->entry], &request, &end,
			      tick * SIM_TICK_US);
	free(r);
}

static void arrive(struct sim *sim, struct run **wheel, int route, int tick)
{
	struct overload_request request = request_of(sim, route);
	struct sim_count *count = &sim->counts[route][tick];
	int entry = rand() % SIM_ENTRIES;
	struct run *r;

	count->arrived++;
	if (!sim->off &&
	    overload_graph_admit(sim->graphs[entry], &request,
				 5 * BASE_SECOND_US, tick * SIM_TICK_US, NULL))
		return;
	count->begun++;
	r = base_alloc(sizeof(*r));
	*r = (struct run){ entry, route, tick, sim->routes[route].calls,
			   wheel[tick + WORK_TICKS] };
	wheel[tick + WORK_TICKS] = r;
}

/* Runs the calls that are due, in random order of their routes. */
static void run_calls(struct sim *sim, struct run **wheel, int tick,
		      double rejected, double *tokens)
{
	struct run *r = wheel[tick], *next;
	double due = 0;
	double accepted;

	for (; r; r = r->next)
		due += r->left > 0;
	accepted = due > *tokens ? *tokens / due : 1;
	sim->calls[tick] = due;
	*tokens -= accepted * due;
	for (r = wheel[tick]; r; r = next) {
		next = r->next;
		if (!r->left) {
			end_run(sim, r,
				drand48() >= sim->routes[r->route].own_failures,
				tick);
		} else if (drand48() >= accepted * (1 - rejected)) {
			end_run(sim, r, false, tick);
		} else {
			r->left--;
			r->next = wheel[tick + CALL_TICKS];
			wheel[tick + CALL_TICKS] = r;
		}
	}
	wheel[tick] = NULL;
}

void sim_run(struct sim *sim, double seconds)
{
	static struct run *wheel[SIM_TICKS + 100];
	double due[SIM_ROUTES] = { 0 };
	int ticks = (int)(seconds * TICKS_PER_S);
	double tokens = 0;
	struct run *r;
	int tick, i;

	srand(7);
	srand48(7);
	for (i = 0; i < SIM_ENTRIES; i++)
		sim->graphs[i] =
			overload_graph_create(SIM_ROUTES, 1 + (uint64_t)i);
	for (tick = 0; tick < ticks; tick++) {
		double at = (double)tick / TICKS_PER_S;
		bool during = at >= sim->from && at < sim->to;

		if (sim->restart_at > 0 &&
		    tick == (int)(sim->restart_at * TICKS_PER_S))
			overload_graph_set_routes(sim->graphs[0], SIM_ROUTES);
		for (i = 0; i < SIM_ROUTES; i++) {
			due[i] += sim->routes[i].per_second / TICKS_PER_S *
				  (during ? sim->burst : 1);
			for (; due[i] >= 1; due[i]--)
				arrive(sim, wheel, i, tick);
		}
		/* A queue of 50 ms. */
		tokens += sim->capacity / TICKS_PER_S;
		if (tokens > sim->capacity / 20)
			tokens = sim->capacity / 20;
		run_calls(sim, wheel, tick, during ? sim->rejected : 0,
			  &tokens);
	}
	for (; tick < SIM_TICKS + 100; tick++)
		while ((r = wheel[tick])) {
			wheel[tick] = r->next;
			free(r);
		}
}

void sim_release(struct sim *sim)
{
	int i;

	for (i = 0; i < SIM_ENTRIES; i++)
		overload_graph_destroy(sim->graphs[i]);
}

struct sim_count sim_sum(const struct sim *sim, int route, double from,
			 double to)
{
	struct sim_count sum = { 0 };
	int tick;

	for (tick = (int)(from * TICKS_PER_S); tick < (int)(to * TICKS_PER_S);
	     tick++) {
		sum.arrived += sim->counts[route][tick].arrived;
		sum.begun += sim->counts[route][tick].begun;
		sum.ok += sim->counts[route][tick].ok;
	}
	return sum;
}

double sim_mean_share(const struct sim *sim, int route)
{
	double sum = 0;
	int i;

	for (i = 0; i < SIM_ENTRIES; i++)
		sum += overload_graph_share(sim->graphs[i], (uint32_t)route,
					    sim->routes[route].level);
	return sum / SIM_ENTRIES;
}
