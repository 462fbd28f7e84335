/* Internal representation of a snapshot. */
#ifndef CONFIG_SNAPSHOT_H
#define CONFIG_SNAPSHOT_H

#include "set.h"

#include <stdatomic.h>

struct snapshot {
	/** Public part; first, so that pointers to it can be converted. */
	struct config_snapshot pub;
	atomic_size_t refs;
	/** All strings, each with its NUL. */
	char *texts;
	size_t texts_len;
	/** VMs grouped by service; the services point into this array. */
	const struct config_vm **service_vms;
	/** Splits of all routes; the routes point into this array. */
	struct config_split *splits;
	/** Sorted by id. */
	const struct config_key **keys_by_id;
	/** Sorted by path prefix, then by method with "any" first. */
	const struct config_route **routes_by_path;
	size_t longest_prefix_len;
};

/** Builds the sorted arrays that look-ups use. */
void snapshot_build_indexes(struct snapshot *snapshot);
/** Builds a snapshot from a set that passed config_set_check(). */
struct snapshot *snapshot_build(const struct config_set *set);
/** Fills in the vms of each service, sorted by name. */
void snapshot_group_vms(struct snapshot *snapshot);
void snapshot_free(struct snapshot *snapshot);

const struct config_region *
snapshot_find_region(const struct config_snapshot *snapshot,
		     struct base_str name);

#endif
