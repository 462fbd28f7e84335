/* Recent changes of a mirror. */
#include "registry_changes.h"

#include <stdlib.h>
#include <string.h>

struct registry_changes {
	struct publication_batch *batches[REGISTRY_CHANGES_MAX_BATCHES];
	size_t count;
	/* Changes since the last batch, as JSON objects joined by commas. */
	struct base_buf pending;
	/* Revision of the mirror before these changes. */
	int64_t revision;
};

struct registry_changes *registry_changes_create(void)
{
	return base_alloc(sizeof(struct registry_changes));
}

static void drop_batches(struct registry_changes *c, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		publication_batch_unref(c->batches[i]);
	c->count -= count;
	memmove(c->batches, c->batches + count,
		c->count * sizeof(c->batches[0]));
}

void registry_changes_destroy(struct registry_changes *changes)
{
	if (!changes)
		return;
	drop_batches(changes, changes->count);
	base_buf_release(&changes->pending);
	free(changes);
}

json_t *registry_item_to_json(const struct registry_item *item)
{
	json_t *json =
		json_pack("{s:s%,s:I,s:I}", "key", item->key.ptr, item->key.len,
			  "revision", (json_int_t)item->revision, "created",
			  (json_int_t)item->created);
	json_t *text;

	/* The key is no UTF-8 text; no entry that is in use has such a key. */
	if (!json)
		return NULL;
	if (item->removed) {
		json_object_set_new(json, "removed", json_true());
		return json;
	}
	text = json_stringn(item->value.ptr ? item->value.ptr : "",
			    item->value.len);
	json_object_set_new(json, "value", text ? text : json_string(""));
	return json;
}

bool registry_item_from_json(const json_t *json, struct registry_item *item)
{
	const json_t *value = json_object_get(json, "value");

	item->key =
		base_str_from(json_string_value(json_object_get(json, "key")));
	item->revision = json_integer_value(json_object_get(json, "revision"));
	item->created = json_integer_value(json_object_get(json, "created"));
	item->removed = json_is_true(json_object_get(json, "removed"));
	item->value = (struct base_str){ json_string_value(value),
					 json_string_length(value) };
	return item->key.len && item->revision > 0;
}

void registry_changes_add(struct registry_changes *changes,
			  const struct registry_item *item)
{
	json_t *json = registry_item_to_json(item);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	if (text)
		base_buf_addf(&changes->pending, "%s%s",
			      changes->pending.len ? "," : "", text);
	free(text);
	json_decref(json);
}

void registry_changes_restart(struct registry_changes *changes,
			      int64_t revision)
{
	drop_batches(changes, changes->count);
	base_buf_reset(&changes->pending);
	changes->revision = revision;
}

static void end_batch(struct registry_changes *c, int64_t revision)
{
	struct publication_batch *batch = base_alloc(sizeof(*batch));

	if (c->count == REGISTRY_CHANGES_MAX_BATCHES)
		drop_batches(c, 1);
	atomic_init(&batch->references, 1);
	batch->after = c->revision;
	batch->revision = revision;
	base_buf_add_str(&batch->items, base_buf_str(&c->pending));
	c->batches[c->count++] = batch;
	base_buf_reset(&c->pending);
	c->revision = revision;
}

void registry_changes_publish(struct registry_changes *changes,
			      int64_t revision, struct publication *pub)
{
	size_t i;

	if (revision > changes->revision)
		end_batch(changes, revision);
	pub->batches = base_alloc_array(changes->count, sizeof(*pub->batches));
	pub->batch_count = changes->count;
	for (i = 0; i < changes->count; i++)
		pub->batches[i] = publication_batch_ref(changes->batches[i]);
}
