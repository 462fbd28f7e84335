/*
 * Memory of the requests that a server receives: measures what a connection
 * holds, and carries out the decisions of request_budget.h. All functions do
 * nothing for a connection without a budget. Private to the package.
 */
#ifndef SERVER_MEMORY_H
#define SERVER_MEMORY_H

#include "http_message.h"
#include "request_budget.h"

struct bufferevent;

enum server_memory_drop {
	/** The request has stalled: refuse it with 408. */
	SERVER_MEMORY_STALLED,
	/** Memory is short: refuse it with 503. */
	SERVER_MEMORY_SHORT,
	/** The connection is needed for another one: close it at once. */
	SERVER_MEMORY_CROWDED,
};

/** Ends the request; calls server_memory_refused() or server_memory_close(). */
typedef void (*server_memory_drop_cb)(void *connection,
				      enum server_memory_drop cause);

/** Reading from the connection was paused or resumed; see `holder.paused`. */
typedef void (*server_memory_paused_cb)(void *connection);

/** Part of a connection. All zero before server_memory_open(). */
struct server_memory {
	/** The first member, so that a holder can be converted. */
	struct request_holder holder;
	/** NULL when the server has no budget. */
	struct http_request_budget *budget;
	struct bufferevent *bev;
	struct http_message *message;
	server_memory_drop_cb drop;
	server_memory_paused_cb on_paused;
	void *connection;
	/** Memory of the parsed headers; 0 before they are complete. */
	size_t header_bytes;
};

/** Bounds what the system receives for connections of the listener @p fd. */
void server_memory_limit_receive_buffer(int fd);
/**
 * Makes room for a connection if there are too many.
 * @param crowded  the server has reached a limit of its own
 * @return false when it cannot be taken
 */
bool server_memory_accept(struct http_request_budget *budget, bool crowded,
			  int64_t now);
void server_memory_open(struct server_memory *m,
			struct http_request_budget *budget,
			const struct sockaddr *source, int64_t now);
void server_memory_close(struct server_memory *m);
/** A request has begun, or more of it was read; may drop requests. */
void server_memory_update(struct server_memory *m, size_t received,
			  int64_t now);
/**
 * A request is complete and is given to the handler; the connection no longer
 * counts what it holds.
 */
void server_memory_passed_on(struct server_memory *m, int64_t now);
/** Memory of a complete request, in bytes. */
size_t server_memory_request_bytes(const struct http_request *r);
/** The input holds no part of a request, only empty lines that were read. */
void server_memory_idle(struct server_memory *m, int64_t now);
/** Input that waited for earlier requests is read on. */
void server_memory_resumed(struct server_memory *m, int64_t now);
/** The last open request of the connection was answered. */
void server_memory_answered(struct server_memory *m, int64_t now);
/** The last response was written; frees what was received. */
void server_memory_refused(struct server_memory *m, int64_t now);
/** Whether the body has not come on and is to be refused with 408. */
bool server_memory_is_overdue(const struct server_memory *m, int64_t now);
/** Drops stalled requests when memory is short. Called regularly. */
void server_memory_check(struct http_request_budget *budget, int64_t now);

#endif
