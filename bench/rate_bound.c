/* Exact check of admissions against the bound of rate and burst. */
#include "rate_bound.h"

#include "base.h"
#include "rate.h"

#include <assert.h>

/* A lifetime and the margin by which holders keep grants longer. */
#define GRANT_LIFETIME_WITH_MARGIN_US \
	(RATE_GRANT_LIFETIME_MAX_US + RATE_GRANT_LIFETIME_MAX_US / 512 + 1)

uint32_t bound_add_version(struct bound *b, int64_t rate, int64_t burst)
{
	assert(b->count < BOUND_VERSIONS_MAX);
	b->versions[b->count] = (struct bound_version){
		.rate = rate,
		.burst = burst,
		.in_force_until = -1,
	};
	return b->count++;
}

static void refill(struct bound *b, int64_t until)
{
	int64_t most = b->burst * BASE_SECOND_US;

	b->micro_tokens += (until - b->now) * b->rate;
	if (b->micro_tokens > most)
		b->micro_tokens = most;
	b->now = until;
}

static void update_limits(struct bound *b)
{
	uint32_t i;

	b->rate = 0;
	b->burst = 0;
	for (i = 0; i < b->count; i++) {
		const struct bound_version *v = &b->versions[i];

		if (!v->users && v->in_force_until <= b->now)
			continue;
		if (v->rate > b->rate)
			b->rate = v->rate;
		if (v->burst > b->burst)
			b->burst = v->burst;
	}
}

static int64_t next_expiry(const struct bound *b)
{
	int64_t next = INT64_MAX;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		const struct bound_version *v = &b->versions[i];

		if (!v->users && v->in_force_until > b->now &&
		    v->in_force_until < next)
			next = v->in_force_until;
	}
	return next;
}

static void advance(struct bound *b, int64_t now)
{
	int64_t end;

	while ((end = next_expiry(b)) <= now) {
		refill(b, end);
		update_limits(b);
		refill(b, end);
	}
	refill(b, now);
}

void bound_enter(struct bound *b, uint32_t version, int64_t now)
{
	advance(b, now);
	b->versions[version].users++;
	update_limits(b);
}

void bound_leave(struct bound *b, uint32_t version, int64_t now)
{
	advance(b, now);
	assert(b->versions[version].users > 0);
	b->versions[version].users--;
	b->versions[version].in_force_until =
		now + GRANT_LIFETIME_WITH_MARGIN_US;
	update_limits(b);
}

bool bound_admit(struct bound *b, int64_t now)
{
	advance(b, now);
	if (b->micro_tokens < BASE_SECOND_US)
		return false;
	b->micro_tokens -= BASE_SECOND_US;
	return true;
}
