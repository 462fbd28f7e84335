/*
 * Token bucket of one share with its outstanding grants. At all times
 * level + outstanding <= burst, except after the burst was lowered, until
 * enough of the earlier grants have expired.
 */
#ifndef RATE_BUCKET_H
#define RATE_BUCKET_H

#include "rate.h"

#include <uthash.h>

struct bucket_grant {
	uint64_t id;
	uint64_t entry;
	/* Grant count of the entry, which includes this grant. */
	size_t *entry_grant_count;
	int64_t amount_mt;
	int64_t used_mt;
	int64_t returned_mt;
	/* By the clock of the holder. */
	int64_t expires_at;
	struct bucket_grant *prev, *next;
	UT_hash_handle hh;
};

struct bucket {
	struct rate_share share;
	int64_t level_mt;
	/* Accrued fraction of a milli-token, in millionths. */
	int64_t fraction;
	int64_t outstanding_mt;
	/* Tokens have accrued up to this time. */
	int64_t updated_at;
	struct bucket_grant *by_id;
	/* In order of expiry. */
	struct bucket_grant *by_expiry;
};

void bucket_init(struct bucket *b, int64_t now);
void bucket_release(struct bucket *b);
/* Accounts for accrual and expiry up to `now`; an earlier time is ignored. */
void bucket_update(struct bucket *b, int64_t now);
/* For the functions below, the bucket must be updated to the current time. */
void bucket_set_share(struct bucket *b, const struct rate_share *share);
/*
 * Adds a copy of `spec`, of which id, entry, entry_grant_count, amount_mt and
 * expires_at are used. The amount must not exceed the level.
 */
void bucket_add_grant(struct bucket *b, const struct bucket_grant *spec);
void bucket_apply_report(struct bucket *b, uint64_t entry,
			 const struct rate_report *r);

#endif
