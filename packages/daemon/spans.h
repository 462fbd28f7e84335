/* Trace spans: one for each hop, kept in a ring and served by the admin. */
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
	/** What was decided, for example "answered" or a refusal reason. */
	char decision[40];
	/** VM that served the hop. */
	char served_by[64];
	int64_t started_at;
	int64_t duration_us;
	int status;
	uint32_t attempt;
};

struct spans;

struct spans *spans_create(size_t capacity);
void spans_destroy(struct spans *spans);
/** Copies the span; the oldest one is dropped when the ring is full. */
void spans_add(struct spans *spans, const struct span *span);
/** Appends one JSON object a line, oldest first. */
void spans_render(const struct spans *spans, struct base_buf *out);

#endif
