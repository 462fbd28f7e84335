/* Token bucket that limits the rate at which work is started. */
#ifndef OVERLOAD_BUCKET_H
#define OVERLOAD_BUCKET_H

#include "base.h"

struct overload_bucket {
	/* Starts a second. */
	double rate_per_s;
	double tokens;
	int64_t updated_at;
};

/** Fills the bucket up to its burst. */
void overload_bucket_fill(struct overload_bucket *bucket, int64_t now);
/** Changes the rate; the tokens are kept, up to the new burst. */
void overload_bucket_set_rate(struct overload_bucket *bucket, double rate_per_s,
			      int64_t now);
bool overload_bucket_has_token(const struct overload_bucket *bucket,
			       int64_t now);
/** Takes a token; there must be one. */
void overload_bucket_take(struct overload_bucket *bucket, int64_t now);
/**
 * Returns the time of the next token, @p now when there is one, and INT64_MAX
 * when the rate is 0 or so small that the time cannot be expressed.
 */
int64_t overload_bucket_next_token_at(const struct overload_bucket *bucket,
				      int64_t now);

#endif
