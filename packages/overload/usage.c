/* Decaying counts of offered and started work by account. */
#include "usage.h"

#include <math.h>
#include <uthash.h>

#define DECAY_US ((double)BASE_SECOND_US)
/* Accounts may be over their share by this factor, as counts are noisy. */
#define MARGIN 1.2
/* Accounts idle for this long are removed. */
#define IDLE_US (10 * BASE_SECOND_US)

struct account {
	uint32_t account;
	uint32_t weight;
	double offered;
	double started;
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

static double decay(const struct account *a, int64_t now)
{
	return exp((double)(a->counted_at - now) / DECAY_US);
}

static struct account *count(struct overload_usage *usage, uint32_t account,
			     int64_t now)
{
	struct account *a;

	sweep(usage, now);
	a = find(usage, account);
	if (!a) {
		a = base_alloc(sizeof(*a));
		a->account = account;
		a->weight = 1;
		HASH_ADD(hh, usage->accounts, account, sizeof(account), a);
	}
	a->offered *= decay(a, now);
	a->started *= decay(a, now);
	a->counted_at = now;
	return a;
}

void overload_usage_offered(struct overload_usage *usage, uint32_t account,
			    uint32_t weight, int64_t now)
{
	struct account *a = count(usage, account, now);

	a->weight = weight ? weight : 1;
	a->offered += 1;
}

void overload_usage_started(struct overload_usage *usage, uint32_t account,
			    int64_t now)
{
	count(usage, account, now)->started += 1;
}

double overload_usage_recent(const struct overload_usage *usage,
			     uint32_t account, int64_t now)
{
	const struct account *a = find(usage, account);

	return a ? a->started * decay(a, now) : 0;
}

double overload_usage_fair_level(const struct overload_usage *usage,
				 int64_t now)
{
	double level = 0;
	double served = 0;
	double previous, rest, weights, offered;
	const struct account *a;

	for (a = usage->accounts; a; a = a->hh.next)
		served += a->started * decay(a, now);
	do {
		previous = level;
		rest = served;
		weights = 0;
		for (a = usage->accounts; a; a = a->hh.next) {
			offered = a->offered * decay(a, now);
			if (offered <= level * a->weight)
				rest -= offered;
			else
				weights += a->weight;
		}
		if (weights > 0)
			level = rest / weights;
	} while (weights > 0 && level > previous * 1.000001);
	return level;
}

bool overload_usage_within(const struct overload_usage *usage, uint32_t account,
			   double level, int64_t now)
{
	const struct account *a = find(usage, account);

	return !a || a->offered * decay(a, now) < MARGIN * level * a->weight;
}
