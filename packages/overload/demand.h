/* Demand of client accounts, and the max-min fair division of a share. */
#ifndef OVERLOAD_DEMAND_H
#define OVERLOAD_DEMAND_H

#include "base.h"

#include <uthash.h>

struct overload_demand {
	uint32_t account;
	uint32_t weight;
	/* Decaying count of requests. */
	double count;
	/* Probability with which a request is admitted. */
	double share;
	UT_hash_handle hh;
};

/* Zero-initialized when empty. */
struct overload_demands {
	struct overload_demand *first;
	int64_t computed_at;
};

void overload_demands_release(struct overload_demands *demands);
/* A new account has the share 1 until shares are computed again. */
struct overload_demand *
overload_demands_find_or_add(struct overload_demands *demands, uint32_t account,
			     uint32_t weight);
/* Divides @p admitted_share of all requests between the accounts. */
void overload_demands_compute(struct overload_demands *demands,
			      double admitted_share, int64_t now);

#endif
