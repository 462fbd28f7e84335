/* Outgoing links to peers and their heartbeats. */
#include "membership_internal.h"
#include "guard.h"
#include "roster.h"

#include <assert.h>

/* Size of a heartbeat and its reply on the wire, with encryption. */
#define HEARTBEAT_BYTES 300
/* Rate that the regular heartbeats on all links may take together. */
#define HEARTBEAT_BYTES_PER_S 6000

int64_t links_heartbeat_interval(const struct membership *m)
{
	size_t links = HASH_COUNT(m->outgoing) + HASH_COUNT(m->incoming);
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
			.service_us = report.service_us,
			.success_permille = report.success_permille,
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

void links_send_heartbeat(struct membership *m, struct outgoing_link *out_link,
			  int64_t now)
{
	struct peer_domain_version domains[PEER_LIST_MAX_ITEMS];
	struct peer_message msg;

	fill_heartbeat(m, &msg, domains, now);
	msg.id = 1;
	out_link->sent_at = now;
	peer_transport_send(m->node->transport, out_link->link, &msg);
}

void links_reply_heartbeat(struct membership *m,
			   const struct peer_remote *remote, int64_t now)
{
	struct peer_domain_version domains[PEER_LIST_MAX_ITEMS];
	struct peer_message msg;

	fill_heartbeat(m, &msg, domains, now);
	peer_transport_reply(m->node->transport, remote, &msg);
}

static struct outgoing_link *find_outgoing(struct membership *m, uint32_t vm)
{
	struct outgoing_link *out_link;

	HASH_FIND(hh, m->outgoing, &vm, sizeof(vm), out_link);
	return out_link;
}

static void add_outgoing(struct membership *m, struct outgoing_link *out_link,
			 int64_t now)
{
	out_link->opened_at = now;
	out_link->used_at = now;
	HASH_ADD(hh, m->outgoing, vm, sizeof(out_link->vm), out_link);
}

struct outgoing_link *links_open(struct membership *m,
				 const struct config_vm *vm, int64_t now)
{
	uint32_t id = roster_vm_id(m->node->roster, vm->name);
	struct outgoing_link *out_link = find_outgoing(m, id);
	struct peer_link *link;

	if (out_link)
		return out_link;
	out_link = retired_links_take_back(m, id, vm->address, now);
	if (!out_link) {
		link = peer_transport_open_link(m->node->transport,
						vm->address);
		if (!link)
			return NULL;
		out_link = base_alloc(sizeof(*out_link));
		out_link->vm = id;
		out_link->link = link;
		peer_link_set_data(link, out_link);
	}
	add_outgoing(m, out_link, now);
	return out_link;
}

void links_close(struct membership *m, struct outgoing_link *out_link)
{
	HASH_DEL(m->outgoing, out_link);
	peer_transport_close_link(m->node->transport, out_link->link);
	free(out_link);
}

bool links_is_idle(const struct outgoing_link *out_link, int64_t now)
{
	return !out_link->in_flight && !out_link->relay &&
	       now - out_link->used_at >= LINK_IDLE_TIMEOUT_US;
}

struct peer_link *node_get_link(struct node *node, const struct config_vm *vm)
{
	struct outgoing_link *out_link =
		links_open(node->membership, vm, base_now_us());

	return out_link ? out_link->link : NULL;
}

const struct config_vm *membership_link_vm(const struct membership *m,
					   const struct peer_link *link)
{
	const struct outgoing_link *out_link = peer_link_data(link);

	return out_link && !out_link->retired
		       ? roster_vm(m->node->roster, out_link->vm)
		       : NULL;
}

void membership_record_link_use(struct membership *m, struct peer_link *link,
				int64_t now)
{
	struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	if (out_link)
		out_link->used_at = now;
}

void membership_request_sent(struct membership *m, struct peer_link *link,
			     int64_t now)
{
	struct outgoing_link *out_link = peer_link_data(link);

	membership_record_link_use(m, link, now);
	out_link->in_flight++;
}

void membership_request_ended(struct membership *m, struct peer_link *link)
{
	struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	assert(out_link->in_flight);
	out_link->in_flight--;
}
