/* Messages about the problems of a set. */
#ifndef CONFIG_PUBLISH_H
#define CONFIG_PUBLISH_H

#include "config.h"

/** Describes the first problem and the number of all of them in @p err. */
void publish_describe_problems(const struct config_report *report,
			       struct base_error *err);

#endif
