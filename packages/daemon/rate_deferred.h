/*
 * Asks that wait until the link to their holder is up. Pure.
 */
#ifndef RATE_PARKED_H
#define RATE_PARKED_H

#include "rate.h"

#define RATE_PARKED_MAX 64

struct rate_parked_ask {
	struct rate_ask ask;
	uint64_t holder;
	int64_t until;
};

struct rate_parked {
	struct rate_parked_ask items[RATE_PARKED_MAX];
	size_t count;
};

/** @return false when no more asks can wait */
bool rate_parked_add(struct rate_parked *parked, uint64_t holder,
		     const struct rate_ask *ask, int64_t until);
/** Takes one ask to @p holder. @return false when there is none */
bool rate_parked_take(struct rate_parked *parked, uint64_t holder,
		      struct rate_ask *out);
/** Finds a holder whose ask has waited until @p now. */
bool rate_parked_expired(const struct rate_parked *parked, int64_t now,
			 uint64_t *holder);
/** End of the first wait, INT64_MAX when there is none. */
int64_t rate_parked_next(const struct rate_parked *parked);

#endif
