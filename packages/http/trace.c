/* Parsing, generation and formatting of W3C trace context. */
#include "http.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

static bool parse_hex(const char *text, uint8_t *out, size_t count)
{
	size_t i;

	for (i = 0; i < count * 2; i++) {
		char c = text[i];

		if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
			return false;
	}
	return !sodium_hex2bin(out, count, text, count * 2, NULL, NULL, NULL);
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
	randombytes_buf(trace->trace_id, sizeof(trace->trace_id));
	randombytes_buf(trace->span_id, sizeof(trace->span_id));
	trace->flags = 1;
}

void http_trace_child(const struct http_trace *parent, struct http_trace *child)
{
	*child = *parent;
	randombytes_buf(child->span_id, sizeof(child->span_id));
}

void http_trace_format(const struct http_trace *trace,
		       char out[HTTP_TRACEPARENT_LEN + 1])
{
	char trace_id[33];
	char span_id[17];

	sodium_bin2hex(trace_id, sizeof(trace_id), trace->trace_id, 16);
	sodium_bin2hex(span_id, sizeof(span_id), trace->span_id, 8);
	snprintf(out, HTTP_TRACEPARENT_LEN + 1, "00-%s-%s-%02x", trace_id,
		 span_id, trace->flags);
}
