/* Bounds the rate of new connections to a server in trouble. */
#include "connect_limit.h"
#include "base.h"

/* A server without a failure for this long is not in trouble any more. */
#define TROUBLE_US BASE_SECOND_US
/* Connections that may be opened at once when trouble starts. */
#define START_TOKENS 4.0
/*
 * A connection that works allows two more, so the number of connections doubles
 * with each response time when a server has recovered.
 */
#define TOKENS_PER_SUCCESS 2.0

static double max_tokens(const struct connect_limit *l)
{
	double burst = (double)l->per_s;

	return burst > START_TOKENS ? burst : START_TOKENS;
}

static bool is_troubled(const struct connect_limit *l, int64_t now)
{
	return l->per_s > 0 && now < l->troubled_until;
}

static void add_tokens(struct connect_limit *l, double n)
{
	l->tokens += n;
	if (l->tokens > max_tokens(l))
		l->tokens = max_tokens(l);
}

static void refill(struct connect_limit *l, int64_t now)
{
	int64_t us = now - l->refilled_at;

	if (us > 0)
		add_tokens(l, (double)us * (double)l->per_s / BASE_SECOND_US);
	l->refilled_at = now;
}

bool connect_limit_take(struct connect_limit *l, int64_t now)
{
	if (!is_troubled(l, now))
		return true;
	refill(l, now);
	if (l->tokens < 1)
		return false;
	l->tokens -= 1;
	return true;
}

void connect_limit_failed(struct connect_limit *l, int64_t now)
{
	if (!is_troubled(l, now)) {
		l->tokens = START_TOKENS;
		l->refilled_at = now;
	}
	l->troubled_until = now + TROUBLE_US;
}

void connect_limit_succeeded(struct connect_limit *l, int64_t now)
{
	if (!is_troubled(l, now))
		return;
	refill(l, now);
	add_tokens(l, TOKENS_PER_SUCCESS);
}
