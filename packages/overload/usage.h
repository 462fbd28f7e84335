/*
 * Recent demand and service of client accounts: work offered and work started,
 * as counts that decay with a time constant of 1 s.
 */
#ifndef OVERLOAD_USAGE_H
#define OVERLOAD_USAGE_H

#include "overload.h"

struct overload_usage;

struct overload_usage *overload_usage_create(void);
void overload_usage_destroy(struct overload_usage *usage);
/** Records that work of @p account was offered. */
void overload_usage_count_offered(struct overload_usage *usage,
				  uint32_t account, uint32_t weight,
				  int64_t now);
/** Records that work of @p account was started. */
void overload_usage_count_started(struct overload_usage *usage,
				  uint32_t account, int64_t now);
/** Returns the work started for @p account in about the last second. */
double overload_usage_recent_starts(const struct overload_usage *usage,
				    uint32_t account, int64_t now);
/**
 * Returns the max-min fair share for one unit of weight: accounts whose demand
 * per unit of weight is below it can be served in full, the others up to it.
 */
double overload_usage_fair_share(const struct overload_usage *usage,
				 int64_t now);
/**
 * Returns whether the demand of @p account is below its weight times
 * @p fair_share, plus a margin of 20% as the counts are noisy. True for an
 * account without recent demand.
 */
bool overload_usage_is_below_share(const struct overload_usage *usage,
				   uint32_t account, double fair_share,
				   int64_t now);

#endif
