/*
 * Ledger of the claims of idempotency keys that this daemon owns. Former
 * rosters and the versions reported by failure domains determine whether it may
 * accept a key.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "node.h"

struct ledger;

/** @param wall_ms  wall-clock time in ms */
struct ledger *ledger_create(struct node *node, int64_t wall_ms, int64_t now);
void ledger_destroy(struct ledger *ledger);

/**
 * Decides a claim.
 * @param deadline     time at which the claiming entry stops waiting
 * @param[out] stored  owns the memory that the result points to; the caller
 *                     releases it with peer_message_release()
 */
struct peer_claim_answer ledger_claim(struct ledger *ledger,
				      const struct peer_claim *claim,
				      int64_t deadline, int64_t now,
				      struct peer_message *stored);
/**
 * The claimed request ran.
 * @param stored  answer to keep; none if its status is 0
 */
void ledger_complete(struct ledger *ledger, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now);
/** The claimed request has certainly not run. */
void ledger_release(struct ledger *ledger, uint64_t claim_id);

/**
 * Applies the current snapshot, which is new or was confirmed after a pause.
 * @param before  the former snapshot or NULL
 */
void ledger_configure(struct ledger *ledger,
		      const struct config_snapshot *before, int64_t now);
void ledger_on_domain_version(struct ledger *ledger, struct base_str domain,
			      uint64_t version, int64_t now);
/** Whether all keys that are created from now on are accepted. */
bool ledger_ready(const struct ledger *ledger, int64_t now);
/**
 * The process resumed after a pause. New claims are refused until
 * ledger_configure() is called.
 */
void ledger_on_resume(struct ledger *ledger);

#endif
