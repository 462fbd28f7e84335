/* Building of a snapshot from a set that passed config_set_check(). */
#include "snapshot.h"
#include "priority.h"

#include <string.h>

/* Returns an upper bound of the memory for the strings of a snapshot. */
static size_t text_size(const struct config_set *set)
{
	size_t total = 0;
	size_t i;

	for (i = 0; i < set->count; i++) {
		const char *key;
		json_t *value;

		json_object_foreach (set->objects[i]->json, key, value)
			if (json_is_string(value))
				total += json_string_length(value) + 1;
	}
	return total;
}

static struct base_str copy_text(struct snapshot *s, const char *text)
{
	size_t len = strlen(text);
	char *copy = s->texts + s->texts_len;

	memcpy(copy, text, len + 1);
	s->texts_len += len + 1;
	return (struct base_str){ copy, len };
}

static struct base_str object_str(const struct object *object,
				  const char *field)
{
	return base_str_from(object_text(object, field));
}

static void build_regions(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_REGION, &n);
	struct config_region *regions = base_alloc_array(n, sizeof(*regions));

	for (i = 0; i < n; i++)
		regions[i] = (struct config_region){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
		};
	s->pub.regions = regions;
	s->pub.region_count = n;
	free(sorted);
}

static void build_domains(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_DOMAIN, &n);
	struct config_domain *domains = base_alloc_array(n, sizeof(*domains));

	for (i = 0; i < n; i++)
		domains[i] = (struct config_domain){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
			.region = snapshot_find_region(
				&s->pub, object_str(sorted[i], "region")),
			.out = object_text_equals(sorted[i], "state", "out"),
		};
	s->pub.domains = domains;
	s->pub.domain_count = n;
	free(sorted);
}

static void build_services(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_SERVICE, &n);
	struct config_service *services =
		base_alloc_array(n, sizeof(*services));

	for (i = 0; i < n; i++)
		services[i] = (struct config_service){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
			.slots = object_int(sorted[i], "slots"),
			.connections = object_int(sorted[i], "connections"),
			.cold_slots = object_int(sorted[i], "cold_slots"),
			.cold_us =
				object_int(sorted[i], "cold_ms") * BASE_MS_US,
		};
	s->pub.services = services;
	s->pub.service_count = n;
	free(sorted);
}

static void build_vms(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_VM, &n);
	struct config_vm *vms = base_alloc_array(n, sizeof(*vms));

	for (i = 0; i < n; i++)
		vms[i] = (struct config_vm){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
			.domain = config_snapshot_find_domain(
				&s->pub,
				object_str(sorted[i], "failure_domain")),
			.service = config_snapshot_find_service(
				&s->pub, object_str(sorted[i], "service")),
			.address = copy_text(
				s, object_text(sorted[i], "peer_address")),
			.leaving = object_text_equals(sorted[i], "state",
						      "leaving"),
		};
	s->pub.vms = vms;
	s->pub.vm_count = n;
	free(sorted);
}

void snapshot_group_vms(struct snapshot *s)
{
	struct config_service *services =
		(struct config_service *)s->pub.services;
	size_t next = 0;
	size_t i, j;

	s->service_vms =
		base_alloc_array(s->pub.vm_count, sizeof(*s->service_vms));
	for (i = 0; i < s->pub.service_count; i++) {
		services[i].vms = s->service_vms + next;
		for (j = 0; j < s->pub.vm_count; j++)
			if (s->pub.vms[j].service == &services[i])
				s->service_vms[next++] = &s->pub.vms[j];
		services[i].vm_count =
			(size_t)(s->service_vms + next - services[i].vms);
	}
}

static void build_accounts(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_ACCOUNT, &n);
	struct config_account *accounts =
		base_alloc_array(n, sizeof(*accounts));

	for (i = 0; i < n; i++)
		accounts[i] = (struct config_account){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
			.rate = object_int(sorted[i], "rate"),
			.burst = object_int(sorted[i], "burst"),
			.weight = object_int(sorted[i], "weight"),
			.cancelled = object_text_equals(sorted[i], "state",
							"cancelled"),
		};
	s->pub.accounts = accounts;
	s->pub.account_count = n;
	free(sorted);
}

static void build_keys(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_KEY, &n);
	struct config_key *keys = base_alloc_array(n, sizeof(*keys));

	for (i = 0; i < n; i++) {
		keys[i] = (struct config_key){
			.index = i,
			.name = copy_text(s, sorted[i]->name),
			.id = copy_text(s, object_text(sorted[i], "id")),
			.account = config_snapshot_find_account(
				&s->pub, object_str(sorted[i], "account")),
			.withdrawn = object_text_equals(sorted[i], "state",
							"withdrawn"),
		};
		base_digest_parse(object_str(sorted[i], "hash"),
				  &keys[i].digest);
	}
	s->pub.keys = keys;
	s->pub.key_count = n;
	free(sorted);
}

/*
 * The check has excluded forks and cycles, so each height from 0 to n - 1
 * occurs exactly once.
 */
static void build_priorities(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_PRIORITY, &n);
	struct config_priority *priorities =
		base_alloc_array(n, sizeof(*priorities));

	for (i = 0; i < n; i++) {
		size_t height = (size_t)priority_height(set, sorted[i]->name);
		size_t level = n - 1 - height;

		priorities[level] = (struct config_priority){
			.index = level,
			.name = copy_text(s, sorted[i]->name),
			.level = (uint32_t)level,
		};
	}
	s->pub.priorities = priorities;
	s->pub.priority_count = n;
	free(sorted);
}

static const struct config_priority *find_priority(const struct snapshot *s,
						   struct base_str name)
{
	size_t i;

	for (i = 0; i < s->pub.priority_count; i++)
		if (base_str_equal(s->pub.priorities[i].name, name))
			return &s->pub.priorities[i];
	return NULL;
}

static struct config_route build_route(struct snapshot *s,
				       const struct object *object)
{
	struct config_route route = {
		.name = copy_text(s, object->name),
		.path_prefix = copy_text(s, object_text(object, "path_prefix")),
		.service = config_snapshot_find_service(
			&s->pub, object_str(object, "service")),
		.priority = find_priority(s, object_str(object, "priority")),
		.idempotent = object_bool(object, "idempotent"),
		.open = object_bool(object, "open"),
		.timeout_us = object_int(object, "timeout_ms") * BASE_MS_US,
		.max_body_bytes = object_int(object, "max_body_bytes"),
	};

	if (object_text_equals(object, "method", "any"))
		route.method = BASE_STR("");
	else
		route.method = copy_text(s, object_text(object, "method"));
	return route;
}

static void build_routes(struct snapshot *s, const struct config_set *set)
{
	size_t n, i;
	const struct object **sorted = set_sorted(set, KIND_ROUTE, &n);
	struct config_route *routes = base_alloc_array(n, sizeof(*routes));

	for (i = 0; i < n; i++) {
		routes[i] = build_route(s, sorted[i]);
		routes[i].index = i;
	}
	s->pub.routes = routes;
	s->pub.route_count = n;
	free(sorted);
}

struct snapshot *snapshot_build(const struct config_set *set)
{
	struct snapshot *s = base_alloc(sizeof(*s));

	s->texts = base_alloc(text_size(set));
	build_regions(s, set);
	build_domains(s, set);
	build_services(s, set);
	build_vms(s, set);
	snapshot_group_vms(s);
	build_accounts(s, set);
	build_keys(s, set);
	build_priorities(s, set);
	build_routes(s, set);
	snapshot_build_indexes(s);
	return s;
}

void snapshot_free(struct snapshot *s)
{
	free((void *)s->pub.regions);
	free((void *)s->pub.domains);
	free((void *)s->pub.vms);
	free((void *)s->pub.services);
	free((void *)s->pub.accounts);
	free((void *)s->pub.keys);
	free((void *)s->pub.priorities);
	free((void *)s->pub.routes);
	free(s->service_vms);
	free(s->splits);
	free(s->keys_by_id);
	free(s->routes_by_path);
	free(s->texts);
	free(s);
}
