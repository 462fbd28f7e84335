/* Records the claims of idempotency keys at their owner. */
#include "ready.h"

#include <assert.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

const struct retry_ledger_limits retry_ledger_default_limits = {
	.max_keys = 65536,
	.retention_us = 600 * BASE_SECOND_US,
	.max_answer_bytes = 16 * 1024,
	.max_total_answer_bytes = 32 * 1024 * 1024,
	.clock_margin_ms = 5000,
};

/* A hash key, compared byte by byte: it must not contain padding. */
struct entry_id {
	struct retry_key key;
	struct base_digest account;
};

struct entry {
	struct entry_id id;
	struct base_digest fingerprint;
	uint64_t claim_id;
	int64_t claimed_at;
	bool done;
	/* NULL unless the answer is stored. */
	char *answer;
	size_t answer_len;
	/* List of all entries, oldest claim first. */
	struct entry *prev, *next;
	/* List of the entries with a stored answer, oldest completion first. */
	struct entry *prev_answer, *next_answer;
	UT_hash_handle hh_id;
	UT_hash_handle hh_claim;
};

struct retry_ledger {
	struct retry_ledger_limits limits;
	struct ready ready;
	/* Makes claim ids differ between two starts of the daemon. */
	uint64_t claim_seed;
	/*
	 * Latest creation time among the expired keys. A key that was created
	 * up to then may have expired and is refused.
	 */
	int64_t newest_expired_ms;
	size_t total_answer_bytes;
	struct entry *by_id;
	struct entry *by_claim;
	struct entry *claims;
	struct entry *answers;
};

struct retry_ledger *
retry_ledger_create(const struct retry_ledger_limits *limits, int64_t wall_ms,
		    int64_t now)
{
	struct retry_ledger *l = base_alloc(sizeof(*l));

	l->limits = limits ? *limits : retry_ledger_default_limits;
	l->claim_seed = (uint64_t)wall_ms * 1000003 ^ (uint64_t)now;
	l->newest_expired_ms = INT64_MIN;
	ready_init(&l->ready, l->limits.clock_margin_ms, l->limits.retention_us,
		   wall_ms);
	return l;
}

static void drop_answer(struct retry_ledger *l, struct entry *e)
{
	if (!e->answer)
		return;
	DL_DELETE2(l->answers, e, prev_answer, next_answer);
	l->total_answer_bytes -= e->answer_len;
	free(e->answer);
	e->answer = NULL;
	e->answer_len = 0;
}

static void remove_entry(struct retry_ledger *l, struct entry *e)
{
	/* Every entry is in the list and in both hash tables. */
	assert(l->claims && l->by_id && l->by_claim);
	drop_answer(l, e);
	DL_DELETE(l->claims, e);
	HASH_DELETE(hh_id, l->by_id, e);
	HASH_DELETE(hh_claim, l->by_claim, e);
	free(e);
}

void retry_ledger_destroy(struct retry_ledger *ledger)
{
	if (!ledger)
		return;
	while (ledger->claims)
		remove_entry(ledger, ledger->claims);
	ready_release(&ledger->ready);
	free(ledger);
}

static void expire_entries(struct retry_ledger *l, int64_t now)
{
	struct entry *e;
	int64_t created_ms;

	while (l->claims &&
	       now - l->claims->claimed_at >= l->limits.retention_us) {
		e = l->claims;
		/*
		 * The age check alone would accept an expired key as new after
		 * the wall clock has stepped back.
		 */
		created_ms = retry_key_created_ms(&e->id.key);
		if (l->newest_expired_ms < created_ms)
			l->newest_expired_ms = created_ms;
		remove_entry(l, e);
	}
}

static struct entry_id make_entry_id(const struct retry_claim *claim)
{
	struct entry_id id = { .key = claim->key,
			       .account = base_digest_of(claim->account) };

	return id;
}

static struct retry_claim_result
existing_claim_result(const struct entry *e, const struct retry_claim *claim)
{
	struct retry_claim_result result = { .status = RETRY_CLAIM_RUNNING };

	if (!base_digest_equal(&e->fingerprint, &claim->fingerprint)) {
		result.status = RETRY_CLAIM_MISMATCH;
		return result;
	}
	if (!e->done)
		return result;
	result.status = RETRY_CLAIM_DONE;
	result.answer_kept = e->answer;
	result.answer = (struct base_str){ e->answer, e->answer_len };
	return result;
}

static enum retry_claim_status check_new_claim(struct retry_ledger *l,
					       const struct retry_claim *claim,
					       int64_t wall_ms, int64_t now)
{
	int64_t created_ms = retry_key_created_ms(&claim->key);
	int64_t retention_ms = l->limits.retention_us / BASE_MS_US;
	enum retry_claim_status status;

	if (now >= claim->deadline)
		return RETRY_CLAIM_LATE;
	if (created_ms > wall_ms + l->limits.clock_margin_ms)
		return RETRY_CLAIM_TOO_NEW;
	if (created_ms < wall_ms - retention_ms ||
	    created_ms <= l->newest_expired_ms)
		return RETRY_CLAIM_TOO_OLD;
	status = ready_check_key(&l->ready, claim->moved, created_ms, now);
	if (status == RETRY_CLAIM_NEW &&
	    HASH_CNT(hh_id, l->by_id) >= l->limits.max_keys)
		return RETRY_CLAIM_FULL;
	return status;
}

/*
 * Claim ids are hashes, not consecutive numbers, so that a complete or release
 * message for a claim from before a restart of this owner does not match a
 * claim from after it.
 */
static uint64_t next_claim_id(struct retry_ledger *l, const struct entry_id *id)
{
	struct base_str bytes = { (const char *)id, sizeof(*id) };
	struct entry *existing;
	uint64_t claim_id;

	do {
		claim_id = base_hash64(bytes, l->claim_seed++);
		HASH_FIND(hh_claim, l->by_claim, &claim_id, sizeof(claim_id),
			  existing);
	} while (existing);
	return claim_id;
}

static struct entry *add_entry(struct retry_ledger *l,
			       const struct entry_id *id,
			       const struct retry_claim *claim, int64_t now)
{
	struct entry *e = base_alloc(sizeof(*e));

	e->id = *id;
	e->fingerprint = claim->fingerprint;
	e->claimed_at = now;
	e->claim_id = next_claim_id(l, id);
	HASH_ADD(hh_id, l->by_id, id, sizeof(e->id), e);
	HASH_ADD(hh_claim, l->by_claim, claim_id, sizeof(e->claim_id), e);
	DL_APPEND(l->claims, e);
	return e;
}

struct retry_claim_result retry_ledger_claim(struct retry_ledger *ledger,
					     const struct retry_claim *claim,
					     int64_t wall_ms, int64_t now)
{
	struct retry_claim_result result = { .status = RETRY_CLAIM_NEW };
	struct entry_id id = make_entry_id(claim);
	struct entry *e;

	expire_entries(ledger, now);
	HASH_FIND(hh_id, ledger->by_id, &id, sizeof(id), e);
	if (e)
		return existing_claim_result(e, claim);
	result.status = check_new_claim(ledger, claim, wall_ms, now);
	if (result.status == RETRY_CLAIM_NEW)
		result.claim_id = add_entry(ledger, &id, claim, now)->claim_id;
	return result;
}

static struct entry *find_claim(const struct retry_ledger *l, uint64_t claim_id)
{
	struct entry *e;

	HASH_FIND(hh_claim, l->by_claim, &claim_id, sizeof(claim_id), e);
	return e;
}

static void store_answer(struct retry_ledger *l, struct entry *e,
			 struct base_str answer)
{
	if (answer.len > l->limits.max_answer_bytes ||
	    answer.len > l->limits.max_total_answer_bytes)
		return;
	while (l->answers && l->total_answer_bytes + answer.len >
				     l->limits.max_total_answer_bytes)
		drop_answer(l, l->answers);
	e->answer = base_str_dup(answer);
	e->answer_len = answer.len;
	l->total_answer_bytes += answer.len;
	DL_APPEND2(l->answers, e, prev_answer, next_answer);
}

bool retry_ledger_complete(struct retry_ledger *ledger, uint64_t claim_id,
			   const struct base_str *answer, int64_t now)
{
	struct entry *e;

	expire_entries(ledger, now);
	e = find_claim(ledger, claim_id);
	if (!e)
		return false;
	if (e->done)
		return true;
	e->done = true;
	if (answer)
		store_answer(ledger, e, *answer);
	return true;
}

bool retry_ledger_release(struct retry_ledger *ledger, uint64_t claim_id)
{
	struct entry *e = find_claim(ledger, claim_id);

	if (!e || e->done)
		return false;
	remove_entry(ledger, e);
	return true;
}

void retry_ledger_activate_roster(struct retry_ledger *ledger, uint64_t version,
				  bool skipped, const uint32_t *domains,
				  size_t count, int64_t wall_ms, int64_t now)
{
	ready_activate(&ledger->ready, version, skipped, domains, count,
		       wall_ms, now);
}

void retry_ledger_report_domain(struct retry_ledger *ledger, uint32_t domain,
				uint64_t version, int64_t wall_ms, int64_t now)
{
	ready_report_domain(&ledger->ready, domain, version, wall_ms, now);
}

void retry_ledger_suspend(struct retry_ledger *ledger)
{
	ready_suspend(&ledger->ready);
}

uint64_t retry_ledger_oldest_roster(struct retry_ledger *ledger, int64_t now)
{
	return ready_oldest_roster(&ledger->ready, now);
}

bool retry_ledger_ready(const struct retry_ledger *ledger, int64_t now)
{
	return ready_all_reported(&ledger->ready, now);
}

size_t retry_ledger_count(const struct retry_ledger *ledger)
{
	return HASH_CNT(hh_id, ledger->by_id);
}

const char *retry_claim_status_str(enum retry_claim_status status)
{
	switch (status) {
	case RETRY_CLAIM_NEW:
		return "new";
	case RETRY_CLAIM_RUNNING:
		return "running";
	case RETRY_CLAIM_DONE:
		return "done";
	case RETRY_CLAIM_TOO_OLD:
		return "too_old";
	case RETRY_CLAIM_TOO_NEW:
		return "too_new";
	case RETRY_CLAIM_MISMATCH:
		return "mismatch";
	case RETRY_CLAIM_FULL:
		return "full";
	case RETRY_CLAIM_NOT_READY:
		return "not_ready";
	case RETRY_CLAIM_LATE:
		return "late";
	}
	return "unknown";
}
