/* Kinds of objects, their fields and the validation of a single object. */
#include "object.h"
#include "text.h"

#include <inttypes.h>
#include <string.h>

#define MAX_FIELDS 10

enum field_type {
	FIELD_REFERENCE,
	FIELD_INT,
	FIELD_BOOL,
	FIELD_CHOICE,
	FIELD_TEXT,
};

struct field {
	const char *name;
	enum field_type type;
	/** First schema that has the field. */
	int since_schema;
	bool optional;
	/** FIELD_REFERENCE: kind of the object that the field names. */
	enum object_kind target;
	/** FIELD_INT: the valid range, inclusive. */
	int64_t min;
	int64_t max;
	/** FIELD_CHOICE: the two valid values, the default first. */
	const char *choices[2];
	/** FIELD_TEXT: the validation and its description for messages. */
	bool (*valid)(struct base_str text);
	const char *expected;
	/** Value that object_upgrade() fills in. */
	int64_t default_value;
};

struct kind {
	const char *name;
	struct field fields[MAX_FIELDS];
};

#define REFERENCE(n, k)                                                  \
	{                                                                \
		.name = (n), .type = FIELD_REFERENCE, .since_schema = 1, \
		.target = (k)                                            \
	}
#define INTEGER(n, lo, hi)                                         \
	{                                                          \
		.name = (n), .type = FIELD_INT, .since_schema = 1, \
		.min = (lo), .max = (hi)                           \
	}
#define STATE(default_choice, other)                                      \
	{                                                                 \
		.name = "state", .type = FIELD_CHOICE, .since_schema = 1, \
		.choices = {                                              \
			(default_choice),                                 \
			(other)                                           \
		}                                                         \
	}
#define TEXT(n, check, expected_text)                               \
	{                                                           \
		.name = (n), .type = FIELD_TEXT, .since_schema = 1, \
		.valid = (check), .expected = (expected_text)       \
	}

static const struct kind kinds[KIND_COUNT] = {
	[KIND_REGION] = { .name = "region" },
	[KIND_DOMAIN] = { .name = "failure_domain",
			  .fields = { REFERENCE("region", KIND_REGION),
				      STATE("in", "out") } },
	[KIND_VM] = { .name = "vm",
		      .fields = { REFERENCE("failure_domain", KIND_DOMAIN),
				  REFERENCE("service", KIND_SERVICE),
				  TEXT("peer_address", text_is_address,
				       "an IP address and a port"),
				  STATE("active", "leaving") } },
	[KIND_SERVICE] = { .name = "service",
			   .fields = { INTEGER("slots", 1, 100000),
				       INTEGER("connections", 1, 1000000),
				       INTEGER("cold_slots", 1, 100000),
				       INTEGER("cold_ms", 0, 3600000) } },
	[KIND_ACCOUNT] = { .name = "account",
			   .fields = { INTEGER("rate", 1, 1000000),
				       INTEGER("burst", 1, 10000000),
				       { .name = "weight",
					 .type = FIELD_INT,
					 .since_schema = 2,
					 .min = 1,
					 .max = 1000,
					 .default_value = 1 },
				       STATE("active", "cancelled") } },
	[KIND_KEY] = { .name = "key",
		       .fields = { REFERENCE("account", KIND_ACCOUNT),
				   TEXT("id", text_is_key_id,
					"1 to 64 letters and digits"),
				   TEXT("hash", text_is_hash,
					"64 lower-case hexadecimal digits"),
				   STATE("active", "withdrawn") } },
	[KIND_PRIORITY] = { .name = "priority",
			    .fields = { { .name = "above",
					  .type = FIELD_REFERENCE,
					  .since_schema = 1,
					  .optional = true,
					  .target = KIND_PRIORITY } } },
	[KIND_ROUTE] = { .name = "route",
			 .fields = { TEXT("method", text_is_method,
					  "an upper-case method or \"any\""),
				     TEXT("path_prefix", text_is_path_prefix,
					  "a path from the root without empty "
					  "or dot segments, query or trailing "
					  "slash"),
				     REFERENCE("service", KIND_SERVICE),
				     REFERENCE("priority", KIND_PRIORITY),
				     { .name = "idempotent",
				       .type = FIELD_BOOL,
				       .since_schema = 1 },
				     { .name = "open",
				       .type = FIELD_BOOL,
				       .since_schema = 2,
				       .default_value = 0 },
				     INTEGER("timeout_ms", 1, 3600000),
				     { .name = "max_body_bytes",
				       .type = FIELD_INT,
				       .since_schema = 2,
				       .min = 0,
				       .max = 1048576,
				       .default_value = 1048576 } } },
};

static const struct field *find_field(enum object_kind kind, const char *name)
{
	const struct field *field = kinds[kind].fields;
	size_t i;

	for (i = 0; i < MAX_FIELDS && field[i].name; i++)
		if (!strcmp(field[i].name, name))
			return &field[i];
	return NULL;
}

const char *object_kind_name(enum object_kind kind)
{
	return kinds[kind].name;
}

bool object_kind_parse(const char *name, enum object_kind *kind)
{
	int i;

	for (i = 0; i < KIND_COUNT; i++) {
		if (!strcmp(kinds[i].name, name)) {
			*kind = (enum object_kind)i;
			return true;
		}
	}
	return false;
}

bool config_name_valid(struct base_str name)
{
	return text_is_name(name);
}

static json_t *default_json(const struct field *field)
{
	if (field->type == FIELD_BOOL)
		return json_boolean(field->default_value);
	if (field->type == FIELD_CHOICE)
		return json_string(field->choices[0]);
	return json_integer(field->default_value);
}

void object_upgrade(json_t *json, enum object_kind kind, int schema,
		    const char *source, struct config_report *report)
{
	const struct field *field = kinds[kind].fields;
	struct report_location location = {
		.kind = kinds[kind].name,
		.name = json_string_value(json_object_get(json, "name")),
		.source = source,
	};
	size_t i;

	for (i = 0; i < MAX_FIELDS && field[i].name; i++) {
		json_t *value = json_object_get(json, field[i].name);

		location.field = field[i].name;
		if (field[i].since_schema > schema && value)
			report_add(report, location, value,
				   "not a field of schema %d", schema);
		else if (!value && (field[i].since_schema > schema ||
				    field[i].type == FIELD_CHOICE))
			json_object_set_new(json, field[i].name,
					    default_json(&field[i]));
	}
}

static void check_int(const struct object *object, const struct field *field,
		      const json_t *value, struct config_report *report)
{
	struct report_location location = object_location(object, field->name);
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value))
		report_add(report, location, value, "not a whole number");
	else if (n < field->min || n > field->max)
		report_add(report, location, value,
			   "out of range %" PRId64 " to %" PRId64, field->min,
			   field->max);
}

static void check_value(const struct object *object, const struct field *field,
			const json_t *value, struct config_report *report)
{
	struct report_location location = object_location(object, field->name);
	const char *text = json_string_value(value);

	switch (field->type) {
	case FIELD_INT:
		check_int(object, field, value, report);
		break;
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			report_add(report, location, value,
				   "not true or false");
		break;
	case FIELD_CHOICE:
		if (!text || (strcmp(text, field->choices[0]) != 0 &&
			      strcmp(text, field->choices[1]) != 0))
			report_add(report, location, value,
				   "not \"%s\" or \"%s\"", field->choices[0],
				   field->choices[1]);
		break;
	case FIELD_TEXT:
		if (!text || !field->valid(base_str_from(text)))
			report_add(report, location, value, "not %s",
				   field->expected);
		break;
	case FIELD_REFERENCE:
		if (!text)
			report_add(report, location, value,
				   "not the name of an object of kind %s",
				   kinds[field->target].name);
		break;
	}
}

void object_check_fields(const struct object *object,
			 struct config_report *report)
{
	const struct field *field = kinds[object->kind].fields;
	const char *key;
	json_t *value;
	size_t i;

	if (!config_name_valid(base_str_from(object->name)))
		report_add(report, object_location(object, "name"),
			   json_object_get(object->json, "name"),
			   "not 1 to 64 letters, digits, '.', '_' and '-'");
	json_object_foreach (object->json, key, value) {
		if (!strcmp(key, "kind") || !strcmp(key, "name"))
			continue;
		if (!find_field(object->kind, key))
			report_add(report, object_location(object, key), value,
				   "unknown field");
	}
	for (i = 0; i < MAX_FIELDS && field[i].name; i++) {
		value = json_object_get(object->json, field[i].name);
		if (value)
			check_value(object, &field[i], value, report);
		else if (!field[i].optional)
			report_add(report,
				   object_location(object, field[i].name), NULL,
				   "required field is missing");
	}
}

const char *object_text(const struct object *object, const char *field)
{
	const char *text =
		json_string_value(json_object_get(object->json, field));

	return text ? text : "";
}

int64_t object_int(const struct object *object, const char *field)
{
	return json_integer_value(json_object_get(object->json, field));
}

bool object_bool(const struct object *object, const char *field)
{
	return json_is_true(json_object_get(object->json, field));
}

bool object_text_equals(const struct object *object, const char *field,
			const char *expected)
{
	return !strcmp(object_text(object, field), expected);
}

struct report_location object_location(const struct object *object,
				       const char *field)
{
	return (struct report_location){
		.kind = object_kind_name(object->kind),
		.name = object->name,
		.field = field,
		.source = object->source,
	};
}

void object_for_each_reference(enum object_kind kind, object_reference_cb cb,
			       void *ctx)
{
	const struct field *field = kinds[kind].fields;
	size_t i;

	for (i = 0; i < MAX_FIELDS && field[i].name; i++)
		if (field[i].type == FIELD_REFERENCE)
			cb(ctx, field[i].name, field[i].target);
}
