/* Entry point of the command-line tool: runs the command given in argv. */
#include "cli.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>

const char *argp_program_version = "bilberryhinge 0.1";

struct selection {
	const struct cli_command *command;
	/** Position of the command in argv. */
	int argv_index;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct selection *selection = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		selection->command = cli_find_command(arg);
		if (!selection->command)
			argp_error(state, "unknown command \"%s\"", arg);
		selection->argv_index = state->next - 1;
		/* The command parses the remaining arguments. */
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "missing command");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void build_help_text(struct base_buf *doc)
{
	size_t i;

	base_buf_addf(doc, "Checks, publishes and explains the configuration "
			   "of bilberryhinge, and shows the status of its "
			   "daemons.\n\nCommands:\n");
	for (i = 0; i < cli_command_count; i++)
		base_buf_addf(doc, "  %-9s %s\n", cli_commands[i].name,
			      cli_commands[i].summary);
	base_buf_addf(doc, "\n\"bilberryhinge COMMAND --help\" describes a "
			   "command."
			   "\v"
			   "Exit status: 0 on success; 1 when the answer is "
			   "negative (problems, differences, nothing found); 2 "
			   "for invalid arguments or when something cannot be "
			   "read or written.");
}

int main(int argc, char **argv)
{
	BASE_CLEANUP(base_buf_release) struct base_buf doc = BASE_BUF_INIT;
	BASE_CLEANUP(base_buf_release) struct base_buf name = BASE_BUF_INIT;
	struct argp argp = { .parser = parse_option,
			     .args_doc = "COMMAND [ARGUMENT...]" };
	struct selection selection = { 0 };

	argp_err_exit_status = CLI_EXIT_ERROR;
	if (sodium_init() < 0) {
		fputs("bilberryhinge: cannot initialise libsodium\n", stderr);
		return CLI_EXIT_ERROR;
	}
	build_help_text(&doc);
	argp.doc = doc.ptr;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &selection);
	base_buf_addf(&name, "bilberryhinge %s", selection.command->name);
	argv[selection.argv_index] = name.ptr;
	/* Disables --version of argp, as commands may define their own. */
	argp_program_version = NULL;
	return selection.command->run(argc - selection.argv_index,
				      argv + selection.argv_index);
}
