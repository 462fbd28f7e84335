/*
 * Choice of the VMs that hold the shares of an account. Does no input or
 * output: equal snapshots give equal holders on all daemons.
 */
#ifndef RATE_HOLDERS_H
#define RATE_HOLDERS_H

#include "config.h"
#include "rate.h"

/** Holders of one account. The VMs belong to the snapshot. */
struct rate_holders {
	const struct config_vm *vms[RATE_HOLDERS_MAX];
	size_t count;
};

/**
 * Returns the number of holders that an account should have in each failure
 * domain, or 0 when the snapshot has no failure domain.
 */
uint32_t rate_holders_per_domain(const struct config_snapshot *snapshot,
				 const struct config_account *account);
/** The failure domains in which an account has holders. */
enum rate_holder_domains {
	/** Those that are in, or all when all are out. */
	RATE_DOMAINS_IN,
	/** All that are listed. */
	RATE_DOMAINS_LISTED,
};

/**
 * Chooses the holders of an account: @p holders_per_domain VMs in each of these
 * failure domains. A domain with fewer VMs has fewer holders. The holders are
 * sorted by domain and, within a domain, by their rank from
 * config_snapshot_rank_vms().
 * @param account  name of the account
 * @return false, with no holders, when there would be more than
 *         RATE_HOLDERS_MAX of them or when the snapshot has more than
 *         RATE_CONFIRMERS_MAX failure domains
 */
bool rate_holders_choose(const struct config_snapshot *snapshot,
			 struct base_str account, uint32_t holders_per_domain,
			 enum rate_holder_domains domains,
			 struct rate_holders *out);
/**
 * Sorts holders into the order in which the entry on VM @p self asks them:
 * those of its own failure domain, then those of its region, then the others.
 * Within each of these groups, entries start at different holders.
 * @param domain  failure domain of @p self; NULL when that VM is not in the
 *                snapshot
 */
void rate_holders_order(const struct rate_holders *holders,
			struct base_str account, struct base_str self,
			const struct config_domain *domain,
			struct rate_holders *out);
/**
 * Returns whether both snapshots have the same VMs, failure domains and
 * regions, so that accounts of equal name and burst have equal holders.
 */
bool rate_holders_same_roster(const struct config_snapshot *a,
			      const struct config_snapshot *b);

#endif
