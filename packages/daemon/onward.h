/**
 * @file
 * HTTP interface for the onward calls of the local backend server.
 */
#ifndef ONWARD_H
#define ONWARD_H

#include "node.h"

/** @return NULL with @p err set when the address cannot be bound */
struct onward *onward_create(struct node *node, struct base_error *err);
/** No onward call may be open. @p onward may be NULL. */
void onward_destroy(struct onward *onward);
/** The bound address as "IP:PORT"; owned by @p onward. */
const char *onward_address(const struct onward *onward);

#endif
