/* Error messages about the problems in a set. */
#ifndef CONFIG_PUBLISH_H
#define CONFIG_PUBLISH_H

#include "config.h"

/**
 * Stores the number of problems and a description of the first one in @p err.
 * Leaves @p err unchanged when there are none.
 */
void publish_describe_problems(const struct config_report *report,
			       struct base_error *err);

#endif
