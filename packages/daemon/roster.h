/*
 * Numbers for VMs, services and domains that stay the same over all snapshots,
 * because indexes in a snapshot change when objects are added.
 */
#ifndef ROSTER_H
#define ROSTER_H

#include "config.h"
#include "routing.h"

struct roster;

struct roster *roster_create(void);
void roster_destroy(struct roster *roster);
/** Takes over the VMs of a snapshot, which must outlive the next call. */
void roster_update(struct roster *roster,
		   const struct config_snapshot *snapshot);
uint32_t roster_vm_id(struct roster *roster, struct base_str name);
uint32_t roster_service_id(struct roster *roster, struct base_str name);
uint32_t roster_domain_id(struct roster *roster, struct base_str name);
uint32_t roster_region_id(struct roster *roster, struct base_str name);
/** @return NULL when the VM is not in the present snapshot */
const struct config_vm *roster_vm(const struct roster *roster, uint32_t id);
const struct config_vm *roster_vm_at(const struct roster *roster,
				     struct base_str address);
/** Hands all VMs of the present snapshot to the routing table. */
void roster_configure_routing(struct roster *roster,
			      struct routing_table *routing);
/** 64-bit name of an account or VM, the same on all daemons. */
uint64_t roster_name_hash(struct base_str name);

#endif
