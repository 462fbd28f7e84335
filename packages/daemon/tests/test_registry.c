/* Tests of the mirror of a platform's registry, with a codec made for them. */
#include "registry_fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

/* Guards against an older value that replaces a newer one. */
Test(registry, ignores_older_revision)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "op", "new", 7, 0);
	cr_assert(registry_test_and_clear_changed(r));
	mirror_apply(r, "op", "old", 5, 0);
	cr_assert(not(registry_test_and_clear_changed(r)));
	cr_assert(mirror_publishes(r, "new"));
	cr_assert(eq(i64, registry_revision(r), 7));
	registry_destroy(r);
}

/* Guards against requests to a server that has left: its entry was kept. */
Test(registry, removes_leaving_server_at_once)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	mirror_apply(r, "s3", "x", 3, 0);
	mirror_apply(r, "s4", "x", 4, 0);
	mirror_apply(r, "s1", NULL, 5, 10 * BASE_SECOND_US);
	cr_assert(not(mirror_publishes(r, "s1")));
	registry_destroy(r);
}

/*
 * Guards against a fleet without servers after an outage of the platform. The
 * entries expire during the outage, but the servers still run and register
 * again within two seconds.
 */
Test(registry, keeps_expired_entries_after_outage)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, now);
	mirror_apply(r, "s1", NULL, 3, now);
	mirror_apply(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	mirror_apply(r, "s1", "y", 5, now + BASE_SECOND_US);
	registry_tick(r, now + REGISTRY_REREGISTER_TIMEOUT_US);
	cr_assert(registry_test_and_clear_changed(r));
	cr_assert(mirror_publishes(r, "s1"));
	cr_assert(not(mirror_publishes(r, "s2")));
	registry_destroy(r);
}

/*
 * Guards against requests to a leaving server that no longer serves. Its entry
 * was removed 2.05 s after the platform's return and kept for another 2.2 s.
 */
Test(registry, removes_server_that_leaves_after_outage)
{
	int64_t reconnected_at = 10 * BASE_SECOND_US;
	int64_t left_at = reconnected_at + 2050 * BASE_MS_US;
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, reconnected_at);
	registry_test_and_clear_changed(r);
	mirror_apply(r, "s1", NULL, 3, left_at);
	registry_tick(r, left_at + MIRROR_LEAVE_US / 2);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/*
 * Guards against requests to a server that has left, by a daemon that was cut
 * off alone and learns from a relay that the platform had answered meanwhile.
 */
Test(registry, drops_what_was_kept_for_an_outage_that_did_not_happen)
{
	int64_t reconnected_at = 10 * BASE_SECOND_US;
	int64_t now = reconnected_at + 200 * BASE_MS_US;
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, reconnected_at);
	mirror_apply(r, "s1", NULL, 3, now);
	registry_tick(r, now);
	cr_assert(eq(sz, registry_server_count(r), 2));
	registry_platform_reconnected(r, 0);
	registry_tick(r, now);
	cr_assert(eq(sz, registry_server_count(r), 1));
	registry_destroy(r);
}

/*
 * Guards against a mirror that is emptied when an outage turns out to have
 * ended earlier than the own connection came back.
 */
Test(registry, keeps_entries_from_the_end_of_the_outage)
{
	int64_t own_return = 10 * BASE_SECOND_US;
	int64_t outage_end = own_return - BASE_SECOND_US;
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, own_return);
	mirror_apply(r, "s1", NULL, 3, own_return);
	registry_platform_reconnected(r, outage_end);
	registry_tick(r, outage_end + REGISTRY_REREGISTER_TIMEOUT_US - 1);
	cr_assert(eq(sz, registry_server_count(r), 2));
	registry_tick(r, outage_end + REGISTRY_REREGISTER_TIMEOUT_US);
	cr_assert(eq(sz, registry_server_count(r), 1));
	registry_destroy(r);
}

/*
 * Guards against requests to servers that left together and no longer serve:
 * their entries must go before the leave time is over.
 */
Test(registry, keeps_servers_removed_together_for_part_of_leave_time)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *r = mirror_create();

	mirror_apply(r, "s1", "x", 1, 0);
	mirror_apply(r, "s2", "x", 2, 0);
	mirror_apply(r, "s1", NULL, 3, now);
	mirror_apply(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	registry_tick(r, now + MIRROR_LEAVE_US / 2);
	cr_assert(not(registry_test_and_clear_changed(r)));
	registry_tick(r, now + MIRROR_LEAVE_US - 200 * BASE_MS_US);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against entries that stay because their removal was missed. */
Test(registry, reload_removes_unlisted_items)
{
	struct registry *r = mirror_create();

	mirror_apply(r, "op", "x", 1, 0);
	mirror_apply(r, "zone", "x", 2, 0);
	registry_begin_reload(r, 9, 0);
	mirror_apply(r, "op", "x", 1, 0);
	registry_end_reload(r, 0);
	cr_assert(mirror_publishes(r, "op"));
	cr_assert(not(mirror_publishes(r, "zone")));
	cr_assert(eq(i64, registry_revision(r), 9));
	registry_destroy(r);
}

/* Guards against a daemon without a configuration during an outage. */
Test(registry, applies_manifest_of_peer)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	struct registry *source = mirror_create();
	struct registry *target = mirror_create();
	struct publication *pub;
	char large_value[5000];

	memset(large_value, 'b', sizeof(large_value) - 1);
	large_value[sizeof(large_value) - 1] = '\0';
	mirror_apply(source, "op", large_value, 3, 0);
	mirror_apply(source, "s1", "x", 4, 0);
	pub = registry_publish(source);
	cr_assert(not(registry_apply_manifest(
		target, base_buf_str(&pub->manifest), missing, 0)));
	cr_assert(eq(sz, strlen(missing), 64));
	registry_add_part(target, base_buf_str(&pub->parts[0].bytes));
	cr_assert(registry_apply_manifest(target, base_buf_str(&pub->manifest),
					  missing, 0));
	cr_assert(eq(i64, registry_revision(target), 4));
	cr_assert(mirror_publishes(target, "s1"));
	/* A manifest that is not newer and malformed text are not applied. */
	cr_assert(not(registry_apply_manifest(
		target, base_buf_str(&pub->manifest), missing, 0)));
	cr_assert(not(registry_apply_manifest(target, BASE_STR("{\"rev"),
					      missing, 0)));
	publication_unref(pub);
	registry_destroy(source);
	registry_destroy(target);
}

/* The peer's publication holds the part whose digest is missing. */
static struct base_str find_part(const struct publication *pub, const char *hex)
{
	char part_hex[2 * BASE_DIGEST_SIZE + 1];
	size_t i;

	for (i = 0; i < pub->part_count; i++) {
		base_digest_hex(&pub->parts[i].part.digest, part_hex);
		if (!strcmp(part_hex, hex))
			return base_buf_str(&pub->parts[i].bytes);
	}
	return BASE_STR_NONE;
}

/*
 * Guards against a mirror that never ends whole: of several large values, each
 * one that was fetched took the place of the one before.
 */
Test(registry, applies_manifest_with_several_large_values)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	struct registry *source = mirror_create();
	struct registry *target = mirror_create();
	struct publication *pub;
	char large_value[5000];
	bool applied = false;
	int fetched;

	memset(large_value, 'b', sizeof(large_value) - 1);
	large_value[sizeof(large_value) - 1] = '\0';
	mirror_apply(source, "op", large_value, 3, 0);
	large_value[0] = 'c';
	mirror_apply(source, "s1", large_value, 4, 0);
	large_value[0] = 'd';
	mirror_apply(source, "s2", large_value, 5, 0);
	pub = registry_publish(source);
	for (fetched = 0; fetched < 10; fetched++) {
		applied = registry_apply_manifest(
			target, base_buf_str(&pub->manifest), missing, 0);
		if (applied)
			break;
		registry_add_part(target, find_part(pub, missing));
	}
	cr_assert(applied);
	cr_assert(eq(int, fetched, 3));
	cr_assert(eq(i64, registry_revision(target), 5));
	publication_unref(pub);
	registry_destroy(source);
	registry_destroy(target);
}
