/* Holder side: the shares of accounts and the answers to asks. */
#include "base.h"
#include "bucket.h"
#include "minmax.h"
#include "rate.h"

#include <assert.h>
#include <string.h>
#include <uthash.h>

/* Smaller grants cost more messages than they are worth. */
#define GRANT_MIN_MT INT64_C(100)
/* Lifetime of grants for waiting requests only. */
#define NEED_LIFETIME_US (RATE_WAIT_MAX_US + 5 * BASE_MS_US)
#define RETRY_MIN_US BASE_MS_US
#define RETRY_MAX_US (500 * BASE_MS_US)
#define STARTING_RETRY_US (50 * BASE_MS_US)
/* An entry that was silent this long has no grant left and is forgotten. */
#define ENTRY_IDLE_US (2 * RATE_GRANT_LIFETIME_MAX_US)
/*
 * A grant is held slightly longer than its lifetime: clocks are read in whole
 * microseconds, and their rates may differ by up to 0.1% while they are slewed.
 */
#define EXPIRY_MARGIN_US 1
#define EXPIRY_MARGIN_DIVISOR 512

static const struct rate_share no_share = { 0, 0 };

/* An entry process that asked for tokens of an account. */
struct asker {
	uint64_t entry;
	uint64_t last_seq;
	int64_t seen_at;
	/* Grants not yet lapsed or used up. */
	size_t live;
	UT_hash_handle hh;
};

struct held {
	uint64_t account;
	struct bucket bucket;
	/* What applies once the change of the holder set is confirmed. */
	struct rate_share target;
	bool pending;
	uint64_t epoch;
	uint64_t *confirmers;
	size_t unconfirmed;
	int64_t ready_at;
	/* Tokens accrue to those who were turned away until this time. */
	int64_t queue_until;
	struct asker *askers;
	UT_hash_handle hh;
};

struct rate_holder {
	uint64_t incarnation;
	uint64_t last_grant;
	int64_t created_at;
	struct held *by_account;
};

struct rate_holder *rate_holder_create(uint64_t incarnation, int64_t now)
{
	struct rate_holder *holder = base_alloc(sizeof(*holder));

	assert(incarnation);
	holder->incarnation = incarnation;
	holder->created_at = now;
	return holder;
}

static void held_free(struct held *h)
{
	struct asker *a, *next;

	bucket_release(&h->bucket);
	free(h->confirmers);
	HASH_ITER (hh, h->askers, a, next) {
		HASH_DEL(h->askers, a);
		free(a);
	}
	free(h);
}

void rate_holder_destroy(struct rate_holder *holder)
{
	struct held *h, *next;

	if (!holder)
		return;
	HASH_ITER (hh, holder->by_account, h, next) {
		HASH_DEL(holder->by_account, h);
		held_free(h);
	}
	free(holder);
}

static struct held *find(struct rate_holder *holder, uint64_t account)
{
	struct held *h;

	HASH_FIND(hh, holder->by_account, &account, sizeof(account), h);
	return h;
}

/* Books everything up to `now`, with the target share from its due time on. */
static void settle(struct held *h, int64_t now)
{
	if (h->pending && !h->unconfirmed && h->ready_at <= now) {
		bucket_settle(&h->bucket, h->ready_at);
		bucket_set_share(&h->bucket, &h->target);
		h->pending = false;
	}
	bucket_settle(&h->bucket, now);
}

/* How long a grant counts as outstanding. */
static int64_t held_for(int64_t lifetime)
{
	return lifetime + lifetime / EXPIRY_MARGIN_DIVISOR + EXPIRY_MARGIN_US;
}

static struct rate_share lower_of(const struct rate_share *a,
				  const struct rate_share *b)
{
	return (struct rate_share){
		.rate_mt = min_i64(a->rate_mt, b->rate_mt),
		.burst_mt = min_i64(a->burst_mt, b->burst_mt),
	};
}

static void await(struct held *h, uint64_t confirmer)
{
	size_t i;

	for (i = 0; i < h->unconfirmed; i++) {
		if (h->confirmers[i] == confirmer)
			return;
	}
	h->confirmers = base_realloc(
		h->confirmers, (h->unconfirmed + 1) * sizeof(*h->confirmers));
	h->confirmers[h->unconfirmed++] = confirmer;
}

/*
 * Confirmations of an earlier epoch that are still missing stay wanted: their
 * holders may act on a version older than the previous one.
 */
static void start_epoch(struct held *h, const struct rate_epoch *epoch,
			int64_t now)
{
	size_t i;

	assert(epoch->confirmer_count <= RATE_CONFIRMERS_MAX);
	h->epoch = epoch->version;
	h->pending = true;
	h->ready_at = now + held_for(RATE_GRANT_LIFETIME_MAX_US);
	for (i = 0; i < epoch->confirmer_count; i++)
		await(h, epoch->confirmers[i]);
}

/* Until the change is confirmed, no more than before. */
static struct rate_share allowed_share(const struct held *h,
				       const struct rate_share *share)
{
	if (!h->pending)
		return *share;
	return lower_of(&h->bucket.share, share);
}

static struct held *add(struct rate_holder *holder, uint64_t account,
			int64_t now)
{
	struct held *h = base_alloc(sizeof(*h));

	h->account = account;
	bucket_init(&h->bucket, now);
	HASH_ADD(hh, holder->by_account, account, sizeof(h->account), h);
	return h;
}

void rate_holder_set_share(struct rate_holder *holder, uint64_t account,
			   const struct rate_share *share,
			   const struct rate_epoch *epoch, int64_t now)
{
	struct held *h = find(holder, account);
	struct rate_share allowed;

	if (now < holder->created_at)
		now = holder->created_at;
	if (h && epoch->version < h->epoch)
		return;
	if (!h) {
		h = add(holder, account, now);
		start_epoch(h, epoch, now);
	}
	settle(h, now);
	if (epoch->version > h->epoch) {
		start_epoch(h, epoch, now);
		if (!epoch->no_version_skipped)
			bucket_set_share(&h->bucket, &no_share);
	}
	h->target = *share;
	allowed = allowed_share(h, share);
	bucket_set_share(&h->bucket, &allowed);
}

void rate_holder_remove_share(struct rate_holder *holder, uint64_t account)
{
	struct held *h = find(holder, account);

	if (!h)
		return;
	HASH_DEL(holder->by_account, h);
	held_free(h);
}

static void confirm(struct held *h, uint64_t confirmer, int64_t now)
{
	size_t i;

	for (i = 0; i < h->unconfirmed; i++) {
		if (h->confirmers[i] != confirmer)
			continue;
		h->confirmers[i] = h->confirmers[--h->unconfirmed];
		/* Grants of the confirmer may live on for one lifetime. */
		h->ready_at = now + held_for(RATE_GRANT_LIFETIME_MAX_US);
		return;
	}
}

void rate_holder_confirm(struct rate_holder *holder, uint64_t confirmer,
			 uint64_t version, int64_t now)
{
	struct held *h, *next;

	HASH_ITER (hh, holder->by_account, h, next) {
		if (version >= h->epoch)
			confirm(h, confirmer, now);
	}
}

/* Askers are kept in order of their last ask. */
static void forget_idle(struct held *h, int64_t now)
{
	while (h->askers && h->askers->seen_at + ENTRY_IDLE_US <= now) {
		struct asker *a = h->askers;

		HASH_DEL(h->askers, a);
		free(a);
	}
}

/* Returns NULL unless the ask is newer than all before of the same process. */
static struct asker *note_ask(struct held *h, const struct rate_ask *ask,
			      int64_t now)
{
	struct asker *a;

	forget_idle(h, now);
	HASH_FIND(hh, h->askers, &ask->entry, sizeof(ask->entry), a);
	if (a && ask->seq <= a->last_seq)
		return NULL;
	if (a)
		HASH_DEL(h->askers, a);
	else
		a = base_alloc(sizeof(*a));
	a->entry = ask->entry;
	a->last_seq = ask->seq;
	a->seen_at = now;
	HASH_ADD(hh, h->askers, entry, sizeof(a->entry), a);
	return a;
}

static void book_reports(struct rate_holder *holder, struct held *h,
			 const struct rate_ask *ask)
{
	uint32_t i;

	if (ask->holder != holder->incarnation)
		return;
	for (i = 0; i < ask->report_count; i++)
		bucket_book(&h->bucket, ask->entry, &ask->reports[i]);
}

/* Tokens to hand out ahead: whole ones, and half of the rest at most. */
static int64_t ahead_part(int64_t rest, int64_t ahead)
{
	int64_t part = min_i64(rest / 2, ahead);

	return part - part % RATE_TOKEN_MT;
}

static int64_t amount_for(const struct held *h, const struct rate_ask *ask)
{
	int64_t level = h->bucket.level_mt;
	int64_t amount = min_i64(level, ask->need_mt);

	if (amount < min_i64(ask->need_mt, GRANT_MIN_MT))
		return 0;
	return amount + ahead_part(level - amount, ask->prefetch_mt);
}

/*
 * Spaces the asks of entries that were turned away, as if they stood in a
 * queue for the accrual; otherwise overload would multiply the asks.
 */
static int64_t retry_after(struct held *h, int64_t missing_mt, int64_t now)
{
	int64_t rate = h->bucket.share.rate_mt;
	int64_t retry;

	if (missing_mt <= 0)
		return 0;
	if (h->queue_until < now)
		h->queue_until = now;
	if (missing_mt > rate / 2)
		h->queue_until = now + RETRY_MAX_US;
	else
		h->queue_until += missing_mt * BASE_SECOND_US / rate;
	if (h->queue_until > now + RETRY_MAX_US)
		h->queue_until = now + RETRY_MAX_US;
	retry = h->queue_until - now;
	return retry > RETRY_MIN_US ? retry : RETRY_MIN_US;
}

/*
 * Tokens for waiting requests are spent at once; a short lifetime frees their
 * room without a report.
 */
static int64_t lifetime_for(const struct held *h, const struct rate_ask *ask)
{
	int64_t lifetime = rate_share_lifetime(&h->bucket.share);

	if (ask->prefetch_mt > 0)
		return lifetime;
	return min_i64(lifetime, NEED_LIFETIME_US);
}

static void grant(struct rate_holder *holder, struct held *h,
		  struct asker *asker, const struct rate_ask *ask, int64_t now,
		  struct rate_grant *out)
{
	int64_t amount = 0;

	if (asker->live < RATE_REPORTS_MAX)
		amount = amount_for(h, ask);
	out->status = RATE_GRANT_OK;
	out->lifetime_us = lifetime_for(h, ask);
	out->retry_us = retry_after(h, ask->need_mt - amount, now);
	if (amount <= 0)
		return;
	out->amount_mt = amount;
	out->id = ++holder->last_grant;
	bucket_grant(&h->bucket,
		     &(struct bucket_grant){
			     .id = out->id,
			     .entry = ask->entry,
			     .live = &asker->live,
			     .amount_mt = amount,
			     .expires_at = now + held_for(out->lifetime_us),
		     });
}

static bool is_well_formed(const struct rate_ask *ask)
{
	return ask->need_mt >= 0 && ask->prefetch_mt >= 0 &&
	       ask->report_count <= RATE_REPORTS_MAX;
}

bool rate_holder_handle_ask(struct rate_holder *holder,
			    const struct rate_ask *ask, int64_t now,
			    struct rate_grant *out)
{
	struct held *h = find(holder, ask->account);
	struct asker *asker;

	*out = (struct rate_grant){
		.account = ask->account,
		.entry = ask->entry,
		.seq = ask->seq,
		.holder = holder->incarnation,
		.status = RATE_GRANT_NOT_HOLDER,
		.retry_us = RETRY_MAX_US,
	};
	if (!is_well_formed(ask))
		return false;
	if (!h)
		return ask->need_mt > 0 || ask->prefetch_mt > 0;
	settle(h, now);
	book_reports(holder, h, ask);
	asker = note_ask(h, ask, now);
	if (!asker)
		return false;
	if (ask->need_mt <= 0 && ask->prefetch_mt <= 0)
		return false;
	if (h->pending && !h->bucket.share.burst_mt) {
		out->status = RATE_GRANT_STARTING;
		out->retry_us = STARTING_RETRY_US;
		return true;
	}
	grant(holder, h, asker, ask, now, out);
	return true;
}

bool rate_holder_state(struct rate_holder *holder, uint64_t account,
		       int64_t now, struct rate_holder_state *out)
{
	struct held *h = find(holder, account);

	if (!h)
		return false;
	settle(h, now);
	*out = (struct rate_holder_state){
		.share = h->bucket.share,
		.level_mt = h->bucket.level_mt,
		.outstanding_mt = h->bucket.outstanding_mt,
		.grants = HASH_COUNT(h->bucket.by_id),
		.entries = HASH_COUNT(h->askers),
		.unconfirmed = h->unconfirmed,
		.ready_at = h->ready_at,
	};
	return true;
}
