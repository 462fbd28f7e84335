/* Tests of the changes that a relay sends, and of the choice of the readers. */
#include "registry_fixture.h"
#include "registry_reader.h"
#include "registry_restore.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>
#include <string.h>

/* Fetches the changes after the revision of a mirror and applies them. */
static bool catch_up(struct registry *relay, struct registry *other,
		     int64_t now)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	struct publication *pub = registry_publish(relay);
	char key[80];
	bool ok;

	snprintf(key, sizeof(key), "%s%lld", PUBLICATION_KEY_CHANGES_PREFIX,
		 (long long)registry_revision(other));
	ok = publication_write_changes(pub, base_str_from(key), &text) &&
	     registry_apply_changes(other, base_buf_str(&text), now);
	publication_unref(pub);
	return ok;
}

static void load(struct registry *r, int64_t revision)
{
	registry_begin_reload(r, revision, 0);
	mirror_apply(r, "s1", "one", 1, 0);
	mirror_apply(r, "s2", "two", 2, 0);
	registry_end_reload(r, 0);
}

/* Guards against a mirror that misses a change of one of several batches. */
Test(registry_changes, lead_a_mirror_to_the_relays_revision)
{
	struct registry *relay = mirror_create();
	struct registry *other = mirror_create();

	load(relay, 4);
	load(other, 4);
	mirror_apply(relay, "s3", "three", 5, 0);
	publication_unref(registry_publish(relay));
	mirror_apply(relay, "s1", "new \"one\"", 7, 0);
	mirror_apply(relay, "s2", NULL, 8, 10 * BASE_SECOND_US);
	cr_assert(catch_up(relay, other, 10 * BASE_SECOND_US));
	cr_assert(eq(i64, registry_revision(other), 8));
	cr_assert(mirror_publishes(other, "three"));
	cr_assert(mirror_publishes(other, "new \\\"one\\\""));
	cr_assert(not(mirror_publishes(other, "two")));
	cr_assert(not(catch_up(relay, other, 0)), "nothing is newer");
	registry_destroy(relay);
	registry_destroy(other);
}

/* Guards against changes that are applied to a mirror which misses others. */
Test(registry_changes, are_not_given_across_a_gap)
{
	struct registry *relay = mirror_create();
	struct registry *other = mirror_create();

	load(other, 4);
	load(relay, 6);
	mirror_apply(relay, "s3", "three", 7, 0);
	cr_assert(not(catch_up(relay, other, 0)));
	cr_assert(not(registry_apply_changes(
		other, BASE_STR("{\"after\":6,\"revision\":7,\"items\":[]}"),
		0)));
	cr_assert(eq(i64, registry_revision(other), 4));
	registry_destroy(relay);
	registry_destroy(other);
}

/*
 * Guards against an entry that is kept twice as long as intended, by the relay
 * and then by the mirror that takes the change from it.
 */
Test(registry_changes, tell_of_a_removal_while_the_relay_keeps_the_entry)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *relay = mirror_create();
	struct registry *other = mirror_create();

	load(relay, 4);
	load(other, 4);
	registry_platform_reconnected(relay, now);
	registry_platform_reconnected(other, now);
	registry_test_and_clear_changed(relay);
	mirror_apply(relay, "s2", NULL, 5, now);
	cr_assert(registry_test_and_clear_changed(relay));
	cr_assert(catch_up(relay, other, now));
	registry_tick(other, now + REGISTRY_REREGISTER_TIMEOUT_US);
	cr_assert(not(mirror_publishes(other, "two")));
	registry_destroy(relay);
	registry_destroy(other);
}

/*
 * Guards against a server that has left and is in use again: a watch that was
 * in flight states changes which the mirror took from a relay before.
 */
Test(registry_changes, are_not_applied_again_after_a_removal)
{
	struct registry *relay = mirror_create();
	struct registry *other = mirror_create();

	load(relay, 4);
	load(other, 4);
	mirror_apply(relay, "s2", "new two", 5, 0);
	mirror_apply(relay, "s2", NULL, 8, 0);
	cr_assert(catch_up(relay, other, 0));
	registry_test_and_clear_changed(other);
	mirror_apply(other, "s2", "new two", 5, 0);
	cr_assert(not(registry_test_and_clear_changed(other)));
	cr_assert(not(mirror_publishes(other, "two")));
	registry_destroy(relay);
	registry_destroy(other);
}

/* Guards against the publication of a mirror whose reload has not ended. */
Test(registry_changes, wait_for_the_end_of_a_reload)
{
	struct registry *r = mirror_create();

	registry_begin_reload(r, 4, 0);
	mirror_apply(r, "s1", "one", 1, 0);
	cr_assert(not(registry_test_and_clear_changed(r)));
	registry_end_reload(r, 0);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against a daemon that follows a relay which fell silent. */
Test(registry_reader, reads_without_announcements)
{
	int64_t now = 100 * BASE_SECOND_US;
	struct registry_reader reader = { 0 };

	cr_assert(registry_reader_must_read(&reader, 5, now));
	registry_reader_on_announcement(&reader, 5, 5, now, now);
	now += REGISTRY_EVIDENCE_TIMEOUT_US;
	cr_assert(not(registry_reader_must_read(&reader, 5, now - 1)));
	cr_assert(registry_reader_must_read(&reader, 5, now));
	registry_reader_on_answer(&reader, now);
	cr_assert(not(registry_reader_must_read(&reader, 5, now)));
	reader.is_relay = true;
	cr_assert(registry_reader_must_read(&reader, 5, now));
}

/*
 * Guards against a daemon that hears announcements but never gets the changes,
 * and against one that takes a restored registry from a peer.
 */
Test(registry_reader, reads_when_it_stays_behind)
{
	int64_t now = 100 * BASE_SECOND_US;
	int64_t late = now + REGISTRY_CATCH_UP_TIMEOUT_US;
	int64_t restored = registry_era_revision(2, 3);
	struct registry_reader reader = { 0 };

	registry_reader_on_announcement(&reader, 6, 5, now, now);
	cr_assert(not(registry_reader_must_read(&reader, 5, now)));
	registry_reader_on_announcement(&reader, 7, 5, late, late);
	cr_assert(registry_reader_must_read(&reader, 5, late));
	cr_assert(not(registry_reader_must_read(&reader, 7, late)));
	registry_reader_on_announcement(&reader, restored, 7, late, late);
	cr_assert(registry_reader_must_read(&reader, 7, late));
}

/*
 * Guards against a daemon that follows a relay which gets no answer from the
 * registry: it announced the revision that it had all the same.
 */
Test(registry_reader, reads_when_the_relay_knows_nothing_new)
{
	int64_t current_at = 100 * BASE_SECOND_US;
	int64_t late = current_at + REGISTRY_EVIDENCE_TIMEOUT_US;
	struct registry_reader reader = { 0 };

	registry_reader_on_announcement(&reader, 5, 5, current_at, current_at);
	registry_reader_on_announcement(&reader, 5, 5, current_at, late);
	cr_assert(registry_reader_must_read(&reader, 5, late));
	cr_assert(not(registry_reader_is_confirmed(&reader, late)));
	/* The other relay of the failure domain is answered. */
	registry_reader_on_announcement(&reader, 5, 5, late - 1, late);
	cr_assert(not(registry_reader_must_read(&reader, 5, late)));
	/* One that was suspended sends what it had known before. */
	registry_reader_on_announcement(&reader, 5, 5, current_at, late);
	cr_assert(not(registry_reader_must_read(&reader, 5, late)));
}
