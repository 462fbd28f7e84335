/*
 * Benchmark of account rate limits over a simulated fleet. Measures requests
 * admitted beyond the bound, requests refused although the account is within
 * its rate, the worst-served account, and control traffic, for the shared
 * policy and both baselines.
 */
#include "base.h"
#include "rate_fleet.h"
#include "rate_load.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define BUCKET_FILL_US (3 * BASE_SECOND_US)
#define ACCOUNTS 8
/* Calls per second of the largest fleet that the design targets. */
#define FLEET_RATE_PER_S 140000
#define OVERLOAD_FACTOR 5.0
#define PERCENT 100.0
/* From this size on, running all scenarios takes minutes. */
#define LARGE_FLEET_DAEMONS 100
#define LARGE_FLEET_SECONDS 2

struct settings {
	int64_t seconds;
	int64_t ask_bytes;
	int64_t grant_bytes;
	uint64_t seed;
	/* Name of the only deployment to run, or NULL for all. */
	const char *only_deployment;
};

struct deployment {
	const char *name;
	uint32_t daemons;
	uint32_t domains;
	/* Requests per second, summed over the accounts. */
	int64_t rate;
	int64_t cross_domain_delay_us;
	int64_t cross_region_delay_us;
	uint32_t domains_per_region;
};

static const struct deployment deployments[] = {
	{ "lakeshore", 13, 3, 2710, 1500, 0, 0 },
	{ "zawadzki", 17, 3, 2710, 500, 0, 0 },
	{ "fleet930", 930, 9, FLEET_RATE_PER_S, 1500, 15000, 3 },
};

static const struct {
	const char *name;
	enum fleet_policy policy;
} policies[] = {
	{ "shared", FLEET_SHARED },
	{ "local_share", FLEET_LOCAL_SHARE },
	{ "unlimited", FLEET_UNLIMITED },
};

struct bench {
	const struct settings *settings;
	int64_t seconds;
	const struct deployment *deployment;
	const char *policy;
	char scenario[64];
	struct fleet_options opt;
	struct fleet_account accounts[FLEET_ACCOUNTS_MAX];
	struct fleet *fleet;
	struct load load;
};

static void print_figure(const struct bench *b, const char *measure,
			 double value, const char *unit)
{
	printf("scenario=%s deployment=%s policy=%s measure=%s value=%.4f "
	       "unit=%s\n",
	       b->scenario, b->deployment->name, b->policy, measure, value,
	       unit);
}

/* A few large accounts and several small ones; burst of half a second. */
static void choose_accounts(struct bench *b)
{
	static const int64_t parts[ACCOUNTS] = { 1500, 600, 200, 120,
						 100,  80,  60,	 50 };
	int64_t whole = 0;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++)
		whole += parts[i];
	for (i = 0; i < ACCOUNTS; i++) {
		b->accounts[i].rate = parts[i] * b->deployment->rate / whole;
		b->accounts[i].burst = b->accounts[i].rate / 2;
	}
}

static void start(struct bench *b, enum load_pattern pattern,
		  double load_fraction)
{
	const struct deployment *d = b->deployment;
	uint32_t i;

	b->opt.seed = b->settings->seed;
	b->opt.daemons = d->daemons;
	b->opt.domains = d->domains;
	b->opt.accounts = ACCOUNTS;
	b->opt.same_domain_delay_us = 100;
	b->opt.cross_domain_delay_us = d->cross_domain_delay_us;
	b->opt.cross_region_delay_us = d->cross_region_delay_us;
	b->opt.domains_per_region = d->domains_per_region;
	choose_accounts(b);
	b->fleet = fleet_create(&b->opt);
	load_init(&b->load, b->fleet, &b->opt, pattern);
	for (i = 0; i < b->opt.daemons; i++)
		fleet_start(b->fleet, i);
	fleet_publish(b->fleet, b->accounts, 1);
	fleet_run(b->fleet, BUCKET_FILL_US);
	for (i = 0; i < b->opt.accounts; i++)
		load_set_account(&b->load, i, &b->accounts[i], load_fraction);
}

static void run_for(struct bench *b, int64_t seconds)
{
	load_run(&b->load, fleet_now(b->fleet) + seconds * BASE_SECOND_US);
}

static void reset(struct bench *b)
{
	fleet_reset_counts(b->fleet);
	load_reset_counts(&b->load);
}

/* Refusals beyond those of one token bucket for the whole fleet. */
static int64_t refused_inside(const struct bench *b, uint32_t account)
{
	int64_t refused = fleet_counts(b->fleet, account).refused -
			  b->load.central_refused[account];

	return refused > 0 ? refused : 0;
}

static void print_refused(const struct bench *b)
{
	int64_t offered = 0;
	int64_t refused = 0;
	int64_t waited = 0;
	uint32_t i;

	for (i = 0; i < b->opt.accounts; i++) {
		offered += b->load.offered[i];
		refused += refused_inside(b, i);
		waited += fleet_counts(b->fleet, i).waited;
	}
	print_figure(b, "refused_inside_rate",
		     PERCENT * (double)refused / (double)offered, "percent");
	print_figure(b, "waited", PERCENT * (double)waited / (double)offered,
		     "percent");
}

/* Prints the lowest served fraction of the accounts from `first` on. */
static void print_worst(const struct bench *b, uint32_t first)
{
	double worst = 1;
	uint32_t i;

	for (i = first; i < b->opt.accounts; i++) {
		double offered = (double)b->load.offered[i];
		double served = 1 - (double)refused_inside(b, i) / offered;

		if (offered > 0 && served < worst)
			worst = served;
	}
	print_figure(b, "worst_account_served", PERCENT * worst, "percent");
}

static void print_over_bound(const struct bench *b)
{
	int64_t over_bound = 0;
	uint32_t i;

	for (i = 0; i < b->opt.accounts; i++)
		over_bound += fleet_counts(b->fleet, i).over_bound;
	print_figure(b, "admitted_beyond_bound", (double)over_bound,
		     "requests");
}

/* Control bytes that daemons send: asks as entries, grants as holders. */
static void print_control(const struct bench *b, int64_t seconds)
{
	double total_rate = 0;
	double max_rate = 0;
	uint32_t i;

	for (i = 0; i < b->opt.daemons; i++) {
		int64_t asks = fleet_asks_sent_by(b->fleet, i);
		int64_t grants = fleet_grants_sent_by(b->fleet, i);
		int64_t bytes = asks * b->settings->ask_bytes +
				grants * b->settings->grant_bytes;
		double rate = (double)bytes / (double)seconds;

		total_rate += rate;
		if (rate > max_rate)
			max_rate = rate;
	}
	print_figure(b, "control_sent_mean", total_rate / b->opt.daemons,
		     "bytes_per_s");
	print_figure(b, "control_sent_max", max_rate, "bytes_per_s");
}

static void run_steady(struct bench *b, enum load_pattern pattern,
		       double load_fraction)
{
	snprintf(b->scenario, sizeof(b->scenario), "%s_%.0f",
		 load_pattern_name(pattern), PERCENT * load_fraction);
	start(b, pattern, load_fraction);
	run_for(b, 1);
	reset(b);
	run_for(b, b->seconds);
	print_refused(b);
	print_worst(b, 0);
	print_over_bound(b);
	print_control(b, b->seconds);
	fleet_destroy(b->fleet);
}

/* Reduces the reference limits to the shares of the remaining domains. */
static void limit_to_remaining_domains(struct bench *b)
{
	uint32_t i;

	for (i = 0; i < b->opt.accounts; i++) {
		struct fleet_account rest = b->accounts[i];
		double load = b->load.rates[i];

		rest.rate = rest.rate * (b->opt.domains - 1) / b->opt.domains;
		rest.burst = rest.burst * (b->opt.domains - 1) / b->opt.domains;
		load_set_account(&b->load, i, &rest, load / (double)rest.rate);
	}
}

static void run_domain_out(struct bench *b, enum load_pattern pattern)
{
	snprintf(b->scenario, sizeof(b->scenario), "domain_out_%s_60",
		 load_pattern_name(pattern));
	start(b, pattern, 0.6);
	run_for(b, 1);
	fleet_stop_domain(b->fleet, 1);
	limit_to_remaining_domains(b);
	reset(b);
	run_for(b, b->seconds);
	print_refused(b);
	print_worst(b, 0);
	print_over_bound(b);
	fleet_destroy(b->fleet);
}

/* The largest account sends OVERLOAD_FACTOR times its rate, others 60%. */
static void run_overload(struct bench *b)
{
	snprintf(b->scenario, sizeof(b->scenario), "overload_of_one");
	start(b, LOAD_SPREAD, 0.6);
	load_set_account(&b->load, 0, &b->accounts[0], OVERLOAD_FACTOR);
	run_for(b, 1);
	reset(b);
	run_for(b, b->seconds);
	print_worst(b, 1);
	print_figure(b, "overloading_account_admitted",
		     PERCENT * (double)fleet_counts(b->fleet, 0).admitted /
			     (double)(b->accounts[0].rate * b->seconds),
		     "percent_of_rate");
	print_over_bound(b);
	print_control(b, b->seconds);
	fleet_destroy(b->fleet);
}

/* Daemons are killed, restarted and paused at three times the rate. */
static void run_churn(struct bench *b)
{
	int64_t steps = b->seconds * 20;
	struct base_rand rnd;

	snprintf(b->scenario, sizeof(b->scenario), "churn_300");
	base_rand_seed(&rnd, b->settings->seed);
	b->opt.loss_probability = 0.02;
	b->opt.slow = 0.05;
	b->opt.slow_delay_max_us = 200 * BASE_MS_US;
	start(b, LOAD_SPREAD, 3);
	while (steps--) {
		uint32_t i = base_rand_below(&rnd, b->opt.daemons);
		int64_t now = fleet_now(b->fleet);

		if (base_rand_below(&rnd, 2))
			fleet_kill(b->fleet, i);
		else
			fleet_freeze(b->fleet, i, now + 300 * BASE_MS_US);
		load_run(&b->load, now + 50 * BASE_MS_US);
		if (!fleet_is_alive(b->fleet, i))
			fleet_start(b->fleet, i);
	}
	print_over_bound(b);
	fleet_destroy(b->fleet);
	b->opt = (struct fleet_options){ .policy = b->opt.policy };
}

static void run_large_fleet_scenarios(struct bench *b)
{
	run_steady(b, LOAD_CONCENTRATED, 0.6);
	run_steady(b, LOAD_SPREAD, 0.6);
	run_steady(b, LOAD_SPREAD, 0.9);
	run_domain_out(b, LOAD_SPREAD);
	run_overload(b);
}

static void run_all_scenarios(struct bench *b)
{
	int pattern;

	for (pattern = 0; pattern < LOAD_PATTERNS; pattern++) {
		run_steady(b, pattern, 0.6);
		run_steady(b, pattern, 0.9);
		run_domain_out(b, pattern);
	}
	run_overload(b);
	run_churn(b);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *settings = state->input;
	int64_t value;

	if (!arg || key == ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	if (key == 'd') {
		settings->only_deployment = arg;
		return 0;
	}
	if (!base_str_to_i64(base_str_from(arg), &value) || value <= 0)
		argp_error(state, "'%s' is not a positive number", arg);
	switch (key) {
	case 's':
		settings->seconds = value;
		return 0;
	case 'a':
		settings->ask_bytes = value;
		return 0;
	case 'g':
		settings->grant_bytes = value;
		return 0;
	case 'r':
		settings->seed = (uint64_t)value;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "deployment", 'd', "NAME", 0, "Run only this deployment", 0 },
	{ "seconds", 's', "S", 0, "Virtual time of each scenario", 0 },
	{ "ask-bytes", 'a', "N", 0, "Size of an ask on the wire", 0 },
	{ "grant-bytes", 'g', "N", 0, "Size of a grant on the wire", 0 },
	{ "seed", 'r', "N", 0, "Seed of the random numbers", 0 },
	{ 0 },
};

static void run_policy(const struct settings *settings,
		       const struct deployment *deployment, size_t policy)
{
	struct bench b = {
		.settings = settings,
		.seconds = settings->seconds,
		.deployment = deployment,
		.policy = policies[policy].name,
		.opt = { .policy = policies[policy].policy },
	};

	if (deployment->daemons < LARGE_FLEET_DAEMONS) {
		run_all_scenarios(&b);
	} else {
		if (b.seconds > LARGE_FLEET_SECONDS)
			b.seconds = LARGE_FLEET_SECONDS;
		run_large_fleet_scenarios(&b);
	}
	fflush(stdout);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Measures account rates over a simulated fleet.",
	};
	struct settings settings = {
		.seconds = 10,
		/* With MessagePack, CURVE and ZeroMQ framing. */
		.ask_bytes = 100,
		.grant_bytes = 90,
		.seed = 1,
	};
	size_t i, j;

	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	for (i = 0; i < BASE_ARRAY_SIZE(deployments); i++) {
		const struct deployment *d = &deployments[i];

		if (settings.only_deployment &&
		    strcmp(settings.only_deployment, d->name) != 0)
			continue;
		for (j = 0; j < BASE_ARRAY_SIZE(policies); j++)
			run_policy(&settings, d, j);
	}
	return 0;
}
