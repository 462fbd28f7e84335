/*
 * A planned stop: peers and the platform learn of it, what is open is answered,
 * and the loop ends.
 */
#ifndef DRAIN_H
#define DRAIN_H

#include "node.h"

struct drain;

struct drain *drain_create(struct node *node);
void drain_destroy(struct drain *drain);
/** Begins the stop; further calls change nothing. */
void drain_start(struct drain *drain, int64_t now);

#endif
