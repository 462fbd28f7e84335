/* Model of a backend server, and the guard in front of it. */
#include "world.h"

#include <string.h>

/* A cold server needs this multiple of the time just after its start. */
#define COLD_FACTOR 4.0
#define COLLAPSE_DOWN_US BASE_SECOND_US
#define CONNECT_US 200
/* Long before the start of the run. */
#define WARM_SINCE (-3600 * BASE_SECOND_US)

static const struct model_service *service_of(const struct server *server)
{
	return &server->world->model->services[server->service];
}

void server_init(struct server *server, struct world *world, uint8_t service,
		 uint32_t index)
{
	const struct model_service *s = &world->model->services[service];
	struct overload_guard_config config = {
		.slots = s->slots,
		.connections = s->connections,
		.cold_slots = world->policy->fixed ? s->slots : s->cold_slots,
		.cold_us = world->policy->fixed ? 0 : s->cold_us,
		.seed = index + 1,
	};
	uint32_t i;

	server->world = world;
	server->service = service;
	server->index = index;
	server->domain = (int)(index % MODEL_DOMAINS);
	server->up = true;
	server->cold_since = WARM_SINCE;
	server->wake_at = INT64_MAX;
	TAILQ_INIT(&server->held);
	TAILQ_INIT(&server->active);
	for (i = 0; i < WORLD_SERVERS; i++)
		server->views[i].limit = s->slots;
	if (world->policy->guard)
		server->guard = overload_guard_create(
			&config,
			world->policy->fixed
				? overload_limiter_fixed_create(s->slots)
				: NULL,
			0);
	if (world->policy->throttle)
		server->throttle =
			overload_throttle_create(MODEL_ROUTES, index + 100);
}

void server_release(struct server *server)
{
	overload_guard_destroy(server->guard);
	overload_throttle_destroy(server->throttle);
}

static double warmth(const struct server *server)
{
	const struct model_service *s = service_of(server);
	double t = (double)(server->world->sim.now - server->cold_since) /
		   (double)s->cold_us;

	return t > 1 ? 1 : t;
}

static uint32_t bears(const struct server *server)
{
	const struct model_service *s = service_of(server);

	return s->cold_slots +
	       (uint32_t)(warmth(server) * (s->slots - s->cold_slots));
}

static int64_t half_time(struct server *server)
{
	struct world *world = server->world;
	double us = (double)service_of(server)->own_us / 2;

	us *= 0.5 + base_rand_unit(&world->sim.rnd);
	us *= 1 + (COLD_FACTOR - 1) * (1 - warmth(server));
	if (server->service == world->model->deep)
		us *= world->slowdown;
	return (int64_t)us;
}

static void pump(struct server *server);

static bool idempotent(const struct call *call)
{
	return call->hop->request->route->idempotent;
}

static void hold(struct server *server, struct call *call)
{
	call->state = CALL_HELD;
	server->world->idempotent_held[server->service] += idempotent(call);
}

/* Ends a call wherever it is and sends the answer. */
static void end(struct call *call, enum result result)
{
	struct server *server = call->server;

	server->world->idempotent_held[server->service] -= idempotent(call);
	call->state = CALL_ENDED;
	call->result = result;
	if (server->guard) {
		call->load = overload_guard_in_flight(server->guard) +
			     overload_guard_queued(server->guard);
		call->limit = overload_guard_limit(server->guard,
						   server->world->sim.now);
		call->cutoff = overload_cutoff_stricter(
			call->cutoff, overload_guard_cutoff(server->guard));
	}
	hop_answer(call);
}

static void finish_guarded(struct call *call, enum overload_outcome outcome)
{
	struct server *server = call->server;

	if (server->guard)
		overload_guard_finish(server->guard, (uintptr_t)call, outcome,
				      server->world->sim.now);
}

static void submit(struct server *server, struct call *call);

static void set_running(struct server *server, struct call *call)
{
	server->running++;
	server->world->idempotent_running[server->service] += idempotent(call);
	call->state = CALL_RUNNING;
	TAILQ_INSERT_TAIL(&server->active, call, link);
}

static void clear_running(struct server *server, struct call *call)
{
	TAILQ_REMOVE(&server->active, call, link);
	server->running--;
	server->world->idempotent_running[server->service] -= idempotent(call);
}

static void complete(struct call *call, enum result result)
{
	struct server *server = call->server;
	struct call *next = TAILQ_FIRST(&server->held);

	clear_running(server, call);
	finish_guarded(call, result == RESULT_LOST
				     ? OVERLOAD_OUTCOME_SERVER_LOST
				     : OVERLOAD_OUTCOME_OK);
	end(call, result);
	if (server->guard) {
		pump(server);
	} else if (next && server->up) {
		TAILQ_REMOVE(&server->held, next, link);
		submit(server, next);
	}
}

static void on_half(void *ctx)
{
	struct call *call = ctx;
	const struct model_route *route = call->hop->request->route;
	struct server *server = call->server;

	if (call->state != CALL_RUNNING) {
		/* The server was lost in the meantime. */
	} else if (call->second_half) {
		complete(call, RESULT_OK);
	} else if (call->hop->depth + 1 < route->depth) {
		call->onward_at = server->world->sim.now;
		hop_start(call->hop->request, server, call,
			  call->hop->depth + 1);
	} else {
		call->second_half = true;
		call->refs++;
		sim_after(&server->world->sim, half_time(server), on_half,
			  call);
	}
	call_release(call);
}

void server_onward_done(struct call *call, enum result result, int32_t cutoff)
{
	struct server *server = call->server;

	if (call->state != CALL_RUNNING)
		return;
	call->cutoff = overload_cutoff_stricter(call->cutoff, cutoff);
	if (server->guard)
		overload_guard_add_onward_wait(server->guard, (uintptr_t)call,
					       server->world->sim.now -
						       call->onward_at);
	if (result != RESULT_OK) {
		complete(call, RESULT_FAILED);
		return;
	}
	call->second_half = true;
	call->refs++;
	sim_after(&server->world->sim, half_time(server), on_half, call);
}

static void on_refused_connection(void *ctx)
{
	struct call *call = ctx;

	finish_guarded(call, OVERLOAD_OUTCOME_SERVER_LOST);
	end(call, RESULT_LOST);
	if (call->server->guard)
		pump(call->server);
}

static void check_cold(struct server *server)
{
	struct measure *m = &server->world->measure;

	if (server->running <= bears(server))
		return;
	m->beyond_cold++;
	if (++server->strain <= service_of(server)->slots / 2)
		return;
	m->collapses++;
	server_crash(server, COLLAPSE_DOWN_US);
}

static void submit(struct server *server, struct call *call)
{
	struct sim *sim = &server->world->sim;

	if (!server->up) {
		sim_after(sim, CONNECT_US, on_refused_connection, call);
		return;
	}
	if (server->running >= service_of(server)->slots) {
		TAILQ_INSERT_TAIL(&server->held, call, link);
		return;
	}
	set_running(server, call);
	call->refs++;
	sim_after(sim, half_time(server), on_half, call);
	if (warmth(server) < 1)
		check_cold(server);
}

static void drop(struct server *server, struct call *call,
		 enum overload_reason reason)
{
	struct world *world = server->world;
	bool held = world->idempotent_held[server->service] > 0;
	bool ran = world->idempotent_running[server->service] > 0;

	if (!idempotent(call) && reason == OVERLOAD_REASON_OVERLOADED) {
		world->measure.shed_while_ran += ran;
		world->measure.shed_while_held += held;
	} else if (!idempotent(call)) {
		world->measure.expired_while_ran += ran;
	}
	end(call, reason == OVERLOAD_REASON_DEADLINE ? RESULT_EXPIRED
						     : RESULT_REFUSED);
}

static void on_wake(void *ctx)
{
	struct server *server = ctx;

	if (server->world->sim.now < server->wake_at)
		return;
	server->wake_at = INT64_MAX;
	pump(server);
}

/* The id of work at a guard is the address of its call. */
static struct call *call_of(uint64_t id)
{
	struct call *call;
	uintptr_t address = id;

	memcpy(&call, &address, sizeof(call));
	return call;
}

static void pump(struct server *server)
{
	struct sim *sim = &server->world->sim;
	struct overload_action action;
	int64_t at;

	while (overload_guard_next_action(server->guard, sim->now, &action)) {
		struct call *call = call_of(action.id);

		if (action.type == OVERLOAD_ACTION_START)
			submit(server, call);
		else
			drop(server, call, action.reason);
	}
	at = overload_guard_next_timer_at(server->guard);
	if (at < server->wake_at) {
		server->wake_at = at;
		sim_after(sim, at - sim->now, on_wake, server);
	}
}

void server_receive(struct server *server, struct call *call)
{
	const struct request *request = call->hop->request;
	bool fixed = server->world->policy->fixed;
	struct overload_work work = {
		.id = (uintptr_t)call,
		.level = fixed ? 0 : request->route->level,
		.idempotent = fixed || request->route->idempotent,
		.account = fixed ? 0 : request->account,
		.weight =
			(uint32_t)(model_account_share[request->account] * 100),
		.deadline = request->deadline,
	};

	hold(server, call);
	if (!server->guard) {
		submit(server, call);
		return;
	}
	overload_guard_offer(server->guard, &work, server->world->sim.now);
	pump(server);
}

static void on_up(void *ctx)
{
	struct server *server = ctx;

	server->up = true;
	server->cold_since = server->world->sim.now;
	server->strain = 0;
}

void server_crash(struct server *server, int64_t down_us)
{
	struct call *call;

	server->up = false;
	sim_after(&server->world->sim, down_us, on_up, server);
	while ((call = TAILQ_FIRST(&server->held))) {
		TAILQ_REMOVE(&server->held, call, link);
		end(call, RESULT_LOST);
	}
	while ((call = TAILQ_FIRST(&server->active))) {
		clear_running(server, call);
		finish_guarded(call, OVERLOAD_OUTCOME_SERVER_LOST);
		end(call, RESULT_LOST);
	}
}

void server_chill(struct server *server)
{
	server->cold_since = server->world->sim.now;
	server->strain = 0;
}
