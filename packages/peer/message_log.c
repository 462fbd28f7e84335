/* Logs the fields of messages by their layout. */
#include "message_log.h"

#include "layout.h"

#include <stdio.h>
#include <string.h>

static void log_fields(struct base_log_line *line, const struct layout *layout,
		       const char *from);

/* Removes the query of a path, which may contain confidential data. */
static struct base_str without_query(struct base_str text)
{
	const char *query = text.len ? memchr(text.ptr, '?', text.len) : NULL;

	if (query)
		text.len = (size_t)(query - text.ptr);
	return text;
}

/* Logs the size of a body or list, not its content such as header values. */
static void log_size(struct base_log_line *line, const struct field *field,
		     size_t size)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_%s", field->name,
		 field->kind == FIELD_LIST ? "count" : "bytes");
	base_log_int(line, name, (int64_t)size);
}

static void log_number(struct base_log_line *line, const struct field *field,
		       const char *from)
{
	bool flag;
	uint32_t u32;
	uint64_t u64;
	int number;

	if (field->kind == FIELD_BOOL) {
		memcpy(&flag, from, sizeof(flag));
		u64 = flag;
	} else if (field->kind == FIELD_U32) {
		memcpy(&u32, from, sizeof(u32));
		u64 = u32;
	} else if (field->kind == FIELD_ENUM) {
		memcpy(&number, from, sizeof(number));
		u64 = (uint64_t)number;
	} else {
		memcpy(&u64, from, sizeof(u64));
	}
	base_log_int(line, field->name, (int64_t)u64);
}

static void log_field(struct base_log_line *line, const struct field *field,
		      const char *from)
{
	struct base_digest digest;
	struct base_str text;
	struct list list;
	char hex[65];

	switch (field->kind) {
	case FIELD_TEXT:
		memcpy(&text, from, sizeof(text));
		base_log_str(line, field->name, without_query(text));
		return;
	case FIELD_BYTES:
		memcpy(&text, from, sizeof(text));
		log_size(line, field, text.len);
		return;
	case FIELD_DIGEST:
		memcpy(&digest, from, sizeof(digest));
		base_digest_hex(&digest, hex);
		base_log_cstr(line, field->name, hex);
		return;
	case FIELD_STRUCT:
		log_fields(line, field->inner, from);
		return;
	case FIELD_LIST:
		memcpy(&list, from, sizeof(list));
		log_size(line, field, list.count);
		return;
	default:
		log_number(line, field, from);
	}
}

static void log_fields(struct base_log_line *line, const struct layout *layout,
		       const char *from)
{
	size_t i;

	for (i = 0; i < layout->count; i++)
		log_field(line, &layout->fields[i],
			  from + layout->fields[i].offset);
}

void message_log_write(struct base_log *log, const char *event,
		       const char *address, const struct peer_message *msg)
{
	struct base_log_line line;

	if (!log)
		return;
	line = base_log_begin(log, BASE_LOG_DEBUG, event);
	if (line.enabled) {
		base_log_cstr(&line, "type", peer_message_type_name(msg->type));
		if (address)
			base_log_cstr(&line, "address", address);
		base_log_int(&line, "id", (int64_t)msg->id);
		log_fields(&line, layout_for_type(msg->type),
			   layout_payload_const(msg));
	}
	base_log_end(&line);
}
