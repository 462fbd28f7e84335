#include "bucket.h"

#include "base.h"

#include <assert.h>
#include <utlist.h>

void bucket_init(struct bucket *b, int64_t now)
{
	*b = (struct bucket){ .updated_at = now };
}

static void drop_grant(struct bucket *b, struct bucket_grant *g)
{
	--*g->entry_grant_count;
	b->outstanding_mt -= g->amount_mt - g->used_mt - g->returned_mt;
	HASH_DEL(b->by_id, g);
	DL_DELETE(b->by_expiry, g);
	free(g);
}

void bucket_release(struct bucket *b)
{
	while (b->by_expiry)
		drop_grant(b, b->by_expiry);
}

static int64_t room(const struct bucket *b)
{
	return b->share.burst_mt - b->level_mt - b->outstanding_mt;
}

/* Discards tokens that exceed the burst after a return or a lower burst. */
static void clamp_level(struct bucket *b)
{
	int64_t excess = -room(b);

	if (excess < 0)
		return;
	b->fraction = 0;
	b->level_mt -= excess < b->level_mt ? excess : b->level_mt;
}

static void accrue(struct bucket *b, int64_t until)
{
	int64_t elapsed = until - b->updated_at;
	int64_t space = room(b);
	int64_t time_to_full;

	if (elapsed <= 0)
		return;
	b->updated_at = until;
	if (space <= 0 || b->share.rate_mt_per_s <= 0)
		return;
	time_to_full =
		(space * BASE_SECOND_US - b->fraction) / b->share.rate_mt_per_s;
	if (elapsed > time_to_full) {
		b->level_mt += space;
		b->fraction = 0;
		return;
	}
	b->fraction += elapsed * b->share.rate_mt_per_s;
	b->level_mt += b->fraction / BASE_SECOND_US;
	b->fraction %= BASE_SECOND_US;
}

void bucket_update(struct bucket *b, int64_t now)
{
	/* The room of an expired grant fills from the time of its expiry. */
	while (b->by_expiry && b->by_expiry->expires_at <= now) {
		accrue(b, b->by_expiry->expires_at);
		drop_grant(b, b->by_expiry);
	}
	accrue(b, now);
}

void bucket_set_share(struct bucket *b, const struct rate_share *share)
{
	b->share = *share;
	clamp_level(b);
}

/* New grants nearly always expire last, so the search starts at the end. */
static void insert_by_expiry(struct bucket *b, struct bucket_grant *g)
{
	struct bucket_grant *after = b->by_expiry ? b->by_expiry->prev : NULL;

	while (after && after->expires_at > g->expires_at)
		after = after == b->by_expiry ? NULL : after->prev;
	if (after)
		DL_APPEND_ELEM(b->by_expiry, after, g);
	else
		DL_PREPEND(b->by_expiry, g);
}

void bucket_add_grant(struct bucket *b, const struct bucket_grant *spec)
{
	struct bucket_grant *g = base_alloc(sizeof(*g));

	assert(spec->amount_mt > 0 && spec->amount_mt <= b->level_mt);
	g->id = spec->id;
	g->entry = spec->entry;
	g->entry_grant_count = spec->entry_grant_count;
	g->amount_mt = spec->amount_mt;
	g->expires_at = spec->expires_at;
	++*g->entry_grant_count;
	b->level_mt -= g->amount_mt;
	b->outstanding_mt += g->amount_mt;
	HASH_ADD(hh, b->by_id, id, sizeof(g->id), g);
	insert_by_expiry(b, g);
}

/*
 * The amounts of a report are totals that only increase, so a repeated, late or
 * reordered report changes nothing.
 */
void bucket_apply_report(struct bucket *b, uint64_t entry,
			 const struct rate_report *r)
{
	struct bucket_grant *g;
	int64_t used, returned;

	HASH_FIND(hh, b->by_id, &r->grant, sizeof(r->grant), g);
	if (!g || g->entry != entry)
		return;
	used = r->used_mt > g->used_mt ? r->used_mt : g->used_mt;
	returned = r->returned_mt > g->returned_mt ? r->returned_mt
						   : g->returned_mt;
	if (used > g->amount_mt || returned > g->amount_mt - used)
		return;
	b->outstanding_mt -= used - g->used_mt + returned - g->returned_mt;
	b->level_mt += returned - g->returned_mt;
	g->used_mt = used;
	g->returned_mt = returned;
	clamp_level(b);
	if (used + returned == g->amount_mt)
		drop_grant(b, g);
}
