/* The order of priorities. */
#ifndef CONFIG_PRIORITY_H
#define CONFIG_PRIORITY_H

#include "set.h"

/* Each guard keeps one queue per priority; more are assumed to be a mistake. */
#define PRIORITY_MAX_COUNT 32

/**
 * Reports cycles and forks. With more than PRIORITY_MAX_COUNT priorities it
 * reports only their number, as its run time grows with the square of the
 * count. Dangling references are reported by config_set_check().
 */
void priority_check_chain(const struct config_set *set,
			  struct config_report *report);
/**
 * Returns the number of priorities below priority @p name, or -1 when it does
 * not exist, when the chain below it has a cycle or a dangling reference, or
 * when PRIORITY_MAX_COUNT or more are below it.
 */
int64_t priority_height(const struct config_set *set, const char *name);

#endif
