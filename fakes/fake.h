/*
 * Shared by the stand-in programs: an HTTP server, a pool of client
 * connections and UUIDv7. Errors end the program with a message.
 */
#ifndef FAKE_H
#define FAKE_H

#include "base.h"

#include <evhtp.h>

struct evhttp_connection;
struct evhttp_request;

/** Ends the program with a message on standard error. */
void fake_die(const char *fmt, ...) BASE_PRINTF(1, 2) __attribute__((noreturn));
/** Parses a number from 0 up, or ends the program. */
int64_t fake_parse_number(const char *name, const char *text);

/** Creates a loop with timers finer than the default of 4 ms. */
struct event_base *fake_loop_create(void);

/**
 * Listens on "IP:PORT" and prints "listening=IP:PORT" as one line; port 0
 * chooses a free one. All requests go to @p cb.
 */
evhtp_t *fake_listen(struct event_base *loop, const char *address,
		     evhtp_callback_cb cb, void *arg);
void fake_add_header(evhtp_request_t *req, const char *name, const char *value);
/** Answers; also resumes a request that was paused. */
void fake_reply(evhtp_request_t *req, evhtp_res status, struct base_str body);
/** Copies the body of a request to @p out. */
void fake_copy_body(evhtp_request_t *req, struct base_buf *out);
/** Prints a line with the event, the method, the path and the query. */
void fake_print_call(const char *event, evhtp_request_t *req);
/** Prints a request as received, with its headers in order and its body. */
void fake_print_request(evhtp_request_t *req);
/** Ends the loop on SIGTERM and SIGINT and ignores SIGPIPE. */
void fake_handle_signals(struct event_base *loop);

/** Idle client connections to one address. */
struct fake_pool;

struct fake_pool *fake_pool_create(struct event_base *loop, const char *address,
				   int64_t timeout_us);
/** Closes the idle connections. */
void fake_pool_destroy(struct fake_pool *pool);
/** Takes an idle connection or opens one. */
struct evhttp_connection *fake_pool_take(struct fake_pool *pool);
void fake_pool_return(struct fake_pool *pool, struct evhttp_connection *conn);
/** Adds the Host header with the pool's address. */
void fake_pool_set_host(const struct fake_pool *pool,
			struct evhttp_request *req);

#define FAKE_UUID_SIZE 37

/** Writes a UUIDv7 (RFC 9562) for this moment. */
void fake_uuid7_generate(struct base_rand *rnd, char out[FAKE_UUID_SIZE]);

#endif
