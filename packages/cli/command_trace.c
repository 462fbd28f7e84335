/* The command `trace`. */
#include "args.h"
#include "commands.h"

#include <stdio.h>
#include <string.h>

static const struct argp_option options[] = { { 0 } };

static const struct args_spec spec = {
	.options = options,
	.usage = "ID FILE...",
	.doc = "Prints the lines of one request from the logs of several "
	       "daemons, ordered by time. Calls that servers made for the "
	       "request are included when their ids are the request's id "
	       "followed by a dot and a suffix.",
	.min_operands = 2,
	.max_operands = SIZE_MAX,
};

struct trace_line {
	int64_t ts;
	/** Position in the input; orders lines of the same millisecond. */
	size_t sequence;
	const char *file;
	char *text;
};

struct trace {
	struct base_str id;
	struct trace_line *lines;
	size_t count;
	size_t capacity;
};

static void trace_release(struct trace *t)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		free(t->lines[i].text);
	free(t->lines);
}

/*
 * True when the request id of the line is the id searched for, or that id
 * followed by a dot and the suffix of a call made for the request.
 */
static bool matches_request(const struct trace *t, const char *line)
{
	static const char key[] = " request=";
	const char *at = strstr(line, key);

	if (!at)
		return false;
	at += sizeof(key) - 1;
	if (strncmp(at, t->id.ptr, t->id.len) != 0)
		return false;
	at += t->id.len;
	return *at == ' ' || *at == '.' || *at == '\n' || !*at;
}

static int64_t parse_timestamp(const char *line)
{
	const char *at = strstr(line, "ts=");

	return at ? strtoll(at + 3, NULL, 10) : 0;
}

static void add_line(struct trace *t, const char *file, const char *line)
{
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? 2 * t->capacity : 32;
		t->lines =
			base_realloc(t->lines, t->capacity * sizeof(*t->lines));
	}
	t->lines[t->count] = (struct trace_line){
		.ts = parse_timestamp(line),
		.sequence = t->count,
		.file = file,
		.text = base_str_dup(base_str_from(line)),
	};
	t->count++;
}

static bool read_file(struct trace *t, const char *path, const char *program)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t line_size = 0;

	if (!file) {
		fprintf(stderr, "%s: cannot read %s: %m\n", program, path);
		return false;
	}
	while (getline(&line, &line_size, file) >= 0)
		if (matches_request(t, line))
			add_line(t, path, line);
	free(line);
	fclose(file);
	return true;
}

static int compare_lines(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;

	if (x->ts != y->ts)
		return x->ts < y->ts ? -1 : 1;
	return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static const char *base_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

int command_trace(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	BASE_CLEANUP(trace_release) struct trace t = { 0 };
	size_t i;

	args_parse(&spec, argc, argv, &args);
	t.id = base_str_from(args.operands[0]);
	for (i = 1; i < args.operand_count; i++)
		if (!read_file(&t, args.operands[i], argv[0]))
			return CLI_EXIT_ERROR;
	if (t.count)
		qsort(t.lines, t.count, sizeof(*t.lines), compare_lines);
	for (i = 0; i < t.count; i++)
		printf("%-24s %s", base_name(t.lines[i].file), t.lines[i].text);
	return t.count ? CLI_EXIT_OK : CLI_EXIT_NEGATIVE;
}
