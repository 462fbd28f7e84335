/* Deep copy of a snapshot. */
#include "snapshot.h"

#include <string.h>

/*
 * Strings are copied in two passes: the first one adds up their sizes, the
 * second one copies them into one allocation of that size.
 */
struct copy_ctx {
	/** NULL in the first pass. */
	struct snapshot *to;
	/** Result of the first pass: bytes of all strings with their NULs. */
	size_t text_bytes;
};

static struct base_str copy_text(struct copy_ctx *c, struct base_str text)
{
	struct snapshot *s = c->to;
	char *copy;

	if (!s) {
		c->text_bytes += text.len + 1;
		return text;
	}
	copy = s->texts + s->texts_len;
	if (text.len)
		memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	s->texts_len += text.len + 1;
	return (struct base_str){ copy, text.len };
}

static void *copy_array(const void *array, size_t count, size_t size)
{
	void *copy = base_alloc_array(count, size);

	if (count)
		memcpy(copy, array, count * size);
	return copy;
}

#define COPY_ARRAY(from, field, n) \
	copy_array((from)->field, (from)->n, sizeof(*(from)->field))

static void copy_topology(struct copy_ctx *c, struct config_region *regions,
			  struct config_domain *domains,
			  const struct config_snapshot *from)
{
	size_t i;

	for (i = 0; i < from->region_count; i++)
		regions[i].name = copy_text(c, from->regions[i].name);
	for (i = 0; i < from->domain_count; i++) {
		domains[i].name = copy_text(c, from->domains[i].name);
		domains[i].region = &regions[from->domains[i].region->index];
	}
}

static void copy_vms(struct copy_ctx *c, struct config_vm *vms,
		     const struct config_snapshot *from,
		     const struct config_snapshot *to)
{
	size_t i;

	for (i = 0; i < from->vm_count; i++) {
		const struct config_vm *vm = &from->vms[i];

		vms[i].name = copy_text(c, vm->name);
		vms[i].address = copy_text(c, vm->address);
		vms[i].instance = copy_text(c, vm->instance);
		vms[i].backend = copy_text(c, vm->backend);
		vms[i].domain = &to->domains[vm->domain->index];
		vms[i].service = &to->services[vm->service->index];
	}
}

static void copy_accounts(struct copy_ctx *c, struct config_account *accounts,
			  struct config_key *keys,
			  const struct config_snapshot *from,
			  const struct config_snapshot *to)
{
	size_t i;

	for (i = 0; i < from->account_count; i++) {
		const struct config_account *a = &from->accounts[i];

		accounts[i].name = copy_text(c, a->name);
		if (a->priority)
			accounts[i].priority =
				&to->priorities[a->priority->index];
	}
	for (i = 0; i < from->key_count; i++) {
		keys[i].name = copy_text(c, from->keys[i].name);
		keys[i].id = copy_text(c, from->keys[i].id);
		keys[i].account = &to->accounts[from->keys[i].account->index];
	}
}

static void copy_routes(struct copy_ctx *c, struct config_route *routes,
			struct config_split *splits,
			const struct config_snapshot *from,
			const struct config_snapshot *to)
{
	size_t i, j;

	for (i = 0; i < from->route_count; i++) {
		const struct config_route *r = &from->routes[i];

		routes[i].name = copy_text(c, r->name);
		routes[i].host = copy_text(c, r->host);
		routes[i].method = copy_text(c, r->method);
		routes[i].path_prefix = copy_text(c, r->path_prefix);
		routes[i].service = &to->services[r->service->index];
		routes[i].priority = &to->priorities[r->priority->index];
		routes[i].splits = splits;
		for (j = 0; j < r->split_count; j++)
			*splits++ = (struct config_split){
				&to->services[r->splits[j].service->index],
				r->splits[j].weight,
			};
	}
}

static size_t count_splits(const struct config_snapshot *s)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < s->route_count; i++)
		n += s->routes[i].split_count;
	return n;
}

static void copy_names(struct copy_ctx *c, struct config_service *services,
		       struct config_priority *priorities,
		       const struct config_snapshot *from)
{
	size_t i;

	for (i = 0; i < from->service_count; i++) {
		services[i].name = copy_text(c, from->services[i].name);
		services[i].health_path =
			copy_text(c, from->services[i].health_path);
	}
	for (i = 0; i < from->priority_count; i++)
		priorities[i].name = copy_text(c, from->priorities[i].name);
}

static void copy_all(struct copy_ctx *c, struct config_snapshot *to,
		     struct config_split *splits,
		     const struct config_snapshot *from)
{
	copy_topology(c, (struct config_region *)to->regions,
		      (struct config_domain *)to->domains, from);
	copy_names(c, (struct config_service *)to->services,
		   (struct config_priority *)to->priorities, from);
	copy_vms(c, (struct config_vm *)to->vms, from, to);
	copy_accounts(c, (struct config_account *)to->accounts,
		      (struct config_key *)to->keys, from, to);
	copy_routes(c, (struct config_route *)to->routes, splits, from, to);
}

static struct snapshot *copy_arrays(const struct config_snapshot *from)
{
	struct snapshot *s = base_alloc(sizeof(*s));

	s->pub = *from;
	s->pub.regions = COPY_ARRAY(from, regions, region_count);
	s->pub.domains = COPY_ARRAY(from, domains, domain_count);
	s->pub.vms = COPY_ARRAY(from, vms, vm_count);
	s->pub.services = COPY_ARRAY(from, services, service_count);
	s->pub.accounts = COPY_ARRAY(from, accounts, account_count);
	s->pub.keys = COPY_ARRAY(from, keys, key_count);
	s->pub.priorities = COPY_ARRAY(from, priorities, priority_count);
	s->pub.routes = COPY_ARRAY(from, routes, route_count);
	s->splits = base_alloc_array(count_splits(from), sizeof(*s->splits));
	return s;
}

const struct config_snapshot *
config_snapshot_copy(const struct config_snapshot *draft)
{
	struct snapshot *s = copy_arrays(draft);
	struct copy_ctx measure = { 0 };
	struct copy_ctx copy = { .to = s };

	copy_all(&measure, &s->pub, s->splits, draft);
	s->texts = base_alloc(measure.text_bytes);
	copy_all(&copy, &s->pub, s->splits, draft);
	snapshot_group_vms(s);
	snapshot_build_indexes(s);
	atomic_init(&s->refs, 1);
	return &s->pub;
}
