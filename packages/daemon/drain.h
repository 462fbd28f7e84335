/**
 * @file
 * Drain: the planned stop of the daemon. Peers and the platform are notified,
 * open requests are answered, then the event loop ends.
 */
#ifndef DRAIN_H
#define DRAIN_H

#include "node.h"

struct drain;

struct drain *drain_create(struct node *node);
void drain_destroy(struct drain *drain);
/** Starts the drain; further calls have no effect. */
void drain_start(struct drain *drain, int64_t now);
/**
 * Decides whether a request can be taken, given that its answer may come as
 * late as @p deadline. In a planned stop it is taken only if the daemon is
 * still there at that time. Until callers and peers can know of the stop, a
 * longer request is taken as well, but its backend server gets less time, so
 * that it answers before the stop ends.
 * @return the deadline for the backend server; 0 when the request must not be
 *         taken
 */
int64_t drain_limit_deadline(const struct node *node, int64_t deadline,
			     int64_t now);

#endif
