/* Check of fields whose values must be unique among objects of a kind. */
#include "unique.h"

#include <string.h>

struct entry {
	char *value;
	const struct object *object;
	/** Position by name; keeps the result independent of the sort. */
	size_t order;
};

static int compare_entries(const void *a, const void *b)
{
	const struct entry *x = a;
	const struct entry *y = b;
	int c = strcmp(x->value, y->value);

	if (c)
		return c;
	return (x->order > y->order) - (x->order < y->order);
}

/*
 * Returns the value of @p field, preceded by that of @p scope_field unless it
 * is NULL. The caller frees the result.
 */
static char *join_fields(const struct object *object, const char *field,
			 const char *scope_field)
{
	struct base_buf text = BASE_BUF_INIT;

	base_buf_addf(&text, "%s%s%s",
		      scope_field ? object_text(object, scope_field) : "",
		      scope_field ? " " : "", object_text(object, field));
	return text.ptr;
}

/*
 * Reports objects with equal values of @p field. With a @p scope_field, only
 * objects that agree in it too are compared.
 */
static void check_field(const struct config_set *set, enum object_kind kind,
			const char *field, const char *scope_field,
			struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, kind, &count);
	struct entry *entries = base_alloc_array(count, sizeof(*entries));

	for (i = 0; i < count; i++)
		entries[i] = (struct entry){
			join_fields(sorted[i], field, scope_field), sorted[i], i
		};
	qsort(entries, count, sizeof(*entries), compare_entries);
	for (i = 1; i < count; i++) {
		const struct object *object = entries[i].object;

		if (strcmp(entries[i].value, entries[i - 1].value) != 0 ||
		    !*object_text(object, field))
			continue;
		report_add(report, object_location(object, field),
			   json_object_get(object->json, field),
			   "already used by %s \"%s\"%s%s",
			   object_kind_name(kind), entries[i - 1].object->name,
			   scope_field ? " with the same " : "",
			   scope_field ? scope_field : "");
	}
	for (i = 0; i < count; i++)
		free(entries[i].value);
	free(entries);
	free(sorted);
}

void unique_check(const struct config_set *set, struct config_report *report)
{
	check_field(set, KIND_KEY, "id", NULL, report);
	check_field(set, KIND_KEY, "hash", NULL, report);
	check_field(set, KIND_VM, "peer_address", NULL, report);
	check_field(set, KIND_ROUTE, "path_prefix", "method", report);
}
