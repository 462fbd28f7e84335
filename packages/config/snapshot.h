/* The private side of a snapshot. */
#ifndef CONFIG_SNAPSHOT_H
#define CONFIG_SNAPSHOT_H

#include "set.h"

#include <stdatomic.h>

struct snapshot {
	struct config_snapshot pub;
	atomic_size_t refs;
	/** All texts, each with its NUL. */
	char *texts;
	size_t texts_len;
	/** VMs grouped by service; services point into it. */
	const struct config_vm **service_vms;
	/** Splits of all routes; routes point into it. */
	struct config_split *splits;
	/** By id. */
	const struct config_key **keys_by_id;
	/** By path prefix, then method with "any" first. */
	const struct config_route **routes_by_path;
	size_t longest_prefix_len;
};

/** Sorts the arrays that look-ups use. */
void snapshot_build_indexes(struct snapshot *snapshot);
/** Builds the arrays from a set that passed the check. */
struct snapshot *snapshot_build(const struct config_set *set);
/** Groups the VMs by service. */
void snapshot_group_vms(struct snapshot *snapshot);
void snapshot_free(struct snapshot *snapshot);

const struct config_region *
snapshot_find_region(const struct config_snapshot *snapshot,
		     struct base_str name);

#endif
