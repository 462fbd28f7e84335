/* Grouping of objects into the parts that are published. */
#include "parts.h"

#include <stdio.h>

enum {
	PART_TOPOLOGY,
	PART_SERVICES,
	PART_ROUTES,
	PART_PRIORITIES,
	PART_ACCOUNTS,
	PART_KEYS = PART_ACCOUNTS + PARTS_SHARD_COUNT,
};

static size_t shard_index(const char *account)
{
	return base_hash64(base_str_from(account), 0) % PARTS_SHARD_COUNT;
}

static size_t part_index(const struct object *object)
{
	switch (object->kind) {
	case KIND_SERVICE:
		return PART_SERVICES;
	case KIND_ROUTE:
		return PART_ROUTES;
	case KIND_PRIORITY:
		return PART_PRIORITIES;
	case KIND_ACCOUNT:
		return PART_ACCOUNTS + shard_index(object->name);
	case KIND_KEY:
		return PART_KEYS + shard_index(object_text(object, "account"));
	default:
		return PART_TOPOLOGY;
	}
}

void parts_name(size_t index, char name[32])
{
	static const char *const single[] = { "topology", "services", "routes",
					      "priorities" };

	if (index < PART_ACCOUNTS)
		snprintf(name, 32, "%s", single[index]);
	else if (index < PART_KEYS)
		snprintf(name, 32, "accounts-%02zu", index - PART_ACCOUNTS);
	else
		snprintf(name, 32, "keys-%02zu", index - PART_KEYS);
}

static void add_object(struct base_buf *part, const struct object *object)
{
	char *text = json_dumps(object->json, JSON_COMPACT | JSON_SORT_KEYS);

	if (!part->len)
		base_buf_addf(part, "{\"schema\":%d,\"objects\":[\n",
			      CONFIG_SCHEMA);
	else
		base_buf_addf(part, ",\n");
	base_buf_add_str(part, base_str_from(text));
	free(text);
}

void parts_render(const struct config_set *set,
		  struct base_buf parts[PARTS_COUNT])
{
	int kind;
	size_t count, i;

	for (kind = 0; kind < KIND_COUNT; kind++) {
		const struct object **sorted =
			set_sorted(set, (enum object_kind)kind, &count);

		for (i = 0; i < count; i++)
			add_object(&parts[part_index(sorted[i])], sorted[i]);
		free(sorted);
	}
	for (i = 0; i < PARTS_COUNT; i++)
		if (parts[i].len)
			base_buf_addf(&parts[i], "\n]}\n");
}
