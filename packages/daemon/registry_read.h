/*
 * A read of all items of a platform's registry, which takes several pages.
 *
 * Pages are not a snapshot: items change between two of them, and a page may be
 * lost or come late. So the items are collected here, and the mirror takes them
 * at once when the last page has arrived. Its revision is then the one that the
 * first page stated; a watch from there delivers each change that any of the
 * pages missed.
 *
 * Does no I/O.
 */
#ifndef REGISTRY_READ_H
#define REGISTRY_READ_H

#include "registry.h"

/** Limit on the keys and values of one read, in bytes. */
#define REGISTRY_READ_MAX_BYTES (16U << 20)
#define REGISTRY_READ_MAX_PAGES 1000

struct registry_read;

enum registry_read_status {
	/** The next page begins after registry_read_last_key(). */
	REGISTRY_READ_MORE,
	REGISTRY_READ_COMPLETE,
	/** The page cannot belong to this read, which has to begin again. */
	REGISTRY_READ_INVALID,
};

struct registry_read *registry_read_create(void);
void registry_read_destroy(struct registry_read *read);
/** Drops all pages, so that the next one is the first. */
void registry_read_restart(struct registry_read *read);
/** True when the next page is the first one. */
bool registry_read_is_new(const struct registry_read *read);
/** Last key of the pages so far; empty before the first page. */
struct base_str registry_read_last_key(const struct registry_read *read);
/** Revision that the first page stated. */
int64_t registry_read_revision(const struct registry_read *read);
/**
 * Adds the next page. After a failed call the same page is asked for again.
 * @param[out] err  set with REGISTRY_READ_INVALID
 */
enum registry_read_status
registry_read_add_page(struct registry_read *read,
		       const struct registry_page *page,
		       struct base_error *err);
/**
 * Replaces the mirror's items by those of a complete read and starts anew. A
 * mirror that has taken a newer revision from a peer meanwhile is left as it
 * is, as the pages may list items that have been removed since.
 * @param era  of the registry, see registry_restore.h
 */
void registry_read_apply(struct registry_read *read, struct registry *registry,
			 int64_t era, int64_t now);

#endif
