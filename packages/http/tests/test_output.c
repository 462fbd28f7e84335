/* Tests of the output of messages and of the memory of header lists. */
#include "output.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
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
	http_headers_add(&headers, BASE_STR("Last"), BASE_STR("value"));
	http_headers_remove(&headers, BASE_STR("accept-language"));
	cr_assert(base_str_equal(http_headers_find(&headers, BASE_STR("last")),
				 BASE_STR("value")));
	http_headers_release(&headers);
}
