/**
 * @file
 * The entry: authenticates, admits, routes and retries requests of callers and
 * onward calls of the local backend server. An onward call is a request that
 * the backend server sends to another service while it runs a request.
 *
 * All functions must be called on the thread of the event loop. Times are in
 * microseconds on the clock of base_now_us().
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "guard.h"

/** Never returns NULL. @p node must outlive the entry. */
struct entry *entry_create(struct node *node);
/** Refuses all open requests first, see entry_abort(). @p entry may be NULL. */
void entry_destroy(struct entry *entry);

/**
 * Handles a request of the caller interface. The entry replies to @p ex exactly
 * once, possibly during the call.
 */
void entry_on_caller_request(struct entry *entry, struct http_exchange *ex);
/**
 * Handles an onward call whose token is valid. The entry replies to @p ex
 * exactly once, possibly during the call.
 * @param parent  the running work item that made the call
 */
void entry_on_onward_call(struct entry *entry, struct http_exchange *ex,
			  struct guard_work *parent);
/** Handles the answer of a remote guard; late answers are only counted. */
void entry_on_answer(struct entry *entry, const struct peer_message *msg);
/**
 * A link was lost. Requests in flight on it may or may not have run; each is
 * retried or ends with connection_lost.
 */
void entry_on_link_down(struct entry *entry, const struct peer_link *link);
/** Sends the requests that waited for the link to a VM. */
void entry_on_link_up(struct entry *entry, uint32_t vm);
/**
 * Periodic work: resends requests whose VM has become silent and ends waits for
 * links that did not come up in time.
 */
void entry_tick(struct entry *entry, int64_t now);
/** Resumes a request that waited for its rate decision. */
void entry_on_rate_decision(struct entry *entry, uint64_t request,
			    const struct rate_decision *decision);
/**
 * Resumes a request that waited for the claim of its idempotency key.
 * @param answer  the owner's answer; NULL when the owner is out of reach
 */
void entry_on_claim_answer(struct entry *entry, uint64_t request,
			   const struct peer_claim_answer *answer);
/** Refuses all requests that are still open; used at the end of a drain. */
void entry_abort(struct entry *entry, int64_t now);
size_t entry_open_flow_count(const struct entry *entry);

#endif
