/* Outgoing links and heartbeats. */
#include "membership_internal.h"
#include "guard.h"
#include "roster.h"

/* Bytes of a heartbeat with its reply on the wire, encryption included. */
#define HEARTBEAT_BYTES 300
#define HEARTBEAT_BYTES_PER_S 6000

int64_t members_heartbeat_interval(const struct membership *m)
{
	size_t links = HASH_COUNT(m->members) + HASH_COUNT(m->remotes);
	int64_t us = (int64_t)links * HEARTBEAT_BYTES * BASE_SECOND_US /
		     HEARTBEAT_BYTES_PER_S;

	return us > ROUTING_HEARTBEAT_INTERVAL_US
		       ? us
		       : ROUTING_HEARTBEAT_INTERVAL_US;
}

static void fill_heartbeat(struct membership *m, struct peer_message *msg,
			   struct peer_domain_version *domains, int64_t now)
{
	struct node *node = m->node;
	struct routing_load_report report = guard_load_report(node->guard, now);
	struct domain_version *d, *next;
	size_t n = 0;

	*msg = (struct peer_message){
		.type = PEER_HEARTBEAT,
		.heartbeat = {
			.load = report.load,
			.limit = report.limit,
			.cold_full = report.cold_full,
			.draining = report.draining,
			.stopping = report.stopping,
		},
	};
	if (node->snapshot) {
		msg->heartbeat.version = (uint64_t)node->snapshot->version;
		msg->heartbeat.hash = node->snapshot->digest;
	}
	HASH_ITER (hh, m->domains, d, next) {
		if (n == PEER_LIST_MAX_ITEMS)
			break;
		domains[n++] =
			(struct peer_domain_version){ base_str_from(d->name),
						      d->version };
	}
	msg->heartbeat.domains = (struct peer_domain_versions){ domains, n };
}

void members_send_heartbeat(struct membership *m, struct member *member,
			    int64_t now)
{
	struct peer_domain_version domains[PEER_LIST_MAX_ITEMS];
	struct peer_message msg;

	fill_heartbeat(m, &msg, domains, now);
	msg.id = 1;
	member->sent_at = now;
	peer_transport_send(m->node->transport, member->link, &msg);
}

void members_reply_heartbeat(struct membership *m,
			     const struct peer_remote *remote, int64_t now)
{
	struct peer_domain_version domains[PEER_LIST_MAX_ITEMS];
	struct peer_message msg;

	fill_heartbeat(m, &msg, domains, now);
	peer_transport_reply(m->node->transport, remote, &msg);
}

static struct member *find_member(struct membership *m, uint32_t vm)
{
	struct member *member;

	HASH_FIND(hh, m->members, &vm, sizeof(vm), member);
	return member;
}

struct member *members_open(struct membership *m, const struct config_vm *vm,
			    int64_t now)
{
	uint32_t id = roster_vm_id(m->node->roster, vm->name);
	struct member *member = find_member(m, id);
	struct peer_link *link;

	if (member)
		return member;
	link = peer_transport_open_link(m->node->transport, vm->address);
	if (!link)
		return NULL;
	member = base_alloc(sizeof(*member));
	member->vm = id;
	member->link = link;
	member->opened_at = now;
	member->used_at = now;
	peer_link_set_data(link, member);
	HASH_ADD(hh, m->members, vm, sizeof(member->vm), member);
	return member;
}

void members_close(struct membership *m, struct member *member)
{
	HASH_DEL(m->members, member);
	peer_transport_close_link(m->node->transport, member->link);
	free(member);
}

struct peer_link *node_get_link(struct node *node, const struct config_vm *vm)
{
	struct member *member =
		members_open(node->membership, vm, base_now_us());

	return member ? member->link : NULL;
}

void membership_record_link_use(struct membership *m, struct peer_link *link,
				int64_t now)
{
	struct member *member = peer_link_data(link);

	(void)m;
	if (member)
		member->used_at = now;
}
