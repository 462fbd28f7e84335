/* Snapshot built in memory for the tests of rate_accounts and rate_holders. */
#ifndef RATE_FLEET_H
#define RATE_FLEET_H

#include "config.h"

#define FLEET_DOMAINS 9
#define FLEET_VMS_MAX 200
#define FLEET_ACCOUNTS_MAX 80

/** A snapshot with the memory of its objects. Free it with free(). */
struct rate_fleet {
	struct config_snapshot snapshot;
	struct config_region regions[3];
	struct config_domain domains[FLEET_DOMAINS];
	struct config_vm vms[FLEET_VMS_MAX];
	struct config_account accounts[FLEET_ACCOUNTS_MAX];
	char names[3 + FLEET_DOMAINS + FLEET_VMS_MAX + FLEET_ACCOUNTS_MAX][16];
	size_t name_count;
};

/**
 * Creates version 1 with three regions, the domains in turn over the regions
 * and the VMs in turn over the domains. Accounts are named "a000", "a001" and
 * so on; each has a rate of 1000 tokens a second.
 * @param burst  of each account, in tokens
 */
struct rate_fleet *rate_fleet_create(size_t domains, size_t vms,
				     size_t accounts, int64_t burst);
/** Appends a VM to a domain. */
void rate_fleet_add_vm(struct rate_fleet *fleet, size_t domain);
/**
 * Copies @p fleet as another version. The copy refers to the names of @p fleet,
 * which must outlive it.
 */
struct rate_fleet *rate_fleet_copy_at_version(const struct rate_fleet *fleet,
					      int64_t version);

#endif
