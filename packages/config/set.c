/* Collection of objects from documents into a set. */
#include "set.h"

#include <string.h>

struct config_set *config_set_create(void)
{
	return base_alloc(sizeof(struct config_set));
}

void config_set_destroy(struct config_set *set)
{
	size_t i;

	if (!set)
		return;
	for (i = 0; i < KIND_COUNT; i++)
		HASH_CLEAR(hh, set->by_name[i]);
	for (i = 0; i < set->count; i++) {
		json_decref(set->objects[i]->json);
		free(set->objects[i]);
	}
	for (i = 0; i < set->source_count; i++)
		free(set->sources[i]);
	free(set->objects);
	free(set->sources);
	config_report_release(&set->parse_problems);
	free(set);
}

void config_set_cleanup(struct config_set **set)
{
	config_set_destroy(*set);
}

size_t config_set_count(const struct config_set *set)
{
	return set->count;
}

const struct object *set_find(const struct config_set *set,
			      enum object_kind kind, const char *name)
{
	struct object *found;

	HASH_FIND_STR(set->by_name[kind], name, found);
	return found;
}

static int compare_names(const void *a, const void *b)
{
	const struct object *const *x = a;
	const struct object *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

const struct object **set_sorted(const struct config_set *set,
				 enum object_kind kind, size_t *count)
{
	size_t n = HASH_COUNT(set->by_name[kind]);
	const struct object **sorted = base_alloc_array(n, sizeof(*sorted));
	struct object *object, *next;
	size_t i = 0;

	HASH_ITER (hh, set->by_name[kind], object, next)
		sorted[i++] = object;
	qsort(sorted, n, sizeof(*sorted), compare_names);
	*count = n;
	return sorted;
}

static const char *add_source(struct config_set *set, const char *source)
{
	char *copy = base_str_dup(base_str_from(source));

	set->sources = base_realloc(
		set->sources, (set->source_count + 1) * sizeof(*set->sources));
	set->sources[set->source_count++] = copy;
	return copy;
}

static void append(struct config_set *set, struct object *object)
{
	struct object *first;

	if (set->count == set->cap) {
		set->cap = set->cap ? set->cap * 2 : 64;
		set->objects = base_realloc(set->objects,
					    set->cap * sizeof(*set->objects));
	}
	set->objects[set->count++] = object;
	HASH_FIND_STR(set->by_name[object->kind], object->name, first);
	object->duplicate_of = first;
	if (!first)
		HASH_ADD_KEYPTR(hh, set->by_name[object->kind], object->name,
				strlen(object->name), object);
}

static void add_object(struct config_set *set, json_t *json, int schema,
		       const char *source)
{
	const json_t *kind_value = json_object_get(json, "kind");
	const char *kind_name = json_string_value(kind_value);
	const json_t *name_value = json_object_get(json, "name");
	const char *name = json_string_value(name_value);
	struct report_location location = { .kind = kind_name,
					    .name = name,
					    .source = source };
	enum object_kind kind;
	struct object *object;

	if (!json_is_object(json)) {
		report_add(&set->parse_problems, location, json,
			   "not an object");
		return;
	}
	if (!kind_name || !object_kind_parse(kind_name, &kind)) {
		location.field = "kind";
		report_add(&set->parse_problems, location, kind_value,
			   kind_value ? "unknown kind" : "kind is missing");
		return;
	}
	if (!name) {
		location.field = "name";
		report_add(&set->parse_problems, location, name_value,
			   name_value ? "not a name" : "name is missing");
		return;
	}
	object_upgrade(json, kind, schema, source, &set->parse_problems);
	object = base_alloc(sizeof(*object));
	object->kind = kind;
	object->name = name;
	object->source = source;
	object->json = json_incref(json);
	append(set, object);
}

static enum config_status check_document(const json_t *root, const char *source,
					 struct base_error *err)
{
	const json_t *schema = json_object_get(root, "schema");
	json_int_t n = json_integer_value(schema);

	if (!json_is_object(root)) {
		base_error_set(err, "%s: not a JSON object", source);
		return CONFIG_ERR_SYNTAX;
	}
	if (!json_is_integer(schema) || n < 1 || n > CONFIG_SCHEMA) {
		base_error_set(err, "%s: schema is not 1 or %d", source,
			       CONFIG_SCHEMA);
		return CONFIG_ERR_SCHEMA;
	}
	if (!json_is_array(json_object_get(root, "objects"))) {
		base_error_set(err, "%s: \"objects\" is not an array", source);
		return CONFIG_ERR_SYNTAX;
	}
	return CONFIG_OK;
}

static void check_members(struct config_set *set, json_t *root,
			  const char *source)
{
	struct report_location location = { .source = source };
	const char *key;
	json_t *value;

	json_object_foreach (root, key, value) {
		if (!strcmp(key, "schema") || !strcmp(key, "objects"))
			continue;
		location.field = key;
		report_add(&set->parse_problems, location, value,
			   "unknown field");
	}
}

enum config_status config_set_add(struct config_set *set, const char *source,
				  struct base_str text, struct base_error *err)
{
	json_error_t json_err;
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
				  JSON_REJECT_DUPLICATES, &json_err);
	enum config_status status;
	json_t *objects;
	int schema;
	size_t i;

	if (!root) {
		base_error_set(err, "%s:%d:%d: %s", source, json_err.line,
			       json_err.column, json_err.text);
		return CONFIG_ERR_SYNTAX;
	}
	status = check_document(root, source, err);
	if (!status) {
		source = add_source(set, source);
		check_members(set, root, source);
		schema = (int)json_integer_value(
			json_object_get(root, "schema"));
		objects = json_object_get(root, "objects");
		for (i = 0; i < json_array_size(objects); i++)
			add_object(set, json_array_get(objects, i), schema,
				   source);
	}
	json_decref(root);
	return status;
}
