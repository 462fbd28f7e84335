/* Work at the local backend server: start, answers, losses and identity. */
#include "guard_work.h"
#include "death_detector.h"
#include "request_log.h"

#include <sodium.h>

/* A backend server that rejects a request is full only for a moment. */
#define BACKEND_REJECTED_RETRY_AFTER_US (200 * BASE_MS_US)

/*
 * A backend server that stops the work at its deadline answers some
 * milliseconds after it. Work that was given up must not run for more than half
 * a second.
 */
#define LINGER_US (100 * BASE_MS_US)

void guard_hold_backend(struct guard *g, const char *why, int64_t now)
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

bool guard_backend_is_foreign(const struct guard *g)
{
	return g->foreign_instance.len > 0;
}

void guard_record_instance_seen(struct guard *g, int64_t sent_at)
{
	if (sent_at > g->instance_seen_at)
		g->instance_seen_at = sent_at;
}

/*
 * An address may go to a backend server of another service, and a server states
 * its id but not its service, which only the platform's list tells. One that
 * the list does not name yet is checked again later. Without the platform, the
 * instance that was in use stays so. A new one is a restart of it when that one
 * ran so lately that its address cannot belong to another service yet.
 */
static bool is_expected_instance(const struct guard *g,
				 struct base_str instance, int64_t now)
{
	const struct node *node = g->node;
	struct base_str used = base_buf_str(&g->instance);

	if (base_str_equal(node->self->instance, instance))
		return true;
	if (node->platform_up || !used.len)
		return false;
	return base_str_equal(used, instance) ||
	       now - g->instance_seen_at < node->settings->reuse_after_us;
}

/*
 * Refuses work at once while the platform is out of reach, as the outage may
 * last for longer than its callers wait. The entries have other servers.
 */
static void on_unexpected_instance(struct guard *g, struct base_str instance,
				   int64_t now)
{
	struct base_log_line line;

	if (g->node->platform_up || !instance.len ||
	    base_str_equal(base_buf_str(&g->foreign_instance), instance))
		return;
	base_buf_reset(&g->foreign_instance);
	base_buf_add_str(&g->foreign_instance, instance);
	node_counter_add(g->node, "backend_foreign_instances");
	line = base_log_begin(g->node->log, BASE_LOG_WARN, "backend_foreign");
	base_log_str(&line, "instance", instance);
	base_log_str(&line, "listed", g->node->self->instance);
	base_log_str(&line, "used", base_buf_str(&g->instance));
	base_log_int(&line, "used_seen_ms_ago",
		     (now - g->instance_seen_at) / BASE_MS_US);
	base_log_end(&line);
	guard_refuse_unaccepted(g, now);
}

static void log_ready(const struct guard *g,
		      const struct backend_health_report *report)
{
	struct base_log_line line =
		base_log_begin(g->node->log, BASE_LOG_INFO, "backend_ready");

	base_log_str(&line, "instance", report->instance);
	base_log_int(&line, "cold_ms", report->cold_us / BASE_MS_US);
	base_log_end(&line);
}

bool guard_on_health_report(void *ctx,
			    const struct backend_health_report *report)
{
	struct guard *g = ctx;
	int64_t now = base_now_us();
	bool changed =
		!base_str_equal(base_buf_str(&g->instance), report->instance);

	if (!g->overload || !g->node->self)
		return false;
	if (!is_expected_instance(g, report->instance, now)) {
		on_unexpected_instance(g, report->instance, now);
		return false;
	}
	if (changed)
		guard_clear_notices(g);
	if (changed || report->cold_us ||
	    overload_guard_is_unavailable(g->overload))
		log_ready(g, report);
	base_buf_reset(&g->foreign_instance);
	base_buf_reset(&g->instance);
	base_buf_add_str(&g->instance, report->instance);
	guard_record_instance_seen(g, report->sent_at);
	guard_read_notices(g, report->headers, report->sent_at, now);
	overload_guard_server_ready(g->overload, report->cold_us, now);
	guard_dispatch(g, now);
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
		guard_hold_backend(g, "another server has the address", now);
	}
	overload_guard_finish(g->overload, w->id, OVERLOAD_OUTCOME_REJECTED,
			      now);
	guard_work_fail_not_run(w,
				misdirected ? HTTP_REFUSAL_NO_SERVER
					    : HTTP_REFUSAL_OVERLOADED,
				BACKEND_REJECTED_RETRY_AFTER_US, now);
	guard_dispatch(g, now);
}

static void log_invalid_answer(const struct guard_work *w)
{
	const struct guard *g = w->guard;
	struct base_log_line line =
		request_log_begin(g->node, "backend_answer_invalid",
				  guard_work_request_id(w), false);

	node_counter_add(g->node, "backend_answers_invalid");
	base_log_str(&line, "instance", base_buf_str(&g->instance));
	base_log_end(&line);
}

static void on_backend_answer(void *ctx, enum http_result result,
			      const struct http_response *http)
{
	struct guard_work *w = ctx;
	struct guard *g = w->guard;
	int64_t now = base_now_us();
	enum overload_outcome outcome = OVERLOAD_OUTCOME_OK;
	struct guard_failure failure;

	if (result == HTTP_RESULT_OVERDUE) {
		guard_work_answer_overdue(w, now);
		return;
	}
	w->call = NULL;
	if (result == HTTP_RESULT_RESPONSE &&
	    http->status != STATUS_MISDIRECTED) {
		guard_record_instance_seen(g, w->sent_at);
		guard_read_notices(g, &http->headers, w->sent_at, now);
	}
	if (result == HTTP_RESULT_RESPONSE && proves_not_run(g, http)) {
		finish_not_run(w, http, now);
		return;
	}
	if (result == HTTP_RESULT_RESPONSE) {
		if (is_overload_status(http->status))
			outcome = OVERLOAD_OUTCOME_FAILED;
		overload_guard_finish(g->overload, w->id, outcome, now);
		quarantine_work_succeeded(g->node->quarantine, w->id,
					  &w->request, now);
		guard_work_answer(w, http, now);
		guard_dispatch(g, now);
		return;
	}
	failure = failure_from_result(result, now >= w->deadline);
	/* A server that has sent an invalid answer is alive. */
	if (result == HTTP_RESULT_INVALID) {
		log_invalid_answer(w);
	} else if (failure.refusal == HTTP_REFUSAL_CONNECTION_LOST) {
		death_detector_connection_lost(
			g->death_detector, w->id,
			overload_guard_in_flight(g->overload), now);
		return;
	}
	outcome = result == HTTP_RESULT_NOT_SENT ? OVERLOAD_OUTCOME_SERVER_LOST
						 : OVERLOAD_OUTCOME_FAILED;
	if (result == HTTP_RESULT_NOT_SENT) {
		w->sent = false;
		guard_hold_backend(g, "no connection", now);
	}
	overload_guard_finish(g->overload, w->id, outcome, now);
	guard_work_fail(w, &failure, now);
	guard_dispatch(g, now);
}

static void fail_work_items(struct guard *g, const uint64_t *ids, size_t count,
			    enum overload_outcome outcome, int64_t now)
{
	struct guard_failure failure = { HTTP_REFUSAL_CONNECTION_LOST,
					 PEER_OUTCOME_UNKNOWN, 0 };
	size_t i;

	for (i = 0; i < count; i++) {
		struct guard_work *w = guard_find_work(g, ids[i]);

		if (!w)
			continue;
		overload_guard_finish(g->overload, w->id, outcome, now);
		guard_work_fail(w, &failure, now);
	}
	guard_dispatch(g, now);
}

void guard_fail_lost_work(struct guard *guard, const uint64_t *work_ids,
			  size_t count, int64_t now)
{
	fail_work_items(guard, work_ids, count, OVERLOAD_OUTCOME_SERVER_LOST,
			now);
}

void guard_on_death_verdict(void *ctx, const uint64_t *ids, size_t count,
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
	guard_hold_backend(g, "the server died", now);
	lost = base_alloc_array(count, sizeof(*lost));
	for (i = 0; i < count; i++) {
		struct guard_work *w = guard_find_work(g, ids[i]);

		if (w)
			lost[n++] =
				(struct quarantine_lost_request){ w->id,
								  &w->request };
	}
	quarantine_server_died(g->node->quarantine, lost, n, now);
	free(lost);
	guard_dispatch(g, now);
}

static void make_token(struct guard_work *w)
{
	uint8_t bytes[TOKEN_BYTES];

	base_random_bytes(bytes, sizeof(bytes));
	sodium_bin2hex(w->token, sizeof(w->token), bytes, sizeof(bytes));
	HASH_ADD(hh_token, w->guard->work_items_by_token, token[0], TOKEN_LEN,
		 w);
}

bool guard_accepts_work(const struct guard *g, const struct peer_context *c)
{
	const struct config_vm *self = g->node->self;
	struct base_str own = base_str_from(g->node->settings->service);

	if (g->notices.leaving || guard_backend_is_foreign(g))
		return false;
	if (!c->service.len)
		return true;
	return self && base_str_equal(self->service->name, c->service) &&
	       (!own.len || base_str_equal(own, c->service)) &&
	       !self->leaving && !self->domain->out;
}

void guard_refuse_unaccepted(struct guard *g, int64_t now)
{
	uint64_t *ids =
		base_alloc_array(HASH_COUNT(g->work_items), sizeof(*ids));
	struct guard_work *w;
	size_t count = 0;
	size_t i;

	for (w = g->work_items; w; w = w->hh.next)
		if (!w->sent && !guard_accepts_work(g, &w->request.context))
			ids[count++] = w->id;
	/* A refusal may end other work items. */
	for (i = 0; i < count; i++) {
		w = guard_find_work(g, ids[i]);
		if (w &&
		    (w->held || overload_guard_cancel(g->overload, w->id, now)))
			guard_work_fail_not_run(w, HTTP_REFUSAL_NO_SERVER,
						BACKEND_REJECTED_RETRY_AFTER_US,
						now);
	}
	free(ids);
}

void guard_start_work(struct guard_work *w, int64_t now)
{
	struct guard *g = w->guard;
	const struct peer_request *r = &w->request;
	struct http_request request = { .method = r->method,
					.body = r->body,
					.linger_us = LINGER_US };
	size_t i;

	if (!guard_accepts_work(g, &r->context)) {
		overload_guard_finish(g->overload, w->id,
				      OVERLOAD_OUTCOME_FAILED, now);
		guard_work_fail_not_run(w, HTTP_REFUSAL_NO_SERVER,
					BACKEND_REJECTED_RETRY_AFTER_US, now);
		return;
	}

	if (g->node->dialect->headers.call_token)
		make_token(w);
	guard_work_split_target(r->path, &request);
	for (i = 0; i < r->headers.count; i++)
		http_headers_add_view(&request.headers,
				      r->headers.items[i].name,
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
