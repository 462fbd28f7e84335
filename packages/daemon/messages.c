/* Messages between the control task and the data task, and publications. */
#include "messages.h"

#include <string.h>

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
