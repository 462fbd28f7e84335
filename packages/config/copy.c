/* Copying a snapshot, with all its texts and references. */
#include "snapshot.h"

#include <string.h>

/* Adds up the texts on a first pass and copies them on a second one. */
struct copier {
	struct snapshot *to;
	size_t needed;
};

static struct base_str keep(struct copier *c, struct base_str text)
{
	struct snapshot *s = c->to;
	char *copy;

	if (!s) {
		c->needed += text.len + 1;
		return text;
	}
	copy = s->texts + s->texts_len;
	if (text.len)
		memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	s->texts_len += text.len + 1;
	return (struct base_str){ copy, text.len };
}

static void *duplicate(const void *array, size_t count, size_t size)
{
	void *copy = base_alloc_array(count, size);

	if (count)
		memcpy(copy, array, count * size);
	return copy;
}

#define DUPLICATE(from, field, n) \
	duplicate((from)->field, (from)->n, sizeof(*(from)->field))

static void copy_places(struct copier *c, struct config_region *regions,
			struct config_domain *domains,
			const struct config_snapshot *from)
{
	size_t i;

	for (i = 0; i < from->region_count; i++)
		regions[i].name = keep(c, from->regions[i].name);
	for (i = 0; i < from->domain_count; i++) {
		domains[i].name = keep(c, from->domains[i].name);
		domains[i].region = &regions[from->domains[i].region->index];
	}
}

static void copy_vms(struct copier *c, struct config_vm *vms,
		     const struct config_snapshot *from,
		     const struct config_snapshot *to)
{
	size_t i;

	for (i = 0; i < from->vm_count; i++) {
		const struct config_vm *vm = &from->vms[i];

		vms[i].name = keep(c, vm->name);
		vms[i].address = keep(c, vm->address);
		vms[i].instance = keep(c, vm->instance);
		vms[i].backend = keep(c, vm->backend);
		vms[i].domain = &to->domains[vm->domain->index];
		vms[i].service = &to->services[vm->service->index];
	}
}

static void copy_accounts(struct copier *c, struct config_account *accounts,
			  struct config_key *keys,
			  const struct config_snapshot *from,
			  const struct config_snapshot *to)
{
	size_t i;

	for (i = 0; i < from->account_count; i++) {
		const struct config_account *a = &from->accounts[i];

		accounts[i].name = keep(c, a->name);
		if (a->priority)
			accounts[i].priority =
				&to->priorities[a->priority->index];
	}
	for (i = 0; i < from->key_count; i++) {
		keys[i].name = keep(c, from->keys[i].name);
		keys[i].id = keep(c, from->keys[i].id);
		keys[i].account = &to->accounts[from->keys[i].account->index];
	}
}

static void copy_routes(struct copier *c, struct config_route *routes,
			struct config_split *splits,
			const struct config_snapshot *from,
			const struct config_snapshot *to)
{
	size_t i, j;

	for (i = 0; i < from->route_count; i++) {
		const struct config_route *r = &from->routes[i];

		routes[i].name = keep(c, r->name);
		routes[i].host = keep(c, r->host);
		routes[i].method = keep(c, r->method);
		routes[i].path_prefix = keep(c, r->path_prefix);
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

static void copy_names(struct copier *c, struct config_service *services,
		       struct config_priority *priorities,
		       const struct config_snapshot *from)
{
	size_t i;

	for (i = 0; i < from->service_count; i++) {
		services[i].name = keep(c, from->services[i].name);
		services[i].health_path =
			keep(c, from->services[i].health_path);
	}
	for (i = 0; i < from->priority_count; i++)
		priorities[i].name = keep(c, from->priorities[i].name);
}

static void copy_all(struct copier *c, struct config_snapshot *to,
		     struct config_split *splits,
		     const struct config_snapshot *from)
{
	copy_places(c, (struct config_region *)to->regions,
		    (struct config_domain *)to->domains, from);
	copy_names(c, (struct config_service *)to->services,
		   (struct config_priority *)to->priorities, from);
	copy_vms(c, (struct config_vm *)to->vms, from, to);
	copy_accounts(c, (struct config_account *)to->accounts,
		      (struct config_key *)to->keys, from, to);
	copy_routes(c, (struct config_route *)to->routes, splits, from, to);
}

static struct snapshot *duplicate_arrays(const struct config_snapshot *from)
{
	struct snapshot *s = base_alloc(sizeof(*s));

	s->pub = *from;
	s->pub.regions = DUPLICATE(from, regions, region_count);
	s->pub.domains = DUPLICATE(from, domains, domain_count);
	s->pub.vms = DUPLICATE(from, vms, vm_count);
	s->pub.services = DUPLICATE(from, services, service_count);
	s->pub.accounts = DUPLICATE(from, accounts, account_count);
	s->pub.keys = DUPLICATE(from, keys, key_count);
	s->pub.priorities = DUPLICATE(from, priorities, priority_count);
	s->pub.routes = DUPLICATE(from, routes, route_count);
	s->splits = base_alloc_array(count_splits(from), sizeof(*s->splits));
	return s;
}

const struct config_snapshot *
config_snapshot_copy(const struct config_snapshot *draft)
{
	struct snapshot *s = duplicate_arrays(draft);
	struct copier measure = { 0 };
	struct copier copy = { .to = s };

	copy_all(&measure, &s->pub, s->splits, draft);
	s->texts = base_alloc(measure.needed);
	copy_all(&copy, &s->pub, s->splits, draft);
	snapshot_link_vms(s);
	snapshot_index(s);
	atomic_init(&s->refs, 1);
	return &s->pub;
}
