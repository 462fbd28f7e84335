/*
 * Links to peers, heartbeats, relays and the versions that peers report.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "node.h"

struct membership *membership_create(struct node *node);
void membership_destroy(struct membership *m);
/** A new snapshot came into force. */
void membership_configure(struct membership *m, int64_t now);
/** Entries call it for each request sent, to keep the link's heartbeats. */
void membership_record_link_use(struct membership *m, struct peer_link *link,
				int64_t now);

/** The link was opened a moment ago and may still come up. */
bool membership_is_connecting(const struct membership *m,
			      const struct peer_link *link, int64_t now);

void membership_on_link_up(struct membership *m, struct peer_link *link);
void membership_on_link_down(struct membership *m, struct peer_link *link);
void membership_on_link_message(struct membership *m, struct peer_link *link,
				const struct peer_message *msg, int64_t now);
void membership_on_remote_message(struct membership *m,
				  const struct peer_remote *remote,
				  const struct peer_message *msg, int64_t now);
/** Asks a peer for a configuration value on behalf of the control task. */
void membership_fetch(struct membership *m, struct base_str key);
/** Tells all linked peers the state of this daemon at once. */
void membership_announce(struct membership *m, int64_t now);
/** Set once the fresh or woken daemon has asked its peers for the version. */
bool membership_ready(const struct membership *m);
/** The process was paused: ask the peers again before serving. */
void membership_woke(struct membership *m, int64_t now);
/** Oldest version reported by a failure domain; 0 when none was. */
uint64_t membership_domain_version(const struct membership *m,
				   struct base_str domain);

#endif
