/*
 * Rate and burst of accounts: connects the entry and holder decisions of the
 * rate package with peers.
 */
#ifndef RATE_LINK_H
#define RATE_LINK_H

#include "node.h"

struct rate_limiter *rate_limiter_create(struct node *node, int64_t now);
void rate_limiter_destroy(struct rate_limiter *link);
/** A new snapshot came into force; @p before may be NULL. */
void rate_limiter_configure(struct rate_limiter *link,
			    const struct config_snapshot *before, int64_t now);
/**
 * Decides about a request. For RATE_WAITING, entry_on_rate_decision() follows.
 * @param request  unique among the waiting requests
 */
struct rate_decision rate_limiter_admit(struct rate_limiter *link,
					const struct config_account *account,
					uint64_t request, int64_t now);
/** Forgets a waiting request. */
void rate_limiter_cancel(struct rate_limiter *link,
			 const struct config_account *account,
			 uint64_t request);
/**
 * Sends what the last decisions call for. Called after an admitted request was
 * sent or dropped.
 */
void rate_limiter_flush(struct rate_limiter *link, int64_t now);
/** An ask of a remote entry. */
void rate_limiter_on_ask(struct rate_limiter *link,
			 const struct peer_remote *remote,
			 const struct peer_message *msg, int64_t now);
/** A grant of a remote holder. */
void rate_limiter_on_grant(struct rate_limiter *link, struct base_str holder_vm,
			   const struct peer_message *msg, int64_t now);
/** Sends the asks that waited for the link. */
void rate_limiter_on_link_up(struct rate_limiter *link,
			     const struct config_vm *vm, int64_t now);
void rate_limiter_on_link_down(struct rate_limiter *link,
			       const struct config_vm *vm, int64_t now);
/** A peer or domain acts on a version; see rate_holder_confirm(). */
void rate_limiter_on_domain_version(struct rate_limiter *link,
				    struct base_str domain, uint64_t version,
				    int64_t now);

/** All shares that this daemon holds hand out tokens. */
bool rate_limiter_ready(const struct rate_limiter *link, int64_t now);

#endif
