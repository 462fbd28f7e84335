/*
 * Links to the seed peers (--seed-peers), from which a daemon without a
 * configuration can fetch one while the platform is down.
 */
#ifndef SEEDS_H
#define SEEDS_H

#include "node.h"

struct seeds;

/** Opens no link before the first tick. */
struct seeds *seeds_create(struct node *node);
void seeds_destroy(struct seeds *s);
/** Opens the links on the first call, unless a configuration is active. */
void seeds_tick(struct seeds *s);
/** Adds links to daemons of a snapshot that is not active yet. */
void seeds_add_roster(struct seeds *s, const struct config_snapshot *snapshot);
/** Closes the links permanently once a configuration is active. */
void seeds_close(struct seeds *s);
/**
 * Records the configuration version that a seed peer reported.
 * @return false when the link is not to a seed peer
 */
bool seeds_record_version(struct seeds *s, const struct peer_link *link,
			  uint64_t version);
/**
 * @return the link that is up to the seed peer with the highest version, or
 * NULL
 */
struct peer_link *seeds_best_link(const struct seeds *s);

#endif
