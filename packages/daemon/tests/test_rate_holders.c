/* Tests of the choice of holders. */
#include "rate_fleet.h"
#include "rate_holders.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define ACCOUNTS 60
#define BURST_SMALL 9
#define BURST_LARGE 1000

static struct rate_holders choose(const struct rate_fleet *f, size_t account)
{
	const struct config_account *a = &f->accounts[account];
	struct rate_holders out;

	cr_assert(rate_holders_choose(&f->snapshot, a->name,
				      rate_holders_per_domain(&f->snapshot, a),
				      RATE_DOMAINS_IN, &out));
	return out;
}

static bool same_names(const struct rate_holders *a,
		       const struct rate_holders *b)
{
	size_t i;

	if (a->count != b->count)
		return false;
	for (i = 0; i < a->count; i++)
		if (!base_str_equal(a->vms[i]->name, b->vms[i]->name))
			return false;
	return true;
}

static bool contains(const struct rate_holders *h, const struct config_vm *vm)
{
	size_t i;

	for (i = 0; i < h->count; i++)
		if (h->vms[i] == vm)
			return true;
	return false;
}

static size_t count_in(const struct rate_holders *h,
		       const struct config_domain *domain)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < h->count; i++)
		n += h->vms[i]->domain == domain;
	return n;
}

/*
 * Guards against daemons that choose different holders for one account, which
 * would multiply its rate.
 */
Test(rate_holders, equal_snapshots_give_equal_holders)
{
	struct rate_fleet *a = rate_fleet_create(9, 90, ACCOUNTS, BURST_LARGE);
	struct rate_fleet *b = rate_fleet_create(9, 90, ACCOUNTS, BURST_LARGE);
	size_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		struct rate_holders x = choose(a, i);
		struct rate_holders y = choose(b, i);

		cr_assert(eq(sz, x.count, 27));
		cr_assert(same_names(&x, &y));
	}
	free(a);
	free(b);
}

/* Guards against a domain that has no share while it is cut off. */
Test(rate_holders, each_domain_in_has_as_many_holders)
{
	struct rate_fleet *f = rate_fleet_create(9, 90, 1, BURST_LARGE);
	struct rate_holders h;
	size_t i;

	f->domains[4].out = true;
	h = choose(f, 0);
	cr_assert(eq(sz, h.count, 24));
	for (i = 0; i < 9; i++)
		cr_assert(eq(sz, count_in(&h, &f->domains[i]), i == 4 ? 0 : 3));
	f->accounts[0].burst = BURST_SMALL;
	h = choose(f, 0);
	cr_assert(eq(sz, h.count, 8));
	free(f);
}

Test(rate_holders, a_domain_with_few_vms_has_fewer_holders)
{
	struct rate_fleet *f = rate_fleet_create(3, 4, 1, BURST_LARGE);
	struct rate_holders h = choose(f, 0);

	cr_assert(eq(sz, h.count, 4));
	free(f);
}

/*
 * Guards against answers with status 429 (account beyond its rate) instead of
 * 503 (no backend server usable) when all failure domains are out.
 */
Test(rate_holders, all_domains_have_holders_when_all_are_out)
{
	struct rate_fleet *f = rate_fleet_create(2, 4, 1, BURST_LARGE);
	struct rate_holders before = choose(f, 0);
	struct rate_holders h;

	f->domains[0].out = true;
	f->domains[1].out = true;
	h = choose(f, 0);
	cr_assert(gt(sz, h.count, 0));
	cr_assert(same_names(&before, &h));
	free(f);
}

/* Guards against holders that move away each time a domain is evacuated. */
Test(rate_holders, listed_domains_have_holders_while_they_are_out)
{
	struct rate_fleet *f = rate_fleet_create(3, 9, 1, BURST_LARGE);
	struct rate_holders h;

	f->domains[1].out = true;
	cr_assert(rate_holders_choose(&f->snapshot, f->accounts[0].name, 3,
				      RATE_DOMAINS_LISTED, &h));
	cr_assert(eq(sz, h.count, 9));
	free(f);
}

/*
 * Guards against shares that are reset, and so refuse requests, when an added
 * VM does not become a holder of the account.
 */
Test(rate_holders, an_added_vm_takes_over_few_accounts_only)
{
	struct rate_fleet *a = rate_fleet_create(9, 90, ACCOUNTS, BURST_LARGE);
	struct rate_fleet *b = rate_fleet_create(9, 90, ACCOUNTS, BURST_LARGE);
	size_t moved = 0;
	size_t i;

	rate_fleet_add_vm(b, 5);
	for (i = 0; i < ACCOUNTS; i++) {
		struct rate_holders x = choose(a, i);
		struct rate_holders y = choose(b, i);
		bool new_holds = contains(&y, &b->vms[90]);

		cr_assert(eq(int, same_names(&x, &y), !new_holds));
		moved += new_holds;
	}
	/* The VM becomes a holder of 3 in 11 accounts on average. */
	cr_assert(gt(sz, moved, 0));
	cr_assert(lt(sz, moved, ACCOUNTS / 2));
	cr_assert(not(rate_holders_same_roster(&a->snapshot, &b->snapshot)));
	free(a);
	free(b);
}

/* Guards against a few VMs that hold the shares of most accounts. */
Test(rate_holders, accounts_spread_over_the_vms)
{
	struct rate_fleet *f = rate_fleet_create(9, 90, ACCOUNTS, BURST_LARGE);
	size_t held[90] = { 0 };
	size_t i, j;

	for (i = 0; i < ACCOUNTS; i++) {
		struct rate_holders h = choose(f, i);

		for (j = 0; j < h.count; j++)
			held[h.vms[j]->index]++;
	}
	/* The mean is 18 and the standard deviation about 3.5. */
	for (i = 0; i < 90; i++) {
		cr_assert(ge(sz, held[i], 4));
		cr_assert(le(sz, held[i], 36));
	}
	free(f);
}

static int distance(const struct config_vm *a, const struct config_vm *b)
{
	if (a->domain == b->domain)
		return 0;
	return a->domain->region == b->domain->region ? 1 : 2;
}

/*
 * Guards against asks to another region while a holder in the own domain or
 * region has tokens.
 */
Test(rate_holders, near_holders_are_asked_first)
{
	struct rate_fleet *f = rate_fleet_create(9, 90, 1, BURST_LARGE);
	struct rate_holders h = choose(f, 0);
	size_t i, j;

	for (i = 0; i < 90; i++) {
		const struct config_vm *self = &f->vms[i];
		struct rate_holders o;

		rate_holders_order(&h, f->accounts[0].name, self->name,
				   self->domain, &o);
		cr_assert(eq(sz, o.count, h.count));
		for (j = 1; j < o.count; j++)
			cr_assert(ge(int, distance(self, o.vms[j]),
				     distance(self, o.vms[j - 1])));
		for (j = 0; j < h.count; j++)
			cr_assert(contains(&o, h.vms[j]));
	}
	free(f);
}

/* Guards against one holder that receives all asks of its domain. */
Test(rate_holders, entries_start_at_different_holders)
{
	struct rate_fleet *f = rate_fleet_create(3, 90, 1, BURST_LARGE);
	struct rate_holders h = choose(f, 0);
	size_t first[90] = { 0 };
	size_t i;

	for (i = 0; i < 90; i++) {
		struct rate_holders o;

		rate_holders_order(&h, f->accounts[0].name, f->vms[i].name,
				   f->vms[i].domain, &o);
		first[o.vms[0]->index]++;
	}
	/* In each domain, 30 entries start at 3 holders. */
	for (i = 0; i < h.count; i++) {
		cr_assert(ge(sz, first[h.vms[i]->index], 3));
		cr_assert(le(sz, first[h.vms[i]->index], 20));
	}
	free(f);
}

Test(rate_holders, too_many_domains_give_no_holders)
{
	struct rate_fleet *f = rate_fleet_create(9, 90, 1, BURST_LARGE);
	struct rate_holders out;

	cr_assert(not(rate_holders_choose(&f->snapshot, f->accounts[0].name, 8,
					  RATE_DOMAINS_IN, &out)));
	cr_assert(eq(sz, out.count, 0));
	free(f);
}
