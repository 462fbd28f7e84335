/* Guard: queues, starts and cancels work of the local backend server. */
#include "guard_work.h"
#include "death_detector.h"
#include "drain.h"
#include "membership.h"

#include <string.h>

/* Requests up to this size are taken while memory for requests is short. */
#define SMALL_REQUEST_BYTES (16U << 10)

static void schedule_timer(struct guard *g, int64_t now)
{
	int64_t at = overload_guard_next_timer_at(g->overload);
	int64_t wait = at - now;
	struct timeval tv;

	/*
	 * A timer that fires too early is set again, which is cheaper than to
	 * move it with each request.
	 */
	if (at == INT64_MAX || (g->timer_at && g->timer_at <= at))
		return;
	if (wait < 100)
		wait = 100;
	g->timer_at = now + wait;
	tv = (struct timeval){ .tv_sec = wait / BASE_SECOND_US,
			       .tv_usec = wait % BASE_SECOND_US };
	event_add(g->timer, &tv);
}

struct guard_work *guard_find_work(struct guard *g, uint64_t id)
{
	struct guard_work *w;

	HASH_FIND(hh, g->work_items, &id, sizeof(id), w);
	return w;
}

static enum http_refusal refusal_from_reason(enum overload_reason reason)
{
	switch (reason) {
	case OVERLOAD_REASON_OVERLOADED:
		return HTTP_REFUSAL_OVERLOADED;
	case OVERLOAD_REASON_DEADLINE:
		return HTTP_REFUSAL_DEADLINE;
	case OVERLOAD_REASON_DRAINING:
		return HTTP_REFUSAL_DRAINING;
	}
	return HTTP_REFUSAL_OVERLOADED;
}

void guard_dispatch(struct guard *g, int64_t now)
{
	struct overload_action action;

	if (g->dispatching || node_is_resuming(g->node))
		return;
	g->dispatching = true;
	while (overload_guard_next_action(g->overload, now, &action)) {
		struct guard_work *w = guard_find_work(g, action.id);

		if (!w)
			continue;
		if (action.type == OVERLOAD_ACTION_START)
			guard_start_work(w, now);
		else
			guard_work_fail_not_run(
				w, refusal_from_reason(action.reason),
				action.retry_after_us, now);
	}
	g->dispatching = false;
	if (overload_guard_needs_check(g->overload, now))
		backend_health_check(g->health, now);
	schedule_timer(g, now);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct guard *g = arg;

	g->timer_at = 0;
	guard_dispatch(g, base_now_us());
}

static void count_memory(struct guard_work *w)
{
	const struct peer_request *r = &w->request;
	size_t i;

	w->counted_bytes = r->path.len + r->body.len +
			   r->headers.count * sizeof(struct peer_header);
	for (i = 0; i < r->headers.count; i++)
		w->counted_bytes += r->headers.items[i].name.len +
				    r->headers.items[i].value.len;
	http_request_budget_add(w->guard->node->request_budget,
				w->counted_bytes);
}

/*
 * Small requests are accepted in any case; the guard's queue bounds their
 * number.
 */
static bool lacks_memory(const struct guard_work *w)
{
	return w->counted_bytes > SMALL_REQUEST_BYTES &&
	       !http_request_budget_has_room(w->guard->node->request_budget, 0);
}

static void queue_work(struct guard_work *w, int64_t now)
{
	struct node *node = w->guard->node;
	const struct peer_context *c = &w->request.context;
	const struct config_route *route =
		config_snapshot_find_route(node->snapshot, c->route);
	const struct config_account *account =
		config_snapshot_find_account(node->snapshot, c->account);
	struct overload_work work = {
		.id = w->id,
		.level = (uint8_t)(c->priority < OVERLOAD_LEVELS
					   ? c->priority
					   : OVERLOAD_LEVELS - 1),
		.account = account ? (uint32_t)account->index : UINT32_MAX,
		.weight = account ? (uint32_t)account->weight : 1,
		.deadline = w->deadline,
	};

	/*
	 * A request that names no service does not state whether it is
	 * idempotent, so the local route decides. Work of an unknown route
	 * counts as non-idempotent, which is never shed early.
	 */
	w->idempotent =
		c->service.len ? c->idempotent : route && route->idempotent;
	work.idempotent = w->idempotent;
	overload_guard_offer(w->guard->overload, &work, now);
}

static void start_trace(struct guard_work *w)
{
	struct http_trace parent;

	if (!http_trace_parse(w->request.context.traceparent, &parent)) {
		http_trace_start(&w->trace);
		return;
	}
	http_trace_child(&parent, &w->trace);
	memcpy(w->parent_span, parent.span_id, sizeof(w->parent_span));
}

/* Registers a work item whose callback is set; holds, queues or refuses it. */
static struct guard_work *submit(struct guard_work *w,
				 const struct peer_request *request,
				 int64_t deadline, int64_t now)
{
	struct guard *guard = w->guard;
	uint64_t id = ++guard->next_id;

	w->id = id;
	w->deadline = deadline;
	w->submitted_at = now;
	w->cutoff = OVERLOAD_CUTOFF_NONE;
	HASH_ADD(hh, guard->work_items, id, sizeof(w->id), w);
	if (peer_request_copy(request, &w->request, &w->memory) != PEER_OK) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_BAD_REQUEST, 0, now);
		return NULL;
	}
	count_memory(w);
	/* A local request is held by its caller's connection already. */
	if (w->cb == guard_work_answer_remote && lacks_memory(w)) {
		node_counter_add(guard->node, "guard_refused_memory");
		guard_work_fail_not_run(w, HTTP_REFUSAL_OVERLOADED,
					BASE_SECOND_US, now);
		return NULL;
	}
	start_trace(w);
	if (!guard->overload || !membership_ready(guard->node->membership)) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_NOT_READY,
					BASE_SECOND_US, now);
		return NULL;
	}
	if (!guard_accepts_work(guard, &w->request.context)) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_NO_SERVER,
					BASE_SECOND_US, now);
		return NULL;
	}
	w->deadline = drain_limit_deadline(guard->node, deadline, now);
	if (!w->deadline) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_DRAINING,
					BASE_SECOND_US, now);
		return NULL;
	}
	switch (quarantine_check(guard->node->quarantine, id, &w->request,
				 w->deadline, now)) {
	case QUARANTINE_HOLD:
		w->held = true;
		return w;
	case QUARANTINE_RUN:
		queue_work(w, now);
		guard_dispatch(guard, now);
		return guard_find_work(guard, id);
	default:
		guard_work_fail_not_run(w, HTTP_REFUSAL_SUSPECT, 0, now);
		return NULL;
	}
}

void guard_on_quarantine_verdict(struct guard *guard, uint64_t work,
				 enum quarantine_verdict verdict,
				 int64_t deadline, int64_t now)
{
	struct guard_work *w = guard_find_work(guard, work);

	if (!w || !w->held)
		return;
	w->held = false;
	if (verdict != QUARANTINE_RUN) {
		guard_work_fail_not_run(w,
					verdict == QUARANTINE_REFUSE
						? HTTP_REFUSAL_SUSPECT
						: HTTP_REFUSAL_DEADLINE,
					0, now);
		return;
	}
	w->deadline = deadline;
	queue_work(w, now);
	guard_dispatch(guard, now);
}

struct guard_work *guard_submit(struct guard *guard,
				const struct peer_request *request,
				int64_t deadline, int64_t now,
				guard_answer_cb cb, void *ctx)
{
	struct guard_work *w = base_alloc(sizeof(*w));

	w->guard = guard;
	w->cb = cb;
	w->ctx = ctx;
	return submit(w, request, deadline, now);
}

void guard_on_remote_request(struct guard *guard,
			     const struct peer_remote *remote,
			     const struct peer_message *msg,
			     const struct peer_receive_info *receive_info)
{
	int64_t now = receive_info->received_at;
	int64_t left = msg->request.context.remaining_us - receive_info->age_us;
	struct guard_work *w = base_alloc(sizeof(*w));

	w->guard = guard;
	w->remote = *remote;
	w->remote_id = msg->id;
	w->cb = guard_work_answer_remote;
	w->ctx = w;
	submit(w, &msg->request, now + left, now);
}

/* A cancellation this shortly before the deadline is not worth a connection. */
#define CANCEL_MARGIN_US (20 * BASE_MS_US)

void guard_cancel(struct guard *guard, struct guard_work *work, int64_t now)
{
	if (work->held ||
	    overload_guard_cancel(guard->overload, work->id, now)) {
		node_counter_add(guard->node, "guard_cancelled_queued");
		guard_work_free(work);
		guard_dispatch(guard, now);
		return;
	}
	node_counter_add(guard->node, "guard_cancelled_running");
	work->abandoned = true;
	/* Non-idempotent work must run to its end. */
	if (!work->call || !work->idempotent)
		return;
	/* The server stops it by itself, and its connection stays in use. */
	if (now >= work->deadline - CANCEL_MARGIN_US)
		return;
	http_call_cancel(work->call);
	overload_guard_finish(guard->overload, work->id,
			      OVERLOAD_OUTCOME_ABANDONED, now);
	guard_work_record_span(work, 499, "cancelled", now);
	guard_work_free(work);
	guard_dispatch(guard, now);
}

void guard_on_remote_cancel(struct guard *guard,
			    const struct peer_remote *remote, uint64_t id)
{
	struct guard_work *w, *next;

	HASH_ITER (hh, guard->work_items, w, next) {
		if (w->cb != guard_work_answer_remote || w->remote_id != id ||
		    !peer_remote_equal(&w->remote, remote))
			continue;
		guard_cancel(guard, w, base_now_us());
		return;
	}
}

void guard_on_resume(struct guard *guard, int64_t paused_us, int64_t now)
{
	if (!guard->overload)
		return;
	overload_guard_resumed(guard->overload, paused_us, now);
	guard_dispatch(guard, now);
}

void guard_configure(struct guard *guard, int64_t now)
{
	struct node *node = guard->node;
	const struct config_vm *self = node->self;
	struct overload_guard_config config;
	bool domain_returned;

	if (guard->overload)
		guard_refuse_unaccepted(guard, now);
	if (!self)
		return;
	config = guard_overload_config(node);
	guard_reconfigure_capacity(guard, &config);
	if (guard->overload)
		overload_guard_reconfigure(guard->overload, &config, now);
	else
		guard->overload = guard_create_overload(guard, &config, now);
	/* The backend server may have become cold while the domain was out. */
	domain_returned = guard->domain_out && !self->domain->out;
	guard->domain_out = self->domain->out;
	if (!base_str_equal(base_buf_str(&guard->instance), self->instance))
		guard_hold_backend(guard, "another instance is listed", now);
	else if (domain_returned)
		guard_hold_backend(guard, "the failure domain is back", now);
	else if (self->cold_remaining_us)
		overload_guard_server_ready(guard->overload,
					    self->cold_remaining_us, now);
	/* Health checks end while the VM is not listed. */
	if (node->dialect->headers.instance &&
	    overload_guard_is_unavailable(guard->overload))
		backend_health_check(guard->health, now);
	guard_dispatch(guard, now);
}

static void on_stray_answer(void *ctx, int status)
{
	struct guard *g = ctx;
	struct base_log_line line = base_log_begin(g->node->log, BASE_LOG_WARN,
						   "backend_stray_answer");

	node_counter_add(g->node, "backend_stray_answers");
	base_log_int(&line, "status", status);
	base_log_cstr(&line, "effect", "its connection is not used again");
	base_log_end(&line);
}

static size_t unsent_answers(void *ctx)
{
	const struct guard *g = ctx;

	return node_unsent_answer_bytes(g->node);
}

struct guard *guard_create(struct node *node, struct base_error *err)
{
	struct guard *g = base_alloc(sizeof(*g));
	struct http_client_settings settings = {
		.address = base_str_from(node->settings->backend),
		/* Bounds memory only; the guard's limit bounds the load. */
		.max_connections = 65536,
		.max_response_bytes = (size_t)node->settings->max_body,
		.max_held_bytes = (size_t)node->settings->answer_memory,
		.held_elsewhere = unsent_answers,
		.held_ctx = g,
		.echo_header = base_str_from(node->dialect->headers.request_id),
		.accept_close_delimited = node->dialect->accept_close_delimited,
		.idle_us = node->settings->backend_idle_us,
		.troubled_connects_per_s = node->settings->backend_connect_rate,
		.on_stray = on_stray_answer,
		.stray_ctx = g,
	};

	g->node = node;
	if (http_client_create(node->base, &settings, &g->backend, err)) {
		free(g);
		return NULL;
	}
	g->death_detector =
		death_detector_create(node->base, node->settings->backend,
				      node->dialect->headers.instance != NULL,
				      guard_on_death_verdict, g);
	g->health = backend_health_create(node, g->backend,
					  guard_on_health_report, g);
	g->timer = evtimer_new(node->base, on_timer, g);
	return g;
}

void guard_destroy(struct guard *guard)
{
	struct guard_work *w, *next;

	if (!guard)
		return;
	HASH_ITER (hh, guard->work_items, w, next)
		guard_work_free(w);
	backend_health_destroy(guard->health);
	http_client_destroy(guard->backend);
	base_buf_release(&guard->instance);
	base_buf_release(&guard->foreign_instance);
	death_detector_destroy(guard->death_detector);
	overload_guard_destroy(guard->overload);
	event_free(guard->timer);
	free(guard);
}
