/* Tests of the mirror when the registry is restored from an older copy. */
#include "registry_fixture.h"
#include "registry_restore.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define RESTORED_AT (100 * BASE_SECOND_US)
/* When operators and servers have written again what was lost. */
#define SETTLED_AT (RESTORED_AT + REGISTRY_RESTORE_SETTLE_US)

static int64_t revision(int64_t era, int64_t number)
{
	return registry_era_revision(era, number);
}

/* Guards against a change that is never heard of, as its number was used. */
Test(registry_restore, takes_changes_whose_revision_was_given_out_before)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "op", "5:old", revision(1, 18), 0);
	registry_begin_reload(r, revision(2, 17), RESTORED_AT);
	mirror_apply(r, "op", "5:old", revision(2, 17), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	mirror_apply(r, "op", "7:new", revision(2, 18), RESTORED_AT);
	cr_assert(mirror_publishes(r, "7:new"));
	cr_assert(eq(i64, registry_revision(r), revision(2, 18)));
	registry_destroy(r);
}

/* Guards against a confirmed configuration that comes back older. */
Test(registry_restore, never_goes_back_to_an_older_configuration)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "op", "5:confirmed", revision(1, 18), 0);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "op", "3:older", revision(2, 11), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	registry_tick(r, 2 * SETTLED_AT);
	cr_assert(mirror_publishes(r, "5:confirmed"));
	cr_assert(not(mirror_publishes(r, "3:older")));
	registry_destroy(r);
}

/* Guards against requests to a draining server that the copy lists ready. */
Test(registry_restore, keeps_newer_entry_of_server)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "4:draining", revision(1, 18), 0);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "s1", "3:ready", revision(2, 11), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	registry_tick(r, SETTLED_AT - 1);
	cr_assert(mirror_publishes(r, "4:draining"));
	mirror_apply(r, "s1", "5:ready", revision(2, 13), SETTLED_AT - 1);
	cr_assert(mirror_publishes(r, "5:ready"));
	registry_tick(r, SETTLED_AT);
	cr_assert(mirror_publishes(r, "5:ready"));
	registry_destroy(r);
}

/*
 * Guards against requests to a server that has left and that the copy lists
 * again, and against a server that lapsed before and is never used again.
 */
Test(registry_restore, sets_removed_servers_aside_until_they_could_expire)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "4:left", revision(1, 10), 0);
	mirror_apply(r, "s2", "4:lapsed", revision(1, 11), 0);
	mirror_apply(r, "s1", NULL, revision(1, 18), 50 * BASE_SECOND_US);
	mirror_apply(r, "s2", NULL, revision(1, 19), 60 * BASE_SECOND_US);
	registry_tick(r, 90 * BASE_SECOND_US);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "s1", "4:left", revision(2, 10), RESTORED_AT);
	mirror_apply(r, "s2", "4:lapsed", revision(2, 11), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	cr_assert(not(mirror_publishes(r, "4:left")));
	mirror_apply(r, "s1", NULL, revision(2, 13), SETTLED_AT - 1);
	registry_tick(r, SETTLED_AT);
	cr_assert(not(mirror_publishes(r, "4:left")));
	cr_assert(mirror_publishes(r, "4:lapsed"));
	registry_destroy(r);
}

/* Guards against a server set aside whose removal was missed before a reload.
 */
Test(registry_restore, reload_forgets_items_set_aside)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "4:left", revision(1, 10), 0);
	mirror_apply(r, "s1", NULL, revision(1, 18), BASE_SECOND_US);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "s1", "4:left", revision(2, 10), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	registry_begin_reload(r, revision(2, 20), SETTLED_AT - 1);
	registry_end_reload(r, SETTLED_AT - 1);
	registry_tick(r, SETTLED_AT);
	cr_assert(not(mirror_publishes(r, "s1")));
	registry_destroy(r);
}

/* Guards against work sent to an evacuated failure domain the copy lacks. */
Test(registry_restore, holds_items_that_the_copy_lacks)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "1:x", revision(1, 3), 0);
	mirror_apply(r, "evacuated", "z", revision(1, 18), 0);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "s1", "1:x", revision(2, 3), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	registry_test_and_clear_changed(r);
	registry_tick(r, SETTLED_AT - 1);
	cr_assert(not(registry_test_and_clear_changed(r)));
	registry_tick(r, SETTLED_AT);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against a failure domain that is taken out again by the copy. */
Test(registry_restore, sets_removed_operator_items_aside)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "evacuated", "z", revision(1, 10), 0);
	mirror_apply(r, "evacuated", NULL, revision(1, 18), BASE_SECOND_US);
	registry_begin_reload(r, revision(2, 12), RESTORED_AT);
	mirror_apply(r, "evacuated", "z", revision(2, 10), RESTORED_AT);
	registry_end_reload(r, RESTORED_AT);
	cr_assert(not(mirror_publishes(r, "evacuated")));
	mirror_apply(r, "evacuated", "z", revision(2, 14), RESTORED_AT);
	cr_assert(mirror_publishes(r, "evacuated"));
	registry_destroy(r);
}

/* Guards against a peer's mirror of a former era that replaces the own one. */
Test(registry_restore, mirrors_of_a_later_era_win_among_peers)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	struct registry *old = mirror_create();
	struct registry *restored = mirror_create();
	struct publication *old_pub, *new_pub;

	mirror_apply(old, "op", "5:old", revision(1, 900), 0);
	mirror_apply(restored, "op", "6:new", revision(2, 3), 0);
	old_pub = registry_publish(old);
	new_pub = registry_publish(restored);
	cr_assert(not(registry_apply_manifest(
		restored, base_buf_str(&old_pub->manifest), missing, 0)));
	cr_assert(registry_apply_manifest(old, base_buf_str(&new_pub->manifest),
					  missing, RESTORED_AT));
	cr_assert(mirror_publishes(old, "6:new"));
	publication_unref(old_pub);
	publication_unref(new_pub);
	registry_destroy(old);
	registry_destroy(restored);
}
