/**
 * @file
 * The guard: the only part that sends requests to the local backend server
 * (health checks apart). It queues, starts, cancels and answers requests of
 * local and remote entries; each one is a work item until it is answered.
 *
 * All functions must be called on the thread of the event loop. Times are in
 * microseconds on the clock of base_now_us().
 */
#ifndef GUARD_H
#define GUARD_H

#include "node.h"
#include "quarantine.h"

/**
 * Called exactly once for each submitted request, unless it was cancelled or
 * the guard is destroyed first. @p answer is valid during the call only.
 */
typedef void (*guard_answer_cb)(void *ctx, const struct peer_answer *answer);

/** A work item: one submitted request. Owned by the guard. */
struct guard_work;

/** @return NULL with @p err set when the backend address cannot be used */
struct guard *guard_create(struct node *node, struct base_error *err);
/** Frees all work items without answering them. @p guard may be NULL. */
void guard_destroy(struct guard *guard);
/**
 * Applies a new snapshot: the limits of the local service and the listed
 * instance of the backend server.
 */
void guard_configure(struct guard *guard, int64_t now);

/**
 * Submits a request of the local entry; its fields are copied.
 * @param deadline  absolute, on this process's clock
 * @return NULL when @p cb was called during the call
 */
struct guard_work *guard_submit(struct guard *guard,
				const struct peer_request *request,
				int64_t deadline, int64_t now,
				guard_answer_cb cb, void *ctx);
/**
 * The entry no longer waits; no answer follows. Queued work does not run.
 * Running work is aborted if it is idempotent, else it runs to its end. The
 * caller must not use @p work any more, as it may have been freed.
 */
void guard_cancel(struct guard *guard, struct guard_work *work, int64_t now);

/** Submits a request of a remote entry and sends it the answer. */
void guard_on_remote_request(struct guard *guard,
			     const struct peer_remote *remote,
			     const struct peer_message *msg,
			     const struct peer_receive_info *receive_info);
/** Cancels the request that @p remote sent with message id @p id. */
void guard_on_remote_cancel(struct guard *guard,
			    const struct peer_remote *remote, uint64_t id);

/**
 * Runs or refuses a work item that the quarantine held. Does nothing when it
 * was cancelled meanwhile.
 * @param deadline  end of its permit or its own deadline
 */
void guard_on_quarantine_verdict(struct guard *guard, uint64_t work,
				 enum quarantine_verdict verdict,
				 int64_t deadline, int64_t now);
/** Fails the work items that were in flight when the backend server died. */
void guard_fail_lost_work(struct guard *guard, const uint64_t *work_ids,
			  size_t count, int64_t now);

/** Finds the running work item that made an onward call; NULL if none. */
struct guard_work *guard_find_work_by_token(struct guard *guard,
					    struct base_str token);
const struct peer_context *guard_work_context(const struct guard_work *work);
int64_t guard_work_deadline(const struct guard_work *work);
const struct http_trace *guard_work_trace(const struct guard_work *work);
/** An onward call of the work item started. */
void guard_work_onward_started(struct guard_work *work, int64_t now);
/**
 * An onward call of the work item ended.
 * @param cutoff   strictest cutoff that the answer of the call carried
 * @param retried  the retry of the call chain was used or forgone downstream
 */
void guard_work_onward_ended(struct guard_work *work, int32_t cutoff,
			     bool retried, int64_t now);
/**
 * Called when the work item is freed, so that onward calls still open no longer
 * refer to it.
 */
typedef void (*guard_end_cb)(void *ctx, const struct guard_work *work);

/** Replaces the callback set before. */
void guard_work_set_end_cb(struct guard_work *work, guard_end_cb cb, void *ctx);

/**
 * An onward call that does not name its parent has started (@p change is 1) or
 * ended (-1).
 */
void guard_count_onward_call(struct guard *guard, int change, int64_t now);

/** @return false when the capacity of the backend server is not learned */
bool guard_capacity_view(const struct guard *guard, int64_t now,
			 struct overload_capacity_view *view);

/** Returns the load fields of heartbeats and answers. */
struct routing_load_report guard_load_report(const struct guard *guard,
					     int64_t now);
/**
 * Cutoff of the local backend server, in steps (OVERLOAD_CUTOFF_STEPS to a
 * level).
 */
int32_t guard_cutoff(const struct guard *guard);
/** Regular work; called several times a second. */
void guard_tick(struct guard *guard, int64_t now);
/** Sets the counters of the connections to the backend server. */
void guard_update_counters(const struct guard *guard);
size_t guard_open_work_count(const struct guard *guard);
/**
 * Refuses new work from now on; used near the end of a planned stop. Queued
 * work still runs. Not reversible.
 */
void guard_close(struct guard *guard);
/**
 * Resumes after a pause of the process, such as a suspended VM. Call it once
 * the input that arrived during the pause has been read from the sockets.
 */
void guard_on_resume(struct guard *guard, int64_t paused_us, int64_t now);

#endif
