/* Check of fields whose values must be unique among objects of a kind. */
#ifndef CONFIG_UNIQUE_H
#define CONFIG_UNIQUE_H

#include "set.h"

/**
 * Reports duplicate key ids, key hashes and peer addresses, and routes with the
 * same method and path prefix.
 */
void unique_check(const struct config_set *set, struct config_report *report);

#endif
