/* Relays of the failure domains and the versions that they report. */
#include "membership_internal.h"
#include "claims.h"
#include "rate_limiter.h"

#include <string.h>

#define RELAYS_PER_DOMAIN 2

/* Whether a VM may act as relay, as far as this daemon can tell. */
static bool may_relay(struct membership *m, const struct config_vm *vm,
		      int64_t now)
{
	struct member *member;

	if (vm->leaving)
		return false;
	if (node_is_self(m->node, vm))
		return !m->node->draining;
	member = members_open(m, vm, now);
	if (!member)
		return false;
	member->relay = true;
	return peer_link_is_up(member->link) ||
	       now - member->opened_at < RELAY_CONNECT_US;
}

/* Keeps links to the relays of a domain; tells whether this VM is one. */
static bool link_relays(struct membership *m, const struct config_domain *d,
			int64_t now)
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
		if (!may_relay(m, ranked[i], now))
			continue;
		found++;
		self = self || node_is_self(m->node, ranked[i]);
	}
	free(ranked);
	return self;
}

static void post_role(struct membership *m, bool relay)
{
	struct control_message *msg = base_alloc(sizeof(*msg));

	msg->type = CONTROL_ROLE;
	msg->relay = relay;
	control_post(m->node->control, msg);
}

void relays_update(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct member *member, *next;
	bool relay;
	size_t i;

	m->relays_checked_at = now;
	if (!node->self)
		return;
	HASH_ITER (hh, m->members, member, next)
		member->relay = false;
	relay = link_relays(m, node->self->domain, now);
	for (i = 0; relay && i < node->snapshot->domain_count; i++)
		if (&node->snapshot->domains[i] != node->self->domain)
			link_relays(m, &node->snapshot->domains[i], now);
	if (relay == m->is_relay)
		return;
	m->is_relay = relay;
	m->relay_since = now;
	post_role(m, relay);
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

/* A relay reports the oldest version that its domain's daemons have. */
void relays_report_own_domain(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct remote *r, *next;
	uint64_t oldest;

	if (!m->is_relay || !node->self ||
	    now - m->relay_since < 3 * m->interval_us)
		return;
	oldest = (uint64_t)node->snapshot->version;
	HASH_ITER (hh, m->remotes, r, next) {
		const struct config_vm *vm = config_snapshot_find_vm(
			node->snapshot, base_str_from(r->vm));

		if (vm && vm->domain == node->self->domain &&
		    now - r->heard_at < 3 * m->interval_us &&
		    r->version < oldest)
			oldest = r->version;
	}
	set_domain_version(m, node->self->domain->name, oldest, now);
}

void relays_take_domains(struct membership *m,
			 const struct peer_heartbeat *beat, int64_t now)
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
