/* Links to seed peers while no configuration is active. */
#include "seeds.h"

#include <string.h>

/* Largest number of links; one seed peer that answers is enough. */
#define SEEDS_MAX 8

struct seed {
	struct peer_link *link;
	uint64_t version;
};

struct seeds {
	struct node *node;
	struct seed items[SEEDS_MAX];
	size_t count;
	bool opened;
};

struct seeds *seeds_create(struct node *node)
{
	struct seeds *s = base_alloc(sizeof(*s));

	s->node = node;
	return s;
}

void seeds_destroy(struct seeds *s)
{
	if (!s)
		return;
	seeds_close(s);
	free(s);
}

static bool has_link(const struct seeds *s, const struct peer_link *link)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (s->items[i].link == link)
			return true;
	return false;
}

static void open_seed(struct seeds *s, struct base_str address)
{
	struct peer_link *link;

	if (base_str_equal(address, peer_transport_address(s->node->transport)))
		return;
	link = peer_transport_open_link(s->node->transport, address);
	if (link && !has_link(s, link))
		s->items[s->count++].link = link;
}

void seeds_tick(struct seeds *s)
{
	struct base_str rest = base_str_from(s->node->settings->seed_peers);

	if (s->opened || s->node->snapshot)
		return;
	s->opened = true;
	while (rest.len && s->count < SEEDS_MAX) {
		const char *comma = memchr(rest.ptr, ',', rest.len);
		size_t n = comma ? (size_t)(comma - rest.ptr) : rest.len;

		open_seed(s, (struct base_str){ rest.ptr, n });
		n += comma != NULL;
		rest = (struct base_str){ rest.ptr + n, rest.len - n };
	}
}

void seeds_add_roster(struct seeds *s, const struct config_snapshot *snapshot)
{
	struct base_str own = base_str_from(s->node->settings->vm);
	const struct config_vm *ranked[SEEDS_MAX + 1];
	size_t n, i;

	if (s->node->snapshot)
		return;
	n = config_snapshot_rank_vms(snapshot, own, NULL, NULL, ranked,
				     SEEDS_MAX + 1);
	for (i = 0; i < n && s->count < SEEDS_MAX; i++)
		if (!base_str_equal(ranked[i]->name, own))
			open_seed(s, ranked[i]->address);
}

void seeds_close(struct seeds *s)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		peer_transport_close_link(s->node->transport, s->items[i].link);
	s->count = 0;
}

bool seeds_record_version(struct seeds *s, const struct peer_link *link,
			  uint64_t version)
{
	size_t i;

	for (i = 0; i < s->count; i++) {
		if (s->items[i].link != link)
			continue;
		s->items[i].version = version;
		return true;
	}
	return false;
}

struct peer_link *seeds_best_link(const struct seeds *s)
{
	const struct seed *best = NULL;
	size_t i;

	for (i = 0; i < s->count; i++) {
		const struct seed *seed = &s->items[i];

		if (peer_link_is_up(seed->link) &&
		    (!best || seed->version > best->version))
			best = seed;
	}
	return best ? best->link : NULL;
}
