/* HTTP interface for the onward calls of the local backend server. */
#include "onward.h"
#include "entry.h"
#include "request_memory.h"

#define MAX_HEADER_BYTES (64 << 10)
#define IDLE_TIMEOUT_US (120 * BASE_SECOND_US)

struct onward {
	struct node *node;
	struct http_server *server;
};

static void refuse(struct http_exchange *ex)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct http_refusal_details details = {
		.refusal = HTTP_REFUSAL_FORBIDDEN,
		.not_run = true,
		.detail = BASE_STR("Bilberryhinge-Call does not name a running "
				   "request of this backend server"),
	};

	http_refusal_build(&details, &headers, &body);
	http_exchange_reply(ex, http_refusal_default_status(details.refusal),
			    &headers, base_buf_str(&body));
}

static void on_request(void *ctx, struct http_exchange *ex)
{
	struct onward *o = ctx;
	struct base_str token = http_headers_find(
		&ex->request.headers, BASE_STR("Bilberryhinge-Call"));
	struct guard_work *work =
		guard_find_work_by_token(o->node->guard, token);

	if (work) {
		entry_on_onward_call(o->node->entry, ex, work);
		return;
	}
	node_counter_add(o->node, "onward_refused");
	refuse(ex);
}

static void on_invalid_response(void *ctx, int status)
{
	struct onward *o = ctx;

	node_log_invalid_response(o->node, status);
}

struct onward *onward_create(struct node *node, struct base_error *err)
{
	struct onward *o = base_alloc(sizeof(*o));
	struct http_server_settings settings = {
		.listen = base_str_from(node->settings->onward_listen),
		.max_body = (size_t)node->settings->max_body,
		.max_head_bytes = MAX_HEADER_BYTES,
		.max_connections = request_memory_max_connections(node),
		.budget = node->request_budget,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.handler = on_request,
		.on_invalid_response = on_invalid_response,
		.ctx = o,
	};

	o->node = node;
	if (http_server_create(node->base, &settings, &o->server, err)) {
		free(o);
		return NULL;
	}
	return o;
}

void onward_destroy(struct onward *onward)
{
	if (!onward)
		return;
	http_server_destroy(onward->server);
	free(onward);
}

const char *onward_address(const struct onward *onward)
{
	return http_server_address(onward->server);
}
