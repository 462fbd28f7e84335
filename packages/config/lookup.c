/* Look-ups in a snapshot, by binary search in sorted arrays. */
#include "snapshot.h"

/*
 * Finds the entry with @p name in an array sorted by name. The name of each
 * entry is at the same offset as in struct config_region.
 */
static const void *find_named(const void *entries, size_t count, size_t size,
			      struct base_str name)
{
	const char *base = entries;
	size_t low = 0;
	size_t high = count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const char *entry = base + middle * size;
		const struct base_str *found =
			(const void *)(entry +
				       offsetof(struct config_region, name));
		int order = base_str_compare(*found, name);

		if (!order)
			return entry;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

#define ASSERT_NAME_OFFSET(type)                                     \
	_Static_assert(offsetof(type, name) ==                       \
			       offsetof(struct config_region, name), \
		       "find_named() relies on this layout")
ASSERT_NAME_OFFSET(struct config_domain);
ASSERT_NAME_OFFSET(struct config_vm);
ASSERT_NAME_OFFSET(struct config_service);
ASSERT_NAME_OFFSET(struct config_account);

const struct config_region *
snapshot_find_region(const struct config_snapshot *snapshot,
		     struct base_str name)
{
	return find_named(snapshot->regions, snapshot->region_count,
			  sizeof(*snapshot->regions), name);
}

const struct config_domain *
config_snapshot_find_domain(const struct config_snapshot *snapshot,
			    struct base_str name)
{
	return find_named(snapshot->domains, snapshot->domain_count,
			  sizeof(*snapshot->domains), name);
}

const struct config_vm *
config_snapshot_find_vm(const struct config_snapshot *snapshot,
			struct base_str name)
{
	return find_named(snapshot->vms, snapshot->vm_count,
			  sizeof(*snapshot->vms), name);
}

const struct config_service *
config_snapshot_find_service(const struct config_snapshot *snapshot,
			     struct base_str name)
{
	return find_named(snapshot->services, snapshot->service_count,
			  sizeof(*snapshot->services), name);
}

const struct config_route *
config_snapshot_find_route(const struct config_snapshot *snapshot,
			   struct base_str name)
{
	return find_named(snapshot->routes, snapshot->route_count,
			  sizeof(*snapshot->routes), name);
}

const struct config_account *
config_snapshot_find_account(const struct config_snapshot *snapshot,
			     struct base_str name)
{
	return find_named(snapshot->accounts, snapshot->account_count,
			  sizeof(*snapshot->accounts), name);
}

static int compare_keys(const void *a, const void *b)
{
	const struct config_key *const *x = a;
	const struct config_key *const *y = b;

	return base_str_compare((*x)->id, (*y)->id);
}

static int compare_routes(const void *a, const void *b)
{
	const struct config_route *const *x = a;
	const struct config_route *const *y = b;
	int order = base_str_compare((*x)->path_prefix, (*y)->path_prefix);

	return order ? order : base_str_compare((*x)->method, (*y)->method);
}

void snapshot_build_indexes(struct snapshot *s)
{
	size_t keys = s->pub.key_count;
	size_t routes = s->pub.route_count;
	size_t i;

	s->keys_by_id = base_alloc_array(keys, sizeof(*s->keys_by_id));
	for (i = 0; i < keys; i++)
		s->keys_by_id[i] = &s->pub.keys[i];
	qsort(s->keys_by_id, keys, sizeof(*s->keys_by_id), compare_keys);
	s->routes_by_path =
		base_alloc_array(routes, sizeof(*s->routes_by_path));
	for (i = 0; i < routes; i++) {
		size_t len = s->pub.routes[i].path_prefix.len;

		s->routes_by_path[i] = &s->pub.routes[i];
		if (len > s->longest_prefix_len)
			s->longest_prefix_len = len;
	}
	qsort(s->routes_by_path, routes, sizeof(*s->routes_by_path),
	      compare_routes);
}

const struct config_key *
config_snapshot_find_key(const struct config_snapshot *snapshot,
			 struct base_str id)
{
	const struct snapshot *s = (const struct snapshot *)snapshot;
	struct config_key wanted = { .id = id };
	const struct config_key *wanted_ref = &wanted;
	const struct config_key **found =
		bsearch(&wanted_ref, s->keys_by_id, snapshot->key_count,
			sizeof(*s->keys_by_id), compare_keys);

	return found ? *found : NULL;
}

/* Returns the position of the first route whose prefix is >= @p prefix. */
static size_t lower_bound_route(const struct snapshot *s,
				struct base_str prefix)
{
	size_t low = 0;
	size_t high = s->pub.route_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (base_str_compare(s->routes_by_path[middle]->path_prefix,
				     prefix) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns 0 when the route does not match, otherwise a value that is higher for
 * a more specific route: the host counts before the method.
 */
static int specificity(const struct config_route *route, struct base_str host,
		       struct base_str method)
{
	if (route->host.len && !base_str_equal_nocase(route->host, host))
		return 0;
	if (route->method.len && !base_str_equal(route->method, method))
		return 0;
	return 1 + 2 * (route->host.len != 0) + (route->method.len != 0);
}

static const struct config_route *match_prefix(const struct snapshot *s,
					       struct base_str host,
					       struct base_str method,
					       struct base_str prefix)
{
	const struct config_route *best = NULL;
	int best_score = 0;
	size_t i;

	for (i = lower_bound_route(s, prefix); i < s->pub.route_count; i++) {
		const struct config_route *route = s->routes_by_path[i];
		int score = specificity(route, host, method);

		if (!base_str_equal(route->path_prefix, prefix))
			break;
		if (score <= best_score)
			continue;
		best_score = score;
		best = route;
	}
	return best;
}

const struct config_route *
config_snapshot_match_route(const struct config_snapshot *snapshot,
			    struct base_str host, struct base_str method,
			    struct base_str path)
{
	const struct snapshot *s = (const struct snapshot *)snapshot;
	const char *query = path.len ? memchr(path.ptr, '?', path.len) : NULL;
	size_t len = query ? (size_t)(query - path.ptr) : path.len;

	if (!len || path.ptr[0] != '/')
		return NULL;
	for (; len > 1; len--) {
		struct base_str prefix = { path.ptr, len };
		bool boundary = len == path.len || path.ptr[len] == '/' ||
				path.ptr[len] == '?' ||
				path.ptr[len - 1] == '/';
		const struct config_route *route;

		if (len > s->longest_prefix_len || !boundary)
			continue;
		route = match_prefix(s, host, method, prefix);
		if (route)
			return route;
	}
	return match_prefix(s, host, method, BASE_STR("/"));
}

struct ranked_vm {
	uint64_t weight;
	const struct config_vm *vm;
};

/*
 * Inserts @p entry into an array of the @p max highest weights found so far.
 * Among equal weights the earlier entry stays in front; as VMs are visited in
 * the order of their names, ties are resolved by name.
 * @return the new number of entries
 */
static size_t insert_ranked(struct ranked_vm *top, size_t count, size_t max,
			    struct ranked_vm entry)
{
	size_t pos = count;

	while (pos > 0 && top[pos - 1].weight < entry.weight)
		pos--;
	if (pos == max)
		return count;
	if (count < max)
		count++;
	memmove(&top[pos + 1], &top[pos], (count - 1 - pos) * sizeof(*top));
	top[pos] = entry;
	return count;
}

size_t config_snapshot_rank_vms(const struct config_snapshot *snapshot,
				struct base_str key,
				const struct config_domain *domain,
				const struct config_service *service,
				const struct config_vm **out, size_t max)
{
	struct ranked_vm *top;
	size_t count = 0;
	size_t i;

	if (max > snapshot->vm_count)
		max = snapshot->vm_count;
	top = base_alloc_array(max, sizeof(*top));
	for (i = 0; i < snapshot->vm_count; i++) {
		const struct config_vm *vm = &snapshot->vms[i];

		if ((domain && vm->domain != domain) ||
		    (service && vm->service != service))
			continue;
		count = insert_ranked(
			top, count, max,
			(struct ranked_vm){
				base_rendezvous_weight(key, vm->name), vm });
	}
	for (i = 0; i < count; i++)
		out[i] = top[i].vm;
	free(top);
	return count;
}
