/*
 * Large values that were fetched from a peer one by one, until the manifest
 * that names them is applied.
 */
#ifndef REGISTRY_PARTS_H
#define REGISTRY_PARTS_H

#include "base.h"

/** Limit on the bytes of all parts; beyond it, those before are dropped. */
#define REGISTRY_PARTS_MAX_BYTES (8U << 20)

struct registry_parts;

struct registry_parts *registry_parts_create(void);
void registry_parts_destroy(struct registry_parts *parts);
/** Adds a copy of a part, named by the digest of its bytes. */
void registry_parts_add(struct registry_parts *parts, struct base_str bytes);
/**
 * @param hex  digest of the part
 * @return its bytes, valid until the next change of @p parts; BASE_STR_NONE
 *         when it is not kept
 */
struct base_str registry_parts_find(const struct registry_parts *parts,
				    const char *hex);
void registry_parts_clear(struct registry_parts *parts);

#endif
