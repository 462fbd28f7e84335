/* Checks of a request head beyond its syntax, and refusals of invalid ones. */
#ifndef HTTP_REQUEST_CHECK_H
#define HTTP_REQUEST_CHECK_H

#include "http_message.h"

/**
 * Returns why the request with this head is not acceptable, or NULL. The text
 * is static.
 */
const char *http_request_check(const struct http_message *m);
/** How a request with a fault is refused. */
struct http_request_fault {
	enum http_refusal refusal;
	int status;
	const char *detail;
};

struct http_request_fault http_request_fault_of(enum http_message_fault fault);
/**
 * Whether the request may run beside others of its connection: its method is
 * idempotent and it has no body. The head must be complete.
 */
bool http_request_is_parallel(const struct http_message *m);

#endif
