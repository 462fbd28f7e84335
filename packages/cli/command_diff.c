/* The command `diff`. */
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
	.usage = "BEFORE AFTER",
	.doc = "Lists the changes from one configuration set to another.\n\n"
	       "BEFORE and AFTER are each a file or a directory of .json "
	       "files. Objects of older schemas are upgraded before they are "
	       "compared. Lines start with + for an added object, - for a "
	       "removed one and ~ for a changed field."
	       "\vExit status: 0 when the sets are equal, 1 when they differ, "
	       "2 when one cannot be read.",
	.min_operands = 2,
	.max_operands = 2,
};

/* Warns because objects that cannot be read are missing in the comparison. */
static void warn_about_problems(const struct config_set *set, const char *path,
				const char *program)
{
	struct config_report report = CONFIG_REPORT_INIT;

	if (config_set_check(set, &report))
		fprintf(stderr,
			"%s: warning: %s has %zu problem%s, "
			"run check for details\n",
			program, path, report.count,
			report.count == 1 ? "" : "s");
	config_report_release(&report);
}

int command_diff(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	BASE_CLEANUP(config_set_cleanup) struct config_set *before = NULL;
	BASE_CLEANUP(config_set_cleanup) struct config_set *after = NULL;
	struct config_diff diff = CONFIG_DIFF_INIT;
	bool differs;

	args_parse(&spec, argc, argv, &args);
	before = load_set(&args.operands[0], 1, argv[0]);
	after = load_set(&args.operands[1], 1, argv[0]);
	if (!before || !after)
		return CLI_EXIT_ERROR;
	warn_about_problems(before, args.operands[0], argv[0]);
	warn_about_problems(after, args.operands[1], argv[0]);
	config_set_diff(before, after, &diff);
	differs = diff.count > 0;
	if (args.json)
		print_json(json_pack("{s:o}", "changes",
				     print_changes_json(&diff)));
	else
		print_changes(stdout, &diff);
	config_diff_release(&diff);
	return differs ? CLI_EXIT_NEGATIVE : CLI_EXIT_OK;
}
