/* Connections of the HTTP client: when they are opened, kept and closed. */
#include "client_pool.h"
#include "client_memory.h"
#include "client_receive.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/*
 * A connection idle for longer is not reused, whatever time the server
 * announces: it is left over from a burst.
 */
#define IDLE_REUSE_MAX_US (30 * BASE_SECOND_US)
/*
 * Where the server announces no time and the settings have none. The server may
 * be closing the connection, and a request lost that way has an unknown
 * outcome.
 */
#define IDLE_REUSE_DEFAULT_US (5 * BASE_SECOND_US)
/*
 * Subtracted from the idle timeout that the server announces, because the
 * server starts to measure the idle time before the client does. At most half
 * of the time is subtracted: with a timeout of 1 s, each response would else
 * end its connection.
 */
#define IDLE_REUSE_MARGIN_US BASE_SECOND_US
/*
 * Before a connection that was idle for longer is used, the socket is checked
 * for an end that the event loop has not seen yet.
 */
#define UNCHECKED_IDLE_US (10 * BASE_MS_US)
/*
 * Ids of failed requests that a connection remembers. It is not reused after as
 * many, so that none is forgotten. They take 4 KB. With 8 of them, a server
 * that rejected half of its requests lost a connection with every 16th.
 */
#define FAILED_IDS_MAX 512
#define FAILED_IDS_MIN_CAPACITY 8
/* The system buffers this much of a response that is not read. */
#define RECEIVE_BUFFER_BYTES (64U << 10)
/* TCP keep-alive: idle time before the first probe, then interval and count. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* A connection is closed when sent data is unacknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 4000

static void connection_free(struct connection *c)
{
	client_set_held_bytes(c, 0);
	c->client->connection_count--;
	bufferevent_free(c->bev);
	http_message_release(&c->message);
	free(c->failed.items);
	free(c);
}

void client_close_connection(struct connection *c, enum http_close_cause cause)
{
	c->client->statistics.closed[cause]++;
	connection_free(c);
}

void client_close_idle(struct connection *c, enum http_close_cause cause)
{
	TAILQ_REMOVE(&c->client->idle, c, link);
	client_close_connection(c, cause);
}

/*
 * Returns how long the connection may be idle and still be reused. The server
 * closes idle connections after the time in its Keep-Alive header.
 */
static int64_t idle_reuse_limit_us(const struct http_client *client,
				   const struct http_headers *headers)
{
	struct base_str text =
		http_headers_find(headers, BASE_STR("Keep-Alive"));
	const char *at =
		text.len ? memmem(text.ptr, text.len, "timeout=", 8) : NULL;
	int64_t margin = IDLE_REUSE_MARGIN_US;
	int64_t us;

	if (!at)
		return client->idle_us ? client->idle_us
				       : IDLE_REUSE_DEFAULT_US;
	us = strtoll(at + 8, NULL, 10);
	/* Compared in seconds, as the product may not fit. */
	if (us > IDLE_REUSE_MAX_US / BASE_SECOND_US)
		return IDLE_REUSE_MAX_US;
	us = us > 0 ? us * BASE_SECOND_US : 0;
	if (margin > us / 2)
		margin = us / 2;
	return us - margin;
}

static void return_to_pool(struct connection *c, int64_t now)
{
	c->call = NULL;
	c->reused = true;
	c->idle_since = now;
	http_message_reset(&c->message);
	client_set_held_bytes(c, 0);
	TAILQ_INSERT_HEAD(&c->client->idle, c, link);
}

void client_release_unused(struct connection *c, int64_t now)
{
	evbuffer_drain(bufferevent_get_output(c->bev), SIZE_MAX);
	c->call = NULL;
	c->idle_since = now;
	c->idle_reuse_us = IDLE_REUSE_DEFAULT_US;
	/* Others come first, as this one may never be established. */
	TAILQ_INSERT_TAIL(&c->client->idle, c, link);
}

/*
 * Unread bytes after the response, or unsent bytes of the request, would be
 * mixed up with the next request on the connection.
 * @return false with the cause when it must be closed
 */
static bool is_reusable(struct connection *c, enum http_close_cause *cause)
{
	if (c->stray_seen)
		*cause = HTTP_CLOSE_STRAY;
	else if (!http_should_keep_alive(&c->message.parser) ||
		 c->idle_reuse_us <= 0)
		*cause = HTTP_CLOSE_ANNOUNCED;
	else if (c->failed.count >= FAILED_IDS_MAX)
		*cause = HTTP_CLOSE_MANY_FAILURES;
	else if (evbuffer_get_length(bufferevent_get_input(c->bev)) ||
		 evbuffer_get_length(bufferevent_get_output(c->bev)))
		*cause = HTTP_CLOSE_UNREAD_OR_UNSENT;
	else
		return true;
	return false;
}

void client_release_connection(struct connection *c,
			       const struct http_headers *headers, int64_t now)
{
	enum http_close_cause cause;

	c->idle_reuse_us = idle_reuse_limit_us(c->client, headers);
	if (!c->reused)
		connect_limit_succeeded(&c->client->connect_limit, now);
	if (is_reusable(c, &cause)) {
		return_to_pool(c, now);
		return;
	}
	c->call = NULL;
	client_close_connection(c, cause);
}

void client_remember_failure(struct connection *c, uint64_t id)
{
	struct failed_ids *f = &c->failed;

	if (f->count == FAILED_IDS_MAX)
		return;
	if (f->count == f->capacity) {
		f->capacity =
			f->capacity ? f->capacity * 2 : FAILED_IDS_MIN_CAPACITY;
		f->items =
			base_realloc(f->items, f->capacity * sizeof(*f->items));
	}
	f->items[f->count++] = id;
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
	http_message_init(&c->message, HTTP_RESPONSE,
			  client->max_response_bytes);
	c->bev =
		bufferevent_socket_new(client->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, client_on_read, NULL, client_on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (!bufferevent_socket_connect(c->bev,
					(struct sockaddr *)&client->addr,
					(int)client->addr_len))
		return c;
	client_close_connection(c, HTTP_CLOSE_CONNECT_FAILED);
	connect_limit_failed(&client->connect_limit, base_now_us());
	return NULL;
}

static bool has_failed_id(const struct connection *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->failed.count; i++)
		if (c->failed.items[i] == id)
			return true;
	return false;
}

static void close_expired(struct http_client *client, int64_t now)
{
	struct connection *c, *next;

	for (c = TAILQ_FIRST(&client->idle); c; c = next) {
		next = TAILQ_NEXT(c, link);
		if (now - c->idle_since > c->idle_reuse_us)
			client_close_idle(c, HTTP_CLOSE_IDLE_EXPIRED);
	}
}

/* @return false with the cause when it must be closed */
static bool is_still_open(const struct connection *c, int64_t now,
			  enum http_close_cause *cause)
{
	char byte;
	ssize_t n;

	if (!c->connected || now - c->idle_since < UNCHECKED_IDLE_US)
		return true;
	n = recv(bufferevent_getfd(c->bev), &byte, sizeof(byte),
		 MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	*cause = n > 0 ? HTTP_CLOSE_STRAY : HTTP_CLOSE_IDLE_BY_SERVER;
	return false;
}

/* Closes those that the server has closed, on the way to the first usable. */
static struct connection *take_idle(struct http_client *client, uint64_t id,
				    int64_t now)
{
	struct connection *c, *next;
	enum http_close_cause cause;

	for (c = TAILQ_FIRST(&client->idle); c; c = next) {
		next = TAILQ_NEXT(c, link);
		if (has_failed_id(c, id))
			continue;
		if (!is_still_open(c, now, &cause)) {
			client_close_idle(c, cause);
			continue;
		}
		TAILQ_REMOVE(&client->idle, c, link);
		return c;
	}
	return NULL;
}

static enum http_open_cause open_cause(const struct http_client *client,
				       bool fresh)
{
	if (fresh)
		return HTTP_OPEN_FRESH;
	return TAILQ_EMPTY(&client->idle) ? HTTP_OPEN_NONE_IDLE
					  : HTTP_OPEN_FAILED_ID;
}

struct connection *client_acquire_connection(struct http_client *client,
					     uint64_t id, bool fresh,
					     int64_t now)
{
	struct connection *c = NULL;

	close_expired(client, now);
	if (!fresh)
		c = take_idle(client, id, now);
	if (c)
		return c;
	/* Idle connections that may not be used must not keep out a new one. */
	if (client->connection_count >= client->max_connections &&
	    !TAILQ_EMPTY(&client->idle))
		client_close_idle(TAILQ_FIRST(&client->idle),
				  HTTP_CLOSE_IDLE_EXPIRED);
	if (client->connection_count >= client->max_connections)
		return NULL;
	if (!connect_limit_take(&client->connect_limit, now)) {
		client->statistics.opens_refused++;
		return NULL;
	}
	client->statistics.opened[open_cause(client, fresh)]++;
	return connection_create(client);
}
