/* One request at the entry, from its arrival to its reply. */
#ifndef FLOW_H
#define FLOW_H

#include "claims.h"
#include "entry.h"
#include "membership.h"
#include "node.h"
#include "rate_link.h"
#include "roster.h"
#include "spans.h"

#include <uthash.h>

/** First server and its reroutes and retry. */
#define FLOW_TRIES_MAX 4
/** A stopped daemon serves again after about 0.6 s on the users' platform. */
#define FLOW_RESTART_US BASE_SECOND_US

enum flow_state {
	FLOW_NEW,
	FLOW_CLAIMING,
	FLOW_RATE_WAITING,
	/** Waits for the link to its server. */
	FLOW_LINKING,
	FLOW_SENT,
};

struct flow {
	uint64_t id;
	struct entry *entry;
	struct node *node;
	/** Keeps route and account valid over configuration changes. */
	const struct config_snapshot *snapshot;
	const struct config_route *route;
	/** The one of the route that runs this request. */
	const struct config_service *service;
	/** Of the account, else of the route. */
	const struct config_priority *priority;
	/** NULL on open routes. */
	const struct config_account *account;
	/** NULL once the caller has gone. */
	struct http_exchange *ex;
	/** Work that made this onward call; NULL for callers and when ended. */
	struct guard_work *parent;
	/** As the caller named it; empty when the dialect has no such name. */
	struct base_str request_id;

	struct base_buf target;
	struct http_headers headers;
	struct base_buf key;
	struct http_trace trace;
	uint8_t parent_span[8];
	int64_t started_at;
	int64_t deadline;
	uint32_t depth;
	struct event *timer;

	/** When the tokens of the rate decision lapse; INT64_MAX without. */
	int64_t token_expires_at;
	uint64_t claim_id;

	enum flow_state state;
	uint32_t attempt;
	uint32_t reroutes;
	int32_t cutoff;
	uint32_t tried[FLOW_TRIES_MAX];
	uint32_t tries;
	/** Server of the present try, and the message id sent to it. */
	uint32_t server;
	uint64_t wire_id;
	struct guard_work *local;
	int64_t sent_at;
	/** Tries that a backend server may have seen. */
	uint32_t arrivals;
	bool onward;
	bool claimed;
	bool retried;
	/** An earlier try may have run, so "not-run" would be false. */
	bool may_have_run;

	UT_hash_handle hh;
	UT_hash_handle hh_wire;
};

/** Retries of one service. */
struct entry_budget {
	uint32_t service;
	/** Of failed tries, where a chain is not known. */
	struct retry_budget budget;
	/** Of tries whose VM fell silent. */
	struct retry_budget resends;
	UT_hash_handle hh;
};

struct entry {
	struct node *node;
	struct entry_budget *budgets;
	struct flow *flows;
	struct flow *by_wire;
	uint64_t next_id;
};

/** What the caller gets when the request is refused. */
struct flow_refusal {
	enum http_refusal refusal;
	bool not_run;
	int64_t retry_after_us;
	const char *detail;
};

struct flow *flow_create(struct entry *entry, struct http_exchange *ex,
			 int64_t now);
/** Gives up on the flow at the end of a drain, honestly. */
void flow_abort(struct flow *f, int64_t now);
/** Replies with a refusal, ends the claim and frees the flow. */
void flow_refuse(struct flow *f, const struct flow_refusal *refusal,
		 int64_t now);
/** Passes a backend server's answer on and frees the flow. */
void flow_answer(struct flow *f, const struct peer_answer *answer, int64_t now);
/** Sends the request to a server, or refuses it when there is none. */
void flow_route(struct flow *f, int64_t now);
/** The flow's service, as the routing table knows it. */
uint32_t flow_service_id(const struct flow *f);
/** Average time of the route at the quickest server; 0 when not known. */
int64_t flow_usual_us(const struct flow *f);
/** The present try ended with this answer; retries or ends the flow. */
void flow_on_answer(struct flow *f, const struct peer_answer *answer,
		    int64_t now);
/**
 * Decides about another try after a failed one, and counts it.
 * @return false when the flow ends
 */
bool flow_decide_retry(struct flow *f, const struct peer_answer *answer,
		       int64_t now);
/**
 * Decides whether an idempotent request leaves a silent VM for another one, and
 * counts it.
 */
bool flow_decide_resend(struct flow *f, int64_t now);
/** A request of the flow's service has succeeded. */
void flow_note_success(struct flow *f, int64_t now);
/** The budget that a retry of the flow is taken from. */
struct retry_budget *flow_budget(struct flow *f);
/** The present try ended without an answer. */
void flow_on_lost(struct flow *f, int64_t now);
/**
 * The VM of the present try is silent. An idempotent request goes to another
 * one, where there is one and the budget has a retry; others wait on.
 */
void flow_on_silent(struct flow *f, int64_t now);
/** The link that a waiting flow needs is up, or did not come up. */
void flow_on_link(struct flow *f, bool up, int64_t now);
/** Logs the choice of a server for the present try. */
void flow_log_sent(struct flow *f, const struct config_vm *vm);
/** Logs a try that failed and what follows. */
void flow_log_try(struct flow *f, const struct peer_answer *answer,
		  const char *decision);
/** Logs a refusal and with it the end of the flow. */
void flow_log_refusal(struct flow *f,
		      const struct http_refusal_details *details, int code,
		      int64_t now);
/** Logs the end of the flow and records its time. */
void flow_log_end(struct flow *f, const char *outcome, int status,
		  bool went_well, int64_t now);
/** Takes the flow off the server of its present try. */
void flow_detach(struct flow *f);

#endif
