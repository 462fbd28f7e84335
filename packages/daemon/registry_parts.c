/* Large values of a peer's mirror. */
#include "registry_parts.h"

#include <stdlib.h>
#include <uthash.h>

struct part {
	char hex[2 * BASE_DIGEST_SIZE + 1];
	struct base_buf bytes;
	UT_hash_handle hh;
};

struct registry_parts {
	struct part *parts;
	size_t bytes;
};

struct registry_parts *registry_parts_create(void)
{
	return base_alloc(sizeof(struct registry_parts));
}

void registry_parts_clear(struct registry_parts *parts)
{
	struct part *part, *next;

	HASH_ITER (hh, parts->parts, part, next) {
		HASH_DEL(parts->parts, part);
		base_buf_release(&part->bytes);
		free(part);
	}
	parts->bytes = 0;
}

void registry_parts_destroy(struct registry_parts *parts)
{
	if (!parts)
		return;
	registry_parts_clear(parts);
	free(parts);
}

static struct part *find(const struct registry_parts *parts, const char *hex)
{
	struct part *part;

	HASH_FIND_STR(parts->parts, hex, part);
	return part;
}

void registry_parts_add(struct registry_parts *parts, struct base_str bytes)
{
	struct base_digest digest = base_digest_of(bytes);
	struct part *part = base_alloc(sizeof(*part));

	base_digest_hex(&digest, part->hex);
	if (find(parts, part->hex)) {
		free(part);
		return;
	}
	if (parts->bytes + bytes.len > REGISTRY_PARTS_MAX_BYTES)
		registry_parts_clear(parts);
	base_buf_add_str(&part->bytes, bytes);
	parts->bytes += bytes.len;
	HASH_ADD_STR(parts->parts, hex, part);
}

struct base_str registry_parts_find(const struct registry_parts *parts,
				    const char *hex)
{
	const struct part *part = find(parts, hex);

	return part ? base_buf_str(&part->bytes) : BASE_STR_NONE;
}
