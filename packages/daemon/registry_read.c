/* Pages of a read of all items of a registry. */
#include "registry_read.h"
#include "registry_restore.h"

#include <stdlib.h>

struct read_item {
	char *key;
	size_t key_len;
	struct base_buf value;
	int64_t revision;
	int64_t created;
};

struct registry_read {
	struct read_item *items;
	size_t count;
	size_t capacity;
	/* Sum of the lengths of all keys and values. */
	size_t bytes;
	struct base_buf last_key;
	int64_t revision;
	size_t page_count;
};

struct registry_read *registry_read_create(void)
{
	return base_alloc(sizeof(struct registry_read));
}

void registry_read_restart(struct registry_read *read)
{
	size_t i;

	for (i = 0; i < read->count; i++) {
		free(read->items[i].key);
		base_buf_release(&read->items[i].value);
	}
	free(read->items);
	base_buf_release(&read->last_key);
	*read = (struct registry_read){ 0 };
}

void registry_read_destroy(struct registry_read *read)
{
	if (!read)
		return;
	registry_read_restart(read);
	free(read);
}

bool registry_read_is_new(const struct registry_read *read)
{
	return !read->page_count;
}

struct base_str registry_read_last_key(const struct registry_read *read)
{
	return base_buf_str(&read->last_key);
}

int64_t registry_read_revision(const struct registry_read *read)
{
	return read->revision;
}

static bool has_key(const struct registry_read *read, struct base_str key)
{
	size_t i;

	for (i = 0; i < read->count; i++) {
		struct base_str known = { read->items[i].key,
					  read->items[i].key_len };

		if (base_str_equal(known, key))
			return true;
	}
	return false;
}

/*
 * Why the page is not the next one of the read, or NULL. A second copy of the
 * answer to an earlier call, or the answer to a watch, must not end the read.
 */
static const char *find_problem(const struct registry_read *read,
				const struct registry_page *page)
{
	struct base_str last = base_buf_str(&read->last_key);

	if (!page->lists_items)
		return "the answer to a read of all items lists none";
	if (page->revision < read->revision)
		return "a page is older than the first one";
	if (page->count && has_key(read, page->items[0].key))
		return "a page lists an item of an earlier one";
	if (page->more &&
	    (!page->last_key.len || base_str_equal(page->last_key, last)))
		return "a page does not lead on to the next one";
	if (read->page_count == REGISTRY_READ_MAX_PAGES)
		return "the read has too many pages";
	return NULL;
}

static void add_item(struct registry_read *read,
		     const struct registry_item *item)
{
	struct read_item *copy;

	if (read->count == read->capacity) {
		read->capacity = read->capacity ? 2 * read->capacity : 64;
		read->items = base_realloc(
			read->items, read->capacity * sizeof(*read->items));
	}
	copy = &read->items[read->count++];
	*copy = (struct read_item){
		.key = base_str_dup(item->key),
		.key_len = item->key.len,
		.value = BASE_BUF_INIT,
		.revision = item->revision,
		.created = item->created,
	};
	base_buf_add_str(&copy->value, item->value);
	read->bytes += item->key.len + item->value.len;
}

enum registry_read_status
registry_read_add_page(struct registry_read *read,
		       const struct registry_page *page, struct base_error *err)
{
	const char *problem = find_problem(read, page);
	size_t i;

	for (i = 0; !problem && i < page->count; i++) {
		add_item(read, &page->items[i]);
		if (read->bytes > REGISTRY_READ_MAX_BYTES)
			problem = "the items exceed the size limit of a read";
	}
	if (problem) {
		base_error_set(err, "%s", problem);
		return REGISTRY_READ_INVALID;
	}
	if (!read->page_count++)
		read->revision = page->revision;
	if (!page->more)
		return REGISTRY_READ_COMPLETE;
	base_buf_reset(&read->last_key);
	base_buf_add_str(&read->last_key, page->last_key);
	return REGISTRY_READ_MORE;
}

void registry_read_apply(struct registry_read *read, struct registry *registry,
			 int64_t era, int64_t now)
{
	int64_t revision = registry_era_revision(era, read->revision);
	size_t i;

	if (revision <= registry_revision(registry)) {
		registry_read_restart(read);
		return;
	}
	registry_begin_reload(registry, revision, now);
	for (i = 0; i < read->count; i++) {
		const struct read_item *m = &read->items[i];
		struct registry_item item = {
			.key = { m->key, m->key_len },
			.value = base_buf_str(&m->value),
			.revision = registry_era_revision(era, m->revision),
			.created = registry_era_revision(era, m->created),
		};

		registry_apply(registry, &item, now);
	}
	registry_end_reload(registry, now);
	registry_read_restart(read);
}
