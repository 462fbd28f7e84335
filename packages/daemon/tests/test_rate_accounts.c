/* Tests of the versions since which the holders hold an account. */
#include "rate_accounts.h"
#include "rate_fleet.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

struct fixture {
	struct rate_accounts *accounts;
	const struct rate_fleet *before;
	size_t collisions;
};

static uint64_t distinct_hash(struct base_str name)
{
	return base_hash64(name, 0);
}

/* Gives all accounts one number and VMs different ones. */
static uint64_t colliding_hash(struct base_str name)
{
	return name.ptr[0] == 'a' ? 5 : base_hash64(name, 0);
}

static void count_collision(void *ctx, struct base_str rejected,
			    const char *existing)
{
	struct fixture *fx = ctx;

	(void)rejected;
	(void)existing;
	fx->collisions++;
}

static bool update(struct fixture *fx, const struct rate_fleet *f)
{
	struct rate_local_vm self = { f->vms[0].name, f->vms[0].domain };
	bool no_version_skipped =
		rate_accounts_update(fx->accounts, &f->snapshot,
				     fx->before ? &fx->before->snapshot : NULL,
				     &self, count_collision, fx);

	fx->before = f;
	return no_version_skipped;
}

static const struct rate_account_state *find_state(struct fixture *fx,
						   const char *name)
{
	return rate_accounts_find(fx->accounts, base_str_from(name));
}

/*
 * Guards against a new process that does not wait for former holders. It has
 * none of the earlier versions, which may name other holders.
 */
Test(rate_accounts, a_fresh_process_starts_an_epoch)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f5 = rate_fleet_copy_at_version(f, 5);

	cr_assert(not(update(&fx, f5)));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 5));
	cr_assert(eq(u64, find_state(&fx, "a000")->no_other_holders_since, 5));
	rate_accounts_destroy(fx.accounts);
	free(f5);
	free(f);
}

/* Guards against shares that are reset by each change of the rate. */
Test(rate_accounts, unrelated_changes_keep_the_epoch)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&fx, f1);
	cr_assert(find_state(&fx, "a000")->changed);
	f2->accounts[0].rate = 2000;
	f2->vms[1].leaving = true;
	cr_assert(update(&fx, f2));
	cr_assert(find_state(&fx, "a000")->changed);
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 1));
	cr_assert(eq(i64, find_state(&fx, "a000")->rate, 2000));
	rate_accounts_destroy(fx.accounts);
	free(f2);
	free(f1);
}

/* Guards against new holders that do not wait for the former ones. */
Test(rate_accounts, a_changed_holder_set_starts_an_epoch)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);

	update(&fx, f1);
	f2->domains[2].out = true;
	cr_assert(update(&fx, f2));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 2));
	cr_assert(eq(u64, find_state(&fx, "a000")->no_other_holders_since, 2));
	cr_assert(eq(sz, find_state(&fx, "a000")->holder_count, 6));
	f3->accounts[0].burst = 4;
	cr_assert(update(&fx, f3));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 3));
	cr_assert(eq(sz, find_state(&fx, "a000")->holder_count, 3));
	rate_accounts_destroy(fx.accounts);
	free(f3);
	free(f2);
	free(f1);
}

/*
 * Guards against a daemon that continues as a holder although the version that
 * it skipped named other holders.
 */
Test(rate_accounts, a_skipped_version_starts_an_epoch)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);

	update(&fx, f1);
	cr_assert(not(update(&fx, f3)));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 3));
	cr_assert(eq(u64, find_state(&fx, "a000")->no_other_holders_since, 3));
	rate_accounts_destroy(fx.accounts);
	free(f3);
	free(f1);
}

/*
 * Guards against waiting for confirmations of failure domains that never had
 * the account.
 */
Test(rate_accounts, a_new_account_has_no_other_holders_since_first_version)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *f4 = rate_fleet_copy_at_version(f, 4);
	struct rate_fleet *f5 = rate_fleet_copy_at_version(f, 5);
	struct rate_fleet *f6 = rate_fleet_copy_at_version(f, 6);

	f4->snapshot.account_count = 1;
	f5->snapshot.account_count = 1;
	update(&fx, f4);
	update(&fx, f5);
	cr_assert(eq(ptr, (void *)find_state(&fx, "a001"), NULL));
	update(&fx, f6);
	cr_assert(eq(u64, find_state(&fx, "a001")->epoch, 6));
	cr_assert(eq(u64, find_state(&fx, "a001")->no_other_holders_since, 4));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 4));
	rate_accounts_destroy(fx.accounts);
	free(f6);
	free(f5);
	free(f4);
	free(f);
}

/*
 * Guards against a daemon that acts on an old version and still holds a share
 * from before the account was cancelled.
 */
Test(rate_accounts, a_restored_account_has_no_other_holders_since_cancel)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);
	struct rate_fleet *f4 = rate_fleet_copy_at_version(f1, 4);

	f2->accounts[0].cancelled = true;
	f3->accounts[0].cancelled = true;
	update(&fx, f1);
	update(&fx, f2);
	cr_assert(eq(ptr, (void *)find_state(&fx, "a000"), NULL));
	update(&fx, f3);
	update(&fx, f4);
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 4));
	cr_assert(eq(u64, find_state(&fx, "a000")->no_other_holders_since, 2));
	rate_accounts_destroy(fx.accounts);
	free(f4);
	free(f3);
	free(f2);
	free(f1);
}

/*
 * Guards against confirmations by daemons that act on the losing one of two
 * sets with the same version. Only the next version tells the two apart.
 */
Test(rate_accounts, a_conflict_waits_for_the_next_version)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *other = rate_fleet_copy_at_version(f1, 1);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&fx, f1);
	other->accounts[0].burst = 4;
	cr_assert(update(&fx, other));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 2));
	cr_assert(eq(u64, find_state(&fx, "a000")->no_other_holders_since, 2));
	cr_assert(eq(u64, find_state(&fx, "a001")->epoch, 1));
	/* Version 2, which is the epoch already, changes the holders again. */
	cr_assert(update(&fx, f2));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 2));
	cr_assert(find_state(&fx, "a000")->discard_share);
	cr_assert(not(find_state(&fx, "a001")->discard_share));
	rate_accounts_destroy(fx.accounts);
	free(f2);
	free(other);
	free(f1);
}

/* Guards against two accounts that use tokens of the same share. */
Test(rate_accounts, accounts_with_one_hash_do_not_share)
{
	struct fixture fx = { rate_accounts_create(colliding_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&fx, f1);
	cr_assert(eq(sz, fx.collisions, 1));
	cr_assert(ne(ptr, (void *)find_state(&fx, "a000"), NULL));
	cr_assert(eq(ptr, (void *)find_state(&fx, "a001"), NULL));
	f2->accounts[0].cancelled = true;
	update(&fx, f2);
	cr_assert(eq(sz, fx.collisions, 1));
	cr_assert(eq(ptr, (void *)find_state(&fx, "a000"), NULL));
	cr_assert(find_state(&fx, "a001")->discard_share);
	cr_assert(eq(u64, find_state(&fx, "a001")->epoch, 2));
	rate_accounts_destroy(fx.accounts);
	free(f2);
	free(f1);
}

/*
 * Guards against shares that are reset by each change of the list of servers on
 * a platform where these changes raise the version.
 */
Test(rate_accounts, single_epoch_mode_keeps_the_epoch)
{
	struct fixture fx = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f9 = rate_fleet_copy_at_version(f1, 9);

	rate_accounts_set_single_epoch(fx.accounts);
	update(&fx, f1);
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 1));
	f9->domains[2].out = true;
	cr_assert(update(&fx, f9));
	cr_assert(eq(u64, find_state(&fx, "a000")->epoch, 1));
	cr_assert(not(find_state(&fx, "a000")->discard_share));
	cr_assert(eq(sz, find_state(&fx, "a000")->holder_count, 6));
	rate_accounts_destroy(fx.accounts);
	free(f9);
	free(f1);
}

/* Domains as the settings of a daemon may name them. */
#define NO_DOMAINS BASE_STR("")
#define THREE_DOMAINS BASE_STR("d000,d001,d002")

/*
 * Adds up what the holders in one domain may grant of the rate when they act on
 * the list @p f, and before on @p before, if set.
 */
static double granted_in_domain(const struct rate_fleet *f,
				const struct rate_fleet *before, size_t domain,
				struct base_str names)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < f->snapshot.vm_count; i++) {
		struct rate_local_vm self = { f->vms[i].name,
					      f->vms[i].domain };
		struct rate_accounts *accounts =
			rate_accounts_create(distinct_hash);
		const struct rate_account_state *a;

		rate_accounts_set_single_epoch(accounts);
		rate_accounts_set_fixed_parts(accounts, names);
		if (before)
			rate_accounts_update(accounts, &before->snapshot, NULL,
					     &self, count_collision, NULL);
		rate_accounts_update(accounts, &f->snapshot,
				     before ? &before->snapshot : NULL, &self,
				     count_collision, NULL);
		a = rate_accounts_find(accounts, BASE_STR("a000"));
		if (f->vms[i].domain->index == domain &&
		    rate_account_is_holder(a, distinct_hash(self.vm)))
			sum += 1.0 / a->share_divisor;
		rate_accounts_destroy(accounts);
	}
	return sum;
}

/*
 * Guards against an account that runs beyond its rate in a cut: the domain that
 * is cut off still takes the second one for evacuated, while the others know
 * that the second is back and the first evacuated. Both sides held halves.
 */
Test(rate_accounts, sides_of_a_cut_hold_no_more_than_the_rate)
{
	struct rate_fleet *cut_off = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *others = rate_fleet_copy_at_version(cut_off, 2);
	double sum;

	cut_off->domains[1].out = true;
	others->domains[0].out = true;
	sum = granted_in_domain(cut_off, NULL, 0, NO_DOMAINS) +
	      granted_in_domain(others, NULL, 1, NO_DOMAINS) +
	      granted_in_domain(others, NULL, 2, NO_DOMAINS);
	cr_assert(lt(dbl, sum, 1.000001));
	cr_assert(gt(dbl, sum, 0.999999));
	free(others);
	free(cut_off);
}

/*
 * Guards against the same when the entries of a domain that is cut off have
 * expired, so that the others do not list it: they may have listed it before,
 * or have started since and know it from their settings.
 */
Test(rate_accounts, a_domain_that_is_not_listed_keeps_its_part)
{
	struct rate_fleet *all = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *rest = rate_fleet_create(2, 6, 1, 100);

	rest->snapshot.version = 2;
	cr_assert(epsilon_eq(dbl, granted_in_domain(rest, all, 0, NO_DOMAINS),
			     1.0 / 3, 1e-6));
	cr_assert(epsilon_eq(dbl,
			     granted_in_domain(rest, NULL, 0, THREE_DOMAINS),
			     1.0 / 3, 1e-6));
	cr_assert(epsilon_eq(dbl, granted_in_domain(rest, NULL, 0, NO_DOMAINS),
			     1.0 / 2, 1e-6));
	free(rest);
	free(all);
}

/* Guards against a domain with few VMs whose part is not handed out whole. */
Test(rate_accounts, few_holders_divide_the_whole_part_of_their_domain)
{
	struct rate_fleet *f = rate_fleet_create(3, 4, 1, 100);

	cr_assert(epsilon_eq(dbl, granted_in_domain(f, NULL, 0, NO_DOMAINS),
			     1.0 / 3, 1e-6));
	cr_assert(epsilon_eq(dbl, granted_in_domain(f, NULL, 1, NO_DOMAINS),
			     1.0 / 3, 1e-6));
	free(f);
}
