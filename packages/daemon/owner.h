/*
 * Ownership of idempotency keys: the owner by the present roster, and whether
 * another VM owned a key by a former one.
 */
#ifndef OWNER_H
#define OWNER_H

#include "config.h"

/** Former rosters kept; with more, every key counts as moved. */
#define OWNER_ROSTERS_MAX 64

/** First VM of the whole roster by rank; NULL in an empty one. */
const struct config_vm *owner_find(const struct config_snapshot *snapshot,
				   struct base_str account,
				   struct base_str key);

/** The rosters that were in force here, the present one last. */
struct owner_rosters;

struct owner_rosters *owner_rosters_create(void);
void owner_rosters_destroy(struct owner_rosters *rosters);
void owner_rosters_add(struct owner_rosters *rosters,
		       const struct config_snapshot *snapshot);
/** Forgets the rosters of versions before @p version. */
void owner_rosters_drop_before(struct owner_rosters *rosters, uint64_t version);
/** Whether a kept roster names another owner than @p vm. */
bool owner_rosters_key_moved(const struct owner_rosters *rosters,
			     struct base_str vm, struct base_str account,
			     struct base_str key);
size_t owner_rosters_count(const struct owner_rosters *rosters);

/** Whether the VM names or the domains that take part in D6 differ. */
bool owner_roster_differs(const struct config_snapshot *a,
			  const struct config_snapshot *b);
/**
 * Whether a domain has to report before moved keys are accepted: it is not out
 * and has VMs. One without VMs has no daemon that could report.
 */
bool owner_domain_reports(const struct config_snapshot *snapshot,
			  const struct config_domain *domain);

#endif
