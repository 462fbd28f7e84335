/* The collected objects of a set. */
#ifndef CONFIG_SET_H
#define CONFIG_SET_H

#include "object.h"

struct config_set {
	/** In the order of adding, with duplicates. */
	struct object **objects;
	size_t count;
	size_t cap;
	/** First object of each name. */
	struct object *by_name[KIND_COUNT];
	/** Names of sources, which objects point to. */
	char **sources;
	size_t source_count;
	/** Problems found while reading. */
	struct config_report parse_problems;
};

const struct object *set_find(const struct config_set *set,
			      enum object_kind kind, const char *name);
/** Objects of @p kind by name, without duplicates; the caller frees. */
const struct object **set_sorted(const struct config_set *set,
				 enum object_kind kind, size_t *count);

#endif
