/* Baseline entries: a fixed share on each daemon, and no limit. */
#include "base.h"
#include "bucket.h"
#include "rate.h"

#include <assert.h>
#include <uthash.h>

/* Baselines use no grants, so admissions do not expire. */
#define NO_EXPIRY INT64_MAX
#define RETRY_AFTER_US BASE_MS_US

struct local_account {
	uint64_t id;
	/* Holds no grants; tokens are spent at once. */
	struct bucket bucket;
	UT_hash_handle hh;
};

struct local_entry {
	struct rate_entry base;
	uint32_t daemons;
	struct local_account *by_id;
};

static struct local_entry *local(struct rate_entry *entry)
{
	return (struct local_entry *)entry;
}

static struct local_account *find(struct local_entry *e, uint64_t id)
{
	struct local_account *a;

	HASH_FIND(hh, e->by_id, &id, sizeof(id), a);
	return a;
}

static void local_remove_account(struct rate_entry *entry, uint64_t id)
{
	struct local_entry *e = local(entry);
	struct local_account *a = find(e, id);

	if (!a)
		return;
	HASH_DEL(e->by_id, a);
	free(a);
}

static void local_destroy(struct rate_entry *entry)
{
	struct local_entry *e = local(entry);
	struct local_account *a, *next;

	HASH_ITER (hh, e->by_id, a, next) {
		HASH_DEL(e->by_id, a);
		free(a);
	}
	free(e);
}

static void local_set_account(struct rate_entry *entry, uint64_t id,
			      const struct rate_account *spec, int64_t now)
{
	struct local_entry *e = local(entry);
	struct local_account *a = find(e, id);
	struct rate_share share;

	if (!a) {
		a = base_alloc(sizeof(*a));
		a->id = id;
		bucket_init(&a->bucket, now);
		HASH_ADD(hh, e->by_id, id, sizeof(a->id), a);
	}
	share = rate_share_compute(spec->rate, spec->burst, e->daemons);
	bucket_update(&a->bucket, now);
	bucket_set_share(&a->bucket, &share);
}

static struct rate_decision local_admit(struct rate_entry *entry, uint64_t id,
					uint64_t request, int64_t now)
{
	struct local_account *a = find(local(entry), id);

	(void)request;
	if (!a)
		return (struct rate_decision){ .result = RATE_UNKNOWN_ACCOUNT };
	bucket_update(&a->bucket, now);
	if (a->bucket.level_mt < RATE_TOKEN_MT)
		return (struct rate_decision){
			.result = RATE_REFUSED,
			.retry_after_us = RETRY_AFTER_US,
		};
	a->bucket.level_mt -= RATE_TOKEN_MT;
	return (struct rate_decision){ .result = RATE_ADMITTED,
				       .token_expires_at = NO_EXPIRY };
}

static struct rate_decision unlimited_admit(struct rate_entry *entry,
					    uint64_t id, uint64_t request,
					    int64_t now)
{
	(void)entry, (void)id, (void)request, (void)now;
	return (struct rate_decision){ .result = RATE_ADMITTED,
				       .token_expires_at = NO_EXPIRY };
}

static void ignore_cancel(struct rate_entry *entry, uint64_t id,
			  uint64_t request)
{
	(void)entry, (void)id, (void)request;
}

static void ignore_grant(struct rate_entry *entry, uint64_t holder,
			 const struct rate_grant *grant, int64_t now)
{
	(void)entry, (void)holder, (void)grant, (void)now;
}

static void ignore_unreachable(struct rate_entry *entry, uint64_t holder,
			       int64_t now)
{
	(void)entry, (void)holder, (void)now;
}

static void ignore_tick(struct rate_entry *entry, int64_t now)
{
	(void)entry, (void)now;
}

static int64_t no_next_tick(const struct rate_entry *entry)
{
	(void)entry;
	return INT64_MAX;
}

static bool no_next_action(struct rate_entry *entry, struct rate_action *out)
{
	(void)entry, (void)out;
	return false;
}

static const struct rate_entry_ops local_ops = {
	.destroy = local_destroy,
	.set_account = local_set_account,
	.remove_account = local_remove_account,
	.admit = local_admit,
	.cancel = ignore_cancel,
	.on_grant = ignore_grant,
	.on_holder_unreachable = ignore_unreachable,
	.tick = ignore_tick,
	.next_tick = no_next_tick,
	.next_action = no_next_action,
};

static const struct rate_entry_ops unlimited_ops = {
	.destroy = local_destroy,
	.set_account = local_set_account,
	.remove_account = local_remove_account,
	.admit = unlimited_admit,
	.cancel = ignore_cancel,
	.on_grant = ignore_grant,
	.on_holder_unreachable = ignore_unreachable,
	.tick = ignore_tick,
	.next_tick = no_next_tick,
	.next_action = no_next_action,
};

static struct rate_entry *create(const struct rate_entry_ops *ops,
				 uint32_t daemons)
{
	struct local_entry *e = base_alloc(sizeof(*e));

	assert(daemons >= 1);
	e->base.ops = ops;
	e->daemons = daemons;
	return &e->base;
}

struct rate_entry *rate_entry_create_local_share(uint32_t daemons)
{
	return create(&local_ops, daemons);
}

struct rate_entry *rate_entry_create_unlimited(void)
{
	return create(&unlimited_ops, 1);
}
