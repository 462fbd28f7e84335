/*
 * Tests with a server that writes an answer again, late, on a connection that
 * is in use for another request.
 */
#include "http.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_US (300 * BASE_MS_US)

#define OK_OF(id) "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nContent-Length: 0\r\n\r\n"
#define REFUSAL_OF(id)                                      \
	"HTTP/1.1 503 No\r\nX-Id: " id "\r\nNot-Run: 1\r\n" \
	"Content-Length: 0\r\n\r\n"
#define REFUSAL_WITHOUT_ID \
	"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

/* Writes the next of @p answers for each request, on any connection. */
struct server {
	struct event_base *base;
	struct evconnlistener *listener;
	const char *const *answers;
	size_t requests;
	struct bufferevent *bevs[2];
	size_t connections;
	char address[LOOPBACK_ADDRESS_SIZE];
};

static void on_request(struct bufferevent *bev, void *arg)
{
	struct server *s = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	const char *answer;

	if (evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0)
		return;
	evbuffer_drain(in, evbuffer_get_length(in));
	answer = s->answers[s->requests++];
	evbuffer_add(bufferevent_get_output(bev), answer, strlen(answer));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct server *s = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);

	cr_assert(lt(sz, s->connections, BASE_ARRAY_SIZE(s->bevs)));
	s->bevs[s->connections++] = bev;
	bufferevent_setcb(bev, on_request, NULL, NULL, s);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void start_server(struct server *s)
{
	s->base = event_base_new();
	s->listener = loopback_listen(s->base, on_accept, s, s->address);
}

struct call_end {
	struct event_base *base;
	enum http_result result;
	/* Status of the response; 0 without one. */
	int status;
};

static void on_call_end(void *ctx, enum http_result result,
			const struct http_response *response)
{
	struct call_end *end = ctx;

	end->result = result;
	end->status = response ? response->status : 0;
	event_base_loopbreak(end->base);
}

static void count_stray(void *ctx, int status)
{
	(*(size_t *)ctx)++;
}

struct strays {
	struct server server;
	struct http_client *client;
	size_t count;
};

static void setup(struct strays *t, const char *const *answers)
{
	struct http_client_settings settings = {
		.max_connections = 4,
		.max_response_bytes = 65536,
		.echo_header = BASE_STR("X-Id"),
		.on_stray = count_stray,
		.stray_ctx = &t->count,
	};
	struct base_error err;

	t->server.answers = answers;
	start_server(&t->server);
	settings.address = base_str_from(t->server.address);
	cr_assert(not(http_client_create(t->server.base, &settings, &t->client,
					 &err)));
}

static struct call_end send_with_id(struct strays *t, const char *id)
{
	struct http_request request = { .method = BASE_STR("POST"),
					.path = BASE_STR("/") };
	struct call_end end = { .base = t->server.base };

	http_headers_add(&request.headers, BASE_STR("X-Id"), base_str_from(id));
	cr_assert(ne(ptr,
		     http_client_send(t->client, &request, CALL_TIMEOUT_US,
				      on_call_end, &end),
		     NULL));
	event_base_dispatch(t->server.base);
	http_headers_release(&request.headers);
	return end;
}

static void release(struct strays *t)
{
	size_t i;

	http_client_destroy(t->client);
	for (i = 0; i < t->server.connections; i++)
		bufferevent_free(t->server.bevs[i]);
	evconnlistener_free(t->server.listener);
	event_base_free(t->server.base);
}

/* Guards against a response that reaches the request after its own. */
Test(stray, copy_of_a_response_goes_to_no_other_request)
{
	static const char *const answers[] = { OK_OF("a"),
					       OK_OF("a") OK_OF("b"),
					       OK_OF("c") };
	struct strays t = { 0 };

	setup(&t, answers);
	cr_assert(eq(int, send_with_id(&t, "a").status, 200));
	cr_assert(eq(int, send_with_id(&t, "b").status, 200));
	cr_assert(eq(sz, t.count, 1));
	cr_assert(eq(sz, t.server.connections, 1));
	cr_assert(eq(int, send_with_id(&t, "c").status, 200));
	cr_assert(eq(sz, t.server.connections, 2), "the first is in use again");
	release(&t);
}

/*
 * Guards against the outcome not-run of a request that runs: a copy of an
 * earlier refusal has no id, so it may be taken for the answer.
 */
Test(stray, refusal_without_id_proves_nothing_on_a_used_connection)
{
	static const char *const answers[] = { REFUSAL_WITHOUT_ID,
					       REFUSAL_WITHOUT_ID };
	struct strays t = { 0 };
	struct call_end end;

	setup(&t, answers);
	cr_assert(eq(int, send_with_id(&t, "a").status, 503));
	end = send_with_id(&t, "b");
	cr_assert(eq(int, end.result, HTTP_RESULT_INVALID));
	cr_assert(eq(sz, t.count, 1));
	release(&t);
}

/*
 * Guards against the outcome not-run of a request that runs at its second try:
 * a copy of the refusal of the first has the same id.
 */
Test(stray, refused_request_is_not_sent_again_on_its_connection)
{
	static const char *const answers[] = { REFUSAL_OF("a"), OK_OF("b"),
					       OK_OF("a") };
	struct strays t = { 0 };

	setup(&t, answers);
	cr_assert(eq(int, send_with_id(&t, "a").status, 503));
	cr_assert(eq(int, send_with_id(&t, "b").status, 200));
	cr_assert(eq(sz, t.server.connections, 1));
	cr_assert(eq(int, send_with_id(&t, "a").status, 200));
	cr_assert(eq(sz, t.server.connections, 2));
	release(&t);
}

/* Ids that a connection remembers, as client_pool.c has it. */
#define REMEMBERED_IDS 512

static struct call_end send_numbered(struct strays *t, const char *answer,
				     char *text, int number)
{
	static const char *answers[1];

	snprintf(text, 128, answer, number);
	answers[0] = text;
	t->server.answers = answers;
	t->server.requests = 0;
	snprintf(text + 128, 16, "n-%d", number);
	return send_with_id(t, text + 128);
}

/*
 * Guards against refusals that are forgotten on a long-lived connection, and
 * against a connection for every few of them.
 */
Test(stray, connection_ends_before_it_forgets_a_refusal)
{
	static const char refusal[] = "HTTP/1.1 503 No\r\nX-Id: n-%d\r\n"
				      "Content-Length: 0\r\n\r\n";
	char text[144];
	struct strays t = { 0 };
	int i;

	setup(&t, NULL);
	for (i = 0; i < REMEMBERED_IDS; i++)
		cr_assert(eq(int, send_numbered(&t, refusal, text, i).status,
			     503));
	cr_assert(eq(sz, t.server.connections, 1));
	send_numbered(&t, refusal, text, REMEMBERED_IDS);
	cr_assert(eq(sz, t.server.connections, 2));
	release(&t);
}

/* Guards against the loss of the first ids when more are remembered. */
Test(stray, first_refusal_is_remembered_after_many)
{
	static const char refusal[] = "HTTP/1.1 503 No\r\nX-Id: n-%d\r\n"
				      "Content-Length: 0\r\n\r\n";
	char text[144];
	struct strays t = { 0 };
	int i;

	setup(&t, NULL);
	for (i = 0; i < REMEMBERED_IDS - 1; i++)
		send_numbered(&t, refusal, text, i);
	cr_assert(eq(sz, t.server.connections, 1));
	send_numbered(&t, refusal, text, 0);
	cr_assert(eq(sz, t.server.connections, 2), "it carries the id again");
	release(&t);
}
