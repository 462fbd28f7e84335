/* A ZeroMQ socket on a libevent loop. Private to the package. */
#ifndef PEER_SOCKET_WATCH_H
#define PEER_SOCKET_WATCH_H

#include "peer.h"

struct event;

/** Maximum number of messages read before other events are handled. */
#define SOCKET_WATCH_BATCH_MESSAGES 256

/**
 * ZeroMQ's descriptor signals changes only, so a socket must be read until it
 * is empty, and checked again after each send.
 */
struct socket_watch {
	void *socket;
	struct event *readable;
	/** Reads without waiting for the descriptor. */
	struct event *recheck_timer;
	/**
	 * Receives one message.
	 * @return false when none is waiting
	 */
	bool (*receive)(void *ctx);
	void *ctx;
};

/** Takes over @p socket; it is closed with the watch, also on failure. */
enum peer_status socket_watch_open(struct socket_watch *watch,
				   struct event_base *loop, void *socket,
				   bool (*receive)(void *ctx), void *ctx);
/** Does nothing for a watch that is zeroed or closed. */
void socket_watch_close(struct socket_watch *watch);
/**
 * Returns true when a message waits, which is then read from the loop. Needed
 * after each send, because a send may reset the descriptor.
 */
bool socket_watch_check(struct socket_watch *watch);
/** Receives until the socket is empty or closed. Returns the message count. */
size_t socket_watch_drain(struct socket_watch *watch);

#endif
