/* Output functions that the commands share. */
#ifndef CLI_PRINT_H
#define CLI_PRINT_H

#include "config.h"

#include <jansson.h>
#include <stdio.h>

/**
 * Prints a line. Control characters are printed as \xNN, since text from files
 * could otherwise send escape sequences to the terminal.
 */
void print_line(FILE *file, struct base_str line);
/** Prints one problem per line, then the number of problems. */
void print_problems(FILE *file, const struct config_report *report);
/** @return the problems as a new JSON array */
json_t *print_problems_json(const struct config_report *report);
/** Prints one change per line: + added, - removed, ~ changed field. */
void print_changes(FILE *file, const struct config_diff *diff);
/** @return the changes as a new JSON array */
json_t *print_changes_json(const struct config_diff *diff);
/** Prints @p json indented to standard output and releases the reference. */
void print_json(json_t *json);

#endif
