/* Tokens at hand: pieces of grants, spent in the order of their expiry. */
#include "account.h"

#include <assert.h>

/* A smaller rest is left to lapse; a message would cost more. */
#define RETURN_MIN_MT INT64_C(100)
/* Lead of a return over the lapse, so that it reaches the holder in time. */
#define RETURN_LEAD_US (5 * BASE_MS_US)
#define RETURN_LEAD_DIVISOR 8

int64_t stock_usable(const struct account *a, int64_t valid_until)
{
	int64_t sum = 0;
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		const struct source *s = &a->sources[i];

		for (j = 0; j < s->piece_count; j++) {
			if (s->pieces[j].expires_at > valid_until)
				sum += s->pieces[j].left_mt;
		}
	}
	return sum;
}

static struct piece *first_to_expire(struct account *a, int64_t now)
{
	struct piece *best = NULL;
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct source *s = &a->sources[i];

		for (j = 0; j < s->piece_count; j++) {
			struct piece *p = &s->pieces[j];

			if (p->expires_at <= now || p->left_mt <= 0)
				continue;
			if (!best || p->expires_at < best->expires_at)
				best = p;
		}
	}
	return best;
}

int64_t stock_take(struct account *a, int64_t now)
{
	int64_t missing = RATE_TOKEN_MT;
	int64_t use_by = INT64_MAX;

	while (missing > 0) {
		struct piece *p = first_to_expire(a, now);
		int64_t part;

		assert(p);
		part = p->left_mt < missing ? p->left_mt : missing;
		p->left_mt -= part;
		p->used_mt += part;
		p->unreported = true;
		missing -= part;
		if (p->expires_at < use_by)
			use_by = p->expires_at;
	}
	return use_by;
}

static bool is_finished(const struct piece *p)
{
	return p->left_mt <= 0 && !p->unreported;
}

static void drop_piece(struct source *s, size_t i)
{
	s->pieces[i] = s->pieces[--s->piece_count];
}

void stock_add(struct source *s, const struct rate_grant *grant, int64_t now)
{
	int64_t expires_at = s->asked_at + grant->lifetime_us;
	int64_t lead = grant->lifetime_us / RETURN_LEAD_DIVISOR;

	if (grant->amount_mt <= 0 || expires_at <= now)
		return;
	/* A new process of the holder knows nothing of older grants. */
	if (s->incarnation != grant->holder)
		s->piece_count = 0;
	s->incarnation = grant->holder;
	if (s->piece_count == RATE_REPORTS_MAX)
		return;
	if (lead > RETURN_LEAD_US)
		lead = RETURN_LEAD_US;
	s->pieces[s->piece_count++] = (struct piece){
		.id = grant->id,
		.left_mt = grant->amount_mt,
		.expires_at = expires_at,
		.return_at = expires_at - lead,
	};
}

void stock_drop_lapsed(struct account *a, int64_t now)
{
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		struct source *s = &a->sources[i];

		for (j = s->piece_count; j-- > 0;) {
			if (s->pieces[j].expires_at <= now)
				drop_piece(s, j);
		}
	}
}

void stock_give_back(struct source *s, int64_t now)
{
	size_t i;

	for (i = 0; i < s->piece_count; i++) {
		if (s->pieces[i].return_at > now)
			s->pieces[i].return_at = now;
	}
}

bool stock_return_due(const struct source *s, int64_t now)
{
	size_t i;

	for (i = 0; i < s->piece_count; i++) {
		const struct piece *p = &s->pieces[i];

		if (p->return_at <= now && p->left_mt >= RETURN_MIN_MT)
			return true;
	}
	return false;
}

void stock_report(struct source *s, struct rate_ask *ask, int64_t now)
{
	size_t i;

	for (i = s->piece_count; i-- > 0;) {
		struct piece *p = &s->pieces[i];

		if (p->return_at <= now && p->left_mt > 0) {
			p->returned_mt += p->left_mt;
			p->left_mt = 0;
			p->unreported = true;
		}
		if (p->unreported) {
			ask->reports[ask->report_count++] =
				(struct rate_report){
					.grant = p->id,
					.used_mt = p->used_mt,
					.returned_mt = p->returned_mt,
				};
			p->unreported = false;
		}
		if (is_finished(p))
			drop_piece(s, i);
	}
	if (ask->report_count)
		ask->holder = s->incarnation;
}
