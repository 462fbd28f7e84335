/* Building the list of problems. */
#ifndef CONFIG_REPORT_H
#define CONFIG_REPORT_H

#include "config.h"

#include <jansson.h>

/** Where a problem was found; absent texts may be NULL. */
struct report_location {
	const char *kind;
	const char *name;
	const char *field;
	const char *source;
};

/** Appends a problem; @p value may be NULL. */
void report_add(struct config_report *report, struct report_location location,
		const json_t *value, const char *fmt, ...) BASE_PRINTF(4, 5);
void report_append_copy(struct config_report *report,
			const struct config_problem *from);
/** Returns @p value as JSON, at most @p max characters; the caller frees. */
char *report_value_text(const json_t *value, size_t max);

#endif
