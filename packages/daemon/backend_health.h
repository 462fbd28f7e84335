/*
 * Asks the own backend server who it is and whether it is cold, until it tells.
 */
#ifndef BACKEND_HEALTH_H
#define BACKEND_HEALTH_H

#include "node.h"

struct backend_health;

/** What the backend server said of itself; valid during the call. */
struct backend_health_report {
	/** Empty when the dialect has no identities. */
	struct base_str instance;
	/** Time for which it stays cold. */
	int64_t cold_us;
};

/** @return false to ask again later, for a server that is not the right one */
typedef bool (*backend_health_cb)(void *ctx,
				  const struct backend_health_report *report);

struct backend_health *backend_health_create(struct node *node,
					     struct http_client *client,
					     backend_health_cb cb, void *ctx);
void backend_health_destroy(struct backend_health *h);
/** Starts to ask, unless it is under way. Needs the own VM's service. */
void backend_health_check(struct backend_health *h, int64_t now);

#endif
