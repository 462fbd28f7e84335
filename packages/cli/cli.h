/**
 * @file
 * Command-line tool for operators. Each command parses its arguments, writes
 * results to standard output and errors to standard error, and returns the exit
 * status. Commands are single-threaded and call exit() only for --help, --usage
 * and invalid arguments.
 */
#ifndef CLI_H
#define CLI_H

#include "base.h"

/** Exit statuses of all commands. */
enum cli_exit {
	CLI_EXIT_OK = 0,
	/** Negative result: problems, differences, or nothing found. */
	CLI_EXIT_NEGATIVE = 1,
	/** Invalid arguments, or something could not be read or written. */
	CLI_EXIT_ERROR = 2,
};

struct cli_command {
	const char *name;
	const char *summary;
	/**
	 * @param argv  argv[0] is the prefix of messages
	 * @return an enum cli_exit
	 */
	int (*run)(int argc, char **argv);
};

/** All commands, in the order of the help text. */
extern const struct cli_command cli_commands[];
extern const size_t cli_command_count;

/** Returns the command named @p name, or NULL when there is none. */
const struct cli_command *cli_find_command(const char *name);

#endif
