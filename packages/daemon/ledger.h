/*
 * The ledger of the idempotency keys that this daemon owns, and the rosters and
 * domain reports that decide whether it may accept a key.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "node.h"

struct ledger;

struct ledger *ledger_create(struct node *node, int64_t wall_ms, int64_t now);
void ledger_destroy(struct ledger *ledger);

/**
 * Decides about a claim.
 * @param deadline  when the claiming entry stops waiting
 * @param stored    holds what the answer points to; the caller releases it
 */
struct peer_claim_answer ledger_claim(struct ledger *ledger,
				      const struct peer_claim *claim,
				      int64_t deadline, int64_t now,
				      struct peer_message *stored);
/** The claimed request ran; status 0 means that there is no answer to keep. */
void ledger_complete(struct ledger *ledger, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now);
/** The claimed request certainly did not run. */
void ledger_release(struct ledger *ledger, uint64_t claim_id);

/** A new snapshot came into force, or the present one was confirmed. */
void ledger_configure(struct ledger *ledger,
		      const struct config_snapshot *before, int64_t now);
void ledger_on_domain_version(struct ledger *ledger, struct base_str domain,
			      uint64_t version, int64_t now);
/** All keys made from now on are accepted. */
bool ledger_ready(const struct ledger *ledger, int64_t now);
/** The process was paused; nothing new is accepted until it is configured. */
void ledger_on_resume(struct ledger *ledger);

#endif
