/* Output that commands share. */
#ifndef CLI_PRINT_H
#define CLI_PRINT_H

#include "config.h"

#include <jansson.h>
#include <stdio.h>

/**
 * Prints a line; control characters, which could steer a terminal, are shown as
 * \xNN.
 */
void print_line(FILE *file, struct base_str line);
/** One line a problem, then their number. */
void print_problems(FILE *file, const struct config_report *report);
json_t *print_problems_json(const struct config_report *report);
/** Prints an indented document to standard output and releases it. */
void print_json(json_t *json);

#endif
