/*
 * Checks admissions against the bound of all configuration versions in force.
 *
 * In every window [s, e], admitted <= burst(s) + integral of rate over [s, e],
 * where rate and burst at a time are the greatest of the versions in force. A
 * version is in force while a daemon acts on it and one lifetime of a grant
 * longer. The check is a token bucket in exact integers: it is short of a token
 * if and only if some window that ends now exceeds the bound. It starts empty,
 * as holders do.
 */
#ifndef RATE_BOUND_H
#define RATE_BOUND_H

#include <stdbool.h>
#include <stdint.h>

#define BOUND_VERSIONS_MAX 64

struct bound_version {
	int64_t rate;
	int64_t burst;
	/* Daemons that act on it. */
	uint32_t users;
	/* In force until this time when there is no user. */
	int64_t in_force_until;
};

struct bound {
	struct bound_version versions[BOUND_VERSIONS_MAX];
	uint32_t count;
	int64_t rate;
	int64_t burst;
	/* Millionths of a token. */
	int64_t micro_tokens;
	int64_t now;
};

/* Returns the number of the version. */
uint32_t bound_add_version(struct bound *b, int64_t rate, int64_t burst);
void bound_enter(struct bound *b, uint32_t version, int64_t now);
void bound_leave(struct bound *b, uint32_t version, int64_t now);
/* Counts one admission; false when it exceeds the bound. */
bool bound_admit(struct bound *b, int64_t now);

#endif
