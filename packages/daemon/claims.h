/*
 * Idempotency keys: the entry's side of claims, and the ledger of the keys that
 * this daemon owns.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "node.h"

/** A claim of a non-idempotent request of a local entry. */
struct claims_request {
	/** Unique among the entry's open requests. */
	uint64_t request;
	/** Empty on open routes. */
	struct base_str account;
	/** Text of the key, a UUIDv7. */
	struct base_str key;
	struct base_digest fingerprint;
	int64_t deadline;
};

struct claims *claims_create(struct node *node, int64_t wall_ms, int64_t now);
void claims_destroy(struct claims *claims);
/** A new snapshot came into force; @p before may be NULL. */
void claims_configure(struct claims *claims,
		      const struct config_snapshot *before, int64_t now);
/** Asks the owner; entry_on_claim_answer() follows, possibly during the call.
 */
void claims_submit(struct claims *claims, const struct claims_request *request,
		   int64_t now);
/** The claimed request ran; NULL members of @p stored mean no answer. */
void claims_complete(struct claims *claims, struct base_str account,
		     struct base_str key, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now);
/** The claimed request certainly did not run. */
void claims_release(struct claims *claims, struct base_str account,
		    struct base_str key, uint64_t claim_id, int64_t now);
/** The end is unclear; the key stays running at its owner. */
void claims_abandon(struct claims *claims, struct base_str key,
		    uint64_t claim_id);
/** Forgets an open claim; a late NEW answer is released. */
void claims_cancel(struct claims *claims, uint64_t request, int64_t now);
/** claim, complete and release messages of remote entries. */
void claims_on_remote(struct claims *claims, const struct peer_remote *remote,
		      const struct peer_message *msg,
		      const struct peer_receipt *receipt);
/** A claim_answer of a remote owner. */
void claims_on_answer(struct claims *claims, const struct peer_message *msg,
		      int64_t now);
/** Sends the claims that waited for the connection to @p vm. */
void claims_on_link_up(struct claims *claims, const struct config_vm *vm,
		       int64_t now);
void claims_on_link_down(struct claims *claims, const struct config_vm *vm,
			 int64_t now);
void claims_on_domain_version(struct claims *claims, struct base_str domain,
			      uint64_t version, int64_t now);
/** This daemon accepts all idempotency keys that are made from now on. */
bool claims_ready(const struct claims *claims, int64_t now);
/** The process was paused. */
void claims_on_resume(struct claims *claims, int64_t now);

#endif
