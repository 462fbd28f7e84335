/* Decaying counts of offered and started work for each client account. */
#include "usage.h"

#include <math.h>
#include <uthash.h>

#define DECAY_TIME_CONSTANT_US ((double)BASE_SECOND_US)
/* An account may exceed its share by this factor, as the counts are noisy. */
#define FAIR_SHARE_MARGIN 1.2
/* An account without offered or started work for this long is removed. */
#define IDLE_TIMEOUT_US (10 * BASE_SECOND_US)

struct account_usage {
	uint32_t account;
	uint32_t weight;
	double offered;
	double started;
	int64_t updated_at;
	UT_hash_handle hh;
};

struct overload_usage {
	struct account_usage *accounts;
	int64_t last_sweep_at;
};

struct overload_usage *overload_usage_create(void)
{
	return base_alloc(sizeof(struct overload_usage));
}

void overload_usage_destroy(struct overload_usage *usage)
{
	struct account_usage *a, *next;

	if (!usage)
		return;
	HASH_ITER (hh, usage->accounts, a, next) {
		HASH_DEL(usage->accounts, a);
		free(a);
	}
	free(usage);
}

static void remove_idle_accounts(struct overload_usage *usage, int64_t now)
{
	struct account_usage *a, *next;

	if (now - usage->last_sweep_at < IDLE_TIMEOUT_US)
		return;
	usage->last_sweep_at = now;
	HASH_ITER (hh, usage->accounts, a, next) {
		if (now - a->updated_at < IDLE_TIMEOUT_US)
			continue;
		HASH_DEL(usage->accounts, a);
		free(a);
	}
}

static struct account_usage *find_account(const struct overload_usage *usage,
					  uint32_t account)
{
	struct account_usage *a;

	HASH_FIND(hh, usage->accounts, &account, sizeof(account), a);
	return a;
}

static double decay_factor(const struct account_usage *a, int64_t now)
{
	return exp((double)(a->updated_at - now) / DECAY_TIME_CONSTANT_US);
}

/* Finds or adds the account and decays its counts to @p now. */
static struct account_usage *refresh_account(struct overload_usage *usage,
					     uint32_t account, int64_t now)
{
	struct account_usage *a;

	remove_idle_accounts(usage, now);
	a = find_account(usage, account);
	if (!a) {
		a = base_alloc(sizeof(*a));
		a->account = account;
		a->weight = 1;
		HASH_ADD(hh, usage->accounts, account, sizeof(account), a);
	}
	a->offered *= decay_factor(a, now);
	a->started *= decay_factor(a, now);
	a->updated_at = now;
	return a;
}

void overload_usage_count_offered(struct overload_usage *usage,
				  uint32_t account, uint32_t weight,
				  int64_t now)
{
	struct account_usage *a = refresh_account(usage, account, now);

	a->weight = weight ? weight : 1;
	a->offered += 1;
}

void overload_usage_count_started(struct overload_usage *usage,
				  uint32_t account, int64_t now)
{
	refresh_account(usage, account, now)->started += 1;
}

double overload_usage_recent_starts(const struct overload_usage *usage,
				    uint32_t account, int64_t now)
{
	const struct account_usage *a = find_account(usage, account);

	return a ? a->started * decay_factor(a, now) : 0;
}

double overload_usage_fair_share(const struct overload_usage *usage,
				 int64_t now)
{
	double fair_share = 0;
	double served = 0;
	double previous, remaining, weights, offered;
	const struct account_usage *a;

	for (a = usage->accounts; a; a = a->hh.next)
		served += a->started * decay_factor(a, now);
	/*
	 * Each pass serves the accounts below the share in full and divides the
	 * rest among the others, until the share no longer grows.
	 */
	do {
		previous = fair_share;
		remaining = served;
		weights = 0;
		for (a = usage->accounts; a; a = a->hh.next) {
			offered = a->offered * decay_factor(a, now);
			if (offered <= fair_share * a->weight)
				remaining -= offered;
			else
				weights += a->weight;
		}
		if (weights > 0)
			fair_share = remaining / weights;
	} while (weights > 0 && fair_share > previous * 1.000001);
	return fair_share;
}

bool overload_usage_is_below_share(const struct overload_usage *usage,
				   uint32_t account, double fair_share,
				   int64_t now)
{
	const struct account_usage *a = find_account(usage, account);

	return !a || a->offered * decay_factor(a, now) <
			     FAIR_SHARE_MARGIN * fair_share * a->weight;
}
