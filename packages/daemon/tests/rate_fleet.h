/* A hand-made snapshot for tests of the choice of holders. */
#ifndef RATE_FLEET_H
#define RATE_FLEET_H

#include "config.h"

#define FLEET_DOMAINS 9
#define FLEET_VMS_MAX 200
#define FLEET_ACCOUNTS_MAX 80

struct rate_fleet {
	struct config_snapshot snapshot;
	struct config_region regions[3];
	struct config_domain domains[FLEET_DOMAINS];
	struct config_vm vms[FLEET_VMS_MAX];
	struct config_account accounts[FLEET_ACCOUNTS_MAX];
	char names[3 + FLEET_DOMAINS + FLEET_VMS_MAX + FLEET_ACCOUNTS_MAX][16];
	size_t name_count;
};

/** Three regions, VMs in turn over the domains, accounts "a000" and on. */
struct rate_fleet *rate_fleet_create(size_t domains, size_t vms,
				     size_t accounts, int64_t burst);
/** Appends a VM to a domain. */
void rate_fleet_add_vm(struct rate_fleet *fleet, size_t domain);
/** A copy with another version. It uses the names of @p fleet. */
struct rate_fleet *rate_fleet_copy_at_version(const struct rate_fleet *fleet,
					      int64_t version);

#endif
