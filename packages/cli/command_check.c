/* The command `check`. */
#include "args.h"
#include "commands.h"
#include "load.h"
#include "print.h"

static const struct argp_option options[] = {
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "SET...",
	.doc = "Checks a configuration set and lists all problems.\n\n"
	       "Each SET is a file or a directory of .json files. All of them "
	       "together form one configuration set."
	       "\vExit status: 0 when the set is valid, 1 when it has "
	       "problems, 2 when it cannot be read.",
	.min_operands = 1,
	.max_operands = SIZE_MAX,
};

static void print_result(const struct config_set *set,
			 const struct config_report *report, bool as_json)
{
	size_t count = config_set_count(set);

	if (as_json)
		print_json(json_pack("{s:b, s:I, s:o}", "ok", !report->count,
				     "objects", (json_int_t)count, "problems",
				     print_problems_json(report)));
	else if (report->count)
		print_problems(stdout, report);
	else
		printf("no problems in %zu objects\n", count);
}

int command_check(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	BASE_CLEANUP(config_set_cleanup) struct config_set *set = NULL;
	struct config_report report = CONFIG_REPORT_INIT;
	int status = CLI_EXIT_OK;

	args_parse(&spec, argc, argv, &args);
	set = load_set(args.operands, args.operand_count, argv[0]);
	if (!set)
		return CLI_EXIT_ERROR;
	if (config_set_check(set, &report))
		status = CLI_EXIT_NEGATIVE;
	print_result(set, &report, args.json);
	config_report_release(&report);
	return status;
}
