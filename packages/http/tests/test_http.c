/* Tests of the HTTP package over loopback sockets. */
#include "http.h"

#include "sockets.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct fixture {
	struct event_base *base;
	struct http_server *server;
	struct http_client *client;
	struct http_exchange *pending;
	bool defer_reply;
	bool disconnected;
	int results;
	enum http_result result;
	int status;
	struct base_buf body;
	struct base_buf seen_request;
	/* Reported of a caller that stopped reading. */
	size_t stalled_bytes;
};

static void on_disconnect(void *ctx, struct http_exchange *ex)
{
	struct fixture *f = ctx;

	f->disconnected = true;
	f->pending = NULL;
	http_exchange_reply(ex, 499, NULL, BASE_STR_NONE);
	event_base_loopbreak(f->base);
}

static void handle_request(void *ctx, struct http_exchange *ex)
{
	struct fixture *f = ctx;

	base_buf_reset(&f->seen_request);
	base_buf_addf(&f->seen_request, "%.*s %.*s?%.*s %zu",
		      BASE_STR_ARG(ex->request.method),
		      BASE_STR_ARG(ex->request.path),
		      BASE_STR_ARG(ex->request.query), ex->request.body.len);
	if (f->defer_reply) {
		f->pending = ex;
		http_exchange_set_disconnect_cb(ex, on_disconnect, f);
		event_base_loopbreak(f->base);
		return;
	}
	http_exchange_reply(ex, 200, NULL, ex->request.body);
}

static void on_result(void *ctx, enum http_result result,
		      const struct http_response *response)
{
	struct fixture *f = ctx;

	f->results++;
	f->result = result;
	f->status = response ? response->status : 0;
	base_buf_reset(&f->body);
	if (response)
		base_buf_add_str(&f->body, response->body);
	event_base_loopbreak(f->base);
}

static void connect_client(struct fixture *f, const char *address)
{
	struct http_client_settings settings = {
		.address = base_str_from(address),
		.max_connections = 2,
		.max_response_bytes = 4096,
	};

	cr_assert(eq(int,
		     http_client_create(f->base, &settings, &f->client, NULL),
		     HTTP_ERR_NONE));
}

static void record_stall(void *ctx, size_t unread)
{
	struct fixture *f = ctx;

	f->stalled_bytes = unread;
}

static void setup(struct fixture *f)
{
	struct http_server_settings settings = {
		.listen = BASE_STR("127.0.0.1:0"),
		.max_body = 1000,
		.max_head_bytes = 4096,
		.max_connections = 4,
		.idle_timeout_us = BASE_SECOND_US,
		.handler = handle_request,
		.on_stalled_reader = record_stall,
		.ctx = f,
	};

	*f = (struct fixture){ .base = event_base_new() };
	cr_assert(eq(int,
		     http_server_create(f->base, &settings, &f->server, NULL),
		     HTTP_ERR_NONE));
	connect_client(f, http_server_address(f->server));
}

static void teardown(struct fixture *f)
{
	http_client_destroy(f->client);
	http_server_destroy(f->server);
	event_base_free(f->base);
	base_buf_release(&f->body);
	base_buf_release(&f->seen_request);
}

static struct http_call *post(struct fixture *f, struct base_str body,
			      int64_t timeout_us)
{
	struct http_request request = {
		.method = BASE_STR("POST"),
		.path = BASE_STR("/a/b"),
		.query = BASE_STR("x=1"),
		.body = body,
	};

	return http_client_send(f->client, &request, timeout_us, on_result, f);
}

/* Guards against responses that are mixed up on a reused connection. */
Test(server, serves_several_requests_on_one_connection)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 5; i++) {
		cr_assert(ne(ptr, post(&f, BASE_STR("hello"), 0), NULL));
		event_base_dispatch(f.base);
		cr_assert(eq(int, f.result, HTTP_RESULT_RESPONSE));
		cr_assert(eq(str, f.body.ptr, "hello"));
		cr_assert(eq(str, f.seen_request.ptr, "POST /a/b?x=1 5"));
	}
	cr_assert(eq(sz, http_client_connection_count(f.client), 1));
	teardown(&f);
}

/* Guards against taking a form body for the query, as evhtp does. */
Test(server, does_not_put_a_form_body_in_the_query)
{
	struct fixture f;
	struct http_request request = {
		.method = BASE_STR("POST"),
		.path = BASE_STR("/a/b"),
		.body = BASE_STR("name=value"),
	};

	setup(&f);
	http_headers_add(&request.headers, BASE_STR("Content-Type"),
			 BASE_STR("application/x-www-form-urlencoded"));
	cr_assert(ne(ptr,
		     http_client_send(f.client, &request, 0, on_result, &f),
		     NULL));
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.result, HTTP_RESULT_RESPONSE));
	cr_assert(eq(str, f.seen_request.ptr, "POST /a/b? 10"));
	cr_assert(eq(str, f.body.ptr, "name=value"));
	http_headers_release(&request.headers);
	teardown(&f);
}

/* Guards against losing a reply that is sent after the handler returned. */
Test(server, replies_after_the_handler_returned)
{
	struct fixture f;

	setup(&f);
	f.defer_reply = true;
	post(&f, BASE_STR("late"), 0);
	event_base_dispatch(f.base);
	cr_assert(eq(sz, http_server_open_exchange_count(f.server), 1));
	http_exchange_reply(f.pending, 201, NULL, BASE_STR("done"));
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.status, 201));
	cr_assert(eq(str, f.body.ptr, "done"));
	cr_assert(eq(sz, http_server_open_exchange_count(f.server), 0));
	teardown(&f);
}

/* Guards against work that continues after its caller disconnected. */
Test(server, reports_a_caller_that_disconnects)
{
	struct fixture f;
	struct http_call *call;

	setup(&f);
	f.defer_reply = true;
	call = post(&f, BASE_STR("x"), 0);
	event_base_dispatch(f.base);
	http_call_cancel(call);
	event_base_dispatch(f.base);
	cr_assert(f.disconnected);
	cr_assert(eq(sz, http_server_open_exchange_count(f.server), 0));
	teardown(&f);
}

static void stop_loop(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

static void run_for(struct event_base *base, int64_t us)
{
	struct timeval tv = { .tv_usec = us };

	event_base_once(base, -1, EV_TIMEOUT, stop_loop, base, &tv);
	event_base_dispatch(base);
}

/* Guards against exiting while a caller is still reading its response. */
Test(server, reports_responses_that_are_not_sent_completely)
{
	static const char request[] =
		"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
	const size_t size = 64U << 20;
	char *large = base_alloc(size);
	struct fixture f;
	int fd;

	setup(&f);
	f.defer_reply = true;
	fd = test_connect(http_server_address(f.server));
	cr_assert(gt(int, (int)write(fd, request, sizeof(request) - 1), 0));
	event_base_dispatch(f.base);
	http_exchange_reply(f.pending, 200, NULL,
			    (struct base_str){ large, size });
	run_for(f.base, 50 * BASE_MS_US);
	cr_assert(eq(sz, http_server_open_exchange_count(f.server), 0));
	cr_assert(http_server_has_undelivered_data(f.server));
	close(fd);
	run_for(f.base, 50 * BASE_MS_US);
	cr_assert(not(http_server_has_undelivered_data(f.server)));
	free(large);
	teardown(&f);
}

/* Reads at most @p max bytes from a socket that is not ready at times. */
static size_t read_some(int fd, size_t max)
{
	static char bytes[1 << 20];
	ssize_t n = recv(fd, bytes, max < sizeof(bytes) ? max : sizeof(bytes),
			 MSG_DONTWAIT);

	return n > 0 ? (size_t)n : 0;
}

/*
 * Guards against a response that is cut because its caller reads it slowly. The
 * connection closes after it, as all do in a planned stop, and the caller may
 * have stopped sending.
 */
static void expect_whole_response_read_slowly(bool caller_stops_sending)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
	const size_t size = 24U << 20;
	char *large = base_alloc(size);
	struct fixture f;
	size_t total = 0;
	int i;
	int fd;

	setup(&f);
	f.defer_reply = true;
	http_server_disable_keep_alive(f.server);
	fd = test_connect(http_server_address(f.server));
	cr_assert(gt(int, (int)write(fd, request, sizeof(request) - 1), 0));
	event_base_dispatch(f.base);
	http_exchange_reply(f.pending, 200, NULL,
			    (struct base_str){ large, size });
	if (caller_stops_sending)
		shutdown(fd, SHUT_WR);
	for (i = 0; i < 60 && total < size; i++) {
		run_for(f.base, 50 * BASE_MS_US);
		total += read_some(fd, 100000);
	}
	cr_assert(http_server_has_undelivered_data(f.server));
	for (i = 0; i < 2000 && total < size; i++) {
		run_for(f.base, BASE_MS_US);
		total += read_some(fd, 1 << 20);
	}
	cr_assert(ge(sz, total, size), "%zu of %zu bytes came", total, size);
	close(fd);
	run_for(f.base, 600 * BASE_MS_US);
	cr_assert(eq(sz, http_server_connection_count(f.server), 0));
	free(large);
	teardown(&f);
}

Test(server, sends_the_whole_response_to_a_slow_reader)
{
	expect_whole_response_read_slowly(false);
}

Test(server, sends_the_whole_response_after_the_caller_stops_sending)
{
	expect_whole_response_read_slowly(true);
}

/* Guards against responses that fill the memory as nobody reads them. */
Test(server, closes_connections_whose_caller_reads_nothing)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
	const struct http_server_limits limits = {
		.idle_timeout_us = 500 * BASE_MS_US,
	};
	const size_t size = 24U << 20;
	char *large = base_alloc(size);
	struct fixture f;
	int fd;

	setup(&f);
	f.defer_reply = true;
	http_server_set_limits(f.server, &limits);
	fd = test_connect(http_server_address(f.server));
	cr_assert(gt(int, (int)write(fd, request, sizeof(request) - 1), 0));
	event_base_dispatch(f.base);
	http_exchange_reply(f.pending, 200, NULL,
			    (struct base_str){ large, size });
	run_for(f.base, 300 * BASE_MS_US);
	cr_assert(eq(sz, http_server_connection_count(f.server), 1));
	run_for(f.base, 999 * BASE_MS_US);
	cr_assert(eq(sz, http_server_connection_count(f.server), 0));
	cr_assert(gt(sz, f.stalled_bytes, 0));
	close(fd);
	free(large);
	teardown(&f);
}

/* Guards against unbounded memory use by a request body. */
Test(server, refuses_an_oversized_body)
{
	static char big[3000];
	struct fixture f;

	setup(&f);
	memset(big, 'a', sizeof(big));
	post(&f, (struct base_str){ big, sizeof(big) }, 0);
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.status, 413));
	cr_assert(ne(ptr, strstr(f.body.ptr, "body_too_large"), NULL));
	teardown(&f);
}

/* Guards against reporting a lost connection when nothing was sent. */
Test(client, reports_a_refused_connection_as_not_sent)
{
	struct fixture f = { .base = event_base_new() };

	connect_client(&f, "127.0.0.1:1");
	post(&f, BASE_STR("x"), 0);
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.result, HTTP_RESULT_NOT_SENT));
	http_client_destroy(f.client);
	event_base_free(f.base);
}

/*
 * Guards against a timeout that is reported as a lost connection, which would
 * mark the request as suspect.
 */
Test(client, distinguishes_a_timeout_from_a_lost_connection)
{
	struct fixture f;

	setup(&f);
	f.defer_reply = true;
	post(&f, BASE_STR("x"), 50 * BASE_MS_US);
	event_base_dispatch(f.base);
	while (!f.results)
		event_base_dispatch(f.base);
	cr_assert(eq(int, f.result, HTTP_RESULT_TIMED_OUT));
	cr_assert(eq(int, f.results, 1));
	while (!f.disconnected)
		event_base_dispatch(f.base);
	teardown(&f);
}

/* A plain socket that sends fixed bytes once a request is readable. */
struct raw_server {
	struct event_base *base;
	int fd;
	char address[32];
	const char *response;
};

static void raw_send_response(evutil_socket_t fd, short events, void *ctx)
{
	struct raw_server *raw = ctx;
	char buf[1024];

	cr_assert(gt(int, (int)read(fd, buf, sizeof(buf)), 0));
	cr_assert(ge(int, (int)write(fd, raw->response, strlen(raw->response)),
		     0));
	close(fd);
}

static void raw_accept(evutil_socket_t fd, short events, void *ctx)
{
	struct raw_server *raw = ctx;

	event_base_once(raw->base, accept(fd, NULL, NULL), EV_READ,
			raw_send_response, raw, NULL);
}

static enum http_result result_of_raw_response(const char *response)
{
	struct fixture f = { .base = event_base_new() };
	struct raw_server raw = { .base = f.base, .response = response };
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	struct event *ev;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	raw.fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert(eq(int, bind(raw.fd, (struct sockaddr *)&addr, len), 0));
	cr_assert(eq(int, listen(raw.fd, 4), 0));
	getsockname(raw.fd, (struct sockaddr *)&addr, &len);
	snprintf(raw.address, sizeof(raw.address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	ev = event_new(f.base, raw.fd, EV_READ | EV_PERSIST, raw_accept, &raw);
	event_add(ev, NULL);
	connect_client(&f, raw.address);
	post(&f, BASE_STR("x"), BASE_SECOND_US);
	event_base_dispatch(f.base);
	event_free(ev);
	close(raw.fd);
	http_client_destroy(f.client);
	event_base_free(f.base);
	base_buf_release(&f.body);
	return f.result;
}

/* Guards against an incomplete response that is forwarded as complete. */
Test(client, reports_an_incomplete_response_as_a_failure)
{
	cr_assert(eq(int,
		     result_of_raw_response(
			     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
			     "\r\nabc"),
		     HTTP_RESULT_CONNECTION_LOST));
	cr_assert(eq(
		int,
		result_of_raw_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				       "chunked\r\n\r\n5\r\nabc"),
		HTTP_RESULT_CONNECTION_LOST));
	cr_assert(eq(int, result_of_raw_response("HTTP/1.1 200 OK\r\n\r\nabc"),
		     HTTP_RESULT_INVALID));
	cr_assert(eq(int, result_of_raw_response(""),
		     HTTP_RESULT_CONNECTION_LOST));
	cr_assert(eq(int,
		     result_of_raw_response(
			     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
			     "\r\nabc"),
		     HTTP_RESULT_RESPONSE));
	cr_assert(eq(int,
		     result_of_raw_response(
			     "HTTP/1.1 200 OK\r\nContent-Length: 99999"
			     "\r\n\r\nabc"),
		     HTTP_RESULT_TOO_LARGE));
}

/*
 * Guards against a parser that reads a head beyond the bytes that were checked:
 * after empty lines, or with line ends in the protocol name.
 */
Test(client, checks_the_whole_head_of_a_response)
{
	cr_assert(eq(int,
		     result_of_raw_response(
			     "\r\n\r\nHTTP/1.1 200 OK\r\nX: a\nY: b\r\n"
			     "Content-Length: 0\r\n\r\n"),
		     HTTP_RESULT_INVALID));
	cr_assert(eq(int,
		     result_of_raw_response(
			     "H\r\n\r\n1.1 200 OK\r\nContent-Length: 0"
			     "\r\n\r\n"),
		     HTTP_RESULT_INVALID));
}

/* Guards against forwarding malformed trace headers. */
Test(trace, accepts_only_valid_traceparents)
{
	struct http_trace trace, child;
	char text[HTTP_TRACEPARENT_LEN + 1];

	cr_assert(
		http_trace_parse(BASE_STR("00-0af7651916cd43dd8448eb211c80319c-"
					  "b7ad6b7169203331-01"),
				 &trace));
	http_trace_child(&trace, &child);
	cr_assert(eq(int, memcmp(trace.trace_id, child.trace_id, 16), 0));
	http_trace_format(&child, text);
	cr_assert(http_trace_parse(base_str_from(text), &trace));
	cr_assert(not(
		http_trace_parse(BASE_STR("00-00000000000000000000000000000000-"
					  "b7ad6b7169203331-01"),
				 &trace)));
	cr_assert(not(
		http_trace_parse(BASE_STR("00-0AF7651916cd43dd8448eb211c80319c-"
					  "b7ad6b7169203331-01"),
				 &trace)));
}

Test(refusal, names_are_parsed_back)
{
	enum http_refusal parsed;
	int i;

	for (i = 0; i < HTTP_REFUSAL_COUNT; i++) {
		const char *name = http_refusal_name((enum http_refusal)i);

		cr_assert(http_refusal_parse(base_str_from(name), &parsed));
		cr_assert(eq(int, parsed, i));
	}
}

/* Guards against a temporary refusal without a retry time. */
Test(refusal, temporary_refusals_have_a_retry_time)
{
	int i;

	for (i = 0; i < HTTP_REFUSAL_COUNT; i++) {
		int status = http_refusal_default_status((enum http_refusal)i);
		bool is_temporary =
			status == 429 || status == 503 || status == 504 ||
			(enum http_refusal)i == HTTP_REFUSAL_IN_PROGRESS;

		cr_assert_eq(http_refusal_retry_after_us((enum http_refusal)i) >
				     0,
			     is_temporary, "%s",
			     http_refusal_name((enum http_refusal)i));
	}
}
