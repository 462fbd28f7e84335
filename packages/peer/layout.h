/*
 * Tables that describe the fields of each message type, shared by the encoder,
 * the decoder and the message log. Private to the package.
 */
#ifndef PEER_LAYOUT_H
#define PEER_LAYOUT_H

#include "peer.h"

enum field_kind {
	FIELD_BOOL,
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	/** An enum with values less than `max`. */
	FIELD_ENUM,
	/** A base_str of up to `max` bytes, encoded as msgpack str. */
	FIELD_TEXT,
	/** A base_str of up to `max` bytes, encoded as msgpack bin. */
	FIELD_BYTES,
	FIELD_DIGEST,
	/** A nested struct, encoded as an array of its fields. */
	FIELD_STRUCT,
	/** A struct list, encoded as an array of up to `max` structs. */
	FIELD_LIST,
};

struct layout;

struct field {
	const char *name;
	/** Offset in the struct that the layout describes, in bytes. */
	size_t offset;
	/** Layout of the nested struct or of a list item, else NULL. */
	const struct layout *inner;
	enum field_kind kind;
	uint32_t max;
};

struct layout {
	const char *name;
	const struct field *fields;
	size_t count;
	/**
	 * Number of leading fields that every version sends. Later fields were
	 * appended to the type; they are 0 when a message lacks them.
	 */
	size_t required;
	/** Size of the struct in bytes. */
	size_t size;
};

/** Generic form of the lists in peer.h, which all have these members. */
struct list {
	const void *items;
	size_t count;
};

/** Number of elements before the fields of a type: type, id and sent_at. */
#define LAYOUT_PREFIX_FIELDS 3

/**
 * Returns the layout of the fields after the prefix, or NULL for an unknown
 * type. Its offsets start at the union in struct peer_message.
 */
const struct layout *layout_for_type(uint64_t type);

/** Returns the start of the union in a message. */
void *layout_payload(struct peer_message *msg);
const void *layout_payload_const(const struct peer_message *msg);

#endif
