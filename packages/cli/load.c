/* Loading of configuration sets from files and directories. */
#include "load.h"
#include "cli.h"
#include "print.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

static bool read_file(const char *path, struct base_buf *text,
		      struct base_error *err)
{
	FILE *file = fopen(path, "rb");
	char block[16384];
	size_t n;
	bool ok;

	if (!file) {
		base_error_set(err, "%s: %s", path, strerror(errno));
		return false;
	}
	while ((n = fread(block, 1, sizeof(block), file)) > 0)
		base_buf_add(text, block, n);
	ok = !ferror(file);
	if (!ok)
		base_error_set(err, "%s: cannot be read", path);
	fclose(file);
	return ok;
}

static bool load_file(struct config_set *set, const char *path,
		      struct base_error *err)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;

	if (!read_file(path, &text, err))
		return false;
	return !config_set_add(set, path, base_buf_str(&text), err);
}

static int is_json_file(const struct dirent *entry)
{
	size_t len = strlen(entry->d_name);

	return len > 5 && !strcmp(entry->d_name + len - 5, ".json") &&
	       entry->d_name[0] != '.';
}

static bool load_dir(struct config_set *set, const char *path,
		     struct base_error *err)
{
	struct dirent **entries;
	int count = scandir(path, &entries, is_json_file, alphasort);
	bool ok = count > 0;
	int i;

	if (count < 0) {
		base_error_set(err, "%s: %s", path, strerror(errno));
		return false;
	}
	if (!ok)
		base_error_set(err, "%s: no .json files", path);
	for (i = 0; i < count; i++) {
		BASE_CLEANUP(base_buf_release)
		struct base_buf file = BASE_BUF_INIT;

		base_buf_addf(&file, "%s/%s", path, entries[i]->d_name);
		ok = ok && load_file(set, file.ptr, err);
		free(entries[i]);
	}
	free(entries);
	return ok;
}

bool load_path(struct config_set *set, const char *path, struct base_error *err)
{
	struct stat info;

	if (stat(path, &info)) {
		base_error_set(err, "%s: %s", path, strerror(errno));
		return false;
	}
	if (S_ISDIR(info.st_mode))
		return load_dir(set, path, err);
	return load_file(set, path, err);
}

struct config_set *load_set(char *const *paths, size_t count,
			    const char *program)
{
	struct config_set *set = config_set_create();
	struct base_error err;
	bool ok = true;
	size_t i;

	/* Continues after an error, so that one run reports all bad paths. */
	for (i = 0; i < count; i++) {
		if (load_path(set, paths[i], &err))
			continue;
		fprintf(stderr, "%s: %s\n", program, err.message);
		ok = false;
	}
	if (ok)
		return set;
	config_set_destroy(set);
	return NULL;
}

static const struct config_snapshot *
create_snapshot(const struct config_set *set, enum config_status *status,
		struct base_error *err)
{
	struct config_publication *publication =
		config_set_render(set, 1, status, err);
	const struct config_snapshot *snapshot = NULL;
	struct config_manifest *manifest;

	if (!publication)
		return NULL;
	manifest = config_manifest_parse(base_buf_str(&publication->manifest),
					 status, err);
	if (manifest)
		snapshot = config_snapshot_create(
			manifest, config_publication_fetch_part, publication,
			NULL, status, err);
	config_manifest_destroy(manifest);
	config_publication_destroy(publication);
	return snapshot;
}

const struct config_snapshot *load_snapshot(char *const *paths, size_t count,
					    const char *program, int *status)
{
	BASE_CLEANUP(config_set_cleanup)
	struct config_set *set = load_set(paths, count, program);
	struct config_report report = CONFIG_REPORT_INIT;
	const struct config_snapshot *snapshot = NULL;
	enum config_status load_status;
	struct base_error err;

	*status = CLI_EXIT_ERROR;
	if (!set)
		return NULL;
	if (config_set_check(set, &report)) {
		print_problems(stderr, &report);
		*status = CLI_EXIT_NEGATIVE;
	} else {
		snapshot = create_snapshot(set, &load_status, &err);
		if (!snapshot)
			fprintf(stderr, "%s: %s\n", program, err.message);
	}
	config_report_release(&report);
	return snapshot;
}
