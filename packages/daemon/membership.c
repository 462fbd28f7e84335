/* Links to peers, heartbeats, relays and versions reported by peers. */
#include "membership_internal.h"
#include "claims.h"
#include "entry.h"
#include "guard.h"
#include "rate_limiter.h"
#include "roster.h"
#include "seeds.h"
#include "vm_list.h"

#include <inttypes.h>
#include <string.h>

#define TICK_US (100 * BASE_MS_US)
/* Ranking all VMs of nine domains takes a millisecond at 930 VMs. */
#define RELAY_CHECK_US (500 * BASE_MS_US)
/* Requests wait this long for a link that was just opened. */
#define LINK_WAIT_US (300 * BASE_MS_US)
#define LINK_IDLE_US (30 * BASE_SECOND_US)
/* A fresh or woken daemon asks this many peers and waits this long. */
#define ASKED_PEERS 8
#define PROBES_PER_TICK 4
#define CHECKS_PER_TICK 16
#define ASK_WAIT_US BASE_SECOND_US

static void post_version(struct membership *m, uint64_t version,
			 const struct base_digest *hash)
{
	struct control_message *msg;

	if (!version)
		return;
	if (version > m->highest_heard)
		m->highest_heard = version;
	msg = base_alloc(sizeof(*msg));
	msg->type = CONTROL_PEER_VERSION;
	msg->version = (int64_t)version;
	msg->digest = *hash;
	control_post(m->node->control, msg);
}

static void end_asking(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct member *member, *next;
	size_t waiting = 0;

	if (!m->asking || !node->snapshot)
		return;
	HASH_ITER (hh, m->members, member, next)
		waiting += member->asked;
	if (waiting && now < m->ask_until)
		return;
	if ((uint64_t)node->snapshot->version < m->highest_heard &&
	    now < m->ask_until + ASK_WAIT_US)
		return;
	m->asking = false;
	if (node->dialect->idempotency_keys)
		claims_configure(node->claims, node->snapshot, now);
}

/* Asks peers for their version before serving. */
static void start_asking(struct membership *m, int64_t now)
{
	const struct config_snapshot *s = m->node->snapshot;
	const struct config_vm *ranked[ASKED_PEERS + 1];
	size_t n, i;

	m->asking = true;
	m->ask_until = now + ASK_WAIT_US;
	if (!s)
		return;
	n = config_snapshot_rank_vms(s, base_str_from(m->node->settings->vm),
				     NULL, NULL, ranked, ASKED_PEERS + 1);
	for (i = 0; i < n; i++) {
		struct member *member;

		if (node_is_self(m->node, ranked[i]))
			continue;
		member = members_open(m, ranked[i], now);
		if (!member)
			continue;
		member->asked = true;
		if (peer_link_is_up(member->link))
			members_send_heartbeat(m, member, now);
	}
}

bool membership_is_connecting(const struct membership *m,
			      const struct peer_link *link, int64_t now)
{
	const struct member *member = peer_link_data(link);

	(void)m;
	return member && !peer_link_is_up(link) &&
	       now - member->opened_at < LINK_WAIT_US;
}

void membership_on_link_up(struct membership *m, struct peer_link *link)
{
	struct member *member = peer_link_data(link);
	uint32_t vm;

	if (!member)
		return;
	vm = member->vm;
	members_send_heartbeat(m, member, base_now_us());
	entry_on_link_up(m->node->entry, vm);
}

void membership_on_link_down(struct membership *m, struct peer_link *link)
{
	struct member *member = peer_link_data(link);

	(void)m;
	if (member)
		member->opened_at = base_now_us() - RELAY_CONNECT_US;
}

static void on_heartbeat(struct membership *m, struct member *member,
			 const struct peer_heartbeat *beat, int64_t now)
{
	struct routing_load_report report = {
		.load = beat->load,
		.limit = beat->limit,
		.draining = beat->draining,
		.cold_full = beat->cold_full,
		.stopping = beat->stopping,
	};

	member->heard_at = now;
	member->version = beat->version;
	member->asked = false;
	routing_heartbeat(m->node->routing, member->vm, &report, m->interval_us,
			  now);
	if (beat->draining)
		routing_drain_notice(m->node->routing, member->vm, now);
	post_version(m, beat->version, &beat->hash);
	relays_take_domains(m, beat, now);
	end_asking(m, now);
}

static void on_config_value(struct membership *m,
			    const struct peer_config_value *value)
{
	struct control_message *msg = base_alloc(sizeof(*msg));

	msg->type = CONTROL_PEER_VALUE;
	msg->found = value->found;
	base_buf_add_str(&msg->key, value->key);
	base_buf_add_str(&msg->value, value->value);
	control_post(m->node->control, msg);
}

static struct peer_message value_message(const struct node *node,
					 const struct peer_message *get)
{
	const struct publication *pub = node->publication;
	struct peer_message out = {
		.type = PEER_CONFIG_VALUE,
		.id = get->id,
		.config_value = { .key = get->config_get.key },
	};

	if (!pub)
		return out;
	out.config_value.version = (uint64_t)pub->version;
	out.config_value.hash = pub->digest;
	out.config_value.value = publication_value(pub, get->config_get.key);
	out.config_value.found = out.config_value.value.ptr != NULL;
	return out;
}

/* A peer that has no roster yet asks over the link that leads to it. */
static void send_value(struct membership *m, struct peer_link *link,
		       const struct peer_message *get)
{
	struct peer_message out = value_message(m->node, get);

	peer_transport_send(m->node->transport, link, &out);
}

/* Without a roster, only the configuration is of use. */
static void on_seed_message(struct membership *m, struct peer_link *link,
			    const struct peer_message *msg)
{
	const struct peer_heartbeat *beat = &msg->heartbeat;

	if (msg->type == PEER_HEARTBEAT &&
	    seeds_heard(m->node->seeds, link, beat->version))
		post_version(m, beat->version, &beat->hash);
	else if (msg->type == PEER_CONFIG_VALUE)
		on_config_value(m, &msg->config_value);
}

void membership_on_link_message(struct membership *m, struct peer_link *link,
				const struct peer_message *msg, int64_t now)
{
	struct member *member = peer_link_data(link);

	if (!member) {
		on_seed_message(m, link, msg);
		return;
	}
	if (msg->type == PEER_HEARTBEAT)
		on_heartbeat(m, member, &msg->heartbeat, now);
	else if (msg->type == PEER_CONFIG_VALUE)
		on_config_value(m, &msg->config_value);
	else if (msg->type == PEER_CONFIG_ANNOUNCE)
		post_version(m, msg->config_announce.version,
			     &msg->config_announce.hash);
	else if (msg->type == PEER_CONFIG_GET)
		send_value(m, link, msg);
}

static struct remote *get_remote(struct membership *m,
				 const struct peer_remote *handle)
{
	struct remote *r;

	HASH_FIND(hh, m->remotes, handle, sizeof(*handle), r);
	if (r)
		return r;
	r = base_alloc(sizeof(*r));
	r->handle = *handle;
	HASH_ADD(hh, m->remotes, handle, sizeof(r->handle), r);
	return r;
}

void membership_on_remote_message(struct membership *m,
				  const struct peer_remote *remote,
				  const struct peer_message *msg, int64_t now)
{
	struct remote *r = get_remote(m, remote);

	r->heard_at = now;
	if (msg->type == PEER_HELLO) {
		snprintf(r->vm, sizeof(r->vm), "%.*s",
			 BASE_STR_ARG(msg->hello.vm));
		r->version = msg->hello.version;
		r->vm_list_serial = 0;
		members_reply_heartbeat(m, remote, now);
	} else if (msg->type == PEER_HEARTBEAT) {
		r->version = msg->heartbeat.version;
		post_version(m, msg->heartbeat.version, &msg->heartbeat.hash);
		relays_take_domains(m, &msg->heartbeat, now);
		members_reply_heartbeat(m, remote, now);
	} else if (msg->type == PEER_CONFIG_GET) {
		struct peer_message out = value_message(m->node, msg);

		peer_transport_reply(m->node->transport, remote, &out);
	} else if (msg->type == PEER_CONFIG_VALUE) {
		on_config_value(m, &msg->config_value);
	}
}

static const struct remote *best_remote(const struct membership *m)
{
	const struct remote *best = NULL;
	const struct remote *r;

	for (r = m->remotes; r; r = r->hh.next)
		if (r->version && (!best || r->version > best->version))
			best = r;
	return best;
}

void membership_fetch(struct membership *m, struct base_str key)
{
	struct peer_link *link = seeds_best(m->node->seeds);
	const struct remote *remote = best_remote(m);
	struct member *member, *next, *best = NULL;
	struct peer_message msg = {
		.type = PEER_CONFIG_GET,
		.id = 1,
		.config_get = { .key = key },
	};

	HASH_ITER (hh, m->members, member, next)
		if (peer_link_is_up(member->link) &&
		    (!best || member->version > best->version))
			best = member;
	if (best)
		link = best->link;
	if (link)
		peer_transport_send(m->node->transport, link, &msg);
	else if (remote)
		peer_transport_reply(m->node->transport, &remote->handle, &msg);
}

void membership_announce(struct membership *m, int64_t now)
{
	struct member *member, *next;
	struct remote *r, *next_remote;

	HASH_ITER (hh, m->members, member, next)
		if (peer_link_is_up(member->link))
			members_send_heartbeat(m, member, now);
	HASH_ITER (hh, m->remotes, r, next_remote)
		members_reply_heartbeat(m, &r->handle, now);
}

static void tick_members(struct membership *m, int64_t now)
{
	struct member *member, *next;

	HASH_ITER (hh, m->members, member, next) {
		bool active = now - member->used_at < LINK_IDLE_US;

		if (!active && !member->relay) {
			members_close(m, member);
			continue;
		}
		if (peer_link_is_up(member->link) &&
		    now - member->sent_at >= m->interval_us)
			members_send_heartbeat(m, member, now);
	}
}

/* Daemons that do not read the platform have the list of VMs from a relay. */
static void share_vm_list(struct membership *m, struct remote *r)
{
	struct node *node = m->node;
	uint64_t serial = vm_list_serial(node->vm_list);
	const struct config_vm *vm;

	if (!m->is_relay || r->vm_list_serial == serial)
		return;
	vm = config_snapshot_find_vm(node->snapshot, base_str_from(r->vm));
	if (!vm || vm->domain != node->self->domain)
		return;
	r->vm_list_serial = serial;
	vm_list_send(node->vm_list, &r->handle);
}

static void tick_remotes(struct membership *m, int64_t now)
{
	struct remote *r, *next;

	HASH_ITER (hh, m->remotes, r, next) {
		if (now - r->heard_at < LINK_IDLE_US) {
			share_vm_list(m, r);
			continue;
		}
		HASH_DEL(m->remotes, r);
		free(r);
	}
}

/* Servers that are quiet while they have requests are asked for a sign. */
static void send_checks(struct membership *m, int64_t now)
{
	uint32_t ids[CHECKS_PER_TICK];
	size_t n =
		routing_due_checks(m->node->routing, now, ids, CHECKS_PER_TICK);
	struct member *member;
	size_t i;

	for (i = 0; i < n; i++) {
		HASH_FIND(hh, m->members, &ids[i], sizeof(ids[i]), member);
		if (member && peer_link_is_up(member->link))
			members_send_heartbeat(m, member, now);
	}
}

/* A server that was out comes back in by its reply to a heartbeat. */
static void send_probes(struct membership *m, int64_t now)
{
	uint32_t ids[PROBES_PER_TICK];
	size_t n =
		routing_due_probes(m->node->routing, now, ids, PROBES_PER_TICK);
	size_t i;

	for (i = 0; i < n; i++) {
		const struct config_vm *vm = roster_vm(m->node->roster, ids[i]);
		struct member *member = NULL;

		if (vm && !node_is_self(m->node, vm))
			member = members_open(m, vm, now);
		if (member && peer_link_is_up(member->link))
			members_send_heartbeat(m, member, now);
	}
}

/* No link leads to the own guard, so its report comes from here. */
static void report_self(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct routing_load_report report = guard_load_report(node->guard, now);

	if (node->self)
		routing_heartbeat(node->routing,
				  roster_vm_id(node->roster, node->self->name),
				  &report, m->interval_us, now);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	struct membership *m = arg;
	int64_t now = base_now_us();

	node_detect_pause(m->node, now);
	seeds_tick(m->node->seeds);
	m->interval_us = members_heartbeat_interval(m);
	if (m->node->snapshot && now - m->relays_checked_at >= RELAY_CHECK_US)
		relays_update(m, now);
	tick_members(m, now);
	tick_remotes(m, now);
	if (m->node->snapshot)
		relays_report_own_domain(m, now);
	end_asking(m, now);
	report_self(m, now);
	send_checks(m, now);
	send_probes(m, now);
	entry_tick(m->node->entry, now);
}

void membership_configure(struct membership *m, int64_t now)
{
	struct member *member, *next;

	seeds_close(m->node->seeds);
	HASH_ITER (hh, m->members, member, next) {
		const struct config_vm *vm =
			roster_vm(m->node->roster, member->vm);

		/* A VM that moved or was removed needs another link. */
		if (!vm || !base_str_equal(vm->address,
					   peer_link_address(member->link)))
			members_close(m, member);
	}
	relays_update(m, now);
	if (m->asking)
		start_asking(m, now);
	membership_announce(m, now);
}

bool membership_ready(const struct membership *m)
{
	return !m->asking;
}

void membership_woke(struct membership *m, int64_t now)
{
	if (!m->node->dialect->registry)
		start_asking(m, now);
}

struct membership *membership_create(struct node *node)
{
	struct membership *m = base_alloc(sizeof(*m));

	m->node = node;
	/* A registry is read at its newest, a published set may be stale. */
	m->asking = !node->dialect->registry;
	m->interval_us = ROUTING_HEARTBEAT_INTERVAL_US;
	m->tick = event_new(node->base, -1, EV_PERSIST, on_tick, m);
	event_add(m->tick, &(struct timeval){ .tv_usec = TICK_US });
	return m;
}

void membership_destroy(struct membership *m)
{
	struct member *member, *next;
	struct remote *r, *next_remote;
	struct domain_version *d, *next_domain;

	if (!m)
		return;
	HASH_ITER (hh, m->members, member, next)
		members_close(m, member);
	HASH_ITER (hh, m->remotes, r, next_remote) {
		HASH_DEL(m->remotes, r);
		free(r);
	}
	HASH_ITER (hh, m->domains, d, next_domain) {
		HASH_DEL(m->domains, d);
		free(d);
	}
	event_free(m->tick);
	free(m);
}
