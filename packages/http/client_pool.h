/* Connections of the HTTP client: when they are opened, kept and closed. */
#ifndef HTTP_CLIENT_POOL_H
#define HTTP_CLIENT_POOL_H

#include "client_state.h"

/** Removes an idle connection from the pool and closes it. */
void client_close_idle(struct connection *c, enum http_close_cause cause);
/** Closes a connection that is not in the pool. */
void client_close_connection(struct connection *c, enum http_close_cause cause);
/**
 * Takes an idle connection, or opens one.
 * @param id  hash of the request's id
 * @return NULL when no connection may be opened
 */
struct connection *client_acquire_connection(struct http_client *client,
					     uint64_t id, bool fresh,
					     int64_t now);
/**
 * Returns a connection whose response is complete to the pool, or closes it.
 * @param headers  of the response
 */
void client_release_connection(struct connection *c,
			       const struct http_headers *headers, int64_t now);
/** Returns a connection to the pool that is not established yet. */
void client_release_unused(struct connection *c, int64_t now);
/** Makes sure that the connection does not carry the request again. */
void client_remember_failure(struct connection *c, uint64_t id);

#endif
