/* State of the membership, shared by the files that implement it. */
#ifndef MEMBERS_H
#define MEMBERS_H

#include "membership.h"

#include <uthash.h>

/* A relay that is not up after this time is passed over. */
#define RELAY_CONNECT_US (2 * BASE_SECOND_US)

/* An outgoing link, by the VM's number. */
struct member {
	uint32_t vm;
	struct peer_link *link;
	int64_t opened_at;
	int64_t used_at;
	int64_t heard_at;
	int64_t sent_at;
	uint64_t version;
	bool relay;
	bool asked;
	UT_hash_handle hh;
};

/* A daemon that has a link to this one. */
struct remote {
	struct peer_remote handle;
	char vm[65];
	int64_t heard_at;
	uint64_t version;
	/** The list of VMs that was sent to it. */
	uint64_t vm_list_serial;
	UT_hash_handle hh;
};

struct domain_version {
	char name[65];
	uint64_t version;
	UT_hash_handle hh;
};

struct membership {
	struct node *node;
	struct event *tick;
	struct member *members;
	struct remote *remotes;
	struct domain_version *domains;
	uint64_t highest_heard;
	int64_t ask_until;
	bool asking;
	bool is_relay;
	int64_t relay_since;
	int64_t relays_checked_at;
	int64_t interval_us;
};

/** Time between heartbeats, which grows with the number of links. */
int64_t members_heartbeat_interval(const struct membership *m);
void members_send_heartbeat(struct membership *m, struct member *member,
			    int64_t now);
void members_reply_heartbeat(struct membership *m,
			     const struct peer_remote *remote, int64_t now);
/** @return NULL when no link can be opened */
struct member *members_open(struct membership *m, const struct config_vm *vm,
			    int64_t now);
void members_close(struct membership *m, struct member *member);

/** Keeps the links to relays and tells the control task of the own role. */
void relays_update(struct membership *m, int64_t now);
/** A relay reports the oldest version that its domain's daemons have. */
void relays_report_own_domain(struct membership *m, int64_t now);
void relays_take_domains(struct membership *m,
			 const struct peer_heartbeat *beat, int64_t now);

#endif
