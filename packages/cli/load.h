/* Loading of configuration sets from files and directories. */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "config.h"

/**
 * Adds a file to the set, or all files of a directory whose names end in
 * ".json", sorted by name. Hidden files are skipped.
 * @return false with @p err set when a file cannot be read or parsed, or when
 *         the directory contains no such file
 */
bool load_path(struct config_set *set, const char *path,
	       struct base_error *err);
/**
 * Reads all paths into one set. Prints a message to standard error for each
 * path that cannot be read, prefixed with @p program.
 * @return a set that the caller destroys; NULL when a path cannot be read
 */
struct config_set *load_set(char *const *paths, size_t count,
			    const char *program);
/**
 * Reads a set, checks it, renders its published form and creates a snapshot
 * from that, as a daemon does.
 * @param[out] status  exit status; valid only when NULL is returned
 * @return a snapshot with one reference; NULL after messages to standard error
 */
const struct config_snapshot *load_snapshot(char *const *paths, size_t count,
					    const char *program, int *status);

#endif
