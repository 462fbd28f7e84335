/* Demand of client accounts, and the max-min fair division of a share. */
#include "demand.h"

/* Time over which the demand of an account is averaged. */
#define DEMAND_WINDOW_US (500 * BASE_MS_US)

void overload_demands_release(struct overload_demands *demands)
{
	struct overload_demand *demand = demands->first;
	struct overload_demand *next;

	HASH_CLEAR(hh, demands->first);
	for (; demand; demand = next) {
		next = demand->hh.next;
		free(demand);
	}
}

struct overload_demand *
overload_demands_find_or_add(struct overload_demands *demands, uint32_t account,
			     uint32_t weight)
{
	struct overload_demand *demand;

	HASH_FIND(hh, demands->first, &account, sizeof(account), demand);
	if (!demand) {
		demand = base_alloc(sizeof(*demand));
		demand->account = account;
		demand->share = 1;
		HASH_ADD(hh, demands->first, account, sizeof(demand->account),
			 demand);
	}
	demand->weight = weight ? weight : 1;
	return demand;
}

static double decay_demands(struct overload_demands *demands, int64_t now)
{
	double factor =
		1 - (double)(now - demands->computed_at) / DEMAND_WINDOW_US;
	struct overload_demand *demand, *next;
	double total = 0;

	if (factor <= 0) {
		overload_demands_release(demands);
		return 0;
	}
	HASH_ITER (hh, demands->first, demand, next) {
		demand->count *= factor;
		total += demand->count;
	}
	return total;
}

/*
 * Returns the max-min fair share for one unit of weight: accounts with less
 * demand are served in full and the others up to it, so that @p admitted_count
 * requests are admitted in total.
 */
static double fair_share_of(const struct overload_demands *demands,
			    double admitted_count)
{
	const struct overload_demand *demand, *next;
	double fair_share = 0;
	double weights, remaining, previous;

	do {
		previous = fair_share;
		weights = 0;
		remaining = admitted_count;
		HASH_ITER (hh, demands->first, demand, next) {
			if (demand->count <= fair_share * demand->weight)
				remaining -= demand->count;
			else
				weights += demand->weight;
		}
		if (weights > 0)
			fair_share = remaining / weights;
	} while (weights > 0 && fair_share > previous * 1.000001);
	return fair_share;
}

void overload_demands_compute(struct overload_demands *demands,
			      double admitted_share, int64_t now)
{
	double total = decay_demands(demands, now);
	double fair_share = fair_share_of(demands, total * admitted_share);
	struct overload_demand *demand, *next;

	demands->computed_at = now;
	HASH_ITER (hh, demands->first, demand, next) {
		demand->share =
			fair_share * demand->weight / (demand->count + 1e-9);
	}
}
