/* Parsing of the platform's list of VMs. */
#include "config.h"

#include <jansson.h>
#include <string.h>

static int compare_vms(const void *a, const void *b)
{
	const struct config_vm_state *x = a;
	const struct config_vm_state *y = b;

	return strcmp(x->name, y->name);
}

static bool parse_vm(struct config_vm_state *vm, const json_t *json)
{
	const char *name = json_string_value(json_object_get(json, "name"));
	const char *state = json_string_value(json_object_get(json, "state"));

	if (!name || !state)
		return false;
	vm->leaving = !strcmp(state, "leaving");
	if (!vm->leaving && strcmp(state, "live") != 0)
		return false;
	vm->name = base_str_dup(base_str_from(name));
	return true;
}

static bool parse_vms(struct config_vm_list *list, const json_t *vms,
		      struct base_error *err)
{
	size_t count = json_array_size(vms);
	size_t i;

	list->vms = base_alloc_array(count, sizeof(*list->vms));
	for (i = 0; i < count; i++) {
		if (!parse_vm(&list->vms[i], json_array_get(vms, i))) {
			base_error_set(err, "vms: entry %zu is not valid",
				       i + 1);
			return false;
		}
		list->count++;
	}
	qsort(list->vms, count, sizeof(*list->vms), compare_vms);
	for (i = 1; i < count; i++) {
		if (!strcmp(list->vms[i].name, list->vms[i - 1].name)) {
			base_error_set(err, "vms: \"%s\" is listed twice",
				       list->vms[i].name);
			return false;
		}
	}
	return true;
}

struct config_vm_list *config_vm_list_parse(struct base_str text,
					    struct base_error *err)
{
	struct config_vm_list *list;
	json_error_t json_err;
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
				  JSON_REJECT_DUPLICATES, &json_err);
	const json_t *vms = json_object_get(root, "vms");

	if (!json_is_array(vms)) {
		base_error_set(err, "vms: %s",
			       root ? "\"vms\" is not an array"
				    : json_err.text);
		json_decref(root);
		return NULL;
	}
	list = base_alloc(sizeof(*list));
	if (!parse_vms(list, vms, err)) {
		config_vm_list_destroy(list);
		list = NULL;
	}
	json_decref(root);
	return list;
}

void config_vm_list_destroy(struct config_vm_list *list)
{
	size_t i;

	if (!list)
		return;
	for (i = 0; i < list->count; i++)
		free(list->vms[i].name);
	free(list->vms);
	free(list);
}

const struct config_vm_state *
config_vm_list_find(const struct config_vm_list *list, struct base_str name)
{
	size_t low = 0;
	size_t high = list->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = base_str_compare(
			base_str_from(list->vms[middle].name), name);

		if (!order)
			return &list->vms[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}
