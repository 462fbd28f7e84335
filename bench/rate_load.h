/*
 * Poisson load generator for a simulated fleet. The pattern determines at which
 * daemons and when the requests of an account arrive.
 */
#ifndef RATE_LOAD_H
#define RATE_LOAD_H

#include "rate_bound.h"
#include "rate_fleet.h"

enum load_pattern {
	/* All requests of an account at one daemon. */
	LOAD_CONCENTRATED,
	/* Each request at a random daemon. */
	LOAD_SPREAD,
	/* An account at one daemon, at the next one every LOAD_SHIFT_US. */
	LOAD_SHIFTING,
	/* At a random daemon, all in the first half of each second. */
	LOAD_BURSTY,
};

#define LOAD_PATTERNS 4
#define LOAD_SHIFT_US (500 * BASE_MS_US)

struct load {
	struct fleet *fleet;
	struct base_rand rnd;
	enum load_pattern pattern;
	uint32_t daemons;
	uint32_t accounts;
	/* Mean requests per second by account. */
	double rates[FLEET_ACCOUNTS_MAX];
	int64_t next[FLEET_ACCOUNTS_MAX];
	int64_t offered[FLEET_ACCOUNTS_MAX];
	/* Refusals of one token bucket for the whole fleet. */
	int64_t central_refused[FLEET_ACCOUNTS_MAX];
	struct bound central[FLEET_ACCOUNTS_MAX];
};

const char *load_pattern_name(enum load_pattern pattern);
void load_init(struct load *load, struct fleet *fleet,
	       const struct fleet_options *options, enum load_pattern pattern);
/* Sends requests of an account from now on, at a fraction of its rate. */
void load_set_account(struct load *load, uint32_t account,
		      const struct fleet_account *limit, double fraction);
void load_reset_counts(struct load *load);
/* Sends requests and runs the fleet up to that time. */
void load_run(struct load *load, int64_t until);

#endif
