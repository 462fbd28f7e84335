/* Rate and burst of accounts over the fleet. */
#include "rate_limiter.h"
#include "entry.h"
#include "membership.h"
#include "rate_accounts.h"
#include "rate_holders.h"
#include "rate_parked.h"
#include "rate_wire.h"
#include "roster.h"

#include <uthash.h>

/* A timer that fires before the sockets were drained is put off. */
#define WAKING_US BASE_MS_US
/* How often the gauge of shares that wait is brought up to date. */
#define GAUGE_US (100 * BASE_MS_US)

/* A VM of the roster, by the number that accounts know it by. */
struct rate_vm {
	uint64_t id;
	const struct config_vm *vm;
	uint64_t round;
	UT_hash_handle hh;
};

struct rate_limiter {
	struct node *node;
	struct rate_accounts *accounts;
	struct rate_holder *holder;
	struct rate_entry *entry;
	struct rate_vm *vms;
	uint64_t round;
	uint64_t self;
	struct event *timer;
	/* INT64_MAX when the timer is off. */
	int64_t timer_at;
	/* When the gauges are due; INT64_MAX when they cannot change. */
	int64_t gauge_at;
	/* Decisions see time that never goes back. */
	int64_t now;
	bool flushing;
	struct rate_parked parked;
	struct base_counter *asks;
	struct base_counter *grants;
	struct base_counter *unreachable;
	struct base_counter *invalid;
	struct base_counter *shares;
	struct base_counter *waiting;
};

/* Messages carry the time of their arrival, which may be in the past. */
static int64_t advance(struct rate_limiter *link, int64_t now)
{
	if (now > link->now)
		link->now = now;
	return link->now;
}

static void set_timer(struct rate_limiter *link, int64_t at, int64_t now)
{
	int64_t us = at > now ? at - now : 0;

	if (at >= link->timer_at)
		return;
	link->timer_at = at;
	event_add(link->timer,
		  &(struct timeval){ .tv_sec = us / BASE_SECOND_US,
				     .tv_usec = us % BASE_SECOND_US });
}

static void schedule(struct rate_limiter *link, int64_t now)
{
	int64_t at = rate_entry_next_tick(link->entry);
	int64_t parked_at = rate_parked_next(&link->parked);

	if (parked_at < at)
		at = parked_at;
	if (link->gauge_at < at)
		at = link->gauge_at;
	if (at != INT64_MAX)
		set_timer(link, at, now);
}

static struct rate_vm *find_vm(struct rate_limiter *link, uint64_t id)
{
	struct rate_vm *vm;

	HASH_FIND(hh, link->vms, &id, sizeof(id), vm);
	return vm;
}

static void fail_ask(struct rate_limiter *link, uint64_t holder, int64_t now)
{
	base_counter_add(link->unreachable, 1);
	rate_entry_on_holder_unreachable(link->entry, holder, now);
}

static struct base_str account_name(struct rate_limiter *link, uint64_t id)
{
	const struct rate_account_state *a =
		rate_accounts_by_id(link->accounts, id);

	return a ? (struct base_str){ a->name, a->name_len } : BASE_STR_NONE;
}

static bool send_ask(struct rate_limiter *link, struct peer_link *to,
		     const struct rate_ask *ask)
{
	struct peer_rate_return returns[RATE_REPORTS_MAX];
	struct base_str name = account_name(link, ask->account);
	struct peer_message msg;

	if (!name.len)
		return false;
	rate_wire_put_ask(ask, name, base_str_from(link->node->settings->vm),
			  returns, &msg);
	if (peer_transport_send(link->node->transport, to, &msg) != PEER_OK)
		return false;
	base_counter_add(link->asks, 1);
	return true;
}

static void ask_remote(struct rate_limiter *link,
		       const struct rate_action *action, int64_t now)
{
	struct membership *m = link->node->membership;
	struct rate_vm *vm = find_vm(link, action->holder);
	struct peer_link *to = vm ? node_get_link(link->node, vm->vm) : NULL;
	bool done;

	if (!to) {
		fail_ask(link, action->holder, now);
		return;
	}
	membership_record_link_use(m, to, now);
	if (membership_is_connecting(m, to, now))
		done = rate_parked_add(&link->parked, vm->id, &action->ask,
				       now + RATE_WAIT_MAX_US);
	else
		done = send_ask(link, to, &action->ask);
	if (!done)
		fail_ask(link, action->holder, now);
}

static void ask_self(struct rate_limiter *link, const struct rate_ask *ask,
		     int64_t now)
{
	struct rate_grant grant;

	if (rate_holder_handle_ask(link->holder, ask, now, &grant))
		rate_entry_on_grant(link->entry, link->self, &grant, now);
}

static void act(struct rate_limiter *link, const struct rate_action *action,
		int64_t now)
{
	if (action->type == RATE_ACTION_DECIDED)
		entry_on_rate_decision(link->node->entry, action->request,
				       &action->decision);
	else if (action->holder == link->self)
		ask_self(link, &action->ask, now);
	else
		ask_remote(link, action, now);
}

void rate_limiter_flush(struct rate_limiter *link, int64_t now)
{
	struct rate_action action;

	/* A decision starts a request, which may come here again. */
	if (link->flushing)
		return;
	link->flushing = true;
	while (rate_entry_next_action(link->entry, &action))
		act(link, &action, advance(link, now));
	link->flushing = false;
	schedule(link, link->now);
}

static void holder_down(struct rate_limiter *link, uint64_t holder, int64_t now)
{
	struct rate_ask ask;

	while (rate_parked_take(&link->parked, holder, &ask))
		;
	fail_ask(link, holder, now);
}

/* Links that do not come up in time count as failed. */
static void expire_parked(struct rate_limiter *link, int64_t now)
{
	uint64_t holder;

	while (rate_parked_expired(&link->parked, now, &holder))
		holder_down(link, holder, now);
}

/* Whether a share waits for confirmations or for grants of others to lapse. */
static bool is_waiting(const struct rate_holder_state *state, int64_t now)
{
	return state->unconfirmed || state->ready_at > now;
}

static void update_gauges(struct rate_limiter *link, int64_t now)
{
	const struct rate_account_state *a = NULL;
	struct rate_holder_state state;
	int64_t shares = 0, waiting = 0;

	while ((a = rate_accounts_next(link->accounts, a))) {
		if (!rate_holder_state(link->holder, a->id, now, &state))
			continue;
		shares++;
		waiting += is_waiting(&state, now);
	}
	base_counter_set(link->shares, shares);
	base_counter_set(link->waiting, waiting);
	link->gauge_at = waiting ? now + GAUGE_US : INT64_MAX;
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct rate_limiter *link = arg;
	int64_t now = base_now_us();

	node_detect_pause(link->node, now);
	link->timer_at = INT64_MAX;
	if (node_is_resuming(link->node)) {
		set_timer(link, now + WAKING_US, now);
		return;
	}
	now = advance(link, now);
	expire_parked(link, now);
	rate_entry_tick(link->entry, now);
	if (link->gauge_at <= now)
		update_gauges(link, now);
	rate_limiter_flush(link, now);
}

struct rate_decision rate_limiter_admit(struct rate_limiter *link,
					const struct config_account *account,
					uint64_t request, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(link->accounts, account->name);

	if (!a)
		return (struct rate_decision){ .result = RATE_UNKNOWN_ACCOUNT };
	return rate_entry_admit(link->entry, a->id, request,
				advance(link, now));
}

void rate_limiter_cancel(struct rate_limiter *link,
			 const struct config_account *account, uint64_t request)
{
	const struct rate_account_state *a = NULL;

	if (account)
		a = rate_accounts_find(link->accounts, account->name);
	if (a)
		rate_entry_cancel(link->entry, a->id, request);
}

void rate_limiter_on_ask(struct rate_limiter *link,
			 const struct peer_remote *remote,
			 const struct peer_message *msg, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(link->accounts, msg->rate_ask.account);
	struct rate_grant grant;
	struct rate_ask ask;
	struct peer_message out;

	/* Unknown here, or of another version: the entry asks others. */
	if (!a)
		return;
	if (!rate_wire_get_ask(&msg->rate_ask, a->id, &ask)) {
		base_counter_add(link->invalid, 1);
		return;
	}
	if (!rate_holder_handle_ask(link->holder, &ask, advance(link, now),
				    &grant))
		return;
	rate_wire_put_grant(&grant, msg->rate_ask.account, &out);
	out.id = msg->id;
	if (peer_transport_reply(link->node->transport, remote, &out) ==
	    PEER_OK)
		base_counter_add(link->grants, 1);
}

void rate_limiter_on_grant(struct rate_limiter *link, struct base_str holder_vm,
			   const struct peer_message *msg, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(link->accounts, msg->rate_grant.account);
	struct rate_grant grant;

	if (!a)
		return;
	if (!rate_wire_get_grant(&msg->rate_grant, a->id, &grant)) {
		base_counter_add(link->invalid, 1);
		return;
	}
	now = advance(link, now);
	rate_entry_on_grant(link->entry, roster_name_hash(holder_vm), &grant,
			    now);
	rate_limiter_flush(link, now);
}

void rate_limiter_on_link_up(struct rate_limiter *link,
			     const struct config_vm *vm, int64_t now)
{
	struct rate_vm *known = find_vm(link, roster_name_hash(vm->name));
	struct peer_link *to;
	struct rate_ask ask;

	if (!known)
		return;
	to = node_get_link(link->node, vm);
	while (rate_parked_take(&link->parked, known->id, &ask))
		if (!to || !send_ask(link, to, &ask))
			fail_ask(link, known->id, advance(link, now));
	rate_limiter_flush(link, now);
}

void rate_limiter_on_link_down(struct rate_limiter *link,
			       const struct config_vm *vm, int64_t now)
{
	struct rate_vm *known = find_vm(link, roster_name_hash(vm->name));

	if (!known)
		return;
	now = advance(link, now);
	holder_down(link, known->id, now);
	rate_limiter_flush(link, now);
}

void rate_limiter_on_domain_version(struct rate_limiter *link,
				    struct base_str domain, uint64_t version,
				    int64_t now)
{
	rate_holder_confirm(link->holder, roster_name_hash(domain), version,
			    advance(link, now));
}

static void on_collision(void *ctx, struct base_str loser, const char *winner)
{
	struct rate_limiter *link = ctx;
	struct base_log_line line = base_log_begin(
		link->node->log, BASE_LOG_ERROR, "account_number_collision");

	base_log_str(&line, "account", loser);
	base_log_cstr(&line, "other", winner);
	base_log_cstr(&line, "effect", "requests of the account are refused");
	base_log_end(&line);
	node_counter_add(link->node, "rate_account_collisions");
}

static void update_vms(struct rate_limiter *link)
{
	const struct config_snapshot *s = link->node->snapshot;
	struct rate_vm *vm, *next;
	size_t i;

	link->round++;
	for (i = 0; i < s->vm_count; i++) {
		uint64_t id = roster_name_hash(s->vms[i].name);

		vm = find_vm(link, id);
		if (!vm) {
			vm = base_alloc(sizeof(*vm));
			vm->id = id;
			HASH_ADD(hh, link->vms, id, sizeof(vm->id), vm);
		}
		vm->vm = &s->vms[i];
		vm->round = link->round;
	}
	HASH_ITER (hh, link->vms, vm, next) {
		if (vm->round == link->round)
			continue;
		HASH_DEL(link->vms, vm);
		free(vm);
	}
}

/* A domain without daemons has none that acts on an older version. */
static void confirm_removed_domains(struct rate_limiter *link,
				    const struct config_snapshot *before,
				    int64_t now)
{
	const struct config_snapshot *s = link->node->snapshot;
	size_t i;

	for (i = 0; before && i < before->domain_count; i++) {
		struct base_str name = before->domains[i].name;

		if (!config_snapshot_find_domain(s, name))
			rate_holder_confirm(link->holder,
					    roster_name_hash(name), UINT64_MAX,
					    now);
	}
}

/* Failure domains that may still act on versions with other holders. */
static size_t list_confirmers(struct rate_limiter *link,
			      const struct rate_account_state *a, uint64_t *out)
{
	const struct config_snapshot *s = link->node->snapshot;
	size_t count = 0;
	size_t i;

	if (link->node->dialect->registry)
		return 0;
	for (i = 0; i < s->domain_count; i++) {
		struct base_str name = s->domains[i].name;

		if (membership_domain_version(link->node->membership, name) <
		    a->clear_since)
			out[count++] = roster_name_hash(name);
	}
	return count;
}

static void update_share(struct rate_limiter *link,
			 const struct rate_account_state *a,
			 bool no_version_skipped, int64_t now)
{
	uint64_t confirmers[RATE_CONFIRMERS_MAX];
	struct rate_epoch epoch = {
		.version = a->epoch,
		.confirmers = confirmers,
		.no_version_skipped = no_version_skipped,
	};
	struct rate_share share;

	if (!a->in_force || !rate_account_is_holder(a, link->self)) {
		rate_holder_remove_share(link->holder, a->id);
		return;
	}
	if (a->starts_anew)
		rate_holder_remove_share(link->holder, a->id);
	share = rate_share_compute(a->rate, a->burst,
				   (uint32_t)a->holder_count);
	epoch.confirmer_count = list_confirmers(link, a, confirmers);
	rate_holder_set_share(link->holder, a->id, &share, &epoch, now);
}

static void log_without_holders(struct rate_limiter *link,
				const struct rate_account_state *a)
{
	struct base_log_line line = base_log_begin(
		link->node->log, BASE_LOG_ERROR, "account_without_holders");

	base_log_cstr(&line, "account", a->name);
	base_log_cstr(&line, "effect", "requests of the account are refused");
	base_log_end(&line);
}

static void update_entry(struct rate_limiter *link,
			 const struct rate_account_state *a, int64_t now)
{
	struct rate_account spec = {
		.rate = a->rate,
		.burst = a->burst,
		.holders = a->order,
		.holder_count = a->holder_count,
	};

	if (!a->changed)
		return;
	if (!a->in_force || a->starts_anew)
		rate_entry_remove_account(link->entry, a->id);
	if (!a->in_force)
		return;
	rate_entry_set_account(link->entry, a->id, &spec, now);
	/* A list of VMs that has just begun to fill says nothing. */
	if (!a->holder_count && link->node->snapshot->vm_count)
		log_without_holders(link, a);
}

static void log_skipped(struct rate_limiter *link,
			const struct config_snapshot *before)
{
	struct base_log_line line;

	line = base_log_begin(link->node->log, BASE_LOG_WARN,
			      "rate_versions_skipped");
	base_log_int(&line, "from", before->version);
	base_log_int(&line, "to", link->node->snapshot->version);
	base_log_cstr(&line, "effect",
		      "rate shares of this daemon start anew once all failure "
		      "domains have the version");
	base_log_end(&line);
	node_counter_add(link->node, "rate_versions_skipped");
}

void rate_limiter_configure(struct rate_limiter *link,
			    const struct config_snapshot *before, int64_t now)
{
	struct node *node = link->node;
	struct rate_self self = {
		.vm = base_str_from(node->settings->vm),
		.domain = node->self ? node->self->domain : NULL,
	};
	struct rate_account_state *a = NULL;
	bool no_version_skipped;

	now = advance(link, now);
	update_vms(link);
	confirm_removed_domains(link, before, now);
	no_version_skipped =
		rate_accounts_update(link->accounts, node->snapshot, before,
				     &self, on_collision, link);
	if (before && !no_version_skipped)
		log_skipped(link, before);
	while ((a = rate_accounts_next(link->accounts, a))) {
		update_share(link, a, no_version_skipped, now);
		update_entry(link, a, now);
	}
	link->gauge_at = now;
	/* The other parts take over the snapshot before decisions follow. */
	set_timer(link, now, now);
}

static uint64_t random_id(struct base_rand *rnd)
{
	uint64_t id = base_rand_below(rnd, UINT32_MAX);

	return (id + 1) << 32 | base_rand_below(rnd, UINT32_MAX);
}

struct rate_limiter *rate_limiter_create(struct node *node, int64_t now)
{
	struct rate_limiter *link = base_alloc(sizeof(*link));

	link->node = node;
	link->now = now;
	link->self = roster_name_hash(base_str_from(node->settings->vm));
	link->timer_at = INT64_MAX;
	link->gauge_at = INT64_MAX;
	link->accounts = rate_accounts_create(roster_name_hash);
	if (node->dialect->registry)
		rate_accounts_set_unnumbered(link->accounts);
	link->holder = rate_holder_create(random_id(&node->rnd), now);
	link->entry = rate_entry_create(random_id(&node->rnd));
	link->timer = event_new(node->base, -1, 0, on_timer, link);
	link->asks = base_counters_get(node->counters, "rate_asks");
	link->grants = base_counters_get(node->counters, "rate_grants");
	link->unreachable =
		base_counters_get(node->counters, "rate_unreachable");
	link->invalid = base_counters_get(node->counters, "rate_invalid");
	link->shares = base_counters_get(node->counters, "rate_shares");
	link->waiting =
		base_counters_get(node->counters, "rate_shares_waiting");
	return link;
}

void rate_limiter_destroy(struct rate_limiter *link)
{
	struct rate_vm *vm, *next;

	if (!link)
		return;
	HASH_ITER (hh, link->vms, vm, next) {
		HASH_DEL(link->vms, vm);
		free(vm);
	}
	event_free(link->timer);
	rate_entry_destroy(link->entry);
	rate_holder_destroy(link->holder);
	rate_accounts_destroy(link->accounts);
	free(link);
}

bool rate_limiter_ready(const struct rate_limiter *link, int64_t now)
{
	struct rate_account_state *a = NULL;
	struct rate_holder_state state;

	while ((a = rate_accounts_next(link->accounts, a))) {
		if (!rate_holder_state(link->holder, a->id, now, &state))
			continue;
		if (is_waiting(&state, now))
			return false;
	}
	return true;
}
