/*
 * Tests that count the connections that a server accepts, one cause of opening
 * or closing at a time.
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
#include <sys/socket.h>

#define CALL_TIMEOUT_US (100 * BASE_MS_US)
#define LINGER_US (100 * BASE_MS_US)
#define MAX_CONNECTIONS 64

struct fixture;

struct server_connection {
	struct fixture *fixture;
	struct bufferevent *bev;
	struct event *timer;
	char id[32];
};

/* A server that answers each request after a delay, with its id. */
struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	struct http_client *client;
	char address[LOOPBACK_ADDRESS_SIZE];
	struct server_connection connections[MAX_CONNECTIONS];
	int accepted;
	int requests;
	/* Connections that the client has closed. */
	int closed;
	int status;
	/* Further header lines of its answers. */
	const char *extra;
	int64_t delay_us;
	bool mute;
	/* Resets each connection that it accepts. */
	bool resets;
	/* The client sends each request on a new connection. */
	bool fresh;
	int ends;
	enum http_result result;
	int last_status;
};

static void write_answer(evutil_socket_t fd, short events, void *arg)
{
	struct server_connection *c = arg;

	if (c->bev)
		evbuffer_add_printf(bufferevent_get_output(c->bev),
				    "HTTP/1.1 %d X\r\nX-Id: %s\r\n%s"
				    "Content-Length: 0\r\n\r\n",
				    c->fixture->status, c->id,
				    c->fixture->extra);
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct server_connection *c = arg;
	struct fixture *f = c->fixture;
	struct evbuffer *in = bufferevent_get_input(bev);
	char text[512] = "";
	const char *id;

	if (evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0)
		return;
	evbuffer_remove(in, text, sizeof(text) - 1);
	id = strstr(text, "X-Id: ");
	cr_assert(ne(ptr, (void *)id, NULL));
	cr_assert(eq(int, sscanf(id, "X-Id: %31s", c->id), 1));
	f->requests++;
	if (f->mute)
		return;
	if (f->delay_us)
		evtimer_add(c->timer,
			    &(struct timeval){ .tv_usec = f->delay_us });
	else
		write_answer(-1, 0, c);
}

static void on_closed(struct bufferevent *bev, short events, void *arg)
{
	struct server_connection *c = arg;

	c->fixture->closed++;
	bufferevent_free(bev);
	c->bev = NULL;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct fixture *f = arg;
	struct server_connection *c = &f->connections[f->accepted];
	struct linger linger = { 1, 0 };

	cr_assert(lt(int, f->accepted, MAX_CONNECTIONS));
	f->accepted++;
	if (f->resets) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		evutil_closesocket(fd);
		return;
	}
	c->fixture = f;
	c->timer = evtimer_new(f->base, write_answer, c);
	c->bev = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_request, NULL, on_closed, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static void setup_with_limit(struct fixture *f, int64_t troubled_connects_per_s,
			     uint32_t max_connections)
{
	struct http_client_settings settings = {
		.max_connections = max_connections,
		.max_response_bytes = 65536,
		.echo_header = BASE_STR("X-Id"),
		.troubled_connects_per_s = troubled_connects_per_s,
	};

	*f = (struct fixture){ .status = 200, .extra = "" };
	f->base = event_base_new();
	f->listener = loopback_listen(f->base, on_accept, f, f->address);
	settings.address = base_str_from(f->address);
	cr_assert(eq(int,
		     http_client_create(f->base, &settings, &f->client, NULL),
		     HTTP_ERR_NONE));
}

static void setup(struct fixture *f, int64_t troubled_connects_per_s)
{
	setup_with_limit(f, troubled_connects_per_s, MAX_CONNECTIONS);
}

static void release(struct fixture *f)
{
	int i;

	http_client_destroy(f->client);
	for (i = 0; i < f->accepted; i++) {
		if (f->connections[i].bev)
			bufferevent_free(f->connections[i].bev);
		if (f->connections[i].timer)
			event_free(f->connections[i].timer);
	}
	evconnlistener_free(f->listener);
	event_base_free(f->base);
}

static void run_for(struct fixture *f, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
}

static void on_end(void *ctx, enum http_result result,
		   const struct http_response *response)
{
	struct fixture *f = ctx;

	f->ends++;
	f->result = result;
	f->last_status = response ? response->status : 0;
	event_base_loopbreak(f->base);
}

static struct http_call *start_call(struct fixture *f, const char *id)
{
	struct http_request request = { .method = BASE_STR("GET"),
					.path = BASE_STR("/"),
					.fresh_connection = f->fresh,
					.linger_us = LINGER_US };
	struct http_call *call;

	http_headers_add(&request.headers, BASE_STR("X-Id"), base_str_from(id));
	call = http_client_send(f->client, &request, CALL_TIMEOUT_US, on_end,
				f);
	http_headers_release(&request.headers);
	return call;
}

static enum http_result call_with_id(struct fixture *f, const char *id)
{
	cr_assert(ne(ptr, start_call(f, id), NULL));
	event_base_dispatch(f->base);
	return f->result;
}

static int64_t closed_for(const struct fixture *f, enum http_close_cause cause)
{
	return http_client_statistics(f->client)->closed[cause];
}

/*
 * Guards against calls on new connections that end for good once idle ones,
 * which they may not use, have filled the limit.
 */
Test(connections, idle_ones_make_room_for_a_new_one)
{
	struct fixture f;
	char id[8];
	int i;

	setup_with_limit(&f, 0, 4);
	f.fresh = true;
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "id-%d", i);
		cr_assert(eq(int, call_with_id(&f, id), HTTP_RESULT_RESPONSE));
	}
	cr_assert(eq(int, f.accepted, 10));
	run_for(&f, 10 * BASE_MS_US);
	cr_assert(eq(int, f.closed, 6));
	release(&f);
}

/*
 * Guards against a connection lost to each request that the server answers at
 * its deadline, which is also the client's.
 */
Test(connections, answer_at_the_deadline_keeps_the_connection)
{
	struct fixture f;
	char id[8];
	int i;

	setup(&f, 0);
	f.status = 504;
	f.delay_us = CALL_TIMEOUT_US + 10 * BASE_MS_US;
	for (i = 0; i < 5; i++) {
		snprintf(id, sizeof(id), "id-%d", i);
		cr_assert(eq(int, call_with_id(&f, id), HTTP_RESULT_OVERDUE));
		event_base_dispatch(f.base);
		cr_assert(eq(int, f.result, HTTP_RESULT_RESPONSE));
	}
	cr_assert(eq(int, f.accepted, 1));
	cr_assert(eq(int, f.ends, 10), "each is overdue, then answered");
	cr_assert(eq(i64, http_client_statistics(f.client)->late_responses, 5));
	f.delay_us = 0;
	f.status = 200;
	cr_assert(eq(int, call_with_id(&f, "next"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.last_status, 200));
	cr_assert(eq(int, f.accepted, 1));
	/* A copy of its late answer would pass for one to a new request. */
	cr_assert(eq(int, call_with_id(&f, "id-0"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.accepted, 2));
	release(&f);
}

/*
 * Guards against the use of a connection that waits for a late answer, and of
 * one on which the server has not answered at all.
 */
Test(connections, mute_connection_is_never_used_again)
{
	struct fixture f;

	setup(&f, 0);
	f.mute = true;
	cr_assert(eq(int, call_with_id(&f, "a"), HTTP_RESULT_OVERDUE));
	f.mute = false;
	cr_assert(eq(int, call_with_id(&f, "b"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.accepted, 2));
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.result, HTTP_RESULT_TIMED_OUT));
	run_for(&f, 20 * BASE_MS_US);
	cr_assert(eq(int, f.closed, 1));
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_TIMED_OUT), 1));
	release(&f);
}

/* Guards against a server that ignores deadlines and works longer for it. */
Test(connections, calls_stop_lingering_where_no_answer_follows)
{
	struct fixture f;
	int i;

	setup(&f, 0);
	f.mute = true;
	for (i = 0; i < 40; i++)
		cr_assert(ne(ptr, start_call(&f, "a"), NULL));
	while (f.ends < 40)
		event_base_dispatch(f.base);
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_TIMED_OUT), 24));
	while (f.ends < 40 + 16)
		event_base_dispatch(f.base);
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_TIMED_OUT), 40));
	release(&f);
}

/* Guards against work that goes on for a client that has left. */
Test(connections, cancelled_call_closes_while_the_server_works)
{
	struct fixture f;
	struct http_call *call;

	setup(&f, 0);
	f.mute = true;
	call = start_call(&f, "a");
	run_for(&f, 20 * BASE_MS_US);
	cr_assert(eq(int, f.requests, 1));
	http_call_cancel(call);
	run_for(&f, 20 * BASE_MS_US);
	cr_assert(eq(int, f.closed, 1));
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_CANCELLED), 1));
	release(&f);
}

/* Guards against a connection lost to a request that was not sent. */
Test(connections, call_cancelled_before_it_is_sent_keeps_the_connection)
{
	struct fixture f;

	setup(&f, 0);
	http_call_cancel(start_call(&f, "a"));
	cr_assert(eq(int, call_with_id(&f, "b"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.accepted, 1));
	cr_assert(eq(int, f.requests, 1), "the cancelled request was sent");
	release(&f);
}

/* Guards against a connection for each response that announces 1 s. */
Test(connections, short_keep_alive_is_used)
{
	struct fixture f;
	int i;

	setup(&f, 0);
	f.extra = "Keep-Alive: timeout=1\r\n";
	for (i = 0; i < 10; i++)
		cr_assert(eq(int, call_with_id(&f, "a"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.accepted, 1));
	run_for(&f, 600 * BASE_MS_US);
	call_with_id(&f, "b");
	cr_assert(eq(int, f.accepted, 2), "used close to its end");
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_IDLE_EXPIRED), 1));
	release(&f);
}

/* Guards against a request on a connection whose end is not read yet. */
Test(connections, end_of_an_idle_connection_is_seen_before_use)
{
	struct fixture f;

	setup(&f, 0);
	call_with_id(&f, "a");
	run_for(&f, 20 * BASE_MS_US);
	/* Closing the bufferevent would wait for the event loop. */
	shutdown(bufferevent_getfd(f.connections[0].bev), SHUT_WR);
	cr_assert(eq(int, call_with_id(&f, "b"), HTTP_RESULT_RESPONSE));
	cr_assert(eq(int, f.accepted, 2));
	cr_assert(eq(i64, closed_for(&f, HTTP_CLOSE_IDLE_BY_SERVER), 1));
	release(&f);
}

/* Guards against a storm of connections to a server that resets them. */
Test(connections, new_ones_are_bounded_while_the_server_resets_them)
{
	struct fixture f;
	int not_sent = 0;
	int i;

	setup(&f, 10);
	f.resets = true;
	for (i = 0; i < 30; i++) {
		if (!start_call(&f, "a"))
			not_sent++;
		else
			event_base_dispatch(f.base);
	}
	cr_assert(le(int, f.accepted, 8));
	cr_assert(eq(int, f.accepted + not_sent, 30));
	cr_assert(eq(i64, http_client_statistics(f.client)->opens_refused,
		     not_sent));
	release(&f);
}
