/* Mirror of a platform's registry. */
#include "registry.h"
#include "registry_changes.h"
#include "registry_parts.h"
#include "registry_restore.h"

#include <assert.h>
#include <jansson.h>
#include <string.h>
#include <uthash.h>

/* A larger value is sent to peers as a part of its own. */
#define INLINE_MAX_BYTES 4096

struct mirror_item {
	char *key;
	struct base_buf value;
	int64_t revision;
	int64_t created;
	/* Time until which a removed entry is kept; 0 when not removed. */
	int64_t expires_at;
	/* The same without regard to an outage of the platform. */
	int64_t expires_without_outage_at;
	/* Revision of the removal. */
	int64_t removed_revision;
	/* The item was applied since the current reload began. */
	bool seen_in_reload;
	UT_hash_handle hh;
};

struct registry {
	const struct registry_codec *codec;
	struct registry_view *view;
	struct base_log *log;
	struct mirror_item *items;
	struct registry_restores *restores;
	struct registry_changes *changes;
	struct registry_parts *parts;
	int64_t revision;
	int64_t reload_revision;
	int64_t reconnected_at;
	/* When the mirror first took a revision of the present era. */
	int64_t restored_at;
	/* Time for which entries that are removed in one group are kept. */
	int64_t mass_removal_hold_us;
	/* Time of the first removal in the current group of server entries. */
	int64_t removal_group_start;
	size_t removal_group_count;
	/* A reload has begun and has not ended. */
	bool reloading;
	bool changed;
};

struct registry *registry_create(const struct registry_codec *codec,
				 const struct registry_view_settings *settings,
				 int64_t leave_us, struct base_log *log)
{
	struct registry *r = base_alloc(sizeof(*r));

	r->codec = codec;
	r->log = log;
	r->mass_removal_hold_us =
		(int64_t)((double)leave_us * REGISTRY_MASS_REMOVAL_HOLD_RATIO);
	r->view = codec->view_create(settings);
	r->restores = registry_restores_create(codec);
	r->changes = registry_changes_create();
	r->parts = registry_parts_create();
	r->restored_at = -REGISTRY_RESTORE_SETTLE_US;
	r->reconnected_at = -REGISTRY_REREGISTER_TIMEOUT_US;
	r->removal_group_start = -REGISTRY_REMOVAL_GROUP_US;
	return r;
}

static void free_item(struct registry *r, struct mirror_item *m)
{
	assert(r->items);
	HASH_DEL(r->items, m);
	free(m->key);
	base_buf_release(&m->value);
	free(m);
}

void registry_destroy(struct registry *r)
{
	struct mirror_item *m, *next;

	if (!r)
		return;
	HASH_ITER (hh, r->items, m, next)
		free_item(r, m);
	registry_restores_destroy(r->restores);
	registry_changes_destroy(r->changes);
	r->codec->view_destroy(r->view);
	registry_parts_destroy(r->parts);
	free(r);
}

int64_t registry_revision(const struct registry *r)
{
	return r->revision;
}

static struct mirror_item *find_item(const struct registry *r,
				     struct base_str key)
{
	struct mirror_item *m;

	HASH_FIND(hh, r->items, key.ptr, key.len, m);
	return m;
}

static void log_item(struct registry *r, const char *event,
		     const struct registry_item *item, const char *problem)
{
	struct base_log_line line = base_log_begin(
		r->log, problem ? BASE_LOG_WARN : BASE_LOG_INFO, event);

	base_log_str(&line, "key", item->key);
	base_log_int(&line, "revision", item->revision);
	if (problem)
		base_log_cstr(&line, "problem", problem);
	base_log_end(&line);
}

static void put_item(struct registry *r, const struct registry_item *item)
{
	struct mirror_item *m = find_item(r, item->key);
	struct base_error err = { "" };

	if (!m) {
		m = base_alloc(sizeof(*m));
		m->key = base_str_dup(item->key);
		HASH_ADD_KEYPTR(hh, r->items, m->key, item->key.len, m);
	}
	m->revision = item->revision;
	m->created = item->created;
	m->expires_at = 0;
	m->seen_in_reload = true;
	base_buf_reset(&m->value);
	base_buf_add_str(&m->value, item->value);
	r->changed = true;
	if (!r->codec->view_put(r->view, item, &err))
		log_item(r, "registry_item_unreadable", item, err.message);
	else
		log_item(r, "registry_item_changed", item,
			 err.message[0] ? err.message : NULL);
}

size_t registry_server_count(const struct registry *r)
{
	struct mirror_item *m, *next;
	size_t n = 0;

	HASH_ITER (hh, r->items, m, next)
		n += r->codec->is_server(base_str_from(m->key));
	return n;
}

/*
 * Returns the time until which a removed entry is kept, because the platform
 * may have lost the entry of a server that still runs. An outage of the
 * platform may keep it for longer, see outage_hold().
 */
static int64_t hold_until(struct registry *r, const struct registry_item *item,
			  int64_t now)
{
	int64_t until = r->restored_at + REGISTRY_REREGISTER_TIMEOUT_US;

	/* Its writer may write it again, as it was lost in a restore. */
	if (!r->codec->is_server(item->key))
		return r->restored_at + REGISTRY_RESTORE_SETTLE_US;
	if (now - r->removal_group_start > REGISTRY_REMOVAL_GROUP_US) {
		r->removal_group_start = now;
		r->removal_group_count = 0;
	}
	r->removal_group_count++;
	if ((double)r->removal_group_count >
		    REGISTRY_MASS_REMOVAL_RATIO *
				    (double)registry_server_count(r) +
			    1 &&
	    until < now + r->mass_removal_hold_us)
		until = now + r->mass_removal_hold_us;
	return until;
}

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Time until which an outage of the platform keeps the removed entry. */
static int64_t outage_hold(const struct registry *r, struct base_str key)
{
	if (!r->codec->is_server(key))
		return 0;
	return r->reconnected_at + REGISTRY_REREGISTER_TIMEOUT_US;
}

static struct registry_item last_write(const struct mirror_item *m)
{
	return (struct registry_item){
		.key = base_str_from(m->key),
		.value = base_buf_str(&m->value),
		.revision = m->revision,
		.created = m->created,
	};
}

static void delete_item(struct registry *r, struct mirror_item *m,
			const char *event, int64_t now)
{
	struct registry_item last = last_write(m);
	struct registry_item item = {
		.key = base_str_from(m->key),
		.revision = m->removed_revision,
	};

	log_item(r, event, &item, NULL);
	registry_restores_record_removal(r->restores, &last, now);
	r->codec->view_remove(r->view, item.key);
	r->changed = true;
	free_item(r, m);
}

static void handle_removal(struct registry *r, const struct registry_item *item,
			   int64_t now)
{
	struct mirror_item *m = find_item(r, item->key);
	int64_t until;

	if (!m || m->expires_at)
		return;
	m->removed_revision = item->revision;
	m->expires_without_outage_at = later(hold_until(r, item, now), now);
	until = later(m->expires_without_outage_at, outage_hold(r, item->key));
	if (until <= now) {
		delete_item(r, m, "registry_item_removed", now);
		return;
	}
	m->expires_at = until;
	/* Peers get the removal now, as they keep the entry by themselves. */
	r->changed = true;
	log_item(r, "registry_item_lapsed", item, NULL);
}

/* The first revision of a later era shows that the registry was restored. */
static void advance_revision(struct registry *r, int64_t revision, int64_t now)
{
	if (revision <= r->revision)
		return;
	if (r->revision &&
	    registry_era_of(revision) > registry_era_of(r->revision))
		r->restored_at = now;
	r->revision = revision;
}

/*
 * Sets an item aside that the registry may list only because it was restored.
 * An older configuration is not taken at all: its writer never goes back.
 * Returns false when the item is to be applied.
 */
static bool set_aside(struct registry *r, struct mirror_item *m,
		      const struct registry_item *item)
{
	struct registry_item known;

	if (m) {
		known = last_write(m);
		if (!registry_restores_is_older(r->restores, item, &known))
			return false;
		m->seen_in_reload = true;
	} else if (!registry_restores_was_removed(r->restores, item)) {
		return false;
	}
	log_item(r, "registry_item_set_aside", item, NULL);
	if (!m || r->codec->is_server(item->key))
		registry_restores_defer(r->restores, item,
					r->restored_at +
						REGISTRY_RESTORE_SETTLE_US);
	return true;
}

/*
 * Takes one item. While several that belong together are taken, the mirror's
 * revision stays as it is: it must not pass a change that is still to come.
 */
static void take_item(struct registry *r, const struct registry_item *item,
		      int64_t now)
{
	struct mirror_item *m = find_item(r, item->key);

	/*
	 * Outside of a reload, the mirror holds all changes up to its revision.
	 * A watch that was in flight while a peer's changes were applied states
	 * some of them again, and with them entries that were removed since.
	 */
	if (!r->reloading && item->revision <= r->revision)
		return;
	/*
	 * Peers at an older revision need a change also when the last reload
	 * has listed its result here.
	 */
	if (!r->reloading)
		registry_changes_add(r->changes, item);
	if (m && m->revision >= item->revision) {
		m->seen_in_reload = true;
		return;
	}
	registry_restores_drop_deferred(r->restores, item->key);
	if (item->removed)
		handle_removal(r, item, now);
	else if (!set_aside(r, m, item))
		put_item(r, item);
}

void registry_apply_events(struct registry *r,
			   const struct registry_item *items, size_t count,
			   int64_t revision, int64_t now)
{
	size_t i;

	for (i = 0; i < count; i++)
		take_item(r, &items[i], now);
	if (count && revision > r->revision)
		r->changed = true;
	advance_revision(r, revision, now);
}

void registry_apply(struct registry *r, const struct registry_item *item,
		    int64_t now)
{
	take_item(r, item, now);
	if (!r->reloading)
		advance_revision(r, item->revision, now);
}

void registry_begin_reload(struct registry *r, int64_t revision, int64_t now)
{
	struct mirror_item *m, *next;

	/* Before the items, so that those of a former era are recognized. */
	if (registry_era_of(revision) > registry_era_of(r->revision))
		advance_revision(
			r, registry_era_revision(registry_era_of(revision), 0),
			now);
	r->reload_revision = revision;
	r->reloading = true;
	registry_restores_drop_all_deferred(r->restores);
	HASH_ITER (hh, r->items, m, next)
		m->seen_in_reload = false;
}

void registry_end_reload(struct registry *r, int64_t now)
{
	struct mirror_item *m, *next;

	HASH_ITER (hh, r->items, m, next) {
		struct registry_item item = {
			.key = base_str_from(m->key),
			.revision = r->reload_revision,
			.removed = true,
		};

		if (!m->seen_in_reload && m->revision <= r->reload_revision)
			handle_removal(r, &item, now);
	}
	advance_revision(r, r->reload_revision, now);
	r->reloading = false;
	registry_changes_restart(r->changes, r->revision);
}

void registry_platform_reconnected(struct registry *r, int64_t at)
{
	struct mirror_item *m, *next;

	if (!at)
		at = -REGISTRY_REREGISTER_TIMEOUT_US;
	if (at == r->reconnected_at)
		return;
	r->reconnected_at = at;
	HASH_ITER (hh, r->items, m, next)
		if (m->expires_at)
			m->expires_at =
				later(m->expires_without_outage_at,
				      outage_hold(r, base_str_from(m->key)));
}

void registry_tick(struct registry *r, int64_t now)
{
	struct mirror_item *m, *next;
	struct registry_item due;

	while (registry_restores_next_due(r->restores, now, &due)) {
		m = find_item(r, due.key);
		if (!m || m->revision < due.revision)
			put_item(r, &due);
	}
	HASH_ITER (hh, r->items, m, next)
		if (m->expires_at && now >= m->expires_at)
			delete_item(r, m, "registry_item_removed", now);
}

bool registry_test_and_clear_changed(struct registry *r)
{
	bool changed = r->changed && !r->reloading;

	if (changed)
		r->changed = false;
	return changed;
}

const struct config_snapshot *
registry_snapshot(const struct registry *r, const struct base_digest *digest)
{
	return r->codec->view_assemble(r->view, r->revision, digest);
}

int64_t registry_config_version(const struct registry *r)
{
	return r->codec->view_version(r->view);
}

static json_t *item_json(const struct mirror_item *m, struct publication *pub)
{
	struct registry_item item = last_write(m);
	struct base_str value = item.value;
	struct config_published_part *part;
	char hex[2 * BASE_DIGEST_SIZE + 1];
	json_t *json;

	if (value.len <= INLINE_MAX_BYTES)
		return registry_item_to_json(&item);
	item.value = BASE_STR_NONE;
	json = registry_item_to_json(&item);
	json_object_del(json, "value");
	part = &pub->parts[pub->part_count++];
	part->part.digest = base_digest_of(value);
	part->part.size = value.len;
	base_buf_add_str(&part->bytes, value);
	base_digest_hex(&part->part.digest, hex);
	json_object_set_new(json, "part", json_string(hex));
	return json;
}

struct publication *registry_publish(struct registry *r)
{
	struct publication *pub = base_alloc(sizeof(*pub));
	json_t *items = json_array();
	struct mirror_item *m, *next;
	json_t *json;
	char *text;

	atomic_init(&pub->references, 1);
	pub->version = r->revision;
	pub->parts =
		base_alloc_array(HASH_COUNT(r->items), sizeof(*pub->parts));
	HASH_ITER (hh, r->items, m, next)
		if (!m->expires_at)
			json_array_append_new(items, item_json(m, pub));
	json = json_pack("{s:I,s:o}", "revision", (json_int_t)r->revision,
			 "items", items);
	text = json_dumps(json, JSON_COMPACT);
	base_buf_addf(&pub->manifest, "%s", text);
	pub->digest = base_digest_of(base_buf_str(&pub->manifest));
	free(text);
	json_decref(json);
	registry_changes_publish(r->changes, r->revision, pub);
	return pub;
}

/*
 * Sets the value of an item that is sent as a part. Returns false when the part
 * is needed but not stored.
 */
static bool resolve_part(const struct registry *r, const json_t *json,
			 struct registry_item *item,
			 char missing[2 * BASE_DIGEST_SIZE + 1])
{
	const char *hex = json_string_value(json_object_get(json, "part"));
	const struct mirror_item *m = find_item(r, item->key);

	if (!hex || (m && m->revision >= item->revision))
		return true;
	item->value = registry_parts_find(r->parts, hex);
	if (item->value.ptr)
		return true;
	snprintf(missing, 2 * BASE_DIGEST_SIZE + 1, "%s", hex);
	return false;
}

static bool has_all_parts(struct registry *r, const json_t *items,
			  char missing[2 * BASE_DIGEST_SIZE + 1])
{
	struct registry_item item = { 0 };
	const json_t *json;
	size_t i;

	json_array_foreach (items, i, json)
		if (registry_item_from_json(json, &item) &&
		    !resolve_part(r, json, &item, missing))
			return false;
	return true;
}

bool registry_apply_manifest(struct registry *r, struct base_str manifest,
			     char missing[2 * BASE_DIGEST_SIZE + 1],
			     int64_t now)
{
	json_t *root = json_loadb(manifest.ptr ? manifest.ptr : "",
				  manifest.len, 0, NULL);
	int64_t revision =
		json_integer_value(json_object_get(root, "revision"));
	const json_t *items = json_object_get(root, "items");
	char unused[2 * BASE_DIGEST_SIZE + 1];
	bool ok = json_is_array(items) && revision > r->revision;
	const json_t *json;
	size_t i;

	missing[0] = '\0';
	if (ok && !has_all_parts(r, items, missing)) {
		json_decref(root);
		return false;
	}
	if (ok)
		registry_begin_reload(r, revision, now);
	json_array_foreach (ok ? items : NULL, i, json) {
		struct registry_item item = { 0 };

		if (registry_item_from_json(json, &item) &&
		    resolve_part(r, json, &item, unused))
			registry_apply(r, &item, now);
	}
	if (ok) {
		registry_end_reload(r, now);
		registry_parts_clear(r->parts);
	}
	missing[0] = '\0';
	json_decref(root);
	return ok;
}

bool registry_apply_changes(struct registry *r, struct base_str text,
			    int64_t now)
{
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len, 0, NULL);
	int64_t after = json_integer_value(json_object_get(root, "after"));
	int64_t revision =
		json_integer_value(json_object_get(root, "revision"));
	const json_t *items = json_object_get(root, "items");
	bool ok = json_is_array(items) && !r->reloading &&
		  after <= r->revision && revision > r->revision &&
		  registry_era_of(revision) == registry_era_of(r->revision);
	const json_t *json;
	size_t i;

	json_array_foreach (ok ? items : NULL, i, json) {
		struct registry_item item = { 0 };

		if (registry_item_from_json(json, &item))
			take_item(r, &item, now);
	}
	if (ok) {
		advance_revision(r, revision, now);
		r->changed = true;
	}
	json_decref(root);
	return ok;
}

void registry_add_part(struct registry *r, struct base_str bytes)
{
	registry_parts_add(r->parts, bytes);
}
