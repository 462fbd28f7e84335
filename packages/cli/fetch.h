/* HTTP client for the admin interface of a daemon. */
#ifndef CLI_FETCH_H
#define CLI_FETCH_H

#include "base.h"

/** Time after which a request without a response fails, in seconds. */
#define FETCH_TIMEOUT_S 5

/**
 * Sends a GET request for @p path to @p address and appends the body of the
 * response to @p body. Blocks until the response arrives or the request fails.
 * @param address  HOST:PORT, or [HOST]:PORT for an IPv6 address
 * @return the HTTP status; 0 with @p err set when there is no response
 */
int fetch_get(const char *address, const char *path, struct base_buf *body,
	      struct base_error *err);

#endif
