/*
 * Daemons of a fleet with the holder and entry sides of the rate package, under
 * virtual time: a network with delays, losses and cuts, unsynchronised clocks,
 * processes that pause, die and are replaced, and configuration versions that
 * arrive at different times. Every admission is checked against the bound
 * rate x t + burst over all windows.
 *
 * All times are microseconds of virtual time.
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
	/* Creates the entries in place of the policy, unless NULL. */
	struct rate_entry *(*create_entry)(uint64_t incarnation);
	uint32_t daemons;
	uint32_t domains;
	uint32_t accounts;
	/* One-way delays within and between failure domains. */
	int64_t same_domain_delay_us;
	int64_t cross_domain_delay_us;
	/* One-way delay between regions, and domains of a region; 0 for all. */
	int64_t region_us;
	uint32_t domains_per_region;
	/* Chances of messages: lost, sent twice, delayed by up to
	 * slow_delay_max_us. */
	double loss_probability;
	double duplicate_probability;
	double slow;
	int64_t slow_delay_max_us;
	/* Chance that a process pauses between decision and sending. */
	double pause_probability;
	int64_t pause_max_us;
	/* Ticks come late by up to this. */
	int64_t tick_delay_max_us;
	/* Interval of messages that tell peers the active version; 0 for none.
	 */
	int64_t heartbeat_us;
};

struct fleet_account {
	int64_t rate;
	int64_t burst;
	/* Changes which daemons are holders. */
	uint64_t salt;
	/* Holders in a domain; 0 for rate_holder_count(). */
	uint32_t holders;
};

struct fleet_counts {
	int64_t admitted;
	int64_t refused;
	int64_t waited;
	/* Admissions beyond the bound. */
	int64_t over_bound;
};

struct fleet;

struct fleet *fleet_create(const struct fleet_options *options);
void fleet_destroy(struct fleet *f);

/*
 * Publishes a version with the given accounts. Each daemon activates it within
 * spread_us; one that is cut off or frozen does so later.
 */
void fleet_publish(struct fleet *f, const struct fleet_account *accounts,
		   int64_t spread_us);
/* Handles all that happens until that time. */
void fleet_run(struct fleet *f, int64_t until);
int64_t fleet_now(const struct fleet *f);
/* A request arrives at a daemon; dead and frozen ones do not take it. */
void fleet_request(struct fleet *f, uint32_t daemon, uint32_t account);
void fleet_kill(struct fleet *f, uint32_t daemon);
/* Starts a new process of a dead daemon, with the newest version it had. */
void fleet_start(struct fleet *f, uint32_t daemon);
void fleet_stop_domain(struct fleet *f, uint32_t domain);
void fleet_start_domain(struct fleet *f, uint32_t domain);
bool fleet_is_alive(const struct fleet *f, uint32_t daemon);
void fleet_freeze(struct fleet *f, uint32_t daemon, int64_t until);
/* Changes the one-way delays within and between failure domains. */
void fleet_set_delays(struct fleet *f, int64_t same_domain_delay_us,
		      int64_t cross_domain_delay_us);
/* Messages only pass between daemons of the same side. */
void fleet_set_partition(struct fleet *f, uint32_t daemon, uint32_t side);

struct fleet_counts fleet_counts(const struct fleet *f, uint32_t account);
/* Starts counting anew; the check of the bound goes on. */
void fleet_reset_counts(struct fleet *f);
/* Messages sent and received by a daemon, since the counts were reset. */
int64_t fleet_asks_at(const struct fleet *f, uint32_t daemon);
int64_t fleet_grants_at(const struct fleet *f, uint32_t daemon);

#endif
