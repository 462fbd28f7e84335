/**
 * @file
 * HTTP/1.1 for callers, backend servers, the platform and operators: a strict
 * server and client over http_parser, W3C trace context, and the refusals that
 * are sent to callers.
 *
 * An object may only be used by the thread that runs its event base, which also
 * calls its callbacks. A callback must not destroy the server or the client
 * that calls it.
 */
#ifndef HTTP_H
#define HTTP_H

#include "base.h"

#include <netinet/in.h>

struct event_base;

enum http_error {
	HTTP_ERR_NONE = 0,
	HTTP_ERR_ADDRESS,
	HTTP_ERR_BIND,
	HTTP_ERR_NO_MEMORY,
};

/** Returns a static description of a status. Never NULL. */
const char *http_strerror(enum http_error status);

/**
 * Parses "IP:PORT" or "[IPv6]:PORT".
 * @return HTTP_ERR_ADDRESS with a message when it is neither
 */
enum http_error http_address_parse(struct base_str text,
				   struct sockaddr_storage *addr,
				   socklen_t *len, struct base_error *err);

struct http_header {
	struct base_str name;
	struct base_str value;
};

struct http_header_block;

/** A list of headers that owns its strings. */
struct http_headers {
	struct http_header *items;
	size_t count;
	size_t capacity;
	/** Private: memory of the strings. */
	struct http_header_block *blocks;
};

void http_headers_release(struct http_headers *headers);
/** Appends a header; copies both strings. */
void http_headers_add(struct http_headers *headers, struct base_str name,
		      struct base_str value);
/** Appends a header without copies; the strings must outlive the list. */
void http_headers_add_view(struct http_headers *headers, struct base_str name,
			   struct base_str value);
/** Appends copies of all headers of @p from to @p to. */
void http_headers_copy(struct http_headers *to,
		       const struct http_headers *from);
/** Removes all headers of that name, ignoring case. */
void http_headers_remove(struct http_headers *headers, struct base_str name);
/**
 * Finds the first header of that name, ignoring case.
 * @return its value, which @p headers owns; BASE_STR_NONE when there is none
 */
struct base_str http_headers_find(const struct http_headers *headers,
				  struct base_str name);
/** Whether a Connection header lists @p name as a connection option. */
bool http_headers_has_connection_option(const struct http_headers *headers,
					struct base_str name);
/**
 * Whether a message may have this header: its name is a token and its value has
 * no control bytes but tabs.
 */
bool http_header_is_valid(struct base_str name, struct base_str value);
bool http_headers_are_valid(const struct http_headers *headers);
/** Whether the header applies to one connection only and is not forwarded. */
bool http_header_is_hop_by_hop(struct base_str name);

struct http_request {
	struct base_str method;
	struct base_str path;
	/** The part after the question mark; may be empty. */
	struct base_str query;
	struct http_headers headers;
	struct base_str body;
	/**
	 * For the client: send it on a new connection. A pooled connection may
	 * be about to be closed by the server.
	 */
	bool fresh_connection;
	/**
	 * For the client: time for which the call may go on after its time-out,
	 * see HTTP_RESULT_OVERDUE; 0 for none.
	 */
	int64_t linger_us;
};

/** A request received by a server, valid until it is replied to. */
struct http_exchange {
	struct http_request request;
	/** When the request was complete, in microseconds of base_now_us(). */
	int64_t received_at;
	/** For use by the handler. */
	void *user;
};

struct http_server;

/**
 * Called when a complete request has been received. The exchange stays valid
 * until http_exchange_reply(), which must be called exactly once.
 */
typedef void (*http_server_handler)(void *ctx, struct http_exchange *ex);

/**
 * Called at most once, when the caller disconnects before the reply.
 * http_exchange_reply() must still be called.
 */
typedef void (*http_disconnect_cb)(void *ctx, struct http_exchange *ex);

/**
 * A connection is closed because its caller has read nothing of a response for
 * the idle timeout.
 * @param unread  bytes that the caller has not read
 */
typedef void (*http_server_stalled_cb)(void *ctx, size_t unread);

/**
 * A response was not written, because its status is not final or one of its
 * headers is not valid. The caller gets 502 in its place.
 */
typedef void (*http_server_invalid_cb)(void *ctx, int status);

/** Memory for the requests of several servers, until they are answered. */
struct http_request_budget;

/** Why a request or connection was dropped before it was passed on. */
enum http_request_drop {
	/** The request had stalled while memory was short; status 408. */
	HTTP_REQUEST_DROP_STALLED,
	/** Memory was short; status 503. */
	HTTP_REQUEST_DROP_MEMORY,
	/** The connection was closed to take another one. */
	HTTP_REQUEST_DROP_CONNECTION,
};

/** @param bytes  memory that the request held */
typedef void (*http_request_dropped_cb)(void *ctx, enum http_request_drop cause,
					size_t bytes);

struct http_request_budget_settings {
	/**
	 * Limit of the bytes held for all requests. From half of it on, large
	 * requests are read one at a time and stalled ones are dropped.
	 */
	size_t max_bytes;
	/** Limit of the connections of all servers; 0 for none. */
	size_t max_connections;
	/** May be NULL. */
	http_request_dropped_cb on_dropped;
	void *ctx;
};

struct http_request_budget *
http_request_budget_create(struct event_base *base,
			   const struct http_request_budget_settings *settings);
/** The servers that use the budget must have been destroyed. */
void http_request_budget_destroy(struct http_request_budget *budget);
size_t http_request_budget_bytes(const struct http_request_budget *budget);
/** Whether a request of so many bytes may be taken from elsewhere. */
bool http_request_budget_has_room(const struct http_request_budget *budget,
				  size_t bytes);
/** Counts bytes of requests that are held outside the servers. */
void http_request_budget_add(struct http_request_budget *budget, size_t bytes);
void http_request_budget_subtract(struct http_request_budget *budget,
				  size_t bytes);

struct http_server_settings {
	struct base_str listen;
	/** Limit of a body in bytes; larger ones are refused with 413. */
	size_t max_body;
	/**
	 * Limit of the request line and headers together, in bytes. Larger ones
	 * are refused with 431 and the connection is closed.
	 */
	size_t max_head_bytes;
	/**
	 * Further connections are accepted and closed at once, or, with a
	 * budget, take the place of one that is idle or has stalled.
	 */
	size_t max_connections;
	/** May be NULL; must outlive the server. */
	struct http_request_budget *budget;
	/**
	 * Connections without a request, or whose caller reads nothing of a
	 * response, for this long are closed.
	 */
	int64_t idle_timeout_us;
	http_server_handler handler;
	/** May be NULL. */
	http_server_stalled_cb on_stalled_reader;
	/** May be NULL. */
	http_server_invalid_cb on_invalid_response;
	void *ctx;
};

/**
 * Listens on settings->listen, "IP:PORT"; port 0 selects a free port.
 * @return HTTP_ERR_ADDRESS or HTTP_ERR_BIND on failure, with a message in
 *         @p err, which may be NULL
 */
enum http_error http_server_create(struct event_base *base,
				   const struct http_server_settings *settings,
				   struct http_server **out,
				   struct base_error *err);
/** Closes all connections; no exchange may be open. */
void http_server_destroy(struct http_server *server);
/** The bound address as "IP:PORT", with the selected port. */
const char *http_server_address(const struct http_server *server);
/**
 * Stops listening and disables keep-alive. Open connections remain until their
 * next response, which carries "Connection: close".
 */
void http_server_stop_accepting(struct http_server *server);
/** Limits of what callers may send; 0 leaves a limit unchanged. */
struct http_server_limits {
	/** Size of the request line and headers in bytes. */
	size_t max_head_bytes;
	/**
	 * Time from the start of a request to the end of its headers; 30 s
	 * unless set. The whole request may take 30 s.
	 */
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
	/** Size of a body in bytes; only lowers that of the settings. */
	size_t max_body;
};

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);
/**
 * Sends "Connection: close" with each further response. New connections are
 * still accepted.
 */
void http_server_disable_keep_alive(struct http_server *server);
/**
 * Whether the system of a caller has not yet acknowledged all of a response.
 */
bool http_server_has_undelivered_data(const struct http_server *server);
/** Bytes of responses that are held because callers have not read them. */
size_t http_server_unsent_bytes(const struct http_server *server);
/** Number of exchanges without a reply. */
size_t http_server_open_exchange_count(const struct http_server *server);
size_t http_server_connection_count(const struct http_server *server);

void http_exchange_set_disconnect_cb(struct http_exchange *ex,
				     http_disconnect_cb cb, void *ctx);
/** Whether @p status is that of a final response, from 200 to 599. */
bool http_status_is_final(int status);
/**
 * Sends the response and frees the exchange. In place of a response that is not
 * valid, one of status 502 without headers and body is sent.
 * @param headers  may be NULL
 */
void http_exchange_reply(struct http_exchange *pub, int status,
			 const struct http_headers *headers,
			 struct base_str body);

enum http_result {
	/** A complete response with any status. */
	HTTP_RESULT_RESPONSE,
	/** No connection was established, so nothing was sent. */
	HTTP_RESULT_NOT_SENT,
	/** The connection was lost; the request may have been sent. */
	HTTP_RESULT_CONNECTION_LOST,
	/** The call timed out; the request may have been sent. */
	HTTP_RESULT_TIMED_OUT,
	/**
	 * The call timed out; the request may have been sent. The call goes on,
	 * and ends with another result within linger_us of its request. Its
	 * connection is used again if the response comes.
	 */
	HTTP_RESULT_OVERDUE,
	/** The response exceeded the size limit. */
	HTTP_RESULT_TOO_LARGE,
	/** The response was not valid HTTP, or its length was not given. */
	HTTP_RESULT_INVALID,
};

struct http_response {
	int status;
	struct http_headers headers;
	struct base_str body;
};

struct http_client;
struct http_call;

/**
 * Called exactly once for each call unless it is cancelled, and once more
 * before that with HTTP_RESULT_OVERDUE if the call lingers. Except then, the
 * call is freed before, so its pointer is no longer valid.
 * @param response  NULL unless @p result is HTTP_RESULT_RESPONSE; valid during
 *                  the callback
 */
typedef void (*http_call_cb)(void *ctx, enum http_result result,
			     const struct http_response *response);

/** Returns the bytes of former responses that are still held elsewhere. */
typedef size_t (*http_held_cb)(void *ctx);

/**
 * A server sent a response that answers no open request. Its connection is
 * closed once the present call has ended.
 */
typedef void (*http_stray_cb)(void *ctx, int status);

/** Why a client opened a connection. */
enum http_open_cause {
	/** No connection was idle. */
	HTTP_OPEN_NONE_IDLE,
	/** The same request has failed on each idle connection. */
	HTTP_OPEN_FAILED_ID,
	/** The request asked for it. */
	HTTP_OPEN_FRESH,
	HTTP_OPEN_CAUSES,
};

/** Why a connection of a client was closed. */
enum http_close_cause {
	/** The response said so, or did not allow reuse. */
	HTTP_CLOSE_ANNOUNCED,
	/** It was idle for too long to be used again. */
	HTTP_CLOSE_IDLE_EXPIRED,
	/** The server closed it while it was idle. */
	HTTP_CLOSE_IDLE_BY_SERVER,
	/** A response came that answers no open request, or may not. */
	HTTP_CLOSE_STRAY,
	/** It cannot remember the ids of more failed requests. */
	HTTP_CLOSE_MANY_FAILURES,
	/** Bytes followed the response, or the request was not sent whole. */
	HTTP_CLOSE_UNREAD_OR_UNSENT,
	/** The call was cancelled while the request ran. */
	HTTP_CLOSE_CANCELLED,
	/** No response came in time. */
	HTTP_CLOSE_TIMED_OUT,
	/** It was refused, or not established in time. */
	HTTP_CLOSE_CONNECT_FAILED,
	/** It was lost during a call. */
	HTTP_CLOSE_LOST,
	/** The response was not valid or too large. */
	HTTP_CLOSE_INVALID,
	HTTP_CLOSE_CLIENT_DESTROYED,
	HTTP_CLOSE_CAUSES,
};

/** Counts since the client was created. */
struct http_client_statistics {
	int64_t opened[HTTP_OPEN_CAUSES];
	int64_t closed[HTTP_CLOSE_CAUSES];
	/** Calls not made, see troubled_connects_per_s. */
	int64_t opens_refused;
	/** Responses to calls that were overdue. */
	int64_t late_responses;
};

/** Names for counters, for example "none_idle". */
const char *http_open_cause_name(enum http_open_cause cause);
const char *http_close_cause_name(enum http_close_cause cause);

struct http_client_settings {
	struct base_str address;
	/** Limit of connections, those in use and idle ones together. */
	size_t max_connections;
	/** Limit of a response body in bytes. */
	size_t max_response_bytes;
	/**
	 * Name of a header that responses repeat from their request; may be
	 * empty. A response with another value belongs to an earlier request
	 * and is dropped. One without the header is dropped too, unless its
	 * status is 400 or above: then it answers the first request of a
	 * connection, and on later ones the call ends as HTTP_RESULT_INVALID.
	 * A request is not sent on a connection on which one with the same
	 * value was answered with a status of 400 or above.
	 */
	struct base_str echo_header;
	/**
	 * Time after which an idle connection is not used again, where the
	 * server announces none; 0 for the default of 5 s.
	 */
	int64_t idle_us;
	/**
	 * Limit of new connections a second while the server refuses them or
	 * resets them before their first response; 0 for none. Each new one
	 * that works allows two more. Beyond it, http_client_send() returns
	 * NULL.
	 */
	int64_t troubled_connects_per_s;
	/**
	 * Limit of the bytes held for all responses that are being received; 0
	 * for none. From half of it on, only the oldest such call and those
	 * with little of a response go on reading.
	 */
	size_t max_held_bytes;
	/** Responses that are passed on count too; may be NULL. */
	http_held_cb held_elsewhere;
	void *held_ctx;
	/** Called for each response that was dropped; may be NULL. */
	http_stray_cb on_stray;
	void *stray_ctx;
	/**
	 * Accept a response without a length as complete when its connection
	 * is closed cleanly. Otherwise it is HTTP_RESULT_INVALID.
	 */
	bool accept_close_delimited;
};

/**
 * Creates a client with a pool of keep-alive connections to one address.
 * @return HTTP_ERR_ADDRESS with a message when the address is not valid
 */
enum http_error http_client_create(struct event_base *base,
				   const struct http_client_settings *settings,
				   struct http_client **out,
				   struct base_error *err);
/** Cancels open calls without a callback. */
void http_client_destroy(struct http_client *client);
/**
 * Sends a request; the request is copied.
 * @param timeout_us  limit for the whole call; 0 for none. A call that times
 *                    out ends as HTTP_RESULT_TIMED_OUT, or as
 *                    HTTP_RESULT_NOT_SENT if it was not connected by then
 * @return a call that belongs to the client and is valid until its callback or
 *         http_call_cancel(); NULL when no connection is available or the
 *         method is not supported, and the callback is not called then
 */
struct http_call *http_client_send(struct http_client *client,
				   const struct http_request *request,
				   int64_t timeout_us, http_call_cb cb,
				   void *ctx);
/**
 * Cancels the call without a callback and closes its connection, so that the
 * server stops the work. A connection that is not established yet is kept.
 */
void http_call_cancel(struct http_call *call);
size_t http_client_connection_count(const struct http_client *client);
/** The client owns the result, which changes with its events. */
const struct http_client_statistics *
http_client_statistics(const struct http_client *client);
/** Memory of the responses that are being received, in bytes. */
size_t http_client_held_bytes(const struct http_client *client);

/** W3C trace context. */
struct http_trace {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t flags;
};

#define HTTP_TRACEPARENT_LEN 55

/** @return false when @p text is not a valid traceparent */
bool http_trace_parse(struct base_str text, struct http_trace *trace);
/** Sets a random trace id and span id and the flag "sampled". */
void http_trace_start(struct http_trace *trace);
/** Copies the trace id and flags of @p parent and sets a new span id. */
void http_trace_child(const struct http_trace *parent,
		      struct http_trace *child);
/** Writes a NUL-terminated traceparent. */
void http_trace_format(const struct http_trace *trace,
		       char out[HTTP_TRACEPARENT_LEN + 1]);

/** Why a request was refused; docs/callers.md describes them for callers. */
enum http_refusal {
	HTTP_REFUSAL_BAD_REQUEST,
	HTTP_REFUSAL_UNAUTHENTICATED,
	HTTP_REFUSAL_FORBIDDEN,
	HTTP_REFUSAL_NO_ROUTE,
	HTTP_REFUSAL_BODY_TOO_LARGE,
	HTTP_REFUSAL_IDEMPOTENCY_KEY_REQUIRED,
	HTTP_REFUSAL_IDEMPOTENCY_KEY_INVALID,
	HTTP_REFUSAL_IDEMPOTENCY_MISMATCH,
	HTTP_REFUSAL_IN_PROGRESS,
	HTTP_REFUSAL_KEY_TOO_OLD,
	HTTP_REFUSAL_RATE_LIMITED,
	HTTP_REFUSAL_OVERLOADED,
	HTTP_REFUSAL_NO_SERVER,
	HTTP_REFUSAL_OWNER_UNREACHABLE,
	HTTP_REFUSAL_DRAINING,
	HTTP_REFUSAL_SUSPECT,
	HTTP_REFUSAL_NOT_READY,
	HTTP_REFUSAL_DEADLINE,
	HTTP_REFUSAL_CONNECTION_LOST,
	HTTP_REFUSAL_ANSWER_TOO_LARGE,
	HTTP_REFUSAL_COUNT,
};

/** The machine-readable name, for example "rate_limited". */
const char *http_refusal_name(enum http_refusal refusal);
/** @return false when there is no refusal of that name */
bool http_refusal_parse(struct base_str name, enum http_refusal *refusal);
/** HTTP status of the refusal unless the details require another one. */
int http_refusal_default_status(enum http_refusal refusal);
/** Whether this refusal is sent only for requests that did not run. */
bool http_refusal_implies_not_run(enum http_refusal refusal);

/**
 * Default time after which a request that did not run may be retried, in
 * microseconds; 0 when a retry is of no use.
 */
int64_t http_refusal_retry_after_us(enum http_refusal refusal);

struct http_refusal_details {
	enum http_refusal refusal;
	/** Whether it is certain that the request did not run. */
	bool not_run;
	/** 0 when a retry is of no use. */
	int64_t retry_after_us;
	/**
	 * Only the status states the outcome, and no Bilberryhinge-* header is
	 * added. A request that did not run gets 503 in place of 502 or 504;
	 * one that may have run gets 502 in place of 429 or 503.
	 */
	bool status_implies_not_run;
	/** Explanation for people. */
	struct base_str detail;
};

/** HTTP status of the refusal with these details. */
int http_refusal_status(const struct http_refusal_details *details);
/** Appends the headers and the JSON body of a refusal. */
void http_refusal_build(const struct http_refusal_details *details,
			struct http_headers *headers, struct base_buf *body);

#endif
