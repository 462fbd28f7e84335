/*
 * Choice of the holders of an account. Pure: equal snapshots give equal holders
 * on all daemons.
 */
#ifndef RATE_HOLDERS_H
#define RATE_HOLDERS_H

#include "config.h"
#include "rate.h"

/* The holders of one account, and the order in which an entry asks them. */
struct rate_holders {
	const struct config_vm *vms[RATE_HOLDERS_MAX];
	size_t count;
};

/** Holders wanted in each failure domain; 0 without failure domains. */
uint32_t rate_holders_per_domain(const struct config_snapshot *snapshot,
				 const struct config_account *account);
/**
 * Chooses @p holders_per_domain VMs in each failure domain that is in, or in
 * all when all are out. A domain with fewer VMs has fewer holders. The order is
 * that of domains, then of rank.
 * @return false, with no holders, when there would be more than
 *         RATE_HOLDERS_MAX, or more domains than RATE_CONFIRMERS_MAX
 */
bool rate_holders_choose(const struct config_snapshot *snapshot,
			 struct base_str account, uint32_t holders_per_domain,
			 struct rate_holders *out);
/**
 * Orders holders for the entry on VM @p self: those of its failure domain, then
 * of its region, then the others. Entries start at different holders of each
 * group.
 * @param domain  of the entry; NULL when it is not in the snapshot
 */
void rate_holders_order(const struct rate_holders *holders,
			struct base_str account, struct base_str self,
			const struct config_domain *domain,
			struct rate_holders *out);
/** Whether both snapshots give equal holders for equal accounts. */
bool rate_holders_same_roster(const struct config_snapshot *a,
			      const struct config_snapshot *b);

#endif
