/* Checks the structure of a msgpack object without unpacking it. */
#include "frame.h"

/* One msgpack element, as declared by its header. */
struct element {
	/** Size of the length field after the first byte, in bytes. */
	size_t length_size;
	/**
	 * Bytes after the length field of a scalar or string, or number of
	 * entries of an array or map. The value of the length field is added.
	 */
	uint64_t length;
	/** 0 for scalars and strings, 1 for arrays, 2 for maps. */
	unsigned int children_per_entry;
};

static struct element scalar(uint64_t length)
{
	return (struct element){ 0, length, 0 };
}

static struct element container(size_t length_size, uint64_t length,
				unsigned int children_per_entry)
{
	return (struct element){ length_size, length, children_per_entry };
}

/*
 * Decodes the first byte of an element.
 * @return false for 0xc1, which msgpack never uses
 */
static bool decode_first_byte(uint8_t first, struct element *out)
{
	static const struct element types_c0_to_df[32] = {
		[0x00] = { 0, 0, 0 }, [0x02] = { 0, 0, 0 },
		[0x03] = { 0, 0, 0 }, [0x04] = { 1, 0, 0 },
		[0x05] = { 2, 0, 0 }, [0x06] = { 4, 0, 0 },
		[0x07] = { 1, 1, 0 }, [0x08] = { 2, 1, 0 },
		[0x09] = { 4, 1, 0 }, [0x0a] = { 0, 4, 0 },
		[0x0b] = { 0, 8, 0 }, [0x0c] = { 0, 1, 0 },
		[0x0d] = { 0, 2, 0 }, [0x0e] = { 0, 4, 0 },
		[0x0f] = { 0, 8, 0 }, [0x10] = { 0, 1, 0 },
		[0x11] = { 0, 2, 0 }, [0x12] = { 0, 4, 0 },
		[0x13] = { 0, 8, 0 }, [0x14] = { 0, 2, 0 },
		[0x15] = { 0, 3, 0 }, [0x16] = { 0, 5, 0 },
		[0x17] = { 0, 9, 0 }, [0x18] = { 0, 17, 0 },
		[0x19] = { 1, 0, 0 }, [0x1a] = { 2, 0, 0 },
		[0x1b] = { 4, 0, 0 }, [0x1c] = { 2, 0, 1 },
		[0x1d] = { 4, 0, 1 }, [0x1e] = { 2, 0, 2 },
		[0x1f] = { 4, 0, 2 },
	};

	if (first < 0x80 || first >= 0xe0)
		*out = scalar(0);
	else if (first < 0x90)
		*out = container(0, first & 0x0f, 2);
	else if (first < 0xa0)
		*out = container(0, first & 0x0f, 1);
	else if (first < 0xc0)
		*out = scalar(first & 0x1f);
	else
		*out = types_c0_to_df[first - 0xc0];
	return first != 0xc1;
}

static enum peer_status malformed(struct base_error *err, const char *what,
				  size_t offset)
{
	base_error_set(err, "%s at byte %zu", what, offset);
	return PEER_ERR_MALFORMED;
}

/* Checks the element at *at and moves *at to the next one. */
static enum peer_status next_element(struct base_str bytes, size_t *at,
				     uint64_t *child_count,
				     struct base_error *err)
{
	struct element el;
	size_t pos = *at;
	uint64_t length = 0;
	size_t i;

	if (pos >= bytes.len)
		return malformed(err, "message truncated", pos);
	if (!decode_first_byte((uint8_t)bytes.ptr[pos], &el))
		return malformed(err, "reserved type 0xc1", pos);
	pos++;
	if (el.length_size > bytes.len - pos)
		return malformed(err, "message truncated", pos);
	for (i = 0; i < el.length_size; i++)
		length = length << 8 | (uint8_t)bytes.ptr[pos++];
	length += el.length;
	*child_count = length * el.children_per_entry;
	if (!el.children_per_entry) {
		if (length > bytes.len - pos)
			return malformed(err, "message truncated", pos);
		pos += length;
	}
	*at = pos;
	return PEER_OK;
}

enum peer_status frame_check(struct base_str bytes, struct base_error *err)
{
	uint64_t expected = 1;
	uint64_t checked = 0;
	size_t at = 0;

	while (checked < expected) {
		uint64_t child_count;
		enum peer_status status =
			next_element(bytes, &at, &child_count, err);

		if (status != PEER_OK)
			return status;
		checked++;
		expected += child_count;
		if (expected > FRAME_ELEMENTS_MAX) {
			base_error_set(err, "message has more than %d elements",
				       FRAME_ELEMENTS_MAX);
			return PEER_ERR_TOO_LARGE;
		}
	}
	if (at != bytes.len)
		return malformed(err, "trailing bytes", at);
	return PEER_OK;
}
