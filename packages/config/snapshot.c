/* Creation of snapshots from manifests, and their reference counts. */
#include "snapshot.h"
#include "publish.h"

#include <assert.h>

static enum config_status load_part(struct config_set *set,
				    const struct config_part *part,
				    config_part_cb fetch, void *ctx,
				    struct base_error *err)
{
	struct base_str bytes = BASE_STR_NONE;
	struct base_digest digest;

	if (!fetch(ctx, part, &bytes)) {
		base_error_set(err, "part %s: not available", part->name);
		return CONFIG_ERR_MISSING;
	}
	digest = base_digest_of(bytes);
	if (bytes.len != part->size ||
	    !base_digest_equal(&digest, &part->digest)) {
		base_error_set(err, "part %s: size or hash does not match",
			       part->name);
		return CONFIG_ERR_DIGEST;
	}
	return config_set_add(set, part->name, bytes, err);
}

static enum config_status check_set(const struct config_set *set,
				    struct config_report *report,
				    struct base_error *err)
{
	struct config_report found = CONFIG_REPORT_INIT;
	enum config_status status = config_set_check(set, &found);
	size_t i;

	publish_describe_problems(&found, err);
	for (i = 0; report && i < found.count; i++)
		report_append_copy(report, &found.problems[i]);
	config_report_release(&found);
	return status;
}

const struct config_snapshot *
config_snapshot_create(const struct config_manifest *manifest,
		       config_part_cb fetch, void *ctx,
		       struct config_report *report, enum config_status *status,
		       struct base_error *err)
{
	BASE_CLEANUP(config_set_cleanup)
	struct config_set *set = config_set_create();
	struct snapshot *snapshot;
	size_t i;

	for (i = 0; i < manifest->part_count; i++) {
		*status = load_part(set, &manifest->parts[i], fetch, ctx, err);
		if (*status)
			return NULL;
	}
	*status = check_set(set, report, err);
	if (*status)
		return NULL;
	snapshot = snapshot_build(set);
	snapshot->pub.version = manifest->version;
	snapshot->pub.digest = manifest->digest;
	atomic_init(&snapshot->refs, 1);
	return &snapshot->pub;
}

const struct config_snapshot *
config_snapshot_ref(const struct config_snapshot *snapshot)
{
	struct snapshot *s = (struct snapshot *)snapshot;
	size_t before =
		atomic_fetch_add_explicit(&s->refs, 1, memory_order_relaxed);

	assert(before > 0);
	(void)before;
	return snapshot;
}

void config_snapshot_unref(const struct config_snapshot *snapshot)
{
	struct snapshot *s = (struct snapshot *)snapshot;
	size_t before;

	if (!s)
		return;
	before = atomic_fetch_sub_explicit(&s->refs, 1, memory_order_acq_rel);
	assert(before > 0);
	if (before == 1)
		snapshot_free(s);
}
