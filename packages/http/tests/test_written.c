/* Tests of responses that the server must not write. */
#include "http.h"

#include "sockets.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SETTLE_US (20 * BASE_MS_US)

struct fixture {
	struct event_base *base;
	struct http_server *server;
	/* The response to each request. */
	int status;
	struct http_headers headers;
	int invalid_count;
	/* What the caller received. */
	char received[1024];
};

static void reply(void *ctx, struct http_exchange *ex)
{
	struct fixture *f = ctx;

	http_exchange_reply(ex, f->status, &f->headers, BASE_STR("body"));
}

static void count_invalid(void *ctx, int status)
{
	struct fixture *f = ctx;

	f->invalid_count++;
}

static void setup(struct fixture *f)
{
	struct http_server_settings settings = {
		.listen = BASE_STR("127.0.0.1:0"),
		.max_body = 1000,
		.max_head_bytes = 2048,
		.max_connections = 4,
		.idle_timeout_us = BASE_SECOND_US,
		.handler = reply,
		.on_invalid_response = count_invalid,
		.ctx = f,
	};

	*f = (struct fixture){ .base = event_base_new(), .status = 200 };
	cr_assert(eq(int,
		     http_server_create(f->base, &settings, &f->server, NULL),
		     HTTP_ERR_NONE));
}

static void teardown(struct fixture *f)
{
	http_server_destroy(f->server);
	http_headers_release(&f->headers);
	event_base_free(f->base);
}

/* Sends a request and stores the whole response. */
static void receive_response(struct fixture *f)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n"
				      "Connection: close\r\n\r\n";
	struct timeval settle = { .tv_usec = SETTLE_US };
	int fd = test_connect(http_server_address(f->server));

	memset(f->received, 0, sizeof(f->received));
	cr_assert(eq(long, (long)write(fd, request, sizeof(request) - 1),
		     (long)sizeof(request) - 1));
	event_base_loopexit(f->base, &settle);
	event_base_dispatch(f->base);
	cr_assert(gt(long,
		     (long)recv(fd, f->received, sizeof(f->received) - 1,
				MSG_DONTWAIT),
		     0L));
	close(fd);
}

#define REPLACEMENT                                         \
	"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n" \
	"Connection: close\r\n\r\n"

/* Guards against a status line that no reader takes for one, or as interim. */
Test(written, no_status_that_is_not_final)
{
	static const int statuses[] = { -1,	0,    1,	 20,
					99,	100,  101,	 199,
					600,	999,  1000,	 2000,
					200000, -200, INT32_MAX, INT32_MIN };
	struct fixture f;
	size_t i;

	setup(&f);
	for (i = 0; i < BASE_ARRAY_SIZE(statuses); i++) {
		f.status = statuses[i];
		receive_response(&f);
		cr_expect(eq(str, f.received, REPLACEMENT), "status %d",
			  statuses[i]);
	}
	cr_expect(eq(int, f.invalid_count, (int)i));
	for (f.status = 200; f.status <= 599; f.status += 57) {
		receive_response(&f);
		cr_expect(eq(int, atoi(f.received + 9), f.status));
	}
	cr_expect(eq(int, f.invalid_count, (int)i));
	teardown(&f);
}

/*
 * Guards against a header that ends its line early or is none, which readers
 * may take for another header or another response.
 */
Test(written, no_header_that_is_not_valid)
{
	static const struct http_header headers[] = {
		{ BASE_STR("X Y"), BASE_STR("1") },
		{ BASE_STR("X\t"), BASE_STR("1") },
		{ BASE_STR("X\x01"), BASE_STR("1") },
		{ BASE_STR("X\r\nY"), BASE_STR("1") },
		{ BASE_STR("X:"), BASE_STR("1") },
		{ BASE_STR(""), BASE_STR("1") },
		{ BASE_STR("Content-Length "), BASE_STR("1") },
		{ BASE_STR("Transfer Encoding"), BASE_STR("chunked") },
		{ BASE_STR("X"), BASE_STR("1\r\nContent-Length: 0\r\n\r\n") },
		{ BASE_STR("X"), BASE_STR("1\nY: 1") },
		{ BASE_STR("X"), BASE_STR("1\rY: 1") },
		{ BASE_STR("X"), BASE_STR("\x01") },
		{ BASE_STR("X"), BASE_STR("a\0b") },
		{ BASE_STR("X"), BASE_STR("\x7f") },
	};
	struct fixture f;
	size_t i;

	setup(&f);
	for (i = 0; i < BASE_ARRAY_SIZE(headers); i++) {
		http_headers_release(&f.headers);
		http_headers_add(&f.headers, BASE_STR("A"), BASE_STR("1"));
		http_headers_add(&f.headers, headers[i].name, headers[i].value);
		receive_response(&f);
		cr_expect(eq(str, f.received, REPLACEMENT), "header %zu", i);
	}
	cr_expect(eq(int, f.invalid_count, (int)i));
	http_headers_release(&f.headers);
	http_headers_add(&f.headers, BASE_STR("X"), BASE_STR("a\tb \xc3\xa9"));
	http_headers_add(&f.headers, BASE_STR("Y"), BASE_STR(""));
	receive_response(&f);
	cr_expect(eq(int, atoi(f.received + 9), 200));
	teardown(&f);
}
