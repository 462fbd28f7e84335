/* Held suspects, permits, and updates between the guards of the service. */
#include "quarantine.h"
#include "guard.h"
#include "roster.h"
#include "service_peers.h"
#include "suspect_keepers.h"
#include "suspect_messages.h"

#include <uthash.h>
#include <utlist.h>

/* Interval at which held requests are checked. */
#define POLL_INTERVAL_US (10 * BASE_MS_US)
/* A permit request without an answer is sent again after this time. */
#define PERMIT_ANSWER_TIMEOUT_US (250 * BASE_MS_US)
/*
 * When the server died, its lost requests are answered after this delay, so
 * that the other guards receive the new suspects before callers can send the
 * requests again.
 */
#define FAILURE_DELAY_US (5 * BASE_MS_US)
/* Longest delay, while the link to a guard of the service is not up. */
#define FAILURE_DELAY_MAX_US (100 * BASE_MS_US)

/* A suspect that waits for a permit or runs with one. */
struct quarantined {
	uint64_t work;
	struct base_digest fingerprint;
	int64_t deadline;
	/* 0 while the request waits for a permit. */
	uint64_t permit_id;
	/* The VM that granted the permit. */
	uint32_t arbiter;
	/* List of waiting requests, in the order of arrival. */
	struct quarantined *prev, *next;
	UT_hash_handle hh;
};

/* Work items lost in one death of the server that are not answered yet. */
struct delayed_failures {
	struct quarantine *q;
	struct event *timer;
	uint64_t *works;
	size_t count;
	int64_t latest_at;
	struct delayed_failures *prev, *next;
};

/* The only outstanding permit request; id 0 for none. */
struct permit_request {
	uint64_t id;
	uint64_t work;
	uint32_t vm;
	int64_t sent_at;
};

struct quarantine {
	struct node *node;
	struct retry_suspects *suspects;
	struct retry_arbiter *arbiter;
	struct suspect_keepers *keepers;
	struct service_peers peers;
	struct quarantined *quarantined;
	struct quarantined *waiting;
	struct permit_request pending;
	uint64_t next_request_id;
	int64_t next_request_at;
	struct event *timer;
	struct delayed_failures *delayed;
};

static void merge_update(struct quarantine *q,
			 const struct peer_suspect *suspect, int64_t now)
{
	struct retry_suspect_update update =
		suspect_update_from_message(suspect, q->peers.service);

	if (update.state == RETRY_SUSPECT_NONE ||
	    !retry_suspects_merge(q->suspects, &update, now))
		return;
	node_counter_add(q->node, "suspect_news_learned");
	if (q->waiting)
		event_active(q->timer, EV_TIMEOUT, 0);
}

/* ---- Held requests ---- */

static void start_timer(struct event *timer, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(timer, &tv);
}

static struct quarantined *find_quarantined(struct quarantine *q, uint64_t work)
{
	struct quarantined *r;

	HASH_FIND(hh, q->quarantined, &work, sizeof(work), r);
	return r;
}

static void quarantined_free(struct quarantine *q, struct quarantined *r)
{
	if (!r->permit_id)
		DL_DELETE(q->waiting, r);
	HASH_DEL(q->quarantined, r);
	free(r);
}

/* Ends the hold of a request that needs no permit or gets none. */
static void end_hold(struct quarantine *q, struct quarantined *r,
		     enum quarantine_verdict verdict, int64_t now)
{
	uint64_t work = r->work;
	int64_t deadline = r->deadline;

	quarantined_free(q, r);
	if (verdict == QUARANTINE_EXPIRED)
		node_counter_add(q->node, "suspects_out_of_time");
	else if (verdict == QUARANTINE_REFUSE)
		node_counter_add(q->node, "suspects_refused");
	guard_on_quarantine_verdict(q->node->guard, work, verdict, deadline,
				    now);
}

static void send_permit_result(struct quarantine *q,
			       const struct quarantined *r,
			       enum retry_permit_result result)
{
	struct node *node = q->node;
	const struct config_vm *vm = roster_vm(node->roster, r->arbiter);
	struct peer_link *link = vm ? node_get_link(node, vm) : NULL;
	struct peer_message msg;

	suspect_permit_result_to_message(node->self->service->name,
					 &r->fingerprint, r->permit_id, result,
					 &msg);
	/* A permit that is not returned expires at the end of its lifetime. */
	if (!link || peer_transport_send(node->transport, link, &msg))
		node_counter_add(node, "permits_not_returned");
}

static void return_permit(struct quarantine *q, const struct quarantined *r,
			  enum retry_permit_result result, int64_t now)
{
	const struct config_vm *vm = roster_vm(q->node->roster, r->arbiter);

	node_counter_add(q->node, "permits_returned");
	if (vm && node_is_self(q->node, vm))
		retry_arbiter_return_permit(
			q->arbiter, q->peers.service, r->permit_id, result, now,
			service_peers_broadcast_suspect, &q->peers);
	else if (q->node->self)
		send_permit_result(q, r, result);
}

static void apply_permit(struct quarantine *q, struct quarantined *r,
			 uint32_t arbiter, const struct retry_permit *permit,
			 int64_t requested_at, int64_t now)
{
	int64_t permit_expires_at = requested_at + permit->lifetime_us;
	struct retry_suspect_update convicted = {
		.service = q->peers.service,
		.fingerprint = r->fingerprint,
		.state = RETRY_SUSPECT_CONVICTED,
	};

	q->next_request_at = now;
	switch (permit->status) {
	case RETRY_PERMIT_GRANTED:
		node_counter_add(q->node, "permits_used");
		DL_DELETE(q->waiting, r);
		r->permit_id = permit->id;
		r->arbiter = arbiter;
		guard_on_quarantine_verdict(
			q->node->guard, r->work, QUARANTINE_RUN,
			permit_expires_at < r->deadline ? permit_expires_at
							: r->deadline,
			now);
		return;
	case RETRY_PERMIT_BUSY:
		q->next_request_at = now + permit->wait_us;
		return;
	case RETRY_PERMIT_REFUSED:
		retry_suspects_merge(q->suspects, &convicted, now);
		end_hold(q, r, QUARANTINE_REFUSE, now);
		return;
	case RETRY_PERMIT_NOT_NEEDED:
		end_hold(q, r, QUARANTINE_RUN, now);
		return;
	}
}

static void send_permit_request(struct quarantine *q,
				const struct quarantined *r,
				const struct config_vm *vm,
				const struct retry_permit_request *request,
				int64_t now)
{
	struct node *node = q->node;
	struct peer_link *link = node_get_link(node, vm);
	struct peer_message msg = {
		.type = PEER_SUSPECT_ASK,
		.id = ++q->next_request_id,
		.suspect_ask = {
			.service = node->self->service->name,
			.fingerprint = r->fingerprint,
			.state = suspect_state_to_peer(request->suspect.state),
			.round = request->suspect.round,
			.remaining_us = request->remaining_us,
		},
	};

	if (!link || peer_transport_send(node->transport, link, &msg)) {
		q->next_request_at = now + RETRY_PERMIT_POLL_US;
		return;
	}
	node_counter_add(node, "suspect_asks");
	q->pending = (struct permit_request){
		msg.id, r->work, roster_vm_id(node->roster, vm->name), now
	};
}

static void request_permit(struct quarantine *q, struct quarantined *r,
			   int64_t now)
{
	struct retry_permit_request request = { .remaining_us =
							r->deadline - now };
	const struct config_vm *vm;
	struct retry_permit permit;

	retry_suspects_check(q->suspects, q->peers.service, &r->fingerprint,
			     now, &request.suspect);
	service_peers_open_links(&q->peers, now);
	vm = service_peers_arbiter(&q->peers, now);
	if (!vm) {
		q->next_request_at = now + RETRY_PERMIT_POLL_US;
	} else if (node_is_self(q->node, vm)) {
		permit =
			retry_arbiter_request_permit(q->arbiter, &request, now);
		apply_permit(q, r, roster_vm_id(q->node->roster, vm->name),
			     &permit, now, now);
	} else {
		send_permit_request(q, r, vm, &request, now);
	}
}

/*
 * Ends the hold of the first request that need not wait any longer. Returns
 * false when there is none.
 */
static bool end_one_hold(struct quarantine *q, int64_t now)
{
	struct quarantined *r;

	DL_FOREACH(q->waiting, r)
	{
		enum retry_suspect_state state =
			retry_suspects_check(q->suspects, q->peers.service,
					     &r->fingerprint, now, NULL);
		enum quarantine_verdict verdict = QUARANTINE_RUN;

		if (now >= r->deadline)
			verdict = QUARANTINE_EXPIRED;
		else if (state == RETRY_SUSPECT_CONVICTED)
			verdict = QUARANTINE_REFUSE;
		else if (state == RETRY_SUSPECT_SUSPECTED)
			continue;
		end_hold(q, r, verdict, now);
		return true;
	}
	return false;
}

static void on_poll(evutil_socket_t fd, short events, void *arg)
{
	struct quarantine *q = arg;
	int64_t now = base_now_us();

	/*
	 * Restart from the head: on a verdict the guard may end other work
	 * items.
	 */
	while (end_one_hold(q, now))
		;
	if (q->pending.id &&
	    now - q->pending.sent_at >= PERMIT_ANSWER_TIMEOUT_US) {
		node_counter_add(q->node, "suspect_asks_timed_out");
		q->pending.id = 0;
	}
	if (q->waiting && q->node->self && !q->pending.id &&
	    now >= q->next_request_at)
		request_permit(q, q->waiting, now);
	if (q->waiting)
		start_timer(q->timer, POLL_INTERVAL_US);
}

static void on_permit_answer(struct quarantine *q, const struct config_vm *vm,
			     const struct peer_message *msg, int64_t now)
{
	struct retry_permit permit =
		suspect_permit_from_answer(&msg->suspect_answer);
	uint32_t arbiter = roster_vm_id(q->node->roster, vm->name);
	struct quarantined *r = NULL;
	struct quarantined unwanted = { .arbiter = arbiter,
					.permit_id = permit.id };
	struct permit_request pending = q->pending;

	if (msg->id == pending.id && pending.vm == arbiter) {
		q->pending.id = 0;
		r = find_quarantined(q, pending.work);
	}
	if (r && !r->permit_id) {
		apply_permit(q, r, arbiter, &permit, pending.sent_at, now);
		return;
	}
	node_counter_add(q->node, "suspect_answers_late");
	if (permit.status == RETRY_PERMIT_GRANTED)
		return_permit(q, &unwanted, RETRY_PERMIT_UNUSED, now);
}

enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t work,
					 const struct peer_request *request,
					 int64_t deadline, int64_t now)
{
	struct retry_suspect_update known;
	enum retry_suspect_state state;
	struct quarantined *r;
	struct base_digest fingerprint;

	if (!retry_suspects_count(q->suspects) || !q->node->self)
		return QUARANTINE_RUN;
	fingerprint = suspect_fingerprint(request);
	state = retry_suspects_check(q->suspects, q->peers.service,
				     &fingerprint, now, &known);
	if (state == RETRY_SUSPECT_CONVICTED) {
		node_counter_add(q->node, "suspects_refused");
		return QUARANTINE_REFUSE;
	}
	if (state != RETRY_SUSPECT_SUSPECTED ||
	    known.round <= q->node->dialect->permit_free_deaths)
		return QUARANTINE_RUN;
	node_counter_add(q->node, "suspects_held");
	r = base_alloc(sizeof(*r));
	r->work = work;
	r->fingerprint = fingerprint;
	r->deadline = deadline;
	HASH_ADD(hh, q->quarantined, work, sizeof(r->work), r);
	DL_APPEND(q->waiting, r);
	event_active(q->timer, EV_TIMEOUT, 0);
	return QUARANTINE_HOLD;
}

void quarantine_work_succeeded(struct quarantine *q, uint64_t work,
			       const struct peer_request *request, int64_t now)
{
	struct quarantined *r = find_quarantined(q, work);
	struct base_digest fingerprint;

	if (!retry_suspects_count(q->suspects) || !q->node->self)
		return;
	fingerprint = suspect_fingerprint(request);
	if (r && r->permit_id) {
		return_permit(q, r, RETRY_PERMIT_SUCCEEDED, now);
		quarantined_free(q, r);
	}
	retry_suspects_record_success(
		q->suspects, q->peers.service, &fingerprint, now,
		service_peers_broadcast_suspect, &q->peers);
}

void quarantine_work_ended(struct quarantine *q, uint64_t work)
{
	struct quarantined *r = find_quarantined(q, work);

	if (!r)
		return;
	if (r->permit_id)
		return_permit(q, r, RETRY_PERMIT_UNUSED, base_now_us());
	quarantined_free(q, r);
}

static void delayed_failures_free(struct delayed_failures *failures)
{
	DL_DELETE(failures->q->delayed, failures);
	event_free(failures->timer);
	free(failures->works);
	free(failures);
}

static void on_failure_timer(evutil_socket_t fd, short events, void *arg)
{
	struct delayed_failures *failures = arg;
	struct guard *guard = failures->q->node->guard;
	int64_t now = base_now_us();
	uint64_t *works = failures->works;
	size_t count = failures->count;

	if (now < failures->latest_at && failures->q->node->self &&
	    !service_peers_open_links(&failures->q->peers, now)) {
		start_timer(failures->timer, FAILURE_DELAY_US);
		return;
	}
	failures->works = NULL;
	delayed_failures_free(failures);
	guard_fail_lost_work(guard, works, count, now);
	free(works);
}

static void delay_failures(struct quarantine *q,
			   const struct quarantine_lost_request *lost,
			   size_t count, int64_t now)
{
	struct delayed_failures *failures = base_alloc(sizeof(*failures));
	size_t i;

	failures->q = q;
	failures->latest_at = now + FAILURE_DELAY_MAX_US;
	failures->works = base_alloc_array(count, sizeof(*failures->works));
	failures->count = count;
	for (i = 0; i < count; i++)
		failures->works[i] = lost[i].work;
	failures->timer =
		evtimer_new(q->node->base, on_failure_timer, failures);
	DL_APPEND(q->delayed, failures);
	start_timer(failures->timer, FAILURE_DELAY_US);
}

void quarantine_server_died(struct quarantine *q,
			    const struct quarantine_lost_request *lost,
			    size_t count, int64_t now)
{
	struct base_digest *all = base_alloc_array(count, sizeof(*all));
	struct base_digest *permitted =
		base_alloc_array(count, sizeof(*permitted));
	struct retry_server_death death = { .service = q->peers.service,
					    .in_flight = all,
					    .in_flight_len = count,
					    .permitted = permitted };
	struct quarantined *r;
	size_t i;

	for (i = 0; i < count; i++) {
		all[i] = suspect_fingerprint(lost[i].request);
		r = find_quarantined(q, lost[i].work);
		if (r && r->permit_id)
			permitted[death.permitted_len++] = all[i];
	}
	if (q->node->self) {
		service_peers_open_links(&q->peers, now);
		retry_suspects_record_server_death(
			q->suspects, &death, now,
			service_peers_broadcast_suspect, &q->peers);
	}
	for (i = 0; i < count; i++) {
		r = find_quarantined(q, lost[i].work);
		if (!r || !r->permit_id)
			continue;
		return_permit(q, r, RETRY_PERMIT_SERVER_DIED, now);
		quarantined_free(q, r);
	}
	free(all);
	free(permitted);
	delay_failures(q, lost, count, now);
}

static void serve_permit_request(struct quarantine *q,
				 const struct peer_remote *remote,
				 const struct peer_message *msg,
				 const struct peer_receive_info *receive_info)
{
	struct node *node = q->node;
	int64_t now = receive_info->received_at;
	struct retry_permit_request request =
		suspect_permit_request_from_message(&msg->suspect_ask,
						    q->peers.service);
	struct retry_permit permit = { .status = RETRY_PERMIT_BUSY,
				       .wait_us = RETRY_PERMIT_POLL_US };
	struct peer_message out = { .type = PEER_SUSPECT_ANSWER,
				    .id = msg->id };
	const struct config_vm *vm;

	request.remaining_us -= receive_info->age_us;
	service_peers_open_links(&q->peers, now);
	vm = service_peers_arbiter(&q->peers, now);
	if (vm && node_is_self(node, vm) && request.remaining_us > 0)
		permit =
			retry_arbiter_request_permit(q->arbiter, &request, now);
	if (permit.status == RETRY_PERMIT_GRANTED)
		node_counter_add(node, "permits_granted");
	out.suspect_answer = suspect_permit_to_answer(&permit);
	if (peer_transport_reply(node->transport, remote, &out) &&
	    permit.status == RETRY_PERMIT_GRANTED)
		retry_arbiter_return_permit(q->arbiter, q->peers.service,
					    permit.id, RETRY_PERMIT_UNUSED, now,
					    service_peers_broadcast_suspect,
					    &q->peers);
}

static bool is_own_service(const struct quarantine *q, struct base_str name)
{
	return q->node->self &&
	       base_str_equal(q->node->self->service->name, name);
}

void quarantine_on_remote(struct quarantine *q,
			  const struct peer_remote *remote,
			  const struct peer_message *msg,
			  const struct peer_receive_info *receive_info)
{
	const struct peer_suspect *s = &msg->suspect;

	if (msg->type == PEER_SUSPECT_ASK) {
		if (is_own_service(q, msg->suspect_ask.service))
			serve_permit_request(q, remote, msg, receive_info);
		return;
	}
	if (!is_own_service(q, s->service)) {
		if (q->node->self)
			suspect_keepers_store(q->keepers, s,
					      receive_info->received_at);
		return;
	}
	if (s->permit_id)
		retry_arbiter_return_permit(
			q->arbiter, q->peers.service, s->permit_id,
			suspect_permit_result_from_peer(s->state),
			receive_info->received_at,
			service_peers_broadcast_suspect, &q->peers);
	else
		merge_update(q, s, receive_info->received_at);
}

void quarantine_on_link_message(struct quarantine *q,
				const struct config_vm *vm,
				const struct peer_message *msg, int64_t now)
{
	if (msg->type == PEER_SUSPECT_ANSWER)
		on_permit_answer(q, vm, msg, now);
	else if (is_own_service(q, msg->suspect.service))
		merge_update(q, &msg->suspect, now);
}

void quarantine_on_hello(struct quarantine *q, const struct peer_remote *remote,
			 const struct peer_hello *hello, int64_t now)
{
	const struct config_vm *vm;

	if (!q->node->self)
		return;
	vm = config_snapshot_find_vm(q->node->snapshot, hello->vm);
	if (service_peers_contains(&q->peers, vm))
		service_peers_send_suspects(&q->peers, NULL, remote, now);
	else if (vm)
		suspect_keepers_send(q->keepers, vm, NULL, remote, now);
}

void quarantine_on_link_up(struct quarantine *q, const struct config_vm *vm,
			   int64_t now)
{
	struct peer_link *link =
		peer_transport_find_link(q->node->transport, vm->address);

	if (!service_peers_contains(&q->peers, vm)) {
		if (link && q->node->self)
			suspect_keepers_send(q->keepers, vm, link, NULL, now);
		return;
	}
	if (link)
		service_peers_send_suspects(&q->peers, link, NULL, now);
	service_peers_arbiter(&q->peers, now);
}

void quarantine_on_link_down(struct quarantine *q, const struct config_vm *vm,
			     int64_t now)
{
	if (!service_peers_contains(&q->peers, vm))
		return;
	service_peers_arbiter(&q->peers, now);
	if (q->pending.id &&
	    q->pending.vm == roster_vm_id(q->node->roster, vm->name))
		q->pending.id = 0;
}

void quarantine_on_resume(struct quarantine *q, int64_t now)
{
	/* Another daemon may have been the arbiter during the pause. */
	q->peers.is_arbiter = false;
	if (q->node->self)
		service_peers_arbiter(&q->peers, now);
}

void quarantine_configure(struct quarantine *q, int64_t now)
{
	const struct config_vm *self = q->node->self;
	uint32_t service;

	if (!self)
		return;
	service = roster_service_id(q->node->roster, self->service->name);
	if (service != q->peers.service) {
		q->peers.is_arbiter = false;
		suspect_keepers_ask(q->keepers, now);
	}
	q->peers.service = service;
	/*
	 * A new arbiter grants no permit for RETRY_PERMIT_MAX_US. Before links
	 * are open, this daemon may become the arbiter at once, so that in a
	 * newly started fleet this time passes before a permit is needed.
	 */
	service_peers_arbiter(&q->peers, now);
	/* Other guards send their suspects when the link comes up. */
	service_peers_open_links(&q->peers, now);
}

struct quarantine *quarantine_create(struct node *node)
{
	struct quarantine *q = base_alloc(sizeof(*q));

	q->node = node;
	q->suspects = retry_suspects_create();
	q->arbiter = retry_arbiter_create(q->suspects, node->incarnation);
	q->keepers = suspect_keepers_create(node);
	q->peers = (struct service_peers){
		.node = node,
		.keepers = q->keepers,
		.suspects = q->suspects,
		.arbiter = q->arbiter,
		.service = UINT32_MAX,
	};
	q->timer = evtimer_new(node->base, on_poll, q);
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	struct quarantined *r, *next;

	if (!q)
		return;
	while (q->delayed)
		delayed_failures_free(q->delayed);
	HASH_ITER (hh, q->quarantined, r, next)
		quarantined_free(q, r);
	suspect_keepers_destroy(q->keepers);
	retry_arbiter_destroy(q->arbiter);
	retry_suspects_destroy(q->suspects);
	event_free(q->timer);
	free(q);
}
