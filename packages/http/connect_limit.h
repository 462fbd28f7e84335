/*
 * Bounds the rate of new connections to a server that refuses or resets them.
 * Opens no socket; the present time is an argument.
 */
#ifndef HTTP_CONNECT_LIMIT_H
#define HTTP_CONNECT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct connect_limit {
	/** New connections a second while in trouble; 0 for no limit. */
	int64_t per_s;
	/** The server counts as being in trouble until then. */
	int64_t troubled_until;
	/** Connections that may be opened at once while in trouble. */
	double tokens;
	int64_t refilled_at;
};

/** Whether one may be opened; counts it if so. */
bool connect_limit_take(struct connect_limit *l, int64_t now);
/** A connection was refused, or lost before its first response. */
void connect_limit_failed(struct connect_limit *l, int64_t now);
/** A new connection has carried its first response. */
void connect_limit_succeeded(struct connect_limit *l, int64_t now);

#endif
