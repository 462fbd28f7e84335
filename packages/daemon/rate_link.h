/*
 * Rate and burst of accounts: connects the entry and holder decisions of the
 * rate package with peers.
 */
#ifndef RATE_LIMITER_H
#define RATE_LIMITER_H

#include "node.h"

struct rate_link *rate_link_create(struct node *node, int64_t now);
void rate_link_destroy(struct rate_link *limiter);
/** A new snapshot came into force; @p before may be NULL. */
void rate_link_configure(struct rate_link *limiter,
			 const struct config_snapshot *before, int64_t now);
/**
 * Decides about a request. For RATE_WAITING, entry_on_rate_decision() follows.
 * @param request  unique among the waiting requests
 */
struct rate_decision rate_link_admit(struct rate_link *limiter,
				     const struct config_account *account,
				     uint64_t request, int64_t now);
/** Forgets a waiting request. */
void rate_link_cancel(struct rate_link *limiter,
		      const struct config_account *account, uint64_t request);
/**
 * Sends what the last decisions call for. Called after an admitted request was
 * sent or dropped.
 */
void rate_link_flush(struct rate_link *limiter, int64_t now);
/** An ask of a remote entry. */
void rate_link_on_ask(struct rate_link *limiter,
		      const struct peer_remote *remote,
		      const struct peer_message *msg, int64_t now);
/** A grant of a remote holder. */
void rate_link_on_grant(struct rate_link *limiter, struct base_str holder_vm,
			const struct peer_message *msg, int64_t now);
/** Sends the asks that waited for the link. */
void rate_link_on_link_up(struct rate_link *limiter, const struct config_vm *vm,
			  int64_t now);
void rate_link_on_link_down(struct rate_link *limiter,
			    const struct config_vm *vm, int64_t now);
/** A peer or domain acts on a version; see rate_holder_confirm(). */
void rate_link_on_domain_version(struct rate_link *limiter,
				 struct base_str domain, uint64_t version,
				 int64_t now);

/** All shares that this daemon holds hand out tokens. */
bool rate_link_ready(const struct rate_link *limiter, int64_t now);

#endif
