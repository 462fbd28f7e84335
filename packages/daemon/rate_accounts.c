/* Accounts, their holders and the versions since which these hold them. */
#include "rate_accounts.h"
#include "rate_holders.h"

#include <string.h>

/* The one epoch of versions whose numbers say nothing. */
#define UNNUMBERED_EPOCH 1

struct rate_accounts {
	rate_hash_fn hash;
	struct rate_account_state *by_id;
	uint64_t round;
	/* Every version from this one on was acted on. */
	uint64_t known_since;
	/* See rate_accounts_set_unnumbered(). */
	bool unnumbered;
};

/* What the accounts of one update have in common. */
struct update {
	struct rate_accounts *accounts;
	const struct config_snapshot *snapshot;
	const struct rate_self *self;
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

void rate_accounts_set_unnumbered(struct rate_accounts *accounts)
{
	accounts->unnumbered = true;
}

void rate_accounts_destroy(struct rate_accounts *accounts)
{
	struct rate_account_state *a, *next;

	if (!accounts)
		return;
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
	/* Known not to exist in any version that was acted on. */
	a->clear_since = accounts->known_since;
	HASH_ADD(hh, accounts->by_id, id, sizeof(a->id), a);
}

static bool take_holders(const struct update *u, struct rate_account_state *a,
			 const struct rate_holders *chosen,
			 const struct rate_holders *ordered)
{
	bool same = a->holder_count == chosen->count;
	size_t i;

	for (i = 0; i < chosen->count; i++) {
		uint64_t id = u->accounts->hash(chosen->vms[i]->name);

		same = same && a->holders[i] == id;
		a->holders[i] = id;
		a->order[i] = u->accounts->hash(ordered->vms[i]->name);
	}
	a->holder_count = chosen->count;
	return same;
}

/* Returns whether the holders are the same as before. */
static bool update_holders(const struct update *u, struct rate_account_state *a,
			   uint32_t per_domain)
{
	struct base_str name = { a->name, a->name_len };
	struct rate_holders chosen, ordered;

	if (u->same_roster && a->in_force && a->per_domain == per_domain)
		return true;
	a->per_domain = per_domain;
	rate_holders_choose(u->snapshot, name, per_domain, &chosen);
	rate_holders_order(&chosen, name, u->self->vm, u->self->domain,
			   &ordered);
	return take_holders(u, a, &chosen, &ordered);
}

static uint64_t later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void update_account(const struct update *u,
			   const struct config_account *account,
			   struct rate_account_state *a)
{
	bool renamed = !has_name(a, account->name);
	bool was_in_force = a->in_force && !renamed;
	bool same;

	if (renamed) {
		set_name(a, account->name);
		a->in_force = false;
		a->clear_since = u->epoch;
	}
	same = update_holders(u, a,
			      rate_holders_per_domain(u->snapshot, account));
	a->changed = !was_in_force || !u->same_roster || !same ||
		     a->rate != account->rate || a->burst != account->burst;
	a->rate = account->rate;
	a->burst = account->burst;
	a->in_force = true;
	a->starts_anew = renamed;
	if (u->accounts->unnumbered) {
		a->epoch = UNNUMBERED_EPOCH;
		return;
	}
	if (was_in_force && same && u->no_version_skipped)
		return;
	a->starts_anew = renamed || a->epoch >= u->epoch;
	a->epoch = later(a->epoch, u->epoch);
	if (was_in_force || !u->no_version_skipped)
		a->clear_since = u->epoch;
	else
		a->clear_since =
			later(a->clear_since, u->accounts->known_since);
}

static void end_unseen(const struct update *u)
{
	struct rate_account_state *a, *next;

	HASH_ITER (hh, u->accounts->by_id, a, next) {
		if (a->round == u->accounts->round)
			continue;
		a->changed = a->in_force;
		if (a->in_force)
			a->clear_since = u->epoch;
		a->in_force = false;
	}
}

static void start_update(struct update *u, const struct config_snapshot *before)
{
	uint64_t version = (uint64_t)u->snapshot->version;

	u->accounts->round++;
	u->epoch = version;
	u->no_version_skipped =
		before && u->snapshot->version - before->version <= 1;
	u->same_roster =
		before && rate_holders_same_roster(before, u->snapshot);
	/*
	 * Peers that report this version may act on the other set of the same
	 * version, so that only a later one tells them apart.
	 */
	if (before && before->version == u->snapshot->version)
		u->epoch = version + 1;
	if (u->accounts->unnumbered)
		u->no_version_skipped = before != NULL;
	else if (!u->no_version_skipped || u->epoch > version)
		u->accounts->known_since = u->epoch;
}

bool rate_accounts_update(struct rate_accounts *accounts,
			  const struct config_snapshot *snapshot,
			  const struct config_snapshot *before,
			  const struct rate_self *self,
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
		if (a->round == accounts->round) {
			on_collision(ctx, account->name, a->name);
			continue;
		}
		a->round = accounts->round;
		update_account(&u, account, a);
	}
	end_unseen(&u);
	return u.no_version_skipped;
}

struct rate_account_state *rate_accounts_find(struct rate_accounts *accounts,
					      struct base_str name)
{
	struct rate_account_state *a = find(accounts, name);

	return a && a->in_force && has_name(a, name) ? a : NULL;
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
