/*
 * Simulation of a fleet of daemons that run the holder and entry sides of the
 * rate package. It covers message delay, loss and duplication, network
 * partitions, unsynchronised clocks, processes that are paused, killed and
 * replaced, and configuration versions that are activated at different times.
 * Every admission is checked against the bound rate x t + burst over all
 * windows.
 *
 * All times are microseconds of simulated time.
 */
#ifndef RATE_FLEET_H
#define RATE_FLEET_H

#include "base.h"
#include "rate.h"

#define FLEET_ACCOUNTS_MAX 64

enum fleet_policy {
	FLEET_SHARED,
	FLEET_LOCAL_SHARE,
	FLEET_UNLIMITED,
};

struct fleet_options {
	uint64_t seed;
	enum fleet_policy policy;
	/* Creates the entries instead of the policy, unless NULL. */
	struct rate_entry *(*create_entry)(uint64_t incarnation);
	uint32_t daemons;
	uint32_t domains;
	uint32_t accounts;
	/* One-way delays within and between failure domains. */
	int64_t same_domain_delay_us;
	int64_t cross_domain_delay_us;
	/*
	 * One-way delay between regions, and failure domains in each region;
	 * 0 domains for a single region.
	 */
	int64_t cross_region_delay_us;
	uint32_t domains_per_region;
	/*
	 * Probabilities per message: loss, duplication, and (`slow`) an
	 * additional delay of up to slow_delay_max_us.
	 */
	double loss_probability;
	double duplicate_probability;
	double slow;
	int64_t slow_delay_max_us;
	/* Probability of a pause between the decision and the sending. */
	double pause_probability;
	int64_t pause_max_us;
	/* Greatest delay of a timer tick. */
	int64_t tick_delay_max_us;
	/* Interval of the messages with the active version; 0 for none. */
	int64_t heartbeat_us;
};

/* Rate in tokens a second, burst in tokens. */
struct fleet_account {
	int64_t rate;
	int64_t burst;
	/* Input of the choice of holders; another value changes them. */
	uint64_t salt;
	/* Holders per failure domain; 0 for rate_holder_count(). */
	uint32_t holders;
};

struct fleet_counts {
	int64_t admitted;
	int64_t refused;
	int64_t waited;
	/* Admissions that exceeded the bound. */
	int64_t over_bound;
};

struct fleet;

struct fleet *fleet_create(const struct fleet_options *options);
void fleet_destroy(struct fleet *f);

/*
 * Publishes a version with the given accounts. Each daemon activates it within
 * spread_us; a partitioned, frozen or stopped one does so later.
 */
void fleet_publish(struct fleet *f, const struct fleet_account *accounts,
		   int64_t spread_us);
/* Runs all events up to and including that time. */
void fleet_run(struct fleet *f, int64_t until);
int64_t fleet_now(const struct fleet *f);
/* Delivers a request to a daemon; stopped and frozen ones ignore it. */
void fleet_request(struct fleet *f, uint32_t daemon, uint32_t account);
void fleet_kill(struct fleet *f, uint32_t daemon);
/* Starts a stopped daemon as a new process with its last version. */
void fleet_start(struct fleet *f, uint32_t daemon);
void fleet_stop_domain(struct fleet *f, uint32_t domain);
void fleet_start_domain(struct fleet *f, uint32_t domain);
bool fleet_is_alive(const struct fleet *f, uint32_t daemon);
void fleet_freeze(struct fleet *f, uint32_t daemon, int64_t until);
/* Changes the one-way delays within and between failure domains. */
void fleet_set_delays(struct fleet *f, int64_t same_domain_delay_us,
		      int64_t cross_domain_delay_us);
/* Messages only pass between daemons of the same partition. */
void fleet_set_partition(struct fleet *f, uint32_t daemon, uint32_t partition);

struct fleet_counts fleet_counts(const struct fleet *f, uint32_t account);
/* Resets the counters; the check of the bound continues. */
void fleet_reset_counts(struct fleet *f);
/* Messages that a daemon has sent since the last reset of the counters. */
int64_t fleet_asks_sent_by(const struct fleet *f, uint32_t daemon);
int64_t fleet_grants_sent_by(const struct fleet *f, uint32_t daemon);

#endif
