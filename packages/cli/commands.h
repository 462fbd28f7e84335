/* Entry points of the commands; see struct cli_command. */
#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

#include "cli.h"

int command_check(int argc, char **argv);
int command_render(int argc, char **argv);
int command_diff(int argc, char **argv);
int command_review(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_key(int argc, char **argv);
int command_status(int argc, char **argv);
int command_trace(int argc, char **argv);

#endif
