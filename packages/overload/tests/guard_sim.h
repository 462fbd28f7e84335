/* A guard in front of a model of a backend server, under virtual time. */
#ifndef GUARD_SIM_H
#define GUARD_SIM_H

#include "overload.h"

#define GUARD_SIM_ACCOUNTS 8
#define GUARD_SIM_RUNNING_MAX 256

struct guard_sim_work {
	struct overload_work work;
	int64_t finish_at;
	bool used;
};

struct guard_sim {
	struct overload_guard *guard;
	struct base_rand rnd;
	int64_t now;
	int64_t service_us;
	/* Work above this runs at the expense of the other work; 0 for none. */
	uint32_t real_slots;
	uint64_t next_id;
	struct guard_sim_work running[GUARD_SIM_RUNNING_MAX];
	uint32_t max_in_flight;
	uint32_t started;
	uint32_t finished;
	uint32_t dropped[3];
	/* The weight of an account is one more. */
	uint32_t extra_weight[GUARD_SIM_ACCOUNTS];
	uint32_t offered_by_account[GUARD_SIM_ACCOUNTS];
	uint32_t finished_by_account[GUARD_SIM_ACCOUNTS];
	uint64_t last_dropped;
	uint64_t last_started;
};

/** A server with @p slots that is cold for 1 s, with a tenth of the slots. */
void guard_sim_init(struct guard_sim *sim, uint32_t slots, int64_t service_us);
/** Answers 100 requests one after another, until the server is warm. */
void guard_sim_warm(struct guard_sim *sim);
void guard_sim_destroy(struct guard_sim *sim);
/** Offers work of the account with a deadline in 10 s; returns its id. */
uint64_t guard_sim_offer(struct guard_sim *sim, uint32_t account, uint8_t level,
			 bool idempotent);
uint64_t guard_sim_offer_due(struct guard_sim *sim, uint32_t account,
			     bool idempotent, int64_t due_in_us);
/** Takes all actions that are due. */
void guard_sim_take_actions(struct guard_sim *sim);
/** Lets time pass in steps of 1 ms; the server answers on the way. */
void guard_sim_run(struct guard_sim *sim, int64_t us);
/** The same with random arrivals at @p per_s of account 0. */
void guard_sim_load(struct guard_sim *sim, double per_s, int64_t us);
/** Ends all work in flight with @p outcome. */
void guard_sim_finish_all(struct guard_sim *sim, enum overload_outcome outcome);

#endif
