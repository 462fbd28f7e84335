/* Recording of problems found in a set. */
#include "report.h"

#include <stdio.h>
#include <string.h>

/* Long enough to identify a value, short enough for a terminal. */
#define VALUE_TEXT_MAX_BYTES 120

static char *copy(const char *text)
{
	return base_str_dup(base_str_from(text));
}

char *report_value_text(const json_t *value, size_t max)
{
	char *text, *shown;
	size_t len;

	if (!value)
		return copy("");
	text = json_dumps(value,
			  JSON_ENCODE_ANY | JSON_COMPACT | JSON_SORT_KEYS);
	if (!text)
		return copy("");
	len = strlen(text);
	if (len <= max) {
		shown = copy(text);
	} else {
		struct base_buf cut = BASE_BUF_INIT;

		base_buf_add(&cut, text, max);
		base_buf_addf(&cut, "...");
		shown = cut.ptr;
	}
	free(text);
	return shown;
}

static struct config_problem *append(struct config_report *report)
{
	if (report->count == report->cap) {
		report->cap = report->cap ? report->cap * 2 : 8;
		report->problems =
			base_realloc(report->problems,
				     report->cap * sizeof(*report->problems));
	}
	return &report->problems[report->count++];
}

void report_add(struct config_report *report, struct report_location location,
		const json_t *value, const char *fmt, ...)
{
	struct config_problem *problem = append(report);
	char reason[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(reason, sizeof(reason), fmt, args);
	va_end(args);
	problem->kind = copy(location.kind);
	problem->name = copy(location.name);
	problem->field = copy(location.field);
	problem->source = copy(location.source);
	problem->value = report_value_text(value, VALUE_TEXT_MAX_BYTES);
	problem->reason = copy(reason);
}

void report_append_copy(struct config_report *report,
			const struct config_problem *from)
{
	struct config_problem *problem = append(report);

	problem->kind = copy(from->kind);
	problem->name = copy(from->name);
	problem->field = copy(from->field);
	problem->value = copy(from->value);
	problem->reason = copy(from->reason);
	problem->source = copy(from->source);
}

void config_report_release(struct config_report *report)
{
	size_t i;

	for (i = 0; i < report->count; i++) {
		struct config_problem *problem = &report->problems[i];

		free(problem->kind);
		free(problem->name);
		free(problem->field);
		free(problem->value);
		free(problem->reason);
		free(problem->source);
	}
	free(report->problems);
	*report = CONFIG_REPORT_INIT;
}
