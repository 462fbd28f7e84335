/* Event queue as a binary heap. */
#include "rate_events.h"

#include "base.h"

static bool is_before(const struct event *a, const struct event *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->number < b->number;
}

static void swap(struct events *q, size_t i, size_t j)
{
	struct event *e = q->heap[i];

	q->heap[i] = q->heap[j];
	q->heap[j] = e;
}

void events_add(struct events *q, const struct event *event)
{
	struct event *copy = base_alloc(sizeof(*copy));
	size_t i = q->count;

	*copy = *event;
	copy->number = ++q->last_number;
	if (q->count == q->cap) {
		q->cap = q->cap ? q->cap * 2 : 1024;
		q->heap = base_realloc(q->heap, q->cap * sizeof(*q->heap));
	}
	q->heap[q->count++] = copy;
	while (i && is_before(q->heap[i], q->heap[(i - 1) / 2])) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

int64_t events_next(const struct events *q)
{
	return q->count ? q->heap[0]->at : INT64_MAX;
}

static void sift_down(struct events *q)
{
	size_t i = 0;

	for (;;) {
		size_t least = i;
		size_t child = 2 * i + 1;

		if (child < q->count && is_before(q->heap[child], q->heap[i]))
			least = child;
		if (child + 1 < q->count &&
		    is_before(q->heap[child + 1], q->heap[least]))
			least = child + 1;
		if (least == i)
			return;
		swap(q, i, least);
		i = least;
	}
}

struct event *events_take(struct events *q)
{
	struct event *first = q->heap[0];

	q->heap[0] = q->heap[--q->count];
	sift_down(q);
	return first;
}

void events_release(struct events *q)
{
	while (q->count)
		free(events_take(q));
	free(q->heap);
	*q = (struct events){ 0 };
}
