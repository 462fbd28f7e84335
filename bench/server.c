/* Model of a backend server and of the guard in front of it. */
#include "cluster.h"

#include <string.h>

/* Factor on the service time at the start of a cold period. */
#define COLD_FACTOR 4.0
#define COLLAPSE_DOWNTIME_US BASE_SECOND_US
#define CONNECT_US 200
/* Start time of a warm server: long before the start of the run. */
#define WARM_SINCE (-3600 * BASE_SECOND_US)

static const struct model_service *service_of(const struct server *server)
{
	return &server->cluster->model->services[server->service];
}

void server_init(struct server *server, struct cluster *cluster,
		 uint8_t service, uint32_t index)
{
	const struct model_service *s = &cluster->model->services[service];
	struct overload_guard_config config = {
		.slots = s->slots,
		.connections = s->connections,
		.cold_slots =
			cluster->policy->fixed_limit ? s->slots : s->cold_slots,
		.cold_us = cluster->policy->fixed_limit ? 0 : s->cold_us,
		.seed = index + 1,
	};
	uint32_t i;

	server->cluster = cluster;
	server->service = service;
	server->index = index;
	server->domain = (int)(index % MODEL_DOMAINS);
	server->up = true;
	server->cold_since = WARM_SINCE;
	server->timer_at = INT64_MAX;
	TAILQ_INIT(&server->backlog);
	TAILQ_INIT(&server->running_calls);
	for (i = 0; i < CLUSTER_SERVERS_MAX; i++)
		server->views[i].limit = s->slots;
	if (cluster->policy->guard)
		server->guard = overload_guard_create(
			&config,
			cluster->policy->fixed_limit
				? overload_limiter_fixed_create(s->slots)
				: NULL,
			0);
	if (cluster->policy->throttle)
		server->throttle =
			overload_throttle_create(MODEL_ROUTES, index + 100);
}

void server_release(struct server *server)
{
	overload_guard_destroy(server->guard);
	overload_throttle_destroy(server->throttle);
}

static double warm_fraction(const struct server *server)
{
	const struct model_service *s = service_of(server);
	double t = (double)(server->cluster->sim.now - server->cold_since) /
		   (double)s->cold_us;

	return t > 1 ? 1 : t;
}

static uint32_t cold_capacity(const struct server *server)
{
	const struct model_service *s = service_of(server);

	return s->cold_slots +
	       (uint32_t)(warm_fraction(server) * (s->slots - s->cold_slots));
}

static int64_t half_service_time_us(struct server *server)
{
	struct cluster *cluster = server->cluster;
	double us = (double)service_of(server)->service_time_us / 2;

	us *= 0.5 + base_rand_unit(&cluster->sim.rnd);
	us *= 1 + (COLD_FACTOR - 1) * (1 - warm_fraction(server));
	if (server->service == cluster->model->slow_service)
		us *= cluster->slowdown;
	return (int64_t)us;
}

static void run_guard_actions(struct server *server);

static bool is_idempotent(const struct call *call)
{
	return call->hop->request->route->idempotent;
}

static void accept_call(struct server *server, struct call *call)
{
	call->state = CALL_ACCEPTED;
	server->cluster->idempotent_held[server->service] +=
		is_idempotent(call);
}

/* Ends a call in any state and sends the response. */
static void end_call(struct call *call, enum result result)
{
	struct server *server = call->server;

	server->cluster->idempotent_held[server->service] -=
		is_idempotent(call);
	call->state = CALL_ENDED;
	call->result = result;
	if (server->guard) {
		call->load = overload_guard_in_flight(server->guard) +
			     overload_guard_queued(server->guard);
		call->limit = overload_guard_limit(server->guard,
						   server->cluster->sim.now);
		call->cutoff = overload_cutoff_stricter(
			call->cutoff, overload_guard_cutoff(server->guard));
	}
	hop_send_response(call);
}

static void finish_at_guard(struct call *call, enum overload_outcome outcome)
{
	struct server *server = call->server;

	if (server->guard)
		overload_guard_finish(server->guard, (uintptr_t)call, outcome,
				      server->cluster->sim.now);
}

static void submit(struct server *server, struct call *call);

static void set_running(struct server *server, struct call *call)
{
	server->running++;
	server->cluster->idempotent_running[server->service] +=
		is_idempotent(call);
	call->state = CALL_RUNNING;
	TAILQ_INSERT_TAIL(&server->running_calls, call, link);
}

static void clear_running(struct server *server, struct call *call)
{
	TAILQ_REMOVE(&server->running_calls, call, link);
	server->running--;
	server->cluster->idempotent_running[server->service] -=
		is_idempotent(call);
}

static void complete(struct call *call, enum result result)
{
	struct server *server = call->server;
	struct call *next = TAILQ_FIRST(&server->backlog);

	clear_running(server, call);
	finish_at_guard(call, result == RESULT_LOST
				      ? OVERLOAD_OUTCOME_SERVER_LOST
				      : OVERLOAD_OUTCOME_OK);
	end_call(call, result);
	if (server->guard) {
		run_guard_actions(server);
	} else if (next && server->up) {
		TAILQ_REMOVE(&server->backlog, next, link);
		submit(server, next);
	}
}

static void on_half_done(void *ctx)
{
	struct call *call = ctx;
	const struct model_route *route = call->hop->request->route;
	struct server *server = call->server;

	if (call->state != CALL_RUNNING) {
		/* The server has crashed and the call has ended. */
	} else if (call->second_half) {
		complete(call, RESULT_OK);
	} else if (call->hop->depth + 1 < route->depth) {
		call->onward_at = server->cluster->sim.now;
		hop_start(call->hop->request, server, call,
			  call->hop->depth + 1);
	} else {
		call->second_half = true;
		call->refs++;
		sim_after(&server->cluster->sim, half_service_time_us(server),
			  on_half_done, call);
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
					       server->cluster->sim.now -
						       call->onward_at);
	if (result != RESULT_OK) {
		complete(call, RESULT_FAILED);
		return;
	}
	call->second_half = true;
	call->refs++;
	sim_after(&server->cluster->sim, half_service_time_us(server),
		  on_half_done, call);
}

static void on_refused_connection(void *ctx)
{
	struct call *call = ctx;

	finish_at_guard(call, OVERLOAD_OUTCOME_SERVER_LOST);
	end_call(call, RESULT_LOST);
	if (call->server->guard)
		run_guard_actions(call->server);
}

static void check_cold_overload(struct server *server)
{
	struct measure *m = &server->cluster->measure;

	if (server->running <= cold_capacity(server))
		return;
	m->work_beyond_cold++;
	if (++server->cold_excess_starts <= service_of(server)->slots / 2)
		return;
	m->collapses++;
	server_crash(server, COLLAPSE_DOWNTIME_US);
}

static void submit(struct server *server, struct call *call)
{
	struct sim *sim = &server->cluster->sim;

	if (!server->up) {
		sim_after(sim, CONNECT_US, on_refused_connection, call);
		return;
	}
	if (server->running >= service_of(server)->slots) {
		TAILQ_INSERT_TAIL(&server->backlog, call, link);
		return;
	}
	set_running(server, call);
	call->refs++;
	sim_after(sim, half_service_time_us(server), on_half_done, call);
	if (warm_fraction(server) < 1)
		check_cold_overload(server);
}

static void refuse_call(struct server *server, struct call *call,
			enum overload_reason reason)
{
	struct cluster *cluster = server->cluster;
	bool held = cluster->idempotent_held[server->service] > 0;
	bool ran = cluster->idempotent_running[server->service] > 0;

	if (!is_idempotent(call) && reason == OVERLOAD_REASON_OVERLOADED) {
		cluster->measure.shed_while_ran += ran;
		cluster->measure.shed_while_held += held;
	} else if (!is_idempotent(call)) {
		cluster->measure.expired_while_ran += ran;
	}
	end_call(call, reason == OVERLOAD_REASON_DEADLINE ? RESULT_EXPIRED
							  : RESULT_REFUSED);
}

static void on_timer(void *ctx)
{
	struct server *server = ctx;

	if (server->cluster->sim.now < server->timer_at)
		return;
	server->timer_at = INT64_MAX;
	run_guard_actions(server);
}

/* The address of a call is its id at the guard. */
static struct call *call_from_id(uint64_t id)
{
	struct call *call;
	uintptr_t address = id;

	memcpy(&call, &address, sizeof(call));
	return call;
}

static void run_guard_actions(struct server *server)
{
	struct sim *sim = &server->cluster->sim;
	struct overload_action action;
	int64_t at;

	while (overload_guard_next_action(server->guard, sim->now, &action)) {
		struct call *call = call_from_id(action.id);

		if (action.type == OVERLOAD_ACTION_START)
			submit(server, call);
		else
			refuse_call(server, call, action.reason);
	}
	at = overload_guard_next_timer_at(server->guard);
	if (at < server->timer_at) {
		server->timer_at = at;
		sim_after(sim, at - sim->now, on_timer, server);
	}
}

void server_receive(struct server *server, struct call *call)
{
	const struct request *request = call->hop->request;
	bool fixed_limit = server->cluster->policy->fixed_limit;
	struct overload_work work = {
		.id = (uintptr_t)call,
		.level = fixed_limit ? 0 : request->route->level,
		.idempotent = fixed_limit || request->route->idempotent,
		.account = fixed_limit ? 0 : request->account,
		.weight =
			(uint32_t)(model_account_share[request->account] * 100),
		.deadline = request->deadline,
	};

	accept_call(server, call);
	if (!server->guard) {
		submit(server, call);
		return;
	}
	overload_guard_offer(server->guard, &work, server->cluster->sim.now);
	run_guard_actions(server);
}

static void on_restart(void *ctx)
{
	struct server *server = ctx;

	server->up = true;
	server->cold_since = server->cluster->sim.now;
	server->cold_excess_starts = 0;
}

void server_crash(struct server *server, int64_t down_us)
{
	struct call *call;

	server->up = false;
	sim_after(&server->cluster->sim, down_us, on_restart, server);
	while ((call = TAILQ_FIRST(&server->backlog))) {
		TAILQ_REMOVE(&server->backlog, call, link);
		end_call(call, RESULT_LOST);
	}
	while ((call = TAILQ_FIRST(&server->running_calls))) {
		clear_running(server, call);
		finish_at_guard(call, OVERLOAD_OUTCOME_SERVER_LOST);
		end_call(call, RESULT_LOST);
	}
}

void server_set_cold(struct server *server)
{
	server->cold_since = server->cluster->sim.now;
	server->cold_excess_starts = 0;
}
