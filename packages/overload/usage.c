/* Decaying counts of started work by account. */
#include "usage.h"

#include <math.h>
#include <uthash.h>

#define DECAY_US ((double)BASE_SECOND_US)
/* Accounts idle for this long are removed. */
#define IDLE_US (10 * BASE_SECOND_US)

struct account {
	uint32_t account;
	double count;
	int64_t counted_at;
	UT_hash_handle hh;
};

struct overload_usage {
	struct account *accounts;
	int64_t swept_at;
};

struct overload_usage *overload_usage_create(void)
{
	return base_alloc(sizeof(struct overload_usage));
}

void overload_usage_destroy(struct overload_usage *usage)
{
	struct account *a, *next;

	if (!usage)
		return;
	HASH_ITER (hh, usage->accounts, a, next) {
		HASH_DEL(usage->accounts, a);
		free(a);
	}
	free(usage);
}

static void sweep(struct overload_usage *usage, int64_t now)
{
	struct account *a, *next;

	if (now - usage->swept_at < IDLE_US)
		return;
	usage->swept_at = now;
	HASH_ITER (hh, usage->accounts, a, next) {
		if (now - a->counted_at < IDLE_US)
			continue;
		HASH_DEL(usage->accounts, a);
		free(a);
	}
}

static struct account *find(const struct overload_usage *usage,
			    uint32_t account)
{
	struct account *a;

	HASH_FIND(hh, usage->accounts, &account, sizeof(account), a);
	return a;
}

static double decayed(const struct account *a, int64_t now)
{
	return a->count * exp((double)(a->counted_at - now) / DECAY_US);
}

void overload_usage_add(struct overload_usage *usage, uint32_t account,
			int64_t now)
{
	struct account *a;

	sweep(usage, now);
	a = find(usage, account);
	if (!a) {
		a = base_alloc(sizeof(*a));
		a->account = account;
		HASH_ADD(hh, usage->accounts, account, sizeof(account), a);
	}
	a->count = decayed(a, now) + 1;
	a->counted_at = now;
}

double overload_usage_recent(const struct overload_usage *usage,
			     uint32_t account, int64_t now)
{
	const struct account *a = find(usage, account);

	return a ? decayed(a, now) : 0;
}
