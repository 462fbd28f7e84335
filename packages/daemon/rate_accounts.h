/*
 * The accounts of the configuration with their holders, and since which version
 * these hold them. Pure.
 */
#ifndef RATE_ACCOUNTS_H
#define RATE_ACCOUNTS_H

#include "config.h"
#include "rate.h"

#include <uthash.h>

struct rate_account_state {
	uint64_t id;
	/** NUL-terminated. */
	char *name;
	size_t name_len;
	int64_t rate;
	int64_t burst;
	/** In the configuration and not cancelled. */
	bool configured;
	/** Set by the last update: rate, burst or holders are not as before. */
	bool changed;
	uint32_t holders_per_domain;
	/** Numbers of the holders, equal on all daemons. */
	uint64_t holders[RATE_HOLDERS_MAX];
	/** The same in the order in which this entry asks them. */
	uint64_t ask_order[RATE_HOLDERS_MAX];
	size_t holder_count;
	/** See rate_epoch.version. */
	uint64_t epoch;
	/**
	 * Set by the last update: nothing of the former share may be used. It
	 * could not raise the epoch, or the number went to another account.
	 */
	bool discard_share;
	/**
	 * From this version up to the one before the epoch the account had no
	 * holders other than the present ones: a domain that acts on it or a
	 * later version has no former holder.
	 */
	uint64_t no_other_holders_since;
	/** Used by rate_accounts_update(). */
	uint64_t generation;
	UT_hash_handle hh;
};

/** Place of the daemon. */
struct rate_local_vm {
	struct base_str vm;
	/** NULL when it is not in the snapshot. */
	const struct config_domain *domain;
};

typedef uint64_t (*rate_hash_fn)(struct base_str name);
/** Two accounts have one number; @p rejected gets no holders. */
typedef void (*rate_collision_fn)(void *ctx, struct base_str rejected,
				  const char *existing);

struct rate_accounts;

/** @param hash  number of an account or VM, equal on all daemons */
struct rate_accounts *rate_accounts_create(rate_hash_fn hash);
/**
 * The numbers of versions do not tell whether others were in force in between,
 * as on a platform whose list of servers changes with them. All versions count
 * as one epoch: a new holder waits for grants of its predecessor to lapse, not
 * for word of the version, so that for the time in which the list spreads both
 * may hand out their share of the rate.
 */
void rate_accounts_set_single_epoch(struct rate_accounts *accounts);
void rate_accounts_destroy(struct rate_accounts *accounts);
/**
 * Takes over a snapshot.
 * @param before  in force until now; NULL in a fresh process
 * @return whether every version since @p before was acted on, judged by
 *         consecutive numbers. Otherwise each account starts an epoch, as a
 *         skipped version may have named other holders.
 */
bool rate_accounts_update(struct rate_accounts *accounts,
			  const struct config_snapshot *snapshot,
			  const struct config_snapshot *before,
			  const struct rate_local_vm *self,
			  rate_collision_fn on_collision, void *ctx);
/** Returns the state of an account in force, or NULL. */
struct rate_account_state *rate_accounts_find(struct rate_accounts *accounts,
					      struct base_str name);
/** The same by number; accounts not in force are returned too. */
struct rate_account_state *rate_accounts_by_id(struct rate_accounts *accounts,
					       uint64_t id);
/** Iterates over all accounts, those not in force too; NULL starts and ends. */
struct rate_account_state *
rate_accounts_next(struct rate_accounts *accounts,
		   const struct rate_account_state *state);
bool rate_account_is_holder(const struct rate_account_state *state,
			    uint64_t vm);

#endif
