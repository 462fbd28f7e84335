/* Writing files. */
#ifndef CLI_FILES_H
#define CLI_FILES_H

#include "base.h"

/** Creates a folder unless it exists; its parent must exist. */
bool files_create_dir(const char *path, struct base_error *err);
/** Replaces a file as a whole: readers see the old bytes or the new ones. */
bool files_write(const char *path, struct base_str bytes,
		 struct base_error *err);

#endif
