/* A guard in front of a model of a backend server, under virtual time. */
#ifndef RIG_H
#define RIG_H

#include "overload.h"

#define RIG_ACCOUNTS 8
#define RIG_RUNNING 256

struct rig_running {
	struct overload_work work;
	int64_t ends_at;
	bool used;
};

struct rig {
	struct overload_guard *guard;
	struct base_rand rnd;
	int64_t now;
	int64_t service_us;
	/* Work above this runs at the expense of the other work; 0 for none. */
	uint32_t shared_above;
	uint64_t next_id;
	struct rig_running running[RIG_RUNNING];
	uint32_t max_in_flight;
	uint32_t started;
	uint32_t finished;
	uint32_t dropped[3];
	/* The weight of an account is one more. */
	uint32_t weight_of[RIG_ACCOUNTS];
	uint32_t offered_of[RIG_ACCOUNTS];
	uint32_t finished_of[RIG_ACCOUNTS];
	uint64_t last_dropped;
	uint64_t last_started;
};

/** A server with @p slots that is cold for 1 s, with a tenth of the slots. */
void rig_init(struct rig *rig, uint32_t slots, int64_t service_us);
/** Answers 100 requests one after another, until the server is warm. */
void rig_warm(struct rig *rig);
void rig_release(struct rig *rig);
/** Offers work of the account with a deadline in 10 s; returns its id. */
uint64_t rig_offer(struct rig *rig, uint32_t account, uint8_t level,
		   bool idempotent);
uint64_t rig_offer_due(struct rig *rig, uint32_t account, bool idempotent,
		       int64_t due_in_us);
/** Takes all actions that are due. */
void rig_act(struct rig *rig);
/** Lets time pass in steps of 1 ms; the server answers on the way. */
void rig_run(struct rig *rig, int64_t us);
/** The same with random arrivals at @p per_s of account 0. */
void rig_load(struct rig *rig, double per_s, int64_t us);
/** Ends all work in flight with @p outcome. */
void rig_end_all(struct rig *rig, enum overload_outcome outcome);

#endif
