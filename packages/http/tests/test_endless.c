/* Tests with a server whose bytes never end until the connection is closed. */
#include "http.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_US (2 * BASE_SECOND_US)
#define MAX_RESPONSE_BYTES 65536
/* More than what both ends of a loopback connection buffer. */
#define BYTES_MAX (16 << 20)
#define BLOCK_BYTES 16384

struct endless_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *bev;
	const char *start;
	const char *repeated;
	size_t sent;
	char address[LOOPBACK_ADDRESS_SIZE];
	bool closed;
};

static void write_block(struct endless_server *s)
{
	struct evbuffer *out = bufferevent_get_output(s->bev);
	size_t before = evbuffer_get_length(out);
	size_t len;

	while (evbuffer_get_length(out) - before < BLOCK_BYTES)
		evbuffer_add(out, s->repeated, strlen(s->repeated));
	len = evbuffer_get_length(out) - before;
	s->sent += len;
}

static void on_written(struct bufferevent *bev, void *arg)
{
	write_block(arg);
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct endless_server *s = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);

	if (end.pos < 0)
		return;
	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add(bufferevent_get_output(bev), s->start, strlen(s->start));
	write_block(s);
}

static void on_closed(struct bufferevent *bev, short events, void *arg)
{
	struct endless_server *s = arg;

	s->closed = true;
	bufferevent_disable(bev, EV_READ | EV_WRITE);
	event_base_loopbreak(s->base);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct endless_server *s = arg;

	s->bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(s->bev, on_request, on_written, on_closed, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
}

static void start_server(struct endless_server *s)
{
	s->listener = loopback_listen(s->base, on_accept, s, s->address);
}

struct call_end {
	bool done;
	enum http_result result;
	int64_t at;
};

static void on_call_end(void *ctx, enum http_result result,
			const struct http_response *response)
{
	struct call_end *end = ctx;

	*end = (struct call_end){ true, result, base_now_us() };
}

/*
 * Sends a request to a server that responds with @p start and then @p repeated
 * without end. The call must fail before its timeout, and the client must have
 * closed the connection after a bounded number of bytes.
 */
static void expect_early_failure(const char *start, const char *repeated)
{
	struct endless_server s = { .base = event_base_new(),
				    .start = start,
				    .repeated = repeated };
	struct http_client_settings settings = {
		.max_connections = 2,
		.max_response_bytes = MAX_RESPONSE_BYTES,
		.echo_header = BASE_STR("Id"),
		.accept_close_delimited = true,
	};
	struct http_request request = { .method = BASE_STR("GET"),
					.path = BASE_STR("/") };
	struct call_end end = { 0 };
	struct http_client *client;
	int64_t started_at = base_now_us();

	start_server(&s);
	settings.address = base_str_from(s.address);
	cr_assert(eq(int, http_client_create(s.base, &settings, &client, NULL),
		     HTTP_ERR_NONE));
	http_headers_add(&request.headers, BASE_STR("Id"), BASE_STR("1"));
	cr_assert(ne(ptr,
		     http_client_send(client, &request, CALL_TIMEOUT_US,
				      on_call_end, &end),
		     NULL));
	http_headers_release(&request.headers);
	while (!s.closed)
		event_base_dispatch(s.base);
	cr_assert(end.done);
	cr_assert(ne(int, end.result, HTTP_RESULT_RESPONSE));
	cr_assert(lt(i64, end.at - started_at, CALL_TIMEOUT_US / 2),
		  "'%.20s' was read until the timeout", repeated);
	cr_assert(lt(sz, s.sent, BYTES_MAX), "'%.20s': %zu bytes were read",
		  repeated, s.sent);
	http_client_destroy(client);
	bufferevent_free(s.bev);
	evconnlistener_free(s.listener);
	event_base_free(s.base);
}

/* Guards against a head that is read for as long as its bytes come. */
Test(endless, head)
{
	expect_early_failure("HTTP/1.1 200 OK\r\n", "X-More: y\r\n");
	expect_early_failure("HTTP/1.1 200 OK\r\nX-Long: ", "yyyyyyyy");
	expect_early_failure("", "not a response ");
}

/* Guards against a body that fills the memory of the daemon. */
Test(endless, body)
{
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "body");
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n",
			     "4\r\nbody\r\n");
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Content-Length: 999999999999\r\n\r\n",
			     "body");
}

/* Guards against framing without content that costs time until the timeout. */
Test(endless, framing_of_a_chunked_body)
{
	char chunk[1100];

	snprintf(chunk, sizeof(chunk), "1;%01000d\r\nx\r\n", 0);
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n",
			     chunk);
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n"
			     "0\r\nX-Trailer: ",
			     "yyyyyyyy");
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n4;",
			     "extension");
	expect_early_failure("HTTP/1.1 200 OK\r\nId: 1\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n0\r\n",
			     "X-Trailer: y\r\n");
}

/* Guards against bytes that belong to no response and are dropped for ever. */
Test(endless, bytes_before_the_response)
{
	expect_early_failure("", "\r\n");
	expect_early_failure("", "HTTP/1.1 100 Continue\r\n\r\n");
	expect_early_failure("", "HTTP/1.1 200 OK\r\nId: 2\r\n"
				 "Content-Length: 0\r\n\r\n");
}
