/* Rendering of a set into its published form. */
#include "publish.h"
#include "parts.h"

#include <string.h>

void publish_describe_problems(const struct config_report *report,
			       struct base_error *err)
{
	const struct config_problem *p = &report->problems[0];

	if (report->count)
		base_error_set(err, "%zu problem%s, first: %s \"%s\" %s: %s",
			       report->count, report->count == 1 ? "" : "s",
			       p->kind, p->name, p->field, p->reason);
}

static void fill_part(struct config_published_part *out, size_t index,
		      struct base_buf *bytes)
{
	parts_name(index, out->part.name);
	out->part.digest = base_digest_of(base_buf_str(bytes));
	out->part.size = bytes->len;
	base_buf_move(&out->bytes, bytes);
}

static void render_manifest(struct config_publication *publication)
{
	struct base_buf *out = &publication->manifest;
	size_t i;

	base_buf_addf(out, "{\"schema\":%d,\"version\":%lld,\"parts\":[\n",
		      CONFIG_SCHEMA, (long long)publication->version);
	for (i = 0; i < publication->part_count; i++) {
		const struct config_part *part = &publication->parts[i].part;
		char hex[65];

		base_digest_hex(&part->digest, hex);
		base_buf_addf(
			out, "%s{\"name\":\"%s\",\"hash\":\"%s\",\"size\":%zu}",
			i ? ",\n" : "", part->name, hex, part->size);
	}
	base_buf_addf(out, "\n]}\n");
}

struct config_publication *config_set_render(const struct config_set *set,
					     int64_t version,
					     enum config_status *status,
					     struct base_error *err)
{
	struct config_report report = CONFIG_REPORT_INIT;
	struct base_buf bytes[PARTS_COUNT] = { 0 };
	struct config_publication *publication;
	size_t i;

	if (version < 1) {
		base_error_set(err, "version is below 1");
		*status = CONFIG_ERR_INVALID;
		return NULL;
	}
	*status = config_set_check(set, &report);
	publish_describe_problems(&report, err);
	config_report_release(&report);
	if (*status)
		return NULL;
	parts_render(set, bytes);
	publication = base_alloc(sizeof(*publication));
	publication->version = version;
	publication->parts =
		base_alloc_array(PARTS_COUNT, sizeof(*publication->parts));
	for (i = 0; i < PARTS_COUNT; i++)
		if (bytes[i].len)
			fill_part(
				&publication->parts[publication->part_count++],
				i, &bytes[i]);
	render_manifest(publication);
	return publication;
}

void config_publication_destroy(struct config_publication *publication)
{
	size_t i;

	if (!publication)
		return;
	for (i = 0; i < publication->part_count; i++)
		base_buf_release(&publication->parts[i].bytes);
	base_buf_release(&publication->manifest);
	free(publication->parts);
	free(publication);
}

bool config_publication_fetch_part(void *ctx, const struct config_part *part,
				   struct base_str *bytes)
{
	const struct config_publication *publication = ctx;
	size_t i;

	for (i = 0; i < publication->part_count; i++) {
		if (!base_digest_equal(&publication->parts[i].part.digest,
				       &part->digest))
			continue;
		*bytes = base_buf_str(&publication->parts[i].bytes);
		return true;
	}
	return false;
}
