/* What accounts have asked for and received lately. */
#ifndef OVERLOAD_USAGE_H
#define OVERLOAD_USAGE_H

#include "overload.h"

struct overload_usage;

struct overload_usage *overload_usage_create(void);
void overload_usage_destroy(struct overload_usage *usage);
/** Work of @p account was offered. */
void overload_usage_count_offered(struct overload_usage *usage,
				  uint32_t account, uint32_t weight,
				  int64_t now);
/** Work of @p account was started. */
void overload_usage_count_started(struct overload_usage *usage,
				  uint32_t account, int64_t now);
/** Work started for @p account within about the last second. */
double overload_usage_recent_starts(const struct overload_usage *usage,
				    uint32_t account, int64_t now);
/**
 * The max-min fair level: accounts that ask for less than this for each unit of
 * weight are served in full, the others up to it.
 */
double overload_usage_fair_share(const struct overload_usage *usage,
				 int64_t now);
/** @p account asks for less than its weight gets at @p level. */
bool overload_usage_is_below_share(const struct overload_usage *usage,
				   uint32_t account, double fair_share,
				   int64_t now);

#endif
