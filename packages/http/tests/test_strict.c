/* Tests of requests and responses that parsers may interpret differently. */
#include "http.h"

#include "sockets.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which the server has sent all its responses. */
#define SETTLE_US (150 * BASE_MS_US)

struct server_fixture {
	struct event_base *base;
	struct http_server *server;
	int served_count;
};

static void count_and_reply(void *ctx, struct http_exchange *ex)
{
	struct server_fixture *s = ctx;

	s->served_count++;
	http_exchange_reply(ex, 200, NULL, ex->request.body);
}

static void setup(struct server_fixture *s)
{
	struct http_server_settings settings = {
		.listen = BASE_STR("127.0.0.1:0"),
		.max_body = 1000,
		.max_head_bytes = 2048,
		.max_connections = 4,
		.idle_timeout_us = BASE_SECOND_US,
		.handler = count_and_reply,
		.ctx = s,
	};

	*s = (struct server_fixture){ .base = event_base_new() };
	cr_assert(eq(int,
		     http_server_create(s->base, &settings, &s->server, NULL),
		     HTTP_ERR_NONE));
}

static void teardown(struct server_fixture *s)
{
	http_server_destroy(s->server);
	event_base_free(s->base);
}

/* Sends bytes; returns the status of the first response, 0 without one. */
static int send_bytes(struct server_fixture *s, const void *bytes, size_t len)
{
	struct timeval settle = { .tv_usec = SETTLE_US };
	int fd = test_connect(http_server_address(s->server));
	char response[4096] = "";
	int status = 0;

	s->served_count = 0;
	cr_assert(eq(long, (long)write(fd, bytes, len), (long)len));
	event_base_loopexit(s->base, &settle);
	event_base_dispatch(s->base);
	if (recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT) > 12)
		status = atoi(response + 9);
	close(fd);
	event_base_loopexit(s->base, &settle);
	event_base_dispatch(s->base);
	return status;
}

#define HIDDEN "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n"

struct request_case {
	const char *bytes;
	int status;
	/* Number of requests that reach the handler. */
	int served_count;
};

/*
 * Guards against request smuggling: two parsers that read the same connection
 * must not see different requests.
 */
Test(strict, refuses_ambiguous_requests)
{
	static const struct request_case cases[] = {
		{ "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n"
		  "Content-Length: 5\r\n\r\nabcde" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked"
		  "\r\nContent-Length: 5\r\n\r\nabcde" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n10000000000000005\r\nabcde\r\n0\r\n\r\n" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n5\r\nabcdeXX0\r\n\r\n" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n5\r\nabcde\r\n0\r\n\rX" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked"
		  "\r\n\r\n0\r\n\r\n" HIDDEN,
		  501, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, "
		  "chunked\r\n\r\n0\r\n\r\n" HIDDEN,
		  501, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN,
		  501, 0 },
		{ "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n0\r\n\r\n" HIDDEN,
		  501, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n"
		  "abcde" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\n"
		  "abcde" HIDDEN,
		  400, 0 },
		{ "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n"
		  "abcde" HIDDEN,
		  400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n", 400,
		  0 },
		{ "GET /a HTTP/1.1\nHost: a\n\n" HIDDEN, 400, 0 },
		{ "GET /a HTTP/1.1\r\n\r\n" HIDDEN, 400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nAuthorization: x\r\n"
		  "Authorization: y\r\n\r\n",
		  400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n", 400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n", 400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nX: \x1b[0m\r\n\r\n", 400, 0 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nX: a\x7f\r\n\r\n", 400, 0 },
		{ "GET http://a/b HTTP/1.1\r\nHost: a\r\n\r\n", 400, 0 },
		{ "GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 505, 0 },
		{ "\x01\x02random\r\n\r\n", 400, 0 },
		{ "GET /a H\r\n\r\n1.1\r\nHost: a\r\n\r\n", 400, 0 },
	};
	struct server_fixture s;
	size_t i;

	setup(&s);
	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		int status =
			send_bytes(&s, cases[i].bytes, strlen(cases[i].bytes));

		cr_expect(eq(int, status, cases[i].status), "case %zu", i);
		cr_expect(eq(int, s.served_count, cases[i].served_count),
			  "case %zu", i);
	}
	teardown(&s);
}

/* Guards against refusing unusual requests that are valid. */
Test(strict, serves_unusual_requests)
{
	static const struct request_case cases[] = {
		{ "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n5;x=y\r\nabcde\r\n0\r\nTrailer: t\r\n\r\n" HIDDEN,
		  200, 2 },
		{ "GET /a HTTP/1.0\r\n\r\n", 200, 1 },
		{ "\r\nGET /a HTTP/1.1\r\nHost: a\r\nX-Empty:\r\n\r\n", 200,
		  1 },
		{ "GET /a HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
		  "Upgrade: h2c\r\n\r\n" HIDDEN,
		  200, 2 },
	};
	struct server_fixture s;
	size_t i;

	setup(&s);
	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		int status =
			send_bytes(&s, cases[i].bytes, strlen(cases[i].bytes));

		cr_expect(eq(int, status, cases[i].status), "case %zu", i);
		cr_expect(eq(int, s.served_count, cases[i].served_count),
			  "case %zu", i);
	}
	teardown(&s);
}

/* Guards against a NUL that ends a header value for some parsers only. */
Test(strict, refuses_a_nul_byte)
{
	static const char bytes[] = "GET /a HTTP/1.1\r\nHost: a\0b\r\n\r\n";
	struct server_fixture s;

	setup(&s);
	cr_assert(eq(int, send_bytes(&s, bytes, sizeof(bytes) - 1), 400));
	teardown(&s);
}

/* Guards against a reset before the caller can read the response. */
Test(strict, responds_to_an_oversized_head)
{
	static char bytes[16000];
	struct server_fixture s;

	memset(bytes, 'a', sizeof(bytes));
	memcpy(bytes, "GET /a HTTP/1.1\r\nHost: a\r\nX: ", 30);
	setup(&s);
	cr_assert(eq(int, send_bytes(&s, bytes, sizeof(bytes)), 431));
	teardown(&s);
}

/*
 * Guards against a caller that sends one byte a second and so keeps its
 * connection open without limit.
 */
Test(strict, times_out_an_incomplete_head)
{
	struct http_server_limits limits = {
		.header_timeout_us = 50 * BASE_MS_US,
	};
	struct timeval wait = { .tv_usec = 600000 };
	struct server_fixture s;
	char response[256] = "";
	int fd;

	setup(&s);
	http_server_set_limits(s.server, &limits);
	fd = test_connect(http_server_address(s.server));
	cr_assert(eq(long, (long)write(fd, "GET /", 5), 5L));
	event_base_loopexit(s.base, &wait);
	event_base_dispatch(s.base);
	/* On a busy machine both timers may fire in the loop's last turn. */
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	cr_assert(
		gt(long,
		   (long)recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT),
		   12L));
	cr_assert(eq(int, atoi(response + 9), 408));
	close(fd);
	teardown(&s);
}

/* Guards against a body that is received although its head is over the limit.
 */
Test(strict, refuses_an_announced_body_over_a_lowered_limit)
{
	static const char head[] = "POST / HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 501\r\n\r\n";
	const struct http_server_limits limits = { .max_body = 500 };
	struct timeval wait = { .tv_usec = 300000 };
	struct server_fixture s;
	char response[256] = "";
	int fd;

	setup(&s);
	http_server_set_limits(s.server, &limits);
	fd = test_connect(http_server_address(s.server));
	cr_assert(gt(long, (long)write(fd, head, sizeof(head) - 1), 0L));
	event_base_loopexit(s.base, &wait);
	event_base_dispatch(s.base);
	cr_assert(
		gt(long,
		   (long)recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT),
		   12L));
	cr_assert(eq(int, atoi(response + 9), 413));
	close(fd);
	teardown(&s);
}

/* A backend server that sends the next fixed bytes after each read. */
struct backend {
	struct event_base *base;
	struct event *accept;
	int fd;
	const char *const *responses;
	size_t next;
	int connections;
	char address[32];
};

static void on_input(evutil_socket_t fd, short events, void *ctx)
{
	struct backend *b = ctx;
	char buf[2048];
	const char *response;

	if (read(fd, buf, sizeof(buf)) <= 0 || !b->responses[b->next])
		return;
	response = b->responses[b->next++];
	cr_assert(ge(long, (long)write(fd, response, strlen(response)), 0L));
	event_base_once(b->base, fd, EV_READ, on_input, b, NULL);
}

static void on_connection(evutil_socket_t fd, short events, void *ctx)
{
	struct backend *b = ctx;

	b->connections++;
	event_base_once(b->base, accept(fd, NULL, NULL), EV_READ, on_input, b,
			NULL);
}

static void backend_start(struct backend *b, struct event_base *base,
			  const char *const *responses)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	*b = (struct backend){ .base = base, .responses = responses };
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	b->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert(eq(int, bind(b->fd, (struct sockaddr *)&addr, len), 0));
	cr_assert(eq(int, listen(b->fd, 4), 0));
	getsockname(b->fd, (struct sockaddr *)&addr, &len);
	snprintf(b->address, sizeof(b->address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	b->accept =
		event_new(base, b->fd, EV_READ | EV_PERSIST, on_connection, b);
	event_add(b->accept, NULL);
}

static void backend_stop(struct backend *b)
{
	event_free(b->accept);
	close(b->fd);
}

struct call_outcome {
	struct event_base *base;
	enum http_result result;
	int status;
	char body[64];
};

static void on_call_done(void *ctx, enum http_result result,
			 const struct http_response *response)
{
	struct call_outcome *outcome = ctx;

	outcome->result = result;
	outcome->status = response ? response->status : 0;
	outcome->body[0] = '\0';
	if (response)
		snprintf(outcome->body, sizeof(outcome->body), "%.*s",
			 BASE_STR_ARG(response->body));
	event_base_loopbreak(outcome->base);
}

static void send_request(struct http_client *client,
			 struct call_outcome *outcome, const char *id)
{
	struct http_request request = { .method = BASE_STR("GET"),
					.path = BASE_STR("/") };

	http_headers_add(&request.headers, BASE_STR("Id"), base_str_from(id));
	cr_assert(ne(ptr,
		     http_client_send(client, &request, BASE_SECOND_US,
				      on_call_done, outcome),
		     NULL));
	http_headers_release(&request.headers);
	event_base_dispatch(outcome->base);
}

static struct http_client *create_client(struct event_base *base,
					 const char *address)
{
	struct http_client_settings settings = {
		.address = base_str_from(address),
		.max_connections = 2,
		.max_response_bytes = 4096,
		.echo_header = BASE_STR("Id"),
		.accept_close_delimited = true,
	};
	struct http_client *client;

	cr_assert(eq(int, http_client_create(base, &settings, &client, NULL),
		     HTTP_ERR_NONE));
	return client;
}

/*
 * Guards against forwarding a response to an earlier request: a second response
 * may arrive when the next request has already been sent on the connection.
 */
Test(strict, drops_responses_to_other_requests)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate"
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo",
		NULL,
	};
	struct call_outcome outcome = { .base = event_base_new() };
	struct http_client *client;
	struct backend b;

	backend_start(&b, outcome.base, responses);
	client = create_client(outcome.base, b.address);
	send_request(client, &outcome, "1");
	cr_assert(eq(str, outcome.body, "one"));
	send_request(client, &outcome, "2");
	cr_assert(eq(int, outcome.result, HTTP_RESULT_RESPONSE));
	cr_assert(eq(str, outcome.body, "two"));
	cr_assert(eq(int, b.connections, 1));
	http_client_destroy(client);
	backend_stop(&b);
	event_base_free(outcome.base);
}

/* Returns the outcome of one request to a backend with these responses. */
static struct call_outcome outcome_of_responses(const char *const *responses)
{
	struct call_outcome outcome = { .base = event_base_new() };
	struct http_client *client;
	struct backend b;

	backend_start(&b, outcome.base, responses);
	client = create_client(outcome.base, b.address);
	send_request(client, &outcome, "1");
	http_client_destroy(client);
	backend_stop(&b);
	event_base_free(outcome.base);
	return outcome;
}

/* Guards against ignoring a rejection and waiting until the timeout. */
Test(strict, accepts_a_rejection_without_an_id)
{
	static const char *const responses[] = {
		"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		NULL,
	};
	struct call_outcome outcome = outcome_of_responses(responses);

	cr_assert(eq(int, outcome.result, HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, outcome.status, 421));
}

/* Guards against bytes after a response that affect the next request. */
Test(strict, does_not_reuse_a_connection_with_bytes_after_the_response)
{
	static const char *const responses[] = {
		"HTTP/1.1 100 Continue\r\n\r\n"
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\noneHTTP",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo",
		NULL,
	};
	struct call_outcome outcome = { .base = event_base_new() };
	struct http_client *client;
	struct backend b;

	backend_start(&b, outcome.base, responses);
	client = create_client(outcome.base, b.address);
	send_request(client, &outcome, "1");
	cr_assert(eq(str, outcome.body, "one"));
	send_request(client, &outcome, "2");
	cr_assert(eq(str, outcome.body, "two"));
	cr_assert(eq(int, b.connections, 2));
	http_client_destroy(client);
	backend_stop(&b);
	event_base_free(outcome.base);
}

/* Guards against a response with two lengths and thus two possible ends. */
Test(strict, rejects_an_ambiguous_response)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n"
		"Content-Length: 5\r\n\r\noneHTTP",
		NULL,
	};
	struct call_outcome outcome = outcome_of_responses(responses);

	cr_assert(eq(int, outcome.result, HTTP_RESULT_INVALID));
}
