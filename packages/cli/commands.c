/* The table of commands. */
#include "commands.h"

#include <string.h>

const struct cli_command cli_commands[] = {
	{ "check", "check a configuration set and list all problems",
	  command_check },
	{ "render", "write the published form of a configuration set",
	  command_render },
	{ "diff", "list the changes between two configuration sets",
	  command_diff },
	{ "review", "check a set before it is published", command_review },
	{ "explain", "show how an account's request on a route is handled",
	  command_explain },
	{ "key", "create a key for an account", command_key },
	{ "status", "show the status of a daemon", command_status },
	{ "trace", "print the log lines of one request from several daemons",
	  command_trace },
};

const size_t cli_command_count = BASE_ARRAY_SIZE(cli_commands);

const struct cli_command *cli_find_command(const char *name)
{
	size_t i;

	for (i = 0; i < cli_command_count; i++)
		if (!strcmp(cli_commands[i].name, name))
			return &cli_commands[i];
	return NULL;
}
