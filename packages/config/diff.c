/* Comparison of two sets. */
#include "set.h"

#include <string.h>

static struct config_change *append(struct config_diff *diff,
				    enum config_change_type type,
				    const struct object *object,
				    const char *field)
{
	struct config_change *change;

	if (diff->count == diff->cap) {
		diff->cap = diff->cap ? diff->cap * 2 : 8;
		diff->changes = base_realloc(
			diff->changes, diff->cap * sizeof(*diff->changes));
	}
	change = &diff->changes[diff->count++];
	change->type = type;
	change->kind =
		base_str_dup(base_str_from(object_kind_name(object->kind)));
	change->name = base_str_dup(base_str_from(object->name));
	change->field = base_str_dup(base_str_from(field));
	change->before = NULL;
	change->after = NULL;
	return change;
}

static char *value_to_text(const json_t *value)
{
	return report_value_text(value, SIZE_MAX);
}

static void add_field_change(struct config_diff *diff,
			     const struct object *object, const char *field,
			     const json_t *before, const json_t *after)
{
	struct config_change *change;

	if (before && after && json_equal(before, after))
		return;
	change = append(diff, CONFIG_CHANGE_FIELD, object, field);
	change->before = value_to_text(before);
	change->after = value_to_text(after);
}

static int compare_strings(const void *a, const void *b)
{
	const char *const *x = a;
	const char *const *y = b;

	return strcmp(*x, *y);
}

static void diff_fields(struct config_diff *diff, const struct object *before,
			const struct object *after)
{
	size_t max =
		json_object_size(before->json) + json_object_size(after->json);
	const char **names = base_alloc_array(max, sizeof(*names));
	size_t count = 0;
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach (before->json, name, value)
		names[count++] = name;
	json_object_foreach (after->json, name, value)
		if (!json_object_get(before->json, name))
			names[count++] = name;
	qsort(names, count, sizeof(*names), compare_strings);
	for (i = 0; i < count; i++)
		add_field_change(diff, after, names[i],
				 json_object_get(before->json, names[i]),
				 json_object_get(after->json, names[i]));
	free(names);
}

static void add_object_change(struct config_diff *diff,
			      enum config_change_type type,
			      const struct object *object)
{
	bool added = type == CONFIG_CHANGE_ADDED;
	struct config_change *change = append(diff, type, object, "");

	change->before = value_to_text(added ? NULL : object->json);
	change->after = value_to_text(added ? object->json : NULL);
}

static void diff_kind(const struct config_set *before,
		      const struct config_set *after, enum object_kind kind,
		      struct config_diff *diff)
{
	size_t n, m;
	const struct object **old = set_sorted(before, kind, &n);
	const struct object **new = set_sorted(after, kind, &m);
	size_t i = 0;
	size_t j = 0;

	while (i < n || j < m) {
		int order = 0;

		if (i < n && j < m)
			order = strcmp(old[i]->name, new[j]->name);
		else
			order = i < n ? -1 : 1;
		if (order < 0)
			add_object_change(diff, CONFIG_CHANGE_REMOVED,
					  old[i++]);
		else if (order > 0)
			add_object_change(diff, CONFIG_CHANGE_ADDED, new[j++]);
		else
			diff_fields(diff, old[i++], new[j++]);
	}
	free(old);
	free(new);
}

void config_set_diff(const struct config_set *before,
		     const struct config_set *after, struct config_diff *diff)
{
	int kind;

	for (kind = 0; kind < KIND_COUNT; kind++)
		diff_kind(before, after, (enum object_kind)kind, diff);
}

void config_diff_release(struct config_diff *diff)
{
	size_t i;

	for (i = 0; i < diff->count; i++) {
		struct config_change *change = &diff->changes[i];

		free(change->kind);
		free(change->name);
		free(change->field);
		free(change->before);
		free(change->after);
	}
	free(diff->changes);
	*diff = CONFIG_DIFF_INIT;
}
