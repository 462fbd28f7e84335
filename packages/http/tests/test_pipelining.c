/* Tests of callers that send further requests before the first is answered. */
#include "http.h"
#include "pipeline.h"
#include "sockets.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_EXCHANGES 4096
/* Time in which the server handles what was sent; the machine may be busy. */
#define SETTLE_US (60 * BASE_MS_US)
#define LARGE_BYTES (128U << 10)

#define GET(path) "GET " path " HTTP/1.1\r\nHost: a\r\n\r\n"
#define POST(path) \
	"POST " path " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
#define CLOSING_GET(path) \
	"GET " path " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

struct fixture {
	struct event_base *base;
	struct http_server *server;
	/* In the order in which they were handed out; NULL once answered. */
	struct http_exchange *exchanges[MAX_EXCHANGES];
	int started;
	int disconnected;
	/* A cancelled exchange answers this one too, or NULL. */
	struct http_exchange *answered_with;
	int fd;
	char received[16384];
	size_t len;
};

static void forget(struct fixture *f, const struct http_exchange *ex)
{
	int i;

	for (i = 0; i < f->started; i++)
		if (f->exchanges[i] == ex)
			f->exchanges[i] = NULL;
}

static void on_disconnect(void *ctx, struct http_exchange *ex)
{
	struct fixture *f = ctx;
	struct http_exchange *other = f->answered_with;

	f->disconnected++;
	f->answered_with = NULL;
	forget(f, ex);
	http_exchange_reply(ex, 499, NULL, BASE_STR_NONE);
	if (other && other != ex) {
		forget(f, other);
		http_exchange_reply(other, 499, NULL, BASE_STR_NONE);
	}
}

/* Paths that begin with "/now" are answered at once. */
static void handle_request(void *ctx, struct http_exchange *ex)
{
	struct fixture *f = ctx;

	cr_assert(lt(int, f->started, MAX_EXCHANGES));
	f->exchanges[f->started++] = ex;
	if (base_str_starts_with(ex->request.path, BASE_STR("/now"))) {
		f->exchanges[f->started - 1] = NULL;
		http_exchange_reply(ex, 200, NULL, ex->request.path);
		return;
	}
	http_exchange_set_disconnect_cb(ex, on_disconnect, f);
}

static void setup(struct fixture *f)
{
	struct http_server_settings settings = {
		.listen = BASE_STR("127.0.0.1:0"),
		.max_body = 1000000,
		.max_head_bytes = 2048,
		.max_connections = 4,
		.idle_timeout_us = BASE_SECOND_US / 2,
		.handler = handle_request,
		.ctx = f,
	};

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	cr_assert(eq(int,
		     http_server_create(f->base, &settings, &f->server, NULL),
		     HTTP_ERR_NONE));
	f->fd = test_connect(http_server_address(f->server));
}

static void settle(struct fixture *f, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };
	ssize_t n;

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
	/* On a busy machine the timer may fire before what was ready. */
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	while ((n = recv(f->fd, f->received + f->len,
			 sizeof(f->received) - 1 - f->len, MSG_DONTWAIT)) > 0)
		f->len += (size_t)n;
}

static void send_text(struct fixture *f, const char *text)
{
	size_t len = strlen(text);

	cr_assert(eq(long, (long)write(f->fd, text, len), (long)len));
	settle(f, SETTLE_US);
}

static void reply(struct fixture *f, int i)
{
	struct http_exchange *ex = f->exchanges[i];

	cr_assert(ne(ptr, ex, NULL), "exchange %d is not open", i);
	f->exchanges[i] = NULL;
	http_exchange_reply(ex, 200, NULL, ex->request.path);
}

static void leave(struct fixture *f)
{
	close(f->fd);
	f->fd = -1;
	settle(f, SETTLE_US);
}

/* Every exchange is answered or cancelled, and nothing is counted any more. */
static void teardown(struct fixture *f)
{
	if (f->fd >= 0)
		leave(f);
	cr_expect(eq(sz, http_server_open_exchange_count(f->server), 0));
	cr_expect(eq(sz, http_server_unsent_bytes(f->server), 0));
	http_server_destroy(f->server);
	event_base_free(f->base);
}

static int count(const struct fixture *f, const char *text)
{
	const char *at = f->received;
	int n = 0;

	while ((at = strstr(at, text))) {
		at += strlen(text);
		n++;
	}
	return n;
}

/* Fails unless the responses end with these bodies, in this order. */
static void expect_order(const struct fixture *f, const char *const *bodies,
			 int n)
{
	const char *at = f->received;
	int i;

	for (i = 0; i < n; i++) {
		at = strstr(at, bodies[i]);
		cr_assert(ne(ptr, (void *)at, NULL), "%s is not in place: %s",
			  bodies[i], f->received);
	}
	cr_assert(eq(int, count(f, "HTTP/1.1 "), n));
}

/*
 * Guards against requests that run one after the other behind a slow one, and
 * against responses in another order than that of the requests.
 */
Test(pipelining, runs_in_parallel_and_answers_in_order)
{
	static const char *const bodies[] = { "/a", "/now", "/c" };
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") GET("/now") GET("/c"));
	cr_assert(eq(int, f.started, 3));
	reply(&f, 2);
	settle(&f, SETTLE_US);
	cr_assert(eq(sz, f.len, 0));
	cr_assert(gt(sz, http_server_unsent_bytes(f.server), 0));
	cr_assert(http_server_has_undelivered_data(f.server));
	cr_assert(eq(sz, http_server_open_exchange_count(f.server), 1));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	expect_order(&f, bodies, 3);
	cr_assert(eq(sz, http_server_unsent_bytes(f.server), 0));
	cr_assert(eq(int, count(&f, "Connection: close"), 0));
	teardown(&f);
}

/* Guards against a request with effects that runs beside others. */
Test(pipelining, runs_other_methods_and_bodies_alone)
{
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") POST("/b") GET("/c") GET("/d"));
	cr_assert(eq(int, f.started, 1));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	cr_assert(eq(int, f.started, 2));
	cr_assert(eq(sz, f.exchanges[1]->request.body.len, 2));
	reply(&f, 1);
	settle(&f, SETTLE_US);
	cr_assert(eq(int, f.started, 4));
	reply(&f, 2);
	reply(&f, 3);
	teardown(&f);
}

/* Guards against a body where a caller takes it for the next response. */
Test(pipelining, keeps_responses_without_a_body_apart)
{
	static const char *const parts[] = { "/a", "200 OK\r\n\r\nHTTP",
					     "204 No Content\r\n\r\nHTTP",
					     "/d" };
	struct fixture f;
	struct http_exchange *ex;

	setup(&f);
	send_text(&f, GET("/a") "HEAD /b HTTP/1.1\r\nHost: a\r\n\r\n" GET("/c")
			      GET("/d"));
	cr_assert(eq(int, f.started, 4));
	reply(&f, 3);
	ex = f.exchanges[2];
	f.exchanges[2] = NULL;
	http_exchange_reply(ex, 204, NULL, BASE_STR("none"));
	reply(&f, 1);
	reply(&f, 0);
	settle(&f, SETTLE_US);
	expect_order(&f, parts, 4);
	teardown(&f);
}

/* Guards against work for a request whose response cannot be sent. */
Test(pipelining, leaves_requests_behind_a_closing_one_unread)
{
	static const char *const bodies[] = { "/a", "/b" };
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") CLOSING_GET("/b") GET("/c"));
	cr_assert(eq(int, f.started, 2));
	reply(&f, 1);
	reply(&f, 0);
	settle(&f, SETTLE_US);
	cr_assert(eq(int, f.started, 2));
	expect_order(&f, bodies, 2);
	cr_assert(eq(int, count(&f, "Connection: close"), 1));
	teardown(&f);
}

/* Guards against a refusal that is taken for the response to another request.
 */
Test(pipelining, refuses_an_invalid_request_in_its_place)
{
	static const char *const bodies[] = { "/a", "/b", "400 Bad Request" };
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") GET("/b") "GET /c HTTP/1.1\r\n\r\n" GET("/d"));
	cr_assert(eq(int, f.started, 2));
	reply(&f, 1);
	settle(&f, SETTLE_US);
	cr_assert(eq(sz, f.len, 0));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	expect_order(&f, bodies, 3);
	cr_assert(eq(int, count(&f, "Connection: close"), 1));
	cr_assert(eq(int, f.started, 2));
	teardown(&f);
}

/* Guards against a planned stop that drops requests which are in work. */
Test(pipelining, answers_what_was_started_at_a_planned_stop)
{
	static const char *const bodies[] = { "/a", "/b", "/c" };
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") GET("/b") GET("/c"));
	reply(&f, 1);
	http_server_stop_accepting(f.server);
	send_text(&f, GET("/d"));
	cr_assert(eq(int, f.started, 3));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	cr_assert(eq(int, count(&f, "Connection: close"), 0));
	reply(&f, 2);
	settle(&f, SETTLE_US);
	expect_order(&f, bodies, 3);
	cr_assert(eq(int, count(&f, "Connection: close"), 1));
	cr_assert(eq(int, f.started, 3));
	teardown(&f);
}

/*
 * Guards against work that goes on for a caller who has left, also when the
 * end of one request answers another one of the same caller.
 */
Test(pipelining, cancels_all_requests_of_a_caller_who_leaves)
{
	struct fixture f;

	setup(&f);
	send_text(&f, GET("/a") GET("/b") GET("/c") GET("/d"));
	reply(&f, 2);
	f.answered_with = f.exchanges[3];
	leave(&f);
	cr_assert(eq(int, f.disconnected, 2));
	cr_assert(eq(sz, http_server_connection_count(f.server), 0));
	teardown(&f);
}

/* Guards against a closed connection that is not seen as reading is paused. */
Test(pipelining, cancels_requests_of_a_caller_whose_input_is_not_read)
{
	static char bytes[100000];
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(bytes) - 1; i++)
		bytes[i] = GET("/a")[i % (sizeof(GET("/a")) - 1)];
	setup(&f);
	send_text(&f, bytes);
	cr_assert(eq(int, f.started, HTTP_PIPELINE_MAX_OPEN));
	leave(&f);
	/* Work for a caller who has left may go on for half a second. */
	settle(&f, BASE_SECOND_US / 2);
	cr_assert(eq(int, f.disconnected, HTTP_PIPELINE_MAX_OPEN));
	cr_assert(eq(sz, http_server_connection_count(f.server), 0));
	teardown(&f);
}

/* Guards against a reset that is not seen as reading is paused. */
Test(pipelining, cancels_requests_of_a_caller_who_resets_while_paused)
{
	static char bytes[100000];
	struct linger reset = { .l_onoff = 1 };
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(bytes) - 1; i++)
		bytes[i] = GET("/a")[i % (sizeof(GET("/a")) - 1)];
	setup(&f);
	send_text(&f, bytes);
	setsockopt(f.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	leave(&f);
	settle(&f, BASE_SECOND_US / 2);
	cr_assert(eq(int, f.disconnected, HTTP_PIPELINE_MAX_OPEN));
	cr_assert(eq(sz, http_server_connection_count(f.server), 0));
	teardown(&f);
}

/* Sends requests until the server reads no more. */
static void send_without_end(struct fixture *f)
{
	static const char request[] = GET("/a");
	static char bytes[2048 * (sizeof(request) - 1)];
	size_t total = 0;
	size_t before;
	ssize_t n;

	for (n = 0; n < (ssize_t)sizeof(bytes); n++)
		bytes[n] = request[(size_t)n % (sizeof(request) - 1)];
	do {
		size_t at = total % sizeof(bytes);

		before = total;
		n = send(f->fd, bytes + at, sizeof(bytes) - at, MSG_DONTWAIT);
		total += n > 0 ? (size_t)n : 0;
		settle(f, SETTLE_US / 4);
		cr_assert(lt(sz, total, (size_t)32 << 20));
	} while (total != before);
}

/* Guards against memory and work without bounds for an endless sender. */
Test(pipelining, bounds_a_caller_who_sends_without_end)
{
	struct fixture f;
	int i;

	setup(&f);
	send_without_end(&f);
	cr_assert(eq(int, f.started, HTTP_PIPELINE_MAX_OPEN));
	for (i = 1; f.started < MAX_EXCHANGES / 2; i++) {
		if (i == f.started)
			settle(&f, SETTLE_US);
		if (i == f.started)
			break;
		reply(&f, i);
	}
	/* Short responses are bounded too while the first one is open. */
	cr_assert(le(sz, (size_t)f.started,
		     HTTP_PIPELINE_MAX_HELD_BYTES / HTTP_PIPELINE_SLOT_BYTES +
			     HTTP_PIPELINE_MAX_OPEN));
	cr_assert(eq(sz, f.len, 0));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	cr_assert(gt(int, f.started, i));
	/* The end of the caller is behind requests that are not read yet. */
	while (i < f.started && f.started < MAX_EXCHANGES / 8) {
		reply(&f, i++);
		settle(&f, BASE_MS_US);
	}
	http_server_disable_keep_alive(f.server);
	while (i < f.started)
		reply(&f, i++);
	teardown(&f);
}

/* Guards against responses that pile up for a caller who reads none. */
Test(pipelining, bounds_the_responses_that_a_caller_does_not_read)
{
	static char large[LARGE_BYTES];
	struct fixture f;
	int i;

	setup(&f);
	f.len = sizeof(f.received) - 1;
	send_without_end(&f);
	for (i = 0; i < MAX_EXCHANGES; i++) {
		struct http_exchange *ex;

		if (i == f.started)
			settle(&f, SETTLE_US);
		if (i == f.started)
			break;
		ex = f.exchanges[i];
		if (!ex)
			break;
		f.exchanges[i] = NULL;
		http_exchange_reply(ex, 200, NULL,
				    (struct base_str){ large, sizeof(large) });
	}
	cr_assert(lt(int, i, MAX_EXCHANGES));
	cr_assert(le(sz, http_server_unsent_bytes(f.server),
		     HTTP_PIPELINE_MAX_HELD_BYTES +
			     (HTTP_PIPELINE_MAX_OPEN + 1) *
				     (sizeof(large) + 256)));
	teardown(&f);
}

/* Guards against closing a connection that waits for its own slow response. */
Test(pipelining, has_no_time_limit_behind_a_slow_request)
{
	static const char *const bodies[] = { "/a", "/b" };
	struct http_server_limits limits = {
		.header_timeout_us = 50 * BASE_MS_US,
		.idle_timeout_us = 50 * BASE_MS_US,
	};
	struct fixture f;
	int64_t sent_at;

	setup(&f);
	http_server_set_limits(f.server, &limits);
	sent_at = base_now_us();
	send_text(&f, GET("/a") POST("/b"));
	settle(&f, 700 * BASE_MS_US);
	cr_assert(eq(int, f.started, 1));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	cr_assert(eq(int, f.started, 2));
	/* The bytes of the second request came with those of the first. */
	cr_assert(lt(long, (long)(f.exchanges[1]->received_at - sent_at),
		     700 * (long)BASE_MS_US));
	reply(&f, 1);
	settle(&f, SETTLE_US);
	expect_order(&f, bodies, 2);
	teardown(&f);
}

/* Guards against a stalled request that has no time limit behind a slow one. */
Test(pipelining, times_out_a_stalled_request_in_its_place)
{
	static const char *const parts[] = { "/a", "408 Request Timeout" };
	struct http_server_limits limits = {
		.header_timeout_us = 50 * BASE_MS_US,
	};
	struct fixture f;

	setup(&f);
	http_server_set_limits(f.server, &limits);
	send_text(&f, GET("/a") "GET /b");
	settle(&f, 600 * BASE_MS_US);
	cr_assert(eq(sz, f.len, 0));
	reply(&f, 0);
	settle(&f, SETTLE_US);
	expect_order(&f, parts, 2);
	teardown(&f);
}

/* Guards against a body that is cut or mixed up as it is moved. */
Test(pipelining, passes_large_bodies_whole)
{
	static char body[300000];
	struct fixture f;
	char head[128];
	size_t sent = 0;
	int i;

	setup(&f);
	for (i = 0; i < (int)sizeof(body); i++)
		body[i] = (char)('a' + i % 23);
	snprintf(head, sizeof(head),
		 "PUT /u HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
		 sizeof(body));
	send_text(&f, head);
	for (i = 0; i < 100 && sent < sizeof(body); i++) {
		ssize_t n = send(f.fd, body + sent, sizeof(body) - sent,
				 MSG_DONTWAIT);

		sent += n > 0 ? (size_t)n : 0;
		settle(&f, SETTLE_US / 4);
	}
	settle(&f, SETTLE_US);
	cr_assert(eq(int, f.started, 1));
	cr_assert(eq(sz, f.exchanges[0]->request.body.len, sizeof(body)));
	cr_assert(
		eq(int,
		   memcmp(f.exchanges[0]->request.body.ptr, body, sizeof(body)),
		   0));
	reply(&f, 0);
	teardown(&f);
}
