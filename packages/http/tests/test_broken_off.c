/* Tests with a server that closes in the middle of its response. */
#include "http.h"
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>

#define CALL_TIMEOUT_US (2 * BASE_SECOND_US)

struct fixture {
	struct event_base *base;
	struct evconnlistener *listener;
	struct http_client *client;
	/* What the server sends before it closes. */
	const char *response;
	size_t sent;
	bool reset;
	bool requested;
	bool ended;
	enum http_result result;
	char address[LOOPBACK_ADDRESS_SIZE];
};

/* Also called once before the request has come. */
static void on_written(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	struct linger linger = { 1, 0 };

	if (!f->requested)
		return;
	if (f->reset)
		setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
	bufferevent_free(bev);
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	f->requested = true;
	if (f->sent)
		bufferevent_write(bev, f->response, f->sent);
	else
		on_written(bev, f);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct fixture *f = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_request, on_written, NULL, f);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_call_end(void *ctx, enum http_result result,
			const struct http_response *response)
{
	struct fixture *f = ctx;

	f->ended = true;
	f->result = result;
	event_base_loopbreak(f->base);
}

static enum http_result result_of(struct fixture *f, size_t sent)
{
	struct http_request request = { .method = BASE_STR("GET"),
					.path = BASE_STR("/"),
					.fresh_connection = true };

	f->sent = sent;
	f->requested = false;
	f->ended = false;
	http_headers_add(&request.headers, BASE_STR("Id"), BASE_STR("1"));
	cr_assert(ne(ptr,
		     http_client_send(f->client, &request, CALL_TIMEOUT_US,
				      on_call_end, f),
		     NULL));
	http_headers_release(&request.headers);
	while (!f->ended)
		event_base_dispatch(f->base);
	return f->result;
}

/*
 * Sends the first bytes of the response, one more each time. Fewer than
 * @p whole must not be taken for a response.
 */
static void expect_whole_only(const char *response, size_t whole, bool reset)
{
	struct fixture f = { .base = event_base_new(),
			     .response = response,
			     .reset = reset };
	struct http_client_settings settings = {
		.max_connections = 2,
		.max_response_bytes = 1000,
		.echo_header = BASE_STR("Id"),
		.accept_close_delimited = true,
	};
	enum http_result result;
	size_t i;

	f.listener = loopback_listen(f.base, on_accept, &f, f.address);
	settings.address = base_str_from(f.address);
	cr_assert(eq(int,
		     http_client_create(f.base, &settings, &f.client, NULL),
		     HTTP_ERR_NONE));
	for (i = 0; i < whole; i++) {
		result = result_of(&f, i);
		cr_assert(ne(int, result, HTTP_RESULT_RESPONSE),
			  "%zu of %zu bytes are a response", i, whole);
	}
	result = result_of(&f, strlen(response));
	if (!reset)
		cr_assert(eq(int, result, HTTP_RESULT_RESPONSE));
	http_client_destroy(f.client);
	evconnlistener_free(f.listener);
	event_base_free(f.base);
}

#define HEAD "HTTP/1.1 200 OK\r\nId: 1\r\n"

/* Guards against a response without its body, or with a part of it. */
Test(broken_off, with_a_length)
{
	static const char response[] = HEAD "Content-Length: 4\r\n\r\nbody";

	expect_whole_only(response, sizeof(response) - 1, false);
	expect_whole_only(response, sizeof(response) - 5, true);
}

Test(broken_off, in_chunks)
{
	static const char response[] =
		HEAD "Transfer-Encoding: chunked\r\n\r\n"
		     "4\r\nbody\r\n0\r\nX-Trailer: y\r\n\r\n";

	expect_whole_only(response, sizeof(response) - 1, false);
}

/* Without a length, what follows the head is whole when the server closes. */
Test(broken_off, in_a_head_without_a_length)
{
	static const char response[] = HEAD "X-More: y\r\n\r\nbody";

	expect_whole_only(response, sizeof(response) - 5, false);
}

Test(broken_off, after_an_interim_response)
{
	static const char response[] = "HTTP/1.1 100 Continue\r\n\r\n" HEAD
				       "Content-Length: 4\r\n\r\nbody";

	expect_whole_only(response, sizeof(response) - 1, false);
}
