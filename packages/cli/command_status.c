/* The command `status`. */
#include "args.h"
#include "commands.h"
#include "fetch.h"
#include "print.h"

#include <string.h>

#define ADMIN_VARIABLE "BILBERRYHINGE_ADMIN"
/* Members nested more deeply are printed as JSON. */
#define DEPTH_MAX 8

static const struct argp_option options[] = {
	{ "admin", ARGS_ADMIN, "HOST:PORT", 0,
	  "Admin interface of the daemon (default: " ADMIN_VARIABLE
	  " from the environment)",
	  0 },
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "--admin HOST:PORT",
	.doc = "Shows the status of a daemon, one value per line.\n\n"
	       "With --json, the daemon's response is printed unchanged."
	       "\vExit status: 0 on success, 1 when the daemon responds with "
	       "an error, 2 for invalid arguments or when it does not respond.",
	.min_operands = 0,
	.max_operands = 0,
};

static void print_value(struct base_buf *path, json_t *value, int depth);

static void print_members(struct base_buf *path, json_t *object, int depth)
{
	size_t len = path->len;
	const char *key;
	json_t *value;

	json_object_foreach (object, key, value) {
		base_buf_addf(path, "%s%s", len ? "." : "", key);
		print_value(path, value, depth + 1);
		path->len = len;
		path->ptr[len] = '\0';
	}
}

/* Elements are labelled with their member "name", else with their index. */
static void print_elements(struct base_buf *path, json_t *array, int depth)
{
	size_t len = path->len;
	size_t i;

	for (i = 0; i < json_array_size(array); i++) {
		json_t *element = json_array_get(array, i);
		const char *name =
			json_string_value(json_object_get(element, "name"));

		if (name)
			base_buf_addf(path, "[%s]", name);
		else
			base_buf_addf(path, "[%zu]", i);
		print_value(path, element, depth + 1);
		path->len = len;
		path->ptr[len] = '\0';
	}
}

static void print_value(struct base_buf *path, json_t *value, int depth)
{
	BASE_CLEANUP(base_buf_release) struct base_buf line = BASE_BUF_INIT;
	char *text;

	if (depth < DEPTH_MAX && json_object_size(value)) {
		print_members(path, value, depth);
		return;
	}
	if (depth < DEPTH_MAX && json_array_size(value)) {
		print_elements(path, value, depth);
		return;
	}
	base_buf_addf(&line, "%s: ", path->ptr);
	if (json_is_string(value)) {
		base_buf_addf(&line, "%s", json_string_value(value));
	} else {
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		base_buf_addf(&line, "%s", text);
		free(text);
	}
	print_line(stdout, base_buf_str(&line));
}

static int print_status(const struct base_buf *body, bool as_json,
			const char *program)
{
	BASE_CLEANUP(base_buf_release) struct base_buf path = BASE_BUF_INIT;
	json_t *root;

	if (as_json) {
		fwrite(body->ptr, 1, body->len, stdout);
		putchar('\n');
		return CLI_EXIT_OK;
	}
	root = json_loadb(body->ptr ? body->ptr : "", body->len, 0, NULL);
	if (!json_is_object(root)) {
		fprintf(stderr, "%s: the response is not a JSON object\n",
			program);
		json_decref(root);
		return CLI_EXIT_NEGATIVE;
	}
	base_buf_addf(&path, "%s", "");
	print_members(&path, root, 0);
	json_decref(root);
	return CLI_EXIT_OK;
}

int command_status(int argc, char **argv)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(args_release) struct args args;
	struct base_error err;
	int status;

	args_parse(&spec, argc, argv, &args);
	if (!args.admin)
		args.admin = getenv(ADMIN_VARIABLE);
	if (!args.admin) {
		fprintf(stderr, "%s: --admin is required\n", argv[0]);
		return CLI_EXIT_ERROR;
	}
	status = fetch_get(args.admin, "/status", &body, &err);
	if (!status) {
		fprintf(stderr, "%s: %s\n", argv[0], err.message);
		return CLI_EXIT_ERROR;
	}
	if (status != 200) {
		fprintf(stderr, "%s: %s responded with status %d\n", argv[0],
			args.admin, status);
		return CLI_EXIT_NEGATIVE;
	}
	return print_status(&body, args.json, argv[0]);
}
