/* Tests of the mirror of a platform's registry, with a codec of their own. */
#include "registry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

/* Keys that the view holds, as a text "a=1 b=2 ". */
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

/* The users' platform lets a leaving server serve for so long. */
#define LEAVE_US (2 * BASE_SECOND_US)

static struct registry *make(void)
{
	struct registry_view_settings settings = { 0 };

	return registry_create(&codec, &settings, LEAVE_US, NULL);
}

static void change(struct registry *r, const char *key, const char *value,
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

/* Whether the mirror would tell a peer of the key. */
static bool holds(struct registry *r, const char *key)
{
	struct publication *pub = registry_publish(r);
	bool found = strstr(pub->manifest.ptr, key) != NULL;

	publication_unref(pub);
	return found;
}

/* Guards against an older value that takes the place of a newer one. */
Test(registry, never_goes_back)
{
	struct registry *r = make();

	change(r, "op", "new", 7, 0);
	cr_assert(registry_test_and_clear_changed(r));
	change(r, "op", "old", 5, 0);
	cr_assert(not(registry_test_and_clear_changed(r)));
	cr_assert(holds(r, "new"));
	cr_assert(eq(i64, registry_revision(r), 7));
	registry_destroy(r);
}

/* Guards against a server that left being kept. */
Test(registry, removes_a_server_at_once)
{
	struct registry *r = make();

	change(r, "s1", "x", 1, 0);
	change(r, "s2", "x", 2, 0);
	change(r, "s3", "x", 3, 0);
	change(r, "s4", "x", 4, 0);
	change(r, "s1", NULL, 5, 10 * BASE_SECOND_US);
	cr_assert(not(holds(r, "s1")));
	registry_destroy(r);
}

/*
 * Guards against a fleet without servers after the platform was away and its
 * entries lapsed: the servers live and are back in two seconds.
 */
Test(registry, keeps_lapsed_servers_until_they_may_be_back)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *r = make();

	change(r, "s1", "x", 1, 0);
	change(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, now);
	change(r, "s1", NULL, 3, now);
	change(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	change(r, "s1", "y", 5, now + BASE_SECOND_US);
	registry_tick(r, now + REGISTRY_REREGISTER_TIMEOUT_US);
	cr_assert(registry_test_and_clear_changed(r));
	cr_assert(holds(r, "s1"));
	cr_assert(not(holds(r, "s2")));
	registry_destroy(r);
}

/*
 * Guards against a leaving server that is used for longer than it serves: it
 * left 2.05 s after the platform's return and was kept for 2.2 s more.
 */
Test(registry, keeps_no_server_that_left_after_the_return_for_long)
{
	int64_t back = 10 * BASE_SECOND_US;
	int64_t left = back + 2050 * BASE_MS_US;
	struct registry *r = make();

	change(r, "s1", "x", 1, 0);
	change(r, "s2", "x", 2, 0);
	registry_platform_reconnected(r, back);
	registry_test_and_clear_changed(r);
	change(r, "s1", NULL, 3, left);
	registry_tick(r, left + LEAVE_US / 2);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against servers that leave together and are used after that. */
Test(registry, keeps_servers_that_vanish_together_while_they_would_serve)
{
	int64_t now = 10 * BASE_SECOND_US;
	struct registry *r = make();

	change(r, "s1", "x", 1, 0);
	change(r, "s2", "x", 2, 0);
	change(r, "s1", NULL, 3, now);
	change(r, "s2", NULL, 4, now);
	registry_test_and_clear_changed(r);
	registry_tick(r, now + LEAVE_US / 2);
	cr_assert(not(registry_test_and_clear_changed(r)));
	registry_tick(r, now + LEAVE_US - 200 * BASE_MS_US);
	cr_assert(registry_test_and_clear_changed(r));
	registry_destroy(r);
}

/* Guards against entries that stay after their removal was not seen. */
Test(registry, a_reload_removes_what_it_does_not_name)
{
	struct registry *r = make();

	change(r, "op", "x", 1, 0);
	change(r, "zone", "x", 2, 0);
	registry_begin_reload(r, 9);
	change(r, "op", "x", 1, 0);
	registry_end_reload(r, 0);
	cr_assert(holds(r, "op"));
	cr_assert(not(holds(r, "zone")));
	cr_assert(eq(i64, registry_revision(r), 9));
	registry_destroy(r);
}

/* Guards against a daemon without the platform that knows nothing. */
Test(registry, takes_over_the_mirror_of_a_peer)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	struct registry *from = make();
	struct registry *to = make();
	struct publication *pub;
	char big[5000];

	memset(big, 'b', sizeof(big) - 1);
	big[sizeof(big) - 1] = '\0';
	change(from, "op", big, 3, 0);
	change(from, "s1", "x", 4, 0);
	pub = registry_publish(from);
	cr_assert(not(registry_apply_manifest(to, base_buf_str(&pub->manifest),
					      missing, 0)));
	cr_assert(eq(sz, strlen(missing), 64));
	registry_add_part(to, base_buf_str(&pub->parts[0].bytes));
	cr_assert(registry_apply_manifest(to, base_buf_str(&pub->manifest),
					  missing, 0));
	cr_assert(eq(i64, registry_revision(to), 4));
	cr_assert(holds(to, "s1"));
	/* The same again is no news, and bytes that are no manifest neither. */
	cr_assert(not(registry_apply_manifest(to, base_buf_str(&pub->manifest),
					      missing, 0)));
	cr_assert(not(
		registry_apply_manifest(to, BASE_STR("{\"rev"), missing, 0)));
	publication_unref(pub);
	registry_destroy(from);
	registry_destroy(to);
}
