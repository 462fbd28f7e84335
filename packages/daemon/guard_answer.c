/* End of work items of the guard: answers, refusals and spans. */
#include "guard_work.h"
#include "quarantine.h"
#include "request_log.h"
#include "spans.h"

#include <stdio.h>
#include <string.h>

void guard_work_free(struct guard_work *w)
{
	struct guard *g = w->guard;

	quarantine_work_ended(g->node->quarantine, w->id);
	HASH_DELETE(hh, g->work_items, w);
	if (w->token[0])
		HASH_DELETE(hh_token, g->work_items_by_token, w);
	if (w->end_cb)
		w->end_cb(w->end_ctx, w);
	http_request_budget_subtract(g->node->request_budget, w->counted_bytes);
	free(w->memory);
	free(w);
}

void guard_work_record_span(struct guard_work *w, int status,
			    const char *decision, int64_t now)
{
	const struct peer_context *c = &w->request.context;
	struct span span = {
		.trace = w->trace,
		.kind = "guard",
		.started_at = w->submitted_at,
		.duration_us = now - w->submitted_at,
		.status = status,
		.attempt = c->attempt,
	};

	memcpy(span.parent_id, w->parent_span, sizeof(span.parent_id));
	spans_set_text(span.route, sizeof(span.route), c->route);
	spans_set_text(span.account, sizeof(span.account), c->account);
	spans_set_text(span.decision, sizeof(span.decision),
		       base_str_from(decision));
	spans_set_text(span.served_by, sizeof(span.served_by),
		       base_str_from(w->guard->node->settings->vm));
	spans_add(w->guard->node->spans, &span);
}

struct base_str guard_work_request_id(const struct guard_work *w)
{
	const char *name = w->guard->node->dialect->headers.request_id;
	const struct peer_headers *headers = &w->request.headers;
	size_t i;

	for (i = 0; name && i < headers->count; i++)
		if (base_str_equal_nocase(headers->items[i].name,
					  base_str_from(name)))
			return headers->items[i].value;
	return BASE_STR_NONE;
}

static void log_end(struct guard_work *w, const struct peer_answer *answer,
		    const char *decision,
		    const struct routing_load_report *report, int64_t now)
{
	struct base_log_line line = request_log_begin(
		w->guard->node, "work_ended", guard_work_request_id(w),
		answer->outcome == PEER_OUTCOME_RAN && answer->status < 500);

	base_log_cstr(&line, "decision", decision);
	base_log_int(&line, "status", answer->status);
	base_log_str(&line, "instance", base_buf_str(&w->guard->instance));
	base_log_int(&line, "sent", w->sent);
	base_log_int(&line, "queued_ms",
		     (w->sent ? w->sent_at - w->submitted_at
			      : now - w->submitted_at) /
			     BASE_MS_US);
	base_log_int(&line, "took_ms", (now - w->submitted_at) / BASE_MS_US);
	base_log_int(&line, "left_ms", (w->deadline - now) / BASE_MS_US);
	base_log_int(&line, "load", report->load);
	base_log_int(&line, "limit", report->limit);
	base_log_end(&line);
}

/* Adds the guard's state to the answer, and delivers it. */
static void send_answer(struct guard_work *w, const struct peer_answer *partial,
			const char *decision, int64_t now)
{
	struct guard *g = w->guard;
	struct node *node = g->node;
	struct routing_load_report report = guard_load_report(g, now);
	struct peer_answer answer = *partial;
	struct peer_cutoff cutoff = {
		.level = (uint32_t)overload_cutoff_stricter(w->cutoff,
							    guard_cutoff(g)),
	};

	if (node->self)
		cutoff.service = node->self->service->name;
	answer.load = report.load;
	answer.limit = report.limit;
	answer.draining = report.draining;
	answer.cold_full = report.cold_full;
	answer.stopping = report.stopping;
	answer.service_us = report.service_us;
	answer.success_permille = report.success_permille;
	answer.cutoffs = (struct peer_cutoffs){ &cutoff, 1 };
	answer.retried = w->retried;
	answer.arrived = w->sent;
	guard_work_record_span(w, (int)answer.status, decision, now);
	log_end(w, &answer, decision, &report, now);
	metrics_record(node->metrics, METRICS_QUEUE,
		       (w->sent ? w->sent_at : now) - w->submitted_at);
	if (w->sent)
		metrics_record(node->metrics, METRICS_SERVER, now - w->sent_at);
	if (!w->abandoned)
		w->cb(w->ctx, &answer);
}

/* An overdue work item was answered at its deadline. */
static void deliver_answer(struct guard_work *w,
			   const struct peer_answer *partial,
			   const char *decision, int64_t now)
{
	if (!w->overdue)
		send_answer(w, partial, decision, now);
	guard_work_free(w);
}

static struct peer_answer failure_answer(const struct guard_failure *failure)
{
	return (struct peer_answer){
		.status =
			(uint32_t)http_refusal_default_status(failure->refusal),
		.outcome = failure->outcome,
		.reason = base_str_from(http_refusal_name(failure->refusal)),
		.retry_after_ms = (uint32_t)(failure->retry_after_us / 1000),
	};
}

void guard_work_answer_overdue(struct guard_work *w, int64_t now)
{
	struct guard_failure failure = { HTTP_REFUSAL_DEADLINE,
					 PEER_OUTCOME_UNKNOWN, 0 };
	struct peer_answer answer = failure_answer(&failure);

	w->overdue = true;
	send_answer(w, &answer, http_refusal_name(failure.refusal), now);
	w->abandoned = true;
}

void guard_work_fail(struct guard_work *w, const struct guard_failure *failure,
		     int64_t now)
{
	struct peer_answer answer = failure_answer(failure);

	deliver_answer(w, &answer, http_refusal_name(failure->refusal), now);
}

void guard_work_fail_not_run(struct guard_work *w, enum http_refusal refusal,
			     int64_t retry_after_us, int64_t now)
{
	struct guard_failure failure = { refusal, PEER_OUTCOME_NOT_RUN,
					 retry_after_us };

	guard_work_fail(w, &failure, now);
}

void guard_work_answer(struct guard_work *w, const struct http_response *http,
		       int64_t now)
{
	struct peer_header *items =
		base_alloc_array(http->headers.count, sizeof(*items));
	struct peer_answer answer = {
		.status = (uint32_t)http->status,
		.outcome = PEER_OUTCOME_RAN,
		.body = http->body,
	};
	size_t n = 0;
	size_t i;

	for (i = 0; i < http->headers.count && n < PEER_LIST_MAX_ITEMS; i++) {
		const struct http_header *h = &http->headers.items[i];

		if (!http_header_is_hop_by_hop(h->name))
			items[n++] = (struct peer_header){ h->name, h->value };
	}
	answer.headers = (struct peer_headers){ items, n };
	deliver_answer(w, &answer, "answered", now);
	free(items);
}

void guard_work_answer_remote(void *ctx, const struct peer_answer *answer)
{
	struct guard_work *w = ctx;
	struct node *node = w->guard->node;
	struct peer_message msg = {
		.type = PEER_ANSWER,
		.id = w->remote_id,
		.answer = *answer,
	};
	enum peer_status status =
		peer_transport_reply(node->transport, &w->remote, &msg);

	if (status == PEER_ERR_TOO_LARGE) {
		msg.answer = (struct peer_answer){
			.status = 502,
			.outcome = PEER_OUTCOME_UNKNOWN,
			.reason = BASE_STR("answer_too_large"),
			.load = answer->load,
			.limit = answer->limit,
		};
		status =
			peer_transport_reply(node->transport, &w->remote, &msg);
	}
	if (status != PEER_OK)
		node_counter_add(node, "guard_answers_undeliverable");
}
