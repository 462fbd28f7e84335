/* Queue of actions for the caller. */
#include "account.h"

#include <string.h>

/* The queue keeps at most this much room once it is empty. */
#define KEPT_ACTIONS 64

static void make_room(struct actions *q)
{
	if (q->head + q->count < q->cap)
		return;
	if (q->head) {
		memmove(q->items, q->items + q->head,
			q->count * sizeof(*q->items));
		q->head = 0;
		return;
	}
	q->cap = q->cap ? q->cap * 2 : KEPT_ACTIONS;
	q->items = base_realloc(q->items, q->cap * sizeof(*q->items));
}

void actions_add(struct actions *q, const struct rate_action *action)
{
	make_room(q);
	q->items[q->head + q->count++] = *action;
}

bool actions_take(struct actions *q, struct rate_action *out)
{
	if (!q->count)
		return false;
	*out = q->items[q->head++];
	if (--q->count)
		return true;
	q->head = 0;
	if (q->cap > KEPT_ACTIONS)
		actions_release(q);
	return true;
}

void actions_release(struct actions *q)
{
	free(q->items);
	*q = (struct actions){ 0 };
}
