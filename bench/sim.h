/*
 * Discrete-event simulation: simulated time in microseconds, event queue,
 * seeded randomness.
 */
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
/** Schedules @p fn; events of the same time run in order of scheduling. */
void sim_after(struct sim *sim, int64_t delay_us, sim_fn fn, void *ctx);
/** Runs all events up to and including the time @p until. */
void sim_run(struct sim *sim, int64_t until);
/** Draws an exponentially distributed time. */
int64_t sim_exponential(struct sim *sim, double mean_us);

#endif
