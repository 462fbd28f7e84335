/*
 * The other guards of the own service: links to them, which of them is the
 * arbiter of suspects, and news about suspects.
 */
#ifndef SERVICE_PEERS_H
#define SERVICE_PEERS_H

#include "node.h"

struct service_peers {
	struct node *node;
	struct retry_suspects *suspects;
	struct retry_arbiter *arbiter;
	/** Number of the own service; UINT32_MAX before the first snapshot. */
	uint32_t service;
	/** This daemon is the arbiter as far as it can tell. */
	bool is_arbiter;
	int64_t links_opened_at;
};

/** Opens links to the other guards; @return whether all of them are up */
bool service_peers_open_links(struct service_peers *peers, int64_t now);
/**
 * Finds the arbiter: the first VM of the service by rank that is not leaving
 * and is this one or has its link up. Links must have been opened before.
 * @return NULL when there is none
 */
const struct config_vm *service_peers_arbiter(struct service_peers *peers,
					      int64_t now);
/**
 * Tells the guards whose link is up; the others learn it on connecting. A
 * retry_suspect_cb with the peers as context.
 */
void service_peers_broadcast_suspect(void *ctx,
				     const struct retry_suspect_update *news);
/** Sends all that is known over one of @p link and @p remote. */
void service_peers_send_suspects(struct service_peers *peers,
				 struct peer_link *link,
				 const struct peer_remote *remote, int64_t now);
/** Whether the VM is another one of the own service; @p vm may be NULL. */
bool service_peers_contains(const struct service_peers *peers,
			    const struct config_vm *vm);

#endif
