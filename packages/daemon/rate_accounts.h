/*
 * The client accounts of the configuration, the VMs that hold their shares, and
 * the configuration version since which these VMs hold them. Does no input or
 * output.
 *
 * Accounts and VMs are identified by 64-bit numbers, the hashes of their names,
 * which are the same on all daemons.
 */
#ifndef RATE_ACCOUNTS_H
#define RATE_ACCOUNTS_H

#include "config.h"
#include "rate.h"

#include <uthash.h>

/** State of one account. Memory belongs to struct rate_accounts. */
struct rate_account_state {
	uint64_t id;
	/** NUL-terminated. */
	char *name;
	size_t name_len;
	/** Tokens a second, of all holders together. */
	int64_t rate;
	/** Tokens, of all holders together. */
	int64_t burst;
	/** In the configuration and not cancelled. */
	bool configured;
	/**
	 * Set by the last update when the account was added or removed, or when
	 * its rate, its burst or the roster changed.
	 */
	bool changed;
	uint32_t holders_per_domain;
	/** Holders, in the same order on all daemons. */
	uint64_t holders[RATE_HOLDERS_MAX];
	/** The same holders in the order in which the own entry asks them. */
	uint64_t ask_order[RATE_HOLDERS_MAX];
	size_t holder_count;
	/**
	 * The own daemon's share, if it is a holder, is the rate divided by
	 * this number.
	 */
	uint32_t share_divisor;
	/**
	 * Configuration version that last changed the holders; see
	 * rate_epoch.version.
	 */
	uint64_t epoch;
	/**
	 * Set by the last update when the former share must be removed before
	 * a new one is set, because the epoch could not be raised or because
	 * another account now has the number.
	 */
	bool discard_share;
	/**
	 * From this version up to the one before the epoch, the account had no
	 * holders other than the present ones. A failure domain that acts on
	 * this version or a later one therefore has no former holder.
	 */
	uint64_t no_other_holders_since;
	/** Number of the last update that configured the account. */
	uint64_t generation;
	UT_hash_handle hh;
};

/** The VM of this daemon and its failure domain. */
struct rate_local_vm {
	struct base_str vm;
	/** NULL when the VM is not in the snapshot. */
	const struct config_domain *domain;
};

/** Returns the number of an account or VM, the same on all daemons. */
typedef uint64_t (*rate_hash_fn)(struct base_str name);
/**
 * Reports that two configured accounts have the same number. @p rejected gets
 * no holders, so that its requests are refused; @p existing keeps the number.
 */
typedef void (*rate_collision_fn)(void *ctx, struct base_str rejected,
				  const char *existing);

struct rate_accounts;

/** Free the result with rate_accounts_destroy(). */
struct rate_accounts *rate_accounts_create(rate_hash_fn hash);
/**
 * Counts all configuration versions as one epoch. Needed where version numbers
 * do not show whether other versions were active in between, as on a platform
 * whose list of servers changes the version. A new holder then waits until
 * grants of its predecessor have expired, but not for confirmations of the
 * version. Until the list has reached all daemons, both may grant their share
 * of the rate.
 */
void rate_accounts_set_single_epoch(struct rate_accounts *accounts);
/**
 * Gives each failure domain an equal part of each rate, in place of each
 * holder. Counted are @p names and all domains that any snapshot has listed,
 * evacuated ones included. Daemons that are cut off act on an older list than
 * the others; when the parts depended on the list, those of both sides together
 * could exceed the rate. What belongs to a domain that is lost is not granted.
 * @param names  separated by commas; may be empty
 */
void rate_accounts_set_fixed_parts(struct rate_accounts *accounts,
				   struct base_str names);
void rate_accounts_destroy(struct rate_accounts *accounts);
/**
 * Applies a new snapshot.
 * @param before  snapshot that was active until now; NULL after a start of the
 *                process
 * @return whether this daemon acted on every version since @p before, judged by
 *         consecutive version numbers, or with a single epoch whether @p before
 *         is set. Without a single epoch, a false result starts a new epoch for
 *         each account, since a skipped version may have named other holders.
 */
bool rate_accounts_update(struct rate_accounts *accounts,
			  const struct config_snapshot *snapshot,
			  const struct config_snapshot *before,
			  const struct rate_local_vm *self,
			  rate_collision_fn on_collision, void *ctx);
/** Returns the state of a configured account, or NULL. */
struct rate_account_state *rate_accounts_find(struct rate_accounts *accounts,
					      struct base_str name);
/**
 * Returns the state of the account with this number, or NULL. The account may
 * have been removed from the configuration.
 */
struct rate_account_state *rate_accounts_by_id(struct rate_accounts *accounts,
					       uint64_t id);
/**
 * Iterates over all accounts, including those removed from the configuration.
 * @param state  the previous account, or NULL for the first one
 * @return NULL after the last account
 */
struct rate_account_state *
rate_accounts_next(struct rate_accounts *accounts,
		   const struct rate_account_state *state);
/** Returns whether the VM with number @p vm is a holder of the account. */
bool rate_account_is_holder(const struct rate_account_state *state,
			    uint64_t vm);

#endif
