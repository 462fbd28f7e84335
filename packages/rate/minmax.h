#ifndef RATE_MINMAX_H
#define RATE_MINMAX_H

#include <stdint.h>

static inline int64_t max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static inline int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

#endif
