/* Tests of the mirror of a platform's registry, with a codec made for them. */
#include "registry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

/* Decoded contents: the raw keys and values. */
struct registry_view {
	char *keys[16];
	char *values[16];
	size_t count;
};

static struct registry_view *
view_create(const struct registry_view_settings *settings)
{
	(void)settings;
	return base_alloc(sizeof(struct registry_view));
}

static void view_remove(struct registry_view *view, struct base_str key)
{
	size_t i;

	for (i = 0; i < view->count; i++) {
		if (!base_str_equal(base_str_from(view->keys[i]), key))
			continue;
		free(view->keys[i]);
		free(view->values[i]);
		view->count--;
		view->keys[i] = view->keys[view->count];
		view->values[i] = view->values[view->count];
		return;
	}
}

static void view_destroy(struct registry_view *view)
{
	while (view->count)
		view_remove(view, base_str_from(view->keys[0]));
	free(view);
}

static bool view_put(struct registry_view *view,
		     const struct registry_item *item, struct base_error *err)
{
	(void)err;
	view_remove(view, item->key);
	view->keys[view->count] = base_str_dup(item->key);
	view->values[view->count++] = base_str_dup(item->value);
	return true;
}

static bool is_server(struct base_str key)
{
	return key.ptr[0] == 's';
}

static const struct registry_codec codec = {
	.view_create = view_create,
	.view_destroy = view_destroy,
	.view_put = view_put,
	.view_remove = view_remove,
	.is_server = is_server,
};

/* Time for which a leaving server serves on the users' platform. */
#define LEAVE_US (2 * BASE_SECOND_US)

static struct registry *create_mirror(void)
{
	struct registry_view_settings settings = { 0 };

	return registry_create(&codec, &settings, LEAVE_US, NULL);
}

static void apply_change(struct registry *r, const char *key, const char *value,
			 int64_t revision, int64_t now)
{
	struct registry_item item = {
		.key = base_str_from(key),
		.value = base_str_from(value ? value : ""),
		.revision = revision,
		.created = revision,
		.removed = !value,
	};

	registry_apply(r, &item, now);
}

/* True when the manifest that is published for peers contains the text. */
static bool publishes(struct registry *r, const char *key)
{
	struct publication *pub = registry_publish(r);
	bool found = strstr(pub->manifest.ptr, key) != NULL;

	publication_unref(pub);
	return found;
}

/* Guards against an older value that replaces a newer one. */
Test(registry, ignores_older_revision)
{
	struct registry *r = create_mirror();

	apply_change(r, "op", "new", 7, 0);
	cr_assert(registry_test_and_clear_changed(r));
	apply_change(r, "op", "old", 5, 0);
	cr_assert(not(registry_test_and_clear_changed(r)));
	cr_assert(publishes(r, "new"));
	cr_assert(eq(i64, registry_revision(r), 7));
	registry_destroy(r);
}

/* Guards against requests to a server that has left: its entry was kept. */
Test(registry, removes_leaving_server_at_once)
{
	struct registry *r = create_mirror();

	apply_change(r, "s1", "x", 1, 0);
	apply_change(r, "s2", "x", 2, 0);
	apply_change(r, "s3", "x", 3, 0);
	apply_change(r, "s4", "x", 4, 0);
	apply_change(r, "s1", NULL, 5, 10 * BASE_SECOND_US);
	cr_assert(not(publishes(r, "s1")));
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
	struct registry *r = create_mirror();

	apply_change(r, "s1", "x", 1, 0);
	apply_change(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, now);
	apply_change(r, "s1", NULL, 3, now);
	apply_change(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	apply_change(r, "s1", "y", 5, now + BASE_SECOND_US);
	registry_tick(r, now + REGISTRY_REREGISTER_TIMEOUT_US);
	cr_assert(registry_test_and_clear_changed(r));
	cr_assert(publishes(r, "s1"));
	cr_assert(not(publishes(r, "s2")));
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
	struct registry *r = create_mirror();

	apply_change(r, "s1", "x", 1, 0);
	apply_change(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, reconnected_at);
	registry_test_and_clear_changed(r);
	apply_change(r, "s1", NULL, 3, left_at);
	registry_tick(r, left_at + LEAVE_US / 2);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/*
 * Guards against requests to servers that left together and no longer serve:
 * their entries must go before the leave time is over.
 */
Test(registry, keeps_servers_removed_together_for_part_of_leave_time)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *r = create_mirror();

	apply_change(r, "s1", "x", 1, 0);
	apply_change(r, "s2", "x", 2, 0);
	apply_change(r, "s1", NULL, 3, now);
	apply_change(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	registry_tick(r, now + LEAVE_US / 2);
	cr_assert(not(registry_test_and_clear_changed(r)));
	registry_tick(r, now + LEAVE_US - 200 * BASE_MS_US);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against entries that stay because their removal was missed. */
Test(registry, reload_removes_unlisted_items)
{
	struct registry *r = create_mirror();

	apply_change(r, "op", "x", 1, 0);
	apply_change(r, "zone", "x", 2, 0);
	registry_begin_reload(r, 9);
	apply_change(r, "op", "x", 1, 0);
	registry_end_reload(r, 0);
	cr_assert(publishes(r, "op"));
	cr_assert(not(publishes(r, "zone")));
	cr_assert(eq(i64, registry_revision(r), 9));
	registry_destroy(r);
}

/* Guards against a daemon without a configuration during an outage. */
Test(registry, applies_manifest_of_peer)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	struct registry *source = create_mirror();
	struct registry *target = create_mirror();
	struct publication *pub;
	char large_value[5000];

	memset(large_value, 'b', sizeof(large_value) - 1);
	large_value[sizeof(large_value) - 1] = '\0';
	apply_change(source, "op", large_value, 3, 0);
	apply_change(source, "s1", "x", 4, 0);
	pub = registry_publish(source);
	cr_assert(not(registry_apply_manifest(
		target, base_buf_str(&pub->manifest), missing, 0)));
	cr_assert(eq(sz, strlen(missing), 64));
	registry_add_part(target, base_buf_str(&pub->parts[0].bytes));
	cr_assert(registry_apply_manifest(target, base_buf_str(&pub->manifest),
					  missing, 0));
	cr_assert(eq(i64, registry_revision(target), 4));
	cr_assert(publishes(target, "s1"));
	/* A manifest that is not newer and malformed text are not applied. */
	cr_assert(not(registry_apply_manifest(
		target, base_buf_str(&pub->manifest), missing, 0)));
	cr_assert(not(registry_apply_manifest(target, BASE_STR("{\"rev"),
					      missing, 0)));
	publication_unref(pub);
	registry_destroy(source);
	registry_destroy(target);
}
