/* Monitor for connection events of a ZeroMQ socket. Private to the package. */
#ifndef PEER_MONITOR_H
#define PEER_MONITOR_H

#include "socket_watch.h"

struct monitor {
	struct socket_watch watch;
	void *monitored;
	/** @param event  a ZMQ_EVENT_* value */
	void (*event)(void *ctx, int event);
	void *ctx;
};

/**
 * Starts to monitor a socket.
 * @param events  mask of ZMQ_EVENT_* values to report
 */
enum peer_status monitor_open(struct monitor *monitor, struct event_base *loop,
			      void *zmq_ctx, void *monitored, int events,
			      void (*event)(void *ctx, int event), void *ctx);
/** Stops the monitor. It must be called before the socket is closed. */
void monitor_close(struct monitor *monitor);

#endif
