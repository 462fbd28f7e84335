/* HTTP client over libevent's bufferevents, with a pool of connections. */
#include "http.h"
#include "http_message.h"

#include <assert.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/*
 * A connection idle for longer is not used again: the other side may be
 * closing it, and a request lost that way has an unknown outcome.
 */
#define IDLE_REUSE_US (5 * BASE_SECOND_US)
/* The other side's clock of an idle connection started before ours. */
#define IDLE_MARGIN_US BASE_SECOND_US
#define MAX_ANSWER_HEAD (64U << 10)
/* A silent connection is probed after this time, then this often, in s. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* Bytes that were sent and are not acknowledged by then end a connection. */
#define USER_TIMEOUT_MS 4000

struct pooled {
	TAILQ_ENTRY(pooled) link;
	struct http_client *client;
	struct bufferevent *bev;
	struct http_message message;
	/* NULL while it is idle. */
	struct http_call *call;
	int64_t idle_since;
	int64_t reuse_us;
	bool connected;
};

struct http_call {
	LIST_ENTRY(http_call) link;
	struct http_client *client;
	struct pooled *pooled;
	struct event *timer;
	/* Value of the echo header that marks the answer; empty for any. */
	struct base_buf echo;
	http_call_cb cb;
	void *ctx;
};

struct http_client {
	struct event_base *base;
	struct sockaddr_storage addr;
	socklen_t addr_len;
	char host[80];
	char *echo_header;
	size_t max_connections;
	size_t connection_count;
	size_t max_response_bytes;
	int64_t connections_opened;
	bool accept_close_delimited;
	TAILQ_HEAD(pool, pooled) idle;
	LIST_HEAD(, http_call) calls;
};

static void pooled_free(struct pooled *p)
{
	p->client->connection_count--;
	bufferevent_free(p->bev);
	http_message_release(&p->message);
	free(p);
}

static void call_free(struct http_call *call)
{
	LIST_REMOVE(call, link);
	if (call->timer)
		event_free(call->timer);
	base_buf_release(&call->echo);
	free(call);
}

/* Takes the connection off its call and closes it. */
static void drop_connection(struct http_call *call)
{
	struct pooled *p = call->pooled;

	call->pooled = NULL;
	p->call = NULL;
	pooled_free(p);
}

static void finish(struct http_call *call, enum http_result result,
		   const struct http_response *answer)
{
	http_call_cb cb = call->cb;
	void *ctx = call->ctx;

	call_free(call);
	cb(ctx, result, answer);
}

static void fail(struct http_call *call, enum http_result result)
{
	drop_connection(call);
	finish(call, result, NULL);
}

/* The other side closes idle connections after the time that it names. */
static int64_t reuse_time(const struct http_headers *headers)
{
	struct base_str text =
		http_headers_find(headers, BASE_STR("Keep-Alive"));
	int64_t us = IDLE_REUSE_US;
	const char *at =
		text.len ? memmem(text.ptr, text.len, "timeout=", 8) : NULL;

	if (at) {
		us = strtoll(at + 8, NULL, 10) * BASE_SECOND_US -
		     IDLE_MARGIN_US;
		if (us > IDLE_REUSE_US)
			us = IDLE_REUSE_US;
	}
	return us;
}

static void make_idle(struct pooled *p)
{
	struct http_client *client = p->client;

	p->call = NULL;
	p->idle_since = base_now_us();
	http_message_reset(&p->message);
	TAILQ_INSERT_HEAD(&client->idle, p, link);
}

/*
 * Bytes behind the answer, or of the request that were not read, would meet
 * the next request on the connection.
 */
static bool is_reusable(struct pooled *p)
{
	return http_should_keep_alive(&p->message.parser) && p->reuse_us > 0 &&
	       !evbuffer_get_length(bufferevent_get_input(p->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(p->bev));
}

static void deliver(struct http_call *call)
{
	struct pooled *p = call->pooled;
	struct http_message *m = &p->message;
	struct http_response answer = { .status = m->parser.status_code };
	struct base_buf body = m->body;

	answer.headers = m->headers;
	answer.body = base_buf_str(&body);
	m->headers = (struct http_headers){ 0 };
	m->body = BASE_BUF_INIT;
	p->reuse_us = reuse_time(&answer.headers);
	call->pooled = NULL;
	if (is_reusable(p)) {
		make_idle(p);
	} else {
		p->call = NULL;
		pooled_free(p);
	}
	finish(call, HTTP_RESULT_RESPONSE, &answer);
	http_headers_release(&answer.headers);
	base_buf_release(&body);
}

/*
 * An answer to an earlier request on the connection may come late; it repeats
 * that one's id. A rejection by a server that looks at nothing else may lack
 * the id.
 */
static bool is_own_answer(const struct http_call *call)
{
	const struct http_client *client = call->client;
	const struct http_message *m = &call->pooled->message;
	struct base_str echo;

	if (!call->echo.len)
		return true;
	echo = http_headers_find(&m->headers,
				 base_str_from(client->echo_header));
	if (!echo.ptr)
		return m->parser.status_code >= 400;
	return base_str_equal(echo, base_buf_str(&call->echo));
}

static enum http_result result_of(enum http_message_fault fault)
{
	return fault == HEAD_FAULT_BODY_TOO_LARGE ||
			       fault == HEAD_FAULT_HEAD_TOO_LARGE
		       ? HTTP_RESULT_TOO_LARGE
		       : HTTP_RESULT_INVALID;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct pooled *p = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct http_message *m = &p->message;
	enum http_message_fault fault = HEAD_OK;

	/* Nothing was asked, so this answers nothing. */
	if (!p->call) {
		TAILQ_REMOVE(&p->client->idle, p, link);
		pooled_free(p);
		return;
	}
	while (evbuffer_get_length(in)) {
		if (!m->headers_complete &&
		    !http_message_check_head(in, m->type, MAX_ANSWER_HEAD,
					     &fault))
			return;
		if (!fault) {
			http_message_parse(m, in);
			fault = m->fault;
		}
		if (fault) {
			fail(p->call, result_of(fault));
			return;
		}
		if (!m->complete)
			return;
		if (m->parser.status_code / 100 != 1 &&
		    is_own_answer(p->call)) {
			deliver(p->call);
			return;
		}
		http_message_reset(m);
	}
}

/* The connection ended in order; its end may mark the end of the answer. */
static bool ends_answer(struct pooled *p)
{
	struct http_message *m = &p->message;

	if (!p->client->accept_close_delimited || !head_message_is_unframed(m))
		return false;
	head_message_end(m);
	return m->complete && is_own_answer(p->call);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	struct pooled *p = arg;
	struct http_call *call = p->call;

	if (events & BEV_EVENT_CONNECTED) {
		p->connected = true;
		return;
	}
	if (!call) {
		TAILQ_REMOVE(&p->client->idle, p, link);
		pooled_free(p);
		return;
	}
	if (events & BEV_EVENT_EOF && ends_answer(p))
		deliver(call);
	else if (!p->connected)
		fail(call, HTTP_RESULT_NOT_SENT);
	else if (events & BEV_EVENT_EOF &&
		 head_message_is_unframed(&p->message))
		fail(call, HTTP_RESULT_INVALID);
	else
		fail(call, HTTP_RESULT_LOST);
}

static void set_option(int fd, int level, int option, int value)
{
	setsockopt(fd, level, option, &value, sizeof(value));
}

/* Connections may go silent without a reset; only probes show it. */
static void set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

static struct pooled *pooled_create(struct http_client *client)
{
	struct pooled *p = base_alloc(sizeof(*p));
	int fd = socket(client->addr.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		free(p);
		return NULL;
	}
	set_options(fd);
	p->client = client;
	client->connection_count++;
	client->connections_opened++;
	http_message_init(&p->message, HTTP_RESPONSE,
			  client->max_response_bytes);
	p->bev =
		bufferevent_socket_new(client->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(p->bev, on_read, NULL, on_event, p);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	if (!bufferevent_socket_connect(p->bev,
					(struct sockaddr *)&client->addr,
					(int)client->addr_len))
		return p;
	pooled_free(p);
	return NULL;
}

static struct pooled *take_connection(struct http_client *client, bool fresh)
{
	struct pooled *p, *next;
	int64_t now = base_now_us();

	for (p = TAILQ_FIRST(&client->idle); p; p = next) {
		next = TAILQ_NEXT(p, link);
		if (now - p->idle_since <= p->reuse_us)
			continue;
		TAILQ_REMOVE(&client->idle, p, link);
		pooled_free(p);
	}
	p = TAILQ_FIRST(&client->idle);
	if (p && !fresh) {
		TAILQ_REMOVE(&client->idle, p, link);
		return p;
	}
	if (client->connection_count >= client->max_connections)
		return NULL;
	return pooled_create(client);
}

static void on_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct http_call *call = arg;

	fail(call, call->pooled->connected ? HTTP_RESULT_TIMED_OUT
					   : HTTP_RESULT_NOT_SENT);
}

void http_call_cancel(struct http_call *call)
{
	drop_connection(call);
	call_free(call);
}

static bool is_method(struct base_str method)
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

static bool may_omit_length(struct base_str method)
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
	evbuffer_add_printf(out, " HTTP/1.1\r\nHost: %.*s\r\n",
			    BASE_STR_ARG(host));
	for (i = 0; i < request->headers.count; i++) {
		const struct http_header *h = &request->headers.items[i];

		if (!http_header_is_hop_by_hop(h->name))
			evbuffer_add_printf(out, "%.*s: %.*s\r\n",
					    BASE_STR_ARG(h->name),
					    BASE_STR_ARG(h->value));
	}
	if (request->body.len || !may_omit_length(request->method))
		evbuffer_add_printf(out, "Content-Length: %zu\r\n",
				    request->body.len);
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
	struct http_call *call;
	struct pooled *p;

	if (!is_method(request->method))
		return NULL;
	p = take_connection(client, request->fresh_connection);
	if (!p)
		return NULL;
	call = base_alloc(sizeof(*call));
	call->client = client;
	call->pooled = p;
	call->cb = cb;
	call->ctx = ctx;
	p->call = call;
	p->message.answers_head =
		base_str_equal(request->method, BASE_STR("HEAD"));
	LIST_INSERT_HEAD(&client->calls, call, link);
	if (client->echo_header)
		base_buf_add_str(
			&call->echo,
			http_headers_find(&request->headers,
					  base_str_from(client->echo_header)));
	write_request(client, bufferevent_get_output(p->bev), request);
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

	if (status != HTTP_ERROR_NONE)
		return status;
	client = base_alloc(sizeof(*client));
	client->base = base;
	client->addr = addr;
	client->addr_len = len;
	client->max_connections = settings->max_connections;
	client->max_response_bytes = settings->max_response_bytes;
	client->accept_close_delimited = settings->accept_close_delimited;
	if (settings->echo_header.len)
		client->echo_header = base_str_dup(settings->echo_header);
	TAILQ_INIT(&client->idle);
	LIST_INIT(&client->calls);
	snprintf(client->host, sizeof(client->host), "%.*s",
		 BASE_STR_ARG(settings->address));
	*out = client;
	return HTTP_ERROR_NONE;
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
		pooled_free(p);
	}
	free(client->echo_header);
	free(client);
}

size_t http_client_connections(const struct http_client *client)
{
	return client->connection_count;
}
