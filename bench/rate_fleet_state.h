/* Internal state of the simulated fleet. */
#ifndef RATE_FLEET_STATE_H
#define RATE_FLEET_STATE_H

#include "rate_bound.h"
#include "rate_events.h"
#include "rate_fleet.h"

#define VERSIONS_MAX BOUND_VERSIONS_MAX
/* Interval at which a partitioned or stopped daemon retries a fetch. */
#define FETCH_RETRY_US (200 * BASE_MS_US)

struct daemon {
	uint32_t domain;
	uint32_t partition;
	bool alive;
	/* Number of the current process; 0 before the first start. */
	uint64_t process;
	int64_t clock_offset;
	int64_t frozen_until;
	/* Active version, from 1; 0 for none. Kept over restarts. */
	uint32_t version;
	/* Newest version that this process received from each peer. */
	uint32_t *peer_versions;
	struct rate_holder *holder;
	struct rate_entry *entry;
	int64_t tick_at;
	int64_t asks_sent;
	int64_t grants_sent;
};

struct version {
	struct fleet_account accounts[FLEET_ACCOUNTS_MAX];
	/* Version that last changed the holders of the account. */
	uint32_t epochs[FLEET_ACCOUNTS_MAX];
	uint64_t holders[FLEET_ACCOUNTS_MAX][RATE_HOLDERS_MAX];
	uint32_t holder_counts[FLEET_ACCOUNTS_MAX];
};

struct fleet {
	struct fleet_options opt;
	struct base_rand rnd;
	int64_t now;
	struct events events;
	struct daemon *daemons;
	struct version versions[VERSIONS_MAX + 1];
	uint32_t version_count;
	struct bound bounds[FLEET_ACCOUNTS_MAX];
	struct fleet_counts counts[FLEET_ACCOUNTS_MAX];
	uint64_t last_process;
	uint64_t last_request;
};

static inline uint64_t account_id(uint32_t account)
{
	return account + 1;
}

static inline uint64_t daemon_id(uint32_t daemon)
{
	return daemon + 1;
}

static inline int64_t daemon_clock(const struct fleet *f,
				   const struct daemon *d)
{
	return f->now + d->clock_offset;
}

/* rate_fleet.c */
/* Random number from 0 to below bound; 0 when bound is not positive. */
int64_t fleet_random_below(struct fleet *f, int64_t bound);
bool fleet_is_same_region(const struct fleet *f, uint32_t a, uint32_t b);
void fleet_send_message(struct fleet *f, struct event *event);
/* Executes the pending actions of the entry of daemon i. */
void fleet_run_entry_actions(struct fleet *f, uint32_t i);

/* rate_fleet_config.c */
/* Configures the holder and entry of daemon i by its active version. */
void fleet_apply_version(struct fleet *f, uint32_t i, uint32_t previous);
void fleet_on_activate(struct fleet *f, const struct event *event);
void fleet_on_version(struct fleet *f, const struct event *event);
void fleet_on_heartbeat(struct fleet *f, const struct event *event);

#endif
