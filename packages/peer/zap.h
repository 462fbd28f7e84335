/* Authentication of incoming connections (ZeroMQ RFC 27). Private. */
#ifndef PEER_ZAP_H
#define PEER_ZAP_H

#include "keys.h"
#include "socket_watch.h"

#define ZAP_DOMAIN "bilberryhinge"

/** Accepts clients that hold the fleet's key; others are counted. */
struct zap {
	struct socket_watch watch;
	const struct fleet_keys *keys;
	struct base_counter *refused;
};

/** Must come before any server socket of the context. */
enum peer_status zap_open(struct zap *zap, struct event_base *loop,
			  void *zmq_ctx, const struct fleet_keys *keys,
			  struct base_counter *refused);
void zap_close(struct zap *zap);

#endif
