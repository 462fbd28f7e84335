/*
 * Asks whose sending is deferred until the link to their holder is up. Does no
 * input or output.
 */
#ifndef RATE_DEFERRED_H
#define RATE_DEFERRED_H

#include "rate.h"

/** Greatest number of deferred asks to all holders together. */
#define RATE_DEFERRED_MAX 64

struct rate_deferred_ask {
	struct rate_ask ask;
	/** Number of the VM that the ask is sent to. */
	uint64_t holder;
	/** Monotonic time in microseconds at which the ask is given up. */
	int64_t expires_at;
};

/** Zero-initialized when empty; owns no memory. */
struct rate_deferred_asks {
	struct rate_deferred_ask items[RATE_DEFERRED_MAX];
	size_t count;
};

/**
 * Stores a copy of @p ask.
 * @return false when RATE_DEFERRED_MAX asks are stored already
 */
bool rate_deferred_add(struct rate_deferred_asks *deferred, uint64_t holder,
		       const struct rate_ask *ask, int64_t expires_at);
/**
 * Removes one ask to @p holder and copies it to @p out. The order of removal is
 * not defined.
 * @return false when there is none
 */
bool rate_deferred_take(struct rate_deferred_asks *deferred, uint64_t holder,
			struct rate_ask *out);
/**
 * Finds a holder with an ask that expired at or before @p now. The ask stays
 * stored.
 * @return false when no ask has expired
 */
bool rate_deferred_find_expired(const struct rate_deferred_asks *deferred,
				int64_t now, uint64_t *holder);
/** Returns the earliest expiry, or INT64_MAX when no ask is stored. */
int64_t rate_deferred_next_expiry(const struct rate_deferred_asks *deferred);

#endif
