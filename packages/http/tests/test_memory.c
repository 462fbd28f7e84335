/* Tests of the memory that all responses together may take. */
#include "http.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define CALLS 32
#define BODY_BYTES (1U << 20)
#define MAX_HELD_BYTES (8U << 20)
#define SAMPLE_INTERVAL_US (2 * BASE_MS_US)

/*
 * A server that answers with a whole body, or, to paths that begin with
 * "/part", with all of it but the last byte.
 */
struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	struct http_client *client;
	struct event *sample;
	size_t held_elsewhere;
	size_t most_held;
	int responses;
	int failures;
	int stop_after;
	char address[LOOPBACK_ADDRESS_SIZE];
};

static void on_request(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer *out = bufferevent_get_output(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char path[6] = "";
	static char body[BODY_BYTES];
	size_t size;

	if (end.pos < 0)
		return;
	evbuffer_copyout(in, path, sizeof(path) - 1);
	evbuffer_remove(in, path, sizeof(path) - 1);
	evbuffer_copyout(in, path, sizeof(path) - 1);
	size = strncmp(path, "part", 4) != 0 ? sizeof(body) : sizeof(body) - 1;
	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			    sizeof(body));
	evbuffer_add(out, body, size);
}

static void on_closed(struct bufferevent *bev, short events, void *arg)
{
	bufferevent_free(bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct fixture *f = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_request, NULL, on_closed, f);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_sample(evutil_socket_t fd, short events, void *arg)
{
	struct fixture *f = arg;
	size_t held = http_client_held_bytes(f->client);

	if (held > f->most_held)
		f->most_held = held;
}

static void on_call_end(void *ctx, enum http_result result,
			const struct http_response *response)
{
	struct fixture *f = ctx;

	if (result == HTTP_RESULT_RESPONSE)
		f->responses++;
	else
		f->failures++;
	if (f->responses + f->failures == f->stop_after)
		event_base_loopbreak(f->base);
}

static size_t held_elsewhere(void *ctx)
{
	const struct fixture *f = ctx;

	return f->held_elsewhere;
}

static void setup(struct fixture *f)
{
	struct http_client_settings settings = {
		.max_connections = 2 * CALLS,
		.max_response_bytes = BODY_BYTES,
		.max_held_bytes = MAX_HELD_BYTES,
		.held_elsewhere = held_elsewhere,
		.held_ctx = f,
	};

	*f = (struct fixture){ .base = event_base_new() };
	f->listener = loopback_listen(f->base, on_accept, f, f->address);
	settings.address = base_str_from(f->address);
	cr_assert(eq(int,
		     http_client_create(f->base, &settings, &f->client, NULL),
		     HTTP_ERR_NONE));
	f->sample = event_new(f->base, -1, EV_PERSIST, on_sample, f);
	event_add(f->sample,
		  &(struct timeval){ .tv_usec = SAMPLE_INTERVAL_US });
}

static void teardown(struct fixture *f)
{
	http_client_destroy(f->client);
	event_free(f->sample);
	/* The server sees the ends of the connections. */
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	evconnlistener_free(f->listener);
	event_base_free(f->base);
}

static void send_calls(struct fixture *f, int count, struct base_str path,
		       int64_t timeout_us)
{
	struct http_request request = { .method = BASE_STR("GET"),
					.path = path };
	int i;

	for (i = 0; i < count; i++)
		cr_assert(ne(ptr,
			     http_client_send(f->client, &request, timeout_us,
					      on_call_end, f),
			     NULL));
}

/* Guards against a daemon that runs out of memory by many large responses. */
Test(memory, is_bounded_for_all_responses_together)
{
	struct fixture f;

	setup(&f);
	f.stop_after = CALLS;
	send_calls(&f, CALLS, BASE_STR("/whole"), 20 * BASE_SECOND_US);
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.responses, CALLS));
	cr_assert(le(sz, f.most_held, MAX_HELD_BYTES), "%zu bytes were held",
		  f.most_held);
	cr_assert(eq(sz, http_client_held_bytes(f.client), 0));
	teardown(&f);
}

/*
 * Guards against responses that all wait for each other: those that never end
 * must not keep the others from theirs.
 */
Test(memory, is_given_back_by_responses_that_never_end)
{
	struct fixture f;

	setup(&f);
	f.stop_after = CALLS;
	send_calls(&f, CALLS / 2, BASE_STR("/part"), BASE_SECOND_US);
	send_calls(&f, CALLS / 2, BASE_STR("/whole"), 20 * BASE_SECOND_US);
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.responses, CALLS / 2));
	cr_assert(eq(int, f.failures, CALLS / 2));
	cr_assert(le(sz, f.most_held, MAX_HELD_BYTES), "%zu bytes were held",
		  f.most_held);
	teardown(&f);
}

/* Guards against memory that responses which were passed on still take. */
Test(memory, counts_responses_that_are_held_elsewhere)
{
	struct fixture f;

	setup(&f);
	f.held_elsewhere = MAX_HELD_BYTES;
	f.stop_after = CALLS;
	send_calls(&f, CALLS, BASE_STR("/whole"), 20 * BASE_SECOND_US);
	event_base_dispatch(f.base);
	cr_assert(eq(int, f.responses, CALLS));
	cr_assert(le(sz, f.most_held, MAX_HELD_BYTES));
	teardown(&f);
}
