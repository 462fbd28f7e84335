/*
 * Claims of idempotency keys. Before the entry sends a non-idempotent request,
 * it claims the key at the daemon that owns it. This file covers the claims of
 * the local entry and those that remote entries make here.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "node.h"

/** Claim for a non-idempotent request of the local entry. */
struct claims_request {
	/** Number of the request, unique among the entry's open requests. */
	uint64_t request;
	/** Empty on open routes. */
	struct base_str account;
	/** The key, a UUIDv7 as text. */
	struct base_str key;
	struct base_digest fingerprint;
	int64_t deadline;
};

/** @param wall_ms  wall-clock time in ms */
struct claims *claims_create(struct node *node, int64_t wall_ms, int64_t now);
void claims_destroy(struct claims *claims);
/**
 * Applies the current configuration snapshot.
 * @param before  the former snapshot or NULL
 */
void claims_configure(struct claims *claims,
		      const struct config_snapshot *before, int64_t now);
/**
 * Claims the key at its owner. entry_on_claim_answer() is called with the
 * answer, or with NULL if the owner is unreachable, possibly during this call.
 */
void claims_submit(struct claims *claims, const struct claims_request *request,
		   int64_t now);
/**
 * The claimed request ran.
 * @param stored  answer to keep; none if its status is 0
 */
void claims_complete(struct claims *claims, struct base_str account,
		     struct base_str key, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now);
/** The claimed request has certainly not run. */
void claims_release(struct claims *claims, struct base_str account,
		    struct base_str key, uint64_t claim_id, int64_t now);
/**
 * It is unknown whether the claimed request ran. Sends nothing, so the owner
 * keeps the key as running.
 */
void claims_abandon(struct claims *claims, struct base_str key,
		    uint64_t claim_id);
/**
 * The entry no longer waits for the answer to a claim. If the owner still
 * answers NEW, the claim is released.
 */
void claims_cancel(struct claims *claims, uint64_t request, int64_t now);
/** Handles claim, complete and release messages of remote entries. */
void claims_on_remote(struct claims *claims, const struct peer_remote *remote,
		      const struct peer_message *msg,
		      const struct peer_receive_info *receive_info);
/** Handles a claim_answer message of a remote owner. */
void claims_on_answer(struct claims *claims, const struct peer_message *msg,
		      int64_t now);
/** Sends the claims and claim ends that waited for the link to @p vm. */
void claims_on_link_up(struct claims *claims, const struct config_vm *vm,
		       int64_t now);
void claims_on_link_down(struct claims *claims, const struct config_vm *vm,
			 int64_t now);
void claims_on_domain_version(struct claims *claims, struct base_str domain,
			      uint64_t version, int64_t now);
/** Whether this daemon accepts all keys that are created from now on. */
bool claims_ready(const struct claims *claims, int64_t now);
/** The process resumed after a pause. */
void claims_on_resume(struct claims *claims, int64_t now);

#endif
