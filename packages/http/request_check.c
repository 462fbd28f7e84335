/* Checks of a request head beyond its syntax, and refusals of invalid ones. */
#include "request_check.h"

/*
 * If one of the headers in `single` occurred twice, two parsers could interpret
 * the request differently.
 */
const char *http_request_check(const struct http_message *m)
{
	static const char *const single[] = { "Host", "Authorization",
					      "Idempotency-Key",
					      "Content-Length" };
	const struct http_headers *headers = &m->headers;
	size_t i, j, n;

	for (i = 0; i < BASE_ARRAY_SIZE(single); i++) {
		n = 0;
		for (j = 0; j < headers->count; j++)
			n += base_str_equal_nocase(headers->items[j].name,
						   base_str_from(single[i]));
		if (n > 1)
			return "a header that may occur only once is repeated";
	}
	if (!http_headers_find(headers, BASE_STR("Host")).ptr &&
	    m->parser.http_minor > 0)
		return "the Host header is missing";
	if (!m->target.len || m->target.ptr[0] != '/')
		return "the request target is not an absolute path";
	return NULL;
}

struct http_request_fault http_request_fault_of(enum http_message_fault fault)
{
	switch (fault) {
	case HTTP_MESSAGE_FAULT_VERSION:
		return (struct http_request_fault){
			HTTP_REFUSAL_BAD_REQUEST, 505,
			"the HTTP version is not supported"
		};
	case HTTP_MESSAGE_FAULT_TRANSFER_CODING:
		return (struct http_request_fault){
			HTTP_REFUSAL_BAD_REQUEST, 501,
			"the transfer coding is not supported"
		};
	case HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE:
		return (struct http_request_fault){
			HTTP_REFUSAL_BAD_REQUEST, 431,
			"the request line and headers exceed the size limit"
		};
	case HTTP_MESSAGE_FAULT_BODY_TOO_LARGE:
		return (struct http_request_fault){
			HTTP_REFUSAL_BODY_TOO_LARGE, 413,
			"the body is over the limit of this daemon"
		};
	default:
		return (struct http_request_fault){
			HTTP_REFUSAL_BAD_REQUEST, 400,
			"the request is malformed"
		};
	}
}

bool http_request_is_parallel(const struct http_message *m)
{
	enum http_method method = (enum http_method)m->parser.method;

	return m->complete && !m->body.len &&
	       (method == HTTP_GET || method == HTTP_HEAD ||
		method == HTTP_OPTIONS);
}
