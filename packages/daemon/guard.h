/*
 * The guard: the only place that sends work to the own backend server. It
 * queues, starts, cancels and answers work of local and remote entries.
 */
#ifndef GUARD_H
#define GUARD_H

#include "node.h"
#include "quarantine.h"

/**
 * Called exactly once for each submitted request unless it was cancelled. The
 * answer is valid during the call.
 */
typedef void (*guard_answer_cb)(void *ctx, const struct peer_answer *answer);

/** One submitted request. */
struct guard_work;

struct guard *guard_create(struct node *node, struct base_error *err);
void guard_destroy(struct guard *guard);
/** Takes over slots and cold start bounds of the own service. */
void guard_configure(struct guard *guard, int64_t now);

/**
 * Submits a request; its fields are copied.
 * @param deadline  absolute, in this process's clock
 * @return NULL when the answer was given during the call
 */
struct guard_work *guard_submit(struct guard *guard,
				const struct peer_request *request,
				int64_t deadline, int64_t now,
				guard_answer_cb cb, void *ctx);
/** The entry no longer waits; no answer follows. */
void guard_cancel(struct guard *guard, struct guard_work *work, int64_t now);

/** A request of a remote entry. */
void guard_on_remote_request(struct guard *guard,
			     const struct peer_remote *remote,
			     const struct peer_message *msg,
			     const struct peer_receipt *receipt);
void guard_on_remote_cancel(struct guard *guard,
			    const struct peer_remote *remote, uint64_t id);

/**
 * Decides about a work that the quarantine held.
 * @param deadline  end of its permit or of its own time
 */
void guard_on_quarantine_verdict(struct guard *guard, uint64_t work,
				 enum quarantine_verdict verdict,
				 int64_t deadline, int64_t now);
/** Answers works that were lost when the backend server died. */
void guard_fail_lost_work(struct guard *guard, const uint64_t *works,
			  size_t count, int64_t now);

/** Finds the running work that an onward call belongs to; NULL if none. */
struct guard_work *guard_find_token(struct guard *guard, struct base_str token);
const struct peer_context *guard_work_context(const struct guard_work *work);
int64_t guard_work_deadline(const struct guard_work *work);
const struct http_trace *guard_work_trace(const struct guard_work *work);
/** An onward call of the work began or ended. */
void guard_work_onward_started(struct guard_work *work, int64_t now);
/**
 * @param cutoff   strictest cutoff that the onward answer carried
 * @param retried  whether the chain below used its retry
 */
void guard_work_onward_ended(struct guard_work *work, int32_t cutoff,
			     bool retried, int64_t now);
/** Called when the work ends while onward calls are open. */
typedef void (*guard_end_cb)(void *ctx, const struct guard_work *work);

void guard_work_set_end_cb(struct guard_work *work, guard_end_cb cb, void *ctx);

/** Fills the load fields of heartbeats and answers. */
struct routing_load_report guard_load_report(const struct guard *guard,
					     int64_t now);
/** Own cutoff, in steps of the overload package. */
int32_t guard_cutoff(const struct guard *guard);
size_t guard_open_work_count(const struct guard *guard);
/** Takes no more work, for the end of a planned stop. Not reversible. */
void guard_close(struct guard *guard);
/** After a pause of the process, once the sockets were drained. */
void guard_on_resume(struct guard *guard, int64_t paused_us, int64_t now);

#endif
