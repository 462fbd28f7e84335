/* The chain of priorities. */
#ifndef CONFIG_PRIORITY_H
#define CONFIG_PRIORITY_H

#include "set.h"

/* Each guard keeps a queue per class; more classes are taken for a mistake. */
#define PRIORITY_MAX_COUNT 32

/**
 * Reports cycles and forks, or only that there are over PRIORITY_MAX_COUNT
 * classes. Dangling references are reported elsewhere.
 */
void priority_check_chain(const struct config_set *set,
			  struct config_report *report);
/**
 * Returns the number of classes below priority @p name; -1 when it does not
 * exist, is part of a cycle or leads to one.
 */
int64_t priority_height(const struct config_set *set, const char *name);

#endif
