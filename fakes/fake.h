/*
 * Helpers of the stand-in programs: HTTP server, pool of client connections,
 * UUIDv7. Every function exits the process with a message on failure.
 */
#ifndef FAKE_H
#define FAKE_H

#include "base.h"

#include <evhtp.h>

struct evhttp_connection;
struct evhttp_request;

/** Prints a message on standard error and exits with status 1. */
void fake_die(const char *fmt, ...) BASE_PRINTF(1, 2) __attribute__((noreturn));
/**
 * Parses a non-negative integer; exits when the text is not one.
 * @param name  name of the option, for the error message
 */
int64_t fake_parse_number(const char *name, const char *text);

/** Creates an event loop with timers finer than the default of 4 ms. */
struct event_base *fake_loop_create(void);

/**
 * Listens on "IP:PORT" and prints the line "listening=IP:PORT". Port 0 selects
 * a free port. @p cb receives all requests.
 */
evhtp_t *fake_listen(struct event_base *loop, const char *address,
		     evhtp_callback_cb cb, void *arg);
void fake_add_header(evhtp_request_t *req, const char *name, const char *value);
/** Sends the response. Resumes the request when it is paused. */
void fake_reply(evhtp_request_t *req, evhtp_res status, struct base_str body);
/** Replaces the content of @p out by the body of the request. */
void fake_copy_body(evhtp_request_t *req, struct base_buf *out);
/** Prints the event, the method, the path and the query as one line. */
void fake_print_call(const char *event, evhtp_request_t *req);
/** Prints the request line, the headers in their order, and the body. */
void fake_print_request(evhtp_request_t *req);
/** Stops the loop on SIGTERM and SIGINT; ignores SIGPIPE. */
void fake_handle_signals(struct event_base *loop);

/** Pool of idle client connections to one address. */
struct fake_pool;

struct fake_pool *fake_pool_create(struct event_base *loop, const char *address,
				   int64_t timeout_us);
/** Closes the idle connections. */
void fake_pool_destroy(struct fake_pool *pool);
/** Returns an idle connection or a new one. The caller returns it. */
struct evhttp_connection *fake_pool_take(struct fake_pool *pool);
void fake_pool_return(struct fake_pool *pool, struct evhttp_connection *conn);
/** Adds a Host header with the address of the pool. */
void fake_pool_set_host(const struct fake_pool *pool,
			struct evhttp_request *req);

#define FAKE_UUID_SIZE 37

/** Writes a UUIDv7 (RFC 9562) with the current time. */
void fake_uuid7_generate(struct base_rand *rnd, char out[FAKE_UUID_SIZE]);

#endif
