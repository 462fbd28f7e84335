/* Suspects: held requests, permits, and news to the guards of the service. */
#include "quarantine.h"
#include "guard.h"
#include "roster.h"
#include "service_peers.h"
#include "suspect_messages.h"

#include <uthash.h>
#include <utlist.h>

/* Between two looks at held requests. */
#define TICK_US (10 * BASE_MS_US)
/* An ask without an answer is sent again after this time. */
#define ASK_WAIT_US (250 * BASE_MS_US)
/*
 * Failures after a death are answered after this time, so that the news reaches
 * the other guards before the callers can send the requests again.
 */
#define NEWS_LEAD_US (5 * BASE_MS_US)
/* The same at most, while a guard of the service cannot be told. */
#define NEWS_WAIT_US (100 * BASE_MS_US)

/* A request that waits for a permit or runs with one. */
struct held {
	uint64_t work;
	struct base_digest fingerprint;
	int64_t deadline;
	/* 0 while it waits. */
	uint64_t permit_id;
	/* The VM that granted the permit. */
	uint32_t arbiter;
	/* In the order of arrival, while it waits. */
	struct held *prev, *next;
	UT_hash_handle hh;
};

/* Works of one death whose failures are not answered yet. */
struct lost_group {
	struct quarantine *q;
	struct event *timer;
	uint64_t *works;
	size_t count;
	int64_t until;
	struct lost_group *prev, *next;
};

/* The one ask that is outstanding; id 0 for none. */
struct ask {
	uint64_t id;
	uint64_t work;
	uint32_t vm;
	int64_t at;
};

struct quarantine {
	struct node *node;
	struct retry_suspects *suspects;
	struct retry_arbiter *arbiter;
	struct service_peers peers;
	struct held *held;
	struct held *waiting;
	struct ask ask;
	uint64_t next_ask_id;
	int64_t next_ask_at;
	struct event *timer;
	struct lost_group *lost;
};

static void learn(struct quarantine *q, const struct peer_suspect *suspect,
		  int64_t now)
{
	struct retry_suspect_update news =
		suspect_news_of(suspect, q->peers.service);

	if (news.state == RETRY_SUSPECT_NONE ||
	    !retry_suspects_merge(q->suspects, &news, now))
		return;
	node_count(q->node, "suspect_news_learned");
	if (q->waiting)
		event_active(q->timer, EV_TIMEOUT, 0);
}

/* ---- Held requests ---- */

static void arm(struct event *timer, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(timer, &tv);
}

static struct held *find_held(struct quarantine *q, uint64_t work)
{
	struct held *h;

	HASH_FIND(hh, q->held, &work, sizeof(work), h);
	return h;
}

static void held_free(struct quarantine *q, struct held *h)
{
	if (!h->permit_id)
		DL_DELETE(q->waiting, h);
	HASH_DEL(q->held, h);
	free(h);
}

/* Ends the wait of a request that needs no permit, or gets none. */
static void let_go(struct quarantine *q, struct held *h,
		   enum quarantine_verdict verdict, int64_t now)
{
	uint64_t work = h->work;
	int64_t deadline = h->deadline;

	held_free(q, h);
	if (verdict == QUARANTINE_LATE)
		node_count(q->node, "suspects_out_of_time");
	else if (verdict == QUARANTINE_REFUSE)
		node_count(q->node, "suspects_refused");
	guard_on_quarantine_verdict(q->node->guard, work, verdict, deadline,
				    now);
}

static void send_permit_end(struct quarantine *q, const struct held *h,
			    enum retry_permit_result end)
{
	struct node *node = q->node;
	const struct config_vm *vm = roster_vm(node->roster, h->arbiter);
	struct peer_link *link = vm ? node_link(node, vm) : NULL;
	struct peer_message msg;

	suspect_end_message(node->self->service->name, &h->fingerprint,
			    h->permit_id, end, &msg);
	/* One that is not returned ends by itself after its lifetime. */
	if (!link || peer_transport_send(node->transport, link, &msg))
		node_count(node, "permits_not_returned");
}

static void return_permit(struct quarantine *q, const struct held *h,
			  enum retry_permit_result end, int64_t now)
{
	const struct config_vm *vm = roster_vm(q->node->roster, h->arbiter);

	node_count(q->node, "permits_returned");
	if (vm && node_is_self(q->node, vm))
		retry_arbiter_return_permit(
			q->arbiter, q->peers.service, h->permit_id, end, now,
			service_peers_broadcast_suspect, &q->peers);
	else if (q->node->self)
		send_permit_end(q, h, end);
}

static void apply_permit(struct quarantine *q, struct held *h, uint32_t arbiter,
			 const struct retry_permit *permit, int64_t asked_at,
			 int64_t now)
{
	int64_t ends_at = asked_at + permit->lifetime_us;
	struct retry_suspect_update convicted = {
		.service = q->peers.service,
		.fingerprint = h->fingerprint,
		.state = RETRY_SUSPECT_CONVICTED,
	};

	q->next_ask_at = now;
	switch (permit->status) {
	case RETRY_PERMIT_GRANTED:
		node_count(q->node, "permits_used");
		DL_DELETE(q->waiting, h);
		h->permit_id = permit->id;
		h->arbiter = arbiter;
		guard_on_quarantine_verdict(
			q->node->guard, h->work, QUARANTINE_RUN,
			ends_at < h->deadline ? ends_at : h->deadline, now);
		return;
	case RETRY_PERMIT_BUSY:
		q->next_ask_at = now + permit->wait_us;
		return;
	case RETRY_PERMIT_REFUSED:
		retry_suspects_merge(q->suspects, &convicted, now);
		let_go(q, h, QUARANTINE_REFUSE, now);
		return;
	case RETRY_PERMIT_NOT_NEEDED:
		let_go(q, h, QUARANTINE_RUN, now);
		return;
	}
}

static void ask_remote(struct quarantine *q, const struct held *h,
		       const struct config_vm *vm,
		       const struct retry_permit_request *ask, int64_t now)
{
	struct node *node = q->node;
	struct peer_link *link = node_link(node, vm);
	struct peer_message msg = {
		.type = PEER_SUSPECT_ASK,
		.id = ++q->next_ask_id,
		.suspect_ask = {
			.service = node->self->service->name,
			.fingerprint = h->fingerprint,
			.state = suspect_state_of(ask->suspect.state),
			.round = ask->suspect.round,
			.remaining_us = ask->remaining_us,
		},
	};

	if (!link || peer_transport_send(node->transport, link, &msg)) {
		q->next_ask_at = now + RETRY_PERMIT_POLL_US;
		return;
	}
	node_count(node, "suspect_asks");
	q->ask = (struct ask){ msg.id, h->work,
			       roster_vm_id(node->roster, vm->name), now };
}

static void ask_for(struct quarantine *q, struct held *h, int64_t now)
{
	struct retry_permit_request ask = { .remaining_us = h->deadline - now };
	const struct config_vm *vm;
	struct retry_permit permit;

	retry_suspects_check(q->suspects, q->peers.service, &h->fingerprint,
			     now, &ask.suspect);
	service_peers_open_links(&q->peers, now);
	vm = service_peers_arbiter(&q->peers, now);
	if (!vm) {
		q->next_ask_at = now + RETRY_PERMIT_POLL_US;
	} else if (node_is_self(q->node, vm)) {
		permit = retry_arbiter_request_permit(q->arbiter, &ask, now);
		apply_permit(q, h, roster_vm_id(q->node->roster, vm->name),
			     &permit, now, now);
	} else {
		ask_remote(q, h, vm, &ask, now);
	}
}

/* Lets go of one request whose wait is over; false when there is none. */
static bool let_go_one(struct quarantine *q, int64_t now)
{
	struct held *h;

	DL_FOREACH(q->waiting, h)
	{
		enum retry_suspect_state state =
			retry_suspects_check(q->suspects, q->peers.service,
					     &h->fingerprint, now, NULL);
		enum quarantine_verdict verdict = QUARANTINE_RUN;

		if (now >= h->deadline)
			verdict = QUARANTINE_LATE;
		else if (state == RETRY_SUSPECT_CONVICTED)
			verdict = QUARANTINE_REFUSE;
		else if (state == RETRY_SUSPECT_SUSPECTED)
			continue;
		let_go(q, h, verdict, now);
		return true;
	}
	return false;
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	struct quarantine *q = arg;
	int64_t now = base_now_us();

	/* Starts over each time, because the guard may end other works. */
	while (let_go_one(q, now))
		;
	if (q->ask.id && now - q->ask.at >= ASK_WAIT_US) {
		node_count(q->node, "suspect_asks_timed_out");
		q->ask.id = 0;
	}
	if (q->waiting && q->node->self && !q->ask.id && now >= q->next_ask_at)
		ask_for(q, q->waiting, now);
	if (q->waiting)
		arm(q->timer, TICK_US);
}

static void on_permit_answer(struct quarantine *q, const struct config_vm *vm,
			     const struct peer_message *msg, int64_t now)
{
	struct retry_permit permit = suspect_permit_of(&msg->suspect_answer);
	uint32_t arbiter = roster_vm_id(q->node->roster, vm->name);
	struct held *h = NULL;
	struct held unwanted = { .arbiter = arbiter, .permit_id = permit.id };
	struct ask ask = q->ask;

	if (msg->id == ask.id && ask.vm == arbiter) {
		q->ask.id = 0;
		h = find_held(q, ask.work);
	}
	if (h && !h->permit_id) {
		apply_permit(q, h, arbiter, &permit, ask.at, now);
		return;
	}
	node_count(q->node, "suspect_answers_late");
	if (permit.status == RETRY_PERMIT_GRANTED)
		return_permit(q, &unwanted, RETRY_PERMIT_UNUSED, now);
}

enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t work,
					 const struct peer_request *request,
					 int64_t deadline, int64_t now)
{
	struct retry_suspect_update known;
	enum retry_suspect_state state;
	struct held *h;
	struct base_digest fp;

	if (!retry_suspects_count(q->suspects) || !q->node->self)
		return QUARANTINE_RUN;
	fp = suspect_fingerprint(request);
	state = retry_suspects_check(q->suspects, q->peers.service, &fp, now,
				     &known);
	if (state == RETRY_SUSPECT_CONVICTED) {
		node_count(q->node, "suspects_refused");
		return QUARANTINE_REFUSE;
	}
	if (state != RETRY_SUSPECT_SUSPECTED ||
	    known.round <= q->node->dialect->free_suspect_rounds)
		return QUARANTINE_RUN;
	node_count(q->node, "suspects_held");
	h = base_alloc(sizeof(*h));
	h->work = work;
	h->fingerprint = fp;
	h->deadline = deadline;
	HASH_ADD(hh, q->held, work, sizeof(h->work), h);
	DL_APPEND(q->waiting, h);
	event_active(q->timer, EV_TIMEOUT, 0);
	return QUARANTINE_HOLD;
}

void quarantine_work_succeeded(struct quarantine *q, uint64_t work,
			       const struct peer_request *request, int64_t now)
{
	struct held *h = find_held(q, work);
	struct base_digest fp;

	if (!retry_suspects_count(q->suspects) || !q->node->self)
		return;
	fp = suspect_fingerprint(request);
	if (h && h->permit_id) {
		return_permit(q, h, RETRY_PERMIT_SUCCEEDED, now);
		held_free(q, h);
	}
	retry_suspects_record_success(q->suspects, q->peers.service, &fp, now,
				      service_peers_broadcast_suspect,
				      &q->peers);
}

void quarantine_work_ended(struct quarantine *q, uint64_t work)
{
	struct held *h = find_held(q, work);

	if (!h)
		return;
	if (h->permit_id)
		return_permit(q, h, RETRY_PERMIT_UNUSED, base_now_us());
	held_free(q, h);
}

static void group_free(struct lost_group *group)
{
	DL_DELETE(group->q->lost, group);
	event_free(group->timer);
	free(group->works);
	free(group);
}

static void on_group_timer(evutil_socket_t fd, short events, void *arg)
{
	struct lost_group *group = arg;
	struct guard *guard = group->q->node->guard;
	int64_t now = base_now_us();
	uint64_t *works = group->works;
	size_t count = group->count;

	if (now < group->until && group->q->node->self &&
	    !service_peers_open_links(&group->q->peers, now)) {
		arm(group->timer, NEWS_LEAD_US);
		return;
	}
	group->works = NULL;
	group_free(group);
	guard_fail_lost_work(guard, works, count, now);
	free(works);
}

static void fail_later(struct quarantine *q,
		       const struct quarantine_lost_request *lost, size_t count,
		       int64_t now)
{
	struct lost_group *group = base_alloc(sizeof(*group));
	size_t i;

	group->q = q;
	group->until = now + NEWS_WAIT_US;
	group->works = base_alloc_array(count, sizeof(*group->works));
	group->count = count;
	for (i = 0; i < count; i++)
		group->works[i] = lost[i].work;
	group->timer = evtimer_new(q->node->base, on_group_timer, group);
	DL_APPEND(q->lost, group);
	arm(group->timer, NEWS_LEAD_US);
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
	struct held *h;
	size_t i;

	for (i = 0; i < count; i++) {
		all[i] = suspect_fingerprint(lost[i].request);
		h = find_held(q, lost[i].work);
		if (h && h->permit_id)
			permitted[death.permitted_len++] = all[i];
	}
	if (q->node->self) {
		service_peers_open_links(&q->peers, now);
		retry_suspects_record_server_death(
			q->suspects, &death, now,
			service_peers_broadcast_suspect, &q->peers);
	}
	for (i = 0; i < count; i++) {
		h = find_held(q, lost[i].work);
		if (!h || !h->permit_id)
			continue;
		return_permit(q, h, RETRY_PERMIT_SERVER_DIED, now);
		held_free(q, h);
	}
	free(all);
	free(permitted);
	fail_later(q, lost, count, now);
}

static void serve_ask(struct quarantine *q, const struct peer_remote *remote,
		      const struct peer_message *msg,
		      const struct peer_receipt *receipt)
{
	struct node *node = q->node;
	int64_t now = receipt->received_at;
	struct retry_permit_request ask =
		suspect_ask_of(&msg->suspect_ask, q->peers.service);
	struct retry_permit permit = { .status = RETRY_PERMIT_BUSY,
				       .wait_us = RETRY_PERMIT_POLL_US };
	struct peer_message out = { .type = PEER_SUSPECT_ANSWER,
				    .id = msg->id };
	const struct config_vm *vm;

	ask.remaining_us -= receipt->age_us;
	service_peers_open_links(&q->peers, now);
	vm = service_peers_arbiter(&q->peers, now);
	if (vm && node_is_self(node, vm) && ask.remaining_us > 0)
		permit = retry_arbiter_request_permit(q->arbiter, &ask, now);
	if (permit.status == RETRY_PERMIT_GRANTED)
		node_count(node, "permits_granted");
	out.suspect_answer = suspect_answer_of(&permit);
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
			  const struct peer_receipt *receipt)
{
	const struct peer_suspect *s = &msg->suspect;

	if (msg->type == PEER_SUSPECT_ASK) {
		if (is_own_service(q, msg->suspect_ask.service))
			serve_ask(q, remote, msg, receipt);
		return;
	}
	if (!is_own_service(q, s->service))
		return;
	if (s->permit_id)
		retry_arbiter_return_permit(
			q->arbiter, q->peers.service, s->permit_id,
			suspect_end_of(s->state), receipt->received_at,
			service_peers_broadcast_suspect, &q->peers);
	else
		learn(q, s, receipt->received_at);
}

void quarantine_on_link_message(struct quarantine *q,
				const struct config_vm *vm,
				const struct peer_message *msg, int64_t now)
{
	if (msg->type == PEER_SUSPECT_ANSWER)
		on_permit_answer(q, vm, msg, now);
	else if (is_own_service(q, msg->suspect.service))
		learn(q, &msg->suspect, now);
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
}

void quarantine_on_link_up(struct quarantine *q, const struct config_vm *vm,
			   int64_t now)
{
	struct peer_link *link;

	if (!service_peers_contains(&q->peers, vm))
		return;
	link = peer_transport_find(q->node->transport, vm->address);
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
	if (q->ask.id && q->ask.vm == roster_vm_id(q->node->roster, vm->name))
		q->ask.id = 0;
}

void quarantine_on_resume(struct quarantine *q, int64_t now)
{
	/* Another daemon may have been the arbiter meanwhile. */
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
	if (service != q->peers.service)
		q->peers.is_arbiter = false;
	q->peers.service = service;
	/* Before links are open, so that a fresh fleet need not wait later. */
	service_peers_arbiter(&q->peers, now);
	/* Guards that know suspects tell them on connecting. */
	service_peers_open_links(&q->peers, now);
}

struct quarantine *quarantine_create(struct node *node)
{
	struct quarantine *q = base_alloc(sizeof(*q));

	q->node = node;
	q->suspects = retry_suspects_create();
	q->arbiter = retry_arbiter_create(q->suspects, node->incarnation);
	q->peers = (struct service_peers){
		.node = node,
		.suspects = q->suspects,
		.arbiter = q->arbiter,
		.service = UINT32_MAX,
	};
	q->timer = evtimer_new(node->base, on_tick, q);
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	struct held *h, *next;

	if (!q)
		return;
	while (q->lost)
		group_free(q->lost);
	HASH_ITER (hh, q->held, h, next)
		held_free(q, h);
	retry_arbiter_destroy(q->arbiter);
	retry_suspects_destroy(q->suspects);
	event_free(q->timer);
	free(q);
}
