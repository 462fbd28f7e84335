/* Routing policies: best of two random choices, and round robin. */
#include "internal.h"

#include <assert.h>
#include <math.h>

/* Distance of a server from the entry, nearest first. */
enum tier {
	TIER_DOMAIN,
	TIER_REGION,
	TIER_ANY,
	TIER_COUNT,
};

static bool is_excluded(const struct routing_query *query, uint32_t server)
{
	size_t i;

	for (i = 0; i < query->excluded_len; i++) {
		if (query->excluded[i] == server)
			return true;
	}
	return false;
}

static enum tier server_tier(const struct routing_query *query,
			     const struct routing_state *s)
{
	if (s->conf.domain == query->own_domain)
		return TIER_DOMAIN;
	if (s->conf.region == query->own_region)
		return TIER_REGION;
	return TIER_ANY;
}

uint32_t routing_limit(const struct routing_state *s)
{
	if (s->has_report && s->report.limit)
		return s->report.limit;
	return s->conf.slots ? s->conf.slots : 1;
}

/*
 * Estimates the requests at the server. The reported load includes the requests
 * that this entry had in flight at the time, so only the change is added.
 */
int64_t routing_outstanding(const struct routing_state *s, int64_t now)
{
	int64_t change;

	if (!routing_health_has_fresh_report(s, now))
		return s->in_flight;
	change = (int64_t)s->in_flight - s->in_flight_at_report;
	return s->report.load + change;
}

static bool has_headroom(const struct routing_state *s, int64_t now)
{
	return routing_outstanding(s, now) < routing_limit(s);
}

static double relative_load(const struct routing_state *s, bool with_reports)
{
	double load = s->in_flight;

	if (with_reports)
		load += s->report.load;
	return load / routing_limit(s);
}

/*
 * Ignores the reports unless both are fresh; a server with a stale report would
 * look idle compared with one that has a fresh report.
 */
static struct routing_state *less_loaded(struct routing_state *a,
					 struct routing_state *b, int64_t now)
{
	bool with_reports = routing_health_has_fresh_report(a, now) &&
			    routing_health_has_fresh_report(b, now);

	return relative_load(a, with_reports) <= relative_load(b, with_reports)
		       ? a
		       : b;
}

/* The same by expected completion time, if that of both is known. */
static struct routing_state *
sooner_completed(struct routing_state *a, struct routing_state *b, int64_t now)
{
	if (!routing_figures_known(a, now) || !routing_figures_known(b, now))
		return less_loaded(a, b, now);
	return routing_completion_us(a, now) <= routing_completion_us(b, now)
		       ? a
		       : b;
}

static struct routing_state *two_choices(struct routing_table *table,
					 struct routing_state **pool, size_t n,
					 int64_t now)
{
	struct routing_state *drawn[2];
	uint32_t first, second;

	assert(n > 0);
	if (n == 1)
		return pool[0];
	if (table->by_completion &&
	    routing_completion_draw(table, pool, n, now, drawn))
		return sooner_completed(drawn[0], drawn[1], now);
	first = base_rand_below(&table->rnd, (uint32_t)n);
	second = base_rand_below(&table->rnd, (uint32_t)n - 1);
	if (second >= first)
		second++;
	return less_loaded(pool[first], pool[second], now);
}

/* Servers that may be selected; part of the scratch array of the service. */
struct pool {
	struct routing_state **servers;
	size_t len;
};

/* The servers of a service, classified for one pick. */
struct candidates {
	struct pool usable;
	/* Servers whose daemon is about to stop. */
	struct pool stopping;
	/* By tier, the failed server whose trial has been due for longest. */
	struct routing_state *trial[TIER_COUNT];
	/* A failed server whose trial this request should avoid. */
	struct routing_state *last_resort;
	size_t excluded;
	size_t failed;
	size_t cold;
};

/*
 * Any request may be the trial of a server whose guard answered "not run": the
 * guard is reachable and reports reliably that the request has not run.
 */
static void add_trial(struct candidates *c, const struct routing_query *query,
		      struct routing_state *s)
{
	struct routing_state **slot = &c->trial[server_tier(query, s)];

	if (query->avoid_trial && s->failure != ROUTING_OUT_BACKEND)
		slot = &c->last_resort;
	if (!*slot || s->retry_at < (*slot)->retry_at)
		*slot = s;
}

static void classify_servers(struct routing_table *table,
			     struct routing_service *svc,
			     const struct routing_query *query, int64_t now,
			     struct candidates *c)
{
	struct routing_state *s;
	size_t i;

	c->usable.servers = svc->scratch;
	c->stopping.servers = svc->scratch + svc->count;
	for (i = 0; i < svc->count; i++) {
		s = svc->servers[i];
		if (is_excluded(query, s->conf.id)) {
			c->excluded++;
			continue;
		}
		routing_health_refresh(s, &table->rnd, now);
		switch (routing_health_out_reason(s, now)) {
		case ROUTING_OUT_NONE:
			c->usable.servers[c->usable.len++] = s;
			break;
		case ROUTING_OUT_STOPPING:
			/* They fill the scratch array from its end. */
			*--c->stopping.servers = s;
			c->stopping.len++;
			break;
		case ROUTING_OUT_LINK:
		case ROUTING_OUT_BACKEND:
		case ROUTING_OUT_SILENT:
			c->failed++;
			if (routing_health_trial_due(s, now))
				add_trial(c, query, s);
			break;
		case ROUTING_OUT_COLD:
		case ROUTING_OUT_NO_CAPACITY:
			c->cold++;
			break;
		default:
			break;
		}
	}
}

/* Moves servers of the tier with headroom to the front; returns the count. */
static size_t move_headroom_first(struct pool *pool,
				  const struct routing_query *query,
				  enum tier tier, int64_t now)
{
	struct routing_state *s;
	size_t i, n = 0;

	for (i = 0; i < pool->len; i++) {
		s = pool->servers[i];
		if (server_tier(query, s) != tier || !has_headroom(s, now))
			continue;
		pool->servers[i] = pool->servers[n];
		pool->servers[n++] = s;
	}
	return n;
}

static struct routing_state *choose_in_tier(struct routing_table *table,
					    const struct routing_query *query,
					    struct pool *pool, enum tier tier,
					    int64_t now)
{
	size_t n = move_headroom_first(pool, query, tier, now);

	return n ? two_choices(table, pool->servers, n, now) : NULL;
}

static struct routing_state *choose_nearest(struct routing_table *table,
					    const struct routing_query *query,
					    struct pool *pool, int64_t now)
{
	struct routing_state *s = NULL;
	enum tier tier;

	for (tier = TIER_DOMAIN; tier < TIER_COUNT && !s; tier++)
		s = choose_in_tier(table, query, pool, tier, now);
	return s;
}

static double fastest_average_us(const struct pool *pool,
				 const struct routing_query *query, int64_t now)
{
	double fastest_us = HUGE_VAL;
	size_t i;

	for (i = 0; i < pool->len; i++) {
		const struct routing_state *s = pool->servers[i];
		double average = routing_latency_average_us(s, query->route);

		if (average < fastest_us && has_headroom(s, now))
			fastest_us = average;
	}
	return fastest_us;
}

/*
 * Moves the servers at which the request would probably be late or fail to the
 * end of the pool, and splits them off as a pool of their own.
 */
static struct pool split_slow(const struct routing_table *table,
			      struct pool *pool,
			      const struct routing_query *query, int64_t now)
{
	double fastest_us = fastest_average_us(pool, query, now);
	int64_t best =
		table->by_completion
			? routing_best_success(pool->servers, pool->len, now)
			: 0;
	struct pool slow = *pool;
	struct routing_state *s;
	size_t i, n = 0;

	for (i = 0; i < pool->len; i++) {
		s = pool->servers[i];
		if (routing_is_failing(s, best, now) ||
		    (query->latency_target_us &&
		     routing_latency_is_slow(s, query, fastest_us, now)))
			continue;
		pool->servers[i] = pool->servers[n];
		pool->servers[n++] = s;
	}
	pool->len = n;
	slow.servers += pool->len;
	slow.len -= pool->len;
	return slow;
}

static struct routing_state *start_trial(struct routing_table *table,
					 struct routing_state *s, int64_t now)
{
	routing_health_trial_started(s, &table->rnd, now);
	return s;
}

static bool has_trial(const struct candidates *c)
{
	return c->trial[TIER_DOMAIN] || c->trial[TIER_REGION] ||
	       c->trial[TIER_ANY];
}

/*
 * A probe refreshes the figures of a server of the own failure domain that
 * would get no requests by them. Servers that are late for the route are left
 * out, as they are rechecked anyway. Trials of failed servers take precedence.
 */
static struct routing_state *choose_probe(struct routing_table *table,
					  const struct routing_query *query,
					  struct candidates *c, int64_t now)
{
	size_t n;

	if (!table->by_completion || query->avoid_trial || has_trial(c) ||
	    !routing_best_success(c->usable.servers, c->usable.len, now) ||
	    !routing_probe_is_due(table))
		return NULL;
	n = move_headroom_first(&c->usable, query, TIER_DOMAIN, now);
	if (!n)
		return NULL;
	table->probes++;
	return c->usable.servers[base_rand_below(&table->rnd, (uint32_t)n)];
}

static struct routing_state *choose(struct routing_table *table,
				    const struct routing_query *query,
				    struct candidates *c, int64_t now)
{
	struct pool all = c->usable;
	struct pool slow = split_slow(table, &c->usable, query, now);
	struct routing_state *s = choose_probe(table, query, c, now);
	enum tier tier;

	if (s)
		return s;
	for (tier = TIER_DOMAIN; tier < TIER_COUNT; tier++) {
		if (c->trial[tier])
			return start_trial(table, c->trial[tier], now);
		s = choose_in_tier(table, query, &c->usable, tier, now);
		if (s)
			return s;
	}
	s = choose_nearest(table, query, &slow, now);
	if (!s)
		s = choose_nearest(table, query, &c->stopping, now);
	if (s)
		return s;
	/* No headroom anywhere: spread the excess, which the guards refuse. */
	if (!all.len)
		all = c->stopping;
	if (all.len)
		return two_choices(table, all.servers, all.len, now);
	if (c->last_resort)
		return start_trial(table, c->last_resort, now);
	return NULL;
}

static enum routing_reason no_server_reason(const struct candidates *c)
{
	if (c->failed)
		return ROUTING_ALL_FAILED;
	if (c->cold)
		return ROUTING_ALL_COLD;
	if (c->excluded)
		return ROUTING_ALL_EXCLUDED;
	return ROUTING_ALL_LEAVING;
}

static enum routing_reason pick_two_choices(struct routing_table *table,
					    const struct routing_query *query,
					    int64_t now, uint32_t *server)
{
	struct routing_service *svc =
		routing_service_find(table, query->service);
	struct candidates c = { 0 };
	struct routing_state *chosen;

	if (!svc)
		return ROUTING_NO_SERVERS;
	classify_servers(table, svc, query, now, &c);
	chosen = choose(table, query, &c, now);
	if (!chosen)
		return no_server_reason(&c);
	routing_latency_picked(chosen, query->route, now);
	*server = chosen->conf.id;
	return ROUTING_PICKED;
}

static enum routing_reason pick_round_robin(struct routing_table *table,
					    const struct routing_query *query,
					    int64_t now, uint32_t *server)
{
	struct routing_service *svc =
		routing_service_find(table, query->service);
	enum routing_reason reason = ROUTING_ALL_LEAVING;
	struct routing_state *s;
	size_t i;

	(void)now;
	if (!svc)
		return ROUTING_NO_SERVERS;
	for (i = 0; i < svc->count; i++) {
		s = svc->servers[svc->round_robin++ % svc->count];
		if (s->conf.leaving || s->conf.domain_out)
			continue;
		if (is_excluded(query, s->conf.id)) {
			reason = ROUTING_ALL_EXCLUDED;
			continue;
		}
		*server = s->conf.id;
		return ROUTING_PICKED;
	}
	return reason;
}

const struct routing_policy routing_policy_two_choices = {
	.name = "two_choices",
	.pick = pick_two_choices,
};

const struct routing_policy routing_policy_round_robin = {
	.name = "round_robin",
	.pick = pick_round_robin,
};
