/* Ledger of owned keys, and the rosters that decide whether to accept them. */
#include "ledger.h"
#include "membership.h"
#include "owner.h"
#include "roster.h"

#include <stdio.h>

struct ledger {
	struct node *node;
	struct retry_ledger *keys;
	struct owner_rosters *rosters;
	/* Roster version last activated in `keys`; 0 before the first. */
	uint64_t roster_version;
	bool paused;
};

static void count_result(struct node *node, const char *result)
{
	char name[64];

	snprintf(name, sizeof(name), "claims{result=\"%s\"}", result);
	node_counter_add(node, name);
}

static enum peer_claim_result
claim_result_from_status(enum retry_claim_status status)
{
	switch (status) {
	case RETRY_CLAIM_NEW:
		return PEER_CLAIM_NEW;
	case RETRY_CLAIM_RUNNING:
		return PEER_CLAIM_RUNNING;
	case RETRY_CLAIM_DONE:
		return PEER_CLAIM_DONE;
	case RETRY_CLAIM_TOO_OLD:
		return PEER_CLAIM_TOO_OLD;
	case RETRY_CLAIM_TOO_NEW:
		return PEER_CLAIM_TOO_NEW;
	case RETRY_CLAIM_MISMATCH:
		return PEER_CLAIM_MISMATCH;
	case RETRY_CLAIM_FULL:
		return PEER_CLAIM_FULL;
	case RETRY_CLAIM_NOT_READY:
		return PEER_CLAIM_NOT_READY;
	case RETRY_CLAIM_LATE:
		return PEER_CLAIM_LATE;
	}
	return PEER_CLAIM_NOT_READY;
}

bool ledger_ready(const struct ledger *ledger, int64_t now)
{
	return retry_ledger_ready(ledger->keys, now);
}

void ledger_on_resume(struct ledger *ledger)
{
	ledger->paused = true;
	retry_ledger_suspend(ledger->keys);
}

struct peer_claim_answer ledger_claim(struct ledger *l,
				      const struct peer_claim *claim,
				      int64_t deadline, int64_t now,
				      struct peer_message *stored)
{
	struct node *node = l->node;
	struct peer_claim_answer answer = { .result = PEER_CLAIM_NOT_READY };
	struct retry_claim request = {
		.account = claim->account,
		.fingerprint = claim->fingerprint,
		.deadline = deadline,
	};
	struct retry_claim_result result;
	const struct config_vm *owner;

	/* After a pause a message may arrive before ledger_on_resume(). */
	if (node_is_resuming(node))
		ledger_on_resume(l);
	if (!node->snapshot || !retry_key_parse(claim->key, &request.key))
		return answer;
	owner = owner_find(node->snapshot, claim->account, claim->key);
	if (!owner || !node_is_self(node, owner)) {
		answer.result = PEER_CLAIM_NOT_OWNER;
		count_result(node, "not_owner");
		return answer;
	}
	owner_rosters_drop_before(l->rosters,
				  retry_ledger_oldest_roster(l->keys, now));
	request.moved = owner_rosters_key_moved(l->rosters, owner->name,
						claim->account, claim->key);
	result = retry_ledger_claim(l->keys, &request, base_wall_ms(), now);
	count_result(node, retry_claim_status_str(result.status));
	answer.result = claim_result_from_status(result.status);
	answer.claim_id = result.claim_id;
	if (result.status == RETRY_CLAIM_DONE && result.answer_kept &&
	    peer_message_decode(result.answer, stored, NULL) == PEER_OK)
		answer.stored = stored->claim_answer.stored;
	return answer;
}

void ledger_complete(struct ledger *l, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now)
{
	BASE_CLEANUP(base_buf_release) struct base_buf bytes = BASE_BUF_INIT;
	struct peer_message msg = {
		.type = PEER_CLAIM_ANSWER,
		.claim_answer = { .result = PEER_CLAIM_DONE,
				  .stored = *stored },
	};
	struct base_str answer;
	bool has_answer = stored->status &&
			  peer_message_encode(&msg, &bytes, NULL) == PEER_OK;

	answer = base_buf_str(&bytes);
	if (!retry_ledger_complete(l->keys, claim_id,
				   has_answer ? &answer : NULL, now))
		node_counter_add(l->node, "claims_completed_unknown");
	else
		node_counter_add(l->node, "claims_completed");
}

void ledger_release(struct ledger *l, uint64_t claim_id)
{
	if (retry_ledger_release(l->keys, claim_id))
		node_counter_add(l->node, "claims_released");
	else
		node_counter_add(l->node, "claims_released_unknown");
}

static void activate_roster(struct ledger *l, uint64_t version, bool skipped,
			    int64_t now)
{
	const struct config_snapshot *s = l->node->snapshot;
	uint32_t *ids = base_alloc_array(s->domain_count, sizeof(*ids));
	size_t n = 0;
	size_t i;

	for (i = 0; i < s->domain_count; i++)
		if (owner_domain_reports(s, &s->domains[i]))
			ids[n++] = roster_domain_id(l->node->roster,
						    s->domains[i].name);
	retry_ledger_activate_roster(l->keys, version, skipped, ids, n,
				     base_wall_ms(), now);
	free(ids);
}

/*
 * Replays the versions reported by failure domains. Reports that arrived before
 * the ledger had the domain are not sent again.
 */
static void replay_domain_reports(struct ledger *l, int64_t now)
{
	const struct config_snapshot *s = l->node->snapshot;
	size_t i;

	for (i = 0; i < s->domain_count; i++) {
		struct base_str name = s->domains[i].name;
		uint64_t version =
			membership_domain_version(l->node->membership, name);

		if (version)
			ledger_on_domain_version(l, name, version, now);
	}
}

void ledger_configure(struct ledger *ledger,
		      const struct config_snapshot *before, int64_t now)
{
	const struct config_snapshot *s = ledger->node->snapshot;
	/* Keys may have moved away and back in a version not active here. */
	bool skipped = before && s->version > before->version + 1;

	if (!ledger->roster_version || before == NULL ||
	    (before != s &&
	     (ledger->paused || skipped || owner_roster_differs(before, s)))) {
		ledger->roster_version = (uint64_t)s->version;
		owner_rosters_add(ledger->rosters, s);
		activate_roster(ledger, ledger->roster_version, skipped, now);
		node_counter_add(ledger->node, "claim_rosters");
	} else if (ledger->paused) {
		activate_roster(ledger, ledger->roster_version, false, now);
	}
	ledger->paused = false;
	owner_rosters_drop_before(
		ledger->rosters, retry_ledger_oldest_roster(ledger->keys, now));
	replay_domain_reports(ledger, now);
}

void ledger_on_domain_version(struct ledger *ledger, struct base_str domain,
			      uint64_t version, int64_t now)
{
	retry_ledger_report_domain(
		ledger->keys, roster_domain_id(ledger->node->roster, domain),
		version, base_wall_ms(), now);
}

struct ledger *ledger_create(struct node *node, int64_t wall_ms, int64_t now)
{
	struct ledger *ledger = base_alloc(sizeof(*ledger));

	ledger->node = node;
	ledger->keys = retry_ledger_create(NULL, wall_ms, now);
	ledger->rosters = owner_rosters_create();
	return ledger;
}

void ledger_destroy(struct ledger *ledger)
{
	if (!ledger)
		return;
	owner_rosters_destroy(ledger->rosters);
	retry_ledger_destroy(ledger->keys);
	free(ledger);
}
