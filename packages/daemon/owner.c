/* Ownership of idempotency keys by the current and former rosters. */
#include "owner.h"

#include <ctype.h>
#include <string.h>

struct owner_rosters {
	const struct config_snapshot *items[OWNER_ROSTERS_MAX];
	size_t count;
	/* Newest version that was dropped because the array was full, or 0. */
	uint64_t dropped_version;
};

/*
 * A UUID in upper and in lower case is the same key, so both must have the same
 * owner.
 */
static void add_lower_case(struct base_buf *buf, struct base_str key)
{
	size_t i;

	for (i = 0; i < key.len; i++) {
		char c = (char)tolower((unsigned char)key.ptr[i]);

		base_buf_add(buf, &c, 1);
	}
}

const struct config_vm *owner_find(const struct config_snapshot *snapshot,
				   struct base_str account, struct base_str key)
{
	BASE_CLEANUP(base_buf_release) struct base_buf name = BASE_BUF_INIT;
	const struct config_vm *vm = NULL;

	base_buf_add_str(&name, account);
	base_buf_add(&name, "", 1);
	add_lower_case(&name, key);
	config_snapshot_rank_vms(snapshot, base_buf_str(&name), NULL, NULL, &vm,
				 1);
	return vm;
}

struct owner_rosters *owner_rosters_create(void)
{
	return base_alloc(sizeof(struct owner_rosters));
}

static void drop_oldest(struct owner_rosters *r)
{
	config_snapshot_unref(r->items[0]);
	r->count--;
	memmove(r->items, r->items + 1, r->count * sizeof(*r->items));
}

void owner_rosters_destroy(struct owner_rosters *rosters)
{
	if (!rosters)
		return;
	while (rosters->count)
		drop_oldest(rosters);
	free(rosters);
}

void owner_rosters_add(struct owner_rosters *rosters,
		       const struct config_snapshot *snapshot)
{
	if (rosters->count == OWNER_ROSTERS_MAX) {
		rosters->dropped_version = (uint64_t)rosters->items[0]->version;
		drop_oldest(rosters);
	}
	rosters->items[rosters->count++] = config_snapshot_ref(snapshot);
}

void owner_rosters_drop_before(struct owner_rosters *rosters, uint64_t version)
{
	while (rosters->count && (uint64_t)rosters->items[0]->version < version)
		drop_oldest(rosters);
	if (rosters->dropped_version < version)
		rosters->dropped_version = 0;
}

bool owner_rosters_key_moved(const struct owner_rosters *rosters,
			     struct base_str vm, struct base_str account,
			     struct base_str key)
{
	size_t i;

	if (rosters->dropped_version)
		return true;
	for (i = 0; i < rosters->count; i++) {
		const struct config_vm *owner =
			owner_find(rosters->items[i], account, key);

		if (!owner || !base_str_equal(owner->name, vm))
			return true;
	}
	return false;
}

size_t owner_rosters_count(const struct owner_rosters *rosters)
{
	return rosters->count;
}

bool owner_domain_reports(const struct config_snapshot *snapshot,
			  const struct config_domain *domain)
{
	size_t i;

	if (domain->out)
		return false;
	for (i = 0; i < snapshot->vm_count; i++)
		if (snapshot->vms[i].domain == domain)
			return true;
	return false;
}

static size_t count_reporting(const struct config_snapshot *snapshot)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < snapshot->domain_count; i++)
		n += owner_domain_reports(snapshot, &snapshot->domains[i]);
	return n;
}

static bool reports_by_name(const struct config_snapshot *snapshot,
			    struct base_str name)
{
	const struct config_domain *domain =
		config_snapshot_find_domain(snapshot, name);

	return domain && owner_domain_reports(snapshot, domain);
}

bool owner_roster_differs(const struct config_snapshot *a,
			  const struct config_snapshot *b)
{
	size_t i;

	if (a->vm_count != b->vm_count ||
	    count_reporting(a) != count_reporting(b))
		return true;
	for (i = 0; i < a->vm_count; i++)
		if (!config_snapshot_find_vm(b, a->vms[i].name))
			return true;
	for (i = 0; i < a->domain_count; i++)
		if (owner_domain_reports(a, &a->domains[i]) &&
		    !reports_by_name(b, a->domains[i].name))
			return true;
	return false;
}
