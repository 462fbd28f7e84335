/*
 * Ownership of idempotency keys. The roster, which is the set of VMs of a
 * configuration snapshot, determines the owner of each key. Former rosters show
 * whether another VM owned a key before.
 */
#ifndef OWNER_H
#define OWNER_H

#include "config.h"

/**
 * Rosters kept, including the current one. If one that is still needed was
 * dropped, every key counts as moved.
 */
#define OWNER_ROSTERS_MAX 64

/**
 * Returns the owner of a key: the first VM by rank among all VMs of the
 * snapshot, NULL if it has none. The letter case of the key does not matter.
 * The result belongs to the snapshot.
 */
const struct config_vm *owner_find(const struct config_snapshot *snapshot,
				   struct base_str account,
				   struct base_str key);

/** Rosters that were active on this daemon, the current one last. */
struct owner_rosters;

struct owner_rosters *owner_rosters_create(void);
void owner_rosters_destroy(struct owner_rosters *rosters);
/** Adds the current roster and takes a reference to the snapshot. */
void owner_rosters_add(struct owner_rosters *rosters,
		       const struct config_snapshot *snapshot);
/** Drops the rosters of versions before @p version. */
void owner_rosters_drop_before(struct owner_rosters *rosters, uint64_t version);
/** Whether the key has an owner other than @p vm in one of the rosters. */
bool owner_rosters_key_moved(const struct owner_rosters *rosters,
			     struct base_str vm, struct base_str account,
			     struct base_str key);
size_t owner_rosters_count(const struct owner_rosters *rosters);

/** Whether the VM names or the domains that have to report differ. */
bool owner_roster_differs(const struct config_snapshot *a,
			  const struct config_snapshot *b);
/**
 * Whether a failure domain has to report the configuration version before moved
 * keys are accepted: it is not taken out of rotation and has VMs. A domain
 * without VMs has no daemon that could report.
 */
bool owner_domain_reports(const struct config_snapshot *snapshot,
			  const struct config_domain *domain);

#endif
