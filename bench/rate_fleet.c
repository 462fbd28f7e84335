/* Simulated daemons, their processes and the network between them. */
#include "rate_fleet_state.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Greatest difference between the clocks of two processes. */
#define CLOCK_OFFSET_MAX_US (1000 * BASE_SECOND_US)

static bool chance(struct fleet *f, double p)
{
	return p > 0 && base_rand_unit(&f->rnd) < p;
}

int64_t fleet_random_below(struct fleet *f, int64_t bound)
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
		d->peer_versions = base_alloc_array(options->daemons,
						    sizeof(*d->peer_versions));
	}
	return f;
}

static void destroy_process(struct daemon *d)
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
		destroy_process(&f->daemons[i]);
		free(f->daemons[i].peer_versions);
	}
	events_release(&f->events);
	free(f->daemons);
	free(f);
}

/*
 * Network
 */

bool fleet_is_same_region(const struct fleet *f, uint32_t a, uint32_t b)
{
	uint32_t size = f->opt.domains_per_region;

	if (!size)
		return true;
	return f->daemons[a].domain / size == f->daemons[b].domain / size;
}

static int64_t delay(struct fleet *f, uint32_t from, uint32_t to)
{
	int64_t base = f->opt.cross_domain_delay_us;

	if (from == to)
		base = 1;
	else if (f->daemons[from].domain == f->daemons[to].domain)
		base = f->opt.same_domain_delay_us;
	else if (!fleet_is_same_region(f, from, to))
		base = f->opt.cross_region_delay_us;
	if (chance(f, f->opt.slow))
		base += fleet_random_below(f, f->opt.slow_delay_max_us);
	return base + fleet_random_below(f, base / 4);
}

void fleet_send_message(struct fleet *f, struct event *event)
{
	int copies = chance(f, f->opt.duplicate_probability) ? 2 : 1;

	while (copies--) {
		if (chance(f, f->opt.loss_probability))
			continue;
		event->at = f->now + delay(f, event->from, event->to);
		events_add(&f->events, event);
	}
}

static bool is_partitioned(const struct fleet *f, const struct event *event)
{
	return f->daemons[event->from].partition !=
	       f->daemons[event->to].partition;
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
		   &(struct event){ .at = due +
					  fleet_random_below(
						  f, f->opt.tick_delay_max_us),
				    .type = EVENT_TICK,
				    .to = i,
				    .process = d->process });
}

static void admit(struct fleet *f, uint32_t i, uint32_t account);

/* Checks the validity of the decision again just before sending. */
static void send_request(struct fleet *f, uint32_t i, uint32_t account,
			 const struct rate_decision *decision)
{
	struct daemon *d = &f->daemons[i];

	if (!rate_decision_valid(decision, daemon_clock(f, d))) {
		admit(f, i, account);
		return;
	}
	f->counts[account].admitted++;
	if (!bound_admit(&f->bounds[account], f->now))
		f->counts[account].over_bound++;
}

/* Returns false when the process is paused before it sends. */
static bool send_or_pause(struct fleet *f, uint32_t i, uint32_t account,
			  const struct rate_decision *decision)
{
	struct daemon *d = &f->daemons[i];

	if (!chance(f, f->opt.pause_probability)) {
		send_request(f, i, account, decision);
		return true;
	}
	d->frozen_until = f->now + fleet_random_below(f, f->opt.pause_max_us);
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
		return send_or_pause(f, i, account, decision);
	if (decision->result == RATE_WAITING)
		f->counts[account].waited++;
	else
		f->counts[account].refused++;
	return true;
}

/* Sends each admitted request before it takes the next action. */
void fleet_run_entry_actions(struct fleet *f, uint32_t i)
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
		d->asks_sent++;
		fleet_send_message(
			f, &(struct event){ .type = EVENT_ASK,
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
				 ++f->last_request, daemon_clock(f, d));

	if (apply_decision(f, i, account, &decision))
		fleet_run_entry_actions(f, i);
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
	fleet_run_entry_actions(f, event->to);
}

static void on_ask(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];
	struct event response = {
		.type = EVENT_GRANT,
		.from = event->to,
		.to = event->from,
	};

	if (!rate_holder_handle_ask(d->holder, &event->u.ask,
				    daemon_clock(f, d), &response.u.grant))
		return;
	d->grants_sent++;
	fleet_send_message(f, &response);
}

static void on_grant(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	rate_entry_on_grant(d->entry, daemon_id(event->from), &event->u.grant,
			    daemon_clock(f, d));
	fleet_run_entry_actions(f, event->to);
}

static void on_tick(struct fleet *f, const struct event *event)
{
	struct daemon *d = &f->daemons[event->to];

	rate_entry_tick(d->entry, daemon_clock(f, d));
	fleet_run_entry_actions(f, event->to);
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
	d->clock_offset = fleet_random_below(f, CLOCK_OFFSET_MAX_US);
	d->frozen_until = 0;
	d->tick_at = 0;
	memset(d->peer_versions, 0, f->opt.daemons * sizeof(*d->peer_versions));
	d->holder = rate_holder_create(d->process, daemon_clock(f, d));
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
	fleet_apply_version(f, daemon, 0);
}

void fleet_kill(struct fleet *f, uint32_t daemon)
{
	struct daemon *d = &f->daemons[daemon];
	uint32_t account;

	if (!d->alive)
		return;
	destroy_process(d);
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

void fleet_set_delays(struct fleet *f, int64_t same_domain_delay_us,
		      int64_t cross_domain_delay_us)
{
	f->opt.same_domain_delay_us = same_domain_delay_us;
	f->opt.cross_domain_delay_us = cross_domain_delay_us;
}

void fleet_set_partition(struct fleet *f, uint32_t daemon, uint32_t partition)
{
	f->daemons[daemon].partition = partition;
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
		fleet_on_version(f, event);
		break;
	case EVENT_ACTIVATE:
		fleet_on_activate(f, event);
		break;
	case EVENT_HEARTBEAT:
		fleet_on_heartbeat(f, event);
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
	if (is_message(event) && is_partitioned(f, event))
		return;
	/* Events of a frozen process are delivered later in any order. */
	if (d->frozen_until > f->now) {
		event->at = d->frozen_until + fleet_random_below(f, BASE_MS_US);
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
		f->daemons[i].asks_sent = 0;
		f->daemons[i].grants_sent = 0;
	}
}

int64_t fleet_asks_sent_by(const struct fleet *f, uint32_t daemon)
{
	return f->daemons[daemon].asks_sent;
}

int64_t fleet_grants_sent_by(const struct fleet *f, uint32_t daemon)
{
	return f->daemons[daemon].grants_sent;
}
