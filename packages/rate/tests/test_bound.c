/*
 * Adversarial tests with random faults of messages and processes: in no window
 * of t seconds are more than rate x t + burst requests admitted.
 */
#include "base.h"
#include "greedy_entry.h"
#include "rate_bound.h"
#include "rate_fleet.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define SEEDS 1000
#define RUN_US (4 * BASE_SECOND_US)
#define VERSIONS 12
#define DAEMONS_MAX 8

struct adversary {
	struct base_rand rnd;
	struct fleet *fleet;
	struct fleet_options opt;
	struct fleet_account account;
	int versions;
	int64_t down_until[DAEMONS_MAX];
	bool down[DAEMONS_MAX];
	/* Probability of each event in a step. */
	double kill, freeze, cut, publish, burst;
	/* Mean demand as a multiple of the rate. */
	double load;
};

static int64_t random_below(struct adversary *a, int64_t bound)
{
	return (int64_t)(base_rand_unit(&a->rnd) * (double)bound);
}

static bool chance(struct adversary *a, double p)
{
	return base_rand_unit(&a->rnd) < p;
}

/* Only some seeds have each kind of fault, so that faults also occur alone. */
static double random_or_zero(struct adversary *a, double max)
{
	return chance(a, 0.5) ? base_rand_unit(&a->rnd) * max : 0;
}

/*
 * The burst is what accrues in 20 to 800 ms, which gives grants of short and of
 * long lifetime.
 */
static void choose_rate(struct adversary *a)
{
	a->account.rate = 20 + random_below(a, 400);
	a->account.burst = a->account.rate * (20 + random_below(a, 780)) / 1000;
	if (a->account.burst < a->opt.domains)
		a->account.burst = a->opt.domains;
}

static void publish(struct adversary *a)
{
	if (a->versions++ >= VERSIONS)
		return;
	if (chance(a, 0.7))
		choose_rate(a);
	else
		a->account.salt++;
	fleet_publish(a->fleet, &a->account,
		      1 + random_below(a, 800 * BASE_MS_US));
}

static void set_up(struct adversary *a, uint64_t seed, bool greedy)
{
	uint32_t i;

	base_rand_seed(&a->rnd, seed);
	a->opt = (struct fleet_options){
		.seed = seed,
		.domains = chance(a, 0.5) ? 1 : 2 + base_rand_below(&a->rnd, 2),
		.accounts = 1,
		.same_domain_delay_us = 1 + random_below(a, 300),
		.cross_domain_delay_us = 1 + random_below(a, 3000),
		.loss_probability = random_or_zero(a, 0.2),
		.duplicate_probability = random_or_zero(a, 0.3),
		.slow = random_or_zero(a, 0.5),
		.slow_delay_max_us = random_below(a, 500 * BASE_MS_US),
		.pause_probability = random_or_zero(a, 0.02),
		.pause_max_us = random_below(a, 600 * BASE_MS_US),
		.tick_delay_max_us = (int64_t)random_or_zero(a, 30e3),
		.heartbeat_us = 100 * BASE_MS_US,
	};
	a->opt.daemons = a->opt.domains * (1 + base_rand_below(&a->rnd, 2));
	if (a->opt.daemons < 2)
		a->opt.daemons = 2;
	a->kill = random_or_zero(a, 0.02);
	a->freeze = random_or_zero(a, 0.02);
	a->cut = random_or_zero(a, 0.01);
	a->publish = random_or_zero(a, 0.02);
	a->burst = 0.02 + base_rand_unit(&a->rnd) * 0.1;
	a->load = random_or_zero(a, 3);
	a->opt.create_entry = greedy ? greedy_entry_create : NULL;
	a->fleet = fleet_create(&a->opt);
	for (i = 0; i < a->opt.daemons; i++)
		fleet_start(a->fleet, i);
	a->account.holders = chance(a, 0.5) ? 1 : 0;
	choose_rate(a);
	publish(a);
}

static void request(struct adversary *a, int64_t count)
{
	uint32_t target = base_rand_below(&a->rnd, a->opt.daemons);
	bool spread = chance(a, 0.5);

	while (count-- > 0) {
		if (spread)
			target = base_rand_below(&a->rnd, a->opt.daemons);
		fleet_request(a->fleet, target, 0);
	}
}

static void change_processes(struct adversary *a)
{
	int64_t now = fleet_now(a->fleet);
	uint32_t i = base_rand_below(&a->rnd, a->opt.daemons);

	if (!a->down[i] && chance(a, a->kill)) {
		fleet_kill(a->fleet, i);
		a->down[i] = true;
		a->down_until[i] = now + random_below(a, 300 * BASE_MS_US);
	}
	for (i = 0; i < a->opt.daemons; i++) {
		if (!a->down[i] || a->down_until[i] > now)
			continue;
		a->down[i] = false;
		fleet_start(a->fleet, i);
	}
	if (chance(a, a->freeze))
		fleet_freeze(a->fleet, base_rand_below(&a->rnd, a->opt.daemons),
			     now + random_below(a, 600 * BASE_MS_US));
}

static void step(struct adversary *a, int64_t length)
{
	double expected = a->load * (double)(a->account.rate * length) /
			  (double)BASE_SECOND_US;
	uint32_t i;

	change_processes(a);
	for (i = 0; chance(a, a->cut) && i < a->opt.daemons; i++)
		fleet_set_partition(a->fleet, i, base_rand_below(&a->rnd, 2));
	for (i = 0; chance(a, 0.01) && i < a->opt.daemons; i++)
		fleet_set_partition(a->fleet, i, 0);
	if (chance(a, a->publish))
		publish(a);
	if (chance(a, a->burst))
		request(a, random_below(a, 2 * a->account.burst));
	request(a, (int64_t)(expected + base_rand_unit(&a->rnd)));
}

static void advance(struct adversary *a, int64_t length)
{
	fleet_run(a->fleet, fleet_now(a->fleet) + length);
}

/*
 * Sends twice the burst of requests to one daemon, so that it asks for all
 * tokens and spends those it has.
 */
static void send_double_burst(struct adversary *a, uint32_t daemon)
{
	int64_t n;

	for (n = 0; n < 2 * a->account.burst; n++)
		fleet_request(a->fleet, daemon, 0);
}

static void send_double_burst_to_all(struct adversary *a)
{
	uint32_t i;

	for (i = 0; i < a->opt.daemons; i++)
		send_double_burst(a, i);
}

static void restart_others(struct adversary *a, uint32_t kept)
{
	uint32_t i;

	for (i = 0; i < a->opt.daemons; i++) {
		if (i == kept || chance(a, 0.3))
			continue;
		fleet_kill(a->fleet, i);
		advance(a, random_below(a, 20 * BASE_MS_US));
		fleet_start(a->fleet, i);
	}
}

static void move_holders(struct adversary *a)
{
	if (a->versions++ >= VERSIONS)
		return;
	a->account.salt++;
	fleet_publish(a->fleet, &a->account,
		      random_below(a, 1500 * BASE_MS_US));
}

/*
 * Waits until all buckets are full, lets one entry receive tokens too late for
 * the requests that wait, restarts or moves holders, and then spends every
 * token.
 */
static void probe_late_grants(struct adversary *a)
{
	int64_t time_to_full =
		a->account.burst * BASE_SECOND_US / a->account.rate;
	int64_t slow = 10 * BASE_MS_US + random_below(a, 40 * BASE_MS_US);
	uint32_t target = base_rand_below(&a->rnd, a->opt.daemons);
	int rounds;

	advance(a, time_to_full + random_below(a, 300 * BASE_MS_US));
	if (!a->opt.create_entry) {
		send_double_burst(a, target);
		/* The first ask is answered and the next one is in flight. */
		advance(a, a->opt.same_domain_delay_us * 13 / 5);
		fleet_set_delays(a->fleet, slow, slow);
		advance(a, slow * 3 / 2);
	}
	fleet_set_delays(a->fleet, a->opt.same_domain_delay_us,
			 a->opt.cross_domain_delay_us);
	if (a->kill > 0)
		restart_others(a, target);
	if (a->publish > 0 && chance(a, 0.7))
		move_holders(a);
	advance(a, random_below(a, chance(a, 0.5) ? RATE_GRANT_LIFETIME_MAX_US
						  : 60 * BASE_MS_US));
	for (rounds = 1 + (int)random_below(a, 30); rounds; rounds--) {
		send_double_burst_to_all(a);
		advance(a, random_below(a, 20 * BASE_MS_US));
	}
}

static struct fleet_counts run(uint64_t seed, bool greedy)
{
	struct adversary a = { .versions = 0 };
	struct fleet_counts counts;

	set_up(&a, seed, greedy);
	while (fleet_now(a.fleet) < RUN_US && seed % 2)
		probe_late_grants(&a);
	while (fleet_now(a.fleet) < RUN_US) {
		int64_t length = 1 + random_below(&a, 12 * BASE_MS_US);

		step(&a, length);
		advance(&a, length);
	}
	counts = fleet_counts(a.fleet, 0);
	fleet_destroy(a.fleet);
	return counts;
}

static void check_seeds(bool greedy)
{
	int64_t admitted = 0;
	int violating = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct fleet_counts c = run(seed, greedy);

		admitted += c.admitted;
		violating += c.over_bound > 0;
		if (c.over_bound)
			cr_log_error(
				"seed %lu: %ld admissions beyond the bound",
				seed, c.over_bound);
	}
	cr_assert(eq(int, violating, 0));
	cr_assert(gt(i64, admitted, SEEDS * 100));
}

/* Guards against more admissions than rate x t + burst in any window. */
Test(bound, holds_in_every_window_under_faults, .timeout = 300)
{
	check_seeds(false);
}

/* Guards against a bound that holds only if entries do not keep all tokens. */
Test(bound, holds_with_entries_that_keep_all_tokens, .timeout = 300)
{
	check_seeds(true);
}

/* Guards against a check that does not detect one request beyond the bound. */
Test(bound, the_check_is_exact)
{
	struct bound b = { .count = 0 };
	uint32_t low = bound_add_version(&b, 10, 2);
	uint32_t high = bound_add_version(&b, 10, 5);

	bound_enter(&b, low, 0);
	cr_assert(not(bound_admit(&b, 99999)));
	cr_assert(bound_admit(&b, 100000));
	cr_assert(bound_admit(&b, 1000000));
	cr_assert(bound_admit(&b, 1000000));
	cr_assert(not(bound_admit(&b, 1000000)));
	bound_enter(&b, high, 2000000);
	bound_leave(&b, low, 2000000);
	cr_assert(bound_admit(&b, 2000000));
	cr_assert(bound_admit(&b, 2000000));
	cr_assert(not(bound_admit(&b, 2099999)));
	cr_assert(bound_admit(&b, 2100000));
}
