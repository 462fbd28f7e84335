/* Claims of idempotency keys: as owner of a key, and for the local entry. */
#include "claims.h"
#include "entry.h"
#include "ledger.h"
#include "membership.h"
#include "owner.h"
#include "roster.h"

#include <uthash.h>
#include <utlist.h>

/* Longest time that an entry waits for the answer of the owner. */
#define CLAIM_TIMEOUT_US (500 * BASE_MS_US)
/* A cancelled claim is kept for this time, to release it on a late NEW. */
#define LATE_ANSWER_RETENTION_US (30 * BASE_SECOND_US)

/* The end of a claim is kept for this time while its owner is unreachable. */
#define CLAIM_END_RETENTION_US (30 * BASE_SECOND_US)
#define CLAIM_ENDS_MAX 1024

enum pending_state {
	/* Waits for the link to the owner. */
	PENDING_UNSENT,
	PENDING_SENT,
	/* The entry no longer waits for the answer. */
	PENDING_CANCELLED,
};

/* A claim at a remote owner. The request number is the message id. */
struct pending {
	uint64_t request;
	struct claims *claims;
	enum pending_state state;
	uint32_t vm;
	struct base_buf account;
	struct base_buf key;
	struct base_digest fingerprint;
	int64_t deadline;
	struct event *timer;
	UT_hash_handle hh;
};

/* A claim that the local entry holds, with the owner that accepted it. */
struct held_claim {
	/* Hash of key and claim id; two owners may choose the same claim id. */
	uint64_t id;
	uint32_t vm;
	UT_hash_handle hh;
};

/* A complete or release message that waits for the link to the owner. */
struct claim_end {
	uint32_t vm;
	int64_t expires_at;
	struct base_buf bytes;
	struct claim_end *prev, *next;
};

struct claims {
	struct node *node;
	struct ledger *ledger;
	struct pending *pending;
	struct held_claim *held;
	struct claim_end *ends;
	size_t end_count;
};

/* ---- Claims of remote entries at this owner ---- */

static void serve_claim(struct claims *c, const struct peer_remote *remote,
			const struct peer_message *msg,
			const struct peer_receive_info *receive_info)
{
	struct peer_message stored = { 0 };
	int64_t left_us = msg->claim.remaining_us - receive_info->age_us;
	struct peer_message out = {
		.type = PEER_CLAIM_ANSWER,
		.id = msg->id,
	};

	out.claim_answer = ledger_claim(c->ledger, &msg->claim,
					receive_info->received_at + left_us,
					receive_info->received_at, &stored);
	if (peer_transport_reply(c->node->transport, remote, &out)) {
		node_counter_add(c->node, "claim_answers_undeliverable");
		/* Without an answer the entry refuses it as not run. */
		if (out.claim_answer.result == PEER_CLAIM_NEW)
			ledger_release(c->ledger, out.claim_answer.claim_id);
	}
	peer_message_release(&stored);
}

void claims_on_remote(struct claims *claims, const struct peer_remote *remote,
		      const struct peer_message *msg,
		      const struct peer_receive_info *receive_info)
{
	if (msg->type == PEER_CLAIM)
		serve_claim(claims, remote, msg, receive_info);
	else if (msg->type == PEER_RELEASE)
		ledger_release(claims->ledger, msg->release.claim_id);
	else if (msg->type == PEER_COMPLETE &&
		 msg->complete.outcome == PEER_OUTCOME_RAN)
		ledger_complete(claims->ledger, msg->complete.claim_id,
				&msg->complete.stored,
				receive_info->received_at);
}

/* ---- Claims of the local entry ---- */

static uint64_t held_claim_id(struct base_str key, uint64_t claim_id)
{
	return base_hash64(key, claim_id);
}

static void add_held(struct claims *c, struct base_str key, uint64_t claim_id,
		     uint32_t vm)
{
	uint64_t id = held_claim_id(key, claim_id);
	struct held_claim *h;

	HASH_FIND(hh, c->held, &id, sizeof(id), h);
	if (h) {
		h->vm = vm;
		return;
	}
	h = base_alloc(sizeof(*h));
	h->id = id;
	h->vm = vm;
	HASH_ADD(hh, c->held, id, sizeof(h->id), h);
}

/* Removes a held claim. Returns its owner, NULL when unknown. */
static const struct config_vm *take_held(struct claims *c, struct base_str key,
					 uint64_t claim_id)
{
	uint64_t id = held_claim_id(key, claim_id);
	struct held_claim *h;
	uint32_t vm;

	HASH_FIND(hh, c->held, &id, sizeof(id), h);
	if (!h)
		return NULL;
	vm = h->vm;
	HASH_DEL(c->held, h);
	free(h);
	return roster_vm(c->node->roster, vm);
}

static enum peer_status send_to_owner(struct claims *c,
				      const struct config_vm *vm,
				      struct peer_message *msg, int64_t now)
{
	struct peer_link *link = node_get_link(c->node, vm);

	if (!link)
		return PEER_ERR_UNREACHABLE;
	membership_record_link_use(c->node->membership, link, now);
	return peer_transport_send(c->node->transport, link, msg);
}

static void pending_free(struct pending *p)
{
	HASH_DEL(p->claims->pending, p);
	event_free(p->timer);
	base_buf_release(&p->account);
	base_buf_release(&p->key);
	free(p);
}

static void start_timer(struct pending *p, int64_t us)
{
	struct timeval tv;

	if (us < 1)
		us = 1;
	tv = (struct timeval){ .tv_sec = us / BASE_SECOND_US,
			       .tv_usec = us % BASE_SECOND_US };
	event_add(p->timer, &tv);
}

/* Reports to the entry that there is no answer; keeps a claim that was sent. */
static void fail_claim(struct pending *p, const char *counter)
{
	struct entry *entry = p->claims->node->entry;
	uint64_t request = p->request;

	node_counter_add(p->claims->node, counter);
	if (p->state == PENDING_SENT) {
		p->state = PENDING_CANCELLED;
		start_timer(p, LATE_ANSWER_RETENTION_US);
	} else {
		pending_free(p);
	}
	entry_on_claim_answer(entry, request, NULL);
}

static void on_pending_timer(evutil_socket_t fd, short events, void *arg)
{
	struct pending *p = arg;

	if (p->state == PENDING_CANCELLED)
		pending_free(p);
	else
		fail_claim(p, "claims_timed_out");
}

static enum peer_status send_claim(struct pending *p, int64_t now)
{
	struct claims *c = p->claims;
	const struct config_vm *vm = roster_vm(c->node->roster, p->vm);
	struct peer_message msg = {
		.type = PEER_CLAIM,
		.id = p->request,
		.claim = {
			.account = base_buf_str(&p->account),
			.key = base_buf_str(&p->key),
			.fingerprint = p->fingerprint,
			.remaining_us = p->deadline - now,
		},
	};
	enum peer_status status;

	if (!vm)
		return PEER_ERR_UNREACHABLE;
	status = send_to_owner(c, vm, &msg, now);
	if (status == PEER_OK)
		p->state = PENDING_SENT;
	return status;
}

static struct pending *find_open(struct claims *c, uint32_t vm,
				 bool unsent_only)
{
	struct pending *p, *next;

	HASH_ITER (hh, c->pending, p, next)
		if (p->vm == vm && (p->state == PENDING_UNSENT ||
				    (!unsent_only && p->state == PENDING_SENT)))
			return p;
	return NULL;
}

static void claim_remote(struct claims *c, const struct config_vm *vm,
			 const struct claims_request *request, int64_t deadline,
			 int64_t now)
{
	struct pending *p = base_alloc(sizeof(*p));
	uint32_t id = roster_vm_id(c->node->roster, vm->name);
	bool connecting =
		find_open(c, id, true) ||
		!peer_transport_find_link(c->node->transport, vm->address);

	p->claims = c;
	p->request = request->request;
	p->vm = id;
	p->fingerprint = request->fingerprint;
	p->deadline = deadline;
	base_buf_add_str(&p->account, request->account);
	base_buf_add_str(&p->key, request->key);
	p->timer = evtimer_new(c->node->base, on_pending_timer, p);
	HASH_ADD(hh, c->pending, request, sizeof(p->request), p);
	if (send_claim(p, now) == PEER_OK || connecting)
		start_timer(p, deadline - now);
	else
		fail_claim(p, "claims_unsent");
}

static void claim_local(struct claims *c, const struct config_vm *self,
			const struct claims_request *request, int64_t deadline,
			int64_t now)
{
	struct peer_message stored = { 0 };
	struct peer_claim claim = {
		.account = request->account,
		.key = request->key,
		.fingerprint = request->fingerprint,
	};
	struct peer_claim_answer answer =
		ledger_claim(c->ledger, &claim, deadline, now, &stored);

	if (answer.result == PEER_CLAIM_NEW)
		add_held(c, request->key, answer.claim_id,
			 roster_vm_id(c->node->roster, self->name));
	entry_on_claim_answer(c->node->entry, request->request, &answer);
	peer_message_release(&stored);
}

void claims_submit(struct claims *claims, const struct claims_request *request,
		   int64_t now)
{
	struct node *node = claims->node;
	const struct config_vm *owner =
		node->snapshot ? owner_find(node->snapshot, request->account,
					    request->key)
			       : NULL;
	int64_t deadline = now + CLAIM_TIMEOUT_US;

	if (deadline > request->deadline)
		deadline = request->deadline;
	if (!owner)
		entry_on_claim_answer(node->entry, request->request, NULL);
	else if (node_is_self(node, owner))
		claim_local(claims, owner, request, deadline, now);
	else
		claim_remote(claims, owner, request, deadline, now);
}

static void claim_end_free(struct claims *c, struct claim_end *e)
{
	DL_DELETE(c->ends, e);
	c->end_count--;
	base_buf_release(&e->bytes);
	free(e);
}

/*
 * Keeps the end of a claim until it can be sent. Without it the key would stay
 * running at its owner.
 */
static void store_end(struct claims *c, uint32_t vm,
		      const struct peer_message *msg, int64_t now)
{
	struct claim_end *e;

	if (c->end_count >= CLAIM_ENDS_MAX) {
		node_counter_add(c->node, "claim_ends_dropped");
		return;
	}
	e = base_alloc(sizeof(*e));
	e->vm = vm;
	e->expires_at = now + CLAIM_END_RETENTION_US;
	DL_APPEND(c->ends, e);
	c->end_count++;
	if (peer_message_encode(msg, &e->bytes, NULL) == PEER_OK)
		node_counter_add(c->node, "claim_ends_kept");
	else
		claim_end_free(c, e);
}

static void send_end(struct claims *c, const struct config_vm *vm,
		     struct peer_message *msg, int64_t now)
{
	enum peer_status status;

	if (!vm) {
		node_counter_add(c->node, "claim_ends_dropped");
		return;
	}
	status = send_to_owner(c, vm, msg, now);
	if (status == PEER_ERR_TOO_LARGE && msg->type == PEER_COMPLETE) {
		/* Without the answer the owner still records that it ran. */
		msg->complete.stored = (struct peer_stored_answer){ 0 };
		status = send_to_owner(c, vm, msg, now);
	}
	if (status != PEER_OK)
		store_end(c, roster_vm_id(c->node->roster, vm->name), msg, now);
}

static void send_stored_ends(struct claims *c, const struct config_vm *vm,
			     uint32_t id, int64_t now)
{
	struct claim_end *e, *next;
	struct peer_message msg;

	DL_FOREACH_SAFE(c->ends, e, next)
	{
		if (e->vm != id && now < e->expires_at)
			continue;
		if (now < e->expires_at &&
		    peer_message_decode(base_buf_str(&e->bytes), &msg, NULL) ==
			    PEER_OK) {
			if (send_to_owner(c, vm, &msg, now) == PEER_OK)
				node_counter_add(c->node,
						 "claim_ends_sent_late");
			peer_message_release(&msg);
		}
		claim_end_free(c, e);
	}
}

static void release_remote(struct claims *c, const struct config_vm *vm,
			   struct base_str account, struct base_str key,
			   uint64_t claim_id, int64_t now)
{
	struct peer_message msg = {
		.type = PEER_RELEASE,
		.release = { account, key, claim_id },
	};

	send_end(c, vm, &msg, now);
}

void claims_complete(struct claims *claims, struct base_str account,
		     struct base_str key, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now)
{
	const struct config_vm *vm = take_held(claims, key, claim_id);
	struct peer_message msg = {
		.type = PEER_COMPLETE,
		.complete = { account, key, claim_id, PEER_OUTCOME_RAN,
			      *stored },
	};

	if (vm && node_is_self(claims->node, vm))
		ledger_complete(claims->ledger, claim_id, stored, now);
	else
		send_end(claims, vm, &msg, now);
}

void claims_release(struct claims *claims, struct base_str account,
		    struct base_str key, uint64_t claim_id, int64_t now)
{
	const struct config_vm *vm = take_held(claims, key, claim_id);

	if (vm && node_is_self(claims->node, vm))
		ledger_release(claims->ledger, claim_id);
	else
		release_remote(claims, vm, account, key, claim_id, now);
}

void claims_abandon(struct claims *claims, struct base_str key,
		    uint64_t claim_id)
{
	take_held(claims, key, claim_id);
	node_counter_add(claims->node, "claims_left_running");
}

void claims_cancel(struct claims *claims, uint64_t request, int64_t now)
{
	struct pending *p;

	HASH_FIND(hh, claims->pending, &request, sizeof(request), p);
	if (!p)
		return;
	if (p->state == PENDING_UNSENT) {
		pending_free(p);
		return;
	}
	p->state = PENDING_CANCELLED;
	start_timer(p, LATE_ANSWER_RETENTION_US);
}

static void on_late_answer(struct pending *p,
			   const struct peer_claim_answer *answer, int64_t now)
{
	struct claims *c = p->claims;

	node_counter_add(c->node, "claim_answers_late");
	if (answer->result != PEER_CLAIM_NEW)
		return;
	node_counter_add(c->node, "claims_released_late");
	release_remote(c, roster_vm(c->node->roster, p->vm),
		       base_buf_str(&p->account), base_buf_str(&p->key),
		       answer->claim_id, now);
}

void claims_on_answer(struct claims *claims, const struct peer_message *msg,
		      int64_t now)
{
	const struct peer_claim_answer *answer = &msg->claim_answer;
	uint64_t request = msg->id;
	struct pending *p;

	HASH_FIND(hh, claims->pending, &request, sizeof(request), p);
	if (!p || p->state == PENDING_UNSENT) {
		node_counter_add(claims->node, "claim_answers_unknown");
		return;
	}
	if (p->state == PENDING_CANCELLED) {
		on_late_answer(p, answer, now);
		pending_free(p);
		return;
	}
	if (answer->result == PEER_CLAIM_NEW)
		add_held(claims, base_buf_str(&p->key), answer->claim_id,
			 p->vm);
	pending_free(p);
	entry_on_claim_answer(claims->node->entry, request, answer);
}

/* Restarts the search each time: the entry may end other flows and claims. */
void claims_on_link_up(struct claims *claims, const struct config_vm *vm,
		       int64_t now)
{
	uint32_t id = roster_vm_id(claims->node->roster, vm->name);
	struct pending *p;

	while ((p = find_open(claims, id, true)))
		if (now >= p->deadline || send_claim(p, now) != PEER_OK)
			fail_claim(p, "claims_unsent");
	send_stored_ends(claims, vm, id, now);
}

void claims_on_link_down(struct claims *claims, const struct config_vm *vm,
			 int64_t now)
{
	uint32_t id = roster_vm_id(claims->node->roster, vm->name);
	struct pending *p, *next;

	while ((p = find_open(claims, id, false)))
		fail_claim(p, "claims_link_lost");
	/* Their answers cannot arrive on the next connection. */
	HASH_ITER (hh, claims->pending, p, next)
		if (p->vm == id && p->state == PENDING_CANCELLED)
			pending_free(p);
}

void claims_configure(struct claims *claims,
		      const struct config_snapshot *before, int64_t now)
{
	ledger_configure(claims->ledger, before, now);
}

void claims_on_domain_version(struct claims *claims, struct base_str domain,
			      uint64_t version, int64_t now)
{
	ledger_on_domain_version(claims->ledger, domain, version, now);
}

bool claims_ready(const struct claims *claims, int64_t now)
{
	return ledger_ready(claims->ledger, now);
}

void claims_on_resume(struct claims *claims, int64_t now)
{
	ledger_on_resume(claims->ledger);
}

struct claims *claims_create(struct node *node, int64_t wall_ms, int64_t now)
{
	struct claims *claims = base_alloc(sizeof(*claims));

	claims->node = node;
	claims->ledger = ledger_create(node, wall_ms, now);
	return claims;
}

void claims_destroy(struct claims *claims)
{
	struct pending *p, *next;
	struct held_claim *h, *next_held;

	if (!claims)
		return;
	HASH_ITER (hh, claims->pending, p, next)
		pending_free(p);
	while (claims->ends)
		claim_end_free(claims, claims->ends);
	HASH_ITER (hh, claims->held, h, next_held) {
		HASH_DEL(claims->held, h);
		free(h);
	}
	ledger_destroy(claims->ledger);
	free(claims);
}
