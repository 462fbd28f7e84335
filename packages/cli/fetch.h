/* One HTTP request to a daemon's admin interface. */
#ifndef CLI_FETCH_H
#define CLI_FETCH_H

#include "base.h"

/** Time until a daemon that does not answer is given up. */
#define FETCH_TIMEOUT_S 5

/**
 * Gets @p path from @p address and appends the body to @p body.
 * @param address  HOST:PORT or [V6]:PORT
 * @return the HTTP status; 0 with @p err set when there was no answer
 */
int fetch_get(const char *address, const char *path, struct base_buf *body,
	      struct base_error *err);

#endif
