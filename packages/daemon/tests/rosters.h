/* Small snapshots, loaded from configuration text, for tests of rosters. */
#ifndef DAEMON_TEST_ROSTERS_H
#define DAEMON_TEST_ROSTERS_H

#include "config.h"

/** One VM. The first VM that names a failure domain also creates it. */
struct roster_vm_spec {
	const char *name;
	const char *domain;
	bool leaving;
};

/**
 * Renders and loads a configuration with these VMs, all of the service "shop".
 * Any error fails the test. Release the result with config_snapshot_unref().
 * @param out    name of a domain whose state is "out", or NULL
 * @param empty  name of an additional domain without VMs, or NULL
 */
const struct config_snapshot *roster_load(int64_t version,
					  const struct roster_vm_spec *vms,
					  size_t count, const char *out,
					  const char *empty);

#endif
