/* Internal representation of a set of objects. */
#ifndef CONFIG_SET_H
#define CONFIG_SET_H

#include "object.h"

struct config_set {
	/** In the order in which they were added, including duplicates. */
	struct object **objects;
	size_t count;
	size_t cap;
	/** First object of each name, one hash table per kind. */
	struct object *by_name[KIND_COUNT];
	/** Names of documents; the objects point to them. */
	char **sources;
	size_t source_count;
	/** Problems found while parsing documents. */
	struct config_report parse_problems;
};

/** Returns the first object of @p kind and @p name, or NULL. */
const struct object *set_find(const struct config_set *set,
			      enum object_kind kind, const char *name);
/**
 * Returns the objects of @p kind sorted by name, without duplicates. The caller
 * frees the array.
 */
const struct object **set_sorted(const struct config_set *set,
				 enum object_kind kind, size_t *count);

#endif
