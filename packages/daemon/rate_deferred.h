/*
 * Asks that wait until the link to their holder is up. Pure.
 */
#ifndef RATE_DEFERRED_H
#define RATE_DEFERRED_H

#include "rate.h"

#define RATE_DEFERRED_MAX 64

struct rate_deferred_ask {
	struct rate_ask ask;
	uint64_t holder;
	int64_t expires_at;
};

struct rate_deferred_asks {
	struct rate_deferred_ask items[RATE_DEFERRED_MAX];
	size_t count;
};

/** @return false when no more asks can wait */
bool rate_deferred_add(struct rate_deferred_asks *deferred, uint64_t holder,
		       const struct rate_ask *ask, int64_t expires_at);
/** Takes one ask to @p holder. @return false when there is none */
bool rate_deferred_take(struct rate_deferred_asks *deferred, uint64_t holder,
			struct rate_ask *out);
/** Finds a holder whose ask has waited until @p now. */
bool rate_deferred_find_expired(const struct rate_deferred_asks *deferred,
				int64_t now, uint64_t *holder);
/** End of the first wait, INT64_MAX when there is none. */
int64_t rate_deferred_next_expiry(const struct rate_deferred_asks *deferred);

#endif
