/* Callers that retry hard: Poisson arrivals, up to four attempts each. */
#include "world.h"

#define ATTEMPTS 4
#define RETRY_MIN_US (20 * BASE_MS_US)
#define RETRY_SPREAD_US (60 * BASE_MS_US)

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
	struct measure *m = &request->world->measure;

	request->done = true;
	if (!ok)
		return;
	m->succeeded[window_of(request->arrived_at)]++;
	m->completed[window_of(request->world->sim.now)]++;
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
	struct world *world = request->world;
	struct attempt_timer *timer = base_alloc(sizeof(*timer));

	request->attempts++;
	request->current = request->attempts;
	request->retried = false;
	request->deadline = world->sim.now + request->route->timeout_us;
	request->refs++;
	*timer = (struct attempt_timer){ request, request->current };
	sim_after(&world->sim, request->route->timeout_us, on_attempt_timeout,
		  timer);
	hop_start(request,
		  &world->servers[base_rand_below(&world->sim.rnd,
						  world->server_count)],
		  NULL, 0);
	request_release(request);
}

void caller_result(struct request *request, int attempt, enum result result)
{
	struct sim *sim = &request->world->sim;

	if (request->done || attempt != request->current)
		return;
	request->current = 0;
	if (result == RESULT_OK || request->attempts == ATTEMPTS) {
		finish(request, result == RESULT_OK);
		return;
	}
	/* Hard: Retry-After is not honoured. */
	request->refs++;
	sim_after(sim,
		  RETRY_MIN_US + base_rand_below(&sim->rnd, RETRY_SPREAD_US),
		  start_attempt, request);
}

static uint32_t pick_account(struct world *world, double at)
{
	uint32_t i;

	for (i = 0; i + 1 < MODEL_ACCOUNTS; i++) {
		at -= model_account_share[i] * world->account_factor[i];
		if (at < 0)
			break;
	}
	return i;
}

static uint32_t pick_route(const struct world *world, double at)
{
	uint32_t i;

	for (i = 0; i + 1 < MODEL_ROUTES; i++) {
		at -= world->model->routes[i].share;
		if (at < 0)
			break;
	}
	return i;
}

static double total_factor(const struct world *world)
{
	double total = 0;
	int i;

	for (i = 0; i < MODEL_ACCOUNTS; i++)
		total += model_account_share[i] * world->account_factor[i];
	return total;
}

static void arrive(void *ctx)
{
	struct world *world = ctx;
	struct sim *sim = &world->sim;
	struct measure *m = &world->measure;
	double factor = total_factor(world);
	struct request *request = base_alloc(sizeof(*request));

	request->world = world;
	request->refs = 1;
	request->arrived_at = sim->now;
	request->account =
		pick_account(world, base_rand_unit(&sim->rnd) * factor);
	request->route_index = pick_route(world, base_rand_unit(&sim->rnd));
	request->route = &world->model->routes[request->route_index];
	m->arrived[window_of(sim->now)]++;
	m->account_arrived[request->account]++;
	m->non_idempotent_arrived += !request->route->idempotent;
	start_attempt(request);
	sim_after(sim,
		  sim_exponential(sim, BASE_SECOND_US / (world->rate * factor)),
		  arrive, world);
}

void caller_start(struct world *world)
{
	sim_after(&world->sim, 1, arrive, world);
}
