/*
 * Rate limiting of client accounts over the whole fleet. Connects the entry and
 * the holder of the rate package with the peers: sends asks and grants,
 * receives them, and keeps the shares in step with the configuration.
 *
 * Times are microseconds of the monotonic clock. All functions are called on
 * the thread of the event loop.
 */
#ifndef RATE_LIMITER_H
#define RATE_LIMITER_H

#include "node.h"

/** Free the result with rate_limiter_destroy(). @p node must outlive it. */
struct rate_limiter *rate_limiter_create(struct node *node, int64_t now);
void rate_limiter_destroy(struct rate_limiter *limiter);
/**
 * Applies the snapshot of the node, which was activated just before.
 * @param before  snapshot that was active until now, or NULL
 */
void rate_limiter_configure(struct rate_limiter *limiter,
			    const struct config_snapshot *before, int64_t now);
/**
 * Decides whether a request is within the rate of its account. When the result
 * is RATE_WAITING, the decision follows by entry_on_rate_decision().
 * @param request  number that is unique among the waiting requests
 */
struct rate_decision rate_limiter_admit(struct rate_limiter *limiter,
					const struct config_account *account,
					uint64_t request, int64_t now);
/**
 * Removes a waiting request. Does nothing when @p account is NULL or the
 * request is not waiting.
 */
void rate_limiter_cancel(struct rate_limiter *limiter,
			 const struct config_account *account,
			 uint64_t request);
/**
 * Sends the asks and passes on the decisions that are pending. Call it after an
 * admitted request was sent or dropped, since an ask may report its token as
 * used.
 */
void rate_limiter_flush(struct rate_limiter *limiter, int64_t now);
/** Handles an ask of a remote entry and sends the grant. */
void rate_limiter_on_ask(struct rate_limiter *limiter,
			 const struct peer_remote *remote,
			 const struct peer_message *msg, int64_t now);
/**
 * Handles a grant of a remote holder.
 * @param holder_vm  name of the VM that sent the grant
 */
void rate_limiter_on_grant(struct rate_limiter *limiter,
			   struct base_str holder_vm,
			   const struct peer_message *msg, int64_t now);
/** Sends the asks that were deferred until the link to @p vm was up. */
void rate_limiter_on_link_up(struct rate_limiter *limiter,
			     const struct config_vm *vm, int64_t now);
/** Drops the deferred asks to @p vm; the entry asks other holders. */
void rate_limiter_on_link_down(struct rate_limiter *limiter,
			       const struct config_vm *vm, int64_t now);
/**
 * Records that a failure domain acts on configuration @p version or later ones
 * only; see rate_holder_confirm().
 */
void rate_limiter_on_domain_version(struct rate_limiter *limiter,
				    struct base_str domain, uint64_t version,
				    int64_t now);

/**
 * Returns whether no share held by this daemon still waits for confirmations or
 * for grants of former holders to expire.
 */
bool rate_limiter_ready(const struct rate_limiter *limiter, int64_t now);

#endif
