/* Routing, retries and the end of one request at the entry. */
#include "flow.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A claim is not worth a reply of more than this; see the design page. */
#define STORED_ANSWER_MAX 16384
/* The link is up by then, so a short wait is enough. */
#define LAPSED_AFTER_MS 100

static void release_headers(struct flow *f)
{
	http_headers_release(&f->headers);
	base_buf_release(&f->target);
	base_buf_release(&f->key);
}

static void flow_free(struct flow *f)
{
	flow_detach(f);
	HASH_DELETE(hh, f->entry->flows, f);
	if (f->timer)
		event_free(f->timer);
	release_headers(f);
	config_snapshot_unref(f->snapshot);
	free(f);
}

static void record_span(struct flow *f, int status, const char *decision,
			int64_t now)
{
	const struct config_vm *vm =
		f->tries ? roster_vm(f->node->roster, f->server) : NULL;
	struct span span = {
		.trace = f->trace,
		.kind = f->onward ? "onward" : "entry",
		.started_at = f->started_at,
		.duration_us = now - f->started_at,
		.status = status,
		.attempt = f->attempt,
	};

	memcpy(span.parent_id, f->parent_span, sizeof(span.parent_id));
	if (f->route)
		snprintf(span.route, sizeof(span.route), "%s",
			 f->route->name.ptr);
	if (f->account)
		snprintf(span.account, sizeof(span.account), "%s",
			 f->account->name.ptr);
	snprintf(span.decision, sizeof(span.decision), "%s", decision);
	if (vm)
		snprintf(span.served_by, sizeof(span.served_by), "%s",
			 vm->name.ptr);
	spans_add(f->node->spans, &span);
}

static struct base_str account_name(const struct flow *f)
{
	return f->account ? f->account->name : BASE_STR_NONE;
}

/* Ends the claim as the outcome allows; an unclear one stays "running". */
static void end_claim(struct flow *f, const struct peer_answer *answer,
		      bool not_run, int64_t now)
{
	struct peer_stored_answer stored = { 0 };

	if (f->state == FLOW_CLAIMING)
		claims_cancel(f->node->claims, f->id, now);
	if (!f->claimed)
		return;
	f->claimed = false;
	if (not_run) {
		claims_release(f->node->claims, account_name(f),
			       base_buf_str(&f->key), f->claim_id, now);
	} else if (answer && answer->outcome == PEER_RAN) {
		stored.status = answer->status;
		if (answer->body.len <= STORED_ANSWER_MAX) {
			stored.headers = answer->headers;
			stored.body = answer->body;
		} else {
			stored.status = 0;
		}
		claims_complete(f->node->claims, account_name(f),
				base_buf_str(&f->key), f->claim_id, &stored,
				now);
	} else {
		claims_abandon(f->node->claims, base_buf_str(&f->key),
			       f->claim_id);
	}
}

static void end_parent(struct flow *f, int64_t now)
{
	if (f->onward && f->parent)
		guard_work_onward_ended(f->parent, f->cutoff, f->retried, now);
	f->parent = NULL;
}

void flow_detach(struct flow *f)
{
	if (!f->wire_id)
		return;
	HASH_DELETE(hh_wire, f->entry->by_wire, f);
	f->wire_id = 0;
}

/* Tells the guard that nobody waits for the present try any more. */
static void cancel_try(struct flow *f, int64_t now)
{
	const struct config_vm *vm = roster_vm(f->node->roster, f->server);
	struct peer_message msg = { .type = PEER_CANCEL, .id = f->wire_id };
	struct peer_link *link;

	if (f->state != FLOW_SENT)
		return;
	routing_abandoned(f->node->routing, f->server);
	if (f->local) {
		guard_cancel(f->node->guard, f->local, now);
		f->local = NULL;
	} else if (f->wire_id && vm) {
		link = node_link(f->node, vm);
		if (link)
			peer_transport_send(f->node->transport, link, &msg);
	}
	flow_detach(f);
}

static void count_refusal(struct flow *f, enum http_refusal refusal)
{
	char name[64];

	snprintf(name, sizeof(name), "refusals{reason=\"%s\"}",
		 http_refusal_name(refusal));
	node_count(f->node, name);
}

/*
 * A caller whose request has not run, or whose key is in use, hears when to
 * come back. The jitter spreads callers that were refused together.
 */
static int64_t usual_return(struct flow *f,
			    const struct http_refusal_details *details)
{
	int64_t ms = http_refusal_return_us(details->refusal) / BASE_MS_US;

	if (!ms ||
	    (!details->not_run && details->refusal != HTTP_REFUSAL_IN_PROGRESS))
		return 0;
	return retry_after_ms(&f->node->rnd, ms) * BASE_MS_US;
}

void flow_refuse(struct flow *f, const struct flow_refusal *refusal,
		 int64_t now)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct http_refusal_details details = {
		.refusal = refusal->refusal,
		.not_run = refusal->not_run,
		.retry_after_us = refusal->retry_after_us,
		.status_promises = f->node->dialect->status_promises,
		.detail = base_str_from(refusal->detail),
	};
	int code;

	if (f->may_have_run)
		details.not_run = false;
	if (!details.retry_after_us)
		details.retry_after_us = usual_return(f, &details);
	code = http_refusal_status(&details);
	count_refusal(f, refusal->refusal);
	record_span(f, code, http_refusal_name(refusal->refusal), now);
	flow_log_refusal(f, &details, code, now);
	end_claim(f, NULL, details.not_run, now);
	end_parent(f, now);
	if (f->ex) {
		http_refusal_build(&details, &headers, &body);
		http_exchange_reply(f->ex, code, &headers, base_buf_str(&body));
	}
	flow_free(f);
}

static void refuse_plain(struct flow *f, enum http_refusal refusal,
			 bool not_run, int64_t retry_after_us,
			 const char *detail, int64_t now)
{
	struct flow_refusal r = { refusal, not_run, retry_after_us, detail };

	flow_refuse(f, &r, now);
}

void flow_answer(struct flow *f, const struct peer_answer *answer, int64_t now)
{
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	const struct config_vm *vm = roster_vm(f->node->roster, f->server);
	size_t i;

	record_span(f, (int)answer->status, "answered", now);
	flow_log_end(f, "request_answered", (int)answer->status,
		     answer->status < 500, now);
	end_claim(f, answer, false, now);
	end_parent(f, now);
	for (i = 0; i < answer->headers.count; i++)
		http_headers_add(&headers, answer->headers.items[i].name,
				 answer->headers.items[i].value);
	if (vm && f->tries && f->node->dialect->headers.served_by)
		http_headers_add(
			&headers,
			base_str_from(f->node->dialect->headers.served_by),
			vm->name);
	node_count(f->node, "answers");
	if (f->ex)
		http_exchange_reply(f->ex, (int)answer->status, &headers,
				    answer->body);
	flow_free(f);
}

/* A refusal of the last guard that was tried. */
static void refuse_with_answer(struct flow *f, const struct peer_answer *answer,
			       int64_t now)
{
	enum http_refusal refusal = HTTP_REFUSAL_CONNECTION_LOST;
	bool not_run = answer->outcome == PEER_NOT_RUN;

	http_refusal_parse(answer->reason, &refusal);
	refuse_plain(f, refusal, not_run,
		     (int64_t)answer->retry_after_ms * BASE_MS_US,
		     not_run ? "the request was not started"
			     : "the request may have run",
		     now);
}

static void note_cutoffs(struct flow *f, const struct peer_answer *answer,
			 int64_t now)
{
	size_t i;

	for (i = 0; i < answer->cutoffs.count; i++)
		f->cutoff = overload_cutoff_stricter(
			f->cutoff, (int32_t)answer->cutoffs.items[i].level);
	if (f->snapshot == f->node->snapshot && answer->cutoffs.count)
		overload_throttle_observe(f->node->throttle,
					  (uint32_t)f->route->index, f->cutoff,
					  now);
}

/* A guard whose backend server is down is a failure, overload is not. */
static void note_server(struct flow *f, const struct peer_answer *answer,
			int64_t now)
{
	struct routing_load_report report = {
		.load = answer->load,
		.limit = answer->limit,
		.draining = answer->draining,
		.cold_full = answer->cold_full,
		.stopping = answer->stopping,
	};
	struct routing_table *routing = f->node->routing;

	if (base_str_equal(answer->reason, BASE_STR("no_server")) ||
	    base_str_equal(answer->reason, BASE_STR("not_ready")))
		routing_failed(routing, f->server, ROUTING_NOT_RUN, now);
	else if (base_str_equal(answer->reason, BASE_STR("connection_lost")))
		routing_failed(routing, f->server, ROUTING_LOST, now);
	else
		routing_answered(routing, f->server, &report, now);
}

/* Time within which an answer earns full credit. */
static int64_t allowed_time(const struct config_route *route)
{
	if (route->target_us && route->target_us < route->timeout_us)
		return route->target_us;
	return route->timeout_us;
}

static void note_took(struct flow *f, int64_t took, int64_t now)
{
	routing_record_latency(f->node->routing, f->server,
			       roster_hash(f->route->name), took, now);
}

/* A refusal for overload, which is quick, says nothing about the server. */
static void note_time(struct flow *f, const struct peer_answer *answer, bool ok,
		      int64_t now)
{
	int64_t allowed = allowed_time(f->route);
	int64_t took = now - f->sent_at;

	if (answer->outcome == PEER_NOT_RUN)
		return;
	if (!ok && took < allowed)
		took = allowed;
	note_took(f, took, now);
}

void flow_on_answer(struct flow *f, const struct peer_answer *answer,
		    int64_t now)
{
	bool ok = answer->outcome == PEER_RAN && answer->status < 500;
	bool whole = answer->outcome == PEER_RAN;

	flow_detach(f);
	f->local = NULL;
	note_server(f, answer, now);
	note_time(f, answer, ok, now);
	note_cutoffs(f, answer, now);
	f->retried = f->retried || answer->retried;
	if (ok)
		flow_note_success(f, now);
	if (f->node->dialect->headers.call_token && !f->onward && !f->attempt &&
	    answer->retried)
		retry_budget_charge(&f->node->budget, now);
	if (!ok && flow_decide_retry(f, answer, now))
		flow_route(f, now);
	else if (whole)
		flow_answer(f, answer, now);
	else
		refuse_with_answer(f, answer, now);
}

/* What stands for the answer of a try that was lost on its way. */
static const struct peer_answer lost_answer = {
	.status = 502,
	.outcome = PEER_UNKNOWN,
	.reason = { "connection_lost", sizeof("connection_lost") - 1 },
};

void flow_on_lost(struct flow *f, int64_t now)
{
	flow_on_answer(f, &lost_answer, now);
}

void flow_on_silent(struct flow *f, int64_t now)
{
	if (f->state != FLOW_SENT ||
	    !routing_has_other_usable(f->node->routing, flow_service_id(f),
				      f->server, now) ||
	    !flow_decide_resend(f, now))
		return;
	flow_log_try(f, &lost_answer, "resend");
	cancel_try(f, now);
	flow_route(f, now);
}

static void on_local_answer(void *ctx, const struct peer_answer *answer)
{
	struct flow *f = ctx;

	f->local = NULL;
	flow_on_answer(f, answer, base_now_us());
}

/*
 * The guard gives up this much earlier than the entry, so that its word on
 * whether the request has run is there in time.
 */
#define GUARD_MARGIN_US (20 * BASE_MS_US)

static int64_t guard_time(const struct flow *f, int64_t now)
{
	int64_t left = f->deadline - now;

	if (!f->node->dialect->status_promises)
		return left;
	return left > 2 * GUARD_MARGIN_US ? left - GUARD_MARGIN_US : left / 2;
}

static void fill_request(struct flow *f, struct peer_request *r,
			 struct peer_header *items, char *traceparent,
			 int64_t now)
{
	size_t i;

	http_trace_format(&f->trace, traceparent);
	for (i = 0; i < f->headers.count; i++)
		items[i] = (struct peer_header){ f->headers.items[i].name,
						 f->headers.items[i].value };
	*r = (struct peer_request){
		.deadline_us = f->deadline,
		.method = f->ex->request.method,
		.path = base_buf_str(&f->target),
		.headers = { items, f->headers.count },
		.body = f->ex->request.body,
		.context = {
			.account = account_name(f),
			.route = f->route->name,
			.priority = f->priority->level,
			.attempt = f->attempt,
			.idempotency_key = base_buf_str(&f->key),
			.traceparent = base_str_from(traceparent),
			.remaining_us = guard_time(f, now),
			.depth = f->depth,
			.open = f->route->open,
			.service = f->service->name,
			.caller_service =
				base_str_from(f->node->settings->service),
			.idempotent = f->route->idempotent,
		},
	};
}

/* The send failed at once, so the request did not run there. */
static void on_send_failed(struct flow *f, int64_t now)
{
	struct peer_answer answer = {
		.status = 503,
		.outcome = PEER_NOT_RUN,
		.reason = BASE_STR("no_server"),
	};

	routing_failed(f->node->routing, f->server, ROUTING_SEND_FAILED, now);
	f->retried = f->retried || answer.retried;
	if (flow_decide_retry(f, &answer, now))
		flow_route(f, now);
	else
		refuse_with_answer(f, &answer, now);
}

static void send_remote(struct flow *f, const struct config_vm *vm,
			const struct peer_request *request, int64_t now)
{
	struct peer_link *link = node_link(f->node, vm);
	struct peer_message msg = { .type = PEER_REQUEST, .request = *request };

	if (link && membership_is_linking(f->node->membership, link, now)) {
		f->state = FLOW_LINKING;
		return;
	}
	msg.id = ++f->entry->next_id;
	if (!link || peer_transport_send(f->node->transport, link, &msg)) {
		on_send_failed(f, now);
		return;
	}
	membership_used(f->node->membership, link, now);
	f->wire_id = msg.id;
	HASH_ADD(hh_wire, f->entry->by_wire, wire_id, sizeof(f->wire_id), f);
	routing_sent(f->node->routing, f->server, now);
}

static void send_to(struct flow *f, const struct config_vm *vm, int64_t now)
{
	struct peer_header *items =
		base_alloc_array(f->headers.count, sizeof(*items));
	char traceparent[HTTP_TRACEPARENT_LEN + 1];
	struct peer_request request;
	struct guard_work *work;
	uint64_t id = f->id;
	struct entry *entry = f->entry;

	f->state = FLOW_SENT;
	f->sent_at = now;
	fill_request(f, &request, items, traceparent, now);
	if (!node_is_self(f->node, vm)) {
		send_remote(f, vm, &request, now);
		free(items);
		return;
	}
	routing_sent(f->node->routing, f->server, now);
	work = guard_submit(f->node->guard, &request,
			    now + request.context.remaining_us, now,
			    on_local_answer, f);
	free(items);
	/* The flow may have ended during the submit. */
	HASH_FIND(hh, entry->flows, &id, sizeof(id), f);
	if (f && work)
		f->local = work;
}

void flow_on_link(struct flow *f, bool up, int64_t now)
{
	const struct config_vm *vm = roster_vm(f->node->roster, f->server);

	f->state = FLOW_LINKING;
	if (now > f->token_expires_at) {
		refuse_plain(f, HTTP_REFUSAL_RATE_LIMITED, true,
			     retry_after_ms(&f->node->rnd, LAPSED_AFTER_MS) *
				     BASE_MS_US,
			     "the rate's tokens lapsed while a link was opened",
			     now);
		return;
	}
	if (up && vm)
		send_to(f, vm, now);
	else
		on_send_failed(f, now);
}

static enum http_refusal refusal_of(enum routing_reason reason)
{
	return reason == ROUTING_ALL_COLD ? HTTP_REFUSAL_OVERLOADED
					  : HTTP_REFUSAL_NO_SERVER;
}

uint32_t flow_service_id(const struct flow *f)
{
	return roster_service_id(f->node->roster, f->service->name);
}

int64_t flow_usual_us(const struct flow *f)
{
	return routing_fastest_latency_us(f->node->routing, flow_service_id(f),
					  roster_hash(f->route->name));
}

void flow_route(struct flow *f, int64_t now)
{
	struct node *node = f->node;
	const struct config_vm *vm;
	struct routing_query query = {
		.service = flow_service_id(f),
		.excluded = f->tried,
		.excluded_len = f->tries,
		.avoid_trial = !f->route->idempotent,
		.route = roster_hash(f->route->name),
		.latency_target_us = allowed_time(f->route),
	};
	enum routing_reason reason;

	if (now >= f->deadline) {
		refuse_plain(f, HTTP_REFUSAL_DEADLINE, true, 0,
			     "out of time before it was sent", now);
		return;
	}
	if (node->self) {
		query.own_domain = roster_domain_id(node->roster,
						    node->self->domain->name);
		query.own_region = roster_region_id(
			node->roster, node->self->domain->region->name);
	}
	reason = routing_pick(node->routing, &query, now, &f->server);
	vm = reason == ROUTING_PICKED ? roster_vm(node->roster, f->server)
				      : NULL;
	if (!vm) {
		refuse_plain(f, refusal_of(reason), true, 0,
			     routing_reason_str(reason), now);
		return;
	}
	f->tried[f->tries++] = f->server;
	flow_log_sent(f, vm);
	send_to(f, vm, now);
}

static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	struct flow *f = arg;
	int64_t now = base_now_us();
	bool not_run = f->state != FLOW_SENT;

	if (f->state == FLOW_RATE_WAITING)
		rate_link_cancel(f->node->rate_link, f->account, f->id);
	if (!not_run)
		note_took(f, now - f->sent_at, now);
	cancel_try(f, now);
	refuse_plain(f, HTTP_REFUSAL_DEADLINE, not_run, 0,
		     not_run ? "out of time before it was sent"
			     : "out of time while it may be running",
		     now);
}

void flow_abort(struct flow *f, int64_t now)
{
	bool not_run = f->state != FLOW_SENT;

	if (f->state == FLOW_RATE_WAITING)
		rate_link_cancel(f->node->rate_link, f->account, f->id);
	cancel_try(f, now);
	refuse_plain(f, HTTP_REFUSAL_DRAINING, not_run, FLOW_RESTART_US,
		     "the daemon stops", now);
}

/* Work that must not be left half done goes on without its caller. */
static void on_gone(void *ctx, struct http_exchange *ex)
{
	struct flow *f = ctx;
	int64_t now = base_now_us();
	bool not_run = f->state != FLOW_SENT;

	node_count(f->node, "callers_gone");
	if (!not_run && f->claimed) {
		f->ex = NULL;
		/* It is part of the exchange. */
		f->request_id = BASE_STR_NONE;
		http_exchange_reply(ex, 499, NULL, BASE_STR_NONE);
		return;
	}
	if (f->state == FLOW_RATE_WAITING)
		rate_link_cancel(f->node->rate_link, f->account, f->id);
	cancel_try(f, now);
	end_claim(f, NULL, not_run, now);
	end_parent(f, now);
	record_span(f, 499, "caller_gone", now);
	flow_log_end(f, "request_abandoned", 499, false, now);
	http_exchange_reply(ex, 499, NULL, BASE_STR_NONE);
	flow_free(f);
}

struct flow *flow_create(struct entry *entry, struct http_exchange *ex,
			 int64_t now)
{
	struct flow *f = base_alloc(sizeof(*f));

	f->id = ++entry->next_id;
	f->entry = entry;
	f->node = entry->node;
	f->ex = ex;
	f->started_at = now;
	f->cutoff = OVERLOAD_CUTOFF_NONE;
	f->token_expires_at = INT64_MAX;
	if (entry->node->snapshot)
		f->snapshot = config_snapshot_ref(entry->node->snapshot);
	HASH_ADD(hh, entry->flows, id, sizeof(f->id), f);
	f->timer = evtimer_new(entry->node->base, on_deadline, f);
	http_exchange_on_gone(ex, on_gone, f);
	return f;
}
