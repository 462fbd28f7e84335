/* Admin interface. */
#include "admin.h"
#include "claims.h"
#include "guard.h"
#include "entry.h"
#include "membership.h"
#include "rate_limiter.h"
#include "roster.h"
#include "spans.h"

#include <jansson.h>

#define MAX_HEADER_BYTES 16384
#define MAX_BODY_BYTES 4096
#define MAX_CONNECTIONS 64
#define IDLE_TIMEOUT_US (60 * BASE_SECOND_US)

struct admin {
	struct node *node;
	struct http_server *server;
	/* Readiness checks of the platform; NULL without --ready-listen. */
	struct http_server *ready_server;
};

static json_t *text_json(const struct base_buf *buf)
{
	return json_string(buf->ptr ? buf->ptr : "");
}

static json_t *configuration_json(const struct node *node)
{
	char hash[65] = "";

	if (node->snapshot)
		base_digest_hex(&node->snapshot->digest, hash);
	return json_pack(
		"{s:I,s:s,s:b,s:o,s:o}", "version",
		(json_int_t)(node->snapshot ? node->snapshot->version : 0),
		"hash", hash, "platform_up", node->platform_up, "last_refused",
		text_json(&node->last_refused), "last_conflict",
		text_json(&node->last_conflict));
}

/* Returns NULL, which leaves the object out, when nothing is learned. */
static json_t *capacity_json(const struct node *node, int64_t now)
{
	struct overload_capacity_view v;

	if (!guard_capacity_view(node->guard, now, &v))
		return NULL;
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:I,s:I}", "limit",
		(json_int_t)v.limit, "slots", (json_int_t)v.slots, "knee",
		(json_int_t)v.knee, "base_us", (json_int_t)v.base_us,
		"service_us", (json_int_t)v.service_us, "success_permille",
		(json_int_t)v.success_permille, "onward", (json_int_t)v.onward,
		"decision", overload_capacity_decision_str(v.last), "lowered",
		(json_int_t)v.lowered, "restored", (json_int_t)v.restored);
}

static json_t *guard_json(const struct node *node, int64_t now)
{
	struct routing_load_report report = guard_load_report(node->guard, now);

	return json_pack(
		"{s:I,s:I,s:b,s:i,s:I,s:o*}", "load", (json_int_t)report.load,
		"limit", (json_int_t)report.limit, "cold_full",
		report.cold_full, "cutoff", guard_cutoff(node->guard), "works",
		(json_int_t)guard_open_work_count(node->guard), "capacity",
		capacity_json(node, now));
}

static json_t *peer_json(const struct node *node, const struct config_vm *vm,
			 int64_t now)
{
	uint32_t id = roster_vm_id(node->roster, vm->name);
	struct routing_view view;
	json_t *peer;

	if (!routing_server_view(node->routing, id, now, &view))
		return NULL;
	peer = json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:s}", "vm",
			 vm->name.ptr, "domain", vm->domain->name.ptr,
			 "service", vm->service->name.ptr, "in_flight",
			 (json_int_t)view.in_flight, "load",
			 (json_int_t)view.load, "limit", (json_int_t)view.limit,
			 "usable", view.usable, "why", view.unusable_reason);
	if (peer && view.service_us) {
		json_object_set_new(peer, "service_us",
				    json_integer(view.service_us));
		json_object_set_new(peer, "success_permille",
				    json_integer(view.success_permille));
	}
	return peer;
}

static json_t *peers_json(const struct node *node, int64_t now)
{
	json_t *peers = json_array();
	size_t i;

	for (i = 0; node->snapshot && i < node->snapshot->vm_count; i++)
		json_array_append_new(
			peers, peer_json(node, &node->snapshot->vms[i], now));
	return peers;
}

static void render_status(const struct node *node, struct base_buf *out)
{
	int64_t now = base_now_us();
	json_t *json = json_pack(
		"{s:s,s:s,s:b,s:b,s:b,s:b,s:I,s:I,s:o,s:o,s:o}", "vm",
		node->settings->vm, "domain", node->settings->domain, "ready",
		membership_ready(node->membership), "claims_ready",
		claims_ready(node->claims, now), "shares_ready",
		rate_limiter_ready(node->rate_limiter, now), "draining",
		node->draining, "uptime_ms",
		(json_int_t)((now - node->started_at) / 1000), "open_requests",
		(json_int_t)entry_open_flow_count(node->entry), "configuration",
		configuration_json(node), "guard", guard_json(node, now),
		"peers", peers_json(node, now));
	char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;

	base_buf_addf(out, "%s\n", text ? text : "{}");
	free(text);
	json_decref(json);
}

static void set_gauge(const struct node *node, const char *name, int64_t value)
{
	base_counter_set(base_counters_get(node->counters, name), value);
}

/* Updates the gauges that change continuously, when they are read. */
static void render_gauges(const struct node *node)
{
	int64_t now = base_now_us();
	struct routing_load_report report = guard_load_report(node->guard, now);
	struct overload_capacity_view capacity;

	set_gauge(node, "guard_load", report.load);
	set_gauge(node, "guard_limit", report.limit);
	set_gauge(node, "guard_cutoff", guard_cutoff(node->guard));
	if (guard_capacity_view(node->guard, now, &capacity)) {
		set_gauge(node, "capacity_limit", capacity.limit);
		set_gauge(node, "capacity_base_us", capacity.base_us);
		set_gauge(node, "capacity_service_us", capacity.service_us);
		set_gauge(node, "capacity_success_permille",
			  capacity.success_permille);
	}
	set_gauge(node, "open_requests",
		  (int64_t)entry_open_flow_count(node->entry));
	set_gauge(node, "platform_up", node->platform_up);
	guard_update_counters(node->guard);
	set_gauge(node, "request_memory_bytes",
		  (int64_t)http_request_budget_bytes(node->request_budget));
}

static void on_request(void *ctx, struct http_exchange *ex)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct admin *admin = ctx;
	struct node *node = admin->node;
	struct base_str path = ex->request.path;
	struct base_str type = BASE_STR("text/plain");
	int status = 200;

	if (base_str_equal(path, BASE_STR("/status"))) {
		render_status(node, &body);
		type = BASE_STR("application/json");
	} else if (base_str_equal(path, BASE_STR("/counters"))) {
		guard_update_counters(node->guard);
		base_counters_render(node->counters, &body);
	} else if (base_str_equal(path, BASE_STR("/metrics"))) {
		render_gauges(node);
		metrics_render(node->metrics, &body);
	} else if (base_str_equal(path, BASE_STR("/spans"))) {
		spans_render(node->spans, &body);
		type = BASE_STR("application/x-ndjson");
	} else if (base_str_equal(path,
				  base_str_from(node->dialect->ready_path))) {
		if (!node->snapshot || !membership_ready(node->membership) ||
		    node->draining)
			status = 503;
		base_buf_addf(&body, "%s\n", status == 200 ? "ok" : "no");
	} else {
		status = 404;
		base_buf_addf(&body, "paths: /status /counters /metrics /spans "
				     "/ready\n");
	}
	http_headers_add(&headers, BASE_STR("Content-Type"), type);
	http_exchange_reply(ex, status, &headers, base_buf_str(&body));
}

struct admin *admin_create(struct node *node, struct base_error *err)
{
	struct admin *admin = base_alloc(sizeof(*admin));
	struct http_server_settings settings = {
		.listen = base_str_from(node->settings->admin_listen),
		.max_body = MAX_BODY_BYTES,
		.max_head_bytes = MAX_HEADER_BYTES,
		.max_connections = MAX_CONNECTIONS,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.handler = on_request,
		.ctx = admin,
	};

	admin->node = node;
	if (http_server_create(node->base, &settings, &admin->server, err))
		goto fail;
	if (!*node->settings->ready_listen)
		return admin;
	settings.listen = base_str_from(node->settings->ready_listen);
	if (!http_server_create(node->base, &settings, &admin->ready_server,
				err))
		return admin;
fail:
	admin_destroy(admin);
	return NULL;
}

void admin_destroy(struct admin *admin)
{
	if (!admin)
		return;
	http_server_destroy(admin->server);
	http_server_destroy(admin->ready_server);
	free(admin);
}

const char *admin_address(const struct admin *admin)
{
	return http_server_address(admin->server);
}
