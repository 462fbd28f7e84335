/* The command `review`. */
#include "args.h"
#include "commands.h"
#include "load.h"
#include "print.h"

static const struct argp_option options[] = {
	{ "in-force", ARGS_IN_FORCE, "SET", 0,
	  "Also list the changes from this set, which is in force", 0 },
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "[--in-force SET] SET...",
	.doc = "Checks a configuration set before it is published: lists its "
	       "problems, entries that have no effect or that no request can "
	       "match, limits that contradict each other, and the changes from "
	       "the set in force.\n\n"
	       "Each SET is a file or a directory of .json files."
	       "\vExit status: 0 when there are neither problems nor advice, "
	       "1 when there are, 2 when a set cannot be read. Changes do not "
	       "affect it.",
	.min_operands = 1,
	.max_operands = SIZE_MAX,
};

/* What the review found; lists without an entry are empty. */
struct review {
	struct config_report problems;
	/* Only of a set without problems. */
	struct config_report advice;
	/* Only with a set in force. */
	struct config_diff changes;
};

static void review_release(struct review *review)
{
	config_report_release(&review->problems);
	config_report_release(&review->advice);
	config_diff_release(&review->changes);
}

static void print_section(const char *title, const struct config_report *report)
{
	printf("%s:\n", title);
	print_problems(stdout, report);
}

static void print_text(const struct review *review, const char *in_force)
{
	if (review->problems.count)
		print_section("problems", &review->problems);
	else
		print_section("advice", &review->advice);
	if (!in_force)
		return;
	printf("changes from %s:\n", in_force);
	print_changes(stdout, &review->changes);
	printf("%zu change%s\n", review->changes.count,
	       review->changes.count == 1 ? "" : "s");
}

static json_t *review_json(const struct review *review)
{
	return json_pack("{s:o, s:o, s:o}", "problems",
			 print_problems_json(&review->problems), "advice",
			 print_problems_json(&review->advice), "changes",
			 print_changes_json(&review->changes));
}

int command_review(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	BASE_CLEANUP(config_set_cleanup) struct config_set *set = NULL;
	BASE_CLEANUP(config_set_cleanup) struct config_set *in_force = NULL;
	BASE_CLEANUP(review_release) struct review review = { 0 };

	args_parse(&spec, argc, argv, &args);
	set = load_set(args.operands, args.operand_count, argv[0]);
	if (!set)
		return CLI_EXIT_ERROR;
	if (!config_set_check(set, &review.problems))
		config_set_advise(set, &review.advice);
	if (args.in_force) {
		char *path = (char *)args.in_force;

		in_force = load_set(&path, 1, argv[0]);
		if (!in_force)
			return CLI_EXIT_ERROR;
		config_set_diff(in_force, set, &review.changes);
	}
	if (args.json)
		print_json(review_json(&review));
	else
		print_text(&review, args.in_force);
	return review.problems.count || review.advice.count ? CLI_EXIT_NEGATIVE
							    : CLI_EXIT_OK;
}
