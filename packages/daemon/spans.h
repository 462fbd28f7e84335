/*
 * Trace spans, one for each hop of a request, in a ring buffer that the admin
 * interface serves.
 */
#ifndef SPANS_H
#define SPANS_H

#include "http.h"

struct span {
	struct http_trace trace;
	uint8_t parent_id[8];
	/** "entry", "onward" or "guard". */
	const char *kind;
	char route[64];
	char account[64];
	/** Outcome of the hop, for example "answered" or a refusal reason. */
	char decision[40];
	/** VM that served the hop. */
	char served_by[64];
	int64_t started_at;
	int64_t duration_us;
	int status;
	uint32_t attempt;
};

struct spans;

/** @param capacity  number of spans, greater than 0 */
struct spans *spans_create(size_t capacity);
void spans_destroy(struct spans *spans);
/** Sets a text of a span; cut off if too long. */
void spans_set_text(char *to, size_t size, struct base_str text);
/** Copies the span; a full buffer drops its oldest one. */
void spans_add(struct spans *spans, const struct span *span);
/** Appends one JSON object per line, oldest first. */
void spans_render(const struct spans *spans, struct base_buf *out);

#endif
