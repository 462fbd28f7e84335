/* Check of the priorities that the routes of a service use. */
#include "route_order.h"
#include "priority.h"

#include <string.h>

struct entry {
	const struct object *route;
	const char *service;
	/** Result of priority_height(); -1 when it is unknown. */
	int64_t height;
	bool idempotent;
};

static int compare_entries(const void *a, const void *b)
{
	const struct entry *x = a;
	const struct entry *y = b;
	int order = strcmp(x->service, y->service);

	return order ? order : strcmp(x->route->name, y->route->name);
}

static const struct entry *highest_idempotent(const struct entry *group,
					      size_t count)
{
	const struct entry *highest = NULL;
	size_t i;

	for (i = 0; i < count; i++)
		if (group[i].idempotent &&
		    (!highest || group[i].height > highest->height))
			highest = &group[i];
	return highest;
}

static void check_group(const struct entry *group, size_t count,
			struct config_report *report)
{
	const struct entry *highest = highest_idempotent(group, count);
	size_t i;

	for (i = 0; highest && i < count; i++) {
		const struct object *route = group[i].route;

		if (group[i].idempotent || group[i].height < 0 ||
		    group[i].height >= highest->height)
			continue;
		report_add(report, object_location(route, "priority"),
			   json_object_get(route->json, "priority"),
			   "non-idempotent route in a lower priority than "
			   "idempotent route \"%s\" of the same service",
			   highest->route->name);
	}
}

void route_order_check(const struct config_set *set,
		       struct config_report *report)
{
	size_t n = HASH_COUNT(set->by_name[KIND_ROUTE]);
	struct entry *entries = base_alloc_array(n, sizeof(*entries));
	const struct object *route, *next;
	size_t count = 0;
	size_t start, end;

	HASH_ITER (hh, set->by_name[KIND_ROUTE], route, next)
		entries[count++] = (struct entry){
			.route = route,
			.service = object_text(route, "service"),
			.height = priority_height(
				set, object_text(route, "priority")),
			.idempotent = object_bool(route, "idempotent"),
		};
	qsort(entries, count, sizeof(*entries), compare_entries);
	for (start = 0; start < count; start = end) {
		end = start + 1;
		while (end < count &&
		       !strcmp(entries[end].service, entries[start].service))
			end++;
		check_group(&entries[start], end - start, report);
	}
	free(entries);
}
