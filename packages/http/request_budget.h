/*
 * Decides which unfinished requests may go on and which are dropped when memory
 * or connections are short. Opens no socket and reads no clock. Private to the
 * package.
 */
#ifndef REQUEST_BUDGET_H
#define REQUEST_BUDGET_H

#include "base.h"

#include <sys/queue.h>

/** What a connection that takes requests is doing. */
enum request_phase {
	/** No request has begun. */
	REQUEST_IDLE,
	/** A request is being received; it may be dropped. */
	REQUEST_READING,
	/**
	 * A request was passed on and is not answered; the connection is never
	 * closed. It may hold the start of the next request.
	 */
	REQUEST_PASSED_ON,
	/** The last response was written; input is discarded. */
	REQUEST_CLOSING,
};

/** One connection. All zero but for @p source before request_budget_add(). */
struct request_holder {
	TAILQ_ENTRY(request_holder) link;
	/** Memory held for its request, in bytes. */
	size_t bytes;
	/** Hash of the address that the connection comes from. */
	uint64_t source;
	/** When the request began. */
	int64_t started_at;
	/** When the last byte arrived. */
	int64_t received_at;
	/** When the holder last changed its phase or received enough bytes. */
	int64_t progress_at;
	/** Bytes received since progress_at. */
	size_t received_bytes;
	enum request_phase phase;
	/** Nothing is read from it, as memory is short. */
	bool paused;
	/** Part of a response waits for the caller to read. */
	bool delivering;
	/** A complete request has arrived on the connection. */
	bool proven;
};

TAILQ_HEAD(request_holders, request_holder);

struct request_budget {
	struct request_holders holders;
	size_t max_bytes;
	/** Limit of connections; 0 for none. */
	size_t max_connections;
	size_t connections;
	/** Memory of all holders and of requests that are held elsewhere. */
	size_t bytes;
};

void request_budget_init(struct request_budget *b, size_t max_bytes,
			 size_t max_connections);
void request_budget_add(struct request_budget *b, struct request_holder *h,
			int64_t now);
void request_budget_remove(struct request_budget *b, struct request_holder *h);
void request_budget_set_phase(struct request_holder *h,
			      enum request_phase phase, int64_t now);
void request_budget_set_bytes(struct request_budget *b,
			      struct request_holder *h, size_t bytes);
/** Records that @p bytes have arrived. */
void request_budget_received(struct request_holder *h, size_t bytes,
			     int64_t now);
/** The time of a pause counts as progress, as the client did not cause it. */
void request_budget_set_paused(struct request_holder *h, bool paused,
			       int64_t now);
/** Whether the body has not come on for so long that it is refused. */
bool request_budget_is_overdue(const struct request_holder *h, int64_t now);
/**
 * Whether @p h must not be read from at present. Small requests and the oldest
 * large one that comes on are always read, so that some complete.
 */
bool request_budget_must_wait(const struct request_budget *b,
			      const struct request_holder *h, int64_t now);
/**
 * Chooses a request to drop while memory is short: over half of the limit those
 * that have stalled, the longest first; over all of it also the largest request
 * of the source that holds most.
 * @return NULL when nothing is to be dropped
 */
struct request_holder *
request_budget_choose_request(const struct request_budget *b, int64_t now);
/** Whether another connection needs one of the others to be closed. */
bool request_budget_is_crowded(const struct request_budget *b);
/**
 * Chooses a connection to close for a new one: refused ones first, then those
 * that have not sent a request in time, then idle ones, the longest first.
 * @return NULL when all are in use
 */
struct request_holder *
request_budget_choose_connection(const struct request_budget *b, int64_t now);

#endif
