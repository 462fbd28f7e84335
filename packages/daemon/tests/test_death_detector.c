/* Tests of the detection that the backend server has died. */
#include "death_detector.h"

#include "base.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <stdio.h>
#include <unistd.h>

/* Well within the time for which the detector waits. */
#define CLOSE_AFTER_US (5 * BASE_MS_US)

struct server {
	int listener;
	char address[32];
	/* Closes accepted connections, as a server at its limit does. */
	bool rejects;
	struct event *accepted;
	/* -1 without a verdict, else whether the server has died. */
	int died;
	struct event_base *base;
};

static void on_verdict(void *ctx, const uint64_t *ids, size_t count, bool died)
{
	struct server *s = ctx;

	(void)ids;
	(void)count;
	s->died = died;
	event_base_loopbreak(s->base);
}

static void on_close(evutil_socket_t fd, short events, void *arg)
{
	struct server *s = arg;

	(void)fd;
	(void)events;
	close(s->listener);
	s->listener = -1;
}

static void on_accept(evutil_socket_t fd, short events, void *arg)
{
	(void)events;
	(void)arg;
	close(accept(fd, NULL, NULL));
}

static struct server listen_anywhere(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	struct server s = { .died = -1 };

	s.listener = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert(eq(int, bind(s.listener, (struct sockaddr *)&addr, len), 0));
	cr_assert(eq(int, listen(s.listener, 8), 0));
	getsockname(s.listener, (struct sockaddr *)&addr, &len);
	snprintf(s.address, sizeof(s.address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	return s;
}

/* Loses a connection of the server; returns whether it counts as dead. */
static int verdict(struct server *s, bool dies)
{
	struct timeval close_after = { .tv_usec = CLOSE_AFTER_US };
	struct death_detector *d;
	struct event *timer;

	s->base = event_base_new();
	d = death_detector_create(s->base, s->address, true, on_verdict, s);
	timer = evtimer_new(s->base, on_close, s);
	if (dies)
		event_add(timer, &close_after);
	if (s->rejects) {
		s->accepted = event_new(s->base, s->listener,
					EV_READ | EV_PERSIST, on_accept, s);
		event_add(s->accepted, NULL);
	}
	death_detector_connection_lost(d, 1, 1, base_now_us());
	event_base_dispatch(s->base);
	death_detector_destroy(d);
	event_free(timer);
	if (s->accepted)
		event_free(s->accepted);
	event_base_free(s->base);
	if (s->listener >= 0)
		close(s->listener);
	return s->died;
}

/*
 * Guards against a crash that does not count: the kernel still accepted the
 * probe, as a dying process closes its listening socket last.
 */
Test(death_detector, a_probe_that_is_accepted_while_the_server_dies)
{
	struct server s = listen_anywhere();

	cr_assert(eq(int, verdict(&s, true), true));
}

Test(death_detector, a_server_that_listens_is_alive)
{
	struct server s = listen_anywhere();

	cr_assert(eq(int, verdict(&s, false), false));
}

/* Guards against requests that are suspected because the server was full. */
Test(death_detector, a_server_that_closes_further_connections_is_alive)
{
	struct server s = listen_anywhere();

	s.rejects = true;
	cr_assert(eq(int, verdict(&s, false), false));
}

Test(death_detector, a_server_that_does_not_listen_is_dead)
{
	struct server s = listen_anywhere();

	close(s.listener);
	s.listener = -1;
	cr_assert(eq(int, verdict(&s, false), true));
}
