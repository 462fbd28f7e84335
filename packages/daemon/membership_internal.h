/*
 * State of the membership, shared by membership.c, links.c, retired_links.c and
 * relays.c.
 */
#ifndef MEMBERSHIP_INTERNAL_H
#define MEMBERSHIP_INTERNAL_H

#include "membership.h"

#include <uthash.h>

/* A relay whose link is not up after this time is skipped. */
#define RELAY_CONNECT_TIMEOUT_US (2 * BASE_SECOND_US)
/*
 * An outgoing link without requests for this time is closed, unless it leads to
 * a possible relay. The record of an incoming link without messages for this
 * time is removed.
 */
#define LINK_IDLE_TIMEOUT_US (30 * BASE_SECOND_US)

/* A link that this daemon opened; the key is the VM's id in the roster. */
struct outgoing_link {
	uint32_t vm;
	struct peer_link *link;
	int64_t opened_at;
	int64_t used_at;
	int64_t received_at;
	int64_t sent_at;
	/* Requests that were sent on it and have not ended. */
	uint32_t in_flight;
	/* Configuration version that the peer reported last. */
	uint64_t version;
	/* The VM may be a relay of its domain, so the link stays open. */
	bool relay;
	/* The peer has not answered the query for its version yet. */
	bool query_pending;
	/* It is in the list of retired links and not in the table. */
	bool retired;
	/* While retired: since when no request is in flight on it. */
	int64_t idle_since;
	/* While retired. */
	struct routing_liveness liveness;
	struct outgoing_link *prev, *next;
	UT_hash_handle hh;
};

/* A link that a peer opened to this daemon. */
struct incoming_link {
	struct peer_remote handle;
	char vm[65];
	int64_t received_at;
	uint64_t version;
	/* Serial of the VM list that was sent to the peer last. */
	uint64_t vm_list_serial;
	UT_hash_handle hh;
};

/* Oldest version that is active in a failure domain. */
struct domain_version {
	char name[65];
	uint64_t version;
	UT_hash_handle hh;
};

struct membership {
	struct node *node;
	struct event *tick;
	struct outgoing_link *outgoing;
	/* Links to VMs that are out of use, the oldest first. */
	struct outgoing_link *retired;
	size_t retired_count;
	struct incoming_link *incoming;
	struct domain_version *domains;
	uint64_t highest_reported_version;
	int64_t query_deadline;
	/* Peers are queried for their version; the daemon is not ready. */
	bool querying;
	bool is_relay;
	int64_t relay_since;
	int64_t relays_checked_at;
	int64_t announced_at;
	/* The last report of the own server said that it takes requests. */
	bool usable;
	int64_t usable_reported_at;
	int64_t heartbeat_interval_us;
};

/** Interval between heartbeats in us; it grows with the number of links. */
int64_t links_heartbeat_interval(const struct membership *m);
void links_send_heartbeat(struct membership *m, struct outgoing_link *out_link,
			  int64_t now);
void links_reply_heartbeat(struct membership *m,
			   const struct peer_remote *remote, int64_t now);
/** Returns the link to a VM and opens it if needed; NULL when it cannot. */
struct outgoing_link *links_open(struct membership *m,
				 const struct config_vm *vm, int64_t now);
void links_close(struct membership *m, struct outgoing_link *out_link);
/** Nothing is in flight on the link, and it has not been used for long. */
bool links_is_idle(const struct outgoing_link *out_link, int64_t now);

/**
 * Takes a link out of use whose VM was removed or has another address. It gets
 * no new requests, and is closed when those in flight have ended. A link that
 * is not up is closed at once.
 */
void retired_links_add(struct membership *m, struct outgoing_link *out_link,
		       int64_t now);
/**
 * Takes the retired link to a VM that is listed again, with the same address,
 * out of the list of retired links. The transport then reports it as up again.
 * @return NULL without such a link, or when it may be dead
 */
struct outgoing_link *retired_links_take_back(struct membership *m, uint32_t vm,
					      struct base_str address,
					      int64_t now);
/** Checks that the peers are alive, and closes links that are not needed. */
void retired_links_tick(struct membership *m, int64_t now);
void retired_links_on_resume(struct membership *m, int64_t now);
void retired_links_close_all(struct membership *m);

/**
 * Opens links to the relays of the own failure domain, on a relay to those of
 * all domains, and reports to the control task whether this daemon is a relay.
 */
void relays_update(struct membership *m, int64_t now);
/**
 * On a relay, records the oldest version that the daemons of the own failure
 * domain have active; heartbeats report it. Does nothing on other daemons.
 */
void relays_report_own_domain(struct membership *m, int64_t now);
/**
 * On a relay that reads a platform's registry, announces the revision to the
 * daemons of the own failure domain, when it has @p changed also to the relays
 * of the others. Without a change, does nothing within
 * REGISTRY_ANNOUNCE_INTERVAL_US.
 */
void relays_announce(struct membership *m, bool changed, int64_t now);
/**
 * Passes the announcement of a relay on to the control task.
 * @param sent_at  on the clock of this daemon
 */
void relays_on_announcement(struct membership *m,
			    const struct peer_config_announce *announcement,
			    int64_t sent_at);
void relays_merge_domain_versions(struct membership *m,
				  const struct peer_heartbeat *beat,
				  int64_t now);

#endif
