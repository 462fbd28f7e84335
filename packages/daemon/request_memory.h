/* The memory and the connections that all requests of the daemon share. */
#ifndef REQUEST_MEMORY_H
#define REQUEST_MEMORY_H

#include "node.h"

struct http_request_budget *request_memory_create(struct node *node);
/**
 * Largest number of connections that send requests: the setting, or less when
 * the process may have few descriptors.
 */
size_t request_memory_max_connections(const struct node *node);

#endif
