/*
 * Tests that few requests within the rate are refused, whichever daemons they
 * arrive at.
 */
#include "base.h"
#include "rate_fleet.h"
#include "rate_load.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define ACCOUNTS 8
#define FILL_US (3 * BASE_SECOND_US)
#define RUN_US (20 * BASE_SECOND_US)

struct fleet_size {
	uint32_t daemons;
	uint32_t domains;
	int64_t cross_domain_delay_us;
};

/* The fleets of the sites Lakeshore and Zawadzki, and part of a large fleet. */
static const struct fleet_size fleet_sizes[] = {
	{ 13, 3, 1500 },
	{ 17, 3, 500 },
	{ 90, 9, 1500 },
};

struct demand_test {
	struct fleet_options opt;
	struct fleet_account accounts[ACCOUNTS];
	struct fleet *fleet;
	struct load load;
};

/*
 * Starts the load on a few large accounts and several small ones. The burst is
 * what accrues in half a second.
 */
static void start(struct demand_test *d, const struct fleet_size *fleet_size,
		  double part, enum load_pattern pattern)
{
	static const int64_t rates[ACCOUNTS] = { 1500, 600, 200, 120,
						 100,  80,  60,	 50 };
	uint32_t i;

	*d = (struct demand_test){ .fleet = NULL };
	d->opt = (struct fleet_options){
		.seed = 42,
		.daemons = fleet_size->daemons,
		.domains = fleet_size->domains,
		.accounts = ACCOUNTS,
		.same_domain_delay_us = 100,
		.cross_domain_delay_us = fleet_size->cross_domain_delay_us,
	};
	d->fleet = fleet_create(&d->opt);
	load_init(&d->load, d->fleet, &d->opt, pattern);
	for (i = 0; i < ACCOUNTS; i++) {
		d->accounts[i].rate = rates[i];
		d->accounts[i].burst = rates[i] / 2;
	}
	for (i = 0; i < d->opt.daemons; i++)
		fleet_start(d->fleet, i);
	fleet_publish(d->fleet, d->accounts, 1);
	fleet_run(d->fleet, FILL_US);
	for (i = 0; i < ACCOUNTS; i++)
		load_set_account(&d->load, i, &d->accounts[i], part);
}

static struct fleet_counts sum_counts(const struct demand_test *d)
{
	struct fleet_counts sum = { 0 };
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		struct fleet_counts c = fleet_counts(d->fleet, i);

		sum.admitted += c.admitted;
		sum.refused += c.refused;
		sum.waited += c.waited;
		sum.over_bound += c.over_bound;
		/* One token bucket for the whole fleet refuses these too. */
		sum.refused -= d->load.central_refused[i];
	}
	if (sum.refused < 0)
		sum.refused = 0;
	return sum;
}

static void reset_counts(struct demand_test *d)
{
	fleet_reset_counts(d->fleet);
	load_reset_counts(&d->load);
}

/*
 * From now on refusals are compared with those of a single bucket with
 * part / whole of the rate and burst, full at first. The load stays the same.
 */
static void set_reference_limit(struct demand_test *d, int64_t part,
				int64_t whole)
{
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		struct fleet_account limit = d->accounts[i];
		double load = d->load.rates[i];

		limit.rate = limit.rate * part / whole;
		limit.burst = limit.burst * part / whole;
		load_set_account(&d->load, i, &limit,
				 load / (double)limit.rate);
	}
}

static double percent(int64_t part, int64_t other)
{
	return 100 * (double)part / (double)(part + other);
}

static void check_steady(const struct fleet_size *fleet_size, double part,
			 enum load_pattern pattern)
{
	struct demand_test d;
	struct fleet_counts c;

	start(&d, fleet_size, part, pattern);
	load_run(&d.load, FILL_US + RUN_US);
	c = sum_counts(&d);
	cr_log_info("%u daemons, %.0f%% of the rate, %s: "
		    "refused %.3f%%, waited %.2f%%",
		    fleet_size->daemons, 100 * part, load_pattern_name(pattern),
		    percent(c.refused, c.admitted),
		    percent(c.waited, c.admitted + c.refused - c.waited));
	cr_expect(le(dbl, percent(c.refused, c.admitted), 0.1));
	cr_expect(eq(i64, c.over_bound, 0));
	fleet_destroy(d.fleet);
}

/* Guards against refusals within the rate in steady state. */
Test(demand, refuses_at_most_a_thousandth_in_steady_state, .timeout = 300)
{
	size_t i;
	int pattern;

	/* Not for bursty load at 90% of the rate, which exhausts the burst. */
	for (i = 0; i < BASE_ARRAY_SIZE(fleet_sizes); i++) {
		for (pattern = 0; pattern < LOAD_PATTERNS; pattern++) {
			check_steady(&fleet_sizes[i], 0.6, pattern);
			if (pattern != LOAD_BURSTY)
				check_steady(&fleet_sizes[i], 0.9, pattern);
		}
	}
}

/*
 * Guards against the loss of a failure domain that causes more refusals than
 * the loss of its shares explains, and against refusals after its return.
 */
Test(demand, refuses_at_most_a_hundredth_with_a_domain_out, .timeout = 300)
{
	int pattern;

	for (pattern = 0; pattern < LOAD_PATTERNS; pattern++) {
		struct demand_test d;
		struct fleet_counts c;

		start(&d, &fleet_sizes[0], pattern == LOAD_BURSTY ? 0.5 : 0.6,
		      pattern);
		load_run(&d.load, FILL_US + BASE_SECOND_US);
		fleet_stop_domain(d.fleet, 1);
		reset_counts(&d);
		load_run(&d.load, FILL_US + RUN_US);
		c = sum_counts(&d);
		cr_log_info("failure domain out, %s: refused %.3f%%",
			    load_pattern_name(pattern),
			    percent(c.refused, c.admitted));
		cr_expect(le(dbl, percent(c.refused, c.admitted), 1.0));
		fleet_start_domain(d.fleet, 1);
		set_reference_limit(&d, 1, 1);
		load_run(&d.load, FILL_US + RUN_US + BASE_SECOND_US);
		reset_counts(&d);
		load_run(&d.load, FILL_US + 2 * RUN_US);
		c = sum_counts(&d);
		cr_expect(le(dbl, percent(c.refused, c.admitted), 0.1));
		cr_expect(eq(i64, c.over_bound, 0));
		fleet_destroy(d.fleet);
	}
}
