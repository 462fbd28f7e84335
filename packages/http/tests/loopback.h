/* Listener of the servers that tests of the HTTP client write themselves. */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <event2/listener.h>

/* "IP:PORT" of a listener on loopback. */
#define LOOPBACK_ADDRESS_SIZE 32

/** Listens on a free port and writes its address. Fails the test otherwise. */
struct evconnlistener *loopback_listen(struct event_base *base,
				       evconnlistener_cb on_accept, void *ctx,
				       char address[LOOPBACK_ADDRESS_SIZE]);

#endif
