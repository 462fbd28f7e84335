/* Table of the links by address, and list of the detached ones. */
#include "transport.h"

#include <assert.h>
#include <event2/event.h>
#include <utlist.h>

static void add_to_table(struct peer_transport *t, struct peer_link *link)
{
	struct base_str address = base_str_from(link->address);

	HASH_ADD_KEYPTR(hh, t->links, link->address, address.len, link);
}

static void remove_from_table(struct peer_transport *t, struct peer_link *link)
{
	assert(t->links);
	HASH_DEL(t->links, link);
}

struct peer_link *peer_transport_open_link(struct peer_transport *t,
					   struct base_str address)
{
	struct peer_link *link = peer_transport_find_link(t, address);

	if (link)
		return link;
	link = link_create(t, address);
	if (!link)
		return NULL;
	add_to_table(t, link);
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

void peer_transport_detach_link(struct peer_transport *t,
				struct peer_link *link)
{
	assert(link->up && !link->detached);
	remove_from_table(t, link);
	DL_APPEND(t->detached_links, link);
	link->detached = true;
	base_counter_add(t->counters.links_detached, 1);
}

static void remove_from_detached(struct peer_transport *t,
				 struct peer_link *link)
{
	DL_DELETE(t->detached_links, link);
	link->detached = false;
	base_counter_add(t->counters.links_detached, -1);
}

bool peer_transport_attach_link(struct peer_transport *t,
				struct peer_link *link)
{
	const struct timeval at_once = { 0, 0 };

	assert(link->detached);
	if (!link->up ||
	    peer_transport_find_link(t, base_str_from(link->address)))
		return false;
	remove_from_detached(t, link);
	add_to_table(t, link);
	link->attached = true;
	evtimer_add(t->attach_timer, &at_once);
	return true;
}

void peer_transport_close_link(struct peer_transport *t, struct peer_link *link)
{
	const struct timeval at_once = { 0, 0 };

	if (link->detached)
		remove_from_detached(t, link);
	else
		remove_from_table(t, link);
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
	DL_FOREACH_SAFE(t->detached_links, link, next)
	{
		peer_transport_close_link(t, link);
	}
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
