/* Routing, retries and the end of one request at the entry. */
#include "flow.h"
#include "answer_check.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * Larger answers are not stored for replay to requests with the same
 * idempotency key; see the design page.
 */
#define STORED_ANSWER_MAX_BYTES 16384
/*
 * Retry-After when the rate tokens expired while a link was opened. The link is
 * up by then, so a short wait is enough.
 */
#define EXPIRED_TOKENS_RETRY_AFTER_MS 100

static void release_headers(struct flow *f)
{
	http_headers_release(&f->headers);
	base_buf_release(&f->target);
	base_buf_release(&f->idempotency_key);
}

static void flow_free(struct flow *f)
{
	flow_clear_message_id(f);
	if (f->counted_onward)
		guard_count_onward_call(f->node->guard, -1, base_now_us());
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
		spans_set_text(span.route, sizeof(span.route), f->route->name);
	if (f->account)
		spans_set_text(span.account, sizeof(span.account),
			       f->account->name);
	spans_set_text(span.decision, sizeof(span.decision),
		       base_str_from(decision));
	if (f->try_count)
		spans_set_text(span.served_by, sizeof(span.served_by),
			       roster_vm_name(f->node->roster, f->server));
	spans_add(f->node->spans, &span);
}

static struct base_str account_name(const struct flow *f)
{
	return f->account ? f->account->name : BASE_STR_NONE;
}

/*
 * Releases the claim when the request has not run and completes it when it has.
 * When the outcome is unknown, the owner keeps the key as "running".
 */
static void end_claim(struct flow *f, const struct peer_answer *answer,
		      bool not_run, int64_t now)
{
	struct peer_stored_answer stored = { 0 };

	if (f->state == FLOW_CLAIM_WAITING)
		claims_cancel(f->node->claims, f->id, now);
	if (!f->claimed)
		return;
	f->claimed = false;
	if (not_run) {
		claims_release(f->node->claims, account_name(f),
			       base_buf_str(&f->idempotency_key), f->claim_id,
			       now);
	} else if (answer && answer->outcome == PEER_OUTCOME_RAN) {
		stored.status = answer->status;
		if (answer->body.len <= STORED_ANSWER_MAX_BYTES) {
			stored.headers = answer->headers;
			stored.body = answer->body;
		} else {
			stored.status = 0;
		}
		claims_complete(f->node->claims, account_name(f),
				base_buf_str(&f->idempotency_key), f->claim_id,
				&stored, now);
	} else {
		claims_abandon(f->node->claims,
			       base_buf_str(&f->idempotency_key), f->claim_id);
	}
}

static void end_parent(struct flow *f, int64_t now)
{
	if (f->onward && f->parent)
		guard_work_onward_ended(f->parent, f->cutoff, f->retried, now);
	f->parent = NULL;
}

void flow_clear_message_id(struct flow *f)
{
	if (!f->message_id)
		return;
	HASH_DELETE(hh_message_id, f->entry->flows_by_message_id, f);
	f->message_id = 0;
	membership_request_ended(f->node->membership, f->link);
	f->link = NULL;
}

/* The routing table may have another server by now for the VM of the try. */
static bool is_on_retired_link(const struct flow *f)
{
	return f->link &&
	       membership_is_link_retired(f->node->membership, f->link);
}

/*
 * Cancels the current try at its guard. The VM may have been removed meanwhile,
 * or have another link: the guard knows the request by the link on which it
 * came.
 */
static void cancel_try(struct flow *f, int64_t now)
{
	struct peer_message msg = { .type = PEER_CANCEL, .id = f->message_id };

	if (f->state != FLOW_SENT)
		return;
	if (!is_on_retired_link(f))
		routing_abandoned(f->node->routing, f->server);
	if (f->local_work) {
		guard_cancel(f->node->guard, f->local_work, now);
		f->local_work = NULL;
	} else if (f->message_id) {
		peer_transport_send(f->node->transport, f->link, &msg);
	}
	flow_clear_message_id(f);
}

static void count_refusal(struct flow *f, enum http_refusal refusal)
{
	char name[64];

	snprintf(name, sizeof(name), "refusals{reason=\"%s\"}",
		 http_refusal_name(refusal));
	node_counter_add(f->node, name);
}

/*
 * Retry-After for a request that has not run or whose key is in use; 0 for
 * others, which gain nothing by trying again. Jitter spreads the retries of
 * callers that were refused together.
 */
static int64_t
default_retry_after_us(struct flow *f,
		       const struct http_refusal_details *details)
{
	int64_t ms = http_refusal_retry_after_us(details->refusal) / BASE_MS_US;

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
		.status_implies_not_run =
			f->node->dialect->status_implies_not_run,
		.detail = base_str_from(refusal->detail),
	};
	int code;

	if (f->may_have_run)
		details.not_run = false;
	if (!details.retry_after_us)
		details.retry_after_us = default_retry_after_us(f, &details);
	code = http_refusal_status(&details);
	count_refusal(f, refusal->refusal);
	flow_graph_on_refusal(f, refusal->refusal, now);
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

static void refuse_with(struct flow *f, enum http_refusal refusal, bool not_run,
			int64_t retry_after_us, const char *detail, int64_t now)
{
	struct flow_refusal r = { refusal, not_run, retry_after_us, detail };

	flow_refuse(f, &r, now);
}

/*
 * Slow callers may hold so many answers that another one would exceed the
 * memory of the daemon, and with it the requests of all callers.
 */
static bool has_room(const struct flow *f, const struct peer_answer *answer)
{
	return (int64_t)(http_server_unsent_bytes(f->node->callers) +
			 answer->body.len) <= f->node->settings->answer_memory;
}

void flow_answer(struct flow *f, const struct peer_answer *answer, int64_t now)
{
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct base_str vm = roster_vm_name(f->node->roster, f->server);
	size_t i;

	if (f->ex && !has_room(f, answer)) {
		refuse_with(f, HTTP_REFUSAL_ANSWER_TOO_LARGE, false, 0,
			    "other answers have not been read, so there is no "
			    "room for this one",
			    now);
		return;
	}
	flow_graph_on_answer(f, answer->status, now);
	record_span(f, (int)answer->status, "answered", now);
	flow_log_end(f, "request_answered", (int)answer->status,
		     answer->status < 500, now);
	end_claim(f, answer, false, now);
	end_parent(f, now);
	for (i = 0; i < answer->headers.count; i++)
		http_headers_add_view(&headers, answer->headers.items[i].name,
				      answer->headers.items[i].value);
	if (f->try_count && f->node->dialect->headers.served_by)
		http_headers_add(
			&headers,
			base_str_from(f->node->dialect->headers.served_by), vm);
	node_counter_add(f->node, "answers");
	if (f->ex)
		http_exchange_reply(f->ex, (int)answer->status, &headers,
				    answer->body);
	flow_free(f);
}

/* Relays the refusal of the last guard that was tried. */
static void refuse_with_answer(struct flow *f, const struct peer_answer *answer,
			       int64_t now)
{
	enum http_refusal refusal = HTTP_REFUSAL_CONNECTION_LOST;
	bool not_run = answer->outcome == PEER_OUTCOME_NOT_RUN;

	http_refusal_parse(answer->reason, &refusal);
	refuse_with(f, refusal, not_run,
		    (int64_t)answer->retry_after_ms * BASE_MS_US,
		    not_run ? "the request was not started"
			    : "the request may have run",
		    now);
}

static void record_cutoffs(struct flow *f, const struct peer_answer *answer,
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

/*
 * A guard whose backend server is down counts as a failure in routing; a
 * refusal for overload does not.
 */
static void record_server_report(struct flow *f,
				 const struct peer_answer *answer, int64_t now)
{
	struct routing_load_report report = {
		.load = answer->load,
		.limit = answer->limit,
		.draining = answer->draining,
		.cold_full = answer->cold_full,
		.stopping = answer->stopping,
		.service_us = answer->service_us,
		.success_permille = answer->success_permille,
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

/*
 * Time within which an answer has its full value: the target of the route, at
 * most its timeout.
 */
static int64_t route_latency_target_us(const struct config_route *route)
{
	if (route->target_latency_us &&
	    route->target_latency_us < route->timeout_us)
		return route->target_latency_us;
	return route->timeout_us;
}

static void record_latency(struct flow *f, int64_t latency_us, int64_t now)
{
	routing_record_latency(f->node->routing, f->server,
			       roster_name_hash(f->route->name), latency_us,
			       now);
}

/*
 * Tries that have not run are left out: a refusal for overload is fast, which
 * says nothing about the server. A failed try counts as at least the latency
 * target.
 */
static void record_try_latency(struct flow *f, const struct peer_answer *answer,
			       bool ok, int64_t now)
{
	int64_t min_us = route_latency_target_us(f->route);
	int64_t latency_us = now - f->sent_at;

	if (answer->outcome == PEER_OUTCOME_NOT_RUN)
		return;
	if (!ok && latency_us < min_us)
		latency_us = min_us;
	record_latency(f, latency_us, now);
}

/* Used in place of the answer of a try that ended without one. */
static const struct peer_answer lost_answer = {
	.status = 502,
	.outcome = PEER_OUTCOME_UNKNOWN,
	.reason = { "connection_lost", sizeof("connection_lost") - 1 },
};

static void end_try(struct flow *f, const struct peer_answer *answer,
		    int64_t now)
{
	bool ok = answer->outcome == PEER_OUTCOME_RAN && answer->status < 500;
	bool ran = answer->outcome == PEER_OUTCOME_RAN;
	bool in_use = !is_on_retired_link(f);

	flow_clear_message_id(f);
	f->local_work = NULL;
	if (in_use) {
		record_server_report(f, answer, now);
		record_try_latency(f, answer, ok, now);
	}
	record_cutoffs(f, answer, now);
	f->retried = f->retried || answer->retried;
	if (ok)
		flow_record_success(f, now);
	if (f->node->dialect->headers.call_token && !f->onward && !f->attempt &&
	    answer->retried)
		retry_budget_charge(&f->node->budget, now);
	if (!ok && flow_decide_retry(f, answer, now))
		flow_route(f, now);
	else if (ran)
		flow_answer(f, answer, now);
	else
		refuse_with_answer(f, answer, now);
}

void flow_on_try_lost(struct flow *f, int64_t now)
{
	end_try(f, &lost_answer, now);
}

void flow_on_answer(struct flow *f, const struct peer_answer *answer,
		    int64_t now)
{
	if (answer_is_response(answer->status, &answer->headers)) {
		end_try(f, answer, now);
		return;
	}
	flow_log_invalid_answer(f, answer->status);
	flow_on_try_lost(f, now);
}

void flow_on_vm_silent(struct flow *f, int64_t now)
{
	if (f->state != FLOW_SENT ||
	    !routing_has_other_usable(f->node->routing, flow_service_id(f),
				      f->server, now) ||
	    !flow_decide_resend(f, now))
		return;
	flow_log_failed_try(f, &lost_answer, "resend");
	cancel_try(f, now);
	flow_route(f, now);
}

static void on_local_answer(void *ctx, const struct peer_answer *answer)
{
	struct flow *f = ctx;

	f->local_work = NULL;
	flow_on_answer(f, answer, base_now_us());
}

/*
 * The guard's deadline is this much earlier than the entry's, so that its
 * answer, which says whether the request has run, arrives in time. Only needed
 * in dialects whose status promises that a request has not run. At most half of
 * the time left is given up.
 */
#define GUARD_MARGIN_US (20 * BASE_MS_US)

static int64_t guard_remaining_us(const struct flow *f, int64_t now)
{
	int64_t left = f->deadline - now;

	if (!f->node->dialect->status_implies_not_run)
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
			.idempotency_key = base_buf_str(&f->idempotency_key),
			.traceparent = base_str_from(traceparent),
			.remaining_us = guard_remaining_us(f, now),
			.depth = f->depth,
			.open = f->route->open,
			.service = f->service->name,
			.caller_service =
				base_str_from(f->node->settings->service),
			.idempotent = f->route->idempotent,
		},
	};
}

/* Routes or refuses a request that was not sent to the VM that was picked. */
static void route_unsent(struct flow *f, int64_t now)
{
	struct peer_answer answer = {
		.status = 503,
		.outcome = PEER_OUTCOME_NOT_RUN,
		.reason = BASE_STR("no_server"),
	};

	if (flow_decide_retry(f, &answer, now))
		flow_route(f, now);
	else
		refuse_with_answer(f, &answer, now);
}

static void on_send_failed(struct flow *f, int64_t now)
{
	routing_failed(f->node->routing, f->server, ROUTING_SEND_FAILED, now);
	route_unsent(f, now);
}

static void send_remote(struct flow *f, const struct config_vm *vm,
			const struct peer_request *request, int64_t now)
{
	struct peer_link *link = node_get_link(f->node, vm);
	struct peer_message msg = { .type = PEER_REQUEST, .request = *request };

	if (link && membership_is_connecting(f->node->membership, link, now)) {
		f->state = FLOW_LINK_WAITING;
		return;
	}
	msg.id = ++f->entry->next_id;
	if (!link || peer_transport_send(f->node->transport, link, &msg)) {
		on_send_failed(f, now);
		return;
	}
	membership_request_sent(f->node->membership, link, now);
	f->link = link;
	f->message_id = msg.id;
	HASH_ADD(hh_message_id, f->entry->flows_by_message_id, message_id,
		 sizeof(f->message_id), f);
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
	/* The flow may have been freed during the call. */
	HASH_FIND(hh, entry->flows, &id, sizeof(id), f);
	if (f && work)
		f->local_work = work;
}

/* The VM may have been taken out of use while its link was opened. */
static bool may_send(const struct flow *f, int64_t now)
{
	return routing_may_send(f->node->routing, f->server, flow_service_id(f),
				now);
}

void flow_on_link(struct flow *f, bool up, int64_t now)
{
	const struct config_vm *vm = roster_vm(f->node->roster, f->server);

	f->state = FLOW_LINK_WAITING;
	if (now > f->rate_tokens_expire_at) {
		refuse_with(f, HTTP_REFUSAL_RATE_LIMITED, true,
			    retry_after_ms(&f->node->rnd,
					   EXPIRED_TOKENS_RETRY_AFTER_MS) *
				    BASE_MS_US,
			    "the rate tokens expired while a link was opened",
			    now);
		return;
	}
	if (!vm || !may_send(f, now))
		route_unsent(f, now);
	else if (up)
		send_to(f, vm, now);
	else
		on_send_failed(f, now);
}

static enum http_refusal refusal_from_reason(enum routing_reason reason)
{
	return reason == ROUTING_ALL_COLD ? HTTP_REFUSAL_OVERLOADED
					  : HTTP_REFUSAL_NO_SERVER;
}

uint32_t flow_service_id(const struct flow *f)
{
	return roster_service_id(f->node->roster, f->service->name);
}

struct overload_request flow_overload_request(const struct flow *f)
{
	return (struct overload_request){
		.route = (uint32_t)f->route->index,
		.level = (uint8_t)f->priority->level,
		.idempotent = f->route->idempotent,
		.account =
			f->account ? (uint32_t)f->account->index : UINT32_MAX,
		.weight = f->account ? (uint32_t)f->account->weight : 1,
	};
}

int64_t flow_expected_latency_us(const struct flow *f)
{
	return routing_fastest_latency_us(f->node->routing, flow_service_id(f),
					  roster_name_hash(f->route->name));
}

void flow_route(struct flow *f, int64_t now)
{
	struct node *node = f->node;
	const struct config_vm *vm;
	struct routing_query query = {
		.service = flow_service_id(f),
		.excluded = f->tried_servers,
		.excluded_len = f->try_count,
		.avoid_trial = !f->route->idempotent,
		.route = roster_name_hash(f->route->name),
		.latency_target_us = route_latency_target_us(f->route),
	};
	enum routing_reason reason;

	if (now >= f->deadline) {
		refuse_with(f, HTTP_REFUSAL_DEADLINE, true, 0,
			    "the deadline passed before the request was sent",
			    now);
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
		refuse_with(f, refusal_from_reason(reason), true, 0,
			    routing_reason_str(reason), now);
		return;
	}
	f->tried_servers[f->try_count++] = f->server;
	flow_log_sent(f, vm);
	send_to(f, vm, now);
}

static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	struct flow *f = arg;
	int64_t now = base_now_us();
	bool not_run = f->state != FLOW_SENT;

	if (f->state == FLOW_RATE_WAITING)
		rate_limiter_cancel(f->node->rate_limiter, f->account, f->id);
	if (!not_run && !is_on_retired_link(f))
		record_latency(f, now - f->sent_at, now);
	cancel_try(f, now);
	refuse_with(f, HTTP_REFUSAL_DEADLINE, not_run, 0,
		    not_run ? "the deadline passed before the request was sent"
			    : "the deadline passed; the request may be running",
		    now);
}

void flow_abort(struct flow *f, int64_t now)
{
	bool not_run = f->state != FLOW_SENT;

	if (f->state == FLOW_RATE_WAITING)
		rate_limiter_cancel(f->node->rate_limiter, f->account, f->id);
	cancel_try(f, now);
	refuse_with(f, HTTP_REFUSAL_DRAINING, not_run,
		    FLOW_RESTART_RETRY_AFTER_US, "the daemon is stopping", now);
}

/*
 * A non-idempotent request that holds a claim and was sent must run to its end,
 * so it continues without its caller. All others are cancelled.
 */
static void on_caller_gone(void *ctx, struct http_exchange *ex)
{
	struct flow *f = ctx;
	int64_t now = base_now_us();
	bool not_run = f->state != FLOW_SENT;

	node_counter_add(f->node, "callers_gone");
	flow_graph_on_caller_gone(f, now);
	if (!not_run && f->claimed) {
		f->ex = NULL;
		/* It points into the exchange, which is freed here. */
		f->request_id = BASE_STR_NONE;
		http_exchange_reply(ex, 499, NULL, BASE_STR_NONE);
		return;
	}
	if (f->state == FLOW_RATE_WAITING)
		rate_limiter_cancel(f->node->rate_limiter, f->account, f->id);
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
	f->rate_tokens_expire_at = INT64_MAX;
	if (entry->node->snapshot)
		f->snapshot = config_snapshot_ref(entry->node->snapshot);
	HASH_ADD(hh, entry->flows, id, sizeof(f->id), f);
	f->timer = evtimer_new(entry->node->base, on_deadline, f);
	http_exchange_set_disconnect_cb(ex, on_caller_gone, f);
	return f;
}
