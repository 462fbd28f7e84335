#include "account.h"

#include <string.h>

/* Initial capacity; an empty queue of greater capacity is freed. */
#define CAPACITY_MIN 64

static void reserve_one(struct action_queue *q)
{
	if (q->head + q->count < q->capacity)
		return;
	if (q->head) {
		memmove(q->items, q->items + q->head,
			q->count * sizeof(*q->items));
		q->head = 0;
		return;
	}
	q->capacity = q->capacity ? q->capacity * 2 : CAPACITY_MIN;
	q->items = base_realloc(q->items, q->capacity * sizeof(*q->items));
}

void action_queue_push(struct action_queue *q, const struct rate_action *action)
{
	reserve_one(q);
	q->items[q->head + q->count++] = *action;
}

bool action_queue_pop(struct action_queue *q, struct rate_action *out)
{
	if (!q->count)
		return false;
	*out = q->items[q->head++];
	if (--q->count)
		return true;
	q->head = 0;
	if (q->capacity > CAPACITY_MIN)
		action_queue_clear(q);
	return true;
}

void action_queue_clear(struct action_queue *q)
{
	free(q->items);
	*q = (struct action_queue){ 0 };
}
