/*
 * Checks admissions against the bound of all configuration versions in force.
 *
 * For every window [s, e], admitted <= burst(s) + integral of rate over [s, e],
 * where rate and burst at a time are the maxima over the versions in force. A
 * version is in force while a daemon uses it and for one grant lifetime after.
 * The check is a token bucket in exact integers: it lacks a token if and only
 * if some window that ends now exceeds the bound. It starts empty, as holders
 * do.
 *
 * Rates are tokens per second, bursts are tokens, times are microseconds.
 */
#ifndef RATE_BOUND_H
#define RATE_BOUND_H

#include <stdbool.h>
#include <stdint.h>

#define BOUND_VERSIONS_MAX 64

struct bound_version {
	int64_t rate;
	int64_t burst;
	/* Number of daemons that use it. */
	uint32_t users;
	/* End of being in force when there are no users. */
	int64_t in_force_until;
};

struct bound {
	struct bound_version versions[BOUND_VERSIONS_MAX];
	uint32_t count;
	int64_t rate;
	int64_t burst;
	/* Level of the bucket, in millionths of a token. */
	int64_t micro_tokens;
	int64_t now;
};

/* Returns the index of the new version. */
uint32_t bound_add_version(struct bound *b, int64_t rate, int64_t burst);
/* A daemon starts to use the version. */
void bound_enter(struct bound *b, uint32_t version, int64_t now);
/* A daemon stops using the version. */
void bound_leave(struct bound *b, uint32_t version, int64_t now);
/* Records one admission. Returns false when it exceeds the bound. */
bool bound_admit(struct bound *b, int64_t now);

#endif
