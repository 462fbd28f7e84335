/* Delivers the messages that arrived while the process was paused. */
#include "transport.h"

#include <unistd.h>
#include <utlist.h>

/* With no message for this long, the I/O thread has read all there is. */
#define QUIET_INTERVAL_US (1 * BASE_MS_US)

static size_t drain_link(struct peer_link *link)
{
	return socket_watch_drain(&link->dealer) +
	       socket_watch_drain(&link->monitor.watch);
}

/*
 * Reads all sockets. Callbacks may close links meanwhile, since these are freed
 * only when the event loop runs again.
 */
static size_t drain_all(struct peer_transport *t)
{
	size_t n = socket_watch_drain(&t->zap.watch);
	struct peer_link *link;
	struct peer_link *next;

	n += socket_watch_drain(&t->router_monitor.watch);
	n += socket_watch_drain(&t->router);
	HASH_ITER (hh, t->links, link, next)
		n += drain_link(link);
	DL_FOREACH_SAFE(t->detached_links, link, next)
	{
		n += drain_link(link);
	}
	return n;
}

void peer_transport_receive_pending(struct peer_transport *t)
{
	int64_t end = base_now_us() + PEER_PENDING_MAX_US;
	size_t n;

	do {
		n = drain_all(t);
		if (n)
			continue;
		usleep(QUIET_INTERVAL_US);
		n = drain_all(t);
	} while (n && base_now_us() < end);
}
