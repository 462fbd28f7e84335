/* The table of servers, and the events that update it. */
#include "internal.h"

#include <assert.h>

struct routing_table *routing_table_create(uint64_t seed,
					   const struct routing_policy *policy)
{
	struct routing_table *table = base_alloc(sizeof(*table));

	table->policy = policy ? policy : &routing_policy_two_choices;
	base_rand_seed(&table->rnd, seed);
	return table;
}

static void clear_services(struct routing_table *table)
{
	struct routing_service *svc, *next;

	HASH_ITER (hh, table->services, svc, next) {
		HASH_DEL(table->services, svc);
		free(svc->servers);
		free(svc->scratch);
		free(svc);
	}
}

static void state_free(struct routing_table *table, struct routing_state *s)
{
	assert(table->states);
	routing_latency_destroy(s);
	HASH_DEL(table->states, s);
	free(s);
}

void routing_table_destroy(struct routing_table *table)
{
	struct routing_state *s, *next;

	if (!table)
		return;
	clear_services(table);
	HASH_ITER (hh, table->states, s, next)
		state_free(table, s);
	free(table);
}

static struct routing_state *find(const struct routing_table *table,
				  uint32_t server)
{
	struct routing_state *s;

	HASH_FIND(hh, table->states, &server, sizeof(server), s);
	return s;
}

struct routing_service *routing_service_find(const struct routing_table *table,
					     uint32_t service)
{
	struct routing_service *svc;

	HASH_FIND(hh, table->services, &service, sizeof(service), svc);
	return svc;
}

static void update_server(struct routing_table *table,
			  const struct routing_server *conf)
{
	struct routing_state *s = find(table, conf->id);

	if (!s) {
		s = base_alloc(sizeof(*s));
		s->conf.id = conf->id;
		routing_health_init(s);
		HASH_ADD(hh, table->states, conf.id, sizeof(s->conf.id), s);
	}
	assert(!s->in_new_config);
	s->conf = *conf;
	s->in_new_config = true;
}

static void remove_unlisted(struct routing_table *table)
{
	struct routing_state *s, *next;

	HASH_ITER (hh, table->states, s, next) {
		if (!s->in_new_config) {
			state_free(table, s);
		} else {
			s->in_new_config = false;
		}
	}
}

static void add_to_service(struct routing_table *table, struct routing_state *s)
{
	uint32_t id = s->conf.service;
	struct routing_service *svc = routing_service_find(table, id);
	size_t bytes;

	if (!svc) {
		svc = base_alloc(sizeof(*svc));
		svc->id = id;
		HASH_ADD(hh, table->services, id, sizeof(svc->id), svc);
	}
	bytes = (svc->count + 1) * sizeof(*svc->servers);
	svc->servers = base_realloc(svc->servers, bytes);
	svc->scratch = base_realloc(svc->scratch, bytes);
	svc->servers[svc->count++] = s;
}

void routing_configure(struct routing_table *table,
		       const struct routing_server *servers, size_t count)
{
	struct routing_state *s, *next;
	size_t i;

	clear_services(table);
	for (i = 0; i < count; i++)
		update_server(table, &servers[i]);
	remove_unlisted(table);
	HASH_ITER (hh, table->states, s, next)
		add_to_service(table, s);
}

void routing_sent(struct routing_table *table, uint32_t server, int64_t now)
{
	struct routing_state *s = find(table, server);

	if (!s)
		return;
	s->in_flight++;
	/* The peer sends no heartbeats on an idle link; that is no silence. */
	if (!s->link_used || now - s->last_sent_at > ROUTING_LINK_IDLE_US)
		s->liveness.last_received_at = now;
	s->link_used = true;
	s->last_sent_at = now;
}

static void end_request(struct routing_state *s)
{
	/*
	 * 0 when the own VM was removed from the configuration and added again
	 * while the request was in flight at its guard.
	 */
	if (s->in_flight)
		s->in_flight--;
}

static void record_report(struct routing_table *table, struct routing_state *s,
			  const struct routing_load_report *report, int64_t now)
{
	table->absurd_reports += routing_figures_absurd(report);
	routing_health_report(s, report, &table->rnd, now);
}

void routing_answered(struct routing_table *table, uint32_t server,
		      const struct routing_load_report *report, int64_t now)
{
	struct routing_state *s = find(table, server);

	if (!s)
		return;
	end_request(s);
	s->liveness.last_received_at = now;
	s->failure = ROUTING_OUT_NONE;
	s->failures = 0;
	s->in_trial = false;
	if (report)
		record_report(table, s, report, now);
}

void routing_failed(struct routing_table *table, uint32_t server,
		    enum routing_failure failure, int64_t now)
{
	struct routing_state *s = find(table, server);

	if (!s)
		return;
	/* A request that could not be sent was not counted as in flight. */
	if (failure != ROUTING_SEND_FAILED)
		end_request(s);
	if (failure == ROUTING_NOT_RUN) {
		s->liveness.last_received_at = now;
		routing_health_fail(s, ROUTING_OUT_BACKEND, &table->rnd, now);
		return;
	}
	routing_health_fail(s, ROUTING_OUT_LINK, &table->rnd, now);
}

void routing_record_latency(struct routing_table *table, uint32_t server,
			    uint64_t route, int64_t us, int64_t now)
{
	struct routing_state *s = find(table, server);

	if (s)
		routing_latency_add(s, route, us, now);
}

void routing_abandoned(struct routing_table *table, uint32_t server)
{
	struct routing_state *s = find(table, server);

	if (s)
		end_request(s);
}

void routing_heartbeat(struct routing_table *table, uint32_t server,
		       const struct routing_load_report *report,
		       int64_t heartbeat_interval_us, int64_t now)
{
	struct routing_state *s = find(table, server);

	assert(report);
	if (!s)
		return;
	s->liveness.last_received_at = now;
	s->heartbeat_interval_us = heartbeat_interval_us > 0
					   ? heartbeat_interval_us
					   : ROUTING_HEARTBEAT_INTERVAL_US;
	if (s->failure != ROUTING_OUT_BACKEND) {
		s->failure = ROUTING_OUT_NONE;
		s->in_trial = false;
	}
	record_report(table, s, report, now);
}

void routing_drain_notice(struct routing_table *table, uint32_t server,
			  int64_t now)
{
	struct routing_state *s = find(table, server);

	if (s)
		routing_health_set_draining(s, &table->rnd, now);
}

void routing_platform(struct routing_table *table, uint32_t server,
		      enum routing_platform state)
{
	struct routing_state *s = find(table, server);

	if (s)
		s->platform = state;
}

void routing_on_resume(struct routing_table *table, int64_t now)
{
	struct routing_state *s, *next;

	HASH_ITER (hh, table->states, s, next)
		s->liveness.last_received_at = now;
}

enum routing_reason routing_pick(struct routing_table *table,
				 const struct routing_query *query, int64_t now,
				 uint32_t *server)
{
	return table->policy->pick(table, query, now, server);
}

size_t routing_due_checks(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max)
{
	struct routing_state *s, *next;
	size_t n = 0;

	HASH_ITER (hh, table->states, s, next) {
		routing_health_refresh(s, &table->rnd, now);
		if (n == max || s->failure != ROUTING_OUT_NONE ||
		    !routing_health_check_due(s, now))
			continue;
		routing_liveness_check_sent(&s->liveness, now);
		ids[n++] = s->conf.id;
	}
	return n;
}

bool routing_is_silent(const struct routing_table *table, uint32_t server,
		       int64_t now)
{
	const struct routing_state *s = find(table, server);

	return s && routing_health_out_reason(s, now) == ROUTING_OUT_SILENT;
}

bool routing_may_send(const struct routing_table *table, uint32_t server,
		      uint32_t service, int64_t now)
{
	const struct routing_state *s = find(table, server);

	if (!s || s->conf.service != service)
		return false;
	switch (routing_health_out_reason(s, now)) {
	case ROUTING_OUT_LEAVING:
	case ROUTING_OUT_DOMAIN:
	case ROUTING_OUT_PLATFORM:
	case ROUTING_OUT_DRAINING:
		return false;
	default:
		return true;
	}
}

bool routing_has_other_usable(const struct routing_table *table,
			      uint32_t service, uint32_t server, int64_t now)
{
	const struct routing_service *svc =
		routing_service_find(table, service);
	size_t i;

	for (i = 0; svc && i < svc->count; i++)
		if (svc->servers[i]->conf.id != server &&
		    routing_health_out_reason(svc->servers[i], now) ==
			    ROUTING_OUT_NONE)
			return true;
	return false;
}

static bool probe_due(const struct routing_state *s, int64_t now)
{
	enum routing_out_reason out = routing_health_out_reason(s, now);

	return now >= s->retry_at &&
	       (out == ROUTING_OUT_DRAINING || out == ROUTING_OUT_LINK ||
		out == ROUTING_OUT_SILENT);
}

size_t routing_due_probes(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max)
{
	struct routing_state *s, *next;
	size_t n = 0;

	HASH_ITER (hh, table->states, s, next) {
		if (n == max)
			break;
		routing_health_refresh(s, &table->rnd, now);
		if (!probe_due(s, now))
			continue;
		routing_health_trial_started(s, &table->rnd, now);
		s->failures++;
		ids[n++] = s->conf.id;
	}
	return n;
}

bool routing_server_view(const struct routing_table *table, uint32_t server,
			 int64_t now, struct routing_view *view)
{
	const struct routing_state *s = find(table, server);
	enum routing_out_reason out;

	if (!s)
		return false;
	out = routing_health_out_reason(s, now);
	*view = (struct routing_view){ 0 };
	view->in_flight = s->in_flight;
	view->load = s->report.load;
	view->limit = s->has_report ? s->report.limit : s->conf.slots;
	if (routing_figures_known(s, now)) {
		view->service_us = s->report.service_us;
		view->success_permille = s->report.success_permille;
	}
	view->usable = out == ROUTING_OUT_NONE;
	view->unusable_reason = routing_health_out_reason_str(out);
	return true;
}

const char *routing_reason_str(enum routing_reason reason)
{
	switch (reason) {
	case ROUTING_PICKED:
		return "picked";
	case ROUTING_NO_SERVERS:
		return "no_servers";
	case ROUTING_ALL_LEAVING:
		return "all_leaving";
	case ROUTING_ALL_FAILED:
		return "all_failed";
	case ROUTING_ALL_COLD:
		return "all_cold";
	case ROUTING_ALL_EXCLUDED:
		return "all_excluded";
	}
	return "unknown";
}
