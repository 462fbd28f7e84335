/* Tests of a read of a registry in several pages. */
#include "registry_fixture.h"
#include "registry_read.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>
#include <string.h>

#define PAGE_ITEMS_MAX 4

/* A page whose items are given as pairs of key and revision. */
struct test_page {
	struct registry_page page;
	struct registry_item items[PAGE_ITEMS_MAX];
};

static const struct registry_page *add_item(struct test_page *p,
					    const char *key, int64_t revision)
{
	p->items[p->page.count] = (struct registry_item){
		.key = base_str_from(key),
		.value = base_str_from(key),
		.revision = revision,
		.created = revision,
	};
	p->page.items = p->items;
	p->page.last_key = p->items[p->page.count++].key;
	return &p->page;
}

static struct test_page page_at(int64_t revision, bool more)
{
	return (struct test_page){ .page = { .revision = revision,
					     .lists_items = true,
					     .more = more } };
}

static enum registry_read_status add(struct registry_read *read,
				     const struct registry_page *page)
{
	struct base_error err = { "" };
	enum registry_read_status status =
		registry_read_add_page(read, page, &err);

	cr_assert(eq(int, status == REGISTRY_READ_INVALID,
		     err.message[0] != '\0'));
	return status;
}

/* First page of all reads below: two items, at revision 5. */
static void add_first_page(struct registry_read *read)
{
	struct test_page p = page_at(5, true);

	add_item(&p, "a", 1);
	add_item(&p, "s1", 2);
	cr_assert(eq(int, add(read, &p.page), REGISTRY_READ_MORE));
}

/* Guards against a mirror with the items of the last page only. */
Test(registry_read, takes_all_pages_at_once)
{
	struct registry *r = mirror_create();
	struct registry_read *read = registry_read_create();
	struct test_page last = page_at(5, false);

	add_first_page(read);
	cr_assert(not(mirror_publishes(r, "s1")));
	cr_assert(base_str_equal(registry_read_last_key(read), BASE_STR("s1")));
	add_item(&last, "s2", 3);
	cr_assert(eq(int, add(read, &last.page), REGISTRY_READ_COMPLETE));
	registry_read_apply(read, r, 0, 0);
	cr_assert(mirror_publishes(r, "s1"));
	cr_assert(mirror_publishes(r, "s2"));
	cr_assert(eq(i64, registry_revision(r), 5));
	cr_assert(registry_read_is_new(read));
	registry_read_destroy(read);
	registry_destroy(r);
}

/*
 * Guards against a mirror that claims the revision of a later page: the change
 * of an item on an earlier page is then never delivered.
 */
Test(registry_read, ends_at_the_revision_of_the_first_page)
{
	struct registry *r = mirror_create();
	struct registry_read *read = registry_read_create();
	struct test_page last = page_at(7, false);

	add_first_page(read);
	add_item(&last, "s2", 7);
	cr_assert(eq(int, add(read, &last.page), REGISTRY_READ_COMPLETE));
	registry_read_apply(read, r, 0, 0);
	cr_assert(eq(i64, registry_revision(r), 5));
	mirror_apply(r, "a", "new a", 6, 0);
	cr_assert(mirror_publishes(r, "new a"));
	cr_assert(eq(i64, registry_revision(r), 6));
	registry_read_destroy(read);
	registry_destroy(r);
}

/*
 * Guards against a peer that never gets a change: the relay had its result from
 * a later page already and left it out when the watch delivered it.
 */
Test(registry_read, passes_changes_between_pages_on_to_peers)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	struct registry *relay = mirror_create();
	struct registry *peer = mirror_create();
	struct registry_read *read = registry_read_create();
	struct test_page last = page_at(7, false);
	struct test_page events = page_at(8, false);
	struct publication *pub;

	registry_begin_reload(peer, 5, 0);
	registry_end_reload(peer, 0);
	add_first_page(read);
	add_item(&last, "s2", 7);
	add(read, &last.page);
	registry_read_apply(read, relay, 0, 0);
	publication_unref(registry_publish(relay));
	add_item(&events, "s2", 7);
	registry_apply_events(relay, events.items, 1, 8, 0);
	cr_assert(registry_test_and_clear_changed(relay));
	pub = registry_publish(relay);
	cr_assert(publication_write_changes(
		pub, BASE_STR(PUBLICATION_KEY_CHANGES_PREFIX "5"), &text));
	cr_assert(registry_apply_changes(peer, base_buf_str(&text), 0));
	cr_assert(mirror_publishes(peer, "s2"));
	cr_assert(eq(i64, registry_revision(peer), 8));
	publication_unref(pub);
	registry_read_destroy(read);
	registry_destroy(relay);
	registry_destroy(peer);
}

/*
 * Guards against an entry that is back after its removal: the mirror took the
 * removal from a peer while the read waited for its last page.
 */
Test(registry_read, leaves_a_newer_mirror_as_it_is)
{
	struct registry *r = mirror_create();
	struct registry_read *read = registry_read_create();
	struct test_page last = page_at(5, false);

	add_first_page(read);
	registry_begin_reload(r, 9, 0);
	mirror_apply(r, "a", "a", 1, 0);
	registry_end_reload(r, 0);
	add_item(&last, "s2", 3);
	add(read, &last.page);
	registry_read_apply(read, r, 0, 0);
	cr_assert(not(mirror_publishes(r, "s1")));
	cr_assert(eq(i64, registry_revision(r), 9));
	cr_assert(registry_read_is_new(read));
	registry_read_destroy(read);
	registry_destroy(r);
}

/*
 * Guards against a mirror without the last items: a second copy of an answer or
 * an answer to a watch was taken for the last page.
 */
Test(registry_read, rejects_pages_of_other_calls)
{
	struct registry_read *read = registry_read_create();
	struct test_page copy = page_at(5, false);
	struct test_page watch = page_at(6, false);
	struct test_page older = page_at(4, false);

	add_first_page(read);
	add_item(&copy, "a", 1);
	cr_assert(eq(int, add(read, &copy.page), REGISTRY_READ_INVALID));
	watch.page.lists_items = false;
	cr_assert(eq(int, add(read, &watch.page), REGISTRY_READ_INVALID));
	cr_assert(eq(int, add(read, &older.page), REGISTRY_READ_INVALID));
	registry_read_destroy(read);
}

/* Guards against a read that ends, or never ends, at a page without items. */
Test(registry_read, goes_on_after_a_page_without_readable_items)
{
	struct registry_read *read = registry_read_create();
	struct test_page p = page_at(5, true);

	add_first_page(read);
	cr_assert(eq(int, add(read, &p.page), REGISTRY_READ_INVALID));
	p.page.last_key = BASE_STR("s1");
	cr_assert(eq(int, add(read, &p.page), REGISTRY_READ_INVALID));
	p.page.last_key = BASE_STR("s2");
	cr_assert(eq(int, add(read, &p.page), REGISTRY_READ_MORE));
	cr_assert(base_str_equal(registry_read_last_key(read), BASE_STR("s2")));
	registry_read_destroy(read);
}

/* Guards against a registry whose pages fill the memory or have no end. */
Test(registry_read, is_bounded)
{
	static char value[1 << 20];
	struct registry_read *read = registry_read_create();
	enum registry_read_status status = REGISTRY_READ_MORE;
	char key[16];
	int i;

	for (i = 0; status == REGISTRY_READ_MORE && i < 100; i++) {
		struct test_page p = page_at(5, true);

		snprintf(key, sizeof(key), "k%02d", i);
		add_item(&p, key, 1);
		p.items[0].value = (struct base_str){ value, sizeof(value) };
		status = add(read, &p.page);
	}
	cr_assert(eq(int, status, REGISTRY_READ_INVALID));
	cr_assert(le(int, i, 17));
	registry_read_restart(read);
	status = REGISTRY_READ_MORE;
	for (i = 0; status == REGISTRY_READ_MORE && i < 5000; i++) {
		struct test_page p = page_at(5, true);

		snprintf(key, sizeof(key), "k%04d", i);
		p.page.last_key = base_str_from(key);
		status = add(read, &p.page);
	}
	cr_assert(eq(int, status, REGISTRY_READ_INVALID));
	registry_read_destroy(read);
}
