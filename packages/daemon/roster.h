/*
 * Numeric ids of VMs, services, failure domains and regions. An id stays the
 * same for the life of the daemon, while the indexes in a snapshot change when
 * objects are added.
 */
#ifndef ROSTER_H
#define ROSTER_H

#include "config.h"
#include "routing.h"

struct roster;

struct roster *roster_create(void);
void roster_destroy(struct roster *roster);
/**
 * Replaces the VMs by those of a snapshot. The roster keeps the pointer, so the
 * snapshot must live until the next call.
 */
void roster_update(struct roster *roster,
		   const struct config_snapshot *snapshot);
uint32_t roster_vm_id(struct roster *roster, struct base_str name);
uint32_t roster_service_id(struct roster *roster, struct base_str name);
uint32_t roster_domain_id(struct roster *roster, struct base_str name);
uint32_t roster_region_id(struct roster *roster, struct base_str name);
/** @return NULL when the VM is not in the current snapshot */
const struct config_vm *roster_vm(const struct roster *roster, uint32_t id);
/** Name of a VM that is or was in a snapshot; empty for other numbers. */
struct base_str roster_vm_name(const struct roster *roster, uint32_t id);
/** Configures the routing table with all VMs of the current snapshot. */
void roster_configure_routing(struct roster *roster,
			      struct routing_table *routing);
/** 64-bit hash of a client account's or VM's name, equal on all daemons. */
uint64_t roster_name_hash(struct base_str name);

#endif
