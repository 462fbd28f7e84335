/* Messages between the control task and the data task, and publications. */
#include "messages.h"

#include <inttypes.h>
#include <string.h>

struct publication_batch *publication_batch_ref(struct publication_batch *batch)
{
	atomic_fetch_add(&batch->references, 1);
	return batch;
}

void publication_batch_unref(struct publication_batch *batch)
{
	if (atomic_fetch_sub(&batch->references, 1) > 1)
		return;
	base_buf_release(&batch->items);
	free(batch);
}

struct publication *publication_ref(struct publication *pub)
{
	atomic_fetch_add(&pub->references, 1);
	return pub;
}

void publication_unref(struct publication *pub)
{
	size_t i;

	if (!pub || atomic_fetch_sub(&pub->references, 1) > 1)
		return;
	for (i = 0; i < pub->part_count; i++)
		base_buf_release(&pub->parts[i].bytes);
	for (i = 0; i < pub->batch_count; i++)
		publication_batch_unref(pub->batches[i]);
	free(pub->batches);
	free(pub->parts);
	base_buf_release(&pub->manifest);
	free(pub);
}

struct base_str publication_value(const struct publication *pub,
				  struct base_str key)
{
	struct base_str prefix = BASE_STR(CONFIG_KEY_PART_PREFIX);
	struct base_digest digest;
	size_t i;

	if (base_str_equal(key, BASE_STR(CONFIG_KEY_MANIFEST)))
		return base_buf_str(&pub->manifest);
	if (!base_str_starts_with(key, prefix))
		return BASE_STR_NONE;
	key.ptr += prefix.len;
	key.len -= prefix.len;
	if (!base_digest_parse(key, &digest))
		return BASE_STR_NONE;
	for (i = 0; i < pub->part_count; i++)
		if (base_digest_equal(&pub->parts[i].part.digest, &digest))
			return base_buf_str(&pub->parts[i].bytes);
	return BASE_STR_NONE;
}

/*
 * Returns the index of the first batch with changes after a revision,
 * batch_count when they are not kept.
 */
static size_t find_batch(const struct publication *pub, int64_t revision)
{
	size_t i;

	for (i = 0; i < pub->batch_count; i++)
		if (pub->batches[i]->revision > revision)
			break;
	if (i < pub->batch_count && pub->batches[i]->after > revision)
		return pub->batch_count;
	return i;
}

bool publication_write_changes(const struct publication *pub,
			       struct base_str key, struct base_buf *out)
{
	struct base_str prefix = BASE_STR(PUBLICATION_KEY_CHANGES_PREFIX);
	bool separate = false;
	int64_t revision;
	size_t i;

	if (!base_str_starts_with(key, prefix))
		return false;
	key.ptr += prefix.len;
	key.len -= prefix.len;
	if (!base_str_to_i64(key, &revision))
		return false;
	i = find_batch(pub, revision);
	if (i == pub->batch_count)
		return false;
	base_buf_addf(out,
		      "{\"after\":%" PRId64 ",\"revision\":%" PRId64
		      ",\"items\":[",
		      pub->batches[i]->after,
		      pub->batches[pub->batch_count - 1]->revision);
	for (; i < pub->batch_count; i++) {
		struct base_str items = base_buf_str(&pub->batches[i]->items);

		if (separate && items.len)
			base_buf_addf(out, ",");
		base_buf_add_str(out, items);
		separate = separate || items.len;
	}
	base_buf_addf(out, "]}");
	return true;
}

void control_message_free(struct control_message *msg)
{
	base_buf_release(&msg->key);
	base_buf_release(&msg->value);
	free(msg);
}

void data_message_free(struct data_message *msg)
{
	config_snapshot_unref(msg->snapshot);
	publication_unref(msg->publication);
	config_vm_list_destroy(msg->vms);
	base_buf_release(&msg->text);
	free(msg);
}
