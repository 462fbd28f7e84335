/**
 * @file
 * Health checks of the local backend server. They are repeated until the server
 * reports its instance id and how long it stays cold.
 */
#ifndef BACKEND_HEALTH_H
#define BACKEND_HEALTH_H

#include "node.h"

struct backend_health;

/** Answer of the backend server to a health check; valid during the call. */
struct backend_health_report {
	/** Instance id; empty when the dialect has none. */
	struct base_str instance;
	/** Time for which the server stays cold; 0 when it is warm. */
	int64_t cold_us;
	const struct http_headers *headers;
	/** When the check was sent. */
	int64_t sent_at;
};

/** @return false to repeat the check, when another server has answered */
typedef bool (*backend_health_cb)(void *ctx,
				  const struct backend_health_report *report);

/** @param client  must outlive the result */
struct backend_health *backend_health_create(struct node *node,
					     struct http_client *client,
					     backend_health_cb cb, void *ctx);
void backend_health_destroy(struct backend_health *h);
/**
 * Sends a check unless one is in flight or scheduled. Does nothing while the
 * local VM is in no snapshot.
 */
void backend_health_check(struct backend_health *h, int64_t now);

#endif
