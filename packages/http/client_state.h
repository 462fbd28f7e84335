/* State of the HTTP client and its connections. Private to the client. */
#ifndef HTTP_CLIENT_STATE_H
#define HTTP_CLIENT_STATE_H

#include "connect_limit.h"
#include "http.h"
#include "http_message.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/queue.h>

#define RESPONSE_HEAD_MAX_BYTES (64U << 10)

/** Ids of the failed requests of a connection, as hashes. */
struct failed_ids {
	uint64_t *items;
	size_t count;
	size_t capacity;
};

struct connection {
	TAILQ_ENTRY(connection) link;
	struct http_client *client;
	struct bufferevent *bev;
	struct http_message message;
	/** NULL while the connection is idle. */
	struct http_call *call;
	int64_t idle_since;
	int64_t idle_reuse_us;
	/** Read so far of the current message. */
	size_t message_bytes;
	/** Read during the call and not part of its response. */
	size_t unrelated_bytes;
	/** Memory of the response that is being received, in bytes. */
	size_t held_bytes;
	struct failed_ids failed;
	bool connected;
	/** Nothing is read, as too much is held. */
	bool paused;
	/** A request was answered before the present one. */
	bool reused;
	/** An answer to no open request has arrived. */
	bool stray_seen;
};

struct http_call {
	TAILQ_ENTRY(http_call) link;
	struct http_client *client;
	struct connection *connection;
	struct event *timer;
	/** See struct http_request; 0 for none. */
	int64_t linger_us;
	/** The call has timed out and waits for its response. */
	bool overdue;
	/** Echo header value of the response; empty to accept any response. */
	struct base_buf expected_echo;
	http_call_cb cb;
	void *ctx;
};

/** Bounds the calls that linger, see client_linger.h. */
struct linger_credit {
	int64_t credit;
	/** When time last restored credit; 0 before the first call. */
	int64_t restored_at;
};

struct http_client {
	struct event_base *base;
	struct sockaddr_storage addr;
	socklen_t addr_len;
	char host[80];
	char *echo_header;
	size_t max_connections;
	size_t connection_count;
	size_t max_response_bytes;
	int64_t idle_us;
	struct connect_limit connect_limit;
	struct http_client_statistics statistics;
	bool accept_close_delimited;
	http_stray_cb on_stray;
	void *stray_ctx;
	/** The last used connection first. */
	TAILQ_HEAD(pool, connection) idle;
	/** The oldest call first. */
	TAILQ_HEAD(, http_call) calls;
	struct linger_credit linger_credit;
	size_t held_bytes;
	size_t max_held_bytes;
	http_held_cb held_elsewhere;
	void *held_ctx;
	/** Pending while a connection is paused. */
	struct event *resume_timer;
};

/** Frees the call and calls its callback. */
void client_finish_call(struct http_call *call, enum http_result result,
			const struct http_response *response);
/** Closes the connection of the call, and ends the call without a response. */
void client_fail_call(struct http_call *call, enum http_result result,
		      enum http_close_cause cause);

#endif
