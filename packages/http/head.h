/* Strict reading of HTTP/1.1 messages, shared by the server and the client. */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include "http.h"

#include <event2/buffer.h>
#include <http_parser.h>

/** Why a message was not accepted. */
enum head_fault {
	HTTP_MESSAGE_OK = 0,
	/** Malformed, or of a form that two readers may take differently. */
	HTTP_MESSAGE_FAULT_SYNTAX,
	HTTP_MESSAGE_FAULT_VERSION,
	HTTP_MESSAGE_FAULT_TRANSFER_CODING,
	HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE,
	HTTP_MESSAGE_FAULT_BODY_TOO_LARGE,
};

/** One message while it is read. */
struct head_message {
	http_parser parser;
	enum http_parser_type type;
	struct http_headers headers;
	struct base_buf target;
	struct base_buf name;
	struct base_buf value;
	struct base_buf body;
	size_t max_body;
	/** The request was HEAD, so its answer has no body. */
	bool is_head_response;
	bool headers_complete;
	bool complete;
	enum head_fault fault;
};

void head_message_init(struct head_message *m, enum http_parser_type type,
		       size_t max_body);
/** Forgets what was read and starts with the next message. */
void head_message_restart(struct head_message *m);
void head_message_release(struct head_message *m);

/**
 * Checks that a whole head is in @p in, and its bytes. Empty lines before it
 * are dropped; two of them would be taken for a head, and the bytes of the real
 * one would not be checked.
 * @param[out] fault  set when the head is not acceptable
 * @return true when a whole head is there or @p fault is set
 */
bool head_is_whole(struct evbuffer *in, enum http_parser_type type,
		   size_t max_head, enum head_fault *fault);
/**
 * Reads from @p in up to the end of one message. Bytes behind it stay there.
 * Check m->fault and m->complete afterwards.
 */
void head_message_read(struct head_message *m, struct evbuffer *in);
/** The connection ended in order; completes a message without a length. */
void http_message_finish(struct head_message *m);
/** The end of the message is given by the end of its connection. */
bool http_message_is_close_delimited(const struct head_message *m);

#endif
