/* Listener of the servers that tests of the HTTP client write themselves. */
#include "loopback.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

/* A test may open many connections at once. */
#define LISTEN_BACKLOG 128

struct evconnlistener *loopback_listen(struct event_base *base,
				       evconnlistener_cb on_accept, void *ctx,
				       char address[LOOPBACK_ADDRESS_SIZE])
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);
	struct evconnlistener *listener;

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = evconnlistener_new_bind(
		base, on_accept, ctx, LEV_OPT_CLOSE_ON_FREE, LISTEN_BACKLOG,
		(struct sockaddr *)&in, (int)len);
	cr_assert(ne(ptr, listener, NULL));
	getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&in,
		    &len);
	snprintf(address, LOOPBACK_ADDRESS_SIZE, "127.0.0.1:%d",
		 ntohs(in.sin_port));
	return listener;
}
