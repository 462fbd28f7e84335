/* Virtual time: an event queue and seeded random numbers. */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include "base.h"

typedef void (*sim_fn)(void *ctx);

struct sim_event {
	int64_t at;
	uint64_t order;
	sim_fn fn;
	void *ctx;
};

struct sim {
	int64_t now;
	struct base_rand rnd;
	struct sim_event *heap;
	size_t count;
	size_t cap;
	uint64_t order;
};

void sim_init(struct sim *sim, uint64_t seed);
void sim_release(struct sim *sim);
/** Calls @p fn after @p delay_us; equal times keep their order. */
void sim_after(struct sim *sim, int64_t delay_us, sim_fn fn, void *ctx);
/** Runs all events up to @p until. */
void sim_run(struct sim *sim, int64_t until);
/** Exponentially distributed time with the given mean. */
int64_t sim_exponential(struct sim *sim, double mean_us);

#endif
