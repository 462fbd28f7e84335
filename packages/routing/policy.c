/* The two policies: two random choices, and round robin as the baseline. */
#include "internal.h"

#include <assert.h>
#include <math.h>

/* Distance of a server from the entry. */
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

static enum tier tier_of(const struct routing_query *query,
			 const struct routing_state *s)
{
	if (s->conf.domain == query->own_domain)
		return TIER_DOMAIN;
	if (s->conf.region == query->own_region)
		return TIER_REGION;
	return TIER_ANY;
}

static uint32_t limit_of(const struct routing_state *s)
{
	if (s->has_report && s->report.limit)
		return s->report.limit;
	return s->conf.slots ? s->conf.slots : 1;
}

/*
 * Requests at the server. The report includes what this entry had in flight
 * then, so only the change since is added.
 */
static int64_t occupied(const struct routing_state *s, int64_t now)
{
	int64_t change;

	if (!routing_health_fresh(s, now))
		return s->in_flight;
	change = (int64_t)s->in_flight - s->in_flight_at_report;
	return s->report.load + change;
}

static bool has_headroom(const struct routing_state *s, int64_t now)
{
	return occupied(s, now) < limit_of(s);
}

static double score(const struct routing_state *s, bool with_reports)
{
	double load = s->in_flight;

	if (with_reports)
		load += s->report.load;
	return load / limit_of(s);
}

/* A server with a stale report would look idle beside one with a fresh one. */
static struct routing_state *better(struct routing_state *a,
				    struct routing_state *b, int64_t now)
{
	bool with_reports =
		routing_health_fresh(a, now) && routing_health_fresh(b, now);

	return score(a, with_reports) <= score(b, with_reports) ? a : b;
}

static struct routing_state *two_choices(struct routing_table *table,
					 struct routing_state **pool, size_t n,
					 int64_t now)
{
	uint32_t first, second;

	assert(n > 0);
	if (n == 1)
		return pool[0];
	first = base_rand_below(&table->rnd, (uint32_t)n);
	second = base_rand_below(&table->rnd, (uint32_t)n - 1);
	if (second >= first)
		second++;
	return better(pool[first], pool[second], now);
}

/* Servers that may be chosen; points into the service's scratch room. */
struct pool {
	struct routing_state **servers;
	size_t len;
};

/* The servers of a service as seen by one pick. */
struct survey {
	struct pool usable;
	/* Those whose daemon is about to stop. */
	struct pool stopping;
	/* The failed server with the oldest due trial, by tier. */
	struct routing_state *trial[TIER_COUNT];
	/* One that the request should not try. */
	struct routing_state *last_resort;
	size_t excluded;
	size_t failed;
	size_t cold;
};

/* A guard that is alive says "not run" for certain, so any request may try. */
static void note_trial(struct survey *sv, const struct routing_query *query,
		       struct routing_state *s)
{
	struct routing_state **slot = &sv->trial[tier_of(query, s)];

	if (query->avoid_trial && s->failure != ROUTING_OUT_BACKEND)
		slot = &sv->last_resort;
	if (!*slot || s->retry_at < (*slot)->retry_at)
		*slot = s;
}

static void survey(struct routing_table *table, struct routing_service *svc,
		   const struct routing_query *query, int64_t now,
		   struct survey *sv)
{
	struct routing_state *s;
	size_t i;

	sv->usable.servers = svc->scratch;
	sv->stopping.servers = svc->scratch + svc->count;
	for (i = 0; i < svc->count; i++) {
		s = svc->servers[i];
		if (is_excluded(query, s->conf.id)) {
			sv->excluded++;
			continue;
		}
		routing_health_refresh(s, &table->rnd, now);
		switch (routing_health_out(s, now)) {
		case ROUTING_OUT_NOT:
			sv->usable.servers[sv->usable.len++] = s;
			break;
		case ROUTING_OUT_STOPPING:
			/* They fill the room from its end. */
			*--sv->stopping.servers = s;
			sv->stopping.len++;
			break;
		case ROUTING_OUT_LINK:
		case ROUTING_OUT_BACKEND:
		case ROUTING_OUT_SILENT:
			sv->failed++;
			if (routing_health_trial_due(s, now))
				note_trial(sv, query, s);
			break;
		case ROUTING_OUT_COLD:
		case ROUTING_OUT_NO_CAPACITY:
			sv->cold++;
			break;
		default:
			break;
		}
	}
}

/* Moves servers of the tier with headroom to the front; returns how many. */
static size_t gather_headroom(struct pool *pool,
			      const struct routing_query *query, enum tier tier,
			      int64_t now)
{
	struct routing_state *s;
	size_t i, n = 0;

	for (i = 0; i < pool->len; i++) {
		s = pool->servers[i];
		if (tier_of(query, s) != tier || !has_headroom(s, now))
			continue;
		pool->servers[i] = pool->servers[n];
		pool->servers[n++] = s;
	}
	return n;
}

static struct routing_state *choose_of(struct routing_table *table,
				       const struct routing_query *query,
				       struct pool *pool, enum tier tier,
				       int64_t now)
{
	size_t n = gather_headroom(pool, query, tier, now);

	return n ? two_choices(table, pool->servers, n, now) : NULL;
}

static struct routing_state *choose_nearest(struct routing_table *table,
					    const struct routing_query *query,
					    struct pool *pool, int64_t now)
{
	struct routing_state *s = NULL;
	enum tier tier;

	for (tier = TIER_DOMAIN; tier < TIER_COUNT && !s; tier++)
		s = choose_of(table, query, pool, tier, now);
	return s;
}

static double quickest_average(const struct pool *pool,
			       const struct routing_query *query, int64_t now)
{
	double quickest = HUGE_VAL;
	size_t i;

	for (i = 0; i < pool->len; i++) {
		const struct routing_state *s = pool->servers[i];
		double average = routing_speed_average(s, query->route);

		if (average < quickest && has_headroom(s, now))
			quickest = average;
	}
	return quickest;
}

/* Splits the pool: those at which the request would be late come behind. */
static struct pool split_slow(struct pool *pool,
			      const struct routing_query *query, int64_t now)
{
	double quickest = quickest_average(pool, query, now);
	struct pool slow = *pool;
	struct routing_state *s;
	size_t i, n = 0;

	for (i = 0; query->latency_target_us && i < pool->len; i++) {
		s = pool->servers[i];
		if (routing_speed_is_slow(s, query, quickest, now))
			continue;
		pool->servers[i] = pool->servers[n];
		pool->servers[n++] = s;
	}
	if (query->latency_target_us)
		pool->len = n;
	slow.servers += pool->len;
	slow.len -= pool->len;
	return slow;
}

static struct routing_state *try_failed(struct routing_table *table,
					struct routing_state *s, int64_t now)
{
	routing_health_tried(s, &table->rnd, now);
	return s;
}

static struct routing_state *choose(struct routing_table *table,
				    const struct routing_query *query,
				    struct survey *sv, int64_t now)
{
	struct pool all = sv->usable;
	struct pool slow = split_slow(&sv->usable, query, now);
	struct routing_state *s;
	enum tier tier;

	for (tier = TIER_DOMAIN; tier < TIER_COUNT; tier++) {
		if (sv->trial[tier])
			return try_failed(table, sv->trial[tier], now);
		s = choose_of(table, query, &sv->usable, tier, now);
		if (s)
			return s;
	}
	s = choose_nearest(table, query, &slow, now);
	if (!s)
		s = choose_nearest(table, query, &sv->stopping, now);
	if (s)
		return s;
	/* No headroom anywhere: spread the excess, the guards refuse it. */
	if (!all.len)
		all = sv->stopping;
	if (all.len)
		return two_choices(table, all.servers, all.len, now);
	if (sv->last_resort)
		return try_failed(table, sv->last_resort, now);
	return NULL;
}

static enum routing_reason why_none(const struct survey *sv)
{
	if (sv->failed)
		return ROUTING_ALL_FAILED;
	if (sv->cold)
		return ROUTING_ALL_COLD;
	if (sv->excluded)
		return ROUTING_ALL_EXCLUDED;
	return ROUTING_ALL_LEAVING;
}

static enum routing_reason pick_two_choices(struct routing_table *table,
					    const struct routing_query *query,
					    int64_t now, uint32_t *server)
{
	struct routing_service *svc =
		routing_service_find(table, query->service);
	struct survey sv = { 0 };
	struct routing_state *chosen;

	if (!svc)
		return ROUTING_NO_SERVERS;
	survey(table, svc, query, now, &sv);
	chosen = choose(table, query, &sv, now);
	if (!chosen)
		return why_none(&sv);
	routing_speed_tried(chosen, query->route, now);
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
