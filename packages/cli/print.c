/* Output functions that the commands share. */
#include "print.h"

void print_line(FILE *file, struct base_str line)
{
	size_t i;

	for (i = 0; i < line.len; i++) {
		unsigned char c = (unsigned char)line.ptr[i];

		if (c < 0x20 || c == 0x7f)
			fprintf(file, "\\x%02x", c);
		else
			putc(c, file);
	}
	putc('\n', file);
}

static void print_problem(FILE *file, const struct config_problem *p)
{
	BASE_CLEANUP(base_buf_release) struct base_buf line = BASE_BUF_INIT;

	if (*p->source)
		base_buf_addf(&line, "%s: ", p->source);
	if (*p->kind)
		base_buf_addf(&line, "%s ", p->kind);
	if (*p->name)
		base_buf_addf(&line, "\"%s\" ", p->name);
	if (*p->field)
		base_buf_addf(&line, "%s ", p->field);
	if (*p->value)
		base_buf_addf(&line, "%s: ", p->value);
	base_buf_addf(&line, "%s", p->reason);
	print_line(file, base_buf_str(&line));
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

static const char *const change_type_names[] = {
	[CONFIG_CHANGE_ADDED] = "added",
	[CONFIG_CHANGE_REMOVED] = "removed",
	[CONFIG_CHANGE_FIELD] = "changed",
};

static void print_change(FILE *file, const struct config_change *change)
{
	static const char symbols[] = {
		[CONFIG_CHANGE_ADDED] = '+',
		[CONFIG_CHANGE_REMOVED] = '-',
		[CONFIG_CHANGE_FIELD] = '~',
	};
	BASE_CLEANUP(base_buf_release) struct base_buf line = BASE_BUF_INIT;

	base_buf_addf(&line, "%c %s %s", symbols[change->type], change->kind,
		      change->name);
	if (change->type == CONFIG_CHANGE_FIELD)
		base_buf_addf(&line, " %s: %s -> %s", change->field,
			      *change->before ? change->before : "(absent)",
			      *change->after ? change->after : "(absent)");
	print_line(file, base_buf_str(&line));
}

void print_changes(FILE *file, const struct config_diff *diff)
{
	size_t i;

	for (i = 0; i < diff->count; i++)
		print_change(file, &diff->changes[i]);
}

static json_t *parse_json_value(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	return value ? value : json_null();
}

json_t *print_changes_json(const struct config_diff *diff)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < diff->count; i++) {
		const struct config_change *c = &diff->changes[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:o, s:o}", "change",
				  change_type_names[c->type], "kind", c->kind,
				  "name", c->name, "field", c->field, "before",
				  parse_json_value(c->before), "after",
				  parse_json_value(c->after)));
	}
	return list;
}
