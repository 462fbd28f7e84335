/*
 * The entry: takes requests of callers and onward calls of the own backend
 * server through authentication, admission, routing and retries.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "guard.h"

struct entry *entry_create(struct node *node);
void entry_destroy(struct entry *entry);

/** A request on the caller interface. */
void entry_on_caller_request(struct entry *entry, struct http_exchange *ex);
/** An onward call with a valid token. */
void entry_on_onward_call(struct entry *entry, struct http_exchange *ex,
			  struct guard_work *parent);
/** An answer of a remote guard. */
void entry_on_answer(struct entry *entry, const struct peer_message *msg);
/** The link to a VM ended; what was in flight there has an unclear end. */
void entry_on_link_down(struct entry *entry, uint32_t vm);
/** Requests that wait for the link to a VM go on. */
void entry_on_link_up(struct entry *entry, uint32_t vm);
/**
 * Ends the wait for links that did not come up in time, and reports the own
 * guard to routing.
 */
void entry_tick(struct entry *entry, int64_t now);
/** The rate decision of a waiting request. */
void entry_on_rate_decision(struct entry *entry, uint64_t request,
			    const struct rate_decision *decision);
/** The owner's answer to a claim; NULL when the owner is out of reach. */
void entry_on_claim_answer(struct entry *entry, uint64_t request,
			   const struct peer_claim_answer *answer);
/** Refuses everything that is still open, for the end of a drain. */
void entry_abort(struct entry *entry, int64_t now);
size_t entry_open_flow_count(const struct entry *entry);

#endif
