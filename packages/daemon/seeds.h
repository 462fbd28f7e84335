/*
 * Links to the seed peers (--seed-peers), from which a daemon that has no
 * configuration yet can learn it without the platform.
 */
#ifndef SEEDS_H
#define SEEDS_H

#include "node.h"

struct seeds;

/** Opens no link before the first tick. */
struct seeds *seeds_create(struct node *node);
void seeds_destroy(struct seeds *s);
/** Opens the links while no configuration is in force. */
void seeds_tick(struct seeds *s);
/** Opens links to daemons of a roster that is not in force yet, too. */
void seeds_add_roster(struct seeds *s, const struct config_snapshot *snapshot);
/** A configuration is in force: the links are closed for good. */
void seeds_close(struct seeds *s);
/** @return false when the link is not to a seed peer */
bool seeds_record_version(struct seeds *s, const struct peer_link *link,
			  uint64_t version);
/** @return the seed with the highest version, or NULL when none is up */
struct peer_link *seeds_best_link(const struct seeds *s);

#endif
