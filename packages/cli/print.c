/* Output that commands share. */
#include "print.h"

static void print_problem(FILE *file, const struct config_problem *p)
{
	if (*p->source)
		fprintf(file, "%s: ", p->source);
	if (*p->kind)
		fprintf(file, "%s ", p->kind);
	if (*p->name)
		fprintf(file, "\"%s\" ", p->name);
	if (*p->field)
		fprintf(file, "%s ", p->field);
	if (*p->value)
		fprintf(file, "%s: ", p->value);
	fprintf(file, "%s\n", p->reason);
}

void print_problems(FILE *file, const struct config_report *report)
{
	size_t i;

	for (i = 0; i < report->count; i++)
		print_problem(file, &report->problems[i]);
	fprintf(file, "%zu problem%s\n", report->count,
		report->count == 1 ? "" : "s");
}

json_t *print_problems_json(const struct config_report *report)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < report->count; i++) {
		const struct config_problem *p = &report->problems[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "source",
				  p->source, "kind", p->kind, "name", p->name,
				  "field", p->field, "value", p->value,
				  "reason", p->reason));
	}
	return list;
}

void print_json(json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(json);
}

json_t *print_json_str(struct base_str text)
{
	return json_stringn(text.ptr ? text.ptr : "", text.len);
}
