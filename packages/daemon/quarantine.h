/*
 * Protects backend servers from requests that crash them. A request that was in
 * flight when a server died is a suspect. After more deaths than
 * `permit_free_deaths` of the dialect the guard holds it until the arbiter,
 * which is one of the daemons of the service, grants a permit to run it. If the
 * server dies during that run, the request is convicted, i.e. refused. This
 * file covers the part of the guard and that of the arbiter.
 *
 * Times are in microseconds on the clock of base_now_us().
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "node.h"

enum quarantine_verdict {
	/** Run the request, until the end of its permit if it has one. */
	QUARANTINE_RUN,
	/**
	 * Hold the request until guard_on_quarantine_verdict() is called, which
	 * never happens during the call that returned this.
	 */
	QUARANTINE_HOLD,
	/** Refuse the request; it is convicted. */
	QUARANTINE_REFUSE,
	/** The deadline of the request passed while it was held. */
	QUARANTINE_EXPIRED,
};

/** A request that was in flight when the backend server died. */
struct quarantine_lost_request {
	/** Id of the work item. */
	uint64_t work;
	const struct peer_request *request;
};

struct quarantine *quarantine_create(struct node *node);
void quarantine_destroy(struct quarantine *q);
/** Applies the current configuration snapshot. */
void quarantine_configure(struct quarantine *q, int64_t now);

/**
 * Must be called for each work item before it is passed to the overload guard.
 * @param work  id of the work item
 */
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t work,
					 const struct peer_request *request,
					 int64_t deadline, int64_t now);
/** The backend server sent a complete answer to the work item. */
void quarantine_work_succeeded(struct quarantine *q, uint64_t work,
			       const struct peer_request *request, int64_t now);
/**
 * The work item ended in any way. Its permit is returned to the arbiter if it
 * still has one.
 */
void quarantine_work_ended(struct quarantine *q, uint64_t work);
/**
 * The backend server died. Notifies the other guards of the service, then calls
 * guard_fail_lost_work() for the lost work items, never during this call.
 */
void quarantine_server_died(struct quarantine *q,
			    const struct quarantine_lost_request *lost,
			    size_t count, int64_t now);

/** Handles suspect and suspect_ask messages of remote guards. */
void quarantine_on_remote(struct quarantine *q,
			  const struct peer_remote *remote,
			  const struct peer_message *msg,
			  const struct peer_receive_info *receive_info);
/** Handles suspect and suspect_answer messages on a link to @p vm. */
void quarantine_on_link_message(struct quarantine *q,
				const struct config_vm *vm,
				const struct peer_message *msg, int64_t now);
/** A daemon connected; sends it all suspects if it serves the own service. */
void quarantine_on_hello(struct quarantine *q, const struct peer_remote *remote,
			 const struct peer_hello *hello, int64_t now);
void quarantine_on_link_up(struct quarantine *q, const struct config_vm *vm,
			   int64_t now);
void quarantine_on_link_down(struct quarantine *q, const struct config_vm *vm,
			     int64_t now);
/** The process resumed after a pause. */
void quarantine_on_resume(struct quarantine *q, int64_t now);

#endif
