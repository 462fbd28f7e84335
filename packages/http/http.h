/**
 * @file
 * HTTP/1.1 towards callers, backend servers, the platform and operators: a
 * strict server and client over http_parser, W3C trace context, and the
 * refusals that callers see.
 *
 * All objects belong to the thread that runs their event base; callbacks are
 * called on that thread. A callback may destroy neither the server nor the
 * client that calls it.
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

/** A list of headers that owns its strings. */
struct http_headers {
	struct http_header *items;
	size_t count;
	size_t capacity;
};

void http_headers_release(struct http_headers *headers);
/** Copies both strings. */
void http_headers_add(struct http_headers *headers, struct base_str name,
		      struct base_str value);
void http_headers_copy(struct http_headers *to,
		       const struct http_headers *from);
/** Removes all headers of that name; names ignore case. */
void http_headers_remove(struct http_headers *headers, struct base_str name);
/** @return an empty string with a NULL pointer when there is none */
struct base_str http_headers_find(const struct http_headers *headers,
				  struct base_str name);
/** True when a Connection header names @p name as its own. */
bool http_headers_names_connection(const struct http_headers *headers,
				   struct base_str name);
/** Headers that concern one connection only and are never forwarded. */
bool http_header_is_hop_by_hop(struct base_str name);

struct http_request {
	struct base_str method;
	struct base_str path;
	/** After the question mark, without it; may be empty. */
	struct base_str query;
	struct http_headers headers;
	struct base_str body;
	/**
	 * For the client: do not send it on a kept connection, which the other
	 * side may be closing.
	 */
	bool fresh_connection;
};

/** One request at a server, until its reply. */
struct http_exchange {
	struct http_request request;
	/** When the whole request had arrived, in monotonic microseconds. */
	int64_t received_at;
	/** For the handler. */
	void *user;
};

struct http_server;

/**
 * Called when a whole request has arrived. The exchange stays valid until
 * http_exchange_reply(), which must be called exactly once.
 */
typedef void (*http_server_handler)(void *ctx, struct http_exchange *ex);

/** Called at most once, when the caller hung up; reply is still required. */
typedef void (*http_disconnect_cb)(void *ctx, struct http_exchange *ex);

struct http_server_settings {
	struct base_str listen;
	/** Larger bodies are answered with 413, in bytes. */
	size_t max_body;
	/** Names and values together, in bytes; more ends the connection. */
	size_t max_headers;
	/** Accepted connections beyond this are closed at once. */
	size_t max_connections;
	/** Ends connections that neither send nor wait for a reply. */
	int64_t idle_timeout_us;
	http_server_handler handler;
	void *ctx;
};

enum http_error http_server_create(struct event_base *base,
				   const struct http_server_settings *settings,
				   struct http_server **out,
				   struct base_error *err);
/** Closes all connections; no exchange may be open. */
void http_server_destroy(struct http_server *server);
/** The bound address as "IP:PORT", also when the port was chosen freely. */
const char *http_server_address(const struct http_server *server);
/**
 * Stops listening. Connections stay open, and each further reply asks its
 * caller to close.
 */
void http_server_stop_accepting(struct http_server *server);
/** Bounds of what callers may send; a value of 0 keeps the present one. */
struct http_server_limits {
	/** Bytes of a request's head. */
	size_t max_headers;
	/** Time in which a head arrives. */
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);
/** Each further reply asks its caller to close; connections are accepted. */
void http_server_close_when_answered(struct http_server *server);
/** Whether bytes of replies wait for their callers to read. */
bool http_server_has_unsent(const struct http_server *server);
/** Exchanges that wait for a reply. */
size_t http_server_open_exchanges(const struct http_server *server);
size_t http_server_connection_count(const struct http_server *server);

void http_exchange_on_gone(struct http_exchange *ex, http_disconnect_cb cb,
			   void *ctx);
/** Sends the reply and frees the exchange. @p headers may be NULL. */
void http_exchange_reply(struct http_exchange *pub, int status,
			 const struct http_headers *headers,
			 struct base_str body);

enum http_result {
	/** A whole answer with any status. */
	HTTP_RESULT_ANSWERED,
	/** No connection was made, so nothing was sent. */
	HTTP_RESULT_NOT_SENT,
	/** The connection ended after sending began. */
	HTTP_RESULT_CONNECTION_LOST,
	/** The time of the call ran out; it may have been sent. */
	HTTP_RESULT_TIMED_OUT,
	/** The answer was over the limit. */
	HTTP_RESULT_TOO_LARGE,
	/** The answer was not valid HTTP or its end was not marked. */
	HTTP_RESULT_INVALID,
};

struct http_answer {
	int status;
	struct http_headers headers;
	struct base_str body;
};

struct http_client;
struct http_call;

/**
 * Called exactly once for each call unless it was cancelled.
 * @param answer  NULL unless @p result is HTTP_RESULT_ANSWERED; valid during
 *                the callback
 */
typedef void (*http_call_cb)(void *ctx, enum http_result result,
			     const struct http_answer *answer);

struct http_client_settings {
	struct base_str address;
	/** Calls beyond this many at a time are not accepted. */
	size_t max_connections;
	/** In bytes. */
	size_t max_answer;
	/**
	 * Header that answers repeat from their request. An answer with another
	 * value belongs to an earlier request and is dropped, as is a good one
	 * without it. May be empty.
	 */
	struct base_str echo_header;
	/**
	 * An answer without a length is whole when its connection ends in
	 * order. Otherwise it is HTTP_RESULT_INVALID.
	 */
	bool accept_close_delimited;
};

/** A pool of kept-alive connections to one address. */
enum http_error http_client_create(struct event_base *base,
				   const struct http_client_settings *settings,
				   struct http_client **out,
				   struct base_error *err);
/** Open calls are dropped without a callback. */
void http_client_destroy(struct http_client *client);
/**
 * @param timeout_us  ends the call as HTTP_RESULT_TIMED_OUT; 0 for no limit
 * @return NULL when all connections are in use or the method is unknown; the
 *         callback is not called then
 */
struct http_call *http_client_send(struct http_client *client,
				   const struct http_request *request,
				   int64_t timeout_us, http_call_cb cb,
				   void *ctx);
/** Ends the call without a callback and closes its connection. */
void http_call_cancel(struct http_call *call);
size_t http_client_connection_count(const struct http_client *client);

/** W3C trace context. */
struct http_trace {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t flags;
};

#define HTTP_TRACEPARENT_LEN 55

/** @return false when @p text is not a valid traceparent */
bool http_trace_parse(struct base_str text, struct http_trace *trace);
void http_trace_start(struct http_trace *trace);
/** Keeps the trace and takes a new span id. */
void http_trace_child(const struct http_trace *parent,
		      struct http_trace *child);
/** Writes a NUL-terminated traceparent. */
void http_trace_format(const struct http_trace *trace,
		       char out[HTTP_TRACEPARENT_LEN + 1]);

/** Why a request was refused; docs/callers.md is the table for callers. */
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
bool http_refusal_parse(struct base_str name, enum http_refusal *refusal);
int http_refusal_code(enum http_refusal refusal);
/** Whether the refusal can only be given when the request did not run. */
bool http_refusal_implies_not_run(enum http_refusal refusal);

/**
 * Usual time after which a request that has not run may be sent again, in
 * microseconds; 0 when the caller gains nothing by it.
 */
int64_t http_refusal_return_us(enum http_refusal refusal);

struct http_refusal_details {
	enum http_refusal refusal;
	/** Whether it is certain that the request did not run. */
	bool not_run;
	/** 0 when the caller gains nothing by trying again. */
	int64_t retry_after_us;
	/**
	 * The status alone tells the outcome: 503 for what has not run, 502 or
	 * 504 otherwise. No header of the product is added.
	 */
	bool status_implies_not_run;
	/** One sentence for a person. */
	struct base_str detail;
};

/** Status of the answer; see http_refusal_details.status_implies_not_run. */
int http_refusal_status(const struct http_refusal_details *details);
/** Builds headers and JSON body of a refusal. */
void http_refusal_build(const struct http_refusal_details *details,
			struct http_headers *headers, struct base_buf *body);

#endif
