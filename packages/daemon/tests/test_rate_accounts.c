/* Tests of the versions since which holders hold an account. */
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
	struct fixture *w = ctx;

	(void)rejected;
	(void)existing;
	w->collisions++;
}

static bool update(struct fixture *w, const struct rate_fleet *f)
{
	struct rate_local_vm self = { f->vms[0].name, f->vms[0].domain };
	bool no_version_skipped =
		rate_accounts_update(w->accounts, &f->snapshot,
				     w->before ? &w->before->snapshot : NULL,
				     &self, count_collision, w);

	w->before = f;
	return no_version_skipped;
}

static const struct rate_account_state *find_state(struct fixture *w,
						   const char *name)
{
	return rate_accounts_find(w->accounts, base_str_from(name));
}

/* Guards against a fresh process that takes former holders for known. */
Test(rate_accounts, a_fresh_process_starts_an_epoch)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f5 = rate_fleet_copy_at_version(f, 5);

	cr_assert(not(update(&w, f5)));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 5));
	cr_assert(eq(u64, find_state(&w, "a000")->no_other_holders_since, 5));
	rate_accounts_destroy(w.accounts);
	free(f5);
	free(f);
}

/* Guards against a share that starts anew with each change of the rate. */
Test(rate_accounts, unrelated_changes_keep_the_epoch)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&w, f1);
	cr_assert(find_state(&w, "a000")->changed);
	f2->accounts[0].rate = 2000;
	f2->vms[1].leaving = true;
	cr_assert(update(&w, f2));
	cr_assert(find_state(&w, "a000")->changed);
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 1));
	cr_assert(eq(i64, find_state(&w, "a000")->rate, 2000));
	rate_accounts_destroy(w.accounts);
	free(f2);
	free(f1);
}

/* Guards against a new holder that does not wait for the former one. */
Test(rate_accounts, a_changed_holder_set_starts_an_epoch)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);

	update(&w, f1);
	f2->domains[2].out = true;
	cr_assert(update(&w, f2));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 2));
	cr_assert(eq(u64, find_state(&w, "a000")->no_other_holders_since, 2));
	cr_assert(eq(sz, find_state(&w, "a000")->holder_count, 6));
	f3->accounts[0].burst = 4;
	cr_assert(update(&w, f3));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 3));
	cr_assert(eq(sz, find_state(&w, "a000")->holder_count, 3));
	rate_accounts_destroy(w.accounts);
	free(f3);
	free(f2);
	free(f1);
}

/*
 * Guards against a daemon that goes on as holder although the version that it
 * skipped named others.
 */
Test(rate_accounts, a_skipped_version_starts_an_epoch)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);

	update(&w, f1);
	cr_assert(not(update(&w, f3)));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 3));
	cr_assert(eq(u64, find_state(&w, "a000")->no_other_holders_since, 3));
	rate_accounts_destroy(w.accounts);
	free(f3);
	free(f1);
}

/* Guards against waiting for domains that never had the account. */
Test(rate_accounts, a_new_account_has_no_other_holders_since_first_version)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *f4 = rate_fleet_copy_at_version(f, 4);
	struct rate_fleet *f5 = rate_fleet_copy_at_version(f, 5);
	struct rate_fleet *f6 = rate_fleet_copy_at_version(f, 6);

	f4->snapshot.account_count = 1;
	f5->snapshot.account_count = 1;
	update(&w, f4);
	update(&w, f5);
	cr_assert(eq(ptr, (void *)find_state(&w, "a001"), NULL));
	update(&w, f6);
	cr_assert(eq(u64, find_state(&w, "a001")->epoch, 6));
	cr_assert(eq(u64, find_state(&w, "a001")->no_other_holders_since, 4));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 4));
	rate_accounts_destroy(w.accounts);
	free(f6);
	free(f5);
	free(f4);
	free(f);
}

/* Guards against a late daemon that holds a share from before a cancel. */
Test(rate_accounts, a_restored_account_has_no_other_holders_since_cancel)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);
	struct rate_fleet *f3 = rate_fleet_copy_at_version(f1, 3);
	struct rate_fleet *f4 = rate_fleet_copy_at_version(f1, 4);

	f2->accounts[0].cancelled = true;
	f3->accounts[0].cancelled = true;
	update(&w, f1);
	update(&w, f2);
	cr_assert(eq(ptr, (void *)find_state(&w, "a000"), NULL));
	update(&w, f3);
	update(&w, f4);
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 4));
	cr_assert(eq(u64, find_state(&w, "a000")->no_other_holders_since, 2));
	rate_accounts_destroy(w.accounts);
	free(f4);
	free(f3);
	free(f2);
	free(f1);
}

/* Guards against reports of the losing set that count for the winning one. */
Test(rate_accounts, a_conflict_waits_for_the_next_version)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *other = rate_fleet_copy_at_version(f1, 1);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&w, f1);
	other->accounts[0].burst = 4;
	cr_assert(update(&w, other));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 2));
	cr_assert(eq(u64, find_state(&w, "a000")->no_other_holders_since, 2));
	cr_assert(eq(u64, find_state(&w, "a001")->epoch, 1));
	/* The holders change again under the version that is waited for. */
	cr_assert(update(&w, f2));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 2));
	cr_assert(find_state(&w, "a000")->discard_share);
	cr_assert(not(find_state(&w, "a001")->discard_share));
	rate_accounts_destroy(w.accounts);
	free(f2);
	free(other);
	free(f1);
}

/* Guards against two accounts that spend from one share. */
Test(rate_accounts, accounts_with_one_hash_do_not_share)
{
	struct fixture w = { rate_accounts_create(colliding_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 2, 100);
	struct rate_fleet *f2 = rate_fleet_copy_at_version(f1, 2);

	update(&w, f1);
	cr_assert(eq(sz, w.collisions, 1));
	cr_assert(ne(ptr, (void *)find_state(&w, "a000"), NULL));
	cr_assert(eq(ptr, (void *)find_state(&w, "a001"), NULL));
	f2->accounts[0].cancelled = true;
	update(&w, f2);
	cr_assert(eq(sz, w.collisions, 1));
	cr_assert(eq(ptr, (void *)find_state(&w, "a000"), NULL));
	cr_assert(find_state(&w, "a001")->discard_share);
	cr_assert(eq(u64, find_state(&w, "a001")->epoch, 2));
	rate_accounts_destroy(w.accounts);
	free(f2);
	free(f1);
}

/*
 * Guards against shares that start anew with each change of the list of
 * servers, where versions count those changes.
 */
Test(rate_accounts, single_epoch_mode_keeps_the_epoch)
{
	struct fixture w = { rate_accounts_create(distinct_hash), NULL, 0 };
	struct rate_fleet *f1 = rate_fleet_create(3, 9, 1, 100);
	struct rate_fleet *f9 = rate_fleet_copy_at_version(f1, 9);

	rate_accounts_set_single_epoch(w.accounts);
	update(&w, f1);
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 1));
	f9->domains[2].out = true;
	cr_assert(update(&w, f9));
	cr_assert(eq(u64, find_state(&w, "a000")->epoch, 1));
	cr_assert(not(find_state(&w, "a000")->discard_share));
	cr_assert(eq(sz, find_state(&w, "a000")->holder_count, 6));
	rate_accounts_destroy(w.accounts);
	free(f9);
	free(f1);
}
