/* Strict reading of HTTP/1.1 messages, shared by the server and the client. */
#ifndef HEAD_H
#define HEAD_H

#include "http.h"

#include <event2/buffer.h>
#include <http_parser.h>

/** Why a message was not accepted. */
enum http_message_fault {
	HEAD_OK = 0,
	/** Malformed, or of a form that two readers may take differently. */
	HEAD_FAULT_SYNTAX,
	HEAD_FAULT_VERSION,
	HEAD_FAULT_CODING,
	HEAD_FAULT_HEAD_TOO_LARGE,
	HEAD_FAULT_BODY_TOO_LARGE,
};

/** One message while it is read. */
struct http_message {
	http_parser parser;
	enum http_parser_type type;
	struct http_headers headers;
	struct base_buf target;
	struct base_buf name;
	struct base_buf value;
	struct base_buf body;
	size_t max_body;
	/** The request was HEAD, so its answer has no body. */
	bool answers_head;
	bool headers_complete;
	bool complete;
	enum http_message_fault fault;
};

void http_message_init(struct http_message *m, enum http_parser_type type,
		       size_t max_body);
/** Forgets what was read and starts with the next message. */
void http_message_reset(struct http_message *m);
void http_message_release(struct http_message *m);

/**
 * Checks that a whole head is in @p in, and its bytes. Empty lines before it
 * are dropped; two of them would be taken for a head, and the bytes of the real
 * one would not be checked.
 * @param[out] fault  set when the head is not acceptable
 * @return true when a whole head is there or @p fault is set
 */
bool http_message_check_head(struct evbuffer *in, enum http_parser_type type,
			     size_t max_head, enum http_message_fault *fault);
/**
 * Reads from @p in up to the end of one message. Bytes behind it stay there.
 * Check m->fault and m->complete afterwards.
 */
void http_message_parse(struct http_message *m, struct evbuffer *in);
/** The connection ended in order; completes a message without a length. */
void head_message_end(struct http_message *m);
/** The end of the message is given by the end of its connection. */
bool head_message_is_unframed(const struct http_message *m);

#endif
