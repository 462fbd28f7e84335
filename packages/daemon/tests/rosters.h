/* Small snapshots for tests that need a roster. */
#ifndef DAEMON_TEST_ROSTERS_H
#define DAEMON_TEST_ROSTERS_H

#include "config.h"

/** One VM; its failure domain is created when no VM before it names it. */
struct roster_vm_spec {
	const char *name;
	const char *domain;
	bool leaving;
};

/**
 * Loads a set with these VMs, all of the service "shop".
 * @param out    name of a domain that is out, or NULL
 * @param empty  name of a domain without VMs, or NULL
 */
const struct config_snapshot *roster_load(int64_t version,
					  const struct roster_vm_spec *vms,
					  size_t count, const char *out,
					  const char *empty);

#endif
