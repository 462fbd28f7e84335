/*
 * The order of priorities. They form a chain: each priority names the one
 * directly below it in its field `above`; the lowest one omits the field.
 */
#include "priority.h"

#include <string.h>

int64_t priority_height(const struct config_set *set, const char *name)
{
	const struct object *object = set_find(set, KIND_PRIORITY, name);
	int64_t limit = HASH_COUNT(set->by_name[KIND_PRIORITY]);
	int64_t height = 0;

	if (limit > PRIORITY_MAX_COUNT)
		limit = PRIORITY_MAX_COUNT;
	while (object && height < limit) {
		const char *below = object_text(object, "above");

		if (!*below)
			return height;
		object = set_find(set, KIND_PRIORITY, below);
		height++;
	}
	return -1;
}

/* Follows at most as many links as there are priorities. */
static bool is_on_cycle(const struct config_set *set,
			const struct object *start)
{
	const struct object *object = start;
	size_t limit = HASH_COUNT(set->by_name[KIND_PRIORITY]);
	size_t i;

	for (i = 0; i < limit && object; i++) {
		object = set_find(set, KIND_PRIORITY,
				  object_text(object, "above"));
		if (object == start)
			return true;
	}
	return false;
}

/*
 * Reports two priorities that are directly above the same one, or two lowest
 * priorities.
 */
static void check_fork(const struct object *object, const struct object *other,
		       struct config_report *report)
{
	const char *below = object_text(object, "above");
	struct report_location location = object_location(object, "above");

	if (strcmp(below, object_text(other, "above")) != 0)
		return;
	if (*below)
		report_add(report, location,
			   json_object_get(object->json, "above"),
			   "fork: priority \"%s\" is directly above the same "
			   "priority",
			   other->name);
	else
		report_add(report, location, NULL,
			   "fork: priority \"%s\" is also a lowest priority",
			   other->name);
}

void priority_check_chain(const struct config_set *set,
			  struct config_report *report)
{
	size_t count, i, j;
	const struct object **sorted = set_sorted(set, KIND_PRIORITY, &count);

	if (count > PRIORITY_MAX_COUNT) {
		report_add(report,
			   object_location(sorted[PRIORITY_MAX_COUNT], "name"),
			   NULL, "more than %d priorities", PRIORITY_MAX_COUNT);
		count = 0;
	}
	for (i = 0; i < count; i++) {
		if (is_on_cycle(set, sorted[i]))
			report_add(report, object_location(sorted[i], "above"),
				   json_object_get(sorted[i]->json, "above"),
				   "cycle: the chain returns to this priority");
		for (j = 0; j < i; j++)
			check_fork(sorted[i], sorted[j], report);
	}
	free(sorted);
}
