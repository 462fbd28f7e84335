/* The command `render`. */
#include "args.h"
#include "commands.h"
#include "files.h"
#include "load.h"
#include "print.h"

static const struct argp_option options[] = {
	{ "version", ARGS_VERSION, "N", 0,
	  "Version of the publication; must be greater than the last one", 0 },
	{ "out", ARGS_OUT, "DIR", 0,
	  "Directory to write to; created if missing", 0 },
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "--version N --out DIR SET...",
	.doc = "Checks a configuration set and writes its published form.\n\n"
	       "DIR/manifest is the value of the key bilberryhinge/manifest, "
	       "and each file DIR/parts/HASH that of bilberryhinge/parts/HASH. "
	       "Publish the parts before the manifest. Each SET is a file or "
	       "a directory of .json files."
	       "\vExit status: 0 on success, 1 when the set has problems, "
	       "2 when something cannot be read or written.",
	.min_operands = 1,
	.max_operands = SIZE_MAX,
};

static bool write_part(const struct config_published_part *part,
		       const char *parts_dir, struct base_error *err)
{
	BASE_CLEANUP(base_buf_release) struct base_buf path = BASE_BUF_INIT;
	char hex[65];

	base_digest_hex(&part->part.digest, hex);
	base_buf_addf(&path, "%s/%s", parts_dir, hex);
	return files_write(path.ptr, base_buf_str(&part->bytes), err);
}

/* The manifest is written last, so that all parts it lists exist. */
static bool write_files(const struct config_publication *publication,
			const char *out, struct base_error *err)
{
	BASE_CLEANUP(base_buf_release) struct base_buf parts = BASE_BUF_INIT;
	BASE_CLEANUP(base_buf_release) struct base_buf manifest = BASE_BUF_INIT;
	size_t i;

	base_buf_addf(&parts, "%s/parts", out);
	base_buf_addf(&manifest, "%s/manifest", out);
	if (!files_create_dir(out, err) || !files_create_dir(parts.ptr, err))
		return false;
	for (i = 0; i < publication->part_count; i++)
		if (!write_part(&publication->parts[i], parts.ptr, err))
			return false;
	return files_write(manifest.ptr, base_buf_str(&publication->manifest),
			   err);
}

static void print_publication_json(const struct config_publication *publication)
{
	struct base_digest digest =
		base_digest_of(base_buf_str(&publication->manifest));
	json_t *parts = json_array();
	char hex[65];
	size_t i;

	for (i = 0; i < publication->part_count; i++) {
		const struct config_part *part = &publication->parts[i].part;

		base_digest_hex(&part->digest, hex);
		json_array_append_new(parts,
				      json_pack("{s:s, s:s, s:I}", "name",
						part->name, "hash", hex, "size",
						(json_int_t)part->size));
	}
	base_digest_hex(&digest, hex);
	print_json(json_pack("{s:I, s:s, s:o}", "version",
			     (json_int_t)publication->version, "hash", hex,
			     "parts", parts));
}

static void print_publication_text(const struct config_publication *publication,
				   const char *out)
{
	struct base_digest digest =
		base_digest_of(base_buf_str(&publication->manifest));
	char hex[65];
	size_t i;

	base_digest_hex(&digest, hex);
	printf("version %lld, manifest %s, %zu parts in %s\n",
	       (long long)publication->version, hex, publication->part_count,
	       out);
	for (i = 0; i < publication->part_count; i++) {
		const struct config_part *part = &publication->parts[i].part;

		base_digest_hex(&part->digest, hex);
		printf("  %-12s %8zu bytes  %s\n", part->name, part->size, hex);
	}
}

static int write_publication(const struct config_set *set,
			     const struct args *args, const char *program)
{
	struct config_publication *publication;
	enum config_status status;
	struct base_error err;
	bool written;

	publication = config_set_render(set, args->version, &status, &err);
	if (!publication) {
		fprintf(stderr, "%s: %s\n", program, err.message);
		return CLI_EXIT_ERROR;
	}
	written = write_files(publication, args->out, &err);
	if (!written)
		fprintf(stderr, "%s: %s\n", program, err.message);
	else if (args->json)
		print_publication_json(publication);
	else
		print_publication_text(publication, args->out);
	config_publication_destroy(publication);
	return written ? CLI_EXIT_OK : CLI_EXIT_ERROR;
}

int command_render(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	BASE_CLEANUP(config_set_cleanup) struct config_set *set = NULL;
	struct config_report report = CONFIG_REPORT_INIT;
	int status = CLI_EXIT_NEGATIVE;

	args_parse(&spec, argc, argv, &args);
	if (!args.version || !args.out) {
		fprintf(stderr, "%s: --version and --out are required\n",
			argv[0]);
		return CLI_EXIT_ERROR;
	}
	set = load_set(args.operands, args.operand_count, argv[0]);
	if (!set)
		return CLI_EXIT_ERROR;
	if (config_set_check(set, &report))
		print_problems(stderr, &report);
	else
		status = write_publication(set, &args, argv[0]);
	config_report_release(&report);
	return status;
}
