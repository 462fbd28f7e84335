/* Rate limiting of client accounts over the whole fleet. */
#include "rate_limiter.h"
#include "entry.h"
#include "membership.h"
#include "rate_accounts.h"
#include "rate_holders.h"
#include "rate_deferred.h"
#include "rate_wire.h"
#include "roster.h"

#include <uthash.h>

/*
 * Delay of the timer while the process resumes after a pause and its sockets
 * are not drained yet.
 */
#define RESUME_POLL_INTERVAL_US BASE_MS_US
/* Interval of the gauge updates while a share is waiting. */
#define GAUGE_INTERVAL_US (100 * BASE_MS_US)

/* A VM of the roster, found by its number. */
struct rate_vm {
	uint64_t id;
	const struct config_vm *vm;
	/* Number of the last update whose snapshot contained the VM. */
	uint64_t generation;
	UT_hash_handle hh;
};

struct rate_limiter {
	struct node *node;
	struct rate_accounts *accounts;
	struct rate_holder *holder;
	struct rate_entry *entry;
	struct rate_vm *vms;
	/* Number of the last update of vms. */
	uint64_t generation;
	/* Number of the own VM. */
	uint64_t self;
	struct event *timer;
	/* When the timer fires; INT64_MAX when it is off. */
	int64_t timer_at;
	/* When the gauges are updated; INT64_MAX when they cannot change. */
	int64_t gauges_due_at;
	/* Latest time that was passed to the rate package; see advance(). */
	int64_t now;
	/* Set while rate_limiter_flush() runs. */
	bool flushing;
	struct rate_deferred_asks deferred;
	struct base_counter *asks;
	struct base_counter *grants;
	struct base_counter *unreachable;
	struct base_counter *invalid;
	struct base_counter *shares;
	struct base_counter *shares_waiting;
};

/*
 * Returns a time that never goes back, as the rate package needs it. Messages
 * are handled with the time of their arrival, which may be earlier than a time
 * that was already used.
 */
static int64_t advance(struct rate_limiter *limiter, int64_t now)
{
	if (now > limiter->now)
		limiter->now = now;
	return limiter->now;
}

static void set_timer(struct rate_limiter *limiter, int64_t at, int64_t now)
{
	int64_t us = at > now ? at - now : 0;

	if (at >= limiter->timer_at)
		return;
	limiter->timer_at = at;
	event_add(limiter->timer,
		  &(struct timeval){ .tv_sec = us / BASE_SECOND_US,
				     .tv_usec = us % BASE_SECOND_US });
}

static void schedule(struct rate_limiter *limiter, int64_t now)
{
	int64_t at = rate_entry_next_tick(limiter->entry);
	int64_t deferred_expiry = rate_deferred_next_expiry(&limiter->deferred);

	if (deferred_expiry < at)
		at = deferred_expiry;
	if (limiter->gauges_due_at < at)
		at = limiter->gauges_due_at;
	if (at != INT64_MAX)
		set_timer(limiter, at, now);
}

static struct rate_vm *find_vm(struct rate_limiter *limiter, uint64_t id)
{
	struct rate_vm *vm;

	HASH_FIND(hh, limiter->vms, &id, sizeof(id), vm);
	return vm;
}

static void report_unreachable(struct rate_limiter *limiter, uint64_t holder,
			       int64_t now)
{
	base_counter_add(limiter->unreachable, 1);
	rate_entry_on_holder_unreachable(limiter->entry, holder, now);
}

static struct base_str account_name(struct rate_limiter *limiter, uint64_t id)
{
	const struct rate_account_state *a =
		rate_accounts_by_id(limiter->accounts, id);

	return a ? (struct base_str){ a->name, a->name_len } : BASE_STR_NONE;
}

static bool send_ask(struct rate_limiter *limiter, struct peer_link *to,
		     const struct rate_ask *ask)
{
	struct peer_rate_return returns[RATE_REPORTS_MAX];
	struct base_str name = account_name(limiter, ask->account);
	struct peer_message msg;

	if (!name.len)
		return false;
	rate_wire_ask_to_message(ask, name,
				 base_str_from(limiter->node->settings->vm),
				 returns, &msg);
	if (peer_transport_send(limiter->node->transport, to, &msg) != PEER_OK)
		return false;
	base_counter_add(limiter->asks, 1);
	return true;
}

static void ask_remote(struct rate_limiter *limiter,
		       const struct rate_action *action, int64_t now)
{
	struct membership *m = limiter->node->membership;
	struct rate_vm *vm = find_vm(limiter, action->holder);
	struct peer_link *to = vm ? node_get_link(limiter->node, vm->vm) : NULL;
	bool done;

	if (!to) {
		report_unreachable(limiter, action->holder, now);
		return;
	}
	membership_record_link_use(m, to, now);
	if (membership_is_connecting(m, to, now))
		done = rate_deferred_add(&limiter->deferred, vm->id,
					 &action->ask, now + RATE_WAIT_MAX_US);
	else
		done = send_ask(limiter, to, &action->ask);
	if (!done)
		report_unreachable(limiter, action->holder, now);
}

static void ask_self(struct rate_limiter *limiter, const struct rate_ask *ask,
		     int64_t now)
{
	struct rate_grant grant;

	if (rate_holder_handle_ask(limiter->holder, ask, now, &grant))
		rate_entry_on_grant(limiter->entry, limiter->self, &grant, now);
}

static void perform_action(struct rate_limiter *limiter,
			   const struct rate_action *action, int64_t now)
{
	if (action->type == RATE_ACTION_DECIDED)
		entry_on_rate_decision(limiter->node->entry, action->request,
				       &action->decision);
	else if (action->holder == limiter->self)
		ask_self(limiter, &action->ask, now);
	else
		ask_remote(limiter, action, now);
}

void rate_limiter_flush(struct rate_limiter *limiter, int64_t now)
{
	struct rate_action action;

	/* A decision starts a request, which may call this function again. */
	if (limiter->flushing)
		return;
	limiter->flushing = true;
	while (rate_entry_next_action(limiter->entry, &action))
		perform_action(limiter, &action, advance(limiter, now));
	limiter->flushing = false;
	schedule(limiter, limiter->now);
}

/* Drops the deferred asks to a holder and reports it as unreachable. */
static void fail_holder(struct rate_limiter *limiter, uint64_t holder,
			int64_t now)
{
	struct rate_ask ask;

	while (rate_deferred_take(&limiter->deferred, holder, &ask))
		;
	report_unreachable(limiter, holder, now);
}

/* Reports holders whose links did not come up in time as unreachable. */
static void expire_deferred(struct rate_limiter *limiter, int64_t now)
{
	uint64_t holder;

	while (rate_deferred_find_expired(&limiter->deferred, now, &holder))
		fail_holder(limiter, holder, now);
}

/*
 * Returns whether a share waits for confirmations or for grants of former
 * holders to expire.
 */
static bool is_share_waiting(const struct rate_holder_state *state, int64_t now)
{
	return state->unconfirmed || state->ready_at > now;
}

static void update_gauges(struct rate_limiter *limiter, int64_t now)
{
	const struct rate_account_state *a = NULL;
	struct rate_holder_state state;
	int64_t shares = 0, shares_waiting = 0;

	while ((a = rate_accounts_next(limiter->accounts, a))) {
		if (!rate_holder_state(limiter->holder, a->id, now, &state))
			continue;
		shares++;
		shares_waiting += is_share_waiting(&state, now);
	}
	base_counter_set(limiter->shares, shares);
	base_counter_set(limiter->shares_waiting, shares_waiting);
	limiter->gauges_due_at =
		shares_waiting ? now + GAUGE_INTERVAL_US : INT64_MAX;
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct rate_limiter *limiter = arg;
	int64_t now = base_now_us();

	node_detect_pause(limiter->node, now);
	limiter->timer_at = INT64_MAX;
	if (node_is_resuming(limiter->node)) {
		set_timer(limiter, now + RESUME_POLL_INTERVAL_US, now);
		return;
	}
	now = advance(limiter, now);
	expire_deferred(limiter, now);
	rate_entry_tick(limiter->entry, now);
	if (limiter->gauges_due_at <= now)
		update_gauges(limiter, now);
	rate_limiter_flush(limiter, now);
}

struct rate_decision rate_limiter_admit(struct rate_limiter *limiter,
					const struct config_account *account,
					uint64_t request, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(limiter->accounts, account->name);

	if (!a)
		return (struct rate_decision){ .result = RATE_UNKNOWN_ACCOUNT };
	return rate_entry_admit(limiter->entry, a->id, request,
				advance(limiter, now));
}

void rate_limiter_cancel(struct rate_limiter *limiter,
			 const struct config_account *account, uint64_t request)
{
	const struct rate_account_state *a = NULL;

	if (account)
		a = rate_accounts_find(limiter->accounts, account->name);
	if (a)
		rate_entry_cancel(limiter->entry, a->id, request);
}

void rate_limiter_on_ask(struct rate_limiter *limiter,
			 const struct peer_remote *remote,
			 const struct peer_message *msg, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(limiter->accounts, msg->rate_ask.account);
	struct rate_grant grant;
	struct rate_ask ask;
	struct peer_message out;

	/*
	 * Not configured here, or only in another version. Without an answer
	 * the entry asks other holders.
	 */
	if (!a)
		return;
	if (!rate_wire_ask_from_message(&msg->rate_ask, a->id, &ask)) {
		base_counter_add(limiter->invalid, 1);
		return;
	}
	if (!rate_holder_handle_ask(limiter->holder, &ask,
				    advance(limiter, now), &grant))
		return;
	rate_wire_grant_to_message(&grant, msg->rate_ask.account, &out);
	out.id = msg->id;
	if (peer_transport_reply(limiter->node->transport, remote, &out) ==
	    PEER_OK)
		base_counter_add(limiter->grants, 1);
}

void rate_limiter_on_grant(struct rate_limiter *limiter,
			   struct base_str holder_vm,
			   const struct peer_message *msg, int64_t now)
{
	const struct rate_account_state *a =
		rate_accounts_find(limiter->accounts, msg->rate_grant.account);
	struct rate_grant grant;

	if (!a)
		return;
	if (!rate_wire_grant_from_message(&msg->rate_grant, a->id, &grant)) {
		base_counter_add(limiter->invalid, 1);
		return;
	}
	now = advance(limiter, now);
	rate_entry_on_grant(limiter->entry, roster_name_hash(holder_vm), &grant,
			    now);
	rate_limiter_flush(limiter, now);
}

void rate_limiter_on_link_up(struct rate_limiter *limiter,
			     const struct config_vm *vm, int64_t now)
{
	struct rate_vm *known = find_vm(limiter, roster_name_hash(vm->name));
	struct peer_link *to;
	struct rate_ask ask;

	if (!known)
		return;
	to = node_get_link(limiter->node, vm);
	while (rate_deferred_take(&limiter->deferred, known->id, &ask))
		if (!to || !send_ask(limiter, to, &ask))
			report_unreachable(limiter, known->id,
					   advance(limiter, now));
	rate_limiter_flush(limiter, now);
}

void rate_limiter_on_link_down(struct rate_limiter *limiter,
			       const struct config_vm *vm, int64_t now)
{
	struct rate_vm *known = find_vm(limiter, roster_name_hash(vm->name));

	if (!known)
		return;
	now = advance(limiter, now);
	fail_holder(limiter, known->id, now);
	rate_limiter_flush(limiter, now);
}

void rate_limiter_on_domain_version(struct rate_limiter *limiter,
				    struct base_str domain, uint64_t version,
				    int64_t now)
{
	rate_holder_confirm(limiter->holder, roster_name_hash(domain), version,
			    advance(limiter, now));
}

static void on_collision(void *ctx, struct base_str rejected,
			 const char *existing)
{
	struct rate_limiter *limiter = ctx;
	struct base_log_line line = base_log_begin(
		limiter->node->log, BASE_LOG_ERROR, "account_number_collision");

	base_log_str(&line, "account", rejected);
	base_log_cstr(&line, "other", existing);
	base_log_cstr(&line, "effect", "requests of the account are refused");
	base_log_end(&line);
	node_counter_add(limiter->node, "rate_account_collisions");
}

static void update_vms(struct rate_limiter *limiter)
{
	const struct config_snapshot *s = limiter->node->snapshot;
	struct rate_vm *vm, *next;
	size_t i;

	limiter->generation++;
	for (i = 0; i < s->vm_count; i++) {
		uint64_t id = roster_name_hash(s->vms[i].name);

		vm = find_vm(limiter, id);
		if (!vm) {
			vm = base_alloc(sizeof(*vm));
			vm->id = id;
			HASH_ADD(hh, limiter->vms, id, sizeof(vm->id), vm);
		}
		vm->vm = &s->vms[i];
		vm->generation = limiter->generation;
	}
	HASH_ITER (hh, limiter->vms, vm, next) {
		if (vm->generation == limiter->generation)
			continue;
		HASH_DEL(limiter->vms, vm);
		free(vm);
	}
}

/*
 * A domain that was removed from the configuration has no daemon that acts on
 * an older version, so it counts as confirmed.
 */
static void confirm_removed_domains(struct rate_limiter *limiter,
				    const struct config_snapshot *before,
				    int64_t now)
{
	const struct config_snapshot *s = limiter->node->snapshot;
	size_t i;

	for (i = 0; before && i < before->domain_count; i++) {
		struct base_str name = before->domains[i].name;

		if (!config_snapshot_find_domain(s, name))
			rate_holder_confirm(limiter->holder,
					    roster_name_hash(name), UINT64_MAX,
					    now);
	}
}

/*
 * Lists the failure domains that may still act on a version with other holders.
 * @return the number of domains written to @p out
 */
static size_t list_confirmers(struct rate_limiter *limiter,
			      const struct rate_account_state *a, uint64_t *out)
{
	const struct config_snapshot *s = limiter->node->snapshot;
	size_t count = 0;
	size_t i;

	if (limiter->node->dialect->registry)
		return 0;
	for (i = 0; i < s->domain_count; i++) {
		struct base_str name = s->domains[i].name;

		if (membership_domain_version(limiter->node->membership, name) <
		    a->no_other_holders_since)
			out[count++] = roster_name_hash(name);
	}
	return count;
}

static void update_share(struct rate_limiter *limiter,
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

	if (!a->configured || !rate_account_is_holder(a, limiter->self)) {
		rate_holder_remove_share(limiter->holder, a->id);
		return;
	}
	if (a->discard_share)
		rate_holder_remove_share(limiter->holder, a->id);
	share = rate_share_compute(a->rate, a->burst, a->share_divisor);
	epoch.confirmer_count = list_confirmers(limiter, a, confirmers);
	rate_holder_set_share(limiter->holder, a->id, &share, &epoch, now);
}

static void log_without_holders(struct rate_limiter *limiter,
				const struct rate_account_state *a)
{
	struct base_log_line line = base_log_begin(
		limiter->node->log, BASE_LOG_ERROR, "account_without_holders");

	base_log_cstr(&line, "account", a->name);
	base_log_cstr(&line, "effect", "requests of the account are refused");
	base_log_end(&line);
}

static void update_entry(struct rate_limiter *limiter,
			 const struct rate_account_state *a, int64_t now)
{
	struct rate_account spec = {
		.rate = a->rate,
		.burst = a->burst,
		.holders = a->ask_order,
		.holder_count = a->holder_count,
	};

	if (!a->changed)
		return;
	if (!a->configured || a->discard_share)
		rate_entry_remove_account(limiter->entry, a->id);
	if (!a->configured)
		return;
	rate_entry_set_account(limiter->entry, a->id, &spec, now);
	/* Without any VM, the list of VMs is still being loaded. */
	if (!a->holder_count && limiter->node->snapshot->vm_count)
		log_without_holders(limiter, a);
}

static void log_skipped_versions(struct rate_limiter *limiter,
				 const struct config_snapshot *before)
{
	struct base_log_line line;

	line = base_log_begin(limiter->node->log, BASE_LOG_WARN,
			      "rate_versions_skipped");
	base_log_int(&line, "from", before->version);
	base_log_int(&line, "to", limiter->node->snapshot->version);
	base_log_cstr(&line, "effect",
		      "rate shares of this daemon start anew once all failure "
		      "domains have the version");
	base_log_end(&line);
	node_counter_add(limiter->node, "rate_versions_skipped");
}

void rate_limiter_configure(struct rate_limiter *limiter,
			    const struct config_snapshot *before, int64_t now)
{
	struct node *node = limiter->node;
	struct rate_local_vm self = {
		.vm = base_str_from(node->settings->vm),
		.domain = node->self ? node->self->domain : NULL,
	};
	struct rate_account_state *a = NULL;
	bool no_version_skipped;

	now = advance(limiter, now);
	update_vms(limiter);
	confirm_removed_domains(limiter, before, now);
	no_version_skipped =
		rate_accounts_update(limiter->accounts, node->snapshot, before,
				     &self, on_collision, limiter);
	if (before && !no_version_skipped)
		log_skipped_versions(limiter, before);
	while ((a = rate_accounts_next(limiter->accounts, a))) {
		update_share(limiter, a, no_version_skipped, now);
		update_entry(limiter, a, now);
	}
	limiter->gauges_due_at = now;
	/*
	 * Pending actions run from the timer, after the other components have
	 * applied the snapshot.
	 */
	set_timer(limiter, now, now);
}

/* Returns a random number that is not 0. */
static uint64_t random_id(struct base_rand *rnd)
{
	uint64_t id = base_rand_below(rnd, UINT32_MAX);

	return (id + 1) << 32 | base_rand_below(rnd, UINT32_MAX);
}

struct rate_limiter *rate_limiter_create(struct node *node, int64_t now)
{
	struct rate_limiter *limiter = base_alloc(sizeof(*limiter));

	limiter->node = node;
	limiter->now = now;
	limiter->self = roster_name_hash(base_str_from(node->settings->vm));
	limiter->timer_at = INT64_MAX;
	limiter->gauges_due_at = INT64_MAX;
	limiter->accounts = rate_accounts_create(roster_name_hash);
	if (node->dialect->registry) {
		rate_accounts_set_single_epoch(limiter->accounts);
		rate_accounts_set_fixed_parts(
			limiter->accounts,
			base_str_from(node->settings->domains));
	}
	limiter->holder = rate_holder_create(random_id(&node->rnd), now);
	limiter->entry = rate_entry_create(random_id(&node->rnd));
	limiter->timer = event_new(node->base, -1, 0, on_timer, limiter);
	limiter->asks = base_counters_get(node->counters, "rate_asks");
	limiter->grants = base_counters_get(node->counters, "rate_grants");
	limiter->unreachable =
		base_counters_get(node->counters, "rate_unreachable");
	limiter->invalid = base_counters_get(node->counters, "rate_invalid");
	limiter->shares = base_counters_get(node->counters, "rate_shares");
	limiter->shares_waiting =
		base_counters_get(node->counters, "rate_shares_waiting");
	return limiter;
}

void rate_limiter_destroy(struct rate_limiter *limiter)
{
	struct rate_vm *vm, *next;

	if (!limiter)
		return;
	HASH_ITER (hh, limiter->vms, vm, next) {
		HASH_DEL(limiter->vms, vm);
		free(vm);
	}
	event_free(limiter->timer);
	rate_entry_destroy(limiter->entry);
	rate_holder_destroy(limiter->holder);
	rate_accounts_destroy(limiter->accounts);
	free(limiter);
}

bool rate_limiter_ready(const struct rate_limiter *limiter, int64_t now)
{
	struct rate_account_state *a = NULL;
	struct rate_holder_state state;

	while ((a = rate_accounts_next(limiter->accounts, a))) {
		if (!rate_holder_state(limiter->holder, a->id, now, &state))
			continue;
		if (is_share_waiting(&state, now))
			return false;
	}
	return true;
}
