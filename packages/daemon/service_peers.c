/* Links to the other guards of the local service, and their arbiter. */
#include "service_peers.h"
#include "membership.h"
#include "suspect_keepers.h"
#include "suspect_messages.h"

/*
 * Links count as up for this time after the last one was opened, as they may
 * still be connecting.
 */
#define CONNECT_GRACE_US BASE_SECOND_US

bool service_peers_open_links(struct service_peers *p, int64_t now)
{
	struct node *node = p->node;
	const struct config_service *service = node->self->service;
	bool all_up = true;
	size_t i;

	for (i = 0; i < service->vm_count; i++) {
		const struct config_vm *vm = service->vms[i];
		struct peer_link *link;

		if (node_is_self(node, vm))
			continue;
		if (!peer_transport_find_link(node->transport, vm->address))
			p->links_opened_at = now;
		link = node_get_link(node, vm);
		if (link)
			membership_record_link_use(node->membership, link, now);
		if (!link || !peer_link_is_up(link))
			all_up = false;
	}
	return all_up;
}

static bool may_arbitrate(struct service_peers *p, const struct config_vm *vm,
			  int64_t now)
{
	struct peer_link *link;

	if (vm->leaving)
		return false;
	if (node_is_self(p->node, vm))
		return true;
	link = peer_transport_find_link(p->node->transport, vm->address);
	if (!link)
		return false;
	return peer_link_is_up(link) ||
	       now - p->links_opened_at < CONNECT_GRACE_US;
}

static const struct config_vm *find_arbiter(struct service_peers *p,
					    int64_t now)
{
	const struct config_service *service = p->node->self->service;
	const struct config_vm **ranked =
		base_alloc_array(service->vm_count, sizeof(*ranked));
	const struct config_vm *found = NULL;
	size_t n, i;

	n = config_snapshot_rank_vms(p->node->snapshot, service->name, NULL,
				     service, ranked, service->vm_count);
	for (i = 0; i < n && !found; i++)
		if (may_arbitrate(p, ranked[i], now))
			found = ranked[i];
	free(ranked);
	return found;
}

/*
 * When this daemon becomes the arbiter, permits of its predecessor may be in
 * use, so retry_arbiter_take_over() delays new ones.
 */
const struct config_vm *service_peers_arbiter(struct service_peers *p,
					      int64_t now)
{
	const struct config_vm *vm = find_arbiter(p, now);
	bool is_arbiter = vm && node_is_self(p->node, vm);

	if (is_arbiter && !p->is_arbiter) {
		node_counter_add(p->node, "arbiter_take_overs");
		retry_arbiter_take_over(p->arbiter, p->service, now);
	}
	p->is_arbiter = is_arbiter;
	return vm;
}

void service_peers_broadcast_suspect(void *ctx,
				     const struct retry_suspect_update *update)
{
	struct service_peers *p = ctx;
	struct node *node = p->node;
	const struct config_service *service = node->self->service;
	struct peer_message msg;
	size_t i;

	suspect_update_count(node, update->state);
	if (!suspect_update_to_message(service->name, update, &msg))
		return;
	for (i = 0; i < service->vm_count; i++) {
		struct peer_link *link;

		if (node_is_self(node, service->vms[i]))
			continue;
		link = node_get_link(node, service->vms[i]);
		if (link)
			peer_transport_send(node->transport, link, &msg);
	}
	suspect_keepers_notify(p->keepers, &msg, base_now_us());
}

void service_peers_send_suspects(struct service_peers *p,
				 struct peer_link *link,
				 const struct peer_remote *remote, int64_t now)
{
	const struct suspect_recipient to = { p->node,
					      p->node->self->service->name,
					      link, remote };

	suspect_send_all(&to, p->suspects, p->service, now);
}

bool service_peers_contains(const struct service_peers *p,
			    const struct config_vm *vm)
{
	const struct config_vm *self = p->node->self;

	return self && vm && vm != self &&
	       base_str_equal(vm->service->name, self->service->name);
}
