/* Encodes messages as msgpack. */
#include "layout.h"

#include <msgpack.h>
#include <string.h>

/*
 * Write function of the msgpack packer. It never fails, so neither do the
 * msgpack_pack_*() functions, and their results need no check.
 */
static int append(void *data, const char *bytes, size_t len)
{
	struct base_buf *out = data;

	/* Most pieces are a few bytes. */
	if (out->cap - out->len <= len) {
		base_buf_add(out, bytes, len);
		return 0;
	}
	if (len)
		memcpy(out->ptr + out->len, bytes, len);
	out->len += len;
	return 0;
}

static enum peer_status pack_fields(msgpack_packer *pk,
				    const struct layout *layout,
				    const char *from, struct base_error *err);

static enum peer_status too_large(const struct field *field, size_t size,
				  struct base_error *err)
{
	base_error_set(err, "%s: %zu is out of range, the limit is %u",
		       field->name, size, field->max);
	return PEER_ERR_TOO_LARGE;
}

static enum peer_status pack_str(msgpack_packer *pk, const struct field *field,
				 const char *from, struct base_error *err)
{
	struct base_str s;

	memcpy(&s, from, sizeof(s));
	if (s.len > field->max)
		return too_large(field, s.len, err);
	if (field->kind == FIELD_TEXT)
		msgpack_pack_str_with_body(pk, s.ptr, s.len);
	else
		msgpack_pack_bin_with_body(pk, s.ptr, s.len);
	return PEER_OK;
}

static enum peer_status pack_list(msgpack_packer *pk, const struct field *field,
				  const char *from, struct base_error *err)
{
	enum peer_status status = PEER_OK;
	const char *item;
	struct list list;
	size_t i;

	memcpy(&list, from, sizeof(list));
	if (list.count > field->max)
		return too_large(field, list.count, err);
	msgpack_pack_array(pk, list.count);
	item = list.items;
	for (i = 0; i < list.count && status == PEER_OK; i++) {
		status = pack_fields(pk, field->inner, item, err);
		item += field->inner->size;
	}
	return status;
}

static void pack_number(msgpack_packer *pk, enum field_kind kind,
			const char *from)
{
	uint32_t u32;
	uint64_t u64;
	int64_t i64;

	switch (kind) {
	case FIELD_U64:
		memcpy(&u64, from, sizeof(u64));
		msgpack_pack_uint64(pk, u64);
		break;
	case FIELD_I64:
		memcpy(&i64, from, sizeof(i64));
		msgpack_pack_int64(pk, i64);
		break;
	default:
		memcpy(&u32, from, sizeof(u32));
		msgpack_pack_uint32(pk, u32);
		break;
	}
}

static enum peer_status pack_field(msgpack_packer *pk,
				   const struct field *field, const char *from,
				   struct base_error *err)
{
	uint32_t value;

	switch (field->kind) {
	case FIELD_BOOL:
		if (*(const bool *)from)
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
		return PEER_OK;
	case FIELD_ENUM:
		memcpy(&value, from, sizeof(value));
		if (value >= field->max)
			return too_large(field, value, err);
		pack_number(pk, field->kind, from);
		return PEER_OK;
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_I64:
		pack_number(pk, field->kind, from);
		return PEER_OK;
	case FIELD_TEXT:
	case FIELD_BYTES:
		return pack_str(pk, field, from, err);
	case FIELD_DIGEST:
		msgpack_pack_bin_with_body(pk, from, BASE_DIGEST_SIZE);
		return PEER_OK;
	case FIELD_STRUCT:
		return pack_fields(pk, field->inner, from, err);
	case FIELD_LIST:
		return pack_list(pk, field, from, err);
	}
	return PEER_ERR_MALFORMED;
}

static enum peer_status pack_field_values(msgpack_packer *pk,
					  const struct layout *layout,
					  const char *from,
					  struct base_error *err)
{
	enum peer_status status = PEER_OK;
	size_t i;

	for (i = 0; i < layout->count && status == PEER_OK; i++) {
		const struct field *field = &layout->fields[i];

		status = pack_field(pk, field, from + field->offset, err);
	}
	return status;
}

static enum peer_status pack_fields(msgpack_packer *pk,
				    const struct layout *layout,
				    const char *from, struct base_error *err)
{
	msgpack_pack_array(pk, layout->count);
	return pack_field_values(pk, layout, from, err);
}

enum peer_status peer_message_encode(const struct peer_message *msg,
				     struct base_buf *out,
				     struct base_error *err)
{
	const struct layout *layout = layout_for_type(msg->type);
	size_t start = out->len;
	enum peer_status status;
	msgpack_packer pk;

	if (!layout) {
		base_error_set(err, "unknown message type %d", (int)msg->type);
		return PEER_ERR_UNKNOWN_TYPE;
	}
	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, LAYOUT_PREFIX_FIELDS + layout->count);
	msgpack_pack_uint32(&pk, msg->type);
	msgpack_pack_uint64(&pk, msg->id);
	msgpack_pack_int64(&pk, msg->sent_at);
	status = pack_field_values(&pk, layout, layout_payload_const(msg), err);
	if (status == PEER_OK && out->len - start > PEER_FRAME_MAX_BYTES) {
		base_error_set(err, "%s: %zu bytes exceed the maximum of %d",
			       peer_message_type_name(msg->type),
			       out->len - start, PEER_FRAME_MAX_BYTES);
		status = PEER_ERR_TOO_LARGE;
	}
	if (status != PEER_OK)
		out->len = start;
	out->ptr[out->len] = '\0';
	return status;
}
