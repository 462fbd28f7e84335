/*
 * Relays: the daemons that read the platform for their failure domain and
 * report the oldest version that is active in it.
 */
#include "membership_internal.h"
#include "claims.h"
#include "rate_limiter.h"
#include "registry_reader.h"

#include <string.h>

#define RELAYS_PER_DOMAIN 2

/*
 * Opens the link to a VM that may be a relay, and keeps it open. Returns
 * whether the VM can act as relay as far as this daemon can see.
 */
static bool open_relay_link(struct membership *m, const struct config_vm *vm,
			    int64_t now)
{
	struct outgoing_link *out_link;

	if (vm->leaving)
		return false;
	if (node_is_self(m->node, vm))
		return !m->node->draining;
	out_link = links_open(m, vm, now);
	if (!out_link)
		return false;
	out_link->relay = true;
	return peer_link_is_up(out_link->link) ||
	       now - out_link->opened_at < RELAY_CONNECT_TIMEOUT_US;
}

/*
 * Opens links to the relays of a failure domain. Returns whether this VM is one
 * of them.
 */
static bool open_relay_links(struct membership *m,
			     const struct config_domain *d, int64_t now)
{
	const struct config_snapshot *s = m->node->snapshot;
	const struct config_vm **ranked =
		base_alloc_array(s->vm_count, sizeof(*ranked));
	size_t n = config_snapshot_rank_vms(s, BASE_STR("relay"), d, NULL,
					    ranked, s->vm_count);
	bool self = false;
	size_t found = 0;
	size_t i;

	for (i = 0; i < n && found < RELAYS_PER_DOMAIN; i++) {
		if (!open_relay_link(m, ranked[i], now))
			continue;
		found++;
		self = self || node_is_self(m->node, ranked[i]);
	}
	free(ranked);
	return self;
}

static void report_role(struct membership *m, bool relay)
{
	struct control_message *msg = base_alloc(sizeof(*msg));

	msg->type = CONTROL_ROLE;
	msg->relay = relay;
	control_post(m->node->control, msg);
}

/* A VM that is not listed yet gets its configuration from relays too. */
static const struct config_domain *own_domain(const struct node *node)
{
	return node->self ? node->self->domain
			  : config_snapshot_find_domain(
				    node->snapshot,
				    base_str_from(node->settings->domain));
}

void relays_update(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	const struct config_domain *domain = own_domain(node);
	struct outgoing_link *out_link, *next;
	bool relay;
	size_t i;

	m->relays_checked_at = now;
	if (!domain)
		return;
	HASH_ITER (hh, m->outgoing, out_link, next)
		out_link->relay = false;
	relay = open_relay_links(m, domain, now);
	for (i = 0; relay && i < node->snapshot->domain_count; i++)
		if (&node->snapshot->domains[i] != domain)
			open_relay_links(m, &node->snapshot->domains[i], now);
	if (relay == m->is_relay)
		return;
	m->is_relay = relay;
	m->relay_since = now;
	report_role(m, relay);
}

static void set_domain_version(struct membership *m, struct base_str name,
			       uint64_t version, int64_t now)
{
	struct domain_version *d;

	if (name.len >= sizeof(d->name))
		return;
	HASH_FIND(hh, m->domains, name.ptr, name.len, d);
	if (!d) {
		d = base_alloc(sizeof(*d));
		memcpy(d->name, name.ptr, name.len);
		HASH_ADD(hh, m->domains, name[0], name.len, d);
	}
	if (version <= d->version)
		return;
	d->version = version;
	claims_on_domain_version(m->node->claims, name, version, now);
	rate_limiter_on_domain_version(m->node->rate_limiter, name, version,
				       now);
}

void relays_report_own_domain(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct incoming_link *in_link, *next;
	uint64_t oldest;

	if (!m->is_relay || !node->self ||
	    now - m->relay_since < 3 * m->heartbeat_interval_us)
		return;
	oldest = (uint64_t)node->snapshot->version;
	HASH_ITER (hh, m->incoming, in_link, next) {
		const struct config_vm *vm = config_snapshot_find_vm(
			node->snapshot, base_str_from(in_link->vm));

		if (vm && vm->domain == node->self->domain &&
		    now - in_link->received_at < 3 * m->heartbeat_interval_us &&
		    in_link->version < oldest)
			oldest = in_link->version;
	}
	set_domain_version(m, node->self->domain->name, oldest, now);
}

void relays_merge_domain_versions(struct membership *m,
				  const struct peer_heartbeat *beat,
				  int64_t now)
{
	size_t i;

	for (i = 0; i < beat->domains.count; i++)
		set_domain_version(m, beat->domains.items[i].domain,
				   beat->domains.items[i].version, now);
}

uint64_t membership_domain_version(const struct membership *m,
				   struct base_str domain)
{
	struct domain_version *d;

	HASH_FIND(hh, m->domains, domain.ptr, domain.len, d);
	return d ? d->version : 0;
}

/*
 * Tells of the own calls only. What other relays tell would seem newer with
 * each relay that passes it on, by the time on the way.
 */
static struct peer_message build_announcement(const struct node *node,
					      int64_t now)
{
	int64_t steady_us =
		node->platform_current_at - node->platform_steady_since;

	return (struct peer_message){
		.type = PEER_CONFIG_ANNOUNCE,
		.config_announce = {
			.version = (uint64_t)node->snapshot->version,
			.hash = node->snapshot->digest,
			.since_outage_us = -1,
			.current_us = now - node->platform_current_at,
			.steady_us = steady_us > 0 ? steady_us : 0,
		},
	};
}

static void announce_to_own_domain(struct membership *m,
				   struct peer_message *msg, int64_t now)
{
	struct node *node = m->node;
	struct incoming_link *in_link, *next;

	HASH_ITER (hh, m->incoming, in_link, next) {
		const struct config_vm *vm = config_snapshot_find_vm(
			node->snapshot, base_str_from(in_link->vm));

		/* A VM that is not listed asks only relays of its domain. */
		if (!vm || vm->domain == node->self->domain)
			peer_transport_reply(node->transport, &in_link->handle,
					     msg);
	}
	m->announced_at = now;
}

static void announce_to_other_relays(struct membership *m,
				     struct peer_message *msg)
{
	struct outgoing_link *out_link, *next;

	HASH_ITER (hh, m->outgoing, out_link, next)
		if (out_link->relay && peer_link_is_up(out_link->link))
			peer_transport_send(m->node->transport, out_link->link,
					    msg);
}

static bool can_announce(const struct membership *m)
{
	const struct node *node = m->node;

	return node->dialect->registry && m->is_relay && node->platform_up &&
	       node->snapshot && node->self && node->platform_current_at;
}

void relays_announce(struct membership *m, bool changed, int64_t now)
{
	struct peer_message msg;

	if (!can_announce(m) ||
	    (!changed && now - m->announced_at < REGISTRY_ANNOUNCE_INTERVAL_US))
		return;
	msg = build_announcement(m->node, now);
	announce_to_own_domain(m, &msg, now);
	if (changed)
		announce_to_other_relays(m, &msg);
}

void membership_announce_evidence(struct membership *m, int64_t now)
{
	struct peer_message msg;

	if (!can_announce(m))
		return;
	msg = build_announcement(m->node, now);
	announce_to_own_domain(m, &msg, now);
}

void relays_on_announcement(struct membership *m,
			    const struct peer_config_announce *announcement,
			    int64_t sent_at)
{
	struct control_message *msg = base_alloc(sizeof(*msg));

	msg->type = CONTROL_PEER_ANNOUNCED;
	msg->version = (int64_t)announcement->version;
	msg->digest = announcement->hash;
	msg->current_at = sent_at - announcement->current_us;
	msg->steady_since = msg->current_at - announcement->steady_us;
	control_post(m->node->control, msg);
}
