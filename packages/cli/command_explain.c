/* The command `explain`. */
#include "args.h"
#include "commands.h"
#include "explain.h"
#include "load.h"
#include "print.h"

#include <string.h>

static const struct argp_option options[] = {
	{ "route", ARGS_ROUTE, "METHOD:PATH", 0,
	  "Request to explain, for example GET:/catalogue", 0 },
	{ "account", ARGS_ACCOUNT, "NAME", 0,
	  "Account whose request it is; may be left out on open routes", 0 },
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "--route METHOD:PATH --account NAME SET...",
	.doc = "Shows how an account's request on a route is handled: whether "
	       "it is allowed, on which servers it runs, within which limits, "
	       "with which priority, and when it is retried.\n\n"
	       "Each SET is a file or a directory of .json files."
	       "\vExit status: 0 on success, 1 when there is no such route or "
	       "account or the set has problems, 2 for invalid arguments or a "
	       "set that cannot be read.",
	.min_operands = 1,
	.max_operands = SIZE_MAX,
};

static bool find_route(struct explain_query *query, const char *route,
		       const char *program)
{
	const char *colon = strchr(route, ':');
	struct base_str method = { route, (size_t)(colon - route) };

	/* Routes of a configuration set match any host. */
	query->route =
		config_snapshot_match_route(query->snapshot, BASE_STR_NONE,
					    method, base_str_from(colon + 1));
	if (!query->route)
		fprintf(stderr, "%s: no route matches %.*s %s\n", program,
			BASE_STR_ARG(method), colon + 1);
	return query->route != NULL;
}

static bool find_account(struct explain_query *query, const char *name,
			 const char *program)
{
	if (!name) {
		if (query->route->open)
			return true;
		fprintf(stderr,
			"%s: route \"%s\" is not open: --account is "
			"required\n",
			program, query->route->name.ptr);
		return false;
	}
	query->account = config_snapshot_find_account(query->snapshot,
						      base_str_from(name));
	if (!query->account)
		fprintf(stderr, "%s: there is no account \"%s\"\n", program,
			name);
	return query->account != NULL;
}

static int explain(const struct config_snapshot *snapshot,
		   const struct args *args, const char *program)
{
	struct explain_query query = { .snapshot = snapshot };

	if (!find_route(&query, args->route, program))
		return CLI_EXIT_NEGATIVE;
	if (!find_account(&query, args->account, program))
		return args->account ? CLI_EXIT_NEGATIVE : CLI_EXIT_ERROR;
	if (args->json)
		print_json(explain_to_json(&query));
	else
		explain_print(&query);
	return CLI_EXIT_OK;
}

int command_explain(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	const struct config_snapshot *snapshot;
	int status;

	args_parse(&spec, argc, argv, &args);
	if (!args.route || !strstr(args.route, ":/") || args.route[0] == ':') {
		fprintf(stderr,
			"%s: --route takes METHOD:PATH, for example "
			"GET:/catalogue\n",
			argv[0]);
		return CLI_EXIT_ERROR;
	}
	snapshot = load_snapshot(args.operands, args.operand_count, argv[0],
				 &status);
	if (!snapshot)
		return status;
	status = explain(snapshot, &args, argv[0]);
	config_snapshot_unref(snapshot);
	return status;
}
