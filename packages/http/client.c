/* HTTP client over evhttp with a pool of kept-alive connections. */
#include "http.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

/*
 * A connection idle for longer is not used again: the other side may be
 * closing it, and a request lost that way has an unknown outcome.
 */
#define IDLE_REUSE_US (5 * BASE_SECOND_US)
#define MAX_ANSWER_HEADERS (64 << 10)
/* Each call has its own timer; this only replaces the default of 50 s. */
#define CONNECTION_TIMEOUT_S 3600

struct pooled {
	TAILQ_ENTRY(pooled) link;
	struct evhttp_connection *evcon;
	int64_t idle_since;
};

struct http_call {
	LIST_ENTRY(http_call) link;
	struct http_client *client;
	struct pooled *pooled;
	struct evhttp_request *req;
	struct event *timer;
	http_call_cb cb;
	void *ctx;
	enum http_result failure;
};

struct http_client {
	struct event_base *base;
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;
	char host[80];
	size_t max_connections;
	size_t connection_count;
	size_t max_answer;
	TAILQ_HEAD(pool, pooled) idle;
	LIST_HEAD(, http_call) calls;
};

static struct timeval to_timeval(int64_t us)
{
	return (struct timeval){ .tv_sec = us / BASE_SECOND_US,
				 .tv_usec = us % BASE_SECOND_US };
}

static void pooled_free(struct http_client *client, struct pooled *p)
{
	evhttp_connection_free(p->evcon);
	client->connection_count--;
	free(p);
}

static struct pooled *pooled_create(struct http_client *client)
{
	struct pooled *p = base_alloc(sizeof(*p));

	p->evcon = evhttp_connection_base_new(client->base, NULL, client->ip,
					      client->port);
	if (!p->evcon) {
		free(p);
		return NULL;
	}
	evhttp_connection_set_max_headers_size(p->evcon, MAX_ANSWER_HEADERS);
	evhttp_connection_set_max_body_size(p->evcon,
					    (ev_ssize_t)client->max_answer);
	evhttp_connection_set_timeout(p->evcon, CONNECTION_TIMEOUT_S);
	client->connection_count++;
	return p;
}

/* Detaches the call from its connection and frees it. */
static void call_free(struct http_call *call)
{
	LIST_REMOVE(call, link);
	if (call->timer)
		event_free(call->timer);
	free(call);
}

static void pooled_release(struct http_client *client, struct pooled *p,
			   bool reusable)
{
	if (!reusable) {
		pooled_free(client, p);
		return;
	}
	p->idle_since = base_now_us();
	TAILQ_INSERT_HEAD(&client->idle, p, link);
}

static void on_error(enum evhttp_request_error error, void *arg)
{
	struct http_call *call = arg;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		call->failure = HTTP_RESULT_TOO_LARGE;
	else if (error == EVREQ_HTTP_INVALID_HEADER)
		call->failure = HTTP_RESULT_INVALID;
	else
		call->failure = HTTP_RESULT_LOST;
}

/* An answer that ends with its connection cannot be told from a cut one. */
static bool is_framed(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	int code = evhttp_request_get_response_code(req);

	if (code == 204 || code == 304 ||
	    evhttp_request_get_command(req) == EVHTTP_REQ_HEAD)
		return true;
	return evhttp_find_header(headers, "Content-Length") ||
	       evhttp_find_header(headers, "Transfer-Encoding");
}

static bool wants_close(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *value = evhttp_find_header(headers, "Connection");

	return value &&
	       base_str_equal_nocase(base_str_from(value), BASE_STR("close"));
}

static void read_answer(struct evhttp_request *req, struct http_answer *answer)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	struct evkeyval *header;

	answer->status = evhttp_request_get_response_code(req);
	answer->body.len = evbuffer_get_length(body);
	answer->body.ptr = (const char *)evbuffer_pullup(body, -1);
	TAILQ_FOREACH (header, evhttp_request_get_input_headers(req), next)
		http_headers_add(&answer->headers, base_str_from(header->key),
				 base_str_from(header->value));
}

static void finish(struct http_call *call, enum http_result result,
		   const struct http_answer *answer)
{
	http_call_cb cb = call->cb;
	void *ctx = call->ctx;

	call_free(call);
	cb(ctx, result, answer);
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct http_call *call = arg;
	struct http_client *client = call->client;
	struct pooled *p = call->pooled;
	struct http_answer answer = { 0 };
	bool answered = req && evhttp_request_get_response_code(req);

	if (answered && is_framed(req)) {
		read_answer(req, &answer);
		pooled_release(client, p, !wants_close(req));
		finish(call, HTTP_RESULT_ANSWERED, &answer);
		http_headers_release(&answer.headers);
		return;
	}
	pooled_release(client, p, false);
	if (answered)
		finish(call, HTTP_RESULT_INVALID, NULL);
	else if (req && call->failure == HTTP_RESULT_ANSWERED)
		/* evhttp reports a failed connect by a request without code. */
		finish(call, HTTP_RESULT_NOT_SENT, NULL);
	else if (call->failure == HTTP_RESULT_ANSWERED)
		finish(call, HTTP_RESULT_LOST, NULL);
	else
		finish(call, call->failure, NULL);
}

static void on_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct http_call *call = arg;
	struct http_client *client = call->client;

	evhttp_cancel_request(call->req);
	pooled_release(client, call->pooled, false);
	finish(call, HTTP_RESULT_TIMED_OUT, NULL);
}

void http_call_cancel(struct http_call *call)
{
	struct http_client *client = call->client;
	struct pooled *p = call->pooled;

	evhttp_cancel_request(call->req);
	call_free(call);
	pooled_release(client, p, false);
}

static bool parse_method(struct base_str method, enum evhttp_cmd_type *type)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type type;
	} methods[] = {
		{ "GET", EVHTTP_REQ_GET },
		{ "POST", EVHTTP_REQ_POST },
		{ "PUT", EVHTTP_REQ_PUT },
		{ "DELETE", EVHTTP_REQ_DELETE },
		{ "PATCH", EVHTTP_REQ_PATCH },
		{ "HEAD", EVHTTP_REQ_HEAD },
		{ "OPTIONS", EVHTTP_REQ_OPTIONS },
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(methods); i++) {
		if (base_str_equal(method, base_str_from(methods[i].name))) {
			*type = methods[i].type;
			return true;
		}
	}
	return false;
}

static struct pooled *take_connection(struct http_client *client)
{
	struct pooled *p = TAILQ_FIRST(&client->idle);
	int64_t now = base_now_us();

	if (p && now - p->idle_since <= IDLE_REUSE_US) {
		TAILQ_REMOVE(&client->idle, p, link);
		return p;
	}
	while ((p = TAILQ_FIRST(&client->idle))) {
		TAILQ_REMOVE(&client->idle, p, link);
		pooled_free(client, p);
	}
	if (client->connection_count >= client->max_connections)
		return NULL;
	return pooled_create(client);
}

static void fill_request(const struct http_client *client,
			 struct evhttp_request *req,
			 const struct http_request *request)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	size_t i;

	evhttp_add_header(out, "Host", client->host);
	for (i = 0; i < request->headers.count; i++) {
		const struct http_header *h = &request->headers.items[i];

		if (!http_header_is_hop_by_hop(h->name))
			evhttp_add_header(out, h->name.ptr, h->value.ptr);
	}
	evbuffer_add(evhttp_request_get_output_buffer(req), request->body.ptr,
		     request->body.len);
}

static char *build_target(const struct http_request *request)
{
	struct base_buf target = BASE_BUF_INIT;

	base_buf_add_str(&target, request->path);
	if (request->query.len) {
		base_buf_add(&target, "?", 1);
		base_buf_add_str(&target, request->query);
	}
	return target.ptr;
}

struct http_call *http_client_send(struct http_client *client,
				   const struct http_request *request,
				   int64_t timeout_us, http_call_cb cb,
				   void *ctx)
{
	enum evhttp_cmd_type type;
	struct http_call *call;
	struct pooled *p;
	struct timeval tv = to_timeval(timeout_us);
	char *target;

	if (!parse_method(request->method, &type))
		return NULL;
	p = take_connection(client);
	if (!p)
		return NULL;
	call = base_alloc(sizeof(*call));
	call->client = client;
	call->pooled = p;
	call->cb = cb;
	call->ctx = ctx;
	call->failure = HTTP_RESULT_ANSWERED;
	LIST_INSERT_HEAD(&client->calls, call, link);
	call->req = evhttp_request_new(on_done, call);
	evhttp_request_set_error_cb(call->req, on_error);
	fill_request(client, call->req, request);
	if (timeout_us > 0) {
		call->timer = evtimer_new(client->base, on_timeout, call);
		evtimer_add(call->timer, &tv);
	}
	target = build_target(request);
	if (evhttp_make_request(p->evcon, call->req, type, target)) {
		/* evhttp has freed the request without calling back. */
		call_free(call);
		pooled_free(client, p);
		call = NULL;
	}
	free(target);
	return call;
}

enum http_status http_client_create(struct event_base *base,
				    const struct http_client_settings *settings,
				    struct http_client **out,
				    struct base_error *err)
{
	struct http_client *client;
	struct sockaddr_storage addr;
	socklen_t len = 0;
	enum http_status status =
		http_address_parse(settings->address, &addr, &len, err);

	if (status != HTTP_STATUS_OK)
		return status;
	client = base_alloc(sizeof(*client));
	client->base = base;
	client->max_connections = settings->max_connections;
	client->max_answer = settings->max_answer;
	TAILQ_INIT(&client->idle);
	LIST_INIT(&client->calls);
	if (addr.ss_family == AF_INET) {
		struct sockaddr_in *in = (struct sockaddr_in *)&addr;

		evutil_inet_ntop(AF_INET, &in->sin_addr, client->ip,
				 sizeof(client->ip));
		client->port = ntohs(in->sin_port);
	} else {
		struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&addr;

		evutil_inet_ntop(AF_INET6, &in6->sin6_addr, client->ip,
				 sizeof(client->ip));
		client->port = ntohs(in6->sin6_port);
	}
	snprintf(client->host, sizeof(client->host), "%.*s",
		 BASE_STR_ARG(settings->address));
	*out = client;
	return HTTP_STATUS_OK;
}

void http_client_destroy(struct http_client *client)
{
	struct http_call *call;
	struct pooled *p;

	if (!client)
		return;
	while ((call = LIST_FIRST(&client->calls)))
		http_call_cancel(call);
	while ((p = TAILQ_FIRST(&client->idle))) {
		TAILQ_REMOVE(&client->idle, p, link);
		pooled_free(client, p);
	}
	free(client);
}

size_t http_client_connections(const struct http_client *client)
{
	return client->connection_count;
}
