/* Creation of directories and files. */
#include "files.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

bool files_create_dir(const char *path, struct base_error *err)
{
	if (!mkdir(path, 0777) || errno == EEXIST)
		return true;
	base_error_set(err, "%s: %s", path, strerror(errno));
	return false;
}

static bool write_all(const char *path, struct base_str bytes)
{
	FILE *file = fopen(path, "wb");
	bool ok;

	if (!file)
		return false;
	ok = fwrite(bytes.ptr, 1, bytes.len, file) == bytes.len;
	ok = !fflush(file) && ok;
	ok = !fsync(fileno(file)) && ok;
	return !fclose(file) && ok;
}

bool files_write(const char *path, struct base_str bytes,
		 struct base_error *err)
{
	BASE_CLEANUP(base_buf_release)
	struct base_buf temp_path = BASE_BUF_INIT;

	base_buf_addf(&temp_path, "%s.tmp", path);
	if (write_all(temp_path.ptr, bytes) && !rename(temp_path.ptr, path))
		return true;
	base_error_set(err, "%s: %s", path, strerror(errno));
	unlink(temp_path.ptr);
	return false;
}
