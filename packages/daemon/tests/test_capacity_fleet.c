/*
 * Guards, servers and entries of one service in simulated time: what callers
 * get with the learned capacity, compared with fixed limits and selection by
 * load.
 */
#include "overload.h"
#include "routing.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <math.h>
#include <string.h>

#define DOMAINS 3
#define ENTRIES 6
#define SERVERS_MAX 9
#define SLOTS 20
#define SERVICE_US (100 * BASE_MS_US)
#define TARGET_US (300 * BASE_MS_US)
#define DEADLINE_US (1200 * BASE_MS_US)
#define TRIES_MAX 2
#define REQUESTS_MAX 4096
#define WARM_UP_US (4 * BASE_SECOND_US)
#define END_US (20 * BASE_SECOND_US)
/* The faults last from 8 s to 14 s. */
#define FAULT_FROM_US (8 * BASE_SECOND_US)
#define FAULT_TO_US (14 * BASE_SECOND_US)

struct scenario {
	const char *name;
	uint32_t servers;
	/* Load as a share of what all slots sustain at full speed. */
	double load;
	double speed_min;
	double speed_max;
	/* Fraction of the slots above which all servers slow down. */
	double knee;
	/* Servers that stall by x2.5 for 100 ms every 600 ms. */
	uint32_t stalling;
	/* Servers that are slow by x5, or reject 55 of 100, during the fault.
	 */
	uint32_t slow;
	uint32_t rejecting;
	/* Guards report figures that no server can have. */
	bool absurd;
};

struct request {
	bool used;
	uint32_t entry;
	uint32_t tried[TRIES_MAX];
	uint32_t tries;
	int64_t arrived_at;
	int64_t sent_at;
	/* Time of the server's answer; 0 while queued. */
	int64_t ends_at;
	bool rejected;
};

struct fleet {
	const struct scenario *scenario;
	bool learned;
	struct overload_guard *guards[SERVERS_MAX];
	struct overload_capacity *capacities[SERVERS_MAX];
	struct routing_table *tables[ENTRIES];
	struct request requests[REQUESTS_MAX];
	struct base_rand rnd;
	int64_t now;
	double arrivals;
};

struct result {
	double offered;
	double on_time;
	double latency_ms;
	double remote;
	/* Tries beyond the first of each request. */
	double retries;
};

static double speed(const struct scenario *sc, uint32_t server)
{
	return sc->speed_min +
	       (sc->speed_max - sc->speed_min) * server / (sc->servers - 1);
}

static bool in_fault(const struct fleet *f)
{
	return f->now >= FAULT_FROM_US && f->now < FAULT_TO_US;
}

static int64_t service_time(struct fleet *f, uint32_t server)
{
	const struct scenario *sc = f->scenario;
	double us = SERVICE_US / speed(sc, server);
	double full = overload_guard_in_flight(f->guards[server]) /
		      (sc->knee * SLOTS);

	us *= 0.8 + 0.4 * base_rand_unit(&f->rnd);
	us *= pow(fmax(1, full), 1.5);
	if (server < sc->stalling &&
	    f->now % (600 * BASE_MS_US) < 100 * BASE_MS_US)
		us *= 2.5;
	if (server < sc->slow && in_fault(f))
		us *= 5;
	return (int64_t)us;
}

static struct routing_load_report report(struct fleet *f, uint32_t server)
{
	struct overload_guard *g = f->guards[server];
	struct routing_load_report r = {
		.load = overload_guard_in_flight(g) + overload_guard_queued(g),
		.limit = overload_guard_limit(g, f->now),
	};
	struct overload_capacity_view v;

	if (f->learned) {
		v = overload_capacity_view(f->capacities[server], f->now);
		r.service_us = v.service_us;
		r.success_permille = v.success_permille;
	}
	if (f->learned && f->scenario->absurd) {
		r.service_us = server % 2 ? -1 : INT64_MAX;
		r.success_permille = 5000;
	}
	return r;
}

static void send(struct fleet *f, struct request *r);

static void end_request(struct fleet *f, struct request *r, bool ok,
			struct result *res)
{
	int64_t latency = f->now - r->arrived_at;

	r->used = false;
	if (r->arrived_at < WARM_UP_US)
		return;
	res->offered++;
	res->on_time += ok && latency <= TARGET_US;
	res->latency_ms += (double)(ok ? latency : DEADLINE_US) / BASE_MS_US;
	res->retries += r->tries - 1;
	res->remote += r->tried[r->tries - 1] % DOMAINS != r->entry % DOMAINS;
}

/* An answer to the entry; one that has not run is tried once more. */
static void answer(struct fleet *f, struct request *r, bool ran,
		   struct result *res)
{
	uint32_t server = r->tried[r->tries - 1];
	struct routing_load_report rep = report(f, server);

	routing_answered(f->tables[r->entry], server, &rep, f->now);
	if (ran)
		routing_record_latency(f->tables[r->entry], server, 1,
				       f->now - r->sent_at, f->now);
	if (!ran && r->tries < TRIES_MAX)
		send(f, r);
	else
		end_request(f, r, ran, res);
}

static void send(struct fleet *f, struct request *r)
{
	struct routing_query query = { .own_domain = r->entry % DOMAINS,
				       .excluded = r->tried,
				       .excluded_len = r->tries,
				       .route = 1,
				       .latency_target_us = TARGET_US };
	struct overload_work work = {
		.id = (uint64_t)(r - f->requests),
		.idempotent = true,
		.weight = 1,
		.deadline = r->arrived_at + DEADLINE_US,
	};
	enum routing_reason reason;
	uint32_t server;

	reason = routing_pick(f->tables[r->entry], &query, f->now, &server);
	cr_assert(eq(int, reason, ROUTING_PICKED));
	r->tried[r->tries++] = server;
	r->sent_at = f->now;
	r->ends_at = 0;
	routing_sent(f->tables[r->entry], server, f->now);
	overload_guard_offer(f->guards[server], &work, f->now);
}

static void start(struct fleet *f, struct request *r)
{
	uint32_t server = r->tried[r->tries - 1];

	r->rejected = server < f->scenario->rejecting && in_fault(f) &&
		      base_rand_unit(&f->rnd) < 0.55;
	r->ends_at = f->now +
		     (r->rejected ? 2 * BASE_MS_US : service_time(f, server));
}

static void take_actions(struct fleet *f, struct result *res)
{
	struct overload_action action;
	uint32_t i;

	for (i = 0; i < f->scenario->servers; i++)
		while (overload_guard_next_action(f->guards[i], f->now,
						  &action)) {
			struct request *r = &f->requests[action.id];

			if (action.type == OVERLOAD_ACTION_START)
				start(f, r);
			else
				answer(f, r, false, res);
		}
}

static void finish_due(struct fleet *f, struct result *res)
{
	struct request *r;

	for (r = f->requests; r < f->requests + REQUESTS_MAX; r++) {
		if (!r->used || !r->ends_at || r->ends_at > f->now)
			continue;
		overload_guard_finish(f->guards[r->tried[r->tries - 1]],
				      (uint64_t)(r - f->requests),
				      r->rejected ? OVERLOAD_OUTCOME_REJECTED
						  : OVERLOAD_OUTCOME_OK,
				      f->now);
		answer(f, r, !r->rejected, res);
	}
}

static void arrive(struct fleet *f)
{
	const struct scenario *sc = f->scenario;
	double mean_speed = (sc->speed_min + sc->speed_max) / 2;
	double per_ms = sc->load * mean_speed * sc->servers * SLOTS *
			BASE_MS_US / SERVICE_US;
	struct request *r = f->requests;

	/* The demand of the domains varies by 0.3, out of phase. */
	for (f->arrivals += per_ms * 2 * base_rand_unit(&f->rnd);
	     f->arrivals >= 1; f->arrivals--) {
		uint32_t entry = base_rand_below(&f->rnd, ENTRIES);
		double phase = 2 * M_PI *
			       ((double)f->now / (5 * BASE_SECOND_US) +
				(double)(entry % DOMAINS) / DOMAINS);

		if (base_rand_unit(&f->rnd) > (1 + 0.3 * sin(phase)) / 1.3)
			entry = (entry + 1) % ENTRIES;
		while (r->used)
			r++;
		cr_assert(r < f->requests + REQUESTS_MAX);
		*r = (struct request){ .used = true,
				       .entry = entry,
				       .arrived_at = f->now };
		send(f, r);
	}
}

static void heartbeats(struct fleet *f)
{
	struct routing_load_report rep;
	uint32_t s, e;

	for (s = 0; s < f->scenario->servers; s++) {
		rep = report(f, s);
		for (e = 0; e < ENTRIES; e++)
			routing_heartbeat(f->tables[e], s, &rep, 0, f->now);
	}
}

static void create(struct fleet *f)
{
	struct overload_guard_config config = { .slots = SLOTS,
						.connections = 12 * SLOTS,
						.cold_slots = 5,
						.cold_rate_per_s = 1000,
						.seed = 1 };
	struct overload_capacity_config capacity = { .slots = SLOTS,
						     .cold_slots = 1,
						     .cold_rate_per_s = 20 };
	struct routing_server conf[SERVERS_MAX] = { 0 };
	uint32_t i;

	for (i = 0; i < f->scenario->servers; i++) {
		conf[i] = (struct routing_server){ .id = i,
						   .domain = i % DOMAINS,
						   .slots = SLOTS };
		f->capacities[i] =
			f->learned ? overload_capacity_create(&capacity, 0)
				   : NULL;
		f->guards[i] = overload_guard_create(
			&config,
			f->learned ? overload_capacity_limiter(f->capacities[i])
				   : overload_limiter_fixed_create(SLOTS),
			0);
		overload_guard_server_ready(f->guards[i], 0, 0);
	}
	for (i = 0; i < ENTRIES; i++) {
		f->tables[i] = routing_table_create(i, NULL);
		routing_configure(f->tables[i], conf, f->scenario->servers);
		routing_use_completion_times(f->tables[i], f->learned);
	}
}

static struct result run(const struct scenario *sc, bool learned)
{
	static struct fleet f;
	struct result res = { 0 };
	uint32_t i;

	memset(&f, 0, sizeof(f));
	f.scenario = sc;
	f.learned = learned;
	base_rand_seed(&f.rnd, 11);
	create(&f);
	for (; f.now < END_US; f.now += BASE_MS_US) {
		if (f.now % (500 * BASE_MS_US) == 0)
			heartbeats(&f);
		finish_due(&f, &res);
		arrive(&f);
		take_actions(&f, &res);
	}
	for (i = 0; i < sc->servers; i++)
		overload_guard_destroy(f.guards[i]);
	for (i = 0; i < ENTRIES; i++)
		routing_table_destroy(f.tables[i]);
	res.on_time /= res.offered;
	res.latency_ms /= res.offered;
	res.remote /= res.offered;
	res.retries /= res.offered;
	return res;
}

/* Fails if callers lose by the learned capacity in any of the scenarios. */
Test(capacity_fleet, callers_lose_nothing)
{
	static const struct scenario scenarios[] = {
		{ "speeds", 9, 0.85, 0.5, 1.6, 2 },
		{ "speeds, knee 0.95", 5, 0.8, 0.6, 1.4, 0.95 },
		{ "stall", 9, 0.7, 0.5, 1.6, 2, .stalling = 3 },
		{ "slow x5", 9, 0.6, 0.9, 1.1, 2, .slow = 2 },
		{ "false health", 9, 0.6, 0.9, 1.1, 2, .rejecting = 1 },
		{ "all reject", 5, 0.6, 0.6, 1.4, 2, .rejecting = 5 },
		{ "absurd figures", 9, 0.8, 0.5, 1.6, 2, .absurd = true },
	};
	struct result off, on;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(scenarios); i++) {
		off = run(&scenarios[i], false);
		on = run(&scenarios[i], true);
		cr_assert(ge(dbl, on.on_time, off.on_time - 0.005), "%s",
			  scenarios[i].name);
		cr_assert(le(dbl, on.latency_ms, 1.05 * off.latency_ms), "%s",
			  scenarios[i].name);
		cr_assert(le(dbl, on.remote, off.remote + 0.02), "%s",
			  scenarios[i].name);
	}
}

/*
 * Fails if servers that slow down before they are full are filled: the load is
 * below what they sustain, so the target of 0.9 on time can be met.
 */
Test(capacity_fleet, serves_the_load_below_the_knees)
{
	static const struct scenario early = { "", 9, 0.55, 0.5, 1.6, 0.6 };
	static const struct scenario late = { "", 9, 0.9, 0.5, 1.6, 0.95 };

	cr_assert(ge(dbl, run(&early, true).on_time, 0.9));
	cr_assert(ge(dbl, run(&late, true).on_time, 0.9));
}

/*
 * Fails if requests keep going to a server that rejects most of them while its
 * heartbeats are good: each costs a retry.
 */
Test(capacity_fleet, a_server_that_rejects_quickly_gets_few_requests)
{
	static const struct scenario sc = { "",	 9, 0.6,	   0.9,
					    1.1, 2, .rejecting = 1 };
	struct result off = run(&sc, false);
	struct result on = run(&sc, true);

	cr_assert(le(dbl, on.retries, 0.5 * off.retries));
}
