/* Check of a whole set. */
#include "parts.h"
#include "priority.h"
#include "route_order.h"
#include "unique.h"

#include <inttypes.h>
#include <string.h>

struct reference_ctx {
	const struct config_set *set;
	const struct object *object;
	struct config_report *report;
};

static void check_reference(void *ctx, const char *field,
			    enum object_kind target)
{
	struct reference_ctx *c = ctx;
	const json_t *value = json_object_get(c->object->json, field);

	if (!json_is_string(value))
		return;
	if (!set_find(c->set, target, json_string_value(value)))
		report_add(c->report, object_location(c->object, field), value,
			   "there is no %s of this name",
			   object_kind_name(target));
}

static void check_object(const struct config_set *set,
			 const struct object *object,
			 struct config_report *report)
{
	struct reference_ctx ctx = { set, object, report };

	if (object->duplicate_of)
		report_add(report, object_location(object, "name"),
			   json_object_get(object->json, "name"),
			   "duplicate name, first in %s",
			   object->duplicate_of->source);
	object_check_fields(object, report);
	object_for_each_reference(object->kind, check_reference, &ctx);
}

static int compare_strings(const void *a, const void *b)
{
	const char *const *x = a;
	const char *const *y = b;

	return strcmp(*x, *y);
}

/*
 * Returns the sorted names of the services that VMs refer to. The caller frees
 * the array.
 */
static const char **used_services(const struct config_set *set, size_t *count)
{
	size_t n = HASH_COUNT(set->by_name[KIND_VM]);
	const char **names = base_alloc_array(n, sizeof(*names));
	const struct object *vm, *next;
	size_t i = 0;

	HASH_ITER (hh, set->by_name[KIND_VM], vm, next)
		names[i++] = object_text(vm, "service");
	qsort(names, n, sizeof(*names), compare_strings);
	*count = n;
	return names;
}

static void check_services(const struct config_set *set,
			   struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_SERVICE, &count);
	size_t used_count;
	const char **used = used_services(set, &used_count);

	for (i = 0; i < count; i++) {
		const struct object *service = sorted[i];

		if (!bsearch(&service->name, used, used_count, sizeof(*used),
			     compare_strings))
			report_add(report, object_location(service, "name"),
				   json_object_get(service->json, "name"),
				   "service without servers: no vm names it");
		if (object_int(service, "cold_slots") >
		    object_int(service, "slots"))
			report_add(report,
				   object_location(service, "cold_slots"),
				   json_object_get(service->json, "cold_slots"),
				   "greater than slots");
	}
	free(used);
	free(sorted);
}

/* Each failure domain must hold at least one token of an account's burst. */
static void check_bursts(const struct config_set *set,
			 struct config_report *report)
{
	int64_t domains = HASH_COUNT(set->by_name[KIND_DOMAIN]);
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_ACCOUNT, &count);

	for (i = 0; i < count; i++) {
		const json_t *burst = json_object_get(sorted[i]->json, "burst");

		if (json_is_integer(burst) &&
		    json_integer_value(burst) < domains)
			report_add(report, object_location(sorted[i], "burst"),
				   burst,
				   "below the number of failure domains, "
				   "%" PRId64,
				   domains);
	}
	free(sorted);
}

static void check_sizes(const struct config_set *set,
			struct config_report *report)
{
	struct base_buf parts[PARTS_COUNT] = { 0 };
	size_t i;

	parts_render(set, parts);
	for (i = 0; i < PARTS_COUNT; i++) {
		char name[32];

		if (parts[i].len > CONFIG_VALUE_MAX_BYTES) {
			json_t *size = json_integer((json_int_t)parts[i].len);

			parts_name(i, name);
			report_add(report,
				   (struct report_location){ .kind = "part",
							     .name = name,
							     .field = "size" },
				   size, "value over %d bytes",
				   CONFIG_VALUE_MAX_BYTES);
			json_decref(size);
		}
		base_buf_release(&parts[i]);
	}
}

enum config_status config_set_check(const struct config_set *set,
				    struct config_report *report)
{
	size_t before = report->count;
	size_t i;

	for (i = 0; i < set->parse_problems.count; i++)
		report_append_copy(report, &set->parse_problems.problems[i]);
	if (!set->count && report->count == before)
		report_add(report, (struct report_location){ 0 }, NULL,
			   "the set has no objects");
	for (i = 0; i < set->count; i++)
		check_object(set, set->objects[i], report);
	unique_check(set, report);
	priority_check_chain(set, report);
	check_services(set, report);
	check_bursts(set, report);
	route_order_check(set, report);
	check_sizes(set, report);
	return report->count == before ? CONFIG_OK : CONFIG_ERR_PROBLEMS;
}
