/* Builds the request that is sent to the backend server. */
#include "guard_work.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void guard_work_split_target(struct base_str target,
			     struct http_request *request)
{
	const char *mark =
		target.len ? memchr(target.ptr, '?', target.len) : NULL;

	request->path = target;
	if (!mark)
		return;
	request->path.len = (size_t)(mark - target.ptr);
	request->query.ptr = mark + 1;
	request->query.len = target.len - request->path.len - 1;
}

/*
 * Skips headers that the dialect does not have, and empty values. The list is
 * used while the work item exists, so the value is not copied.
 */
static void add_header(struct http_headers *headers, const char *name,
		       struct base_str value)
{
	if (name && value.len)
		http_headers_add_view(headers, base_str_from(name), value);
}

void guard_work_add_headers(struct guard_work *w, struct http_headers *headers,
			    int64_t now)
{
	const struct daemon_dialect *dialect = w->guard->node->dialect;
	const struct dialect_headers *names = &dialect->headers;
	const struct peer_context *c = &w->request.context;
	char traceparent[HTTP_TRACEPARENT_LEN + 1];

	snprintf(w->remaining_ms, sizeof(w->remaining_ms), "%" PRId64,
		 (w->deadline - now) / 1000);
	if (dialect->trace_context) {
		http_trace_format(&w->trace, traceparent);
		http_headers_add(headers, BASE_STR("traceparent"),
				 base_str_from(traceparent));
	}
	add_header(headers, names->call_token, base_str_from(w->token));
	add_header(headers, names->timeout_ms, base_str_from(w->remaining_ms));
	add_header(headers, names->account, c->account);
	add_header(headers, names->caller_service, c->caller_service);
	add_header(headers, names->expect_instance,
		   base_buf_str(&w->guard->instance));
	if (c->idempotency_key.len)
		http_headers_add_view(headers, BASE_STR("Idempotency-Key"),
				      c->idempotency_key);
}
