/* Serialization of the server's responses. */
#ifndef HTTP_RESPONSE_H
#define HTTP_RESPONSE_H

#include "http.h"

struct evbuffer;

/**
 * Writes the status line and the headers, without the end of the head: whether
 * the connection closes is known when the response is sent.
 * @param is_head  the response answers a HEAD request
 */
void http_response_write_head(struct evbuffer *out,
			      const struct http_response *response,
			      bool is_head);
/** Ends the head, with "Connection: close" unless @p keep_alive. */
void http_response_end_head(struct evbuffer *out, bool keep_alive);
/** Writes the body, if the response has one. */
void http_response_write_body(struct evbuffer *out,
			      const struct http_response *response,
			      bool is_head);

#endif
