/* Tests of the output of messages and of the memory of header lists. */
#include "output.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void send_text(struct bufferevent *bev, const char *text)
{
	struct evbuffer *out = http_output_begin(bev, true);

	evbuffer_add(out, text, strlen(text));
	http_output_end(bev, out);
}

/*
 * Guards against messages that wait for the event loop, which costs three
 * system calls each, and against one that overtakes an unfinished message.
 */
Test(output, is_written_at_once_and_in_order)
{
	struct event_base *base = event_base_new();
	struct bufferevent *bev;
	char *large = calloc(1, 4 << 20);
	char text[8] = "";
	int fds[2];

	cr_assert(eq(int,
		     socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
		     0));
	bev = bufferevent_socket_new(base, fds[0], BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(bev, EV_WRITE);
	send_text(bev, "abc");
	cr_assert(eq(int, (int)read(fds[1], text, sizeof(text)), 3));
	memset(large, 'x', (4 << 20) - 1);
	send_text(bev, large);
	cr_assert(gt(sz, evbuffer_get_length(bufferevent_get_output(bev)), 0));
	send_text(bev, "end");
	while (evbuffer_get_length(bufferevent_get_output(bev))) {
		ssize_t n;

		event_base_loop(base, EVLOOP_NONBLOCK);
		while ((n = read(fds[1], large, 4 << 20)) > 0)
			memcpy(text, large + n - 3, n < 3 ? 0 : 3);
	}
	cr_assert(eq(str, text, "end"));
	bufferevent_free(bev);
	event_base_free(base);
	close(fds[1]);
	free(large);
}

/* Guards against an allocation for each name and value. */
Test(headers, of_a_usual_head_take_two_allocations)
{
	struct http_headers headers = { 0 };
	uint64_t before = base_allocation_count();
	int i;

	for (i = 0; i < 12; i++)
		http_headers_add(&headers, BASE_STR("Accept-Language"),
				 BASE_STR("en, de;q=0.5"));
	cr_assert(eq(u64, base_allocation_count() - before, 2));
	before = base_allocation_count();
	http_headers_add_view(&headers, BASE_STR("Last"), BASE_STR("value"));
	cr_assert(le(u64, base_allocation_count() - before, 1));
	http_headers_remove(&headers, BASE_STR("accept-language"));
	cr_assert(base_str_equal(http_headers_find(&headers, BASE_STR("last")),
				 BASE_STR("value")));
	http_headers_release(&headers);
}

static void assert_refusal_body(const char *detail, const char *expected)
{
	struct http_refusal_details details = {
		.refusal = HTTP_REFUSAL_OVERLOADED,
		.not_run = true,
		.retry_after_us = 1500 * BASE_MS_US,
		.detail = base_str_from(detail),
	};
	struct http_headers headers = { 0 };
	struct base_buf body = BASE_BUF_INIT;

	http_refusal_build(&details, &headers, &body);
	cr_assert(eq(str, body.ptr, (char *)expected));
	http_headers_release(&headers);
	base_buf_release(&body);
}

/* Guards against a body that is not JSON, or that depends on how it is made. */
Test(refusal, body_is_the_same_with_and_without_escapes)
{
	static const char start[] = "{\"reason\":\"overloaded\",\"outcome\":"
				    "\"not-run\",\"retry_after_ms\":1500,"
				    "\"detail\":\"";
	static const char *const texts[][2] = {
		{ "plain text, /path", "plain text, /path" },
		{ NULL, "" },
		{ "a \"b\" \\ \n", "a \\\"b\\\" \\\\ \\n" },
		{ "caf\xc3\xa9", "caf\xc3\xa9" },
	};
	char expected[256];
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(texts); i++) {
		snprintf(expected, sizeof(expected), "%s%s\"}\n", start,
			 texts[i][1]);
		assert_refusal_body(texts[i][0], expected);
	}
}

/* Guards against status lines and lengths that are formatted wrongly. */
Test(output, formats_numbers)
{
	struct evbuffer *out = evbuffer_new();

	http_output_add_status(out, 200, "OK");
	http_output_add_length(out, 0);
	http_output_add_length(out, SIZE_MAX);
	evbuffer_add(out, "", 1);
	cr_assert(eq(str, (char *)evbuffer_pullup(out, -1),
		     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
		     "Content-Length: 18446744073709551615\r\n"));
	evbuffer_free(out);
}
