/* Accounts, their holders and the version since which these hold them. */
#include "rate_accounts.h"
#include "rate_holders.h"

#include <string.h>

/* Epoch of all accounts; see rate_accounts_set_single_epoch(). */
#define SINGLE_EPOCH 1

/* A failure domain that has a part of each rate. */
struct rate_part {
	char *domain;
	UT_hash_handle hh;
};

struct rate_accounts {
	rate_hash_fn hash;
	/* See rate_accounts_set_fixed_parts(). */
	bool fixed_parts;
	struct rate_part *parts;
	struct rate_account_state *by_id;
	/* Number of the last update. */
	uint64_t generation;
	/* This daemon acted on every version from this one on. */
	uint64_t consecutive_since;
	/* See rate_accounts_set_single_epoch(). */
	bool single_epoch;
};

/* Arguments and results shared by all accounts of one update. */
struct update {
	struct rate_accounts *accounts;
	const struct config_snapshot *snapshot;
	const struct rate_local_vm *self;
	uint64_t epoch;
	bool same_roster;
	bool no_version_skipped;
};

struct rate_accounts *rate_accounts_create(rate_hash_fn hash)
{
	struct rate_accounts *accounts = base_alloc(sizeof(*accounts));

	accounts->hash = hash;
	return accounts;
}

void rate_accounts_set_single_epoch(struct rate_accounts *accounts)
{
	accounts->single_epoch = true;
}

static void add_part(struct rate_accounts *accounts, struct base_str domain)
{
	struct rate_part *part;

	HASH_FIND(hh, accounts->parts, domain.ptr, domain.len, part);
	if (part)
		return;
	part = base_alloc(sizeof(*part));
	part->domain = base_str_dup(domain);
	HASH_ADD_KEYPTR(hh, accounts->parts, part->domain, domain.len, part);
}

void rate_accounts_set_fixed_parts(struct rate_accounts *accounts,
				   struct base_str names)
{
	struct base_str name;

	accounts->fixed_parts = true;
	while (base_str_next_item(&names, &name))
		add_part(accounts, name);
}

void rate_accounts_destroy(struct rate_accounts *accounts)
{
	struct rate_account_state *a, *next;
	struct rate_part *part, *next_part;

	if (!accounts)
		return;
	HASH_ITER (hh, accounts->parts, part, next_part) {
		HASH_DEL(accounts->parts, part);
		free(part->domain);
		free(part);
	}
	HASH_ITER (hh, accounts->by_id, a, next) {
		HASH_DEL(accounts->by_id, a);
		free(a->name);
		free(a);
	}
	free(accounts);
}

static bool has_name(const struct rate_account_state *a, struct base_str name)
{
	return a->name_len == name.len && !memcmp(a->name, name.ptr, name.len);
}

static void set_name(struct rate_account_state *a, struct base_str name)
{
	free(a->name);
	a->name = base_str_dup(name);
	a->name_len = name.len;
}

struct rate_account_state *rate_accounts_by_id(struct rate_accounts *accounts,
					       uint64_t id)
{
	struct rate_account_state *a;

	HASH_FIND(hh, accounts->by_id, &id, sizeof(id), a);
	return a;
}

static struct rate_account_state *find(struct rate_accounts *accounts,
				       struct base_str name)
{
	return rate_accounts_by_id(accounts, accounts->hash(name));
}

static void add(struct rate_accounts *accounts, struct base_str name)
{
	struct rate_account_state *a = base_alloc(sizeof(*a));

	a->id = accounts->hash(name);
	set_name(a, name);
	/* No version that this daemon acted on contains the account. */
	a->no_other_holders_since = accounts->consecutive_since;
	HASH_ADD(hh, accounts->by_id, id, sizeof(a->id), a);
}

/* Stores the holders. Returns whether they are the same as before. */
static bool set_holders(const struct update *u, struct rate_account_state *a,
			const struct rate_holders *chosen,
			const struct rate_holders *ordered)
{
	bool same = a->holder_count == chosen->count;
	size_t i;

	for (i = 0; i < chosen->count; i++) {
		uint64_t id = u->accounts->hash(chosen->vms[i]->name);

		same = same && a->holders[i] == id;
		a->holders[i] = id;
		a->ask_order[i] = u->accounts->hash(ordered->vms[i]->name);
	}
	a->holder_count = chosen->count;
	return same;
}

static uint32_t holders_per_domain(const struct update *u,
				   const struct config_account *account)
{
	uint32_t parts = HASH_COUNT(u->accounts->parts);

	if (!u->accounts->fixed_parts)
		return rate_holders_per_domain(u->snapshot, account);
	return parts ? rate_holder_count(parts, account->burst) / parts : 0;
}

/* With fixed parts, the holders of a failure domain divide its part. */
static uint32_t share_divisor(const struct update *u,
			      const struct rate_holders *chosen)
{
	uint32_t in_domain = 0;
	size_t i;

	for (i = 0; i < chosen->count; i++)
		in_domain += chosen->vms[i]->domain == u->self->domain;
	if (!u->accounts->fixed_parts || !in_domain)
		return (uint32_t)chosen->count;
	return HASH_COUNT(u->accounts->parts) * in_domain;
}

/* Returns whether the holders are the same as before the update. */
static bool update_holders(const struct update *u, struct rate_account_state *a,
			   uint32_t per_domain)
{
	struct base_str name = { a->name, a->name_len };
	struct rate_holders chosen, ordered;

	if (u->same_roster && a->configured &&
	    a->holders_per_domain == per_domain)
		return true;
	a->holders_per_domain = per_domain;
	rate_holders_choose(u->snapshot, name, per_domain,
			    u->accounts->fixed_parts ? RATE_DOMAINS_LISTED
						     : RATE_DOMAINS_IN,
			    &chosen);
	a->share_divisor = share_divisor(u, &chosen);
	rate_holders_order(&chosen, name, u->self->vm, u->self->domain,
			   &ordered);
	return set_holders(u, a, &chosen, &ordered);
}

static uint64_t max_version(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void update_account(const struct update *u,
			   const struct config_account *account,
			   struct rate_account_state *a)
{
	bool reassigned = !has_name(a, account->name);
	bool was_configured = a->configured && !reassigned;
	bool same;

	if (reassigned) {
		set_name(a, account->name);
		a->configured = false;
		a->no_other_holders_since = u->epoch;
	}
	same = update_holders(u, a, holders_per_domain(u, account));
	a->changed = !was_configured || !u->same_roster || !same ||
		     a->rate != account->rate || a->burst != account->burst;
	a->rate = account->rate;
	a->burst = account->burst;
	a->configured = true;
	a->discard_share = reassigned;
	if (u->accounts->single_epoch) {
		a->epoch = SINGLE_EPOCH;
		return;
	}
	if (was_configured && same && u->no_version_skipped)
		return;
	a->discard_share = reassigned || a->epoch >= u->epoch;
	a->epoch = max_version(a->epoch, u->epoch);
	if (was_configured || !u->no_version_skipped)
		a->no_other_holders_since = u->epoch;
	else
		a->no_other_holders_since =
			max_version(a->no_other_holders_since,
				    u->accounts->consecutive_since);
}

/* Marks accounts as removed that the snapshot lacks or lists as cancelled. */
static void clear_removed(const struct update *u)
{
	struct rate_account_state *a, *next;

	HASH_ITER (hh, u->accounts->by_id, a, next) {
		if (a->generation == u->accounts->generation)
			continue;
		a->changed = a->configured;
		if (a->configured)
			a->no_other_holders_since = u->epoch;
		a->configured = false;
	}
}

static void start_update(struct update *u, const struct config_snapshot *before)
{
	uint64_t version = (uint64_t)u->snapshot->version;

	size_t i;

	u->accounts->generation++;
	for (i = 0; u->accounts->fixed_parts && i < u->snapshot->domain_count;
	     i++)
		add_part(u->accounts, u->snapshot->domains[i].name);
	u->epoch = version;
	u->no_version_skipped =
		before && u->snapshot->version - before->version <= 1;
	u->same_roster =
		before && rate_holders_same_roster(before, u->snapshot);
	/*
	 * Two different sets were published as this version. A peer that
	 * reports it may act on either one, so only a report of a later version
	 * confirms the new holders.
	 */
	if (before && before->version == u->snapshot->version)
		u->epoch = version + 1;
	if (u->accounts->single_epoch)
		u->no_version_skipped = before != NULL;
	else if (!u->no_version_skipped || u->epoch > version)
		u->accounts->consecutive_since = u->epoch;
}

bool rate_accounts_update(struct rate_accounts *accounts,
			  const struct config_snapshot *snapshot,
			  const struct config_snapshot *before,
			  const struct rate_local_vm *self,
			  rate_collision_fn on_collision, void *ctx)
{
	struct update u = { accounts, snapshot, self, 0, false, false };
	struct rate_account_state *a;
	size_t i;

	start_update(&u, before);
	for (i = 0; i < snapshot->account_count; i++) {
		const struct config_account *account = &snapshot->accounts[i];

		if (account->cancelled)
			continue;
		if (!find(accounts, account->name))
			add(accounts, account->name);
		a = find(accounts, account->name);
		if (a->generation == accounts->generation) {
			on_collision(ctx, account->name, a->name);
			continue;
		}
		a->generation = accounts->generation;
		update_account(&u, account, a);
	}
	clear_removed(&u);
	return u.no_version_skipped;
}

struct rate_account_state *rate_accounts_find(struct rate_accounts *accounts,
					      struct base_str name)
{
	struct rate_account_state *a = find(accounts, name);

	return a && a->configured && has_name(a, name) ? a : NULL;
}

struct rate_account_state *
rate_accounts_next(struct rate_accounts *accounts,
		   const struct rate_account_state *state)
{
	return state ? state->hh.next : accounts->by_id;
}

bool rate_account_is_holder(const struct rate_account_state *state, uint64_t vm)
{
	size_t i;

	for (i = 0; i < state->holder_count; i++)
		if (state->holders[i] == vm)
			return true;
	return false;
}
