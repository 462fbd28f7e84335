/* Decodes messages from msgpack. */
#include "frame.h"
#include "layout.h"

#include <msgpack.h>
#include <string.h>

struct decoder {
	msgpack_zone *zone;
	struct base_error *err;
};

static enum peer_status read_fields(struct decoder *d,
				    const struct layout *layout,
				    const msgpack_object *elements,
				    size_t count, char *to);

static enum peer_status wrong_type(struct decoder *d, const struct field *field)
{
	base_error_set(d->err, "%s: wrong type or value out of range",
		       field->name);
	return PEER_ERR_MALFORMED;
}

static enum peer_status too_large(struct decoder *d, const struct field *field)
{
	base_error_set(d->err, "%s: exceeds the maximum of %u", field->name,
		       field->max);
	return PEER_ERR_TOO_LARGE;
}

static bool read_i64(const msgpack_object *o, int64_t *out)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*out = o->via.i64;
		return true;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (o->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)o->via.u64;
	return true;
}

static bool read_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

static enum peer_status read_number(struct decoder *d,
				    const struct field *field,
				    const msgpack_object *o, char *to)
{
	uint64_t max = field->kind == FIELD_U64 ? UINT64_MAX : UINT32_MAX;
	uint64_t u64;
	int64_t i64;
	uint32_t u32;

	if (field->kind == FIELD_I64) {
		if (!read_i64(o, &i64))
			return wrong_type(d, field);
		memcpy(to, &i64, sizeof(i64));
		return PEER_OK;
	}
	if (!read_u64(o, max, &u64))
		return wrong_type(d, field);
	if (field->kind == FIELD_ENUM && u64 >= field->max)
		return wrong_type(d, field);
	if (field->kind == FIELD_U64) {
		memcpy(to, &u64, sizeof(u64));
		return PEER_OK;
	}
	u32 = (uint32_t)u64;
	memcpy(to, &u32, sizeof(u32));
	return PEER_OK;
}

static enum peer_status read_str(struct decoder *d, const struct field *field,
				 const msgpack_object *o, char *to)
{
	struct base_str s;

	if (field->kind == FIELD_TEXT && o->type == MSGPACK_OBJECT_STR)
		s = (struct base_str){ o->via.str.ptr, o->via.str.size };
	else if (field->kind == FIELD_BYTES && o->type == MSGPACK_OBJECT_BIN)
		s = (struct base_str){ o->via.bin.ptr, o->via.bin.size };
	else
		return wrong_type(d, field);
	if (s.len > field->max)
		return too_large(d, field);
	memcpy(to, &s, sizeof(s));
	return PEER_OK;
}

static enum peer_status read_digest(struct decoder *d,
				    const struct field *field,
				    const msgpack_object *o, char *to)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return wrong_type(d, field);
	if (o->via.bin.size != BASE_DIGEST_SIZE)
		return wrong_type(d, field);
	memcpy(to, o->via.bin.ptr, BASE_DIGEST_SIZE);
	return PEER_OK;
}

static enum peer_status read_struct(struct decoder *d,
				    const struct field *field,
				    const msgpack_object *o, char *to)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return wrong_type(d, field);
	return read_fields(d, field->inner, o->via.array.ptr, o->via.array.size,
			   to);
}

static enum peer_status read_list(struct decoder *d, const struct field *field,
				  const msgpack_object *o, char *to)
{
	size_t size = field->inner->size;
	enum peer_status status = PEER_OK;
	struct list list = { NULL, 0 };
	char *items = NULL;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return wrong_type(d, field);
	list.count = o->via.array.size;
	if (list.count > field->max)
		return too_large(d, field);
	if (list.count) {
		items = msgpack_zone_malloc(d->zone, list.count * size);
		if (!items)
			return too_large(d, field);
		memset(items, 0, list.count * size);
	}
	for (i = 0; i < list.count && status == PEER_OK; i++)
		status = read_struct(d, field, &o->via.array.ptr[i],
				     items + i * size);
	list.items = items;
	memcpy(to, &list, sizeof(list));
	return status;
}

static enum peer_status read_field(struct decoder *d, const struct field *field,
				   const msgpack_object *o, char *to)
{
	switch (field->kind) {
	case FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return wrong_type(d, field);
		*(bool *)to = o->via.boolean;
		return PEER_OK;
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_I64:
	case FIELD_ENUM:
		return read_number(d, field, o, to);
	case FIELD_TEXT:
	case FIELD_BYTES:
		return read_str(d, field, o, to);
	case FIELD_DIGEST:
		return read_digest(d, field, o, to);
	case FIELD_STRUCT:
		return read_struct(d, field, o, to);
	case FIELD_LIST:
		return read_list(d, field, o, to);
	}
	return PEER_ERR_MALFORMED;
}

static enum peer_status read_fields(struct decoder *d,
				    const struct layout *layout,
				    const msgpack_object *elements,
				    size_t count, char *to)
{
	enum peer_status status = PEER_OK;
	size_t i;

	if (count < layout->required) {
		base_error_set(d->err,
			       "%s: got %zu fields, expected at least %zu",
			       layout->name, count, layout->required);
		return PEER_ERR_MALFORMED;
	}
	if (count > layout->count)
		count = layout->count;
	for (i = 0; i < count && status == PEER_OK; i++) {
		const struct field *field = &layout->fields[i];

		status = read_field(d, field, &elements[i], to + field->offset);
	}
	return status;
}

static enum peer_status read_message(struct decoder *d, const msgpack_object *o,
				     struct peer_message *msg)
{
	const msgpack_object *elements = o->via.array.ptr;
	const struct layout *layout;
	uint64_t type;

	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size ||
	    !read_u64(&elements[0], UINT64_MAX, &type)) {
		base_error_set(
			d->err,
			"message is not an array that starts with its type");
		return PEER_ERR_MALFORMED;
	}
	layout = layout_for_type(type);
	if (!layout) {
		base_error_set(d->err, "unknown message type %llu",
			       (unsigned long long)type);
		return PEER_ERR_UNKNOWN_TYPE;
	}
	if (o->via.array.size < LAYOUT_PREFIX_FIELDS ||
	    !read_u64(&elements[1], UINT64_MAX, &msg->id) ||
	    !read_i64(&elements[2], &msg->sent_at)) {
		base_error_set(d->err,
			       "%s: id or sent_at is missing or invalid",
			       layout->name);
		return PEER_ERR_MALFORMED;
	}
	msg->type = (enum peer_message_type)type;
	return read_fields(d, layout, elements + LAYOUT_PREFIX_FIELDS,
			   o->via.array.size - LAYOUT_PREFIX_FIELDS,
			   layout_payload(msg));
}

static enum peer_status unpack(struct base_str bytes, msgpack_unpacked *result,
			       struct base_error *err)
{
	enum peer_status status;
	size_t used = 0;

	if (bytes.len > PEER_FRAME_MAX_BYTES) {
		base_error_set(err,
			       "message of %zu bytes exceeds the maximum of %d",
			       bytes.len, PEER_FRAME_MAX_BYTES);
		return PEER_ERR_TOO_LARGE;
	}
	status = frame_check(bytes, err);
	if (status != PEER_OK)
		return status;
	if (msgpack_unpack_next(result, bytes.ptr, bytes.len, &used) !=
	    MSGPACK_UNPACK_SUCCESS) {
		base_error_set(err, "message is not a msgpack object");
		return PEER_ERR_MALFORMED;
	}
	return PEER_OK;
}

enum peer_status peer_message_decode(struct base_str bytes,
				     struct peer_message *msg,
				     struct base_error *err)
{
	struct decoder d = { .err = err };
	enum peer_status status;
	msgpack_unpacked result;

	memset(msg, 0, sizeof(*msg));
	msgpack_unpacked_init(&result);
	status = unpack(bytes, &result, err);
	if (status == PEER_OK) {
		d.zone = result.zone;
		if (!d.zone) {
			base_error_set(err, "message is not an array");
			status = PEER_ERR_MALFORMED;
		}
	}
	if (status == PEER_OK)
		status = read_message(&d, &result.data, msg);
	if (status != PEER_OK) {
		msgpack_unpacked_destroy(&result);
		memset(msg, 0, sizeof(*msg));
		return status;
	}
	msg->decode_zone = msgpack_unpacked_release_zone(&result);
	return PEER_OK;
}

void peer_message_release(struct peer_message *msg)
{
	if (msg->decode_zone)
		msgpack_zone_free(msg->decode_zone);
	msg->decode_zone = NULL;
}
