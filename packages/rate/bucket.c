/* Token bucket with outstanding grants. */
#include "bucket.h"

#include "base.h"

#include <assert.h>
#include <utlist.h>

void bucket_init(struct bucket *b, int64_t now)
{
	*b = (struct bucket){ .settled_at = now };
}

static void drop(struct bucket *b, struct bucket_grant *g)
{
	--*g->live;
	b->outstanding_mt -= g->amount_mt - g->used_mt - g->returned_mt;
	HASH_DEL(b->by_id, g);
	DL_DELETE(b->expiring, g);
	free(g);
}

void bucket_release(struct bucket *b)
{
	while (b->expiring)
		drop(b, b->expiring);
}

static int64_t room(const struct bucket *b)
{
	return b->share.burst_mt - b->level_mt - b->outstanding_mt;
}

/* Drops what a return or a lower burst leaves above the bound. */
static void clamp(struct bucket *b)
{
	int64_t excess = -room(b);

	if (excess < 0)
		return;
	b->fraction = 0;
	b->level_mt -= excess < b->level_mt ? excess : b->level_mt;
}

static void accrue(struct bucket *b, int64_t until)
{
	int64_t elapsed = until - b->settled_at;
	int64_t space = room(b);
	int64_t to_full;

	if (elapsed <= 0)
		return;
	b->settled_at = until;
	if (space <= 0 || b->share.rate_mt <= 0)
		return;
	to_full = (space * BASE_SECOND_US - b->fraction) / b->share.rate_mt;
	if (elapsed > to_full) {
		b->level_mt += space;
		b->fraction = 0;
		return;
	}
	b->fraction += elapsed * b->share.rate_mt;
	b->level_mt += b->fraction / BASE_SECOND_US;
	b->fraction %= BASE_SECOND_US;
}

void bucket_settle(struct bucket *b, int64_t now)
{
	/* Room that an expiry makes only fills from that moment on. */
	while (b->expiring && b->expiring->expires_at <= now) {
		accrue(b, b->expiring->expires_at);
		drop(b, b->expiring);
	}
	accrue(b, now);
}

void bucket_set_share(struct bucket *b, const struct rate_share *share)
{
	b->share = *share;
	clamp(b);
}

/* New grants nearly always expire last, so the search starts at the end. */
static void insert_by_expiry(struct bucket *b, struct bucket_grant *g)
{
	struct bucket_grant *after = b->expiring ? b->expiring->prev : NULL;

	while (after && after->expires_at > g->expires_at)
		after = after == b->expiring ? NULL : after->prev;
	if (after)
		DL_APPEND_ELEM(b->expiring, after, g);
	else
		DL_PREPEND(b->expiring, g);
}

void bucket_grant(struct bucket *b, const struct bucket_grant *wanted)
{
	struct bucket_grant *g = base_alloc(sizeof(*g));

	assert(wanted->amount_mt > 0 && wanted->amount_mt <= b->level_mt);
	g->id = wanted->id;
	g->entry = wanted->entry;
	g->live = wanted->live;
	g->amount_mt = wanted->amount_mt;
	g->expires_at = wanted->expires_at;
	++*g->live;
	b->level_mt -= g->amount_mt;
	b->outstanding_mt += g->amount_mt;
	HASH_ADD(hh, b->by_id, id, sizeof(g->id), g);
	insert_by_expiry(b, g);
}

/*
 * Reports count from the start of the grant and only grow, so a repeated, late
 * or overtaken one changes nothing.
 */
void bucket_book(struct bucket *b, uint64_t entry, const struct rate_report *r)
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
	clamp(b);
	if (used + returned == g->amount_mt)
		drop(b, g);
}
