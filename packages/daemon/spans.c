/* Ring buffer of trace spans. */
#include "spans.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

struct spans {
	struct span *ring;
	size_t capacity;
	size_t next;
	size_t count;
};

struct spans *spans_create(size_t capacity)
{
	struct spans *spans = base_alloc(sizeof(*spans));

	spans->capacity = capacity;
	spans->ring = base_alloc_array(capacity, sizeof(*spans->ring));
	return spans;
}

void spans_destroy(struct spans *spans)
{
	if (!spans)
		return;
	free(spans->ring);
	free(spans);
}

void spans_set_text(char *to, size_t size, struct base_str text)
{
	size_t len = text.len < size ? text.len : size - 1;

	if (len)
		memcpy(to, text.ptr, len);
	to[len] = '\0';
}

void spans_add(struct spans *spans, const struct span *span)
{
	spans->ring[spans->next] = *span;
	spans->next = (spans->next + 1) % spans->capacity;
	if (spans->count < spans->capacity)
		spans->count++;
}

static void render_span(const struct span *s, struct base_buf *out)
{
	char trace_id[33];
	char span_id[17];
	char parent_id[17];
	json_t *json;
	char *text;

	sodium_bin2hex(trace_id, sizeof(trace_id), s->trace.trace_id, 16);
	sodium_bin2hex(span_id, sizeof(span_id), s->trace.span_id, 8);
	sodium_bin2hex(parent_id, sizeof(parent_id), s->parent_id, 8);
	json = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:i}",
			 "trace_id", trace_id, "span_id", span_id, "parent_id",
			 parent_id, "kind", s->kind, "route", s->route,
			 "account", s->account, "decision", s->decision,
			 "served_by", s->served_by, "start_us",
			 (json_int_t)s->started_at, "duration_us",
			 (json_int_t)s->duration_us, "status", s->status,
			 "attempt", (int)s->attempt);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	if (text)
		base_buf_addf(out, "%s\n", text);
	free(text);
	json_decref(json);
}

void spans_render(const struct spans *spans, struct base_buf *out)
{
	size_t first = (spans->next + spans->capacity - spans->count) %
		       spans->capacity;
	size_t i;

	for (i = 0; i < spans->count; i++)
		render_span(&spans->ring[(first + i) % spans->capacity], out);
}
