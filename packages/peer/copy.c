/* Copies requests by their layout, without encoding them. */
#include "layout.h"

#include <string.h>

/* Memory that the copy of a struct needs outside the struct, in bytes. */
struct extent {
	size_t items;
	size_t text;
};

/* Where the next list items and the next string are copied to. */
struct cursor {
	char *items;
	char *text;
};

static bool is_string(const struct field *field)
{
	return field->kind == FIELD_TEXT || field->kind == FIELD_BYTES;
}

static enum peer_status check_size(const struct field *field, size_t size)
{
	return size > field->max ? PEER_ERR_TOO_LARGE : PEER_OK;
}

static enum peer_status measure(const struct layout *layout, const char *from,
				struct extent *extent);

static enum peer_status measure_list(const struct field *field,
				     const char *from, struct extent *extent)
{
	enum peer_status status;
	struct list list;
	size_t i;

	memcpy(&list, from, sizeof(list));
	status = check_size(field, list.count);
	if (status == PEER_OK)
		extent->items += list.count * field->inner->size;
	for (i = 0; i < list.count && status == PEER_OK; i++)
		status = measure(field->inner,
				 (const char *)list.items +
					 i * field->inner->size,
				 extent);
	return status;
}

static enum peer_status measure(const struct layout *layout, const char *from,
				struct extent *extent)
{
	enum peer_status status = PEER_OK;
	struct base_str s;
	size_t i;

	for (i = 0; i < layout->count && status == PEER_OK; i++) {
		const struct field *field = &layout->fields[i];
		const char *value = from + field->offset;

		if (is_string(field)) {
			memcpy(&s, value, sizeof(s));
			status = check_size(field, s.len);
			extent->text += s.len;
		} else if (field->kind == FIELD_STRUCT) {
			status = measure(field->inner, value, extent);
		} else if (field->kind == FIELD_LIST) {
			status = measure_list(field, value, extent);
		}
	}
	return status;
}

static void move_strings(const struct layout *layout, char *to,
			 struct cursor *at);

static void move_list(const struct field *field, char *to, struct cursor *at)
{
	size_t size = field->inner->size;
	struct list list;
	char *items = at->items;
	size_t i;

	memcpy(&list, to, sizeof(list));
	if (list.count)
		memcpy(items, list.items, list.count * size);
	at->items += list.count * size;
	list.items = items;
	memcpy(to, &list, sizeof(list));
	for (i = 0; i < list.count; i++)
		move_strings(field->inner, items + i * size, at);
}

/* Replaces all strings and lists of a struct by copies. */
static void move_strings(const struct layout *layout, char *to,
			 struct cursor *at)
{
	struct base_str s;
	size_t i;

	for (i = 0; i < layout->count; i++) {
		const struct field *field = &layout->fields[i];
		char *value = to + field->offset;

		if (is_string(field)) {
			memcpy(&s, value, sizeof(s));
			if (s.len)
				memcpy(at->text, s.ptr, s.len);
			s.ptr = at->text;
			at->text += s.len;
			memcpy(value, &s, sizeof(s));
		} else if (field->kind == FIELD_STRUCT) {
			move_strings(field->inner, value, at);
		} else if (field->kind == FIELD_LIST) {
			move_list(field, value, at);
		}
	}
}

enum peer_status peer_request_copy(const struct peer_request *from,
				   struct peer_request *to, void **memory)
{
	const struct layout *layout = layout_for_type(PEER_REQUEST);
	struct extent extent = { 0, 0 };
	enum peer_status status = measure(layout, (const char *)from, &extent);
	struct cursor at;

	*memory = NULL;
	if (status == PEER_OK && extent.text > PEER_FRAME_MAX_BYTES)
		status = PEER_ERR_TOO_LARGE;
	if (status != PEER_OK)
		return status;
	*memory = base_realloc(NULL, extent.items + extent.text);
	at.items = *memory;
	at.text = at.items + extent.items;
	*to = *from;
	move_strings(layout, (char *)to, &at);
	return PEER_OK;
}
