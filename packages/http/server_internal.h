/* State of the HTTP server that its files share. */
#ifndef HTTP_SERVER_INTERNAL_H
#define HTTP_SERVER_INTERNAL_H

#include "http_message.h"
#include "pipeline.h"
#include "server_memory.h"

#include <sys/queue.h>

struct bufferevent;
struct event;
struct evconnlistener;
struct evbuffer_cb_entry;

struct connection {
	LIST_ENTRY(connection) link;
	struct http_server *server;
	struct bufferevent *bev;
	struct evbuffer_cb_entry *output_cb;
	struct evbuffer_cb_entry *input_cb;
	/* The requests that were handed out, in their order. */
	struct http_pipeline pipeline;
	/* The request that is being read, or that waits to be handed out. */
	struct http_message message;
	struct server_memory memory;
	/*
	 * When that request began to be read. 0 between requests, and while it
	 * waits for earlier ones, as its caller is not late then.
	 */
	int64_t request_started_at;
	int64_t last_input_at;
	/* When the request in `message` was complete; 0 before. */
	int64_t completed_at;
	int64_t idle_since;
	/* Since when a closing connection has delivered all; 0 before. */
	int64_t delivered_at;
	/* Limit of the input buffer in bytes. */
	size_t max_input;
	size_t discarded_bytes;
	/* Received since the input was last processed. */
	size_t received_bytes;
	/* Undelivered bytes when they last became fewer, and that time. */
	size_t undelivered_bytes;
	int64_t progress_at;
	/* The part of the body that came with the head was read. */
	bool body_started;
	bool reading_paused;
	/* Input waits until a further request may be started. */
	bool parked;
	/* The last request was read; its response closes the connection. */
	bool last_request_read;
	/* The last response was written; input is discarded. */
	bool closing;
	/* The caller sends nothing more. */
	bool input_ended;
	bool in_handler;
};

struct exchange {
	struct http_exchange pub;
	struct http_pipeline_slot slot;
	struct connection *connection;
	/* Counts the request until it is released; NULL for none. */
	struct http_request_budget *budget;
	size_t held_bytes;
	http_disconnect_cb on_disconnect;
	void *disconnect_ctx;
	bool replied;
	bool keep_alive;
	bool is_head;
};

struct http_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *timeout_check;
	LIST_HEAD(, connection) connections;
	size_t connection_count;
	size_t open_exchanges;
	/*
	 * Bytes in the output buffers of all connections and of responses that
	 * wait for earlier ones.
	 */
	size_t unsent_bytes;
	size_t max_body;
	/* Of the settings, which the limits may lower. */
	size_t largest_max_body;
	size_t max_head_bytes;
	size_t max_connections;
	/* NULL for none. */
	struct http_request_budget *budget;
	int64_t idle_timeout_us;
	int64_t header_timeout_us;
	http_server_handler handler;
	http_server_stalled_cb on_stalled_reader;
	http_server_invalid_cb on_invalid_response;
	void *ctx;
	bool keep_alive_disabled;
	char address[80];
};

/**
 * Takes the request that was read and appends it to the pipeline; the next one
 * can be read then. The exchange is freed by its reply.
 */
struct exchange *http_exchange_create(struct connection *c);
/** Ends the exchanges of a connection that was freed. */
void http_exchange_cancel_all(struct http_pipeline *p);
/** Closes the connection once its caller has read the last response. */
void http_connection_linger(struct connection *c);
/** Continues with input that was waiting, from the event loop. */
void http_connection_resume(struct connection *c);
/**
 * Refuses the request that is being read, as not run. The refusal is the last
 * response; it is sent after those due before it.
 */
void http_connection_refuse(struct connection *c, enum http_refusal refusal,
			    int status, const char *detail);

#endif
