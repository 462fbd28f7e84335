/**
 * @file
 * Restores of a platform's registry from an older copy of itself.
 *
 * After a restore the registry's revisions go back and are given out again, so
 * revisions of different eras cannot be compared by themselves. The mirror
 * counts its revisions as era * REGISTRY_ERA_REVISIONS + the platform's
 * revision, which grow over restores and order the mirrors of all daemons.
 *
 * The copy lists entries that were removed since and writes that were replaced
 * since. What is remembered here tells them from new ones. An entry that may be
 * old is set aside until its writer has had time to write again or its lease is
 * over; what the registry lists after that is in force.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef REGISTRY_RESTORE_H
#define REGISTRY_RESTORE_H

#include "dialect.h"

/** Larger than any revision of a platform. */
#define REGISTRY_ERA_REVISIONS INT64_C(1000000000000)
#define REGISTRY_ERA_MAX 1000000
/**
 * After a restore, operators and servers write again what was lost, and entries
 * of servers that have left expire after three of their heartbeat intervals of
 * 1.5 s. Both have happened this long after the restore was noticed.
 */
#define REGISTRY_RESTORE_SETTLE_US (6 * BASE_SECOND_US)

/** Revision of the mirror for a revision of the platform in an era. */
int64_t registry_era_revision(int64_t era, int64_t revision);
/** Era of a revision of the mirror. */
int64_t registry_era_of(int64_t revision);

/** Removed entries, and entries that were set aside. */
struct registry_restores;

struct registry_restores *
registry_restores_create(const struct registry_codec *codec);
void registry_restores_destroy(struct registry_restores *restores);
/** Remembers the last write of an entry that is removed from the mirror. */
void registry_restores_record_removal(struct registry_restores *restores,
				      const struct registry_item *last,
				      int64_t now);
/**
 * Whether an item that the mirror does not have is a removed one that the
 * registry lists again because it was restored.
 */
bool registry_restores_was_removed(const struct registry_restores *restores,
				   const struct registry_item *item);
/**
 * Whether @p item of a later era is an older write of its key than @p known.
 * False when the codec does not know the order of the writes.
 */
bool registry_restores_is_older(const struct registry_restores *restores,
				const struct registry_item *item,
				const struct registry_item *known);
/** Copies an item that may be old and sets it aside until @p until. */
void registry_restores_defer(struct registry_restores *restores,
			     const struct registry_item *item, int64_t until);
/** Drops the item of that key that was set aside, if any. */
void registry_restores_drop_deferred(struct registry_restores *restores,
				     struct base_str key);
/** Drops all items that were set aside; a reload lists them again. */
void registry_restores_drop_all_deferred(struct registry_restores *restores);
/**
 * Takes out one item whose time has come. Its strings stay valid until the next
 * call that changes @p restores.
 * @return false when there is none
 */
bool registry_restores_next_due(struct registry_restores *restores, int64_t now,
				struct registry_item *item);

#endif
