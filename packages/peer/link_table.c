/* Table of the links by address. */
#include "transport.h"

#include <event2/event.h>

struct peer_link *peer_transport_open_link(struct peer_transport *t,
					   struct base_str address)
{
	struct peer_link *link = peer_transport_find_link(t, address);

	if (link)
		return link;
	link = link_create(t, address);
	if (!link)
		return NULL;
	HASH_ADD_KEYPTR(hh, t->links, link->address, address.len, link);
	base_counter_add(t->counters.links, 1);
	return link;
}

struct peer_link *peer_transport_find_link(struct peer_transport *t,
					   struct base_str address)
{
	struct peer_link *link;

	HASH_FIND(hh, t->links, address.ptr, address.len, link);
	return link;
}

void peer_transport_close_link(struct peer_transport *t, struct peer_link *link)
{
	const struct timeval at_once = { 0, 0 };

	HASH_DEL(t->links, link);
	base_counter_add(t->counters.links, -1);
	if (link->up)
		base_counter_add(t->counters.links_up, -1);
	link->up = false;
	link_close(link);
	link->next_closed = t->closed_links;
	t->closed_links = link;
	evtimer_add(t->free_timer, &at_once);
}

size_t peer_transport_link_count(const struct peer_transport *t)
{
	return HASH_COUNT(t->links);
}

void link_free_closed(struct peer_transport *t)
{
	while (t->closed_links) {
		struct peer_link *link = t->closed_links;

		t->closed_links = link->next_closed;
		link_destroy(link);
	}
}

void link_close_all(struct peer_transport *t)
{
	struct peer_link *link;
	struct peer_link *next;

	HASH_ITER (hh, t->links, link, next)
		peer_transport_close_link(t, link);
	link_free_closed(t);
}

struct base_str peer_link_address(const struct peer_link *link)
{
	return base_str_from(link->address);
}

bool peer_link_is_up(const struct peer_link *link)
{
	return link->up;
}

void peer_link_set_data(struct peer_link *link, void *data)
{
	link->data = data;
}

void *peer_link_data(const struct peer_link *link)
{
	return link->data;
}
