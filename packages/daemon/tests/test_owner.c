/* Tests of the ownership of idempotency keys. */
#include "owner.h"
#include "rosters.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>

#define KEYS 200

static const struct roster_vm_spec three[] = {
	{ "a", "n1", false },
	{ "b", "n2", false },
	{ "c", "n3", false },
};
static const struct roster_vm_spec three_leaving[] = {
	{ "a", "n1", true },
	{ "b", "n2", false },
	{ "c", "n3", false },
};
static const struct roster_vm_spec renamed[] = {
	{ "a", "n1", false },
	{ "b", "n2", false },
	{ "d", "n3", false },
};
static const struct roster_vm_spec regrouped[] = {
	{ "a", "n1", false },
	{ "b", "n2", false },
	{ "c", "n2", false },
};

static struct base_str key_text(char *buf, size_t size, int i)
{
	snprintf(buf, size, "0190a3c4-00ab-7000-8000-%012x", i);
	return base_str_from(buf);
}

/*
 * Guards against keys that change their owner because a VM is leaving or a
 * failure domain is out, while the VMs stay the same.
 */
Test(owner, ignores_leaving_vms_and_domains_that_are_out)
{
	const struct config_snapshot *s = roster_load(1, three, 3, NULL, NULL);
	const struct config_snapshot *t =
		roster_load(2, three_leaving, 3, "n2", NULL);
	char text[64];
	int i;

	for (i = 0; i < KEYS; i++) {
		struct base_str key = key_text(text, sizeof(text), i);

		cr_assert(base_str_equal(
			owner_find(s, BASE_STR("acme"), key)->name,
			owner_find(t, BASE_STR("acme"), key)->name));
	}
	config_snapshot_unref(s);
	config_snapshot_unref(t);
}

/* Guards against two owners of a key in upper and in lower case. */
Test(owner, does_not_depend_on_the_letter_case_of_the_key)
{
	const struct config_snapshot *s = roster_load(1, three, 3, NULL, NULL);
	char lower[64], upper[64];
	int i;

	for (i = 0; i < KEYS; i++) {
		snprintf(lower, sizeof(lower), "0190a3c4-abcd-7000-8000-%012x",
			 i);
		snprintf(upper, sizeof(upper), "0190A3C4-ABCD-7000-8000-%012X",
			 i);
		cr_assert(eq(ptr,
			     (void *)owner_find(s, BASE_STR("acme"),
						base_str_from(lower)),
			     (void *)owner_find(s, BASE_STR("acme"),
						base_str_from(upper))));
	}
	config_snapshot_unref(s);
}

/* Guards against accepting a key that a former owner may have accepted, too. */
Test(owner, a_key_has_moved_when_any_kept_roster_names_another_owner)
{
	const struct config_snapshot *s = roster_load(1, three, 3, NULL, NULL);
	const struct config_snapshot *t =
		roster_load(2, renamed, 3, NULL, NULL);
	struct owner_rosters *rosters = owner_rosters_create();
	size_t moved = 0;
	char text[64];
	int i;

	owner_rosters_add(rosters, s);
	owner_rosters_add(rosters, t);
	for (i = 0; i < KEYS; i++) {
		struct base_str key = key_text(text, sizeof(text), i);
		struct base_str now =
			owner_find(t, BASE_STR("acme"), key)->name;
		struct base_str then =
			owner_find(s, BASE_STR("acme"), key)->name;
		bool is_moved = owner_rosters_key_moved(rosters, now,
							BASE_STR("acme"), key);

		cr_assert(eq(int, is_moved, !base_str_equal(now, then)));
		moved += is_moved;
	}
	cr_assert(gt(sz, moved, 0));
	cr_assert(lt(sz, moved, KEYS));
	owner_rosters_drop_before(rosters, 2);
	cr_assert(eq(sz, owner_rosters_count(rosters), 1));
	for (i = 0; i < KEYS; i++) {
		struct base_str key = key_text(text, sizeof(text), i);

		cr_assert(not(owner_rosters_key_moved(
			rosters, owner_find(t, BASE_STR("acme"), key)->name,
			BASE_STR("acme"), key)));
	}
	owner_rosters_destroy(rosters);
	config_snapshot_unref(s);
	config_snapshot_unref(t);
}

/*
 * Guards against keys that count as not moved although a roster that is still
 * needed was dropped because there were too many.
 */
Test(owner, every_key_counts_as_moved_while_a_dropped_roster_counts)
{
	struct owner_rosters *rosters = owner_rosters_create();
	const struct config_snapshot *s = NULL;
	struct base_str key = BASE_STR("0190a3c4-abcd-7000-8000-000000000001");
	int64_t v;

	for (v = 1; v <= OWNER_ROSTERS_MAX + 1; v++) {
		s = roster_load(v, three, 3, NULL, NULL);
		owner_rosters_add(rosters, s);
		if (v <= OWNER_ROSTERS_MAX)
			config_snapshot_unref(s);
	}
	cr_assert(eq(sz, owner_rosters_count(rosters), OWNER_ROSTERS_MAX));
	cr_assert(owner_rosters_key_moved(
		rosters, owner_find(s, BASE_STR("acme"), key)->name,
		BASE_STR("acme"), key));
	owner_rosters_drop_before(rosters, 2);
	cr_assert(not(owner_rosters_key_moved(
		rosters, owner_find(s, BASE_STR("acme"), key)->name,
		BASE_STR("acme"), key)));
	owner_rosters_destroy(rosters);
	config_snapshot_unref(s);
}

static bool differs(const struct roster_vm_spec *vms, size_t count,
		    const char *out, const char *empty)
{
	const struct config_snapshot *s = roster_load(1, three, 3, NULL, NULL);
	const struct config_snapshot *t =
		roster_load(2, vms, count, out, empty);
	bool forward = owner_roster_differs(s, t);
	bool backward = owner_roster_differs(t, s);

	cr_assert(eq(int, forward, backward));
	config_snapshot_unref(s);
	config_snapshot_unref(t);
	return forward;
}

/* Guards against changes of the roster that the ledger does not notice. */
Test(owner, a_roster_differs_by_vm_names_and_domains_that_report)
{
	cr_expect(not(differs(three, 3, NULL, NULL)));
	cr_expect(not(differs(three_leaving, 3, NULL, NULL)));
	cr_expect(not(differs(three, 3, NULL, "n9")));
	cr_expect(differs(three, 2, NULL, NULL));
	cr_expect(differs(renamed, 3, NULL, NULL));
	cr_expect(differs(three, 3, "n2", NULL));
	cr_expect(differs(regrouped, 3, NULL, NULL));
}
