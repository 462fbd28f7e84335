/* Entry: authentication and admission of each request. */
#include "answer_check.h"
#include "drain.h"
#include "flow.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Larger bodies are bounded by account while memory is short. */
#define SMALL_BODY_BYTES (16U << 10)

/* With retry_after_us 0 the reply carries the default of the refusal. */
static void refuse_with_retry_after(struct flow *f, enum http_refusal refusal,
				    int64_t retry_after_us, const char *detail,
				    int64_t now)
{
	struct flow_refusal r = {
		.refusal = refusal,
		.not_run = true,
		.retry_after_us = retry_after_us,
		.detail = detail,
	};

	flow_refuse(f, &r, now);
}

static void refuse(struct flow *f, enum http_refusal refusal,
		   const char *detail, int64_t now)
{
	refuse_with_retry_after(f, refusal, 0, detail, now);
}

static struct base_str header(const struct flow *f, const char *name)
{
	if (!name)
		return BASE_STR_NONE;
	return http_headers_find(&f->ex->request.headers, base_str_from(name));
}

/*
 * Headers that the daemon sets itself, or whose value contains a credential,
 * are not forwarded.
 */
static bool is_reserved(const struct flow *f, const struct http_header *h)
{
	return dialect_is_reserved_header(f->node->dialect, h->name) ||
	       memmem(h->value.ptr, h->value.len, CONFIG_CREDENTIAL_PREFIX,
		      sizeof(CONFIG_CREDENTIAL_PREFIX) - 1) != NULL;
}

static void copy_request(struct flow *f)
{
	const struct http_request *r = &f->ex->request;
	size_t i;

	base_buf_add_str(&f->target, r->path);
	if (r->query.len) {
		base_buf_add(&f->target, "?", 1);
		base_buf_add_str(&f->target, r->query);
	}
	for (i = 0; i < r->headers.count; i++) {
		const struct http_header *h = &r->headers.items[i];

		if (!is_reserved(f, h) && !http_header_is_hop_by_hop(h->name) &&
		    !http_headers_has_connection_option(&r->headers, h->name))
			http_headers_add(&f->headers, h->name, h->value);
	}
	if (f->node->dialect->forwards_host)
		http_headers_add(&f->headers, BASE_STR("Host"),
				 header(f, "Host"));
	f->request_id = header(f, f->node->dialect->headers.request_id);
}

static void start_trace(struct flow *f)
{
	struct http_trace parent;

	if (f->onward) {
		parent = *guard_work_trace(f->parent);
		http_trace_child(&parent, &f->trace);
		memcpy(f->parent_span, parent.span_id, sizeof(f->parent_span));
	} else if (f->node->dialect->trace_context &&
		   http_trace_parse(header(f, "traceparent"), &parent)) {
		http_trace_child(&parent, &f->trace);
		memcpy(f->parent_span, parent.span_id, sizeof(f->parent_span));
	} else {
		http_trace_start(&f->trace);
	}
}

static bool set_deadline(struct flow *f)
{
	struct base_str text = header(f, f->node->dialect->headers.timeout_ms);
	int64_t us = f->route->timeout_us;
	int64_t ms;

	if (text.ptr) {
		if (!base_str_to_i64(text, &ms) || ms < 1)
			return false;
		if (ms < us / BASE_MS_US)
			us = ms * BASE_MS_US;
	}
	f->deadline = f->ex->received_at + us;
	if (f->parent && guard_work_deadline(f->parent) < f->deadline)
		f->deadline = guard_work_deadline(f->parent);
	return true;
}

static void start_deadline_timer(struct flow *f, int64_t now)
{
	int64_t us = f->deadline > now ? f->deadline - now : 1;
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(f->timer, &tv);
}

/*
 * Returns whether the request can be taken in a planned stop. How long its
 * backend server works cannot be estimated: one that works longer would be
 * broken off.
 *
 * A call of the local backend server belongs to a request that the guard has
 * accepted, and refusing it would fail that request. It gets the time that is
 * left.
 */
static bool can_await_answer(struct flow *f, int64_t now)
{
	const struct node *node = f->node;
	int64_t deadline = drain_limit_deadline(node, f->deadline, now);

	if (!deadline && f->onward && guard_open_work_count(node->guard))
		deadline = node->drain_deadline;
	if (deadline)
		f->deadline = deadline;
	return deadline != 0;
}

/*
 * Half of the memory is left for the answers of requests that were taken
 * already.
 */
static bool has_answer_memory(const struct node *node)
{
	return (int64_t)http_server_unsent_bytes(node->callers) <=
	       node->settings->answer_memory / 2;
}

/* Bytes of the bodies of all open requests of the same account. */
static size_t account_body_bytes(const struct flow *f)
{
	const struct flow *other, *next;
	size_t sum = 0;

	HASH_ITER (hh, f->entry->flows, other, next)
		if (other->ex && other->account &&
		    base_str_equal(other->account->name, f->account->name))
			sum += other->ex->request.body.len;
	return sum;
}

/*
 * While memory for requests is short, an account may have half of it in large
 * requests. The sum is not built for small requests.
 */
static bool has_account_share(const struct flow *f)
{
	size_t max = (size_t)f->node->settings->request_memory;

	return !f->account || f->ex->request.body.len <= SMALL_BODY_BYTES ||
	       http_request_budget_has_room(f->node->request_budget, max / 2) ||
	       account_body_bytes(f) <= max / 2;
}

/* All failures give the same reply, so that callers cannot probe for ids. */
static bool authenticate(struct flow *f)
{
	char id_buf[CONFIG_CREDENTIAL_ID_LEN + 1];
	struct base_str id, secret;
	const struct config_key *key;

	if (!f->node->dialect->parse_credential(header(f, "Authorization"),
						id_buf, &id, &secret))
		return false;
	key = config_snapshot_find_key(f->snapshot, id);
	if (!key || !config_credential_verify(key, secret) || key->withdrawn)
		return false;
	f->account = key->account;
	return true;
}

static bool check_idempotency_key(struct flow *f, int64_t now)
{
	struct base_str text = header(f, "Idempotency-Key");
	struct retry_key key;

	if (!f->node->dialect->idempotency_keys)
		return true;
	if (!text.ptr) {
		if (f->route->idempotent)
			return true;
		refuse(f, HTTP_REFUSAL_IDEMPOTENCY_KEY_REQUIRED,
		       "this route needs an Idempotency-Key header", now);
		return false;
	}
	if (!f->route->idempotent && !retry_key_parse(text, &key)) {
		refuse(f, HTTP_REFUSAL_IDEMPOTENCY_KEY_INVALID,
		       "Idempotency-Key is not a UUIDv7", now);
		return false;
	}
	if (text.len > PEER_NAME_MAX_BYTES) {
		refuse(f, HTTP_REFUSAL_IDEMPOTENCY_KEY_INVALID,
		       "Idempotency-Key is too long", now);
		return false;
	}
	base_buf_add_str(&f->idempotency_key, text);
	return true;
}

static bool check_request(struct flow *f, int64_t now)
{
	if (f->target.len > PEER_TEXT_MAX_BYTES ||
	    f->headers.count > PEER_LIST_MAX_ITEMS) {
		refuse(f, HTTP_REFUSAL_BAD_REQUEST,
		       "the path or the list of headers is too long", now);
		return false;
	}
	if ((int64_t)f->ex->request.body.len > f->route->max_body_bytes) {
		refuse(f, HTTP_REFUSAL_BODY_TOO_LARGE,
		       "the body is over the limit of the route", now);
		return false;
	}
	if (!set_deadline(f)) {
		refuse(f, HTTP_REFUSAL_BAD_REQUEST,
		       "the timeout of the request is not a positive number",
		       now);
		return false;
	}
	if (!has_answer_memory(f->node)) {
		refuse(f, HTTP_REFUSAL_OVERLOADED,
		       "too many answers have not been read", now);
		return false;
	}
	if (!has_account_share(f)) {
		node_counter_add(f->node, "refused_account_memory");
		refuse(f, HTTP_REFUSAL_OVERLOADED,
		       "the client account has too many large requests open",
		       now);
		return false;
	}
	if (!can_await_answer(f, now)) {
		refuse_with_retry_after(
			f, HTTP_REFUSAL_DRAINING, FLOW_RESTART_RETRY_AFTER_US,
			"the daemon stops before the deadline of the request",
			now);
		return false;
	}
	start_deadline_timer(f, now);
	return check_idempotency_key(f, now);
}

/* Draws one of the services that share the route, by weight. */
static const struct config_service *choose_service(struct flow *f)
{
	const struct config_route *route = f->route;
	int64_t total = 0;
	int64_t drawn;
	size_t i;

	for (i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	if (total <= 0)
		return route->service;
	drawn = (int64_t)base_rand_below(&f->node->rnd, (uint32_t)total);
	for (i = 0; drawn >= route->splits[i].weight; i++)
		drawn -= route->splits[i].weight;
	return route->splits[i].service;
}

static struct base_str host_without_port(const struct flow *f)
{
	struct base_str host = header(f, "Host");
	const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.ptr);
	return host;
}

static bool match_route(struct flow *f, int64_t now)
{
	const struct http_request *r = &f->ex->request;

	if (!f->snapshot || !membership_ready(f->node->membership)) {
		refuse(f, HTTP_REFUSAL_NOT_READY,
		       "no configuration is in force yet", now);
		return false;
	}
	f->route = config_snapshot_match_route(
		f->snapshot, host_without_port(f), r->method, r->path);
	if (f->route) {
		f->service = choose_service(f);
		f->priority = f->route->priority;
		return true;
	}
	refuse(f, HTTP_REFUSAL_NO_ROUTE, "no route has this method and path",
	       now);
	return false;
}

static void admit_by_throttle(struct flow *f, int64_t now)
{
	struct overload_request request = flow_overload_request(f);
	struct flow_refusal refusal = {
		.refusal = HTTP_REFUSAL_OVERLOADED,
		.not_run = true,
		.detail = "a service of this route is overloaded",
	};

	if (!f->onward && f->snapshot == f->node->snapshot &&
	    !overload_throttle_admit(f->node->throttle, &request, now,
				     &refusal.retry_after_us)) {
		node_counter_add(f->node, "refused_early");
		flow_refuse(f, &refusal, now);
		return;
	}
	if (!flow_graph_admit(f, now))
		return;
	if (!f->onward && f->node->dialect->headers.call_token)
		f->attempt = retry_initial_attempt(&f->node->budget, now);
	flow_route(f, now);
}

static void apply_rate(struct flow *f, const struct rate_decision *decision,
		       int64_t now)
{
	struct flow_refusal refusal = {
		.refusal = HTTP_REFUSAL_RATE_LIMITED,
		.not_run = true,
		.retry_after_us = decision->retry_after_us,
		.detail = "the client account is beyond its rate",
	};

	switch (decision->result) {
	case RATE_ADMITTED:
		if (!rate_decision_valid(decision, base_now_us())) {
			flow_refuse(f, &refusal, now);
			return;
		}
		f->rate_tokens_expire_at = decision->token_expires_at;
		admit_by_throttle(f, now);
		return;
	case RATE_WAITING:
		f->state = FLOW_RATE_WAITING;
		return;
	case RATE_REFUSED:
	case RATE_UNKNOWN_ACCOUNT:
		flow_refuse(f, &refusal, now);
		return;
	}
}

static void admit_by_rate(struct flow *f, int64_t now)
{
	struct rate_limiter *link = f->node->rate_limiter;
	struct rate_decision decision;

	if (f->onward || !f->account) {
		admit_by_throttle(f, now);
		return;
	}
	decision = rate_limiter_admit(link, f->account, f->id, now);
	apply_rate(f, &decision, now);
	rate_limiter_flush(link, now);
}

static void claim_idempotency_key(struct flow *f, int64_t now)
{
	const struct http_request *r = &f->ex->request;
	struct base_str parts[] = { r->method, base_buf_str(&f->target),
				    r->body };
	struct claims_request request = {
		.request = f->id,
		.account = f->account ? f->account->name : BASE_STR_NONE,
		.key = base_buf_str(&f->idempotency_key),
		.deadline = f->deadline,
	};

	if (f->route->idempotent || !f->idempotency_key.len) {
		admit_by_rate(f, now);
		return;
	}
	request.fingerprint = retry_fingerprint(parts, BASE_ARRAY_SIZE(parts));
	f->state = FLOW_CLAIM_WAITING;
	claims_submit(f->node->claims, &request, now);
}

void entry_on_caller_request(struct entry *entry, struct http_exchange *ex)
{
	int64_t now = base_now_us();
	struct flow *f = flow_create(entry, ex, now);

	node_detect_pause(entry->node, now);
	node_counter_add(entry->node, "requests");
	start_trace(f);
	copy_request(f);
	if (!match_route(f, now))
		return;
	if (!f->route->open && !authenticate(f)) {
		refuse(f, HTTP_REFUSAL_UNAUTHENTICATED,
		       "no key, or one that is not in force", now);
		return;
	}
	if (f->account && f->account->priority)
		f->priority = f->account->priority;
	/*
	 * Without call tokens, onward calls arrive here, on open routes and
	 * without a key.
	 */
	if (!f->node->dialect->headers.call_token && !f->account) {
		f->onward = true;
		f->counted_onward = true;
		guard_count_onward_call(f->node->guard, 1, now);
	}
	if (f->account && f->account->cancelled) {
		refuse(f, HTTP_REFUSAL_FORBIDDEN,
		       "the client account is cancelled", now);
		return;
	}
	if (check_request(f, now))
		claim_idempotency_key(f, now);
}

static void on_parent_work_end(void *ctx, const struct guard_work *work)
{
	struct entry *entry = ctx;
	struct flow *f, *next;

	HASH_ITER (hh, entry->flows, f, next)
		if (f->parent == work)
			f->parent = NULL;
}

void entry_on_onward_call(struct entry *entry, struct http_exchange *ex,
			  struct guard_work *parent)
{
	int64_t now = base_now_us();
	const struct peer_context *context = guard_work_context(parent);
	struct flow *f = flow_create(entry, ex, now);

	node_detect_pause(entry->node, now);
	node_counter_add(entry->node, "onward_calls");
	f->onward = true;
	f->parent = parent;
	f->depth = context->depth + 1;
	f->attempt = context->attempt;
	guard_work_onward_started(parent, now);
	guard_work_set_end_cb(parent, on_parent_work_end, entry);
	start_trace(f);
	copy_request(f);
	if (!match_route(f, now))
		return;
	if (!context->open)
		f->account = config_snapshot_find_account(f->snapshot,
							  context->account);
	if (!f->account && !f->route->open) {
		refuse(f, HTTP_REFUSAL_FORBIDDEN,
		       "this route requires a client account", now);
		return;
	}
	if (check_request(f, now))
		claim_idempotency_key(f, now);
}

static struct flow *find_flow(struct entry *entry, uint64_t id,
			      enum flow_state state)
{
	struct flow *f;

	HASH_FIND(hh, entry->flows, &id, sizeof(id), f);
	return f && f->state == state ? f : NULL;
}

void entry_on_rate_decision(struct entry *entry, uint64_t request,
			    const struct rate_decision *decision)
{
	struct flow *f = find_flow(entry, request, FLOW_RATE_WAITING);

	if (f)
		apply_rate(f, decision, base_now_us());
}

static void replay_stored_answer(struct flow *f,
				 const struct peer_stored_answer *stored,
				 int64_t now)
{
	struct peer_answer answer = {
		.status = stored->status,
		.outcome = PEER_OUTCOME_RAN,
		.headers = stored->headers,
		.body = stored->body,
	};
	struct flow_refusal not_stored = {
		.refusal = HTTP_REFUSAL_ANSWER_TOO_LARGE,
		.detail = "the request has run, but its answer was too large "
			  "to be stored",
	};
	struct flow_refusal invalid = {
		.refusal = HTTP_REFUSAL_CONNECTION_LOST,
		.detail = "the request has run, but its stored answer is not "
			  "valid",
	};

	node_counter_add(f->node, "answers_replayed");
	if (!stored->status) {
		flow_refuse(f, &not_stored, now);
	} else if (answer_is_response(stored->status, &stored->headers)) {
		flow_answer(f, &answer, now);
	} else {
		flow_log_invalid_answer(f, stored->status);
		flow_refuse(f, &invalid, now);
	}
}

static void refuse_claim(struct flow *f, enum peer_claim_result result,
			 int64_t now)
{
	struct flow_refusal r = {
		.refusal = HTTP_REFUSAL_OWNER_UNREACHABLE,
		.not_run = true,
		.detail = "the owner of the idempotency key cannot decide now",
	};

	if (result == PEER_CLAIM_RUNNING) {
		r.refusal = HTTP_REFUSAL_IN_PROGRESS;
		r.not_run = false;
		r.detail = "a request with this key was sent before and its "
			   "end is not known";
	} else if (result == PEER_CLAIM_TOO_OLD) {
		r.refusal = HTTP_REFUSAL_KEY_TOO_OLD;
		r.not_run = false;
		r.detail = "the key is older than the records of its owner";
	} else if (result == PEER_CLAIM_MISMATCH) {
		r.refusal = HTTP_REFUSAL_IDEMPOTENCY_MISMATCH;
		r.detail = "the key was used for another request";
	} else if (result == PEER_CLAIM_TOO_NEW) {
		r.refusal = HTTP_REFUSAL_IDEMPOTENCY_KEY_INVALID;
		r.detail = "the creation time of the key is in the future";
	} else if (result == PEER_CLAIM_FULL) {
		r.refusal = HTTP_REFUSAL_OVERLOADED;
		r.detail = "the owner of the key holds too many keys";
	}
	flow_refuse(f, &r, now);
}

void entry_on_claim_answer(struct entry *entry, uint64_t request,
			   const struct peer_claim_answer *answer)
{
	struct flow *f = find_flow(entry, request, FLOW_CLAIM_WAITING);
	int64_t now = base_now_us();

	if (!f)
		return;
	f->state = FLOW_RATE_WAITING;
	if (!answer) {
		refuse(f, HTTP_REFUSAL_OWNER_UNREACHABLE,
		       "the owner of the idempotency key is out of reach", now);
	} else if (answer->result == PEER_CLAIM_NEW) {
		f->claimed = true;
		f->claim_id = answer->claim_id;
		admit_by_rate(f, now);
	} else if (answer->result == PEER_CLAIM_DONE) {
		replay_stored_answer(f, &answer->stored, now);
	} else {
		refuse_claim(f, answer->result, now);
	}
}

struct entry *entry_create(struct node *node)
{
	struct entry *entry = base_alloc(sizeof(*entry));

	entry->node = node;
	return entry;
}

void entry_destroy(struct entry *entry)
{
	struct entry_retry_budgets *b, *next;

	if (!entry)
		return;
	entry_abort(entry, base_now_us());
	HASH_ITER (hh, entry->budgets, b, next) {
		HASH_DEL(entry->budgets, b);
		free(b);
	}
	free(entry);
}
