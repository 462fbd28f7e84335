/*
 * Output of one HTTP message. It is written to the socket at once where
 * possible: leaving this to a bufferevent takes two changes of the descriptor's
 * registration and one more pass of the event loop for each message.
 */
#ifndef HTTP_OUTPUT_H
#define HTTP_OUTPUT_H

#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/**
 * Returns the buffer for a message; http_output_end() must follow.
 * @param connected  whether the socket is connected
 */
struct evbuffer *http_output_begin(struct bufferevent *bev, bool connected);
/** Sends the message; what the socket does not take goes to @p bev. */
void http_output_end(struct bufferevent *bev, struct evbuffer *out);
/** Appends a header line. */
void http_output_add_header(struct evbuffer *out, const struct http_header *h);

/** Appends a Content-Length header. */
void http_output_add_length(struct evbuffer *out, size_t len);
/** Appends the first line of a response. */
void http_output_add_status(struct evbuffer *out, int status,
			    const char *phrase);

#endif
