/**
 * @file
 * State of the guard and its work items. Private to the guard's own files.
 */
#ifndef GUARD_WORK_H
#define GUARD_WORK_H

#include "backend_health.h"
#include "guard.h"

#include <uthash.h>

#define TOKEN_BYTES 16
#define TOKEN_LEN (TOKEN_BYTES * 2)

struct guard_work {
	uint64_t id;
	struct guard *guard;
	/** Copy of the submitted request; its views point to @p memory. */
	struct peer_request request;
	void *memory;
	/** Bytes of @p memory that are counted in the request budget. */
	size_t counted_bytes;
	int64_t deadline;
	int64_t submitted_at;
	guard_answer_cb cb;
	void *ctx;
	/** Call to the backend server; NULL when none is in flight. */
	struct http_call *call;
	/** Names the work item in onward calls; empty before it starts. */
	char token[TOKEN_LEN + 1];
	/** Remote entry and its message id, for the answer and for cancels. */
	struct peer_remote remote;
	uint64_t remote_id;
	struct http_trace trace;
	/** Span of the entry; 0 when it sent none. */
	uint8_t parent_span[8];
	uint32_t onward_open_count;
	/** Time left when it was sent, in ms, as text. */
	char remaining_ms[24];
	/** Since when at least one onward call has been open. */
	int64_t onward_started_at;
	/** Strictest cutoff of the answers to onward calls. */
	int32_t cutoff;
	/** The retry of the call chain was used or forgone downstream. */
	bool retried;
	/** The entry no longer waits, so no answer is given. */
	bool abandoned;
	/** It was answered at its deadline, and its call goes on. */
	bool overdue;
	/** It was sent to the backend server, which may have received it. */
	bool sent;
	int64_t sent_at;
	bool idempotent;
	/** The quarantine holds it; the overload guard does not have it yet. */
	bool held;
	guard_end_cb end_cb;
	void *end_ctx;
	UT_hash_handle hh;
	UT_hash_handle hh_token;
};

/** What the present instance of the backend server states in its answers. */
struct guard_notices {
	bool has_rate_limit;
	/** Requests a second that it takes from all VMs together. */
	double rate_limit_per_s;
	/** When an answer last stated a rate limit. */
	int64_t rate_limit_stated_at;
	/** The server leaves and gets no new work. */
	bool leaving;
	/** When an answer last stated that it leaves. */
	int64_t leaving_stated_at;
	/** Arrival of the last answer. */
	int64_t answered_at;
};

struct guard {
	struct node *node;
	/** NULL until the local VM is in a snapshot. */
	struct overload_guard *overload;
	/** Limiter of @p overload; NULL when the capacity is not learned. */
	struct overload_capacity *capacity;
	/** Onward calls in flight that do not name their parent. */
	uint32_t onward_calls;
	/** Totals at the last guard_capacity_tick(). */
	struct overload_capacity_view capacity_logged;
	struct routing_figures figures_logged;
	int64_t capacity_logged_at;
	struct http_client *backend;
	struct death_detector *death_detector;
	struct backend_health *health;
	/** Instance id of the backend server that work is sent to. */
	struct base_buf instance;
	/**
	 * Latest time at which that instance is known to have run: when a
	 * request or a check was sent that it has answered. 0 before any.
	 */
	int64_t instance_seen_at;
	/**
	 * While the platform is out of reach, another instance answers that may
	 * belong to another service; its id. Empty when there is none.
	 */
	struct base_buf foreign_instance;
	struct guard_notices notices;
	/** The local failure domain was out in the last snapshot. */
	bool domain_out;
	/** The daemon stops; new work is refused. */
	bool closed;
	/** Fires when the overload guard has an action due. */
	struct event *timer;
	/** When the timer fires; 0 when it is not pending. */
	int64_t timer_at;
	struct guard_work *work_items;
	/** Work items that have started. */
	struct guard_work *work_items_by_token;
	/** Id of the last work item. */
	uint64_t next_id;
	/** Set during dispatch(), which must not recurse. */
	bool dispatching;
};

/** Contents of an answer that does not come from the backend server. */
struct guard_failure {
	enum http_refusal refusal;
	enum peer_outcome outcome;
	int64_t retry_after_us;
};

/** Finds a work item by its id; NULL if there is none. */
struct guard_work *guard_find_work(struct guard *g, uint64_t id);
/** Performs the actions that the overload guard has due. */
void guard_dispatch(struct guard *g, int64_t now);
/**
 * Sends no more work until a health check has returned the instance id of the
 * backend server.
 * @param why  reason for the log
 */
void guard_hold_backend(struct guard *g, const char *why, int64_t now);
/**
 * A backend_health_cb; @p ctx is the guard.
 * @return false when another instance than the listed one has answered
 */
bool guard_on_health_report(void *ctx,
			    const struct backend_health_report *report);
/** Callback of the death detector about a group of lost connections. */
void guard_on_death_verdict(void *ctx, const uint64_t *ids, size_t count,
			    bool died);
/**
 * Whether the local backend server may run the work. The server may have said
 * that it leaves before the platform lists it so, or another server may have
 * got its address while the platform is out of reach. An entry may have sent
 * the work with an older configuration, in which the backend server is not
 * leaving, its failure domain is not out, or the address serves another
 * service. The same may also have changed while the work was queued.
 */
bool guard_accepts_work(const struct guard *g, const struct peer_context *c);
/**
 * Refuses, as not run, all work that waits and that guard_accepts_work() no
 * longer accepts. The entries can send it elsewhere at once; here it would wait
 * for a slot.
 */
void guard_refuse_unaccepted(struct guard *g, int64_t now);
/** Sends the work to the backend server, or refuses it as not run. */
void guard_start_work(struct guard_work *w, int64_t now);
/** Limits of the local backend server; node->self must not be NULL. */
struct overload_guard_config guard_overload_config(struct node *node);
/** The caller owns the result. */
struct overload_guard *
guard_create_overload(struct guard *g,
		      const struct overload_guard_config *config, int64_t now);
/**
 * Creates the limiter that learns the capacity of the backend server, if the
 * settings ask for it; else returns NULL.
 */
struct overload_limiter *
guard_create_capacity(struct guard *g,
		      const struct overload_guard_config *config, int64_t now);
void guard_reconfigure_capacity(struct guard *g,
				const struct overload_guard_config *config);
/** Adds the learned figures to the report. */
void guard_capacity_report(const struct guard *g, int64_t now,
			   struct routing_load_report *report);
/** Updates the counters, and logs decisions, at most once a second. */
void guard_capacity_tick(struct guard *g, int64_t now);
/** Sets path and query of @p request to views into @p target. */
void guard_work_split_target(struct base_str target,
			     struct http_request *request);
/**
 * Adds the headers that the dialect has for backend servers, as views into the
 * work item.
 */
void guard_work_add_headers(struct guard_work *w, struct http_headers *headers,
			    int64_t now);
/** The backend server at the address may belong to another service. */
bool guard_backend_is_foreign(const struct guard *g);
/** Records that the instance has answered what was sent at @p sent_at. */
void guard_record_instance_seen(struct guard *g, int64_t sent_at);
/** Removes the work item from the guard and frees it, without an answer. */
void guard_work_free(struct guard_work *w);
/**
 * The id that its caller gave the request, as a view into the work item; empty
 * without one.
 */
struct base_str guard_work_request_id(const struct guard_work *w);
/** @param decision  see struct span */
void guard_work_record_span(struct guard_work *w, int status,
			    const char *decision, int64_t now);
/** Answers with a refusal and frees the work item. */
void guard_work_fail(struct guard_work *w, const struct guard_failure *failure,
		     int64_t now);
/**
 * Answers at the deadline and keeps the work item, which occupies its slot
 * until the call to the backend server ends.
 */
void guard_work_answer_overdue(struct guard_work *w, int64_t now);
/** The same for a work item that has certainly not run. */
void guard_work_fail_not_run(struct guard_work *w, enum http_refusal refusal,
			     int64_t retry_after_us, int64_t now);
/**
 * Reads what the backend server states about itself in the headers of an
 * answer, health checks included.
 * @param sent_at  when the request of the answer was sent
 */
void guard_read_notices(struct guard *g, const struct http_headers *headers,
			int64_t sent_at, int64_t now);
/** Forgets the statements, as another instance of the server answers now. */
void guard_clear_notices(struct guard *g);
/** Relays a complete answer of the backend server and frees the work item. */
void guard_work_answer(struct guard_work *w, const struct http_response *http,
		       int64_t now);
/**
 * A guard_answer_cb that sends the answer to a remote entry. @p ctx is the work
 * item.
 */
void guard_work_answer_remote(void *ctx, const struct peer_answer *answer);

#endif
