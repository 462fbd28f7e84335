/* Poisson load generator for a simulated fleet. */
#include "rate_load.h"

#include <math.h>
#include <string.h>

#define BURST_BUSY_FRACTION 0.5

const char *load_pattern_name(enum load_pattern pattern)
{
	static const char *const names[LOAD_PATTERNS] = { "concentrated",
							  "spread", "shifting",
							  "bursty" };

	return names[pattern];
}

void load_init(struct load *load, struct fleet *fleet,
	       const struct fleet_options *options, enum load_pattern pattern)
{
	*load = (struct load){
		.fleet = fleet,
		.pattern = pattern,
		.daemons = options->daemons,
		.accounts = options->accounts,
	};
	base_rand_seed(&load->rnd, options->seed + 1);
}

void load_set_account(struct load *load, uint32_t account,
		      const struct fleet_account *limit, double fraction)
{
	struct bound *b = &load->central[account];

	load->rates[account] = fraction * (double)limit->rate;
	load->next[account] = fleet_now(load->fleet);
	*b = (struct bound){ .now = load->next[account] };
	bound_enter(b, bound_add_version(b, limit->rate, limit->burst),
		    load->next[account]);
	/* Starts with a full bucket, as after a time without requests. */
	b->micro_tokens = limit->burst * BASE_SECOND_US;
}

void load_reset_counts(struct load *load)
{
	memset(load->offered, 0, sizeof(load->offered));
	memset(load->central_refused, 0, sizeof(load->central_refused));
}

/* Compresses the arrivals of a second into its busy fraction. */
static int64_t to_busy_time(int64_t at)
{
	int64_t second = at / BASE_SECOND_US;
	int64_t part = at % BASE_SECOND_US;

	return second * BASE_SECOND_US +
	       (int64_t)((double)part * BURST_BUSY_FRACTION);
}

static int64_t arrival(const struct load *load, uint32_t account)
{
	if (load->pattern == LOAD_BURSTY)
		return to_busy_time(load->next[account]);
	return load->next[account];
}

static void schedule(struct load *load, uint32_t account)
{
	double gap = -log(1 - base_rand_unit(&load->rnd));

	if (load->rates[account] <= 0) {
		load->next[account] = INT64_MAX / 4;
		return;
	}
	gap *= (double)BASE_SECOND_US / load->rates[account];
	load->next[account] += (int64_t)gap + 1;
}

/* Chooses the daemon for a request; a stopped one is replaced by the next. */
static uint32_t target(struct load *load, uint32_t account)
{
	uint32_t i;

	switch (load->pattern) {
	case LOAD_CONCENTRATED:
		i = account;
		break;
	case LOAD_SHIFTING:
		i = account +
		    (uint32_t)(fleet_now(load->fleet) / LOAD_SHIFT_US);
		break;
	default:
		i = base_rand_below(&load->rnd, load->daemons);
		break;
	}
	while (!fleet_is_alive(load->fleet, i % load->daemons))
		i++;
	return i % load->daemons;
}

static uint32_t first_account(const struct load *load)
{
	uint32_t best = 0;
	uint32_t i;

	for (i = 1; i < load->accounts; i++) {
		if (arrival(load, i) < arrival(load, best))
			best = i;
	}
	return best;
}

void load_run(struct load *load, int64_t until)
{
	for (;;) {
		uint32_t account = first_account(load);
		int64_t at = arrival(load, account);

		if (at >= until)
			break;
		if (at > fleet_now(load->fleet))
			fleet_run(load->fleet, at);
		load->offered[account]++;
		if (!bound_admit(&load->central[account], at))
			load->central_refused[account]++;
		fleet_request(load->fleet, target(load, account), account);
		schedule(load, account);
	}
	fleet_run(load->fleet, until);
}
