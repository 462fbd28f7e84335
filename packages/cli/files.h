/* Creation of directories and files. */
#ifndef CLI_FILES_H
#define CLI_FILES_H

#include "base.h"

/** Creates a directory unless it exists; its parent must exist. */
bool files_create_dir(const char *path, struct base_error *err);
/**
 * Replaces a file atomically: writes "PATH.tmp", syncs it to disk and renames
 * it, so that readers get either the old contents or the new ones.
 */
bool files_write(const char *path, struct base_str bytes,
		 struct base_error *err);

#endif
