/* Daemons with the rate package under virtual time. */
#include "rate_fleet.h"

#include "rate_bound.h"
#include "rate_events.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define VERSIONS_MAX BOUND_VERSIONS_MAX
/* Clocks of processes differ by up to this. */
#define CLOCK_SPREAD_US (1000 * BASE_SECOND_US)
/* A cut-off or frozen daemon tries again to fetch a version after this. */
#define FETCH_RETRY_US (200 * BASE_MS_US)

struct daemon {
	uint32_t domain;
	uint32_t side;
	bool alive;
	/* Number of the process; 0 before the first. */
	uint64_t process;
	int64_t clock_offset;
	int64_t frozen_until;
	/* Active version, counted from 1; kept over restarts. */
	uint32_t version;
	/* Newest version heard of each peer, by this process. */
	uint32_t *heard;
	struct rate_holder *holder;
	struct rate_entry *entry;
	int64_t tick_at;
	int64_t asks;
	int64_t grants;
};

struct version {
	struct fleet_account accounts[FLEET_ACCOUNTS_MAX];
	/* Version that last changed the holders. */
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

static uint64_t account_id(uint32_t account)
{
	return account + 1;
}

static uint64_t daemon_id(uint32_t daemon)
{
	return daemon + 1;
}

static int64_t clock_of(const struct fleet *f, const struct daemon *d)
{
	return f->now + d->clock_offset;
}

static bool chance(struct fleet *f, double p)
{
	return p > 0 && base_rand_unit(&f->rnd) < p;
}

static int64_t below(struct fleet *f, int64_t bound)
{
	return bound > 0 ? (int64_t)(base_rand_unit(&f->rnd) * (double)bound)
			 : 0;
}

int64_t fleet_now(const struct fleet *f)
{
	return f->now;
}

struct fleet *fleet_create(const struct fleet_options *options)
{
	struct fleet *f = base_alloc(sizeof(*f));
	uint32_t i;

	assert(options->accounts <= FLEET_ACCOUNTS_MAX);
	f->opt = *options;
	base_rand_seed(&f->rnd, options->seed);
	f->daemons = base_alloc_array(options->daemons, sizeof(*f->daemons));
	for (i = 0; i < options->daemons; i++) {
		struct daemon *d = &f->daemons[i];

		d->domain = i % options->domains;
		d->heard =
			base_alloc_array(options->daemons, sizeof(*d->heard));
	}
	return f;
}

static void stop(struct daemon *d)
{
	rate_holder_destroy(d->holder);
	rate_entry_destroy(d->entry);
	d->holder = NULL;
	d->entry = NULL;
	d->alive = false;
}

void fleet_destroy(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->opt.daemons; i++) {
		stop(&f->daemons[i]);
		free(f->daemons[i].heard);
	}
	events_release(&f->events);
	free(f->daemons);
	free(f);
}

/*
 * Network
 */

static bool is_same_region(const struct fleet *f, uint32_t a, uint32_t b)
{
	uint32_t size = f->opt.domains_per_region;

	if (!size)
		return true;
	return f->daemons[a].domain / size == f->daemons[b].domain / size;
}

static int64_t delay(struct fleet *f, uint32_t from, uint32_t to)
{
	int64_t base = f->opt.far_us;

	if (from == to)
		base = 1;
	else if (f->daemons[from].domain == f->daemons[to].domain)
		base = f->opt.near_us;
	else if (!is_same_region(f, from, to))
		base = f->opt.region_us;
	if (chance(f, f->opt.slow))
		base += below(f, f->opt.slow_us);
	return base + below(f, base / 4);
}

static void post(struct fleet *f, struct event *event)
{
	int copies = chance(f, f->opt.repeated) ? 2 : 1;

	while (copies--) {
		if (chance(f, f->opt.lost))
			continue;
		event->at = f->now + delay(f, event->from, event->to);
		events_add(&f->events, event);
	}
}

static bool is_cut(const struct fleet *f, const struct event *event)
{
	return f->daemons[event->from].side != f->daemons[event->to].side;
}

/*
 * Entry side of a daemon
 */

static void schedule_tick(struct fleet *f, uint32_t i)
{
	struct daemon *d = &f->daemons[i];
	int64_t due = rate_entry_next_tick(d->entry);

	if (due == INT64_MAX)
		return;
	due -= d->clock_offset;
	if (due < f->now)
		due = f->now;
	if (d->tick_at > f->now && d->tick_at <= due)
		return;
	d->tick_at = due;
	events_add(&f->events,
		   &(struct event){ .at = due + below(f, f->opt.late_us),
				    .type = EVENT_TICK,
				    .to = i,
				    .process = d->process });
}

static void admit(struct fleet *f, uint32_t i, uint32_t account);

/* The last step: the clock is read again. */
static void send_request(struct fleet *f, uint32_t i, uint32_t account,
			 const struct rate_decision *decision)
{
	struct daemon *d = &f->daemons[i];

	if (!rate_decision_valid(decision, clock_of(f, d))) {
		admit(f, i, account);
		return;
	}
	f->counts[account].admitted++;
	if (!bound_admit(&f->bounds[account], f->now))
		f->counts[account].beyond++;
}

/* Returns false when the process pauses before it sends. */
static bool pass_on(struct fleet *f, uint32_t i, uint32_t account,
		    const struct rate_decision *decision)
{
	struct daemon *d = &f->daemons[i];

	if (!chance(f, f->opt.paused)) {
		send_request(f, i, account, decision);
		return true;
	}
	d->frozen_until = f->now + below(f, f->opt.pause_us);
	events_add(&f->events,
		   &(struct event){ .at = d->frozen_until,
				    .type = EVENT_SEND,
				    .to = i,
				    .process = d->process,
				    .u.send = { account, *decision } });
	return false;
}

static bool apply_decision(struct fleet *f, uint32_t i, uint32_t account,
			   const struct rate_decision *decision)
{
	if (decision->result == RATE_ADMITTED)
		return pass_on(f, i, account, decision);
	if (decision->result == RATE_WAITING)
		f->counts[account].waited++;
	else
		f->counts[account].refused++;
	return true;
}

/* Each request is sent before the next action is taken. */
static void drain(struct fleet *f, uint32_t i)
{
	struct daemon *d = &f->daemons[i];
	struct rate_action action;

	while (rate_entry_next_action(d->entry, &action)) {
		if (action.type == RATE_ACTION_DECIDED) {
			if (!apply_decision(f, i, (uint32_t)action.account - 1,
					    &action.decision))
				return;
			continue;
		}
		d->asks++;
		post(f, &(struct event){ .type = EVENT_ASK,
					 .from = i,
					 .to = (uint32_t)action.holder - 1,
					 .u.ask = action.ask });
	}
	schedule_tick(f, i);
}

static void admit(struct fleet *f, uint32_t i, uint32_t account)
{
	struct daemon *d = &f->daemons[i];
	struct rate_decision decision =
		rate_entry_admit(d->entry, account_id(account),
				 ++f->last_request, clock_of(f, d));

	if (apply_decision(f, i, account, &decision))
		drain(f, i);
}

void fleet_request(struct fleet *f, uint32_t daemon, uint32_t account)
{
	struct daemon *d = &f->daemons[daemon];

	if (d->alive && d->frozen_until <= f->now)
		admit(f, daemon, account);
}

static void on_send(struct fleet *f, const struct event *event)
{
	send_request(f, event->to, event->u.send.account,
		     &event->u.send.decision);
	drain(f, event->to);
}

static void on_ask(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];
	struct event answer = {
		.type = EVENT_GRANT,
		.from = event->to,
		.to = event->from,
	};

	if (!rate_holder_ask(d->holder, &event->u.ask, clock_of(f, d),
			     &answer.u.grant))
		return;
	d->grants++;
	post(f, &answer);
}

static void on_grant(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	rate_entry_on_grant(d->entry, daemon_id(event->from), &event->u.grant,
			    clock_of(f, d));
	drain(f, event->to);
}

static void on_tick(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	rate_entry_tick(d->entry, clock_of(f, d));
	drain(f, event->to);
}

/*
 * Configuration versions
 */

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

/* The daemons of a domain with the greatest weight. */
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
	struct rate_share share =
		rate_share_of(a->rate, a->burst, v->holder_counts[account]);
	uint64_t missing[RATE_CONFIRMERS_MAX];
	struct rate_epoch epoch = {
		.version = v->epochs[account],
		.confirmers = missing,
		.continuous = previous + 1 == d->version,
	};
	uint32_t j;

	for (j = 0; f->opt.heartbeat_us && j < f->opt.daemons; j++) {
		if (j != i && d->heard[j] < v->epochs[account] &&
		    was_holder(f, account, j, d->version))
			missing[epoch.confirmer_count++] = daemon_id(j);
	}
	rate_holder_set_share(d->holder, account_id(account), &share, &epoch,
			      clock_of(f, d));
}

/* Own domain first, then own region; in a tier each daemon has its order. */
static uint64_t preference(const struct fleet *f, uint32_t i, uint64_t holder)
{
	uint32_t h = (uint32_t)holder - 1;
	uint64_t w = weight(7, i, holder) >> 2;

	if (h == i)
		return 0;
	if (f->daemons[h].domain == f->daemons[i].domain)
		return w;
	if (is_same_region(f, h, i))
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
			       clock_of(f, d));
	if (is_holder(v, account, i))
		set_share(f, i, account, previous);
	else
		rate_holder_remove(d->holder, account_id(account));
}

static void apply_version(struct fleet *f, uint32_t i, uint32_t previous)
{
	uint32_t account;

	for (account = 0; account < f->opt.accounts; account++)
		set_account(f, i, account, previous);
	drain(f, i);
}

static void on_activate(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];
	uint32_t account, previous;

	if (event->version <= d->version)
		return;
	if (d->side) {
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
	apply_version(f, event->to, previous);
}

static void on_version(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	if (d->heard[event->from] >= event->version)
		return;
	d->heard[event->from] = event->version;
	rate_holder_confirm(d->holder, daemon_id(event->from), event->version,
			    clock_of(f, d));
}

static void on_heartbeat(struct fleet *f, const struct event *event)
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
			post(f, &message);
	}
}

static bool is_same(const struct fleet_account *a,
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
		    is_same(&accounts[i], &old->accounts[i], f->opt.domains))
			v->epochs[i] = old->epochs[i];
	}
	for (i = 0; i < f->opt.daemons; i++) {
		events_add(&f->events,
			   &(struct event){ .at = f->now + below(f, spread_us),
					    .type = EVENT_ACTIVATE,
					    .to = i,
					    .version = number });
	}
}

/*
 * Processes
 */

static struct rate_entry *create_entry(struct fleet *f, uint64_t incarnation)
{
	if (f->opt.create_entry)
		return f->opt.create_entry(incarnation);
	switch (f->opt.policy) {
	case FLEET_LOCAL_SHARE:
		return rate_entry_create_local_share(f->opt.daemons);
	case FLEET_UNLIMITED:
		return rate_entry_create_unlimited();
	default:
		return rate_entry_create(incarnation);
	}
}

void fleet_start(struct fleet *f, uint32_t daemon)
{
	struct daemon *d = &f->daemons[daemon];
	uint32_t account;

	assert(!d->alive);
	d->alive = true;
	d->process = ++f->last_process;
	d->clock_offset = below(f, CLOCK_SPREAD_US);
	d->frozen_until = 0;
	d->tick_at = 0;
	memset(d->heard, 0, f->opt.daemons * sizeof(*d->heard));
	d->holder = rate_holder_create(d->process, clock_of(f, d));
	d->entry = create_entry(f, d->process);
	if (f->opt.heartbeat_us)
		events_add(&f->events, &(struct event){
					       .at = f->now,
					       .type = EVENT_HEARTBEAT,
					       .to = daemon,
					       .process = d->process,
				       });
	if (!d->version)
		return;
	for (account = 0; account < f->opt.accounts; account++)
		bound_enter(&f->bounds[account], d->version - 1, f->now);
	apply_version(f, daemon, 0);
}

void fleet_kill(struct fleet *f, uint32_t daemon)
{
	struct daemon *d = &f->daemons[daemon];
	uint32_t account;

	if (!d->alive)
		return;
	stop(d);
	if (!d->version)
		return;
	for (account = 0; account < f->opt.accounts; account++)
		bound_leave(&f->bounds[account], d->version - 1, f->now);
}

void fleet_stop_domain(struct fleet *f, uint32_t domain)
{
	uint32_t i;

	for (i = domain; i < f->opt.daemons; i += f->opt.domains)
		fleet_kill(f, i);
}

void fleet_start_domain(struct fleet *f, uint32_t domain)
{
	uint32_t i;

	for (i = domain; i < f->opt.daemons; i += f->opt.domains)
		fleet_start(f, i);
}

bool fleet_is_alive(const struct fleet *f, uint32_t daemon)
{
	return f->daemons[daemon].alive;
}

void fleet_freeze(struct fleet *f, uint32_t daemon, int64_t until)
{
	f->daemons[daemon].frozen_until = until;
}

void fleet_set_delays(struct fleet *f, int64_t near_us, int64_t far_us)
{
	f->opt.near_us = near_us;
	f->opt.far_us = far_us;
}

void fleet_set_side(struct fleet *f, uint32_t daemon, uint32_t side)
{
	f->daemons[daemon].side = side;
}

/*
 * Running
 */

static void dispatch(struct fleet *f, const struct event *event)
{
	switch (event->type) {
	case EVENT_ASK:
		on_ask(f, event);
		break;
	case EVENT_GRANT:
		on_grant(f, event);
		break;
	case EVENT_VERSION:
		on_version(f, event);
		break;
	case EVENT_ACTIVATE:
		on_activate(f, event);
		break;
	case EVENT_HEARTBEAT:
		on_heartbeat(f, event);
		break;
	case EVENT_TICK:
		on_tick(f, event);
		break;
	case EVENT_SEND:
		on_send(f, event);
		break;
	}
}

static bool is_message(const struct event *event)
{
	return event->type == EVENT_ASK || event->type == EVENT_GRANT ||
	       event->type == EVENT_VERSION;
}

static void handle(struct fleet *f, struct event *event)
{
	const struct daemon *d = &f->daemons[event->to];

	if (event->type == EVENT_ACTIVATE && !d->alive) {
		event->at = f->now + FETCH_RETRY_US;
		events_add(&f->events, event);
		return;
	}
	if (!d->alive || (event->process && event->process != d->process))
		return;
	if (is_message(event) && is_cut(f, event))
		return;
	/* Events of a frozen process wait, and are then seen in any order. */
	if (d->frozen_until > f->now) {
		event->at = d->frozen_until + below(f, BASE_MS_US);
		events_add(&f->events, event);
		return;
	}
	dispatch(f, event);
}

void fleet_run(struct fleet *f, int64_t until)
{
	while (events_next(&f->events) <= until) {
		struct event *event = events_take(&f->events);

		f->now = event->at;
		handle(f, event);
		free(event);
	}
	f->now = until;
}

struct fleet_counts fleet_counts(const struct fleet *f, uint32_t account)
{
	return f->counts[account];
}

void fleet_reset_counts(struct fleet *f)
{
	uint32_t i;

	memset(f->counts, 0, sizeof(f->counts));
	for (i = 0; i < f->opt.daemons; i++) {
		f->daemons[i].asks = 0;
		f->daemons[i].grants = 0;
	}
}

int64_t fleet_asks_at(const struct fleet *f, uint32_t daemon)
{
	return f->daemons[daemon].asks;
}

int64_t fleet_grants_at(const struct fleet *f, uint32_t daemon)
{
	return f->daemons[daemon].grants;
}
