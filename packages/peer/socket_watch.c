/* Edge-triggered ZeroMQ descriptors in a level-triggered event loop. */
#include "socket_watch.h"

#include <event2/event.h>
#include <zmq.h>

static const struct timeval at_once = { 0, 0 };

/*
 * Reads one batch. The rest of a longer queue is read after the loop has
 * handled other sockets. A timer schedules it, because an event that activates
 * itself would run again in the same pass of the loop.
 */
static void on_ready(evutil_socket_t fd, short what, void *arg)
{
	struct socket_watch *watch = arg;
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < SOCKET_WATCH_BATCH_MESSAGES; i++)
		if (!watch->socket || !watch->receive(watch->ctx))
			return;
	if (watch->socket)
		evtimer_add(watch->recheck_timer, &at_once);
}

enum peer_status socket_watch_open(struct socket_watch *watch,
				   struct event_base *loop, void *socket,
				   bool (*receive)(void *ctx), void *ctx)
{
	size_t size = sizeof(int);
	int fd;

	watch->socket = socket;
	watch->receive = receive;
	watch->ctx = ctx;
	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size))
		goto fail;
	watch->readable =
		event_new(loop, fd, EV_READ | EV_PERSIST, on_ready, watch);
	watch->recheck_timer = evtimer_new(loop, on_ready, watch);
	if (!watch->readable || !watch->recheck_timer)
		goto fail;
	event_add(watch->readable, NULL);
	evtimer_add(watch->recheck_timer, &at_once);
	return PEER_OK;
fail:
	socket_watch_close(watch);
	return PEER_ERR_SYSTEM;
}

void socket_watch_close(struct socket_watch *watch)
{
	if (watch->readable)
		event_free(watch->readable);
	if (watch->recheck_timer)
		event_free(watch->recheck_timer);
	if (watch->socket)
		zmq_close(watch->socket);
	*watch = (struct socket_watch){ 0 };
}

/* Reading ZMQ_EVENTS also resets the descriptor, so a timer schedules reads. */
bool socket_watch_check(struct socket_watch *watch)
{
	size_t size = sizeof(int);
	int events;

	if (zmq_getsockopt(watch->socket, ZMQ_EVENTS, &events, &size))
		return false;
	if (!(events & ZMQ_POLLIN))
		return false;
	evtimer_add(watch->recheck_timer, &at_once);
	return true;
}

size_t socket_watch_drain(struct socket_watch *watch)
{
	size_t n = 0;

	while (watch->socket && watch->receive(watch->ctx))
		n++;
	return n;
}
