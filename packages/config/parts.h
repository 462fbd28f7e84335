/* Grouping of objects into the parts that are published. */
#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

#include "set.h"

/* Accounts and keys are sharded so that a change affects only a small part. */
#define PARTS_SHARD_COUNT 16
#define PARTS_COUNT (4 + 2 * PARTS_SHARD_COUNT)

/** Writes the name of part @p index to @p name. */
void parts_name(size_t index, char name[32]);
/**
 * Appends the contents of each part to its buffer; the buffers of parts without
 * objects stay empty. Objects are sorted by kind and name, one per line.
 */
void parts_render(const struct config_set *set,
		  struct base_buf parts[PARTS_COUNT]);

#endif
