/* Configuration versions of the simulated fleet and choice of holders. */
#include "rate_fleet_state.h"

#include <assert.h>
#include <string.h>

static bool is_holder(const struct version *v, uint32_t account, uint32_t i)
{
	uint32_t j;

	for (j = 0; j < v->holder_counts[account]; j++) {
		if (v->holders[account][j] == daemon_id(i))
			return true;
	}
	return false;
}

static uint64_t weight(uint64_t salt, uint64_t a, uint64_t b)
{
	uint64_t words[3] = { salt, a, b };

	return base_hash64((struct base_str){ (char *)words, sizeof(words) },
			   0);
}

/* Chooses the daemons of a domain with the greatest rendezvous weights. */
static void choose_in_domain(const struct fleet *f, struct version *v,
			     uint32_t account, uint32_t domain, uint32_t wanted)
{
	uint64_t salt = v->accounts[account].salt;
	uint64_t limit = UINT64_MAX;

	while (wanted--) {
		uint64_t best = 0;
		uint32_t best_i = 0;
		uint32_t i;

		for (i = domain; i < f->opt.daemons; i += f->opt.domains) {
			uint64_t w = weight(salt, account, i);

			if (w < limit && w > best) {
				best = w;
				best_i = i;
			}
		}
		if (!best)
			return;
		limit = best;
		v->holders[account][v->holder_counts[account]++] =
			daemon_id(best_i);
	}
}

static void choose_holders(const struct fleet *f, struct version *v,
			   uint32_t account)
{
	const struct fleet_account *a = &v->accounts[account];
	uint32_t count = a->holders;
	uint32_t domain;

	if (!count)
		count = rate_holder_count(f->opt.domains, a->burst) /
			f->opt.domains;
	for (domain = 0; domain < f->opt.domains; domain++)
		choose_in_domain(f, v, account, domain, count);
}

static bool was_holder(const struct fleet *f, uint32_t account, uint32_t i,
		       uint32_t before)
{
	uint32_t v;

	for (v = 1; v < before; v++) {
		if (is_holder(&f->versions[v], account, i))
			return true;
	}
	return false;
}

static void set_share(struct fleet *f, uint32_t i, uint32_t account,
		      uint32_t previous)
{
	struct daemon *d = &f->daemons[i];
	const struct version *v = &f->versions[d->version];
	const struct fleet_account *a = &v->accounts[account];
	struct rate_share share = rate_share_compute(a->rate, a->burst,
						     v->holder_counts[account]);
	uint64_t unconfirmed[RATE_CONFIRMERS_MAX];
	struct rate_epoch epoch = {
		.version = v->epochs[account],
		.confirmers = unconfirmed,
		.no_version_skipped = previous + 1 == d->version,
	};
	uint32_t j;

	for (j = 0; f->opt.heartbeat_us && j < f->opt.daemons; j++) {
		if (j != i && d->peer_versions[j] < v->epochs[account] &&
		    was_holder(f, account, j, d->version))
			unconfirmed[epoch.confirmer_count++] = daemon_id(j);
	}
	rate_holder_set_share(d->holder, account_id(account), &share, &epoch,
			      daemon_clock(f, d));
}

/*
 * Sort key of a holder for a daemon: itself, its failure domain, its region,
 * others; within each tier in an order that differs between daemons.
 */
static uint64_t preference(const struct fleet *f, uint32_t i, uint64_t holder)
{
	uint32_t h = (uint32_t)holder - 1;
	uint64_t w = weight(7, i, holder) >> 2;

	if (h == i)
		return 0;
	if (f->daemons[h].domain == f->daemons[i].domain)
		return w;
	if (fleet_is_same_region(f, h, i))
		return w | UINT64_C(1) << 62;
	return w | UINT64_C(1) << 63;
}

static void order_holders(const struct fleet *f, uint32_t i, uint64_t *holders,
			  uint32_t count)
{
	uint32_t a, b;

	for (a = 1; a < count; a++) {
		uint64_t h = holders[a];

		for (b = a; b && preference(f, i, holders[b - 1]) >
					 preference(f, i, h);
		     b--)
			holders[b] = holders[b - 1];
		holders[b] = h;
	}
}

static void set_account(struct fleet *f, uint32_t i, uint32_t account,
			uint32_t previous)
{
	struct daemon *d = &f->daemons[i];
	const struct version *v = &f->versions[d->version];
	uint64_t holders[RATE_HOLDERS_MAX];
	struct rate_account spec = {
		.rate = v->accounts[account].rate,
		.burst = v->accounts[account].burst,
		.holders = holders,
		.holder_count = v->holder_counts[account],
	};

	memcpy(holders, v->holders[account], sizeof(holders));
	order_holders(f, i, holders, v->holder_counts[account]);
	rate_entry_set_account(d->entry, account_id(account), &spec,
			       daemon_clock(f, d));
	if (is_holder(v, account, i))
		set_share(f, i, account, previous);
	else
		rate_holder_remove_share(d->holder, account_id(account));
}

void fleet_apply_version(struct fleet *f, uint32_t i, uint32_t previous)
{
	uint32_t account;

	for (account = 0; account < f->opt.accounts; account++)
		set_account(f, i, account, previous);
	fleet_run_entry_actions(f, i);
}

void fleet_on_activate(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];
	uint32_t account, previous;

	if (event->version <= d->version)
		return;
	if (d->partition) {
		struct event again = *event;

		again.at = f->now + FETCH_RETRY_US;
		events_add(&f->events, &again);
		return;
	}
	for (account = 0; account < f->opt.accounts; account++) {
		if (d->version)
			bound_leave(&f->bounds[account], d->version - 1,
				    f->now);
		bound_enter(&f->bounds[account], event->version - 1, f->now);
	}
	previous = d->version;
	d->version = event->version;
	fleet_apply_version(f, event->to, previous);
}

void fleet_on_version(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	if (d->peer_versions[event->from] >= event->version)
		return;
	d->peer_versions[event->from] = event->version;
	rate_holder_confirm(d->holder, daemon_id(event->from), event->version,
			    daemon_clock(f, d));
}

void fleet_on_heartbeat(struct fleet *f, const struct event *event)
{
	struct event next = *event;
	uint32_t i;

	next.at = f->now + f->opt.heartbeat_us;
	events_add(&f->events, &next);
	for (i = 0; i < f->opt.daemons; i++) {
		struct event message = {
			.type = EVENT_VERSION,
			.from = event->to,
			.to = i,
			.version = f->daemons[event->to].version,
		};

		if (i != event->to)
			fleet_send_message(f, &message);
	}
}

static bool has_same_holders(const struct fleet_account *a,
			     const struct fleet_account *b, uint32_t domains)
{
	if (a->salt != b->salt || a->holders != b->holders)
		return false;
	return a->holders || rate_holder_count(domains, a->burst) ==
				     rate_holder_count(domains, b->burst);
}

void fleet_publish(struct fleet *f, const struct fleet_account *accounts,
		   int64_t spread_us)
{
	uint32_t number = ++f->version_count;
	struct version *v = &f->versions[number];
	uint32_t i;

	assert(number <= VERSIONS_MAX);
	for (i = 0; i < f->opt.accounts; i++) {
		struct version *old = &f->versions[number - 1];

		v->accounts[i] = accounts[i];
		bound_add_version(&f->bounds[i], accounts[i].rate,
				  accounts[i].burst);
		choose_holders(f, v, i);
		v->epochs[i] = number;
		if (number > 1 &&
		    has_same_holders(&accounts[i], &old->accounts[i],
				     f->opt.domains))
			v->epochs[i] = old->epochs[i];
	}
	for (i = 0; i < f->opt.daemons; i++) {
		events_add(
			&f->events,
			&(struct event){ .at = f->now +
					       fleet_random_below(f, spread_us),
					 .type = EVENT_ACTIVATE,
					 .to = i,
					 .version = number });
	}
}
