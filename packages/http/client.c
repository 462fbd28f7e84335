/* HTTP client over libevent's bufferevents, with a pool of connections. */
#include "http.h"
#include "http_message.h"
#include "output.h"

#include <assert.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/*
 * A connection idle for longer is not reused: the server may be closing it, and
 * a request lost that way has an unknown outcome.
 */
#define IDLE_REUSE_MAX_US (5 * BASE_SECOND_US)
/*
 * Subtracted from the idle timeout that the server announces, because the
 * server starts to measure the idle time before the client does.
 */
#define IDLE_REUSE_MARGIN_US BASE_SECOND_US
#define RESPONSE_HEAD_MAX_BYTES (64U << 10)
/*
 * Ids of failed requests that a connection remembers. It is not reused after as
 * many, so that none is forgotten.
 */
#define FAILED_IDS_MAX 8
/*
 * Framing that a response may have beside its body: the head and the trailer,
 * and six bytes for each chunk of a body that comes byte by byte.
 */
#define FRAMING_MAX_BYTES (2 * RESPONSE_HEAD_MAX_BYTES)
#define FRAMING_MAX_PER_BODY_BYTE 6
/* The system buffers this much of a response that is not read. */
#define RECEIVE_BUFFER_BYTES (64U << 10)
/* Small responses are not held up by large ones. */
#define SMALL_RESPONSE_BYTES (48U << 10)
/* How often connections that wait for memory are looked at. */
#define RESUME_INTERVAL_US (10 * BASE_MS_US)
/* TCP keep-alive: idle time before the first probe, then interval and count. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* A connection is closed when sent data is unacknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 4000

struct connection {
	TAILQ_ENTRY(connection) link;
	struct http_client *client;
	struct bufferevent *bev;
	struct http_message message;
	/* NULL while the connection is idle. */
	struct http_call *call;
	int64_t idle_since;
	int64_t idle_reuse_us;
	/* Read so far of the current message. */
	size_t message_bytes;
	/* Read during the call and not part of its response. */
	size_t unrelated_bytes;
	/* Memory of the response that is being received, in bytes. */
	size_t held_bytes;
	/* Hashes of the ids of requests that were answered with a failure. */
	uint64_t failed_ids[FAILED_IDS_MAX];
	size_t failed_count;
	bool connected;
	/* Nothing is read, as too much is held. */
	bool paused;
	/* A request was answered before the present one. */
	bool reused;
	/* An answer to no open request has arrived. */
	bool stray_seen;
};

struct http_call {
	TAILQ_ENTRY(http_call) link;
	struct http_client *client;
	struct connection *connection;
	struct event *timer;
	/* Echo header value of the response; empty to accept any response. */
	struct base_buf expected_echo;
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
	http_stray_cb on_stray;
	void *stray_ctx;
	TAILQ_HEAD(pool, connection) idle;
	/* The oldest call first. */
	TAILQ_HEAD(, http_call) calls;
	size_t held_bytes;
	size_t max_held_bytes;
	http_held_cb held_elsewhere;
	void *held_ctx;
	/* Pending while a connection is paused. */
	struct event *resume_timer;
};

static void set_held_bytes(struct connection *c, size_t bytes)
{
	c->client->held_bytes += bytes - c->held_bytes;
	c->held_bytes = bytes;
}

static void connection_free(struct connection *c)
{
	set_held_bytes(c, 0);
	c->client->connection_count--;
	bufferevent_free(c->bev);
	http_message_release(&c->message);
	free(c);
}

static void call_free(struct http_call *call)
{
	TAILQ_REMOVE(&call->client->calls, call, link);
	if (call->timer)
		event_free(call->timer);
	base_buf_release(&call->expected_echo);
	free(call);
}

/* Detaches the connection from its call and closes it. */
static void close_call_connection(struct http_call *call)
{
	struct connection *c = call->connection;

	call->connection = NULL;
	c->call = NULL;
	connection_free(c);
}

static void finish_call(struct http_call *call, enum http_result result,
			const struct http_response *response)
{
	http_call_cb cb = call->cb;
	void *ctx = call->ctx;

	call_free(call);
	cb(ctx, result, response);
}

static void fail_call(struct http_call *call, enum http_result result)
{
	close_call_connection(call);
	finish_call(call, result, NULL);
}

/*
 * Returns how long the connection may be idle and still be reused. The server
 * closes idle connections after the time in its Keep-Alive header.
 */
static int64_t idle_reuse_limit_us(const struct http_headers *headers)
{
	struct base_str text =
		http_headers_find(headers, BASE_STR("Keep-Alive"));
	int64_t us = IDLE_REUSE_MAX_US;
	const char *at =
		text.len ? memmem(text.ptr, text.len, "timeout=", 8) : NULL;

	if (at) {
		us = strtoll(at + 8, NULL, 10) * BASE_SECOND_US -
		     IDLE_REUSE_MARGIN_US;
		if (us > IDLE_REUSE_MAX_US)
			us = IDLE_REUSE_MAX_US;
	}
	return us;
}

static void return_to_pool(struct connection *c)
{
	struct http_client *client = c->client;

	c->call = NULL;
	c->reused = true;
	c->idle_since = base_now_us();
	http_message_reset(&c->message);
	set_held_bytes(c, 0);
	TAILQ_INSERT_HEAD(&client->idle, c, link);
}

/*
 * Unread bytes after the response, or unsent bytes of the request, would be
 * mixed up with the next request on the connection.
 */
static bool is_reusable(struct connection *c)
{
	return http_should_keep_alive(&c->message.parser) &&
	       c->idle_reuse_us > 0 && !c->stray_seen &&
	       c->failed_count < FAILED_IDS_MAX &&
	       !evbuffer_get_length(bufferevent_get_input(c->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(c->bev));
}

static uint64_t expected_id(const struct http_call *call)
{
	return base_hash64(base_buf_str(&call->expected_echo), 0);
}

/*
 * A server may write the answer to a refused request once more. When the same
 * request is sent again, it must not take this for its answer.
 */
static void remember_failure(struct connection *c, const struct http_call *call)
{
	if (call->expected_echo.len && c->message.parser.status_code >= 400 &&
	    c->failed_count < FAILED_IDS_MAX)
		c->failed_ids[c->failed_count++] = expected_id(call);
}

static void deliver_response(struct http_call *call)
{
	struct connection *c = call->connection;
	struct http_message *m = &c->message;
	struct http_response response = { .status = m->parser.status_code };
	struct base_buf body = m->body;

	response.headers = m->headers;
	response.body = base_buf_str(&body);
	m->headers = (struct http_headers){ 0 };
	m->body = BASE_BUF_INIT;
	c->idle_reuse_us = idle_reuse_limit_us(&response.headers);
	remember_failure(c, call);
	call->connection = NULL;
	if (is_reusable(c)) {
		return_to_pool(c);
	} else {
		c->call = NULL;
		connection_free(c);
	}
	finish_call(call, HTTP_RESULT_RESPONSE, &response);
	http_headers_release(&response.headers);
	base_buf_release(&body);
}

enum response_match {
	RESPONSE_MATCHES,
	/* It belongs to an earlier request. */
	RESPONSE_STRAY,
	/* It may belong to this request or to an earlier one. */
	RESPONSE_UNCLEAR,
};

/*
 * A response to an earlier request on the connection may arrive late or twice;
 * it repeats the id of that request. A rejection may lack the id, because the
 * server may send it without processing the request headers. On a connection
 * that was used before, such a rejection proves nothing.
 */
static enum response_match match_response(const struct http_call *call)
{
	const struct http_client *client = call->client;
	const struct connection *c = call->connection;
	struct base_str echo;

	if (!call->expected_echo.len)
		return RESPONSE_MATCHES;
	echo = http_headers_find(&c->message.headers,
				 base_str_from(client->echo_header));
	if (echo.ptr)
		return base_str_equal(echo, base_buf_str(&call->expected_echo))
			       ? RESPONSE_MATCHES
			       : RESPONSE_STRAY;
	if (c->message.parser.status_code < 400)
		return RESPONSE_STRAY;
	return c->reused ? RESPONSE_UNCLEAR : RESPONSE_MATCHES;
}

static void report_stray(struct connection *c)
{
	const struct http_client *client = c->client;

	c->stray_seen = true;
	if (client->on_stray)
		client->on_stray(client->stray_ctx,
				 (int)c->message.parser.status_code);
}

static enum http_result result_from_fault(enum http_message_fault fault)
{
	return fault == HTTP_MESSAGE_FAULT_BODY_TOO_LARGE ||
			       fault == HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE
		       ? HTTP_RESULT_TOO_LARGE
		       : HTTP_RESULT_INVALID;
}

/*
 * A server may send responses to earlier requests, interim responses and empty
 * lines without end. One late response of the largest size is accepted.
 */
static size_t unrelated_bytes_max(const struct connection *c)
{
	return c->client->max_response_bytes + RESPONSE_HEAD_MAX_BYTES;
}

static bool has_too_much_framing(const struct connection *c)
{
	size_t body = c->message.body.len;

	return c->message_bytes - body >
	       FRAMING_MAX_BYTES + FRAMING_MAX_PER_BODY_BYTE * body;
}

/* Parsed headers take more memory than the bytes that were read. */
static size_t held_by(const struct connection *c)
{
	size_t framing = c->message_bytes - c->message.body.len;

	if (framing > RESPONSE_HEAD_MAX_BYTES)
		framing = RESPONSE_HEAD_MAX_BYTES;
	return evbuffer_get_length(bufferevent_get_input(c->bev)) + framing +
	       c->message.headers.capacity * sizeof(struct http_header) +
	       c->message.body.len;
}

/* Without an exception for one, all could wait for each other. */
static bool is_oldest_receiving(const struct connection *c)
{
	const struct http_call *call;

	TAILQ_FOREACH (call, &c->client->calls, link)
		if (call->connection->held_bytes)
			return call->connection == c;
	return false;
}

static bool must_wait(const struct connection *c)
{
	const struct http_client *client = c->client;
	size_t half = client->max_held_bytes / 2;
	size_t total = client->held_bytes;

	if (!half)
		return false;
	if (client->held_elsewhere)
		total += client->held_elsewhere(client->held_ctx);
	return total > half && c->held_bytes > SMALL_RESPONSE_BYTES &&
	       !is_oldest_receiving(c);
}

static void schedule_resume(struct http_client *client)
{
	if (!evtimer_pending(client->resume_timer, NULL))
		evtimer_add(client->resume_timer,
			    &(struct timeval){ .tv_usec = RESUME_INTERVAL_US });
}

/* Updates what the connection holds, and stops reading if that is too much. */
static void limit_held_bytes(struct connection *c)
{
	set_held_bytes(c, held_by(c));
	if (!must_wait(c))
		return;
	c->paused = true;
	bufferevent_disable(c->bev, EV_READ);
	schedule_resume(c->client);
}

static void on_resume_timer(evutil_socket_t fd, short events, void *arg)
{
	struct http_client *client = arg;
	struct http_call *call;
	bool waiting = false;

	TAILQ_FOREACH (call, &client->calls, link) {
		struct connection *c = call->connection;

		if (!c->paused)
			continue;
		if (must_wait(c)) {
			waiting = true;
			continue;
		}
		c->paused = false;
		bufferevent_enable(c->bev, EV_READ);
	}
	if (waiting)
		schedule_resume(client);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct http_message *m = &c->message;
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	size_t before;

	/* No request is open, so the bytes are not a valid response. */
	if (!c->call) {
		TAILQ_REMOVE(&c->client->idle, c, link);
		connection_free(c);
		return;
	}
	while ((before = evbuffer_get_length(in))) {
		if (!m->headers_complete &&
		    !http_message_check_head(in, m->type,
					     RESPONSE_HEAD_MAX_BYTES, &fault)) {
			c->unrelated_bytes += before - evbuffer_get_length(in);
			if (c->unrelated_bytes > unrelated_bytes_max(c))
				fail_call(c->call, HTTP_RESULT_INVALID);
			else
				limit_held_bytes(c);
			return;
		}
		if (!fault) {
			http_message_parse(m, in);
			fault = m->fault;
		}
		if (fault) {
			fail_call(c->call, result_from_fault(fault));
			return;
		}
		c->message_bytes += before - evbuffer_get_length(in);
		if (has_too_much_framing(c)) {
			fail_call(c->call, HTTP_RESULT_TOO_LARGE);
			return;
		}
		if (!m->complete) {
			limit_held_bytes(c);
			return;
		}
		if (m->parser.status_code / 100 != 1) {
			enum response_match match = match_response(c->call);

			if (match == RESPONSE_MATCHES) {
				deliver_response(c->call);
				return;
			}
			report_stray(c);
			if (match == RESPONSE_UNCLEAR) {
				fail_call(c->call, HTTP_RESULT_INVALID);
				return;
			}
		}
		http_message_reset(m);
		c->unrelated_bytes += c->message_bytes;
		c->message_bytes = 0;
		if (c->unrelated_bytes > unrelated_bytes_max(c)) {
			fail_call(c->call, HTTP_RESULT_INVALID);
			return;
		}
	}
}

/* Whether the clean end of the connection completes the response. */
static bool completes_response(struct connection *c)
{
	struct http_message *m = &c->message;

	if (!c->client->accept_close_delimited ||
	    !http_message_is_close_delimited(m))
		return false;
	http_message_finish(m);
	return m->complete && match_response(c->call) == RESPONSE_MATCHES;
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	struct connection *c = arg;
	struct http_call *call = c->call;

	if (events & BEV_EVENT_CONNECTED) {
		c->connected = true;
		return;
	}
	if (!call) {
		TAILQ_REMOVE(&c->client->idle, c, link);
		connection_free(c);
		return;
	}
	if (events & BEV_EVENT_EOF && completes_response(c))
		deliver_response(call);
	else if (!c->connected)
		fail_call(call, HTTP_RESULT_NOT_SENT);
	else if (events & BEV_EVENT_EOF &&
		 http_message_is_close_delimited(&c->message))
		fail_call(call, HTTP_RESULT_INVALID);
	else
		fail_call(call, HTTP_RESULT_CONNECTION_LOST);
}

static void set_int_option(int fd, int level, int option, int value)
{
	setsockopt(fd, level, option, &value, sizeof(value));
}

/* A connection may fail without a reset; only keep-alive probes detect it. */
static void set_socket_options(int fd)
{
	set_int_option(fd, SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES);
	set_int_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_int_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_int_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_int_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_int_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_int_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS);
}

static struct connection *connection_create(struct http_client *client)
{
	struct connection *c = base_alloc(sizeof(*c));
	int fd = socket(client->addr.ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		free(c);
		return NULL;
	}
	set_socket_options(fd);
	c->client = client;
	client->connection_count++;
	client->connections_opened++;
	http_message_init(&c->message, HTTP_RESPONSE,
			  client->max_response_bytes);
	c->bev =
		bufferevent_socket_new(client->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (!bufferevent_socket_connect(c->bev,
					(struct sockaddr *)&client->addr,
					(int)client->addr_len))
		return c;
	connection_free(c);
	return NULL;
}

static bool has_failed_id(const struct connection *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->failed_count; i++)
		if (c->failed_ids[i] == id)
			return true;
	return false;
}

/* @param id  hash of the request's id */
static struct connection *acquire_connection(struct http_client *client,
					     uint64_t id, bool fresh)
{
	struct connection *c, *next;
	int64_t now = base_now_us();

	for (c = TAILQ_FIRST(&client->idle); c; c = next) {
		next = TAILQ_NEXT(c, link);
		if (now - c->idle_since <= c->idle_reuse_us)
			continue;
		TAILQ_REMOVE(&client->idle, c, link);
		connection_free(c);
	}
	TAILQ_FOREACH (c, &client->idle, link) {
		if (fresh || has_failed_id(c, id))
			continue;
		TAILQ_REMOVE(&client->idle, c, link);
		return c;
	}
	if (client->connection_count >= client->max_connections)
		return NULL;
	return connection_create(client);
}

static void on_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct http_call *call = arg;

	fail_call(call, call->connection->connected ? HTTP_RESULT_TIMED_OUT
						    : HTTP_RESULT_NOT_SENT);
}

void http_call_cancel(struct http_call *call)
{
	close_call_connection(call);
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
	struct http_call *call;
	struct connection *c;
	struct evbuffer *out;

	if (!is_supported_method(request->method))
		return NULL;
	if (client->echo_header)
		id = http_headers_find(&request->headers,
				       base_str_from(client->echo_header));
	c = acquire_connection(client, base_hash64(id, 0),
			       request->fresh_connection);
	if (!c)
		return NULL;
	call = base_alloc(sizeof(*call));
	call->client = client;
	call->connection = c;
	call->cb = cb;
	call->ctx = ctx;
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
	client->max_held_bytes = settings->max_held_bytes;
	client->held_elsewhere = settings->held_elsewhere;
	client->held_ctx = settings->held_ctx;
	client->on_stray = settings->on_stray;
	client->stray_ctx = settings->stray_ctx;
	if (settings->echo_header.len)
		client->echo_header = base_str_dup(settings->echo_header);
	TAILQ_INIT(&client->idle);
	TAILQ_INIT(&client->calls);
	client->resume_timer = evtimer_new(base, on_resume_timer, client);
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
	while ((call = TAILQ_FIRST(&client->calls)))
		http_call_cancel(call);
	while ((c = TAILQ_FIRST(&client->idle))) {
		TAILQ_REMOVE(&client->idle, c, link);
		connection_free(c);
	}
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
