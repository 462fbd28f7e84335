/* Recording of problems found in a set. */
#ifndef CONFIG_REPORT_H
#define CONFIG_REPORT_H

#include "config.h"

#include <jansson.h>

/** Where a problem was found. Members that do not apply are NULL. */
struct report_location {
	const char *kind;
	const char *name;
	const char *field;
	const char *source;
};

/** Appends a problem with a formatted reason; @p value may be NULL. */
void report_add(struct config_report *report, struct report_location location,
		const json_t *value, const char *fmt, ...) BASE_PRINTF(4, 5);
void report_append_copy(struct config_report *report,
			const struct config_problem *from);
/**
 * Returns @p value as JSON, or an empty string for NULL. Text that is longer
 * than @p max bytes is cut to @p max bytes followed by "...". The caller frees
 * the result.
 */
char *report_value_text(const json_t *value, size_t max);

#endif
