/* Tests of the admission of call graphs. */
#include "graph_sim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <math.h>

static struct sim sim;
static struct sim baseline;

/* Runs the same load with and without admission control. */
static void run_both(double seconds)
{
	baseline = sim;
	baseline.off = true;
	sim_run(&baseline, seconds);
	sim_release(&baseline);
	sim_run(&sim, seconds);
}

static double ok_share(const struct sim *s, int route, double from, double to)
{
	struct sim_count n = sim_sum(s, route, from, to);

	return n.ok / n.arrived;
}

/* Requests of the first routes that were begun and ended badly. */
static double wasted(const struct sim *s, int routes, double from, double to)
{
	double sum = 0;

	while (routes-- > 0)
		sum += sim_sum(s, routes, from, to).begun -
		       sim_sum(s, routes, from, to).ok;
	return sum;
}

/*
 * Fails if a burst makes most requests with many calls fail after most of their
 * work, costs the route with one call its share, if the entries step together,
 * or if capacity stays unused after the burst.
 */
Test(graph, burst_is_met_by_fewer_requests_that_end_well)
{
	double sum = 0, squares = 0, mean;
	int bin, tick;

	sim = sim_default();
	sim.from = 4;
	sim.to = 10;
	sim.burst = 2.5;
	run_both(14);
	cr_assert(le(dbl, wasted(&sim, SIM_ROUTES, 4, 10),
		     wasted(&baseline, SIM_ROUTES, 4, 10) / 3));
	cr_assert(ge(dbl, ok_share(&sim, 2, 4, 10), 0.9));
	cr_assert(ge(dbl, ok_share(&sim, 1, 4, 10),
		     1.5 * ok_share(&baseline, 1, 4, 10)));
	cr_assert(ge(dbl, ok_share(&sim, 0, 4, 10),
		     1.5 * ok_share(&baseline, 0, 4, 10)));
	cr_assert(ge(dbl, ok_share(&sim, 0, 12, 13), 0.9));
	/* Calls in bins of 250 ms: the deviation is small to the mean. */
	for (bin = 0; bin < 16; bin++) {
		double calls = 0;

		for (tick = 0; tick < 25; tick++)
			calls += sim.calls[600 + bin * 25 + tick];
		sum += calls;
		squares += calls * calls;
	}
	mean = sum / 16;
	cr_assert(le(dbl, sqrt(squares / 16 - mean * mean), 0.1 * mean));
	sim_release(&sim);
}

/*
 * Fails if graphs of many calls keep running for nothing while a callee rejects
 * 55 in 100 calls, if the route with one call is refused with them, or if
 * requests are still refused 2 s after the callee has recovered.
 */
Test(graph, rejecting_callee_stops_deep_graphs_only)
{
	sim = sim_default();
	sim.from = 4;
	sim.to = 12;
	sim.rejected = 0.55;
	run_both(16);
	cr_assert(le(dbl, wasted(&sim, 2, 4, 12),
		     wasted(&baseline, 2, 4, 12) / 3));
	cr_assert(ge(dbl, ok_share(&sim, 2, 4, 12),
		     0.97 * ok_share(&baseline, 2, 4, 12)));
	cr_assert(ge(dbl, ok_share(&sim, 0, 14, 15), 0.9));
	cr_assert(ge(dbl, ok_share(&sim, 1, 14, 15), 0.9));
	sim_release(&sim);
}

/* Fails if failures that do not depend on load drive a route towards zero. */
Test(graph, constant_failures_leave_most_of_a_route)
{
	sim = sim_default();
	sim.routes[0].own_failures = 0.3;
	sim.routes[2].own_failures = 0.5;
	sim_run(&sim, 14);
	cr_assert(ge(dbl, ok_share(&sim, 0, 4, 13), 0.75 * 0.7));
	cr_assert(ge(dbl, ok_share(&sim, 2, 4, 13), 0.6 * 0.5));
	cr_assert(ge(dbl, ok_share(&sim, 1, 4, 13), 0.99));
	sim_release(&sim);
}

/* Fails if the errors that servers give by themselves refuse requests. */
Test(graph, rare_errors_refuse_nothing)
{
	struct sim_count n;
	int i;

	sim = sim_default();
	for (i = 0; i < SIM_ROUTES; i++)
		sim.routes[i].own_failures = 0.01;
	sim.capacity *= 2;
	sim_run(&sim, 19);
	for (i = 0; i < SIM_ROUTES; i++) {
		n = sim_sum(&sim, i, 0, 18);
		cr_assert(ge(dbl, n.begun, 0.999 * n.arrived));
	}
	sim_release(&sim);
}

/*
 * Fails if equal graphs are refused without regard to rank, or non-idempotent
 * ones before idempotent ones of their rank.
 */
Test(graph, higher_rank_and_non_idempotent_keep_their_share_longer)
{
	int i;

	sim = sim_default();
	for (i = 0; i < SIM_ROUTES; i++)
		sim.routes[i] =
			(struct sim_route){ 400, 8, (uint8_t)(2 + i / 2), i > 0,
					    0 };
	sim.from = 4;
	sim.to = 10;
	sim.burst = 2.5;
	sim_run(&sim, 12);
	cr_assert(gt(dbl, ok_share(&sim, 0, 5, 10),
		     1.2 * ok_share(&sim, 1, 5, 10)));
	cr_assert(gt(dbl, ok_share(&sim, 1, 5, 10),
		     1.2 * ok_share(&sim, 2, 5, 10)));
	sim_release(&sim);
}

/* Fails if a restarted entry refuses at once, or does not learn in seconds. */
Test(graph, restarted_entry_admits_and_learns)
{
	struct overload_request deep = { .level = 3,
					 .idempotent = true,
					 .weight = 1 };

	sim = sim_default();
	sim.from = 4;
	sim.to = 10;
	sim.rejected = 0.99;
	sim.restart_at = 7;
	sim_run(&sim, 9);
	cr_assert(le(dbl, overload_graph_share(sim.graphs[0], 0, 3), 0.5));
	overload_graph_set_routes(sim.graphs[0], SIM_ROUTES);
	cr_assert(eq(int,
		     overload_graph_admit(sim.graphs[0], &deep, BASE_SECOND_US,
					  9 * BASE_SECOND_US, NULL),
		     OVERLOAD_GRAPH_ADMIT));
	sim_release(&sim);
}

static void record(struct overload_graph *g, enum overload_graph_outcome how,
		   int64_t begun_at, uint32_t server, int64_t now)
{
	struct overload_request request = { .idempotent = true, .weight = 1 };
	struct overload_graph_end end = { how, begun_at, server };

	overload_graph_record(g, &request, &end, now);
}

/*
 * Fails if news of requests begun before a step cause further steps, one bad
 * server or refusals of requests that have not run shed their route, or old
 * news outlast a pause of the requests.
 */
Test(graph, ignores_stale_news_and_a_single_bad_server)
{
	struct overload_graph *g = overload_graph_create(1, 1);
	struct overload_request request = { .idempotent = true, .weight = 1 };
	int64_t now = BASE_SECOND_US;
	double share;
	uint32_t i;

	for (i = 0; i < 100; i++)
		record(g, i % 5 ? OVERLOAD_GRAPH_OK : OVERLOAD_GRAPH_FAILED,
		       now, i % 5, now);
	cr_assert(eq(dbl, overload_graph_share(g, 0, 0), 1));
	for (i = 0; i < 50; i++)
		record(g, OVERLOAD_GRAPH_REFUSED, now, 10 + i, now);
	cr_assert(eq(dbl, overload_graph_share(g, 0, 0), 1));
	for (i = 0; i < 8; i++)
		record(g, OVERLOAD_GRAPH_FAILED, now, 10 + i, now);
	share = overload_graph_share(g, 0, 0);
	cr_assert(lt(dbl, share, 1));
	for (i = 0; i < 50; i++)
		record(g, OVERLOAD_GRAPH_DEADLINE, now - 1, i, now);
	cr_assert(eq(dbl, overload_graph_share(g, 0, 0), share));
	overload_graph_admit(g, &request, now, now + 3 * BASE_SECOND_US, NULL);
	cr_assert(eq(dbl, overload_graph_share(g, 0, 0), 1));
	overload_graph_destroy(g);
}

/* Fails if a request is begun that cannot end in its remaining time. */
Test(graph, refuses_requests_without_enough_time)
{
	struct overload_graph *g = overload_graph_create(1, 1);
	struct overload_request request = { .idempotent = true, .weight = 1 };
	int64_t retry_after_us = 0;
	int64_t now = BASE_SECOND_US;
	int i, late = 0;

	for (i = 0; i < 50; i++)
		record(g, OVERLOAD_GRAPH_OK, now - 400 * BASE_MS_US, 0, now);
	for (i = 0; i < 100; i++)
		late += overload_graph_admit(g, &request, 100 * BASE_MS_US, now,
					     &retry_after_us) ==
			OVERLOAD_GRAPH_REFUSE_LATE;
	cr_assert(ge(int, late, 85));
	cr_assert(gt(i64, retry_after_us, 0));
	cr_assert(eq(
		int,
		overload_graph_admit(g, &request, 500 * BASE_MS_US, now, NULL),
		OVERLOAD_GRAPH_ADMIT));
	overload_graph_destroy(g);
}
