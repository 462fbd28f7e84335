/* Kinds of objects, their fields and the validation of a single object. */
#ifndef CONFIG_OBJECT_H
#define CONFIG_OBJECT_H

#include "report.h"

#include <uthash.h>

enum object_kind {
	KIND_REGION,
	KIND_DOMAIN,
	KIND_VM,
	KIND_SERVICE,
	KIND_ACCOUNT,
	KIND_KEY,
	KIND_PRIORITY,
	KIND_ROUTE,
	KIND_COUNT,
};

struct object {
	enum object_kind kind;
	const char *name;
	const char *source;
	json_t *json;
	/** Earlier object of the same kind and name, or NULL. */
	const struct object *duplicate_of;
	UT_hash_handle hh;
};

const char *object_kind_name(enum object_kind kind);
bool object_kind_parse(const char *name, enum object_kind *kind);

/**
 * Upgrades @p json from @p schema to CONFIG_SCHEMA: adds absent fields that
 * @p schema does not have and the default of an absent state. Reports members
 * that @p schema does not have.
 */
void object_upgrade(json_t *json, enum object_kind kind, int schema,
		    const char *source, struct config_report *report);
/** Reports unknown, missing and invalid fields. */
void object_check_fields(const struct object *object,
			 struct config_report *report);

/**
 * Return the value of a field, or "", 0 or false when it is absent or of
 * another type.
 */
const char *object_text(const struct object *object, const char *field);
int64_t object_int(const struct object *object, const char *field);
bool object_bool(const struct object *object, const char *field);
/** Compares the value of object_text() with @p expected. */
bool object_text_equals(const struct object *object, const char *field,
			const char *expected);
struct report_location object_location(const struct object *object,
				       const char *field);

/**
 * @param field   field that names another object
 * @param target  kind of that object
 */
typedef void (*object_reference_cb)(void *ctx, const char *field,
				    enum object_kind target);
/** Calls @p cb for each field of @p kind that names another object. */
void object_for_each_reference(enum object_kind kind, object_reference_cb cb,
			       void *ctx);

#endif
