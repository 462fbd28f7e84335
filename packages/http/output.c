/* Writes HTTP messages without waiting for the event loop. */
#include "output.h"

#include <string.h>

/* Most heads fit into one piece of this size. */
#define HEAD_TYPICAL_BYTES 1000
#define SHORT_LINE_BYTES 512

struct evbuffer *http_output_begin(struct bufferevent *bev, bool connected)
{
	struct evbuffer *pending = bufferevent_get_output(bev);
	struct evbuffer *out;

	/* The message must not overtake one that is still being sent. */
	if (!connected || evbuffer_get_length(pending))
		return pending;
	out = evbuffer_new();
	if (!out)
		return pending;
	evbuffer_expand(out, HEAD_TYPICAL_BYTES);
	return out;
}

void http_output_end(struct bufferevent *bev, struct evbuffer *out)
{
	if (out == bufferevent_get_output(bev))
		return;
	/* The event loop meets an error again and reports it. */
	evbuffer_write(out, bufferevent_getfd(bev));
	if (evbuffer_get_length(out))
		bufferevent_write_buffer(bev, out);
	evbuffer_free(out);
}

void http_output_add_header(struct evbuffer *out, const struct http_header *h)
{
	size_t len = h->name.len + h->value.len + 4;
	char line[SHORT_LINE_BYTES];
	char *at = line;

	if (len > sizeof(line)) {
		evbuffer_add(out, h->name.ptr, h->name.len);
		evbuffer_add(out, ": ", 2);
		evbuffer_add(out, h->value.ptr, h->value.len);
		evbuffer_add(out, "\r\n", 2);
		return;
	}
	if (h->name.len)
		memcpy(at, h->name.ptr, h->name.len);
	at += h->name.len;
	memcpy(at, ": ", 2);
	at += 2;
	if (h->value.len)
		memcpy(at, h->value.ptr, h->value.len);
	at[h->value.len] = '\r';
	at[h->value.len + 1] = '\n';
	evbuffer_add(out, line, len);
}
