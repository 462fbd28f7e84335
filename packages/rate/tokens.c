/* Granted tokens of an entry, spent in the order of their expiry. */
#include "account.h"

#include <assert.h>

/* A smaller remainder is left to expire, as it is not worth a message. */
#define RETURN_MIN_MT INT64_C(100)
/*
 * Unused tokens are returned this long before they expire, so that the return
 * reaches the holder in time; for short lifetimes, the lifetime divided by
 * RETURN_LEAD_DIVISOR.
 */
#define RETURN_LEAD_US (5 * BASE_MS_US)
#define RETURN_LEAD_DIVISOR 8

int64_t tokens_usable(const struct account *a, int64_t valid_until)
{
	int64_t sum = 0;
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct token_source *s = &a->sources[i];

		for (j = 0; j < s->grant_count; j++) {
			if (s->grants[j].expires_at > valid_until)
				sum += s->grants[j].left_mt;
		}
	}
	return sum;
}

static struct held_grant *first_expiring(struct account *a, int64_t now)
{
	struct held_grant *first = NULL;
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct token_source *s = &a->sources[i];

		for (j = 0; j < s->grant_count; j++) {
			struct held_grant *g = &s->grants[j];

			if (g->expires_at <= now || g->left_mt <= 0)
				continue;
			if (!first || g->expires_at < first->expires_at)
				first = g;
		}
	}
	return first;
}

int64_t tokens_spend(struct account *a, int64_t now)
{
	int64_t missing = RATE_TOKEN_MT;
	int64_t token_expires_at = INT64_MAX;

	while (missing > 0) {
		struct held_grant *g = first_expiring(a, now);
		int64_t part;

		assert(g);
		part = g->left_mt < missing ? g->left_mt : missing;
		g->left_mt -= part;
		g->used_mt += part;
		g->unreported = true;
		missing -= part;
		if (g->expires_at < token_expires_at)
			token_expires_at = g->expires_at;
	}
	return token_expires_at;
}

static bool is_fully_reported(const struct held_grant *g)
{
	return g->left_mt <= 0 && !g->unreported;
}

static void drop_grant(struct token_source *s, size_t i)
{
	s->grants[i] = s->grants[--s->grant_count];
}

void tokens_add(struct token_source *s, const struct rate_grant *grant,
		int64_t now)
{
	int64_t expires_at = s->asked_at + grant->lifetime_us;
	int64_t lead = grant->lifetime_us / RETURN_LEAD_DIVISOR;

	if (grant->amount_mt <= 0 || expires_at <= now)
		return;
	/* A new process of the holder has no record of older grants. */
	if (s->incarnation != grant->holder)
		s->grant_count = 0;
	s->incarnation = grant->holder;
	if (s->grant_count == RATE_REPORTS_MAX)
		return;
	if (lead > RETURN_LEAD_US)
		lead = RETURN_LEAD_US;
	s->grants[s->grant_count++] = (struct held_grant){
		.id = grant->id,
		.left_mt = grant->amount_mt,
		.expires_at = expires_at,
		.return_at = expires_at - lead,
	};
}

void tokens_drop_expired(struct account *a, int64_t now)
{
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct token_source *s = &a->sources[i];

		for (j = s->grant_count; j-- > 0;) {
			if (s->grants[j].expires_at <= now)
				drop_grant(s, j);
		}
	}
}

void tokens_schedule_return(struct token_source *s, int64_t now)
{
	size_t i;

	for (i = 0; i < s->grant_count; i++) {
		if (s->grants[i].return_at > now)
			s->grants[i].return_at = now;
	}
}

bool tokens_return_due(const struct token_source *s, int64_t now)
{
	size_t i;

	for (i = 0; i < s->grant_count; i++) {
		const struct held_grant *g = &s->grants[i];

		if (g->return_at <= now && g->left_mt >= RETURN_MIN_MT)
			return true;
	}
	return false;
}

void tokens_report(struct token_source *s, struct rate_ask *ask, int64_t now)
{
	size_t i;

	for (i = s->grant_count; i-- > 0;) {
		struct held_grant *g = &s->grants[i];

		if (g->return_at <= now && g->left_mt > 0) {
			g->returned_mt += g->left_mt;
			g->left_mt = 0;
			g->unreported = true;
		}
		if (g->unreported) {
			ask->reports[ask->report_count++] =
				(struct rate_report){
					.grant = g->id,
					.used_mt = g->used_mt,
					.returned_mt = g->returned_mt,
				};
			g->unreported = false;
		}
		if (is_fully_reported(g))
			drop_grant(s, i);
	}
	if (ask->report_count)
		ask->holder = s->incarnation;
}
