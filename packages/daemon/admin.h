/* Admin interface: status, counters, metrics, spans and readiness. */
#ifndef ADMIN_H
#define ADMIN_H

#include "node.h"

/** @return NULL with @p err set when an address cannot be bound */
struct admin *admin_create(struct node *node, struct base_error *err);
void admin_destroy(struct admin *admin);
/** The bound address as "IP:PORT"; owned by @p admin. */
const char *admin_address(const struct admin *admin);

#endif
