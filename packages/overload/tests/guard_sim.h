/* Simulation of a guard and its backend server in simulated time. */
#ifndef GUARD_SIM_H
#define GUARD_SIM_H

#include "overload.h"

#define GUARD_SIM_ACCOUNTS 8
#define GUARD_SIM_RUNNING_MAX 256

struct guard_sim_work {
	struct overload_work work;
	int64_t finish_at;
	bool used;
	bool rejected;
};

struct guard_sim {
	struct overload_guard *guard;
	struct base_rand rnd;
	int64_t now;
	int64_t service_us;
	/*
	 * Capacity of the server: with more work in flight, all work started
	 * takes proportionally longer; 0 for unlimited capacity.
	 */
	uint32_t capacity;
	/** Factor on the service time of work that starts; NULL for 1. */
	double (*factor)(const struct guard_sim *sim, uint32_t in_flight);
	/** Share of the work that the server rejects after 2 ms. */
	double reject_share;
	uint32_t rejected;
	uint64_t next_id;
	struct guard_sim_work running[GUARD_SIM_RUNNING_MAX];
	uint32_t max_in_flight;
	uint32_t started;
	uint32_t finished;
	uint32_t dropped[3];
	/* Weight of each account minus 1. */
	uint32_t extra_weight[GUARD_SIM_ACCOUNTS];
	uint32_t offered_by_account[GUARD_SIM_ACCOUNTS];
	uint32_t finished_by_account[GUARD_SIM_ACCOUNTS];
	uint64_t last_dropped;
	uint64_t last_started;
};

/**
 * Creates a guard for a server with @p slots that is cold for 1 s after a start
 * and can then use a tenth of the slots.
 */
void guard_sim_init(struct guard_sim *sim, uint32_t slots, int64_t service_us);
/** The same with a limiter, which the guard owns. */
void guard_sim_init_limiter(struct guard_sim *sim, uint32_t slots,
			    int64_t service_us,
			    struct overload_limiter *limiter);
/**
 * Processes 100 requests one after another until the server is warm, and resets
 * the counters of offered, started and finished work.
 */
void guard_sim_warm(struct guard_sim *sim);
void guard_sim_destroy(struct guard_sim *sim);
/** Offers work of the account with a deadline in 10 s. Returns its id. */
uint64_t guard_sim_offer(struct guard_sim *sim, uint32_t account, uint8_t level,
			 bool idempotent);
/** Offers work at level 0 with a deadline in @p due_in_us. Returns its id. */
uint64_t guard_sim_offer_due(struct guard_sim *sim, uint32_t account,
			     bool idempotent, int64_t due_in_us);
/** Performs all pending actions of the guard. */
void guard_sim_take_actions(struct guard_sim *sim);
/** Advances the time in steps of 1 ms, and finishes work when it is due. */
void guard_sim_run(struct guard_sim *sim, int64_t us);
/** Like guard_sim_run(), with random arrivals of account 0 at @p per_s. */
void guard_sim_load(struct guard_sim *sim, double per_s, int64_t us);
/** Finishes all work in flight with @p outcome. */
void guard_sim_finish_all(struct guard_sim *sim, enum overload_outcome outcome);

#endif
