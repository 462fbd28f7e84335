/* Tests of the learned capacity, against a fixed limit at the same load. */
#include "guard_sim.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <math.h>

#define SLOTS 50
#define SERVICE_US 20000
/* More than the 2,500 a second of all slots. */
#define OVERLOAD_PER_S 3500

/* Two servers alike, one behind a fixed and one behind the learned limit. */
struct pair {
	struct guard_sim fixed;
	struct guard_sim learned;
	struct overload_capacity *capacity;
};

/*
 * The server reports itself when it is cold, as on the users' platform. The
 * ramp would else take a sudden rise of the latency for a cold server.
 */
static void warm(struct guard_sim *sim)
{
	struct overload_guard_config config = { .slots = SLOTS,
						.connections = 6 * SLOTS,
						.cold_slots = 5,
						.cold_rate_per_s = 1000,
						.seed = 1 };

	overload_guard_reconfigure(sim->guard, &config, sim->now);
	overload_guard_server_ready(sim->guard, 0, sim->now);
	guard_sim_warm(sim);
}

static void setup(struct pair *p, int64_t service_us,
		  double (*factor)(const struct guard_sim *, uint32_t))
{
	struct overload_capacity_config config = { .slots = SLOTS,
						   .cold_slots = 5 };

	p->capacity = overload_capacity_create(&config, 1000);
	guard_sim_init_limiter(&p->fixed, SLOTS, service_us,
			       overload_limiter_fixed_create(SLOTS));
	guard_sim_init_limiter(&p->learned, SLOTS, service_us,
			       overload_capacity_limiter(p->capacity));
	warm(&p->fixed);
	warm(&p->learned);
	p->fixed.factor = factor;
	p->learned.factor = factor;
}

static void load(struct pair *p, double per_s, int64_t us)
{
	p->fixed.finished = 0;
	p->learned.finished = 0;
	guard_sim_load(&p->fixed, per_s, us);
	guard_sim_load(&p->learned, per_s, us);
}

static void destroy(struct pair *p)
{
	guard_sim_destroy(&p->fixed);
	guard_sim_destroy(&p->learned);
}

static struct overload_capacity_view view(const struct pair *p)
{
	return overload_capacity_view(p->capacity, p->learned.now);
}

static double knee(double fraction, uint32_t in_flight)
{
	return pow(fmax(1, in_flight / (fraction * SLOTS)), 1.5);
}

static double knee_60(const struct guard_sim *sim, uint32_t in_flight)
{
	return knee(0.6, in_flight);
}

static double knee_95(const struct guard_sim *sim, uint32_t in_flight)
{
	return knee(0.95, in_flight);
}

static double stall(const struct guard_sim *sim, uint32_t in_flight)
{
	return sim->now % (600 * BASE_MS_US) < 100 * BASE_MS_US ? 2.5 : 1;
}

static double slow(const struct guard_sim *sim, uint32_t in_flight)
{
	return 5;
}

/* Fails if a server that slows down long before it is full is filled. */
Test(capacity, finds_a_knee_at_0_6_of_the_slots)
{
	struct pair p;

	setup(&p, SERVICE_US, knee_60);
	load(&p, OVERLOAD_PER_S, 6 * BASE_SECOND_US);
	load(&p, OVERLOAD_PER_S, 10 * BASE_SECOND_US);
	cr_assert(ge(dbl, p.learned.finished, 1.1 * p.fixed.finished));
	cr_assert(le(i64, view(&p).service_us, (int64_t)(1.5 * SERVICE_US)));
	cr_assert(ge(u32, view(&p).limit, (uint32_t)(0.5 * SLOTS)));
	destroy(&p);
}

/*
 * Fails if the search for a knee costs throughput where there is none below
 * 0.95 of the slots, for servers of any speed.
 */
Test(capacity, uses_all_slots_of_servers_that_bear_them)
{
	static double (*const factors[])(const struct guard_sim *,
					 uint32_t) = { NULL, knee_95, stall };
	static const double speeds[] = { 0.5, 1, 1.6 };
	struct pair p;
	size_t i, j;

	for (i = 0; i < BASE_ARRAY_SIZE(factors); i++)
		for (j = 0; j < BASE_ARRAY_SIZE(speeds); j++) {
			setup(&p, (int64_t)(SERVICE_US / speeds[j]),
			      factors[i]);
			load(&p, OVERLOAD_PER_S * speeds[j],
			     20 * BASE_SECOND_US);
			cr_assert(ge(dbl, p.learned.finished,
				     0.95 * p.fixed.finished),
				  "factor %zu, speed %g", i, speeds[j]);
			destroy(&p);
		}
}

/* Fails if slots idle while a server is slow, or after it has recovered. */
Test(capacity, follows_a_slow_server_and_its_recovery)
{
	struct pair p;

	setup(&p, SERVICE_US, NULL);
	load(&p, OVERLOAD_PER_S, 5 * BASE_SECOND_US);
	p.fixed.factor = slow;
	p.learned.factor = slow;
	load(&p, OVERLOAD_PER_S, BASE_SECOND_US);
	cr_assert(gt(i64, view(&p).service_us, 3 * SERVICE_US));
	load(&p, OVERLOAD_PER_S, 5 * BASE_SECOND_US);
	cr_assert(ge(dbl, p.learned.finished, 0.9 * p.fixed.finished));
	p.fixed.factor = NULL;
	p.learned.factor = NULL;
	load(&p, OVERLOAD_PER_S, 1500 * BASE_MS_US);
	cr_assert(eq(u32, view(&p).limit, SLOTS));
	cr_assert(lt(i64, view(&p).service_us, 2 * SERVICE_US));
	destroy(&p);
}

/*
 * Fails if a server that rejects 55 of 100 requests quickly looks fast, or if
 * the limit falls although that avoids no rejection.
 */
Test(capacity, quick_rejections_show_in_the_success_share)
{
	struct pair p;

	setup(&p, SERVICE_US, NULL);
	load(&p, 1500, 3 * BASE_SECOND_US);
	p.fixed.reject_share = 0.55;
	p.learned.reject_share = 0.55;
	load(&p, OVERLOAD_PER_S, 8 * BASE_SECOND_US);
	cr_assert(ge(dbl, p.learned.finished, 0.9 * p.fixed.finished));
	cr_assert(ge(i64, view(&p).service_us, (int64_t)(0.9 * SERVICE_US)));
	cr_assert(gt(u32, view(&p).success_permille, 300));
	cr_assert(lt(u32, view(&p).success_permille, 600));
	p.fixed.reject_share = 0;
	p.learned.reject_share = 0;
	load(&p, OVERLOAD_PER_S, 2 * BASE_SECOND_US);
	cr_assert(eq(u32, view(&p).limit, SLOTS));
	cr_assert(gt(u32, view(&p).success_permille, 950));
	destroy(&p);
}

/*
 * Fails if the time of a slow service further down is taken for that of this
 * server: 15 of 20 ms are spent in onward calls.
 */
Test(capacity, subtracts_the_mean_number_of_onward_calls)
{
	struct pair p;
	int64_t until;

	setup(&p, SERVICE_US, NULL);
	until = p.learned.now + 5 * BASE_SECOND_US;
	while (p.learned.now < until) {
		guard_sim_load(&p.learned, 1000, BASE_MS_US);
		overload_capacity_set_onward(
			p.capacity,
			overload_guard_in_flight(p.learned.guard) * 3 / 4,
			p.learned.now);
	}
	cr_assert(lt(i64, view(&p).service_us, 8000));
	cr_assert(gt(i64, view(&p).service_us, 3000));
	destroy(&p);
}

/*
 * Fails if a server whose figures were bad gets no work again because nobody
 * asks it, or if the limit falls below that of a cold start.
 */
Test(capacity, forgets_failures_and_keeps_the_cold_limit)
{
	struct pair p;

	setup(&p, SERVICE_US, NULL);
	p.learned.reject_share = 1;
	load(&p, OVERLOAD_PER_S, 5 * BASE_SECOND_US);
	cr_assert(lt(u32, view(&p).success_permille, 50));
	cr_assert(ge(u32, view(&p).limit, 5));
	guard_sim_run(&p.learned, 8 * BASE_SECOND_US);
	cr_assert(gt(u32, view(&p).success_permille, 900));
	guard_sim_run(&p.learned, 4 * BASE_SECOND_US);
	cr_assert(eq(i64, view(&p).service_us, 0));
	destroy(&p);
}
