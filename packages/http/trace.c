/* Parsing, generation and formatting of W3C trace context. */
#include "http.h"

#include <sodium.h>
#include <string.h>

static int digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Trace ids are public, so the slow conversion in constant time is not used. */
static bool parse_hex(const char *text, uint8_t *out, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		int high = digit_value(text[2 * i]);
		int low = digit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static char *format_hex(char *to, const uint8_t *bytes, size_t count)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < count; i++) {
		*to++ = digits[bytes[i] >> 4];
		*to++ = digits[bytes[i] & 15];
	}
	return to;
}

bool http_trace_parse(struct base_str text, struct http_trace *trace)
{
	struct http_trace parsed;
	uint8_t version;
	const char *p = text.ptr;

	if (text.len < HTTP_TRACEPARENT_LEN || p[2] != '-' || p[35] != '-' ||
	    p[52] != '-')
		return false;
	if (!parse_hex(p, &version, 1) || version == 0xff)
		return false;
	if (version == 0 && text.len != HTTP_TRACEPARENT_LEN)
		return false;
	if (!parse_hex(p + 3, parsed.trace_id, 16) ||
	    !parse_hex(p + 36, parsed.span_id, 8) ||
	    !parse_hex(p + 53, &parsed.flags, 1))
		return false;
	if (sodium_is_zero(parsed.trace_id, 16) ||
	    sodium_is_zero(parsed.span_id, 8))
		return false;
	*trace = parsed;
	return true;
}

void http_trace_start(struct http_trace *trace)
{
	uint8_t random[sizeof(trace->trace_id) + sizeof(trace->span_id)];

	base_random_bytes(random, sizeof(random));
	memcpy(trace->trace_id, random, sizeof(trace->trace_id));
	memcpy(trace->span_id, random + sizeof(trace->trace_id),
	       sizeof(trace->span_id));
	trace->flags = 1;
}

void http_trace_child(const struct http_trace *parent, struct http_trace *child)
{
	*child = *parent;
	base_random_bytes(child->span_id, sizeof(child->span_id));
}

void http_trace_format(const struct http_trace *trace,
		       char out[HTTP_TRACEPARENT_LEN + 1])
{
	char *at = out;

	memcpy(at, "00-", 3);
	at = format_hex(at + 3, trace->trace_id, sizeof(trace->trace_id));
	*at++ = '-';
	at = format_hex(at, trace->span_id, sizeof(trace->span_id));
	*at++ = '-';
	at = format_hex(at, &trace->flags, 1);
	*at = '\0';
}
