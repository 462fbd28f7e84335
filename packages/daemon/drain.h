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

#endif
