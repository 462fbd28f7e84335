/* Membership: messages of peers, and the state that follows from them. */
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
/* Not on each tick: ranking 930 VMs in nine domains takes a millisecond. */
#define RELAY_CHECK_INTERVAL_US (500 * BASE_MS_US)
/* Longest time for which requests wait for a link that was just opened. */
#define LINK_SETUP_US (300 * BASE_MS_US)
/* Number of peers that are queried for their version after start or pause. */
#define QUERIED_PEERS 8
#define PROBES_PER_TICK 4
#define CHECKS_PER_TICK 16
/* Shortest time between reports to all entries that the server is usable. */
#define USABLE_REPORT_INTERVAL_US (500 * BASE_MS_US)
/* Time for which the answers to these queries are awaited. */
#define QUERY_TIMEOUT_US BASE_SECOND_US

static void report_peer_version(struct membership *m, uint64_t version,
				const struct base_digest *hash)
{
	struct control_message *msg;

	if (!version)
		return;
	/* The control task fetches a revision by itself once it knows of it. */
	if (m->node->dialect->registry &&
	    version <= m->highest_reported_version)
		return;
	if (version > m->highest_reported_version)
		m->highest_reported_version = version;
	msg = base_alloc(sizeof(*msg));
	msg->type = CONTROL_PEER_VERSION;
	msg->version = (int64_t)version;
	msg->digest = *hash;
	control_post(m->node->control, msg);
}

static void finish_query(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct outgoing_link *out_link, *next;
	size_t waiting = 0;

	if (!m->querying || !node->snapshot)
		return;
	HASH_ITER (hh, m->outgoing, out_link, next)
		waiting += out_link->query_pending;
	if (waiting && now < m->query_deadline)
		return;
	/* A peer has a newer version: its activation is awaited too. */
	if ((uint64_t)node->snapshot->version < m->highest_reported_version &&
	    now < m->query_deadline + QUERY_TIMEOUT_US)
		return;
	m->querying = false;
	if (node->dialect->idempotency_keys)
		claims_configure(node->claims, node->snapshot, now);
}

/* Queries peers for their version; the daemon is not ready until it ends. */
static void start_query(struct membership *m, int64_t now)
{
	const struct config_snapshot *s = m->node->snapshot;
	const struct config_vm *ranked[QUERIED_PEERS + 1];
	size_t n, i;

	m->querying = true;
	m->query_deadline = now + QUERY_TIMEOUT_US;
	if (!s)
		return;
	n = config_snapshot_rank_vms(s, base_str_from(m->node->settings->vm),
				     NULL, NULL, ranked, QUERIED_PEERS + 1);
	for (i = 0; i < n; i++) {
		struct outgoing_link *out_link;

		if (node_is_self(m->node, ranked[i]))
			continue;
		out_link = links_open(m, ranked[i], now);
		if (!out_link)
			continue;
		out_link->query_pending = true;
		if (peer_link_is_up(out_link->link))
			links_send_heartbeat(m, out_link, now);
	}
}

bool membership_is_connecting(const struct membership *m,
			      const struct peer_link *link, int64_t now)
{
	const struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	return out_link && !peer_link_is_up(link) &&
	       now - out_link->opened_at < LINK_SETUP_US;
}

void membership_on_link_up(struct membership *m, struct peer_link *link)
{
	struct outgoing_link *out_link = peer_link_data(link);
	uint32_t vm;

	if (!out_link)
		return;
	vm = out_link->vm;
	links_send_heartbeat(m, out_link, base_now_us());
	entry_on_link_up(m->node->entry, vm);
}

void membership_on_link_down(struct membership *m, struct peer_link *link)
{
	struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	/* Requests do not wait for a lost link, and a relay is skipped. */
	if (out_link)
		out_link->opened_at = base_now_us() - RELAY_CONNECT_TIMEOUT_US;
}

static void on_heartbeat(struct membership *m, struct outgoing_link *out_link,
			 const struct peer_heartbeat *beat, int64_t now)
{
	struct routing_load_report report = {
		.load = beat->load,
		.limit = beat->limit,
		.draining = beat->draining,
		.cold_full = beat->cold_full,
		.stopping = beat->stopping,
		.service_us = beat->service_us,
		.success_permille = beat->success_permille,
	};

	out_link->version = beat->version;
	out_link->query_pending = false;
	routing_heartbeat(m->node->routing, out_link->vm, &report,
			  m->heartbeat_interval_us, now);
	if (beat->draining)
		routing_drain_notice(m->node->routing, out_link->vm, now);
	report_peer_version(m, beat->version, &beat->hash);
	relays_merge_domain_versions(m, beat, now);
	finish_query(m, now);
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

/* @param changes  receives the text of the reply if it is made for the peer */
static struct peer_message build_config_reply(const struct node *node,
					      const struct peer_message *get,
					      struct base_buf *changes)
{
	const struct publication *pub = node->publication;
	struct peer_message reply = {
		.type = PEER_CONFIG_VALUE,
		.id = get->id,
		.config_value = { .key = get->config_get.key },
	};

	if (!pub)
		return reply;
	reply.config_value.version = (uint64_t)pub->version;
	reply.config_value.hash = pub->digest;
	reply.config_value.value = publication_value(pub, get->config_get.key);
	if (publication_write_changes(pub, get->config_get.key, changes) &&
	    changes->len <= PEER_BODY_MAX_BYTES)
		reply.config_value.value = base_buf_str(changes);
	reply.config_value.found = reply.config_value.value.ptr != NULL;
	return reply;
}

/*
 * Answers a peer that has no roster yet. It has no link of its own to this
 * daemon, so its request came over this daemon's link to it.
 */
static void send_config_value(struct membership *m, struct peer_link *link,
			      const struct peer_message *get)
{
	BASE_CLEANUP(base_buf_release) struct base_buf changes = BASE_BUF_INIT;
	struct peer_message reply = build_config_reply(m->node, get, &changes);

	peer_transport_send(m->node->transport, link, &reply);
}

/*
 * Handles a message of a seed peer. Without a roster, only messages about the
 * configuration are of use.
 */
static void handle_seed_message(struct membership *m, struct peer_link *link,
				const struct peer_message *msg)
{
	const struct peer_heartbeat *beat = &msg->heartbeat;

	if (msg->type == PEER_HEARTBEAT &&
	    seeds_record_version(m->node->seeds, link, beat->version))
		report_peer_version(m, beat->version, &beat->hash);
	else if (msg->type == PEER_CONFIG_VALUE)
		on_config_value(m, &msg->config_value);
}

void membership_record_received(struct membership *m, struct peer_link *link,
				int64_t now)
{
	struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	if (!out_link)
		return;
	out_link->received_at = now;
	out_link->liveness.last_received_at = now;
}

void membership_on_link_message(struct membership *m, struct peer_link *link,
				const struct peer_message *msg,
				const struct peer_receive_info *receive_info)
{
	struct outgoing_link *out_link = peer_link_data(link);
	int64_t now = receive_info->received_at;

	if (!out_link) {
		handle_seed_message(m, link, msg);
		return;
	}
	if (msg->type == PEER_CONFIG_VALUE)
		on_config_value(m, &msg->config_value);
	/* The rest says nothing about the VM that may be listed in its place.
	 */
	if (out_link->retired)
		return;
	if (msg->type == PEER_HEARTBEAT) {
		on_heartbeat(m, out_link, &msg->heartbeat, now);
	} else if (msg->type == PEER_CONFIG_ANNOUNCE) {
		out_link->version = msg->config_announce.version;
		relays_on_announcement(m, &msg->config_announce,
				       now - receive_info->age_us);
	} else if (msg->type == PEER_CONFIG_GET) {
		send_config_value(m, link, msg);
	}
}

static void reply_config_value(struct membership *m,
			       const struct peer_remote *remote,
			       const struct peer_message *get)
{
	BASE_CLEANUP(base_buf_release) struct base_buf changes = BASE_BUF_INIT;
	struct peer_message reply = build_config_reply(m->node, get, &changes);

	peer_transport_reply(m->node->transport, remote, &reply);
}

/* Records the revision that a relay announced over its link to this daemon. */
static void record_remote_version(struct membership *m,
				  struct incoming_link *in_link,
				  uint64_t version)
{
	const struct config_vm *vm;
	struct outgoing_link *out_link = NULL;
	uint32_t id;

	in_link->version = version;
	vm = m->node->snapshot
		     ? config_snapshot_find_vm(m->node->snapshot,
					       base_str_from(in_link->vm))
		     : NULL;
	if (!vm)
		return;
	id = roster_vm_id(m->node->roster, vm->name);
	HASH_FIND(hh, m->outgoing, &id, sizeof(id), out_link);
	if (out_link)
		out_link->version = version;
}

static struct incoming_link *get_incoming(struct membership *m,
					  const struct peer_remote *handle)
{
	struct incoming_link *in_link;

	HASH_FIND(hh, m->incoming, handle, sizeof(*handle), in_link);
	if (in_link)
		return in_link;
	in_link = base_alloc(sizeof(*in_link));
	in_link->handle = *handle;
	HASH_ADD(hh, m->incoming, handle, sizeof(in_link->handle), in_link);
	return in_link;
}

void membership_on_remote_message(struct membership *m,
				  const struct peer_remote *remote,
				  const struct peer_message *msg,
				  const struct peer_receive_info *receive_info)
{
	struct incoming_link *in_link = get_incoming(m, remote);
	int64_t now = receive_info->received_at;

	in_link->received_at = now;
	if (msg->type == PEER_HELLO) {
		snprintf(in_link->vm, sizeof(in_link->vm), "%.*s",
			 BASE_STR_ARG(msg->hello.vm));
		in_link->version = msg->hello.version;
		in_link->vm_list_serial = 0;
		links_reply_heartbeat(m, remote, now);
	} else if (msg->type == PEER_HEARTBEAT) {
		in_link->version = msg->heartbeat.version;
		report_peer_version(m, msg->heartbeat.version,
				    &msg->heartbeat.hash);
		relays_merge_domain_versions(m, &msg->heartbeat, now);
		links_reply_heartbeat(m, remote, now);
	} else if (msg->type == PEER_CONFIG_GET) {
		reply_config_value(m, remote, msg);
	} else if (msg->type == PEER_CONFIG_VALUE) {
		on_config_value(m, &msg->config_value);
	} else if (msg->type == PEER_CONFIG_ANNOUNCE) {
		record_remote_version(m, in_link, msg->config_announce.version);
		relays_on_announcement(m, &msg->config_announce,
				       now - receive_info->age_us);
	}
}

static const struct incoming_link *best_incoming(const struct membership *m)
{
	const struct incoming_link *best = NULL;
	const struct incoming_link *in_link;

	for (in_link = m->incoming; in_link; in_link = in_link->hh.next)
		if (in_link->version &&
		    (!best || in_link->version > best->version))
			best = in_link;
	return best;
}

/* Relays come first, as those of the own failure domain are near. */
static bool is_better_source(const struct outgoing_link *out_link,
			     const struct outgoing_link *best)
{
	if (!best || out_link->version != best->version)
		return !best || out_link->version > best->version;
	return out_link->relay && !best->relay;
}

void membership_fetch(struct membership *m, struct base_str key)
{
	struct peer_link *link = seeds_best_link(m->node->seeds);
	const struct incoming_link *in_link = best_incoming(m);
	struct outgoing_link *out_link, *next, *best = NULL;
	struct peer_message msg = {
		.type = PEER_CONFIG_GET,
		.id = 1,
		.config_get = { .key = key },
	};

	HASH_ITER (hh, m->outgoing, out_link, next)
		if (peer_link_is_up(out_link->link) &&
		    is_better_source(out_link, best))
			best = out_link;
	if (best)
		link = best->link;
	if (link)
		peer_transport_send(m->node->transport, link, &msg);
	else if (in_link)
		peer_transport_reply(m->node->transport, &in_link->handle,
				     &msg);
}

void membership_announce(struct membership *m, int64_t now)
{
	struct outgoing_link *out_link, *next;
	struct incoming_link *in_link, *next_in;

	HASH_ITER (hh, m->outgoing, out_link, next)
		if (peer_link_is_up(out_link->link))
			links_send_heartbeat(m, out_link, now);
	HASH_ITER (hh, m->incoming, in_link, next_in)
		links_reply_heartbeat(m, &in_link->handle, now);
}

static void tick_outgoing(struct membership *m, int64_t now)
{
	struct outgoing_link *out_link, *next;

	HASH_ITER (hh, m->outgoing, out_link, next) {
		if (links_is_idle(out_link, now)) {
			links_close(m, out_link);
			continue;
		}
		if (peer_link_is_up(out_link->link) &&
		    now - out_link->sent_at >= m->heartbeat_interval_us)
			links_send_heartbeat(m, out_link, now);
	}
}

/* A relay sends the VM list to the daemons of its failure domain. */
static void share_vm_list(struct membership *m, struct incoming_link *in_link)
{
	struct node *node = m->node;
	uint64_t serial = vm_list_serial(node->vm_list);
	const struct config_vm *vm;

	if (!m->is_relay || in_link->vm_list_serial == serial)
		return;
	vm = config_snapshot_find_vm(node->snapshot,
				     base_str_from(in_link->vm));
	if (!vm || vm->domain != node->self->domain)
		return;
	in_link->vm_list_serial = serial;
	vm_list_send(node->vm_list, &in_link->handle);
}

static void tick_incoming(struct membership *m, int64_t now)
{
	struct incoming_link *in_link, *next;

	HASH_ITER (hh, m->incoming, in_link, next) {
		if (now - in_link->received_at < LINK_IDLE_TIMEOUT_US) {
			share_vm_list(m, in_link);
			continue;
		}
		HASH_DEL(m->incoming, in_link);
		free(in_link);
	}
}

/*
 * Sends heartbeats to servers that are silent while requests are in flight to
 * them. Their reply shows that they are alive.
 */
static void send_liveness_checks(struct membership *m, int64_t now)
{
	uint32_t ids[CHECKS_PER_TICK];
	size_t n =
		routing_due_checks(m->node->routing, now, ids, CHECKS_PER_TICK);
	struct outgoing_link *out_link;
	size_t i;

	for (i = 0; i < n; i++) {
		HASH_FIND(hh, m->outgoing, &ids[i], sizeof(ids[i]), out_link);
		if (out_link && peer_link_is_up(out_link->link))
			links_send_heartbeat(m, out_link, now);
	}
}

/* Probes servers that are out of use; their reply makes them usable again. */
static void send_probes(struct membership *m, int64_t now)
{
	uint32_t ids[PROBES_PER_TICK];
	size_t n =
		routing_due_probes(m->node->routing, now, ids, PROBES_PER_TICK);
	size_t i;

	for (i = 0; i < n; i++) {
		const struct config_vm *vm = roster_vm(m->node->roster, ids[i]);
		struct outgoing_link *out_link = NULL;

		if (vm && !node_is_self(m->node, vm))
			out_link = links_open(m, vm, now);
		if (out_link && peer_link_is_up(out_link->link))
			links_send_heartbeat(m, out_link, now);
	}
}

/*
 * Entries send nothing to a server that is full while cold or has no limit yet,
 * so no answer tells them when this ends, and with many links the next
 * heartbeat may be ten seconds away.
 */
static void report_usable(struct membership *m,
			  const struct routing_load_report *report, int64_t now)
{
	struct incoming_link *in_link, *next;

	if (report->cold_full || report->draining || report->stopping ||
	    !report->limit) {
		m->usable = false;
		return;
	}
	if (m->usable ||
	    now - m->usable_reported_at < USABLE_REPORT_INTERVAL_US)
		return;
	m->usable = true;
	m->usable_reported_at = now;
	HASH_ITER (hh, m->incoming, in_link, next)
		links_reply_heartbeat(m, &in_link->handle, now);
}

/* There is no link to the own guard, so its load is reported here. */
static void report_self(struct membership *m, int64_t now)
{
	struct node *node = m->node;
	struct routing_load_report report = guard_load_report(node->guard, now);

	report_usable(m, &report, now);
	if (node->self)
		routing_heartbeat(node->routing,
				  roster_vm_id(node->roster, node->self->name),
				  &report, m->heartbeat_interval_us, now);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	struct membership *m = arg;
	int64_t now = base_now_us();

	node_detect_pause(m->node, now);
	seeds_tick(m->node->seeds);
	m->heartbeat_interval_us = links_heartbeat_interval(m);
	if (m->node->snapshot &&
	    now - m->relays_checked_at >= RELAY_CHECK_INTERVAL_US)
		relays_update(m, now);
	tick_outgoing(m, now);
	retired_links_tick(m, now);
	tick_incoming(m, now);
	if (m->node->snapshot && !m->node->dialect->registry)
		relays_report_own_domain(m, now);
	relays_announce(m, false, now);
	finish_query(m, now);
	guard_tick(m->node->guard, now);
	report_self(m, now);
	send_liveness_checks(m, now);
	send_probes(m, now);
	entry_tick(m->node->entry, now);
}

void membership_retire_links(struct membership *m, int64_t now)
{
	struct outgoing_link *out_link, *next;

	seeds_close(m->node->seeds);
	HASH_ITER (hh, m->outgoing, out_link, next) {
		const struct config_vm *vm =
			roster_vm(m->node->roster, out_link->vm);

		/* The VM was removed or has another address. */
		if (!vm || !base_str_equal(vm->address,
					   peer_link_address(out_link->link)))
			retired_links_add(m, out_link, now);
	}
}

void membership_configure(struct membership *m, int64_t now)
{
	relays_update(m, now);
	if (m->querying)
		start_query(m, now);
	/*
	 * Of a registry's revision only relays tell, as messages between all
	 * pairs of VMs for each change do not scale.
	 */
	if (m->node->dialect->registry)
		relays_announce(m, true, now);
	else
		membership_announce(m, now);
}

bool membership_ready(const struct membership *m)
{
	return !m->querying;
}

void membership_on_resume(struct membership *m, int64_t now)
{
	retired_links_on_resume(m, now);
	if (!m->node->dialect->registry)
		start_query(m, now);
}

struct membership *membership_create(struct node *node)
{
	struct membership *m = base_alloc(sizeof(*m));

	m->node = node;
	/*
	 * A registry is read at its newest revision. A published configuration
	 * may be stale, so it is checked against peers.
	 */
	m->querying = !node->dialect->registry;
	m->heartbeat_interval_us = ROUTING_HEARTBEAT_INTERVAL_US;
	m->tick = event_new(node->base, -1, EV_PERSIST, on_tick, m);
	event_add(m->tick, &(struct timeval){ .tv_usec = TICK_US });
	return m;
}

void membership_destroy(struct membership *m)
{
	struct outgoing_link *out_link, *next;
	struct incoming_link *in_link, *next_in;
	struct domain_version *d, *next_domain;

	if (!m)
		return;
	HASH_ITER (hh, m->outgoing, out_link, next)
		links_close(m, out_link);
	retired_links_close_all(m);
	HASH_ITER (hh, m->incoming, in_link, next_in) {
		HASH_DEL(m->incoming, in_link);
		free(in_link);
	}
	HASH_ITER (hh, m->domains, d, next_domain) {
		HASH_DEL(m->domains, d);
		free(d);
	}
	event_free(m->tick);
	free(m);
}
