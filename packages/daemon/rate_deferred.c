/* Asks that wait until the link to their holder is up. */
#include "rate_deferred.h"

bool rate_parked_add(struct rate_parked *parked, uint64_t holder,
		     const struct rate_ask *ask, int64_t until)
{
	if (parked->count == RATE_PARKED_MAX)
		return false;
	parked->items[parked->count++] = (struct rate_parked_ask){
		.ask = *ask,
		.holder = holder,
		.until = until,
	};
	return true;
}

bool rate_parked_take(struct rate_parked *parked, uint64_t holder,
		      struct rate_ask *out)
{
	size_t i;

	for (i = 0; i < parked->count; i++) {
		if (parked->items[i].holder != holder)
			continue;
		*out = parked->items[i].ask;
		parked->items[i] = parked->items[--parked->count];
		return true;
	}
	return false;
}

bool rate_parked_expired(const struct rate_parked *parked, int64_t now,
			 uint64_t *holder)
{
	size_t i;

	for (i = 0; i < parked->count; i++) {
		if (parked->items[i].until > now)
			continue;
		*holder = parked->items[i].holder;
		return true;
	}
	return false;
}

int64_t rate_parked_next(const struct rate_parked *parked)
{
	int64_t next = INT64_MAX;
	size_t i;

	for (i = 0; i < parked->count; i++)
		if (parked->items[i].until < next)
			next = parked->items[i].until;
	return next;
}
