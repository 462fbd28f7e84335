/* The interface for onward calls of the own backend server. */
#ifndef ONWARD_H
#define ONWARD_H

#include "node.h"

struct onward *onward_create(struct node *node, struct base_error *err);
void onward_destroy(struct onward *onward);
const char *onward_address(const struct onward *onward);

#endif
