/* Strict parsing of HTTP/1.1 messages, shared by the server and the client. */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include "chunked.h"
#include "http.h"

#include <event2/buffer.h>
#include <http_parser.h>

/** Why a message was not accepted. */
enum http_message_fault {
	HTTP_MESSAGE_OK = 0,
	/** Malformed, or ambiguous to different parsers. */
	HTTP_MESSAGE_FAULT_SYNTAX,
	HTTP_MESSAGE_FAULT_VERSION,
	HTTP_MESSAGE_FAULT_TRANSFER_CODING,
	HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE,
	HTTP_MESSAGE_FAULT_BODY_TOO_LARGE,
};

/** State of a message that is being parsed. */
struct http_message {
	http_parser parser;
	enum http_parser_type type;
	struct http_headers headers;
	struct base_buf target;
	struct base_buf name;
	struct base_buf value;
	struct base_buf body;
	size_t max_body;
	struct http_chunked chunked;
	/** Names and values after the body. */
	size_t trailer_bytes;
	/** The response answers a HEAD request and has no body. */
	bool is_head_response;
	bool headers_complete;
	bool complete;
	enum http_message_fault fault;
};

void http_message_init(struct http_message *m, enum http_parser_type type,
		       size_t max_body);
/** Discards the parsed message and prepares for the next one. */
void http_message_reset(struct http_message *m);
void http_message_release(struct http_message *m);

/**
 * Checks whether @p in starts with a complete message head, and validates its
 * bytes. Empty lines before the head are removed: two of them would be taken
 * for a head, and the actual head would not be validated.
 * @param max_head  limit of the head in bytes
 * @param[out] fault  HTTP_MESSAGE_OK, or why the head is not acceptable
 * @return true when the head is complete or @p fault is set
 */
bool http_message_check_head(struct evbuffer *in, enum http_parser_type type,
			     size_t max_head, enum http_message_fault *fault);
/**
 * Parses bytes from @p in up to the end of one message and removes them. Bytes
 * after the message remain. Check m->fault and m->complete afterwards.
 */
void http_message_parse(struct http_message *m, struct evbuffer *in);
/**
 * Like http_message_parse(), but leaves a body in @p in. A message without a
 * body is complete then.
 */
void http_message_parse_head(struct http_message *m, struct evbuffer *in);
/** Whether responses with this status end with their head. */
bool http_message_status_has_no_body(int status);
/** Completes a close-delimited message after a clean end of the connection. */
void http_message_finish(struct http_message *m);
/** Whether the end of the connection marks the end of the response body. */
bool http_message_is_close_delimited(const struct http_message *m);

#endif
