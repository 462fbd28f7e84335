/* A mirror of a registry whose codec is made for tests. */
#include "registry_fixture.h"

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

/* Values of the form "NUMBER:..." state their place in the writer's order. */
static bool write_order(struct base_str key, struct base_str value,
			struct registry_write_order *order)
{
	const char *colon = memchr(value.ptr, ':', value.len);

	(void)key;
	*order = (struct registry_write_order){ 0 };
	if (!colon)
		return false;
	value.len = (size_t)(colon - value.ptr);
	return base_str_to_i64(value, &order->sequence);
}

static const struct registry_codec codec = {
	.view_create = view_create,
	.view_destroy = view_destroy,
	.view_put = view_put,
	.view_remove = view_remove,
	.is_server = is_server,
	.write_order = write_order,
};

struct registry *mirror_create(void)
{
	struct registry_view_settings settings = { 0 };

	return registry_create(&codec, &settings, MIRROR_LEAVE_US, NULL);
}

void mirror_apply(struct registry *r, const char *key, const char *value,
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

bool mirror_publishes(struct registry *r, const char *key)
{
	struct publication *pub = registry_publish(r);
	bool found = strstr(pub->manifest.ptr, key) != NULL;

	publication_unref(pub);
	return found;
}
