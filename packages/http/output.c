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

static char *append_text(char *at, const char *text)
{
	size_t len = strlen(text);

	memcpy(at, text, len + 1);
	return at + len;
}

/* @return the first of the digits that end at @p end */
static char *format_digits(char *end, size_t value)
{
	do {
		*--end = (char)('0' + value % 10);
		value /= 10;
	} while (value);
	return end;
}

void http_output_add_length(struct evbuffer *out, size_t len)
{
	char digits[24] = "";
	char line[64];
	char *at = append_text(line, "Content-Length: ");

	at = append_text(at, format_digits(digits + sizeof(digits) - 1, len));
	at = append_text(at, "\r\n");
	evbuffer_add(out, line, (size_t)(at - line));
}

void http_output_add_status(struct evbuffer *out, int status,
			    const char *phrase)
{
	char digits[24] = "";
	char start[48];
	char *at = append_text(start, "HTTP/1.1 ");

	at = append_text(
		at, format_digits(digits + sizeof(digits) - 1, (size_t)status));
	at = append_text(at, " ");
	evbuffer_add(out, start, (size_t)(at - start));
	evbuffer_add(out, phrase, strlen(phrase));
	evbuffer_add(out, "\r\n", 2);
}
