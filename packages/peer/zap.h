/*
 * Handler for the ZeroMQ Authentication Protocol (ZAP, ZeroMQ RFC 27). Private
 * to the package.
 */
#ifndef PEER_ZAP_H
#define PEER_ZAP_H

#include "keys.h"
#include "socket_watch.h"

#define ZAP_DOMAIN "bilberryhinge"

/** Accepts clients that have the key of the fleet; counts refused ones. */
struct zap {
	struct socket_watch watch;
	const struct fleet_keys *keys;
	struct base_counter *refused;
};

/**
 * Starts the handler. It must be called before a server socket of the ZeroMQ
 * context is opened. Keys and counter must outlive the handler.
 */
enum peer_status zap_open(struct zap *zap, struct event_base *loop,
			  void *zmq_ctx, const struct fleet_keys *keys,
			  struct base_counter *refused);
void zap_close(struct zap *zap);

#endif
