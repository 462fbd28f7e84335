/* Splits the rate and burst of an account over its holders. */
#include "rate.h"

#include <assert.h>

/*
 * A failure domain gets one holder for each of this many tokens in its part of
 * the burst, but at least 1 and at most HOLDERS_PER_DOMAIN_MAX.
 */
#define TOKENS_PER_HOLDER 4
#define HOLDERS_PER_DOMAIN_MAX 3
#define US_PER_SECOND INT64_C(1000000)

uint32_t rate_holder_count(uint32_t domains, int64_t burst)
{
	int64_t per_domain;

	assert(domains >= 1);
	assert(burst >= 0);
	per_domain = burst / (TOKENS_PER_HOLDER * (int64_t)domains);
	if (per_domain < 1)
		per_domain = 1;
	if (per_domain > HOLDERS_PER_DOMAIN_MAX)
		per_domain = HOLDERS_PER_DOMAIN_MAX;
	return domains * (uint32_t)per_domain;
}

struct rate_share rate_share_compute(int64_t rate, int64_t burst,
				     uint32_t holders)
{
	assert(rate >= 0 && rate <= RATE_VALUE_MAX);
	assert(burst >= 0 && burst <= RATE_VALUE_MAX);
	assert(holders >= 1);
	return (struct rate_share){
		.rate_mt_per_s = rate * RATE_TOKEN_MT / holders,
		.burst_mt = burst * RATE_TOKEN_MT / holders,
	};
}

int64_t rate_share_grant_lifetime_us(const struct rate_share *share)
{
	int64_t lifetime;

	if (share->rate_mt_per_s <= 0)
		return RATE_GRANT_LIFETIME_MAX_US;
	lifetime = share->burst_mt * US_PER_SECOND / (2 * share->rate_mt_per_s);
	if (lifetime < RATE_GRANT_LIFETIME_MIN_US)
		return RATE_GRANT_LIFETIME_MIN_US;
	if (lifetime > RATE_GRANT_LIFETIME_MAX_US)
		return RATE_GRANT_LIFETIME_MAX_US;
	return lifetime;
}
