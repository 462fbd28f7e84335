/* Copies of suspects at daemons of other services. */
#include "suspect_keepers.h"
#include "membership.h"
#include "roster.h"
#include "suspect_messages.h"

#include <stdlib.h>

struct suspect_keepers {
	struct node *node;
	/* Not those of the own service, which must not be evicted by them. */
	struct retry_suspects *kept;
};

struct suspect_keepers *suspect_keepers_create(struct node *node)
{
	struct suspect_keepers *k = base_alloc(sizeof(*k));

	k->node = node;
	k->kept = retry_suspects_create();
	return k;
}

void suspect_keepers_destroy(struct suspect_keepers *k)
{
	if (!k)
		return;
	retry_suspects_destroy(k->kept);
	free(k);
}

static bool is_full(const struct config_vm *const *chosen, size_t count,
		    const struct config_domain *domain)
{
	size_t in_domain = 0;
	size_t i;

	for (i = 0; i < count; i++)
		in_domain += chosen[i]->domain == domain;
	return in_domain == SUSPECT_KEEPERS_PER_DOMAIN;
}

size_t suspect_keepers_choose(const struct config_snapshot *snapshot,
			      const struct config_service *service,
			      const struct config_vm **out)
{
	const struct config_vm **ranked =
		base_alloc_array(snapshot->vm_count, sizeof(*ranked));
	size_t n = config_snapshot_rank_vms(snapshot, service->name, NULL, NULL,
					    ranked, snapshot->vm_count);
	size_t count = 0;
	size_t i;

	for (i = 0; i < n && count < SUSPECT_KEEPERS; i++)
		if (ranked[i]->service != service &&
		    !is_full(out, count, ranked[i]->domain))
			out[count++] = ranked[i];
	free(ranked);
	return count;
}

/* Opens the links to the keepers of the local service. Returns their number. */
static size_t open_links(const struct suspect_keepers *k,
			 struct peer_link **out)
{
	const struct config_vm *keepers[SUSPECT_KEEPERS];
	struct node *node = k->node;
	size_t n = suspect_keepers_choose(node->snapshot, node->self->service,
					  keepers);
	size_t count = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		struct peer_link *link = node_get_link(node, keepers[i]);

		if (link)
			out[count++] = link;
	}
	return count;
}

void suspect_keepers_ask(struct suspect_keepers *k, int64_t now)
{
	struct peer_link *links[SUSPECT_KEEPERS];
	size_t n = open_links(k, links);
	size_t i;

	for (i = 0; i < n; i++)
		membership_record_link_use(k->node->membership, links[i], now);
}

void suspect_keepers_notify(struct suspect_keepers *k, struct peer_message *msg,
			    int64_t now)
{
	struct peer_link *links[SUSPECT_KEEPERS];
	struct node *node = k->node;
	size_t n = open_links(k, links);
	size_t i;

	for (i = 0; i < n; i++) {
		if (peer_transport_send(node->transport, links[i], msg))
			continue;
		membership_record_link_use(node->membership, links[i], now);
		node_counter_add(node, "suspects_told_to_keepers");
	}
}

void suspect_keepers_store(struct suspect_keepers *k,
			   const struct peer_suspect *suspect, int64_t now)
{
	struct retry_suspect_update update = suspect_update_from_message(
		suspect, roster_service_id(k->node->roster, suspect->service));

	if (update.state != RETRY_SUSPECT_NONE &&
	    retry_suspects_merge(k->kept, &update, now))
		node_counter_add(k->node, "suspects_kept");
}

void suspect_keepers_send(struct suspect_keepers *k, const struct config_vm *vm,
			  struct peer_link *link,
			  const struct peer_remote *remote, int64_t now)
{
	struct base_str service = vm->service->name;
	const struct suspect_recipient to = { k->node, service, link, remote };
	size_t sent = suspect_send_all(
		&to, k->kept, roster_service_id(k->node->roster, service), now);

	/* A counter appears with its first event. */
	if (sent)
		base_counter_add(base_counters_get(k->node->counters,
						   "suspects_given_back"),
				 (int64_t)sent);
}
