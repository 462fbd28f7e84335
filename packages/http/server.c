/* HTTP server over libevent's bufferevents. */
#include "http.h"
#include "request_check.h"
#include "server_internal.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netdb.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
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
/* Bytes that are read ahead while no further request may be started. */
#define READ_AHEAD_BYTES (64U << 10)
#define LISTEN_BACKLOG 1024
#define TIMEOUT_CHECK_INTERVAL_US (250 * BASE_MS_US)

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
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct http_pipeline_slot *slot;
	struct http_pipeline pipeline;

	LIST_REMOVE(c, link);
	server_memory_close(&c->memory);
	c->server->connection_count--;
	evbuffer_remove_cb_entry(out, c->output_cb);
	evbuffer_remove_cb_entry(bufferevent_get_input(c->bev), c->input_cb);
	http_pipeline_move(&pipeline, &c->pipeline);
	c->server->unsent_bytes -=
		evbuffer_get_length(out) + pipeline.waiting_bytes;
	c->server->open_exchanges -= pipeline.open_count;
	TAILQ_FOREACH (slot, &pipeline.slots, link)
		((struct exchange *)slot->owner)->connection = NULL;
	close_socket(c);
	bufferevent_free(c->bev);
	http_message_release(&c->message);
	free(c);
	http_exchange_cancel_all(&pipeline);
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

/*
 * While a buffer is at its high watermark, libevent calls the read callback in
 * each turn of the loop, unless reading is disabled.
 */
static void update_reading(struct connection *c)
{
	size_t len = evbuffer_get_length(bufferevent_get_input(c->bev));
	bool pause =
		!c->closing && (len >= c->max_input || c->memory.holder.paused);

	if (pause == c->reading_paused)
		return;
	c->reading_paused = pause;
	if (pause)
		bufferevent_disable(c->bev, EV_READ);
	else
		bufferevent_enable(c->bev, EV_READ);
}

/* Lets the caller read the last response before the connection is reset. */
void http_connection_linger(struct connection *c)
{
	c->closing = true;
	c->request_started_at = 0;
	server_memory_refused(&c->memory, base_now_us());
	bufferevent_setwatermark(c->bev, EV_READ, 0, 0);
	update_reading(c);
	shut_down_when_written(c);
}

/* A server_memory_drop_cb. */
static void drop_request(void *arg, enum server_memory_drop cause)
{
	struct connection *c = arg;

	switch (cause) {
	case SERVER_MEMORY_STALLED:
		http_connection_refuse(c, HTTP_REFUSAL_BAD_REQUEST, 408,
				       "the request was not completed in time");
		break;
	case SERVER_MEMORY_SHORT:
		http_connection_refuse(c, HTTP_REFUSAL_OVERLOADED, 503,
				       "the memory for requests is short");
		break;
	case SERVER_MEMORY_CROWDED:
		connection_free(c);
		break;
	}
}

/* A server_memory_paused_cb. */
static void on_memory_paused(void *arg)
{
	update_reading(arg);
}

static void refuse_invalid_message(struct connection *c,
				   enum http_message_fault fault)
{
	struct http_request_fault f = http_request_fault_of(fault);

	http_connection_refuse(c, f.refusal, f.status, f.detail);
}

static void handle_request(struct connection *c)
{
	struct http_server *server = c->server;
	struct exchange *ex = http_exchange_create(c);

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

static bool read_head(struct connection *c, struct evbuffer *in)
{
	struct http_message *m = &c->message;
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	const char *problem;

	/* The limit may have changed since the last request. */
	m->max_body = c->server->max_body;
	if (!http_message_check_head(in, m->type, c->server->max_head_bytes,
				     &fault)) {
		/* Empty lines between requests are the start of none. */
		if (!evbuffer_get_length(in))
			c->request_started_at = 0;
		return false;
	}
	if (!fault) {
		http_message_parse_head(m, in);
		fault = m->fault;
	}
	if (fault) {
		refuse_invalid_message(c, fault);
		return false;
	}
	problem = m->headers_complete ? http_request_check(m) : NULL;
	if (problem) {
		http_connection_refuse(c, HTTP_REFUSAL_BAD_REQUEST, 400,
				       problem);
		return false;
	}
	return m->headers_complete;
}

static bool read_body(struct connection *c, struct evbuffer *in)
{
	struct http_message *m = &c->message;

	http_message_parse(m, in);
	if (m->fault) {
		refuse_invalid_message(c, m->fault);
		return false;
	}
	if (!c->body_started && !m->complete)
		send_continue(c);
	c->body_started = true;
	return m->complete;
}

/* In a planned stop, what was not handed out is left to be sent again. */
static bool takes_requests(const struct connection *c)
{
	return !c->closing && !c->last_request_read &&
	       !(c->server->keep_alive_disabled &&
		 http_pipeline_first(&c->pipeline));
}

static bool has_input(const struct connection *c)
{
	return c->message.headers_complete ||
	       evbuffer_get_length(bufferevent_get_input(c->bev));
}

/*
 * Before the head of the next request is read, the request is taken for one
 * that may run beside others. A body is only read when its request may start.
 */
static bool may_start_next(const struct connection *c)
{
	const struct http_message *m = &c->message;
	size_t unsent = evbuffer_get_length(bufferevent_get_output(c->bev));
	bool parallel = !m->headers_complete || http_request_is_parallel(m);

	return http_pipeline_may_start(&c->pipeline, parallel, unsent);
}

/* Reads the head or the body; returns false when it is not complete yet. */
static bool read_part(struct connection *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	struct http_message *m = &c->message;
	bool done;

	if (!c->request_started_at)
		c->request_started_at = base_now_us();
	done = m->headers_complete ? read_body(c, in) : read_head(c, in);
	if (m->complete)
		c->completed_at = c->last_input_at;
	return done;
}

static void start_requests(struct connection *c)
{
	bool was_parked = c->parked;

	c->parked = false;
	while (takes_requests(c) && has_input(c)) {
		c->parked = !may_start_next(c);
		if (c->parked) {
			c->request_started_at = 0;
			return;
		}
		if (was_parked)
			server_memory_resumed(&c->memory, base_now_us());
		was_parked = false;
		if (c->message.complete)
			handle_request(c);
		else if (!read_part(c))
			return;
	}
}

/* Hands out the received requests that may run now. */
static void process_input(struct connection *c)
{
	size_t received = c->received_bytes;

	c->received_bytes = 0;
	start_requests(c);
	if (!c->closing && has_input(c))
		server_memory_update(&c->memory, received, base_now_us());
	else if (!c->closing)
		server_memory_idle(&c->memory, base_now_us());
	update_reading(c);
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
	struct connection *c = arg;

	shut_down_when_written(c);
	if (c->parked)
		process_input(c);
}

/*
 * A caller that sends nothing more may still read its response. If it has
 * closed the connection, the next write fails.
 */
static bool awaits_response(const struct connection *c)
{
	return !http_pipeline_first(&c->pipeline) &&
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
		http_connection_linger(c);
	}
}

/*
 * Finds the end of the caller while reading is paused. An event for it would
 * not do: libevent does not report a reset by EV_CLOSED, and is woken by it in
 * each turn. Reading finds the end again if the caller still awaits a response.
 * Returns true when the connection was freed.
 */
static bool check_paused(struct connection *c)
{
	struct pollfd p = { .fd = bufferevent_getfd(c->bev),
			    .events = POLLRDHUP };

	if (!c->reading_paused || poll(&p, 1, 0) <= 0)
		return false;
	if (!(p.revents & (POLLERR | POLLHUP)) && awaits_response(c))
		return false;
	connection_free(c);
	return true;
}

static void on_output_changed(struct evbuffer *out,
			      const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	c->server->unsent_bytes += info->n_added;
	c->server->unsent_bytes -= info->n_deleted;
	c->memory.holder.delivering = evbuffer_get_length(out) > 0;
}

static void on_input_changed(struct evbuffer *in,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	c->received_bytes += info->n_added;
	if (info->n_added)
		c->last_input_at = base_now_us();
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
	http_pipeline_init(&c->pipeline);
	c->memory.bev = c->bev;
	c->memory.message = &c->message;
	c->memory.drop = drop_request;
	c->memory.on_paused = on_memory_paused;
	c->memory.connection = c;
	server_memory_open(&c->memory, server->budget, addr, c->idle_since);
	LIST_INSERT_HEAD(&server->connections, c, link);
	server->connection_count++;
	c->output_cb = evbuffer_add_cb(bufferevent_get_output(c->bev),
				       on_output_changed, c);
	c->input_cb = evbuffer_add_cb(bufferevent_get_input(c->bev),
				      on_input_changed, c);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	c->max_input = server->max_head_bytes + READ_AHEAD_BYTES;
	bufferevent_setwatermark(c->bev, EV_READ, 0, c->max_input);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/*
 * Further requests are handed out from the event loop and not here, because the
 * code that replies may be in the middle of its own work.
 */
void http_connection_resume(struct connection *c)
{
	if (!c->in_handler && !c->closing && has_input(c))
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

	if (c->request_started_at) {
		if (takes_requests(c) &&
		    (now - c->request_started_at > limit ||
		     server_memory_is_overdue(&c->memory, now)))
			http_connection_refuse(
				c, HTTP_REFUSAL_BAD_REQUEST, 408,
				"the request was not completed in time");
	} else if (!http_pipeline_first(&c->pipeline) && c->idle_since &&
		   now - c->idle_since > c->server->idle_timeout_us) {
		connection_free(c);
	}
}

static void check_timeouts(evutil_socket_t fd, short events, void *arg)
{
	struct http_server *server = arg;
	struct connection *c = LIST_FIRST(&server->connections);
	int64_t now = base_now_us();

	while (c) {
		struct connection *next = LIST_NEXT(c, link);

		if (!check_paused(c) && !check_reader(c, now)) {
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
		if (c->pipeline.waiting_bytes || undelivered_bytes(c))
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
