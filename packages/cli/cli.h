/**
 * @file
 * The operators' command-line tool. Each command takes its arguments, writes
 * results to standard output and faults to standard error, and returns the exit
 * status. Commands run in one thread and call exit() only for --help, --usage
 * and faults in their arguments.
 */
#ifndef CLI_H
#define CLI_H

#include "base.h"

/** Exit statuses of all commands. */
enum cli_exit {
	CLI_EXIT_OK = 0,
	/** The answer is no: problems, differences, or nothing found. */
	CLI_EXIT_NEGATIVE = 1,
	/** Wrong arguments, or something could not be read or written. */
	CLI_EXIT_ERROR = 2,
};

struct cli_command {
	const char *name;
	const char *summary;
	/** @param argv  argv[0] is the name for messages */
	int (*run)(int argc, char **argv);
};

/** All commands, in the order of the help text. */
extern const struct cli_command cli_commands[];
extern const size_t cli_command_count;

/** Returns NULL when there is none of that name. */
const struct cli_command *cli_find_command(const char *name);

#endif
