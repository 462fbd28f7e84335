/* Exact check of admissions against rate and burst. */
#include "rate_bound.h"

#include "base.h"
#include "rate.h"

#include <assert.h>

/* A lifetime, and the margin for which a holder keeps grants longer. */
#define GRANTS_LIVE_US \
	(RATE_GRANT_LIFETIME_MAX_US + RATE_GRANT_LIFETIME_MAX_US / 512 + 1)

uint32_t bound_add_version(struct bound *b, int64_t rate, int64_t burst)
{
	assert(b->count < BOUND_VERSIONS_MAX);
	b->versions[b->count] = (struct bound_version){
		.rate = rate,
		.burst = burst,
		.until = -1,
	};
	return b->count++;
}

static void fill(struct bound *b, int64_t until)
{
	int64_t most = b->burst * BASE_SECOND_US;

	b->left += (until - b->now) * b->rate;
	if (b->left > most)
		b->left = most;
	b->now = until;
}

static void choose(struct bound *b)
{
	uint32_t i;

	b->rate = 0;
	b->burst = 0;
	for (i = 0; i < b->count; i++) {
		const struct bound_version *v = &b->versions[i];

		if (!v->users && v->until <= b->now)
			continue;
		if (v->rate > b->rate)
			b->rate = v->rate;
		if (v->burst > b->burst)
			b->burst = v->burst;
	}
}

static int64_t next_end(const struct bound *b)
{
	int64_t next = INT64_MAX;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		const struct bound_version *v = &b->versions[i];

		if (!v->users && v->until > b->now && v->until < next)
			next = v->until;
	}
	return next;
}

static void advance(struct bound *b, int64_t now)
{
	int64_t end;

	while ((end = next_end(b)) <= now) {
		fill(b, end);
		choose(b);
		fill(b, end);
	}
	fill(b, now);
}

void bound_enter(struct bound *b, uint32_t version, int64_t now)
{
	advance(b, now);
	b->versions[version].users++;
	choose(b);
}

void bound_leave(struct bound *b, uint32_t version, int64_t now)
{
	advance(b, now);
	assert(b->versions[version].users > 0);
	b->versions[version].users--;
	b->versions[version].until = now + GRANTS_LIVE_US;
	choose(b);
}

bool bound_admit(struct bound *b, int64_t now)
{
	advance(b, now);
	if (b->left < BASE_SECOND_US)
		return false;
	b->left -= BASE_SECOND_US;
	return true;
}
