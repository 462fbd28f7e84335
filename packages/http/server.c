/* HTTP server over libevent's bufferevents. */
#include "http.h"
#include "http_message.h"
#include "server_memory.h"

#include <assert.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netdb.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

/* Limit from the first byte of a request until it is complete. */
#define REQUEST_TIMEOUT_US (30 * BASE_SECOND_US)
/*
 * After the last response of a connection was delivered, the server reads and
 * discards input up to these limits before it closes, as unread input would
 * turn the close into a reset.
 */
#define LINGER_MAX_BYTES (8U << 20)
#define LINGER_TIMEOUT_US (2 * BASE_SECOND_US)
/* Bytes that are read ahead while a request is being handled. */
#define READ_AHEAD_BYTES (64U << 10)
#define LISTEN_BACKLOG 1024
#define TIMEOUT_CHECK_INTERVAL_US (250 * BASE_MS_US)

struct exchange;

struct connection {
	LIST_ENTRY(connection) link;
	struct http_server *server;
	struct bufferevent *bev;
	struct evbuffer_cb_entry *output_cb;
	struct exchange *current;
	struct http_message message;
	struct server_memory memory;
	/* When the current request began to be read, 0 between requests. */
	int64_t request_started_at;
	int64_t idle_since;
	/* The last response was written; input is discarded. */
	bool closing;
	/* The caller sends nothing more. */
	bool input_ended;
	/* Since when a closing connection has delivered all; 0 before. */
	int64_t delivered_at;
	size_t discarded_bytes;
	/* Undelivered bytes when they last became fewer, and that time. */
	size_t undelivered_bytes;
	int64_t progress_at;
	bool in_handler;
};

struct exchange {
	struct http_exchange pub;
	struct connection *connection;
	http_disconnect_cb on_disconnect;
	void *disconnect_ctx;
	bool replied;
	bool keep_alive;
	bool is_head;
};

struct http_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *timeout_check;
	LIST_HEAD(, connection) connections;
	size_t connection_count;
	size_t open_exchanges;
	/* Bytes in the output buffers of all connections. */
	size_t unsent_bytes;
	size_t max_body;
	/* Of the settings, which the limits may lower. */
	size_t largest_max_body;
	size_t max_head_bytes;
	size_t max_connections;
	struct http_request_budget *budget;
	int64_t idle_timeout_us;
	int64_t header_timeout_us;
	http_server_handler handler;
	http_server_stalled_cb on_stalled_reader;
	http_server_invalid_cb on_invalid_response;
	void *ctx;
	bool keep_alive_disabled;
	char address[80];
};

static void exchange_free(struct exchange *ex)
{
	if (ex->connection)
		ex->connection->current = NULL;
	http_headers_release(&ex->pub.request.headers);
	free((char *)ex->pub.request.method.ptr);
	free((char *)ex->pub.request.path.ptr);
	free((char *)ex->pub.request.query.ptr);
	free((char *)ex->pub.request.body.ptr);
	free(ex);
}

/*
 * bufferevent_free() closes it only when the event loop runs again; many
 * connections may be accepted before.
 */
static void close_socket(struct connection *c)
{
	evutil_socket_t fd = bufferevent_getfd(c->bev);

	bufferevent_setfd(c->bev, -1);
	evutil_closesocket(fd);
}

static void connection_free(struct connection *c)
{
	struct exchange *ex = c->current;
	http_disconnect_cb on_disconnect;

	LIST_REMOVE(c, link);
	server_memory_close(&c->memory);
	c->server->connection_count--;
	evbuffer_remove_cb_entry(bufferevent_get_output(c->bev), c->output_cb);
	c->server->unsent_bytes -=
		evbuffer_get_length(bufferevent_get_output(c->bev));
	if (ex) {
		c->server->open_exchanges--;
		ex->connection = NULL;
		c->current = NULL;
	}
	close_socket(c);
	bufferevent_free(c->bev);
	http_message_release(&c->message);
	free(c);
	if (!ex)
		return;
	on_disconnect = ex->on_disconnect;
	ex->on_disconnect = NULL;
	if (on_disconnect)
		on_disconnect(ex->disconnect_ctx, &ex->pub);
}

static struct base_str copy_str(struct base_str s)
{
	return (struct base_str){ base_str_dup(s), s.len };
}

static struct base_str take_body(struct http_message *m)
{
	struct base_str body = base_buf_str(&m->body);

	if (!body.ptr)
		return copy_str(body);
	m->body = BASE_BUF_INIT;
	return body;
}

static void set_target(struct http_request *r, struct base_str target)
{
	const char *mark =
		target.len ? memchr(target.ptr, '?', target.len) : NULL;
	struct base_str path = target;
	struct base_str query = BASE_STR("");

	if (mark) {
		path.len = (size_t)(mark - target.ptr);
		query.ptr = mark + 1;
		query.len = target.len - path.len - 1;
	}
	r->path = copy_str(path);
	r->query = copy_str(query);
}

static struct exchange *exchange_create(struct connection *c)
{
	struct exchange *ex = base_alloc(sizeof(*ex));
	struct http_message *m = &c->message;
	struct http_request *r = &ex->pub.request;

	ex->connection = c;
	ex->keep_alive = http_should_keep_alive(&m->parser);
	ex->is_head = m->parser.method == HTTP_HEAD;
	ex->pub.received_at = base_now_us();
	r->method = copy_str(base_str_from(http_method_str(m->parser.method)));
	set_target(r, base_buf_str(&m->target));
	r->headers = m->headers;
	m->headers = (struct http_headers){ 0 };
	r->body = take_body(m);
	http_message_reset(m);
	c->current = ex;
	c->request_started_at = 0;
	c->idle_since = 0;
	c->server->open_exchanges++;
	return ex;
}

static void write_headers(struct evbuffer *out,
			  const struct http_headers *headers)
{
	size_t i;

	for (i = 0; headers && i < headers->count; i++) {
		const struct http_header *h = &headers->items[i];

		if (!http_header_is_hop_by_hop(h->name))
			evbuffer_add_printf(out, "%.*s: %.*s\r\n",
					    BASE_STR_ARG(h->name),
					    BASE_STR_ARG(h->value));
	}
}

/* Returns "Unknown" for a status that http_parser.h does not list. */
static const char *reason_phrase(int status)
{
	switch (status) {
#define PHRASE(number, name, string) \
	case number:                 \
		return #string;
		HTTP_STATUS_MAP(PHRASE)
#undef PHRASE
	}
	return "Unknown";
}

static void write_response(struct connection *c, const struct exchange *ex,
			   int status, const struct http_headers *headers,
			   struct base_str body, bool keep_alive)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	bool has_body = !(ex && ex->is_head) &&
			!http_message_status_has_no_body(status);

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
			    reason_phrase(status));
	write_headers(out, headers);
	if (has_body)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", body.len);
	if (!keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
	if (has_body)
		evbuffer_add(out, body.ptr, body.len);
}

/*
 * Bytes of responses that the caller's system has not acknowledged. Those that
 * are still in the output buffer are lost when the connection is freed.
 */
static size_t undelivered_bytes(const struct connection *c)
{
	size_t len = evbuffer_get_length(bufferevent_get_output(c->bev));
	int queued = 0;

	if (ioctl(bufferevent_getfd(c->bev), SIOCOUTQ, &queued) || queued < 0)
		queued = 0;
	return len + (size_t)queued;
}

static void shut_down_when_written(struct connection *c)
{
	if (c->closing && !evbuffer_get_length(bufferevent_get_output(c->bev)))
		shutdown(bufferevent_getfd(c->bev), SHUT_WR);
}

/* Lets the caller read the last response before the connection is reset. */
static void start_lingering_close(struct connection *c)
{
	c->closing = true;
	c->request_started_at = 0;
	server_memory_refused(&c->memory, base_now_us());
	bufferevent_setwatermark(c->bev, EV_READ, 0, 0);
	shut_down_when_written(c);
}

static void refuse_with_retry_after(struct connection *c,
				    enum http_refusal refusal, int status,
				    const char *detail, int64_t retry_after_us)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct http_refusal_details details = {
		.refusal = refusal,
		.not_run = true,
		.retry_after_us = retry_after_us,
		.detail = base_str_from(detail),
	};

	http_refusal_build(&details, &headers, &body);
	write_response(c, NULL, status, &headers, base_buf_str(&body), false);
	start_lingering_close(c);
}

static void refuse(struct connection *c, enum http_refusal refusal, int status,
		   const char *detail)
{
	refuse_with_retry_after(c, refusal, status, detail, 0);
}

/* A server_memory_drop_cb. */
static void drop_request(void *arg, enum server_memory_drop cause)
{
	struct connection *c = arg;

	switch (cause) {
	case SERVER_MEMORY_STALLED:
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 408,
		       "the request was not completed in time");
		break;
	case SERVER_MEMORY_SHORT:
		refuse_with_retry_after(
			c, HTTP_REFUSAL_OVERLOADED, 503,
			"the memory for requests is short",
			http_refusal_retry_after_us(HTTP_REFUSAL_OVERLOADED));
		break;
	case SERVER_MEMORY_CROWDED:
		connection_free(c);
		break;
	}
}

static void refuse_invalid_message(struct connection *c,
				   enum http_message_fault fault)
{
	switch (fault) {
	case HTTP_MESSAGE_FAULT_VERSION:
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 505,
		       "the HTTP version is not supported");
		return;
	case HTTP_MESSAGE_FAULT_TRANSFER_CODING:
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 501,
		       "the transfer coding is not supported");
		return;
	case HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE:
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 431,
		       "the request line and headers exceed the size limit");
		return;
	case HTTP_MESSAGE_FAULT_BODY_TOO_LARGE:
		refuse(c, HTTP_REFUSAL_BODY_TOO_LARGE, 413,
		       "the body is over the limit of this daemon");
		return;
	default:
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 400,
		       "the request is malformed");
	}
}

/*
 * Returns why the request is not acceptable, or NULL. If one of the headers in
 * `single` occurred twice, two parsers could interpret the request differently.
 */
static const char *check_headers(const struct connection *c,
				 const struct http_headers *headers)
{
	static const char *const single[] = { "Host", "Authorization",
					      "Idempotency-Key",
					      "Content-Length" };
	size_t i, j, n;

	for (i = 0; i < BASE_ARRAY_SIZE(single); i++) {
		n = 0;
		for (j = 0; j < headers->count; j++)
			n += base_str_equal_nocase(headers->items[j].name,
						   base_str_from(single[i]));
		if (n > 1)
			return "a header that may occur only once is repeated";
	}
	if (!http_headers_find(headers, BASE_STR("Host")).ptr &&
	    c->message.parser.http_minor > 0)
		return "the Host header is missing";
	if (!c->message.target.len || c->message.target.ptr[0] != '/')
		return "the request target is not an absolute path";
	return NULL;
}

static void handle_request(struct connection *c)
{
	struct http_server *server = c->server;
	struct exchange *ex;

	server_memory_passed_on(&c->memory, base_now_us());
	ex = exchange_create(c);

	/* The handler may reply, which frees the exchange. */
	c->in_handler = true;
	server->handler(server->ctx, &ex->pub);
	c->in_handler = false;
}

static void send_continue(struct connection *c)
{
	struct base_str expect =
		http_headers_find(&c->message.headers, BASE_STR("Expect"));

	if (base_str_equal_nocase(expect, BASE_STR("100-continue")))
		bufferevent_write(c->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* Reads the head, then the body; returns true when the request is complete. */
static bool read_request(struct connection *c, struct evbuffer *in)
{
	struct http_message *m = &c->message;
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	const char *problem;
	bool first = !m->headers_complete;

	/* The limit may have changed since the last request. */
	if (first)
		m->max_body = c->server->max_body;
	if (first && !http_message_check_head(
			     in, m->type, c->server->max_head_bytes, &fault))
		return false;
	if (!fault) {
		http_message_parse(m, in);
		fault = m->fault;
	}
	if (fault) {
		refuse_invalid_message(c, fault);
		return false;
	}
	problem = first && m->headers_complete ? check_headers(c, &m->headers)
					       : NULL;
	if (problem) {
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 400, problem);
		return false;
	}
	if (first && !m->complete)
		send_continue(c);
	return m->complete;
}

/* Handles the received requests one at a time. */
static void process_input(struct connection *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (!c->current && !c->closing && evbuffer_get_length(in)) {
		size_t before = evbuffer_get_length(in);
		bool complete;

		if (!c->request_started_at)
			c->request_started_at = base_now_us();
		complete = read_request(c, in);
		if (c->closing)
			return;
		if (!complete) {
			server_memory_update(&c->memory, before, base_now_us());
			return;
		}
		handle_request(c);
	}
}

static void discard_input(struct connection *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	size_t len = evbuffer_get_length(in);

	c->discarded_bytes += len;
	evbuffer_drain(in, len);
	if (c->discarded_bytes > LINGER_MAX_BYTES)
		connection_free(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;

	if (c->closing)
		discard_input(c);
	else
		process_input(c);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	shut_down_when_written(arg);
}

/*
 * A caller that sends nothing more may still read its response. If it has
 * closed the connection, the next write fails.
 */
static bool awaits_response(const struct connection *c)
{
	return !c->current &&
	       evbuffer_get_length(bufferevent_get_output(c->bev));
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	struct connection *c = arg;

	if (events & BEV_EVENT_ERROR) {
		connection_free(c);
	} else if (events & BEV_EVENT_EOF) {
		if (!awaits_response(c)) {
			connection_free(c);
			return;
		}
		c->input_ended = true;
		start_lingering_close(c);
	}
}

static void on_output_changed(struct evbuffer *out,
			      const struct evbuffer_cb_info *info, void *arg)
{
	struct http_server *server = arg;

	server->unsent_bytes += info->n_added;
	server->unsent_bytes -= info->n_deleted;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct http_server *server = arg;
	struct connection *c;
	int on = 1;

	if (!server_memory_accept(server->budget,
				  server->connection_count >=
					  server->max_connections,
				  base_now_us())) {
		evutil_closesocket(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = base_alloc(sizeof(*c));
	c->server = server;
	c->idle_since = base_now_us();
	c->bev =
		bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_message_init(&c->message, HTTP_REQUEST, server->max_body);
	c->memory.bev = c->bev;
	c->memory.message = &c->message;
	c->memory.drop = drop_request;
	c->memory.connection = c;
	server_memory_open(&c->memory, server->budget, addr, c->idle_since);
	LIST_INSERT_HEAD(&server->connections, c, link);
	server->connection_count++;
	c->output_cb = evbuffer_add_cb(bufferevent_get_output(c->bev),
				       on_output_changed, server);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0,
				 server->max_head_bytes + READ_AHEAD_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

void http_exchange_set_disconnect_cb(struct http_exchange *ex,
				     http_disconnect_cb cb, void *ctx)
{
	struct exchange *private = (struct exchange *)ex;

	private->on_disconnect = cb;
	private->disconnect_ctx = ctx;
}

/* A reader would refuse any other response or take it for another one. */
static bool is_valid_response(int status, const struct http_headers *headers)
{
	return http_status_is_final(status) &&
	       (!headers || http_headers_are_valid(headers));
}

void http_exchange_reply(struct http_exchange *pub, int status,
			 const struct http_headers *headers,
			 struct base_str body)
{
	struct exchange *ex = (struct exchange *)pub;
	struct connection *c = ex->connection;
	bool keep_alive;

	assert(!ex->replied);
	ex->replied = true;
	ex->on_disconnect = NULL;
	if (!c) {
		exchange_free(ex);
		return;
	}
	if (!is_valid_response(status, headers)) {
		if (c->server->on_invalid_response)
			c->server->on_invalid_response(c->server->ctx, status);
		status = 502;
		headers = NULL;
		body = BASE_STR_NONE;
	}
	c->server->open_exchanges--;
	keep_alive = ex->keep_alive && !c->server->keep_alive_disabled;
	write_response(c, ex, status, headers, body, keep_alive);
	exchange_free(ex);
	c->idle_since = base_now_us();
	server_memory_answered(&c->memory, c->idle_since);
	if (!keep_alive) {
		start_lingering_close(c);
		return;
	}
	/*
	 * Pipelined requests are handled from the event loop and not here,
	 * because the code that replies may be in the middle of its own work.
	 */
	if (!c->in_handler &&
	    evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

/*
 * Frees a connection whose caller has stopped reading. A caller that reads
 * slowly gets its whole response. Returns false when nothing is undelivered.
 */
static bool check_reader(struct connection *c, int64_t now)
{
	size_t undelivered = 0;

	/* Closing a kept connection does not lose what the system holds. */
	if (c->closing || evbuffer_get_length(bufferevent_get_output(c->bev)))
		undelivered = undelivered_bytes(c);
	if (!undelivered || !c->undelivered_bytes ||
	    undelivered < c->undelivered_bytes)
		c->progress_at = now;
	c->undelivered_bytes = undelivered;
	if (!undelivered)
		return false;
	c->idle_since = now;
	if (now - c->progress_at > c->server->idle_timeout_us) {
		if (c->server->on_stalled_reader)
			c->server->on_stalled_reader(c->server->ctx,
						     undelivered);
		connection_free(c);
	}
	return true;
}

static void check_closing(struct connection *c, int64_t now)
{
	if (!c->delivered_at)
		c->delivered_at = now;
	if (c->input_ended || now - c->delivered_at > LINGER_TIMEOUT_US)
		connection_free(c);
}

static void check_request(struct connection *c, int64_t now)
{
	int64_t limit = c->message.headers_complete
				? REQUEST_TIMEOUT_US
				: c->server->header_timeout_us;

	if (c->current)
		return;
	if (c->request_started_at &&
	    (now - c->request_started_at > limit ||
	     server_memory_is_overdue(&c->memory, now)))
		refuse(c, HTTP_REFUSAL_BAD_REQUEST, 408,
		       "the request was not completed in time");
	else if (!c->request_started_at && c->idle_since &&
		 now - c->idle_since > c->server->idle_timeout_us)
		connection_free(c);
}

static void check_timeouts(evutil_socket_t fd, short events, void *arg)
{
	struct http_server *server = arg;
	struct connection *c = LIST_FIRST(&server->connections);
	int64_t now = base_now_us();

	while (c) {
		struct connection *next = LIST_NEXT(c, link);

		if (!check_reader(c, now)) {
			if (c->closing)
				check_closing(c, now);
			else
				check_request(c, now);
		}
		c = next;
	}
	server_memory_check(server->budget, now);
}

static enum http_error bind_socket(struct http_server *server,
				   const struct sockaddr_storage *addr,
				   socklen_t len)
{
	struct sockaddr_storage bound = { 0 };
	socklen_t bound_len = sizeof(bound);
	char ip[INET6_ADDRSTRLEN];
	char port[8];

	server->listener = evconnlistener_new_bind(
		server->base, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, (const struct sockaddr *)addr, (int)len);
	if (!server->listener)
		return HTTP_ERR_BIND;
	if (server->budget)
		server_memory_limit_receive_buffer(
			evconnlistener_get_fd(server->listener));
	if (getsockname(evconnlistener_get_fd(server->listener),
			(struct sockaddr *)&bound, &bound_len))
		return HTTP_ERR_BIND;
	if (getnameinfo((struct sockaddr *)&bound, bound_len, ip, sizeof(ip),
			port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV))
		return HTTP_ERR_BIND;
	snprintf(server->address, sizeof(server->address),
		 bound.ss_family == AF_INET ? "%s:%s" : "[%s]:%s", ip, port);
	return HTTP_ERR_NONE;
}

enum http_error http_server_create(struct event_base *base,
				   const struct http_server_settings *settings,
				   struct http_server **out,
				   struct base_error *err)
{
	struct http_server *server;
	struct sockaddr_storage addr = { 0 };
	socklen_t len = 0;
	enum http_error status =
		http_address_parse(settings->listen, &addr, &len, err);

	if (status != HTTP_ERR_NONE)
		return status;
	server = base_alloc(sizeof(*server));
	LIST_INIT(&server->connections);
	server->base = base;
	server->max_body = settings->max_body;
	server->largest_max_body = settings->max_body;
	server->budget = settings->budget;
	server->max_head_bytes = settings->max_head_bytes;
	server->max_connections = settings->max_connections;
	server->idle_timeout_us = settings->idle_timeout_us;
	server->header_timeout_us = REQUEST_TIMEOUT_US;
	server->handler = settings->handler;
	server->on_stalled_reader = settings->on_stalled_reader;
	server->on_invalid_response = settings->on_invalid_response;
	server->ctx = settings->ctx;
	server->timeout_check =
		event_new(base, -1, EV_PERSIST, check_timeouts, server);
	event_add(server->timeout_check,
		  &(struct timeval){ .tv_usec = TIMEOUT_CHECK_INTERVAL_US });
	status = bind_socket(server, &addr, len);
	if (status != HTTP_ERR_NONE) {
		base_error_set(
			err, "cannot listen on '%.*s': %s",
			BASE_STR_ARG(settings->listen),
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
		http_server_destroy(server);
		return status;
	}
	*out = server;
	return HTTP_ERR_NONE;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits)
{
	if (limits->max_head_bytes)
		server->max_head_bytes = limits->max_head_bytes;
	if (limits->max_body)
		server->max_body = limits->max_body < server->largest_max_body
					   ? limits->max_body
					   : server->largest_max_body;
	if (limits->header_timeout_us)
		server->header_timeout_us = limits->header_timeout_us;
	if (limits->idle_timeout_us)
		server->idle_timeout_us = limits->idle_timeout_us;
}

void http_server_disable_keep_alive(struct http_server *server)
{
	server->keep_alive_disabled = true;
}

void http_server_stop_accepting(struct http_server *server)
{
	server->keep_alive_disabled = true;
	if (server->listener)
		evconnlistener_free(server->listener);
	server->listener = NULL;
}

void http_server_destroy(struct http_server *server)
{
	struct connection *c;

	if (!server)
		return;
	while ((c = LIST_FIRST(&server->connections)))
		connection_free(c);
	if (server->listener)
		evconnlistener_free(server->listener);
	event_free(server->timeout_check);
	free(server);
}

const char *http_server_address(const struct http_server *server)
{
	return server->address;
}

bool http_server_has_undelivered_data(const struct http_server *server)
{
	const struct connection *c;

	LIST_FOREACH (c, &server->connections, link)
		if (undelivered_bytes(c))
			return true;
	return false;
}

size_t http_server_unsent_bytes(const struct http_server *server)
{
	return server->unsent_bytes;
}

size_t http_server_open_exchange_count(const struct http_server *server)
{
	return server->open_exchanges;
}

size_t http_server_connection_count(const struct http_server *server)
{
	return server->connection_count;
}
