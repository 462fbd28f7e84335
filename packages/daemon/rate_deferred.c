/* Asks whose sending is deferred until the link to their holder is up. */
#include "rate_deferred.h"

bool rate_deferred_add(struct rate_deferred_asks *deferred, uint64_t holder,
		       const struct rate_ask *ask, int64_t expires_at)
{
	if (deferred->count == RATE_DEFERRED_MAX)
		return false;
	deferred->items[deferred->count++] = (struct rate_deferred_ask){
		.ask = *ask,
		.holder = holder,
		.expires_at = expires_at,
	};
	return true;
}

bool rate_deferred_take(struct rate_deferred_asks *deferred, uint64_t holder,
			struct rate_ask *out)
{
	size_t i;

	for (i = 0; i < deferred->count; i++) {
		if (deferred->items[i].holder != holder)
			continue;
		*out = deferred->items[i].ask;
		deferred->items[i] = deferred->items[--deferred->count];
		return true;
	}
	return false;
}

bool rate_deferred_find_expired(const struct rate_deferred_asks *deferred,
				int64_t now, uint64_t *holder)
{
	size_t i;

	for (i = 0; i < deferred->count; i++) {
		if (deferred->items[i].expires_at > now)
			continue;
		*holder = deferred->items[i].holder;
		return true;
	}
	return false;
}

int64_t rate_deferred_next_expiry(const struct rate_deferred_asks *deferred)
{
	int64_t next = INT64_MAX;
	size_t i;

	for (i = 0; i < deferred->count; i++)
		if (deferred->items[i].expires_at < next)
			next = deferred->items[i].expires_at;
	return next;
}
