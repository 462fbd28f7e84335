/* Order of the responses on one connection of the server. */
#include "pipeline.h"

#include <event2/buffer.h>

void http_pipeline_init(struct http_pipeline *p)
{
	*p = (struct http_pipeline){ 0 };
	TAILQ_INIT(&p->slots);
}

struct http_pipeline_slot *http_pipeline_first(const struct http_pipeline *p)
{
	return TAILQ_FIRST(&p->slots);
}

bool http_pipeline_is_last(const struct http_pipeline_slot *slot)
{
	return !TAILQ_NEXT(slot, link);
}

bool http_pipeline_may_start(const struct http_pipeline *p, bool parallel,
			     size_t unsent)
{
	const struct http_pipeline_slot *last =
		TAILQ_LAST(&p->slots, http_pipeline_slots);
	size_t held = unsent + p->waiting_bytes +
		      p->waiting_count * HTTP_PIPELINE_SLOT_BYTES;

	if (held >= HTTP_PIPELINE_MAX_HELD_BYTES)
		return false;
	if (!last)
		return true;
	return parallel && last->parallel &&
	       p->open_count < HTTP_PIPELINE_MAX_OPEN;
}

void http_pipeline_add(struct http_pipeline *p, struct http_pipeline_slot *slot,
		       void *owner, bool parallel)
{
	slot->pipeline = p;
	slot->owner = owner;
	slot->parallel = parallel;
	TAILQ_INSERT_TAIL(&p->slots, slot, link);
	p->open_count++;
}

void http_pipeline_hold(struct http_pipeline_slot *slot,
			struct evbuffer *response, size_t head_len)
{
	struct http_pipeline *p = slot->pipeline;

	slot->answered = true;
	slot->response = response;
	slot->head_len = head_len;
	p->open_count--;
	p->waiting_count++;
	p->waiting_bytes += evbuffer_get_length(response);
}

struct evbuffer *http_pipeline_take(struct http_pipeline_slot *slot)
{
	struct evbuffer *response = slot->response;

	slot->pipeline->waiting_count--;
	slot->pipeline->waiting_bytes -= evbuffer_get_length(response);
	slot->response = NULL;
	return response;
}

void http_pipeline_remove(struct http_pipeline_slot *slot)
{
	struct http_pipeline *p = slot->pipeline;

	if (!p)
		return;
	if (slot->response)
		evbuffer_free(http_pipeline_take(slot));
	if (!slot->answered)
		p->open_count--;
	TAILQ_REMOVE(&p->slots, slot, link);
	slot->pipeline = NULL;
}

void http_pipeline_move(struct http_pipeline *to, struct http_pipeline *from)
{
	struct http_pipeline_slot *slot;

	http_pipeline_init(to);
	TAILQ_CONCAT(&to->slots, &from->slots, link);
	to->open_count = from->open_count;
	to->waiting_count = from->waiting_count;
	to->waiting_bytes = from->waiting_bytes;
	TAILQ_FOREACH (slot, &to->slots, link)
		slot->pipeline = to;
	http_pipeline_init(from);
}
