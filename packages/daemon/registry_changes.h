/*
 * Recent changes of a mirror, for peers that are only a little behind: they
 * fetch the changes in place of the whole mirror.
 *
 * The changes are kept as the registry stated them, so that each mirror decides
 * by itself for how long it keeps a removed entry.
 */
#ifndef REGISTRY_CHANGES_H
#define REGISTRY_CHANGES_H

#include "dialect.h"
#include "messages.h"

#include <jansson.h>

/** Number of batches that are kept, one for each publication. */
#define REGISTRY_CHANGES_MAX_BATCHES 64

struct registry_changes;

struct registry_changes *registry_changes_create(void);
void registry_changes_destroy(struct registry_changes *changes);
/** Adds a change to the batch that the next publication ends. */
void registry_changes_add(struct registry_changes *changes,
			  const struct registry_item *item);
/**
 * Drops all changes. Those that are added from now on lead on from
 * @p revision.
 */
void registry_changes_restart(struct registry_changes *changes,
			      int64_t revision);
/** Ends a batch at @p revision and adds references of all to @p pub. */
void registry_changes_publish(struct registry_changes *changes,
			      int64_t revision, struct publication *pub);

/** Writes an item as JSON; one reference, which the caller owns. */
json_t *registry_item_to_json(const struct registry_item *item);
/**
 * Reads an item. Its strings point into @p json.
 * @return false when the key or the revision is missing
 */
bool registry_item_from_json(const json_t *json, struct registry_item *item);

#endif
