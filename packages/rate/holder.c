/* Holder side: keeps the shares of accounts and answers asks. */
#include "base.h"
#include "bucket.h"
#include "minmax.h"
#include "rate.h"

#include <assert.h>
#include <string.h>
#include <uthash.h>

/* Smaller grants are not worth their messages. */
#define GRANT_MIN_MT INT64_C(100)
/* Greatest lifetime of grants that serve waiting requests only. */
#define NEED_GRANT_LIFETIME_US (RATE_WAIT_MAX_US + 5 * BASE_MS_US)
#define RETRY_MIN_US BASE_MS_US
#define RETRY_MAX_US (500 * BASE_MS_US)
#define STARTING_RETRY_US (50 * BASE_MS_US)
/* An entry that sent no ask for this long holds no grant and is dropped. */
#define ENTRY_IDLE_US (2 * RATE_GRANT_LIFETIME_MAX_US)
/*
 * A grant counts as outstanding slightly longer than its lifetime: clocks are
 * read in whole microseconds, and their rates may differ by up to 0.1% while
 * they are slewed.
 */
#define EXPIRY_MARGIN_US 1
#define EXPIRY_MARGIN_DIVISOR 512

static const struct rate_share no_share = { 0, 0 };

/* An entry process that asked for tokens of an account. */
struct known_entry {
	uint64_t entry;
	uint64_t last_seq;
	int64_t last_ask_at;
	/* Grants that are neither expired nor used up or returned. */
	size_t grant_count;
	UT_hash_handle hh;
};

/* The share of one account on this holder. */
struct account_share {
	uint64_t account;
	struct bucket bucket;
	/* Replaces bucket.share once the change of holders is confirmed. */
	struct rate_share pending_share;
	bool change_pending;
	/* rate_epoch.version */
	uint64_t epoch;
	/* The `unconfirmed` peers whose confirmation is missing. */
	uint64_t *confirmers;
	size_t unconfirmed;
	int64_t ready_at;
	/* Accrual up to this time is promised to entries that must retry. */
	int64_t accrual_reserved_until;
	/* In order of their last ask. */
	struct known_entry *entries;
	UT_hash_handle hh;
};

struct rate_holder {
	uint64_t incarnation;
	uint64_t last_grant_id;
	int64_t created_at;
	struct account_share *shares;
};

struct rate_holder *rate_holder_create(uint64_t incarnation, int64_t now)
{
	struct rate_holder *holder = base_alloc(sizeof(*holder));

	assert(incarnation);
	holder->incarnation = incarnation;
	holder->created_at = now;
	return holder;
}

static void account_share_free(struct account_share *s)
{
	struct known_entry *e, *next;

	bucket_release(&s->bucket);
	free(s->confirmers);
	HASH_ITER (hh, s->entries, e, next) {
		HASH_DEL(s->entries, e);
		free(e);
	}
	free(s);
}

void rate_holder_destroy(struct rate_holder *holder)
{
	struct account_share *s, *next;

	if (!holder)
		return;
	HASH_ITER (hh, holder->shares, s, next) {
		HASH_DEL(holder->shares, s);
		account_share_free(s);
	}
	free(holder);
}

static struct account_share *find_share(struct rate_holder *holder,
					uint64_t account)
{
	struct account_share *s;

	HASH_FIND(hh, holder->shares, &account, sizeof(account), s);
	return s;
}

/*
 * Accounts for accrual and expiry up to `now`. A pending share that is due
 * applies from its due time on, not only from `now`.
 */
static void update_share(struct account_share *s, int64_t now)
{
	if (s->change_pending && !s->unconfirmed && s->ready_at <= now) {
		bucket_update(&s->bucket, s->ready_at);
		bucket_set_share(&s->bucket, &s->pending_share);
		s->change_pending = false;
	}
	bucket_update(&s->bucket, now);
}

/* How long the holder counts a grant of that lifetime as outstanding. */
static int64_t time_outstanding(int64_t lifetime)
{
	return lifetime + lifetime / EXPIRY_MARGIN_DIVISOR + EXPIRY_MARGIN_US;
}

static struct rate_share share_min(const struct rate_share *a,
				   const struct rate_share *b)
{
	return (struct rate_share){
		.rate_mt_per_s = min_i64(a->rate_mt_per_s, b->rate_mt_per_s),
		.burst_mt = min_i64(a->burst_mt, b->burst_mt),
	};
}

static void add_confirmer(struct account_share *s, uint64_t confirmer)
{
	size_t i;

	for (i = 0; i < s->unconfirmed; i++) {
		if (s->confirmers[i] == confirmer)
			return;
	}
	s->confirmers = base_realloc(
		s->confirmers, (s->unconfirmed + 1) * sizeof(*s->confirmers));
	s->confirmers[s->unconfirmed++] = confirmer;
}

/*
 * Missing confirmations of an earlier epoch are still required: those peers may
 * act on a version older than the previous one.
 */
static void start_epoch(struct account_share *s, const struct rate_epoch *epoch,
			int64_t now)
{
	size_t i;

	assert(epoch->confirmer_count <= RATE_CONFIRMERS_MAX);
	s->epoch = epoch->version;
	s->change_pending = true;
	s->ready_at = now + time_outstanding(RATE_GRANT_LIFETIME_MAX_US);
	for (i = 0; i < epoch->confirmer_count; i++)
		add_confirmer(s, epoch->confirmers[i]);
}

/* Until the change is confirmed, the share may only become smaller. */
static struct rate_share allowed_share(const struct account_share *s,
				       const struct rate_share *share)
{
	if (!s->change_pending)
		return *share;
	return share_min(&s->bucket.share, share);
}

static struct account_share *add_share(struct rate_holder *holder,
				       uint64_t account, int64_t now)
{
	struct account_share *s = base_alloc(sizeof(*s));

	s->account = account;
	bucket_init(&s->bucket, now);
	HASH_ADD(hh, holder->shares, account, sizeof(s->account), s);
	return s;
}

void rate_holder_set_share(struct rate_holder *holder, uint64_t account,
			   const struct rate_share *share,
			   const struct rate_epoch *epoch, int64_t now)
{
	struct account_share *s = find_share(holder, account);
	struct rate_share allowed;

	if (now < holder->created_at)
		now = holder->created_at;
	if (s && epoch->version < s->epoch)
		return;
	if (!s) {
		s = add_share(holder, account, now);
		start_epoch(s, epoch, now);
	}
	update_share(s, now);
	if (epoch->version > s->epoch) {
		start_epoch(s, epoch, now);
		if (!epoch->no_version_skipped)
			bucket_set_share(&s->bucket, &no_share);
	}
	s->pending_share = *share;
	allowed = allowed_share(s, share);
	bucket_set_share(&s->bucket, &allowed);
}

void rate_holder_remove_share(struct rate_holder *holder, uint64_t account)
{
	struct account_share *s = find_share(holder, account);

	if (!s)
		return;
	HASH_DEL(holder->shares, s);
	account_share_free(s);
}

static void confirm(struct account_share *s, uint64_t confirmer, int64_t now)
{
	size_t i;

	for (i = 0; i < s->unconfirmed; i++) {
		if (s->confirmers[i] != confirmer)
			continue;
		s->confirmers[i] = s->confirmers[--s->unconfirmed];
		/* Grants that the confirmer made may last one more lifetime. */
		s->ready_at =
			now + time_outstanding(RATE_GRANT_LIFETIME_MAX_US);
		return;
	}
}

void rate_holder_confirm(struct rate_holder *holder, uint64_t confirmer,
			 uint64_t version, int64_t now)
{
	struct account_share *s, *next;

	HASH_ITER (hh, holder->shares, s, next) {
		if (version >= s->epoch)
			confirm(s, confirmer, now);
	}
}

static void drop_idle_entries(struct account_share *s, int64_t now)
{
	while (s->entries && s->entries->last_ask_at + ENTRY_IDLE_US <= now) {
		struct known_entry *e = s->entries;

		HASH_DEL(s->entries, e);
		free(e);
	}
}

/* Returns NULL unless the ask is the newest of its entry process. */
static struct known_entry *record_ask(struct account_share *s,
				      const struct rate_ask *ask, int64_t now)
{
	struct known_entry *e;

	drop_idle_entries(s, now);
	HASH_FIND(hh, s->entries, &ask->entry, sizeof(ask->entry), e);
	if (e && ask->seq <= e->last_seq)
		return NULL;
	if (e)
		HASH_DEL(s->entries, e);
	else
		e = base_alloc(sizeof(*e));
	e->entry = ask->entry;
	e->last_seq = ask->seq;
	e->last_ask_at = now;
	HASH_ADD(hh, s->entries, entry, sizeof(e->entry), e);
	return e;
}

static void apply_reports(struct rate_holder *holder, struct account_share *s,
			  const struct rate_ask *ask)
{
	uint32_t i;

	if (ask->holder != holder->incarnation)
		return;
	for (i = 0; i < ask->report_count; i++)
		bucket_apply_report(&s->bucket, ask->entry, &ask->reports[i]);
}

/* Grants whole tokens, and at most half of those that are left. */
static int64_t prefetch_amount(int64_t rest, int64_t prefetch)
{
	int64_t part = min_i64(rest / 2, prefetch);

	return part - part % RATE_TOKEN_MT;
}

static int64_t grant_amount(const struct account_share *s,
			    const struct rate_ask *ask)
{
	int64_t level = s->bucket.level_mt;
	int64_t amount = min_i64(level, ask->need_mt);

	if (amount < min_i64(ask->need_mt, GRANT_MIN_MT))
		return 0;
	return amount + prefetch_amount(level - amount, ask->prefetch_mt);
}

/*
 * Returns how long an entry whose ask was not met in full must wait before the
 * next one. Entries are spaced as if they queued for the accrual; otherwise the
 * number of asks would multiply under overload.
 */
static int64_t retry_delay(struct account_share *s, int64_t missing_mt,
			   int64_t now)
{
	int64_t rate = s->bucket.share.rate_mt_per_s;
	int64_t retry;

	if (missing_mt <= 0)
		return 0;
	if (s->accrual_reserved_until < now)
		s->accrual_reserved_until = now;
	if (missing_mt > rate / 2)
		s->accrual_reserved_until = now + RETRY_MAX_US;
	else
		s->accrual_reserved_until += missing_mt * BASE_SECOND_US / rate;
	if (s->accrual_reserved_until > now + RETRY_MAX_US)
		s->accrual_reserved_until = now + RETRY_MAX_US;
	retry = s->accrual_reserved_until - now;
	return retry > RETRY_MIN_US ? retry : RETRY_MIN_US;
}

/*
 * Tokens for waiting requests are spent at once, so their lifetime is short:
 * they stop counting against the burst without a report.
 */
static int64_t grant_lifetime(const struct account_share *s,
			      const struct rate_ask *ask)
{
	int64_t lifetime = rate_share_grant_lifetime_us(&s->bucket.share);

	if (ask->prefetch_mt > 0)
		return lifetime;
	return min_i64(lifetime, NEED_GRANT_LIFETIME_US);
}

static void make_grant(struct rate_holder *holder, struct account_share *s,
		       struct known_entry *entry, const struct rate_ask *ask,
		       int64_t now, struct rate_grant *out)
{
	int64_t amount = 0;

	if (entry->grant_count < RATE_REPORTS_MAX)
		amount = grant_amount(s, ask);
	out->status = RATE_GRANT_OK;
	out->lifetime_us = grant_lifetime(s, ask);
	out->retry_us = retry_delay(s, ask->need_mt - amount, now);
	if (amount <= 0)
		return;
	out->amount_mt = amount;
	out->id = ++holder->last_grant_id;
	bucket_add_grant(
		&s->bucket,
		&(struct bucket_grant){
			.id = out->id,
			.entry = ask->entry,
			.entry_grant_count = &entry->grant_count,
			.amount_mt = amount,
			.expires_at = now + time_outstanding(out->lifetime_us),
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
	struct account_share *s = find_share(holder, ask->account);
	struct known_entry *entry;

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
	if (!s)
		return ask->need_mt > 0 || ask->prefetch_mt > 0;
	update_share(s, now);
	apply_reports(holder, s, ask);
	entry = record_ask(s, ask, now);
	if (!entry)
		return false;
	if (ask->need_mt <= 0 && ask->prefetch_mt <= 0)
		return false;
	if (s->change_pending && !s->bucket.share.burst_mt) {
		out->status = RATE_GRANT_STARTING;
		out->retry_us = STARTING_RETRY_US;
		return true;
	}
	make_grant(holder, s, entry, ask, now, out);
	return true;
}

bool rate_holder_state(struct rate_holder *holder, uint64_t account,
		       int64_t now, struct rate_holder_state *out)
{
	struct account_share *s = find_share(holder, account);

	if (!s)
		return false;
	update_share(s, now);
	*out = (struct rate_holder_state){
		.share = s->bucket.share,
		.level_mt = s->bucket.level_mt,
		.outstanding_mt = s->bucket.outstanding_mt,
		.grants = HASH_COUNT(s->bucket.by_id),
		.entries = HASH_COUNT(s->entries),
		.unconfirmed = s->unconfirmed,
		.ready_at = s->ready_at,
	};
	return true;
}
