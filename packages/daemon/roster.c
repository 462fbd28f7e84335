/* Stable numeric ids for names. */
#include "roster.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum name_kind {
	NAME_VM,
	NAME_SERVICE,
	NAME_DOMAIN,
	NAME_REGION,
	NAME_KINDS,
};

struct name_id {
	char *name;
	uint32_t id;
	UT_hash_handle hh;
};

struct roster {
	struct name_id *ids[NAME_KINDS];
	/* By id, of all VMs that were ever in a snapshot. */
	const struct config_vm **by_id;
	const char **vm_names;
	size_t by_id_count;
	const struct config_snapshot *snapshot;
};

struct roster *roster_create(void)
{
	return base_alloc(sizeof(struct roster));
}

void roster_destroy(struct roster *roster)
{
	struct name_id *entry, *next;
	int kind;

	if (!roster)
		return;
	for (kind = 0; kind < NAME_KINDS; kind++) {
		HASH_ITER (hh, roster->ids[kind], entry, next) {
			HASH_DEL(roster->ids[kind], entry);
			free(entry->name);
			free(entry);
		}
	}
	free(roster->by_id);
	free(roster->vm_names);
	free(roster);
}

static uint32_t get_id(struct roster *roster, enum name_kind kind,
		       struct base_str name)
{
	struct name_id *entry;

	HASH_FIND(hh, roster->ids[kind], name.ptr, name.len, entry);
	if (entry)
		return entry->id;
	entry = base_alloc(sizeof(*entry));
	entry->name = base_str_dup(name);
	entry->id = HASH_COUNT(roster->ids[kind]);
	HASH_ADD_KEYPTR(hh, roster->ids[kind], entry->name, name.len, entry);
	return entry->id;
}

uint32_t roster_vm_id(struct roster *roster, struct base_str name)
{
	return get_id(roster, NAME_VM, name);
}

uint32_t roster_service_id(struct roster *roster, struct base_str name)
{
	return get_id(roster, NAME_SERVICE, name);
}

uint32_t roster_domain_id(struct roster *roster, struct base_str name)
{
	return get_id(roster, NAME_DOMAIN, name);
}

uint32_t roster_region_id(struct roster *roster, struct base_str name)
{
	return get_id(roster, NAME_REGION, name);
}

static void list_vm_names(struct roster *roster)
{
	struct name_id *entry, *next;

	free(roster->vm_names);
	roster->vm_names = base_alloc_array(roster->by_id_count,
					    sizeof(*roster->vm_names));
	HASH_ITER (hh, roster->ids[NAME_VM], entry, next)
		roster->vm_names[entry->id] = entry->name;
}

void roster_update(struct roster *roster,
		   const struct config_snapshot *snapshot)
{
	size_t i;

	roster->snapshot = snapshot;
	for (i = 0; i < snapshot->vm_count; i++)
		roster_vm_id(roster, snapshot->vms[i].name);
	roster->by_id_count = HASH_COUNT(roster->ids[NAME_VM]);
	free(roster->by_id);
	roster->by_id =
		base_alloc_array(roster->by_id_count, sizeof(*roster->by_id));
	for (i = 0; i < snapshot->vm_count; i++)
		roster->by_id[roster_vm_id(roster, snapshot->vms[i].name)] =
			&snapshot->vms[i];
	list_vm_names(roster);
}

struct base_str roster_vm_name(const struct roster *roster, uint32_t id)
{
	return id < roster->by_id_count ? base_str_from(roster->vm_names[id])
					: BASE_STR_NONE;
}

const struct config_vm *roster_vm(const struct roster *roster, uint32_t id)
{
	return id < roster->by_id_count ? roster->by_id[id] : NULL;
}

void roster_configure_routing(struct roster *roster,
			      struct routing_table *routing)
{
	const struct config_snapshot *s = roster->snapshot;
	struct routing_server *servers =
		base_alloc_array(s->vm_count, sizeof(*servers));
	size_t i;

	for (i = 0; i < s->vm_count; i++) {
		const struct config_vm *vm = &s->vms[i];

		servers[i] = (struct routing_server){
			.id = roster_vm_id(roster, vm->name),
			.service = roster_service_id(roster, vm->service->name),
			.domain = roster_domain_id(roster, vm->domain->name),
			.region = roster_region_id(roster,
						   vm->domain->region->name),
			.slots = (uint32_t)(vm->slots ? vm->slots
						      : vm->service->slots),
			.leaving = vm->leaving,
			.domain_out = vm->domain->out,
		};
	}
	routing_configure(routing, servers, s->vm_count);
	free(servers);
}

uint64_t roster_name_hash(struct base_str name)
{
	return base_hash64(name, 0);
}
