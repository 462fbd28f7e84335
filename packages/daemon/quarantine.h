/*
 * Requests that crash servers: the guard's side of suspects, which holds them
 * until the arbiter of the service grants a permit, and the arbiter's side.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "node.h"

enum quarantine_verdict {
	/** Run it like any other, or as its permit says. */
	QUARANTINE_RUN,
	/** guard_on_quarantine_verdict() follows, never during the call. */
	QUARANTINE_HOLD,
	/** Convicted. */
	QUARANTINE_REFUSE,
	/** Held until it ran out of time. */
	QUARANTINE_LATE,
};

/** A request that was in flight when the server died. */
struct quarantine_lost_request {
	uint64_t work;
	const struct peer_request *request;
};

struct quarantine *quarantine_create(struct node *node);
void quarantine_destroy(struct quarantine *q);
/** A new snapshot came into force. */
void quarantine_configure(struct quarantine *q, int64_t now);

/** Asked for each work before it is offered to the overload guard. */
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t work,
					 const struct peer_request *request,
					 int64_t deadline, int64_t now);
/** The backend server answered the work whole. */
void quarantine_work_succeeded(struct quarantine *q, uint64_t work,
			       const struct peer_request *request, int64_t now);
/** The work ended in any way; returns its permit if it still has one. */
void quarantine_work_ended(struct quarantine *q, uint64_t work);
/**
 * The backend server died. The other guards of the service are told, then
 * guard_fail_lost_work() is called for the works, never during the call.
 */
void quarantine_server_died(struct quarantine *q,
			    const struct quarantine_lost_request *lost,
			    size_t count, int64_t now);

/** suspect and suspect_ask messages of remote guards. */
void quarantine_on_remote(struct quarantine *q,
			  const struct peer_remote *remote,
			  const struct peer_message *msg,
			  const struct peer_receipt *receipt);
/** suspect and suspect_answer messages on a link to @p vm. */
void quarantine_on_link_message(struct quarantine *q,
				const struct config_vm *vm,
				const struct peer_message *msg, int64_t now);
/** A daemon connected; a guard of the service gets all that is known. */
void quarantine_on_hello(struct quarantine *q, const struct peer_remote *remote,
			 const struct peer_hello *hello, int64_t now);
void quarantine_on_link_up(struct quarantine *q, const struct config_vm *vm,
			   int64_t now);
void quarantine_on_link_down(struct quarantine *q, const struct config_vm *vm,
			     int64_t now);
/** The process was paused. */
void quarantine_on_resume(struct quarantine *q, int64_t now);

#endif
