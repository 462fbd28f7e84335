/*
 * Poisson load on a simulated fleet. Requests of an account arrive at one
 * daemon, at all, at one that changes, or in bursts.
 */
#ifndef RATE_LOAD_H
#define RATE_LOAD_H

#include "rate_bound.h"
#include "rate_fleet.h"

enum load_pattern {
	/* Each account at one daemon. */
	LOAD_CONCENTRATED,
	/* Each request at any daemon. */
	LOAD_SPREAD,
	/* Each account at one daemon, another one every LOAD_SHIFT_US. */
	LOAD_SHIFTING,
	/* At any daemon; all requests of a second come in its first half. */
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
	/* Mean requests a second of each account. */
	double rates[FLEET_ACCOUNTS_MAX];
	int64_t next[FLEET_ACCOUNTS_MAX];
	int64_t offered[FLEET_ACCOUNTS_MAX];
	/* What one token bucket for the whole fleet refuses. */
	int64_t central_refused[FLEET_ACCOUNTS_MAX];
	struct bound central[FLEET_ACCOUNTS_MAX];
};

const char *load_pattern_name(enum load_pattern pattern);
void load_init(struct load *load, struct fleet *fleet,
	       const struct fleet_options *options, enum load_pattern pattern);
/* Starts requests of an account, as a part of its rate, from now on. */
void load_set_account(struct load *load, uint32_t account,
		      const struct fleet_account *limit, double part);
void load_reset_counts(struct load *load);
/* Sends requests and runs the fleet until that time. */
void load_run(struct load *load, int64_t until);

#endif
