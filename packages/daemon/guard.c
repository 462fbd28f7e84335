/* Guard: queues, starts and cancels work of the local backend server. */
#include "guard_work.h"
#include "backend_health.h"
#include "death_detector.h"
#include "membership.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* A backend server that rejects a request is full only for a moment. */
#define BACKEND_REJECTED_RETRY_AFTER_US (200 * BASE_MS_US)

static void schedule_timer(struct guard *g, int64_t now)
{
	int64_t at = overload_guard_next_timer_at(g->overload);
	int64_t wait = at - now;
	struct timeval tv;

	if (at == INT64_MAX) {
		event_del(g->timer);
		return;
	}
	if (wait < 100)
		wait = 100;
	tv = (struct timeval){ .tv_sec = wait / BASE_SECOND_US,
			       .tv_usec = wait % BASE_SECOND_US };
	event_add(g->timer, &tv);
}

static struct guard_work *find_work(struct guard *g, uint64_t id)
{
	struct guard_work *w;

	HASH_FIND(hh, g->work_items, &id, sizeof(id), w);
	return w;
}

static void dispatch(struct guard *g, int64_t now);

/*
 * Sends no more work until a health check has returned the instance id of the
 * backend server.
 */
static void hold_backend(struct guard *g, const char *why, int64_t now)
{
	struct base_log_line line;

	if (!g->overload || !g->node->dialect->headers.instance)
		return;
	if (!overload_guard_is_held(g->overload)) {
		line = base_log_begin(g->node->log, BASE_LOG_INFO,
				      "backend_held");
		base_log_cstr(&line, "why", why);
		base_log_str(&line, "instance", base_buf_str(&g->instance));
		base_log_end(&line);
	}
	overload_guard_hold(g->overload, now);
	backend_health_check(g->health, now);
}

/*
 * Without the platform any instance is accepted. With it, one that differs from
 * the list is checked again later, as the list may lag behind a restart.
 */
static bool is_expected_instance(const struct guard *g,
				 struct base_str instance)
{
	const struct node *node = g->node;

	return !node->platform_up ||
	       base_str_equal(node->self->instance, instance);
}

static bool on_health_report(void *ctx,
			     const struct backend_health_report *report)
{
	struct guard *g = ctx;
	struct node *node = g->node;
	int64_t now = base_now_us();
	struct base_log_line line;

	if (!g->overload || !node->self ||
	    !is_expected_instance(g, report->instance))
		return false;
	if (!base_str_equal(base_buf_str(&g->instance), report->instance))
		guard_clear_notices(g);
	base_buf_reset(&g->instance);
	base_buf_add_str(&g->instance, report->instance);
	guard_read_notices(g, report->headers, report->sent_at, now);
	overload_guard_server_ready(g->overload, report->cold_us, now);
	line = base_log_begin(node->log, BASE_LOG_INFO, "backend_ready");
	base_log_str(&line, "instance", report->instance);
	base_log_int(&line, "cold_ms", report->cold_us / BASE_MS_US);
	base_log_end(&line);
	dispatch(g, now);
	return true;
}

/* Statuses of a backend server that could not take the work. */
static bool is_overload_status(int status)
{
	return status == 429 || status == 503 || status == 504;
}

static struct guard_failure failure_from_result(enum http_result result,
						bool out_of_time)
{
	struct guard_failure lost = { HTTP_REFUSAL_CONNECTION_LOST,
				      PEER_OUTCOME_UNKNOWN, 0 };

	if (result == HTTP_RESULT_NOT_SENT)
		return (struct guard_failure){ HTTP_REFUSAL_NO_SERVER,
					       PEER_OUTCOME_NOT_RUN,
					       BASE_SECOND_US };
	if (result == HTTP_RESULT_TOO_LARGE)
		return (struct guard_failure){ HTTP_REFUSAL_ANSWER_TOO_LARGE,
					       PEER_OUTCOME_UNKNOWN, 0 };
	/* The timer of the call may fire some microseconds early. */
	if (out_of_time || result == HTTP_RESULT_TIMED_OUT)
		return (struct guard_failure){ HTTP_REFUSAL_DEADLINE,
					       PEER_OUTCOME_UNKNOWN, 0 };
	return lost;
}

/* The address belongs to another backend server now. */
#define STATUS_MISDIRECTED 421

/* Whether the answer states that the request has not run. */
static bool proves_not_run(const struct guard *g,
			   const struct http_response *http)
{
	const char *name = g->node->dialect->headers.not_run;

	if (!name)
		return false;
	return http->status == STATUS_MISDIRECTED ||
	       http_headers_find(&http->headers, base_str_from(name)).ptr;
}

static void finish_not_run(struct guard_work *w,
			   const struct http_response *http, int64_t now)
{
	struct guard *g = w->guard;
	bool misdirected = http->status == STATUS_MISDIRECTED;

	node_counter_add(g->node, misdirected ? "backend_misdirected"
					      : "backend_rejected");
	if (misdirected) {
		/* The intended backend server has not received it. */
		w->sent = false;
		hold_backend(g, "another server has the address", now);
	}
	overload_guard_finish(g->overload, w->id, OVERLOAD_OUTCOME_FAILED, now);
	guard_work_fail_not_run(w,
				misdirected ? HTTP_REFUSAL_NO_SERVER
					    : HTTP_REFUSAL_OVERLOADED,
				BACKEND_REJECTED_RETRY_AFTER_US, now);
	dispatch(g, now);
}

static void on_backend_answer(void *ctx, enum http_result result,
			      const struct http_response *http)
{
	struct guard_work *w = ctx;
	struct guard *g = w->guard;
	int64_t now = base_now_us();
	enum overload_outcome outcome = OVERLOAD_OUTCOME_OK;
	struct guard_failure failure;

	w->call = NULL;
	if (result == HTTP_RESULT_RESPONSE &&
	    http->status != STATUS_MISDIRECTED)
		guard_read_notices(g, &http->headers, w->sent_at, now);
	if (result == HTTP_RESULT_RESPONSE && proves_not_run(g, http)) {
		finish_not_run(w, http, now);
		return;
	}
	if (result == HTTP_RESULT_RESPONSE) {
		if (is_overload_status(http->status))
			outcome = OVERLOAD_OUTCOME_FAILED;
		overload_guard_finish(g->overload, w->id, outcome, now);
		quarantine_work_succeeded(g->node->quarantine, w->id,
					  &w->msg.request, now);
		guard_work_answer(w, http, now);
		dispatch(g, now);
		return;
	}
	failure = failure_from_result(result, now >= w->deadline);
	if (failure.refusal == HTTP_REFUSAL_CONNECTION_LOST) {
		death_detector_connection_lost(
			g->death_detector, w->id,
			overload_guard_in_flight(g->overload), now);
		return;
	}
	outcome = result == HTTP_RESULT_NOT_SENT ? OVERLOAD_OUTCOME_SERVER_LOST
						 : OVERLOAD_OUTCOME_FAILED;
	if (result == HTTP_RESULT_NOT_SENT) {
		w->sent = false;
		hold_backend(g, "no connection", now);
	}
	overload_guard_finish(g->overload, w->id, outcome, now);
	guard_work_fail(w, &failure, now);
	dispatch(g, now);
}

static void fail_work_items(struct guard *g, const uint64_t *ids, size_t count,
			    enum overload_outcome outcome, int64_t now)
{
	struct guard_failure failure = { HTTP_REFUSAL_CONNECTION_LOST,
					 PEER_OUTCOME_UNKNOWN, 0 };
	size_t i;

	for (i = 0; i < count; i++) {
		struct guard_work *w = find_work(g, ids[i]);

		if (!w)
			continue;
		overload_guard_finish(g->overload, w->id, outcome, now);
		guard_work_fail(w, &failure, now);
	}
	dispatch(g, now);
}

void guard_fail_lost_work(struct guard *guard, const uint64_t *work_ids,
			  size_t count, int64_t now)
{
	fail_work_items(guard, work_ids, count, OVERLOAD_OUTCOME_SERVER_LOST,
			now);
}

/* Handles the verdict of the death detector on a group of lost connections. */
static void on_death_verdict(void *ctx, const uint64_t *ids, size_t count,
			     bool died)
{
	struct guard *g = ctx;
	struct quarantine_lost_request *lost;
	int64_t now = base_now_us();
	size_t n = 0;
	size_t i;

	if (!died) {
		fail_work_items(g, ids, count, OVERLOAD_OUTCOME_FAILED, now);
		return;
	}
	node_counter_add(g->node, "backend_deaths");
	overload_guard_server_lost(g->overload, now);
	hold_backend(g, "the server died", now);
	lost = base_alloc_array(count, sizeof(*lost));
	for (i = 0; i < count; i++) {
		struct guard_work *w = find_work(g, ids[i]);

		if (w)
			lost[n++] = (struct quarantine_lost_request){
				w->id, &w->msg.request
			};
	}
	quarantine_server_died(g->node->quarantine, lost, n, now);
	free(lost);
	dispatch(g, now);
}

static void make_token(struct guard_work *w)
{
	uint8_t bytes[TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(w->token, sizeof(w->token), bytes, sizeof(bytes));
	HASH_ADD(hh_token, w->guard->work_items_by_token, token[0], TOKEN_LEN,
		 w);
}

/*
 * Whether the local backend server may run the work. The server may have said
 * that it leaves before the platform lists it so. An entry may have sent the
 * work with an older configuration, in which the backend server is not leaving,
 * its failure domain is not out, or the address serves another service. The
 * same may also have changed while the work was queued.
 */
static bool accepts_work(const struct guard *g, const struct peer_context *c)
{
	const struct config_vm *self = g->node->self;
	struct base_str own = base_str_from(g->node->settings->service);

	if (g->notices.leaving)
		return false;
	if (!c->service.len)
		return true;
	return self && base_str_equal(self->service->name, c->service) &&
	       (!own.len || base_str_equal(own, c->service)) &&
	       !self->leaving && !self->domain->out;
}

static void start_work(struct guard_work *w, int64_t now)
{
	struct guard *g = w->guard;
	const struct peer_request *r = &w->msg.request;
	struct http_request request = { .method = r->method, .body = r->body };
	size_t i;

	if (!accepts_work(g, &r->context)) {
		overload_guard_finish(g->overload, w->id,
				      OVERLOAD_OUTCOME_FAILED, now);
		guard_work_fail_not_run(w, HTTP_REFUSAL_NO_SERVER,
					BACKEND_REJECTED_RETRY_AFTER_US, now);
		return;
	}

	make_token(w);
	guard_work_split_target(r->path, &request);
	for (i = 0; i < r->headers.count; i++)
		http_headers_add(&request.headers, r->headers.items[i].name,
				 r->headers.items[i].value);
	guard_work_add_headers(w, &request.headers, now);
	w->call = http_client_send(g->backend, &request, w->deadline - now,
				   on_backend_answer, w);
	http_headers_release(&request.headers);
	w->sent = w->call != NULL;
	w->sent_at = now;
	if (w->call)
		return;
	overload_guard_finish(g->overload, w->id, OVERLOAD_OUTCOME_FAILED, now);
	guard_work_fail_not_run(w, HTTP_REFUSAL_OVERLOADED, BASE_SECOND_US,
				now);
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

static void dispatch(struct guard *g, int64_t now)
{
	struct overload_action action;

	if (g->dispatching || node_is_resuming(g->node))
		return;
	g->dispatching = true;
	while (overload_guard_next_action(g->overload, now, &action)) {
		struct guard_work *w = find_work(g, action.id);

		if (!w)
			continue;
		if (action.type == OVERLOAD_ACTION_START)
			start_work(w, now);
		else
			guard_work_fail_not_run(
				w, refusal_from_reason(action.reason),
				action.retry_after_us, now);
	}
	g->dispatching = false;
	schedule_timer(g, now);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	dispatch(arg, base_now_us());
}

static bool copy_request(struct guard_work *w,
			 const struct peer_request *request)
{
	struct peer_message msg = { .type = PEER_REQUEST, .request = *request };

	if (peer_message_encode(&msg, &w->encoded, NULL) != PEER_OK)
		return false;
	return peer_message_decode(base_buf_str(&w->encoded), &w->msg, NULL) ==
	       PEER_OK;
}

static void queue_work(struct guard_work *w, int64_t now)
{
	struct node *node = w->guard->node;
	const struct peer_context *c = &w->msg.request.context;
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

/* Registers a work item whose callback is set; holds, queues or refuses it. */
static struct guard_work *submit(struct guard_work *w,
				 const struct peer_request *request,
				 int64_t deadline, int64_t now)
{
	struct guard *guard = w->guard;
	struct http_trace parent;
	uint64_t id = ++guard->next_id;

	w->id = id;
	w->deadline = deadline;
	w->submitted_at = now;
	w->cutoff = OVERLOAD_CUTOFF_NONE;
	HASH_ADD(hh, guard->work_items, id, sizeof(w->id), w);
	if (!copy_request(w, request)) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_BAD_REQUEST, 0, now);
		return NULL;
	}
	if (http_trace_parse(request->context.traceparent, &parent))
		http_trace_child(&parent, &w->trace);
	else
		http_trace_start(&w->trace);
	if (!guard->overload || !membership_ready(guard->node->membership)) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_NOT_READY,
					BASE_SECOND_US, now);
		return NULL;
	}
	if (!accepts_work(guard, &w->msg.request.context)) {
		guard_work_fail_not_run(w, HTTP_REFUSAL_NO_SERVER,
					BASE_SECOND_US, now);
		return NULL;
	}
	switch (quarantine_check(guard->node->quarantine, id, &w->msg.request,
				 deadline, now)) {
	case QUARANTINE_HOLD:
		w->held = true;
		return w;
	case QUARANTINE_RUN:
		queue_work(w, now);
		dispatch(guard, now);
		return find_work(guard, id);
	default:
		guard_work_fail_not_run(w, HTTP_REFUSAL_SUSPECT, 0, now);
		return NULL;
	}
}

void guard_on_quarantine_verdict(struct guard *guard, uint64_t work,
				 enum quarantine_verdict verdict,
				 int64_t deadline, int64_t now)
{
	struct guard_work *w = find_work(guard, work);

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
	dispatch(guard, now);
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

void guard_cancel(struct guard *guard, struct guard_work *work, int64_t now)
{
	if (work->held ||
	    overload_guard_cancel(guard->overload, work->id, now)) {
		node_counter_add(guard->node, "guard_cancelled_queued");
		guard_work_free(work);
		dispatch(guard, now);
		return;
	}
	node_counter_add(guard->node, "guard_cancelled_running");
	work->abandoned = true;
	/* Non-idempotent work must run to its end. */
	if (!work->call || !work->idempotent)
		return;
	http_call_cancel(work->call);
	overload_guard_finish(guard->overload, work->id, OVERLOAD_OUTCOME_OK,
			      now);
	guard_work_record_span(work, 499, "cancelled", now);
	guard_work_free(work);
	dispatch(guard, now);
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
	dispatch(guard, now);
}

void guard_configure(struct guard *guard, int64_t now)
{
	struct node *node = guard->node;
	const struct config_vm *self = node->self;
	struct overload_guard_config config;
	bool domain_returned;

	if (!self)
		return;
	config = guard_overload_config(node);
	if (guard->overload)
		overload_guard_reconfigure(guard->overload, &config, now);
	else
		guard->overload = guard_create_overload(&config, self, now);
	/* The backend server may have become cold while the domain was out. */
	domain_returned = guard->domain_out && !self->domain->out;
	guard->domain_out = self->domain->out;
	if (!base_str_equal(base_buf_str(&guard->instance), self->instance))
		hold_backend(guard, "another instance is listed", now);
	else if (domain_returned)
		hold_backend(guard, "the failure domain is back", now);
	else if (self->cold_remaining_us)
		overload_guard_server_ready(guard->overload,
					    self->cold_remaining_us, now);
	dispatch(guard, now);
}

struct guard *guard_create(struct node *node, struct base_error *err)
{
	struct guard *g = base_alloc(sizeof(*g));
	struct http_client_settings settings = {
		.address = base_str_from(node->settings->backend),
		/* Bounds memory only; the guard's limit bounds the load. */
		.max_connections = 65536,
		.max_response_bytes = (size_t)node->settings->max_body,
		.echo_header = base_str_from(node->dialect->headers.request_id),
		.accept_close_delimited = node->dialect->accept_close_delimited,
	};

	g->node = node;
	if (http_client_create(node->base, &settings, &g->backend, err)) {
		free(g);
		return NULL;
	}
	g->death_detector = death_detector_create(
		node->base, node->settings->backend,
		node->dialect->headers.instance != NULL, on_death_verdict, g);
	g->health =
		backend_health_create(node, g->backend, on_health_report, g);
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
	death_detector_destroy(guard->death_detector);
	overload_guard_destroy(guard->overload);
	event_free(guard->timer);
	free(guard);
}
