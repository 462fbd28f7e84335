/* A published configuration that is not active yet. */
#include "candidate.h"
#include "control.h"

#include <stdio.h>
#include <string.h>

/* Interval between requests for the same missing part. */
#define REFETCH_INTERVAL_US (500 * BASE_MS_US)

struct candidate {
	struct config_manifest *manifest;
	struct publication *publication;
	const struct config_snapshot *snapshot;
	int64_t *requested_at;
	int64_t seen_at;
	bool from_peer;
	bool active_elsewhere;
	bool platform_down;
	bool reread_requested;
	bool confirmed;
};

static void copy_part(struct config_published_part *to, struct base_str bytes)
{
	base_buf_reset(&to->bytes);
	base_buf_add_str(&to->bytes, bytes);
}

static void reuse_parts(struct candidate *c, const struct publication *active)
{
	size_t i, j;

	for (i = 0; i < c->publication->part_count; i++) {
		struct config_published_part *p = &c->publication->parts[i];

		for (j = 0; j < active->part_count; j++) {
			const struct config_published_part *a =
				&active->parts[j];

			if (!base_digest_equal(&a->part.digest,
					       &p->part.digest))
				continue;
			copy_part(p, base_buf_str(&a->bytes));
			break;
		}
	}
}

struct candidate *candidate_create(struct base_str manifest, bool from_peer,
				   const struct publication *active,
				   int64_t now, struct base_error *err)
{
	enum config_status status;
	struct config_manifest *m =
		config_manifest_parse(manifest, &status, err);
	struct candidate *c;
	size_t i;

	if (!m)
		return NULL;
	c = base_alloc(sizeof(*c));
	c->manifest = m;
	c->from_peer = from_peer;
	c->active_elsewhere = from_peer;
	c->seen_at = now;
	c->publication = base_alloc(sizeof(*c->publication));
	c->publication->references = 1;
	c->publication->version = m->version;
	c->publication->digest = m->digest;
	base_buf_add_str(&c->publication->manifest, manifest);
	c->publication->part_count = m->part_count;
	c->publication->parts =
		base_alloc_array(m->part_count, sizeof(*c->publication->parts));
	c->requested_at =
		base_alloc_array(m->part_count, sizeof(*c->requested_at));
	for (i = 0; i < m->part_count; i++)
		c->publication->parts[i].part = m->parts[i];
	if (active)
		reuse_parts(c, active);
	return c;
}

void candidate_destroy(struct candidate *c)
{
	if (!c)
		return;
	config_manifest_destroy(c->manifest);
	config_snapshot_unref(c->snapshot);
	publication_unref(c->publication);
	free(c->requested_at);
	free(c);
}

int64_t candidate_version(const struct candidate *c)
{
	return c->manifest->version;
}

const struct base_digest *candidate_digest(const struct candidate *c)
{
	return &c->manifest->digest;
}

bool candidate_from_peer(const struct candidate *c)
{
	return c->from_peer;
}

void candidate_set_active_elsewhere(struct candidate *c)
{
	c->active_elsewhere = true;
}

void candidate_confirm(struct candidate *c, int64_t now)
{
	if (now - c->seen_at >= CONTROL_SETTLE_US)
		c->confirmed = true;
}

void candidate_platform_down(struct candidate *c)
{
	c->platform_down = true;
	/* Parts that are still missing are available from peers only. */
	c->from_peer = true;
}

bool candidate_next_missing(struct candidate *c, int64_t now, char *key,
			    size_t size)
{
	char hex[65];
	size_t i;

	for (i = 0; i < c->publication->part_count; i++) {
		const struct config_published_part *p =
			&c->publication->parts[i];

		if (p->bytes.ptr ||
		    (c->requested_at[i] &&
		     now - c->requested_at[i] < REFETCH_INTERVAL_US))
			continue;
		c->requested_at[i] = now;
		base_digest_hex(&p->part.digest, hex);
		snprintf(key, size, "%s%s", CONFIG_KEY_PART_PREFIX, hex);
		return true;
	}
	return false;
}

void candidate_add_part(struct candidate *c, struct base_str bytes)
{
	struct base_digest digest = base_digest_of(bytes);
	size_t i;

	for (i = 0; i < c->publication->part_count; i++) {
		struct config_published_part *p = &c->publication->parts[i];

		if (!p->bytes.ptr &&
		    base_digest_equal(&p->part.digest, &digest))
			copy_part(p, bytes);
	}
}

static bool find_part(void *ctx, const struct config_part *part,
		      struct base_str *bytes)
{
	struct candidate *c = ctx;
	size_t i;

	for (i = 0; i < c->publication->part_count; i++) {
		const struct config_published_part *p =
			&c->publication->parts[i];

		if (!base_digest_equal(&p->part.digest, &part->digest))
			continue;
		*bytes = base_buf_str(&p->bytes);
		return true;
	}
	return false;
}

static bool build_snapshot(struct candidate *c, struct base_error *err)
{
	struct config_report report = CONFIG_REPORT_INIT;
	enum config_status status;

	c->snapshot = config_snapshot_create(c->manifest, find_part, c, &report,
					     &status, err);
	if (!c->snapshot && report.count) {
		const struct config_problem *p = &report.problems[0];

		base_error_set(err, "%zu problems, the first: %s %s %s: %s",
			       report.count, p->kind, p->name, p->field,
			       p->reason);
	}
	config_report_release(&report);
	return c->snapshot != NULL;
}

enum candidate_state candidate_advance(struct candidate *c, int64_t now,
				       struct base_error *err)
{
	size_t i;

	for (i = 0; i < c->publication->part_count; i++)
		if (!c->publication->parts[i].bytes.ptr)
			return CANDIDATE_WAITING;
	if (!c->snapshot && !build_snapshot(c, err))
		return CANDIDATE_REFUSED;
	if (c->active_elsewhere || c->confirmed)
		return CANDIDATE_READY;
	if (now - c->seen_at < CONTROL_SETTLE_US)
		return CANDIDATE_WAITING;
	if (c->platform_down)
		return CANDIDATE_READY;
	if (c->reread_requested)
		return CANDIDATE_WAITING;
	c->reread_requested = true;
	return CANDIDATE_REREAD;
}

struct publication *candidate_publication(const struct candidate *c)
{
	return c->publication;
}

const struct config_snapshot *candidate_snapshot(const struct candidate *c)
{
	return c->snapshot;
}
