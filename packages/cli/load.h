/* Reading sets from files and folders. */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "config.h"

/**
 * Adds a file, or the files of a folder whose names end in ".json" in the order
 * of their names.
 * @return false with @p err set when something cannot be read
 */
bool load_path(struct config_set *set, const char *path,
	       struct base_error *err);
/**
 * Reads all paths into one set.
 * @return NULL after a message to standard error that starts with @p program
 */
struct config_set *load_set(char *const *paths, size_t count,
			    const char *program);
/**
 * Reads a set, checks it and loads it as a daemon would.
 * @return NULL after messages to standard error, with @p status set to the exit
 * status
 */
const struct config_snapshot *load_snapshot(char *const *paths, size_t count,
					    const char *program, int *status);

#endif
