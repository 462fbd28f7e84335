/* Service that accounts have received lately. */
#ifndef OVERLOAD_USAGE_H
#define OVERLOAD_USAGE_H

#include "overload.h"

struct overload_usage;

struct overload_usage *overload_usage_create(void);
void overload_usage_destroy(struct overload_usage *usage);
/** Work of @p account was started. */
void overload_usage_add(struct overload_usage *usage, uint32_t account,
			int64_t now);
/** Work started for @p account within about the last second. */
double overload_usage_recent(const struct overload_usage *usage,
			     uint32_t account, int64_t now);

#endif
