/*
 * Links to peers, heartbeats, relays and the versions that peers report.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "node.h"

struct membership *membership_create(struct node *node);
void membership_destroy(struct membership *m);
/**
 * Takes the links to VMs out of use that the snapshot no longer has, or has at
 * another address. Call it before anything else opens links by the snapshot: a
 * VM that was added may have the address of one that was removed.
 */
void membership_retire_links(struct membership *m, int64_t now);
/** Applies a snapshot that became active, after membership_retire_links(). */
void membership_configure(struct membership *m, int64_t now);
/**
 * Records that a message was sent. Links that are unused for 30 s are closed,
 * except those to possible relays and those with requests in flight.
 */
void membership_record_link_use(struct membership *m, struct peer_link *link,
				int64_t now);
/**
 * A request was sent on the link, which stays open until
 * membership_request_ended(), also when its VM is removed, or until its
 * connection ends; entry_on_link_down() then reports it.
 */
void membership_request_sent(struct membership *m, struct peer_link *link,
			     int64_t now);
/** The request was answered, given up or lost. */
void membership_request_ended(struct membership *m, struct peer_link *link);
/**
 * Returns the VM to which the link leads; NULL when the link is retired: its VM
 * was removed, or has another address.
 */
const struct config_vm *membership_link_vm(const struct membership *m,
					   const struct peer_link *link);
bool membership_is_link_retired(const struct membership *m,
				const struct peer_link *link);
/** Whether the peer of a link with requests in flight has become silent. */
bool membership_is_link_silent(const struct membership *m,
			       const struct peer_link *link, int64_t now);
/** Records the receipt of a message of any type. */
void membership_record_received(struct membership *m, struct peer_link *link,
				int64_t now);

/** The link was opened less than 300 ms ago and is not up yet. */
bool membership_is_connecting(const struct membership *m,
			      const struct peer_link *link, int64_t now);

void membership_on_link_up(struct membership *m, struct peer_link *link);
void membership_on_link_down(struct membership *m, struct peer_link *link);
void membership_on_link_message(struct membership *m, struct peer_link *link,
				const struct peer_message *msg,
				const struct peer_receive_info *receive_info);
void membership_on_remote_message(struct membership *m,
				  const struct peer_remote *remote,
				  const struct peer_message *msg,
				  const struct peer_receive_info *receive_info);
/**
 * Requests a configuration value for the control task from the peer that
 * reported the highest version: over a link of this daemon, else over one to a
 * seed peer, else over one that the peer opened. Does nothing without a link.
 */
void membership_fetch(struct membership *m, struct base_str key);
/** Sends a heartbeat to all linked peers without waiting for the interval. */
void membership_announce(struct membership *m, int64_t now);
/**
 * On a relay: announces to its failure domain that the platform has just
 * answered it.
 */
void membership_announce_evidence(struct membership *m, int64_t now);
/** False while peers are queried for their version, after start or pause. */
bool membership_ready(const struct membership *m);
/**
 * The process resumed after a pause. Queries peers for their version before the
 * daemon is ready again, except on a platform with a registry, which is always
 * read at its newest revision.
 */
void membership_on_resume(struct membership *m, int64_t now);
/** Oldest version that a failure domain reported; 0 when it has not. */
uint64_t membership_domain_version(const struct membership *m,
				   struct base_str domain);

#endif
