/* Snapshot built in memory. */
#include "rate_fleet.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

static struct base_str name(struct rate_fleet *f, const char *prefix,
			    size_t number)
{
	char *text = f->names[f->name_count++];

	snprintf(text, sizeof(f->names[0]), "%s%03zu", prefix, number);
	return base_str_from(text);
}

void rate_fleet_add_vm(struct rate_fleet *fleet, size_t domain)
{
	size_t i = fleet->snapshot.vm_count++;

	fleet->vms[i] = (struct config_vm){
		.index = i,
		.name = name(fleet, "vm", i),
		.domain = &fleet->domains[domain],
	};
}

static void set_array_pointers(struct rate_fleet *f)
{
	f->snapshot.regions = f->regions;
	f->snapshot.domains = f->domains;
	f->snapshot.vms = f->vms;
	f->snapshot.accounts = f->accounts;
}

struct rate_fleet *rate_fleet_create(size_t domains, size_t vms,
				     size_t accounts, int64_t burst)
{
	struct rate_fleet *f = base_alloc(sizeof(*f));
	size_t i;

	assert(domains);
	set_array_pointers(f);
	f->snapshot.version = 1;
	f->snapshot.region_count = 3;
	f->snapshot.domain_count = domains;
	f->snapshot.account_count = accounts;
	for (i = 0; i < 3; i++)
		f->regions[i] = (struct config_region){ i, name(f, "r", i) };
	for (i = 0; i < domains; i++)
		f->domains[i] =
			(struct config_domain){ i, name(f, "d", i),
						&f->regions[i % 3], false };
	for (i = 0; i < vms; i++)
		rate_fleet_add_vm(f, i % domains);
	for (i = 0; i < accounts; i++)
		f->accounts[i] = (struct config_account){
			.index = i,
			.name = name(f, "a", i),
			.rate = 1000,
			.burst = burst,
			.weight = 1,
		};
	return f;
}

struct rate_fleet *rate_fleet_copy_at_version(const struct rate_fleet *fleet,
					      int64_t version)
{
	struct rate_fleet *f = base_alloc(sizeof(*f));
	size_t i;

	memcpy(f, fleet, sizeof(*f));
	set_array_pointers(f);
	f->snapshot.version = version;
	for (i = 0; i < f->snapshot.domain_count; i++)
		f->domains[i].region =
			&f->regions[fleet->domains[i].region->index];
	for (i = 0; i < f->snapshot.vm_count; i++)
		f->vms[i].domain = &f->domains[fleet->vms[i].domain->index];
	return f;
}
