/*
 * Layout of messages as tables, so that the encoder and the decoder share one
 * description of each type. Private to the package.
 */
#ifndef PEER_LAYOUT_H
#define PEER_LAYOUT_H

#include "peer.h"

enum field_kind {
	FIELD_BOOL,
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	/** An enum whose values are below `max`. */
	FIELD_ENUM,
	/** A base_str of at most `max` bytes, as msgpack str. */
	FIELD_TEXT,
	/** A base_str of at most `max` bytes, as msgpack bin. */
	FIELD_BYTES,
	FIELD_DIGEST,
	/** A nested struct, as an array of its fields. */
	FIELD_STRUCT,
	/** Items and count, as an array of at most `max` structs. */
	FIELD_LIST,
};

struct layout;

struct field {
	const char *name;
	/** Bytes from the start of the struct that the layout describes. */
	size_t offset;
	/** Of the nested struct or of one item. */
	const struct layout *inner;
	enum field_kind kind;
	uint32_t max;
};

struct layout {
	const char *name;
	const struct field *fields;
	size_t count;
	/** Fields that every version sends; the others are 0 when missing. */
	size_t required;
	size_t size;
};

/** All lists of peer.h have this form. */
struct list {
	const void *items;
	size_t count;
};

/** Elements before the fields of a type: type, id and sent_at. */
#define LAYOUT_PREFIX_FIELDS 3

/**
 * Layout of the fields after the prefix; offsets count from the start of the
 * union in struct peer_message. Returns NULL for an unknown type.
 */
const struct layout *layout_for_type(uint64_t type);

/** Start of the union of a message. */
void *layout_payload(struct peer_message *msg);
const void *layout_payload_const(const struct peer_message *msg);

#endif
