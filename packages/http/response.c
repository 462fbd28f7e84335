/* Serialization of the server's responses. */
#include "response.h"
#include "http_message.h"
#include "output.h"

static void write_headers(struct evbuffer *out,
			  const struct http_headers *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++) {
		const struct http_header *h = &headers->items[i];

		if (!http_header_is_hop_by_hop(h->name))
			http_output_add_header(out, h);
	}
}

/* Returns "Unknown" for a status that http_parser.h does not list. */
static const char *reason_phrase(int status)
{
	switch (status) {
#define PHRASE(number, name, string) \
	case number:                 \
		return #string;
		HTTP_STATUS_MAP(PHRASE)
#undef PHRASE
	}
	return "Unknown";
}

static bool has_body(const struct http_response *response, bool is_head)
{
	return !is_head && !http_message_status_has_no_body(response->status);
}

void http_response_write_head(struct evbuffer *out,
			      const struct http_response *response,
			      bool is_head)
{
	http_output_add_status(out, response->status,
			       reason_phrase(response->status));
	write_headers(out, &response->headers);
	if (has_body(response, is_head))
		http_output_add_length(out, response->body.len);
}

void http_response_end_head(struct evbuffer *out, bool keep_alive)
{
	if (!keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
}

void http_response_write_body(struct evbuffer *out,
			      const struct http_response *response,
			      bool is_head)
{
	if (has_body(response, is_head))
		evbuffer_add(out, response->body.ptr, response->body.len);
}
