/* Token bucket that limits the rate at which work is started. */
#include "bucket.h"

/* The burst is the rate times this duration. */
#define BURST_S 0.25
/* Lower bound of the burst at any rate. */
#define BURST_MIN_REQUESTS 1.0
/* Longest wait for a token that is told; a later one is asked for again. */
#define NEXT_TOKEN_MAX_US ((double)BASE_SECOND_US * 3600)

static double burst(const struct overload_bucket *bucket)
{
	double tokens = bucket->rate_per_s * BURST_S;

	return tokens > BURST_MIN_REQUESTS ? tokens : BURST_MIN_REQUESTS;
}

static double tokens_at(const struct overload_bucket *bucket, int64_t now)
{
	double refill = (double)(now - bucket->updated_at) *
			bucket->rate_per_s / BASE_SECOND_US;
	double tokens = bucket->tokens + refill;

	return tokens < burst(bucket) ? tokens : burst(bucket);
}

void overload_bucket_fill(struct overload_bucket *bucket, int64_t now)
{
	bucket->tokens = burst(bucket);
	bucket->updated_at = now;
}

void overload_bucket_set_rate(struct overload_bucket *bucket, double rate_per_s,
			      int64_t now)
{
	bucket->tokens = tokens_at(bucket, now);
	bucket->updated_at = now;
	bucket->rate_per_s = rate_per_s;
	bucket->tokens = tokens_at(bucket, now);
}

bool overload_bucket_has_token(const struct overload_bucket *bucket,
			       int64_t now)
{
	return tokens_at(bucket, now) >= 1;
}

void overload_bucket_take(struct overload_bucket *bucket, int64_t now)
{
	bucket->tokens = tokens_at(bucket, now) - 1;
	bucket->updated_at = now;
}

int64_t overload_bucket_next_token_at(const struct overload_bucket *bucket,
				      int64_t now)
{
	double missing = 1 - tokens_at(bucket, now);
	double us;

	if (missing <= 0)
		return now;
	us = missing * BASE_SECOND_US / bucket->rate_per_s;
	/* Rounded up, or the token would still be missing at that time. */
	return us < NEXT_TOKEN_MAX_US ? now + (int64_t)us + 1 : INT64_MAX;
}
