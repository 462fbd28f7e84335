/**
 * @file
 * Copies of the suspects of a service at daemons of other services, its
 * keepers. When all daemons of the service end at once, their successors learn
 * from the keepers which requests crash servers.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef SUSPECT_KEEPERS_H
#define SUSPECT_KEEPERS_H

#include "node.h"

/** Keepers of a service, and the most of them in one failure domain. */
#define SUSPECT_KEEPERS 6
#define SUSPECT_KEEPERS_PER_DOMAIN 2

/** Suspects of other services that this daemon keeps. */
struct suspect_keepers;

struct suspect_keepers *suspect_keepers_create(struct node *node);
void suspect_keepers_destroy(struct suspect_keepers *k);
/**
 * Chooses the keepers of a service by rank, among the VMs of other services.
 * @param out  room for SUSPECT_KEEPERS VMs
 * @return their number; 0 when there are no other services
 */
size_t suspect_keepers_choose(const struct config_snapshot *snapshot,
			      const struct config_service *service,
			      const struct config_vm **out);
/**
 * Opens links to the keepers of the local service, which send what they keep
 * when the link comes up. The local VM must be in the snapshot.
 */
void suspect_keepers_ask(struct suspect_keepers *k, int64_t now);
/** Sends the new state of a suspect of the local service to its keepers. */
void suspect_keepers_notify(struct suspect_keepers *k, struct peer_message *msg,
			    int64_t now);
/** Keeps the state of a suspect of another service. */
void suspect_keepers_store(struct suspect_keepers *k,
			   const struct peer_suspect *suspect, int64_t now);
/**
 * Sends the suspects of the service of @p vm that are kept here to its daemon.
 * @param link    NULL to send to @p remote
 * @param remote  NULL to send over @p link
 */
void suspect_keepers_send(struct suspect_keepers *k, const struct config_vm *vm,
			  struct peer_link *link,
			  const struct peer_remote *remote, int64_t now);

#endif
