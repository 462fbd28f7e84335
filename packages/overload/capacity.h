/*
 * State of the learned capacity, private to its two files: capacity_measure.c
 * measures, capacity.c decides.
 */
#ifndef CAPACITY_H
#define CAPACITY_H

#include "overload.h"

/* Sums over the requests that ended in an interval. */
struct window {
	int64_t started_at;
	uint32_t served;
	uint32_t failed;
	uint32_t rejected;
	uint32_t at_limit;
	/* Requests whose latency is in the sum. */
	uint32_t timed;
	double latency_sum_us;
	double in_flight_sum;
	/* Integral of the onward calls in flight at the start of the window. */
	double onward_us;
};

/* In-flight work and ends since a time, see exposed_time_us(). */
struct exposure {
	int64_t started_at;
	/* Integrals at the start. */
	double in_flight_us;
	double onward_us;
	uint32_t ended;
};

enum trial_state {
	TRIAL_NONE,
	/* Work that started under the old limit is still in flight. */
	TRIAL_SETTLING,
	TRIAL_MEASURING,
};

/* A lower limit on trial, and what was measured before. */
struct trial {
	enum trial_state state;
	bool for_rejections;
	int64_t settled_at;
	double limit_before;
	double served_per_s;
	double rejected_share;
};

struct overload_capacity {
	struct overload_limiter base;
	struct overload_capacity_config config;
	double limit;
	/* Own time per request at low load and now; 0 when unknown. */
	double base_us;
	double present_us;
	/* Time from start to end, onward calls included. */
	double latency_us;
	/* The time at low load was measured at low load. */
	bool base_measured;
	/* Samples at low load. */
	double base_samples;
	double success_share;
	int64_t sampled_at;
	int64_t reset_at;

	uint32_t in_flight;
	int64_t in_flight_at;
	double in_flight_us;
	uint32_t onward;
	int64_t onward_at;
	double onward_us;
	/* The last complete period and the present one. */
	struct exposure exposures[2];

	struct window step;
	struct window judge;
	struct trial trial;
	int64_t keep_until;
	int64_t next_trial_at;
	int64_t hold_off_us;
	uint32_t knee;
	enum overload_capacity_decision last;
	uint32_t decisions;
	uint32_t lowered;
	uint32_t restored;
};

/* capacity_measure.c */

void capacity_start_window(struct overload_capacity *c, struct window *w,
			   int64_t now);
void capacity_add_sample(struct overload_capacity *c, struct window *w,
			 const struct overload_sample *sample);
/* Requests that ended in the window, in any way. */
uint32_t capacity_ended(const struct window *w);
/* Mean time that the server itself spends on a request; 0 when unknown. */
double capacity_own_time_us(const struct overload_capacity *c,
			    const struct window *w, int64_t now);
/* Learns from the short window. Returns its own time; 0 when unknown. */
double capacity_learn(struct overload_capacity *c, int64_t now);
/* Corrects the time at low load by a window under any load. */
void capacity_correct_base(struct overload_capacity *c, double own_us);
/* A limiter operation: the work in flight has changed. */
void capacity_in_flight(struct overload_limiter *limiter, uint32_t in_flight,
			int64_t now);
/* Starts all intervals anew, as after a pause of the process. */
void capacity_restart(struct overload_capacity *c, int64_t now);
/* Forgets all measurements. */
void capacity_forget(struct overload_capacity *c, int64_t now);

#endif
