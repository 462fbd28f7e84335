/* HTTP client over libevent's bufferevents: calls. */
#include "client_linger.h"
#include "client_memory.h"
#include "client_pool.h"
#include "client_receive.h"
#include "output.h"

#include <stdio.h>
#include <string.h>

static void call_free(struct http_call *call)
{
	TAILQ_REMOVE(&call->client->calls, call, link);
	if (call->timer)
		event_free(call->timer);
	base_buf_release(&call->expected_echo);
	free(call);
}

/* Detaches the connection from its call and closes it. */
static void close_call_connection(struct http_call *call,
				  enum http_close_cause cause)
{
	struct connection *c = call->connection;

	call->connection = NULL;
	c->call = NULL;
	client_close_connection(c, cause);
}

void client_finish_call(struct http_call *call, enum http_result result,
			const struct http_response *response)
{
	http_call_cb cb = call->cb;
	void *ctx = call->ctx;

	call_free(call);
	cb(ctx, result, response);
}

void client_fail_call(struct http_call *call, enum http_result result,
		      enum http_close_cause cause)
{
	close_call_connection(call, cause);
	client_finish_call(call, result, NULL);
}

static void on_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct http_call *call = arg;
	int64_t now = base_now_us();

	if (!call->connection->connected) {
		connect_limit_failed(&call->client->connect_limit, now);
		client_fail_call(call, HTTP_RESULT_NOT_SENT,
				 HTTP_CLOSE_CONNECT_FAILED);
	} else if (client_may_linger(call, now)) {
		client_start_linger(call);
		call->cb(call->ctx, HTTP_RESULT_OVERDUE, NULL);
	} else {
		client_fail_call(call, HTTP_RESULT_TIMED_OUT,
				 HTTP_CLOSE_TIMED_OUT);
	}
}

void http_call_cancel(struct http_call *call)
{
	struct connection *c = call->connection;

	/* Nothing was sent, and the connection can carry another request. */
	if (!c->connected) {
		call->connection = NULL;
		client_release_unused(c, base_now_us());
	} else {
		close_call_connection(call, HTTP_CLOSE_CANCELLED);
	}
	call_free(call);
}

static bool is_supported_method(struct base_str method)
{
	static const char *const names[] = { "GET",    "POST",	"PUT",
					     "DELETE", "PATCH", "HEAD",
					     "OPTIONS" };
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(names); i++)
		if (base_str_equal(method, base_str_from(names[i])))
			return true;
	return false;
}

static bool may_omit_content_length(struct base_str method)
{
	return base_str_equal(method, BASE_STR("GET")) ||
	       base_str_equal(method, BASE_STR("HEAD")) ||
	       base_str_equal(method, BASE_STR("DELETE")) ||
	       base_str_equal(method, BASE_STR("OPTIONS"));
}

static void write_request(const struct http_client *client,
			  struct evbuffer *out,
			  const struct http_request *request)
{
	struct base_str host =
		http_headers_find(&request->headers, BASE_STR("Host"));
	size_t i;

	if (!host.len)
		host = base_str_from(client->host);
	evbuffer_add_printf(out, "%.*s %.*s", BASE_STR_ARG(request->method),
			    BASE_STR_ARG(request->path));
	if (request->query.len)
		evbuffer_add_printf(out, "?%.*s", BASE_STR_ARG(request->query));
	evbuffer_add(out, " HTTP/1.1\r\n", 11);
	http_output_add_header(out,
			       &(struct http_header){ BASE_STR("Host"), host });
	for (i = 0; i < request->headers.count; i++) {
		const struct http_header *h = &request->headers.items[i];

		if (!http_header_is_hop_by_hop(h->name))
			http_output_add_header(out, h);
	}
	if (request->body.len || !may_omit_content_length(request->method))
		http_output_add_length(out, request->body.len);
	evbuffer_add(out, "\r\n", 2);
	evbuffer_add(out, request->body.ptr, request->body.len);
}

static void start_timer(struct http_call *call, int64_t timeout_us)
{
	struct timeval tv = { .tv_sec = timeout_us / BASE_SECOND_US,
			      .tv_usec = timeout_us % BASE_SECOND_US };

	if (timeout_us <= 0)
		return;
	call->timer = evtimer_new(call->client->base, on_timeout, call);
	evtimer_add(call->timer, &tv);
}

struct http_call *http_client_send(struct http_client *client,
				   const struct http_request *request,
				   int64_t timeout_us, http_call_cb cb,
				   void *ctx)
{
	struct base_str id = BASE_STR_NONE;
	int64_t now = base_now_us();
	struct http_call *call;
	struct connection *c;
	struct evbuffer *out;

	if (!is_supported_method(request->method))
		return NULL;
	if (client->echo_header)
		id = http_headers_find(&request->headers,
				       base_str_from(client->echo_header));
	c = client_acquire_connection(client, base_hash64(id, 0),
				      request->fresh_connection, now);
	if (!c)
		return NULL;
	call = base_alloc(sizeof(*call));
	call->client = client;
	call->connection = c;
	call->cb = cb;
	call->ctx = ctx;
	call->linger_us = request->linger_us;
	c->call = call;
	c->message_bytes = 0;
	c->unrelated_bytes = 0;
	c->message.is_head_response =
		base_str_equal(request->method, BASE_STR("HEAD"));
	TAILQ_INSERT_TAIL(&client->calls, call, link);
	base_buf_add_str(&call->expected_echo, id);
	out = http_output_begin(c->bev, c->connected);
	write_request(client, out, request);
	http_output_end(c->bev, out);
	start_timer(call, timeout_us);
	return call;
}

enum http_error http_client_create(struct event_base *base,
				   const struct http_client_settings *settings,
				   struct http_client **out,
				   struct base_error *err)
{
	struct http_client *client;
	struct sockaddr_storage addr = { 0 };
	socklen_t len = 0;
	enum http_error status =
		http_address_parse(settings->address, &addr, &len, err);

	if (status != HTTP_ERR_NONE)
		return status;
	client = base_alloc(sizeof(*client));
	client->base = base;
	client->addr = addr;
	client->addr_len = len;
	client->max_connections = settings->max_connections;
	client->max_response_bytes = settings->max_response_bytes;
	client->accept_close_delimited = settings->accept_close_delimited;
	client->idle_us = settings->idle_us;
	client->connect_limit.per_s = settings->troubled_connects_per_s;
	client->max_held_bytes = settings->max_held_bytes;
	client->held_elsewhere = settings->held_elsewhere;
	client->held_ctx = settings->held_ctx;
	client->on_stray = settings->on_stray;
	client->stray_ctx = settings->stray_ctx;
	if (settings->echo_header.len)
		client->echo_header = base_str_dup(settings->echo_header);
	TAILQ_INIT(&client->idle);
	TAILQ_INIT(&client->calls);
	client->resume_timer =
		evtimer_new(base, client_on_resume_timer, client);
	snprintf(client->host, sizeof(client->host), "%.*s",
		 BASE_STR_ARG(settings->address));
	*out = client;
	return HTTP_ERR_NONE;
}

void http_client_destroy(struct http_client *client)
{
	struct http_call *call;
	struct connection *c;

	if (!client)
		return;
	while ((call = TAILQ_FIRST(&client->calls))) {
		close_call_connection(call, HTTP_CLOSE_CLIENT_DESTROYED);
		call_free(call);
	}
	while ((c = TAILQ_FIRST(&client->idle)))
		client_close_idle(c, HTTP_CLOSE_CLIENT_DESTROYED);
	event_free(client->resume_timer);
	free(client->echo_header);
	free(client);
}

size_t http_client_connection_count(const struct http_client *client)
{
	return client->connection_count;
}

size_t http_client_held_bytes(const struct http_client *client)
{
	return client->held_bytes;
}

const struct http_client_statistics *
http_client_statistics(const struct http_client *client)
{
	return &client->statistics;
}

static const char *const open_cause_names[] = {
	[HTTP_OPEN_NONE_IDLE] = "none_idle",
	[HTTP_OPEN_FAILED_ID] = "failed_id",
	[HTTP_OPEN_FRESH] = "fresh",
};

static const char *const close_cause_names[] = {
	[HTTP_CLOSE_ANNOUNCED] = "announced",
	[HTTP_CLOSE_IDLE_EXPIRED] = "idle_expired",
	[HTTP_CLOSE_IDLE_BY_SERVER] = "idle_by_server",
	[HTTP_CLOSE_STRAY] = "stray",
	[HTTP_CLOSE_MANY_FAILURES] = "many_failures",
	[HTTP_CLOSE_UNREAD_OR_UNSENT] = "unread_or_unsent",
	[HTTP_CLOSE_CANCELLED] = "cancelled",
	[HTTP_CLOSE_TIMED_OUT] = "timed_out",
	[HTTP_CLOSE_CONNECT_FAILED] = "connect_failed",
	[HTTP_CLOSE_LOST] = "lost",
	[HTTP_CLOSE_INVALID] = "invalid",
	[HTTP_CLOSE_CLIENT_DESTROYED] = "client_destroyed",
};

const char *http_open_cause_name(enum http_open_cause cause)
{
	return open_cause_names[cause];
}

const char *http_close_cause_name(enum http_close_cause cause)
{
	return close_cause_names[cause];
}
