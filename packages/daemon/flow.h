/**
 * @file
 * A flow: one request at the entry, from its arrival to its reply.
 *
 * A try is one attempt to run the request at one VM. A failed try may be
 * followed by a reroute (the request has not run), a retry (it may have run) or
 * a resend (it is in flight at a silent VM). Functions that end a flow free it.
 *
 * All functions must be called on the thread of the event loop. Times are in
 * microseconds on the clock of base_now_us().
 */
#ifndef FLOW_H
#define FLOW_H

#include "claims.h"
#include "entry.h"
#include "membership.h"
#include "node.h"
#include "rate_limiter.h"
#include "roster.h"
#include "spans.h"

#include <uthash.h>

/** Limit on the tries of one request: the first one, reroutes and retries. */
#define FLOW_TRIES_MAX 4
/**
 * Retry-After of requests that are refused because the daemon stops. On the
 * users' platform a restarted daemon serves again after about 0.6 s.
 */
#define FLOW_RESTART_RETRY_AFTER_US BASE_SECOND_US

enum flow_state {
	FLOW_NEW,
	/** Waits for the owner's answer to the claim of its idempotency key. */
	FLOW_CLAIM_WAITING,
	/** Waits for a rate decision, or has its claim and is not sent yet. */
	FLOW_RATE_WAITING,
	/** Waits for the link to the VM that was picked. */
	FLOW_LINK_WAITING,
	/** Was sent to a guard, which may be the local one. */
	FLOW_SENT,
};

struct flow {
	uint64_t id;
	struct entry *entry;
	struct node *node;
	/**
	 * Reference that keeps route, service, priority and account valid
	 * across configuration changes. NULL before the first activation.
	 */
	const struct config_snapshot *snapshot;
	const struct config_route *route;
	/** Service of the route that was drawn for this request. */
	const struct config_service *service;
	/** The account's priority if it has one, else the route's. */
	const struct config_priority *priority;
	/** NULL when the route is open and the request has no account. */
	const struct config_account *account;
	/** NULL after the caller has disconnected. */
	struct http_exchange *ex;
	/**
	 * Work item that made this onward call; NULL for requests of callers
	 * and after the work item has ended.
	 */
	struct guard_work *parent;
	/** View into @p ex; empty when the request has no such header. */
	struct base_str request_id;

	/** Path and query. */
	struct base_buf target;
	struct http_headers headers;
	struct base_buf idempotency_key;
	struct http_trace trace;
	uint8_t parent_span[8];
	int64_t started_at;
	int64_t deadline;
	/** 0 for requests of callers, else one more than the parent's. */
	uint32_t depth;
	/** Fires at the deadline. */
	struct event *timer;

	/**
	 * Time of the admission by the state of the call graph; 0 when that did
	 * not decide or the end was recorded.
	 */
	int64_t graph_begun_at;
	/** Expiry of the tokens of the rate decision; INT64_MAX without. */
	int64_t rate_tokens_expire_at;
	uint64_t claim_id;

	enum flow_state state;
	/** Sent in the context: 0, or 1 when no hop may retry it any more. */
	uint32_t attempt;
	uint32_t reroutes;
	/** Strictest cutoff that the answers so far carried, in steps. */
	int32_t cutoff;
	/** Roster ids of the VMs of all tries, the current one included. */
	uint32_t tried_servers[FLOW_TRIES_MAX];
	uint32_t try_count;
	/** Roster id of the VM of the current try. */
	uint32_t server;
	/** Peer message of the current try; 0 when none is in flight. */
	uint64_t message_id;
	/** Link on which it was sent; NULL when none is in flight. */
	struct peer_link *link;
	/** Current try at the local guard; NULL when there is none. */
	struct guard_work *local_work;
	/** Start of the current try. */
	int64_t sent_at;
	/** Number of tries that may have reached a backend server. */
	uint32_t arrivals;
	/** Onward calls are exempt from rate limits and early refusal. */
	bool onward;
	/** An onward call without a parent, counted in total by the guard. */
	bool counted_onward;
	/** It holds the claim @p claim_id on its idempotency key. */
	bool claimed;
	/** The retry of the call chain was used or forgone, at any hop. */
	bool retried;
	/** An earlier try may have run, so the reply must not say "not-run". */
	bool may_have_run;

	UT_hash_handle hh;
	UT_hash_handle hh_message_id;
};

/** Budgets of one service. */
struct entry_retry_budgets {
	/** Roster id. */
	uint32_t service;
	/** For retries, where requests carry no call token. */
	struct retry_budget retries;
	/** For retries of onward calls, when these have a larger part. */
	struct retry_budget onward_retries;
	/** For resends after a VM has become silent. */
	struct retry_budget resends;
	UT_hash_handle hh;
};

struct entry {
	struct node *node;
	struct entry_retry_budgets *budgets;
	struct flow *flows;
	/** Flows with a peer message in flight. */
	struct flow *flows_by_message_id;
	/** Last id given to a flow or a peer message. */
	uint64_t next_id;
};

/** What the caller receives when the request is refused. */
struct flow_refusal {
	enum http_refusal refusal;
	/** It is certain that the request has not run. */
	bool not_run;
	/** 0 for the default of the refusal. */
	int64_t retry_after_us;
	/** One sentence for the caller; not owned. */
	const char *detail;
};

/** Adds a flow in state FLOW_NEW to the entry. Never returns NULL. */
struct flow *flow_create(struct entry *entry, struct http_exchange *ex,
			 int64_t now);
/**
 * Refuses the request with reason draining and frees the flow. The reply says
 * "not-run" only if no try is in flight and no earlier try may have run.
 */
void flow_abort(struct flow *f, int64_t now);
/** Replies with a refusal, ends the claim of the key and frees the flow. */
void flow_refuse(struct flow *f, const struct flow_refusal *refusal,
		 int64_t now);
/** Relays the answer of a backend server and frees the flow. */
void flow_answer(struct flow *f, const struct peer_answer *answer, int64_t now);
/**
 * Picks a server and sends the request to it, or refuses the request when there
 * is no server or the deadline has passed. The flow may be freed on return.
 */
void flow_route(struct flow *f, int64_t now);
/** Id of the flow's service in the roster and the routing table. */
uint32_t flow_service_id(const struct flow *f);
/** The flow as the decisions at the entry see it. */
struct overload_request flow_overload_request(const struct flow *f);
/** Average latency of the route at its fastest server; 0 when unknown. */
int64_t flow_expected_latency_us(const struct flow *f);
/**
 * Handles the answer of the current try: retries it or ends the flow. One that
 * is no response in HTTP/1.1 proves nothing, so its try counts as lost.
 */
void flow_on_answer(struct flow *f, const struct peer_answer *answer,
		    int64_t now);
/**
 * Decides whether a failed try is followed by another one, counts it and spends
 * from the budget.
 * @return false when the flow ends with @p answer
 */
bool flow_decide_retry(struct flow *f, const struct peer_answer *answer,
		       int64_t now);
/**
 * Decides whether an idempotent request to a silent VM is resent to another
 * one, counts it and spends from the budget.
 */
bool flow_decide_resend(struct flow *f, int64_t now);
/** Credits the budgets of the flow's service with a success. */
void flow_record_success(struct flow *f, int64_t now);
/**
 * The budget that pays for a retry of the flow: the daemon's where requests
 * carry call tokens, else the one of the service.
 */
struct retry_budget *flow_retry_budget(struct flow *f);
/** The current try ended without an answer, so it may have run. */
void flow_on_try_lost(struct flow *f, int64_t now);
/**
 * The VM of the current try is silent. An idempotent request is resent to
 * another VM if there is one and the budget allows it; other requests keep
 * waiting.
 */
void flow_on_vm_silent(struct flow *f, int64_t now);
/**
 * Ends the wait for a link.
 * @param up  false when the link did not come up in time
 */
void flow_on_link(struct flow *f, bool up, int64_t now);
/**
 * Refuses the request, as not run, when too many requests of its route fail
 * downstream or its remaining time is too short. Call it once, before the first
 * try.
 * @return false when the request was refused and the flow freed
 */
bool flow_graph_admit(struct flow *f, int64_t now);
/** Records an answer of a backend server as the end of the request. */
void flow_graph_on_answer(struct flow *f, uint32_t status, int64_t now);
/** Records a refusal as the end of the request, if it tells of load. */
void flow_graph_on_refusal(struct flow *f, enum http_refusal refusal,
			   int64_t now);
/** Records that the caller has hung up, if it did so near the deadline. */
void flow_graph_on_caller_gone(struct flow *f, int64_t now);
/** Logs the choice of a server for the current try. */
void flow_log_sent(struct flow *f, const struct config_vm *vm);
/** Logs a failed try and the decision that follows it. */
void flow_log_failed_try(struct flow *f, const struct peer_answer *answer,
			 const char *decision);
/** Logs and counts an answer that is no response in HTTP/1.1. */
void flow_log_invalid_answer(struct flow *f, uint32_t status);
/** Logs a refusal, and then the end of the flow. */
void flow_log_refusal(struct flow *f,
		      const struct http_refusal_details *details, int code,
		      int64_t now);
/**
 * Logs the end of the flow and records its latency in the metrics.
 * @param outcome    name of the log event
 * @param succeeded  the line may be left out by sampling
 */
void flow_log_end(struct flow *f, const char *outcome, int status,
		  bool succeeded, int64_t now);
/** Forgets the message id, so that late answers no longer reach the flow. */
void flow_clear_message_id(struct flow *f);

#endif
