/**
 * @file
 * The other guards of the local service: links to them, the choice of the
 * arbiter, and the exchange of suspects. A suspect is a request that was in
 * flight when a backend server died; the arbiter is the guard that permits
 * suspects to run.
 */
#ifndef SERVICE_PEERS_H
#define SERVICE_PEERS_H

#include "node.h"

struct suspect_keepers;

struct service_peers {
	struct node *node;
	struct suspect_keepers *keepers;
	struct retry_suspects *suspects;
	struct retry_arbiter *arbiter;
	/** Roster id of the local service; UINT32_MAX without a snapshot. */
	uint32_t service;
	/** Result of the last service_peers_arbiter(). */
	bool is_arbiter;
	/** When the last new link was opened. */
	int64_t links_opened_at;
};

/**
 * Opens links to the other guards.
 * @return whether all of them are up
 */
bool service_peers_open_links(struct service_peers *peers, int64_t now);
/**
 * Finds the arbiter: the first VM of the service by rank that is not leaving
 * and is the local one or has its link up. Links count as up for one second
 * after the last one was opened. Call service_peers_open_links() before. When
 * the local guard becomes the arbiter, it grants no permit for a time, as those
 * of its predecessor may be in use.
 * @return NULL when there is none
 */
const struct config_vm *service_peers_arbiter(struct service_peers *peers,
					      int64_t now);
/**
 * Sends the new state of a suspect to the other guards and to the keepers of
 * the service. A guard whose link is
 * down receives all suspects when it connects. A retry_suspect_cb; @p ctx is
 * the struct service_peers. The local VM must be in the snapshot.
 */
void service_peers_broadcast_suspect(void *ctx,
				     const struct retry_suspect_update *update);
/**
 * Sends all suspects to one guard. The local VM must be in the snapshot.
 * @param link    NULL to send to @p remote
 * @param remote  NULL to send over @p link
 */
void service_peers_send_suspects(struct service_peers *peers,
				 struct peer_link *link,
				 const struct peer_remote *remote, int64_t now);
/** Whether @p vm is another VM of the local service; @p vm may be NULL. */
bool service_peers_contains(const struct service_peers *peers,
			    const struct config_vm *vm);

#endif
