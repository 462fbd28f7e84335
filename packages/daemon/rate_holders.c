/* Choice of the VMs that hold the shares of an account. */
#include "rate_holders.h"

static uint32_t count_domains_in(const struct config_snapshot *s)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < s->domain_count; i++)
		n += !s->domains[i].out;
	return n;
}

/*
 * When all domains are out, their daemons hold shares, since they keep running.
 * Without holders, every request would be refused as beyond its account's rate.
 */
static bool domain_has_holders(const struct config_snapshot *s,
			       const struct config_domain *d,
			       enum rate_holder_domains domains)
{
	return domains == RATE_DOMAINS_LISTED || !d->out ||
	       !count_domains_in(s);
}

uint32_t rate_holders_per_domain(const struct config_snapshot *snapshot,
				 const struct config_account *account)
{
	uint32_t domains = count_domains_in(snapshot);

	if (!domains)
		domains = (uint32_t)snapshot->domain_count;
	if (!domains)
		return 0;
	return rate_holder_count(domains, account->burst) / domains;
}

bool rate_holders_choose(const struct config_snapshot *snapshot,
			 struct base_str account, uint32_t holders_per_domain,
			 enum rate_holder_domains domains,
			 struct rate_holders *out)
{
	size_t i;

	out->count = 0;
	if (snapshot->domain_count > RATE_CONFIRMERS_MAX)
		return false;
	for (i = 0; i < snapshot->domain_count; i++) {
		const struct config_domain *d = &snapshot->domains[i];

		if (!domain_has_holders(snapshot, d, domains) ||
		    !holders_per_domain)
			continue;
		if (out->count + holders_per_domain > RATE_HOLDERS_MAX) {
			out->count = 0;
			return false;
		}
		out->count += config_snapshot_rank_vms(
			snapshot, account, d, NULL, out->vms + out->count,
			holders_per_domain);
	}
	return true;
}

/* Returns 0 in the same failure domain, 1 in the same region, else 2. */
static int distance(const struct config_vm *vm,
		    const struct config_domain *domain)
{
	if (!domain)
		return 2;
	if (vm->domain == domain)
		return 0;
	return vm->domain->region == domain->region ? 1 : 2;
}

static size_t add_group(const struct rate_holders *holders, int group,
			const struct config_domain *domain,
			const struct config_vm **out)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < holders->count; i++)
		if (distance(holders->vms[i], domain) == group)
			out[count++] = holders->vms[i];
	return count;
}

static void rotate(const struct config_vm **vms, size_t count, uint64_t offset)
{
	const struct config_vm *copy[RATE_HOLDERS_MAX];
	size_t i;

	for (i = 0; i < count; i++)
		copy[i] = vms[(i + offset % count) % count];
	for (i = 0; i < count; i++)
		vms[i] = copy[i];
}

void rate_holders_order(const struct rate_holders *holders,
			struct base_str account, struct base_str self,
			const struct config_domain *domain,
			struct rate_holders *out)
{
	/* Depends on the account so that no VM is first for every account. */
	uint64_t offset = base_hash64(self, base_hash64(account, 0));
	size_t count;
	int group;

	out->count = 0;
	for (group = 0; group <= 2; group++) {
		count = add_group(holders, group, domain,
				  out->vms + out->count);
		if (count)
			rotate(out->vms + out->count, count, offset);
		out->count += count;
	}
}

bool rate_holders_same_roster(const struct config_snapshot *a,
			      const struct config_snapshot *b)
{
	size_t i;

	if (a->domain_count != b->domain_count || a->vm_count != b->vm_count)
		return false;
	for (i = 0; i < a->domain_count; i++) {
		const struct config_domain *x = &a->domains[i];
		const struct config_domain *y = &b->domains[i];

		if (!base_str_equal(x->name, y->name) || x->out != y->out ||
		    !base_str_equal(x->region->name, y->region->name))
			return false;
	}
	for (i = 0; i < a->vm_count; i++) {
		const struct config_vm *x = &a->vms[i];
		const struct config_vm *y = &b->vms[i];

		if (!base_str_equal(x->name, y->name) ||
		    x->domain->index != y->domain->index)
			return false;
	}
	return true;
}
