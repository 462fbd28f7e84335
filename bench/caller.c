/*
 * Model of the callers: Poisson arrivals, up to ATTEMPTS_MAX attempts for each
 * request, and retries that ignore Retry-After.
 */
#include "cluster.h"

#define ATTEMPTS_MAX 4
#define RETRY_DELAY_MIN_US (20 * BASE_MS_US)
#define RETRY_DELAY_SPREAD_US (60 * BASE_MS_US)

struct attempt_timer {
	struct request *request;
	int attempt;
};

static int64_t window_of(int64_t at)
{
	int64_t i = at / MEASURE_WINDOW_US;

	return i < MEASURE_WINDOWS ? i : MEASURE_WINDOWS - 1;
}

void request_release(struct request *request)
{
	if (--request->refs == 0)
		free(request);
}

static void finish(struct request *request, bool ok)
{
	struct measure *m = &request->cluster->measure;

	request->done = true;
	if (!ok)
		return;
	m->succeeded[window_of(request->arrived_at)]++;
	m->completed[window_of(request->cluster->sim.now)]++;
	m->account_succeeded[request->account]++;
	m->non_idempotent_succeeded += !request->route->idempotent;
}

static void on_attempt_timeout(void *ctx)
{
	struct attempt_timer *timer = ctx;

	caller_result(timer->request, timer->attempt, RESULT_EXPIRED);
	request_release(timer->request);
	free(timer);
}

static void start_attempt(void *ctx)
{
	struct request *request = ctx;
	struct cluster *cluster = request->cluster;
	struct attempt_timer *timer = base_alloc(sizeof(*timer));

	request->attempts++;
	request->current_attempt = request->attempts;
	request->retried = false;
	request->deadline = cluster->sim.now + request->route->timeout_us;
	request->refs++;
	*timer = (struct attempt_timer){ request, request->current_attempt };
	sim_after(&cluster->sim, request->route->timeout_us, on_attempt_timeout,
		  timer);
	hop_start(request,
		  &cluster->servers[base_rand_below(&cluster->sim.rnd,
						    cluster->server_count)],
		  NULL, 0);
	request_release(request);
}

void caller_result(struct request *request, int attempt, enum result result)
{
	struct sim *sim = &request->cluster->sim;

	if (request->done || attempt != request->current_attempt)
		return;
	request->current_attempt = 0;
	if (result == RESULT_OK || request->attempts == ATTEMPTS_MAX) {
		finish(request, result == RESULT_OK);
		return;
	}
	/* Models an aggressive client: Retry-After is ignored. */
	request->refs++;
	sim_after(sim,
		  RETRY_DELAY_MIN_US +
			  base_rand_below(&sim->rnd, RETRY_DELAY_SPREAD_US),
		  start_attempt, request);
}

static uint32_t pick_account(struct cluster *cluster, double at)
{
	uint32_t i;

	for (i = 0; i + 1 < MODEL_ACCOUNTS; i++) {
		at -= model_account_share[i] * cluster->account_factor[i];
		if (at < 0)
			break;
	}
	return i;
}

static uint32_t pick_route(const struct cluster *cluster, double at)
{
	uint32_t i;

	for (i = 0; i + 1 < MODEL_ROUTES; i++) {
		at -= cluster->model->routes[i].share;
		if (at < 0)
			break;
	}
	return i;
}

static double total_factor(const struct cluster *cluster)
{
	double total = 0;
	int i;

	for (i = 0; i < MODEL_ACCOUNTS; i++)
		total += model_account_share[i] * cluster->account_factor[i];
	return total;
}

static void on_arrival(void *ctx)
{
	struct cluster *cluster = ctx;
	struct sim *sim = &cluster->sim;
	struct measure *m = &cluster->measure;
	double factor = total_factor(cluster);
	struct request *request = base_alloc(sizeof(*request));

	request->cluster = cluster;
	request->refs = 1;
	request->arrived_at = sim->now;
	request->account =
		pick_account(cluster, base_rand_unit(&sim->rnd) * factor);
	request->route_index = pick_route(cluster, base_rand_unit(&sim->rnd));
	request->route = &cluster->model->routes[request->route_index];
	m->arrived[window_of(sim->now)]++;
	m->account_arrived[request->account]++;
	m->non_idempotent_arrived += !request->route->idempotent;
	start_attempt(request);
	sim_after(
		sim,
		sim_exponential(sim, BASE_SECOND_US / (cluster->rate * factor)),
		on_arrival, cluster);
}

void caller_start(struct cluster *cluster)
{
	sim_after(&cluster->sim, 1, on_arrival, cluster);
}
