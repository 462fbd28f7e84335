/* Priority classes with start-time fair queuing between accounts. */
#include "queue.h"
#include "usage.h"

#include <assert.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * The non-idempotent levels precede the idempotent ones, so that idempotent
 * work never starts before non-idempotent work.
 */
#define CLASS_COUNT (2 * OVERLOAD_LEVELS)

struct item {
	struct overload_work work;
	struct flow *flow;
	TAILQ_ENTRY(item) link;
	UT_hash_handle hh;
};

TAILQ_HEAD(item_list, item);

/* Queued work of one account in one class. */
struct flow {
	uint32_t account;
	uint32_t weight;
	uint32_t length;
	/* Virtual start time of the first item. */
	double virtual_start;
	struct item_list items;
	struct class *class;
	UT_hash_handle hh;
};

struct class
{
	uint32_t length;
	double virtual_time;
	struct flow *flows;
};

struct overload_queue {
	struct class classes[CLASS_COUNT];
	struct overload_usage *usage;
	struct item *by_id;
	uint32_t length;
	uint32_t idempotent_length;
	/* A lower bound of the deadlines; exact after a scan of the queue. */
	int64_t earliest_deadline;
};

struct overload_queue *overload_queue_create(void)
{
	struct overload_queue *queue = base_alloc(sizeof(*queue));

	queue->usage = overload_usage_create();
	queue->earliest_deadline = INT64_MAX;
	return queue;
}

static void free_flow(struct flow *flow)
{
	HASH_DEL(flow->class->flows, flow);
	free(flow);
}

static void free_flows(struct class *class)
{
	struct flow *flow, *next;

	HASH_ITER (hh, class->flows, flow, next)
		free_flow(flow);
	class->virtual_time = 0;
}

void overload_queue_destroy(struct overload_queue *queue)
{
	struct item *item, *next;
	size_t i;

	if (!queue)
		return;
	HASH_ITER (hh, queue->by_id, item, next) {
		HASH_DEL(queue->by_id, item);
		free(item);
	}
	for (i = 0; i < CLASS_COUNT; i++)
		free_flows(&queue->classes[i]);
	overload_usage_destroy(queue->usage);
	free(queue);
}

static struct class *class_for(struct overload_queue *queue,
			       const struct overload_work *work)
{
	size_t offset = work->idempotent ? OVERLOAD_LEVELS : 0;

	assert(work->level < OVERLOAD_LEVELS);
	return &queue->classes[offset + work->level];
}

static struct flow *find_or_add_flow(struct class *class,
				     const struct overload_work *work)
{
	struct flow *flow;

	HASH_FIND(hh, class->flows, &work->account, sizeof(work->account),
		  flow);
	if (!flow) {
		flow = base_alloc(sizeof(*flow));
		flow->account = work->account;
		flow->class = class;
		flow->virtual_start = class->virtual_time;
		TAILQ_INIT(&flow->items);
		HASH_ADD(hh, class->flows, account, sizeof(flow->account),
			 flow);
	}
	flow->weight = work->weight ? work->weight : 1;
	return flow;
}

void overload_queue_push(struct overload_queue *queue,
			 const struct overload_work *work, int64_t now)
{
	struct class *class = class_for(queue, work);
	struct flow *flow = find_or_add_flow(class, work);
	struct item *item;

	HASH_FIND(hh, queue->by_id, &work->id, sizeof(work->id), item);
	assert(!item);
	overload_usage_count_offered(queue->usage, work->account, work->weight,
				     now);
	item = base_alloc(sizeof(*item));
	item->work = *work;
	item->flow = flow;
	HASH_ADD(hh, queue->by_id, work.id, sizeof(item->work.id), item);
	TAILQ_INSERT_TAIL(&flow->items, item, link);
	if (!flow->length && flow->virtual_start < class->virtual_time)
		flow->virtual_start = class->virtual_time;
	flow->length++;
	class->length++;
	queue->length++;
	queue->idempotent_length += work->idempotent;
	if (work->deadline < queue->earliest_deadline)
		queue->earliest_deadline = work->deadline;
}

static void remove_item(struct overload_queue *queue, struct item *item)
{
	struct flow *flow = item->flow;

	TAILQ_REMOVE(&flow->items, item, link);
	HASH_DEL(queue->by_id, item);
	flow->length--;
	flow->class->length--;
	queue->length--;
	queue->idempotent_length -= item->work.idempotent;
	/* When a class becomes empty, all its accounts start equal again. */
	if (!flow->class->length)
		free_flows(flow->class);
	if (!queue->length)
		queue->earliest_deadline = INT64_MAX;
	free(item);
}

/*
 * Returns the flow with the earliest virtual start. Frees idle flows whose
 * virtual start is not ahead of the virtual time: they have not been served
 * more than their share, so no state of theirs has to be kept.
 */
static struct flow *first_flow(struct class *class)
{
	struct flow *first = NULL;
	struct flow *flow, *next;

	HASH_ITER (hh, class->flows, flow, next) {
		if (flow->length) {
			if (!first ||
			    flow->virtual_start < first->virtual_start)
				first = flow;
		} else if (flow->virtual_start <= class->virtual_time) {
			free_flow(flow);
		}
	}
	return first;
}

bool overload_queue_pop(struct overload_queue *queue, int64_t now,
			struct overload_work *work)
{
	struct class *class;
	struct flow *flow;
	size_t i;

	for (i = 0; i < CLASS_COUNT; i++) {
		class = &queue->classes[i];
		if (!class->length)
			continue;
		flow = first_flow(class);
		class->virtual_time = flow->virtual_start;
		flow->virtual_start += 1.0 / flow->weight;
		*work = TAILQ_FIRST(&flow->items)->work;
		overload_usage_count_started(queue->usage, work->account, now);
		remove_item(queue, TAILQ_FIRST(&flow->items));
		return true;
	}
	return false;
}

/*
 * Counts recently started work besides the queued work. By the queue length
 * alone, an account with a short burst within its share would lose work in
 * favour of an account that floods the server all the time.
 */
static double weighted_usage(const struct overload_queue *queue,
			     const struct flow *flow, int64_t now)
{
	double recent =
		overload_usage_recent_starts(queue->usage, flow->account, now);

	return (recent + flow->length) / flow->weight;
}

/*
 * Returns the flow with the highest weighted usage among the accounts whose
 * demand is not below @p fair_share; NULL if there is none.
 */
static struct flow *heaviest_flow(const struct overload_queue *queue,
				  const struct class *class, double fair_share,
				  int64_t now)
{
	struct flow *heaviest = NULL;
	struct flow *flow, *next;
	double most = 0;
	double use;

	HASH_ITER (hh, class->flows, flow, next) {
		if (!flow->length ||
		    overload_usage_is_below_share(queue->usage, flow->account,
						  fair_share, now))
			continue;
		use = weighted_usage(queue, flow, now);
		if (use > most) {
			most = use;
			heaviest = flow;
		}
	}
	return heaviest;
}

bool overload_queue_shed(struct overload_queue *queue, uint32_t first,
			 bool above_share, int64_t now,
			 struct overload_work *work)
{
	double fair_share =
		above_share ? overload_usage_fair_share(queue->usage, now) : 0;
	struct flow *flow;
	struct item *item;
	size_t i;

	for (i = CLASS_COUNT; i-- > first;) {
		if (!queue->classes[i].length)
			continue;
		flow = heaviest_flow(queue, &queue->classes[i], fair_share,
				     now);
		if (!flow)
			continue;
		item = TAILQ_LAST(&flow->items, item_list);
		*work = item->work;
		remove_item(queue, item);
		return true;
	}
	return false;
}

static bool out_of_time(const struct overload_work *work, int64_t margin_us,
			bool all, int64_t now)
{
	if (work->deadline <= now)
		return true;
	return (all || work->idempotent) && work->deadline - now < margin_us;
}

bool overload_queue_expire(struct overload_queue *queue, int64_t margin_us,
			   bool all, int64_t now, struct overload_work *work)
{
	int64_t earliest_deadline = INT64_MAX;
	struct item *item, *next;

	if (!queue->length || (queue->earliest_deadline > now &&
			       queue->earliest_deadline - now >= margin_us))
		return false;
	HASH_ITER (hh, queue->by_id, item, next) {
		if (out_of_time(&item->work, margin_us, all, now)) {
			*work = item->work;
			remove_item(queue, item);
			return true;
		}
		if (item->work.deadline < earliest_deadline)
			earliest_deadline = item->work.deadline;
	}
	queue->earliest_deadline = earliest_deadline;
	return false;
}

bool overload_queue_remove(struct overload_queue *queue, uint64_t id)
{
	struct item *item;

	HASH_FIND(hh, queue->by_id, &id, sizeof(id), item);
	if (!item)
		return false;
	remove_item(queue, item);
	return true;
}

uint32_t overload_queue_length(const struct overload_queue *queue)
{
	return queue->length;
}

uint32_t overload_queue_idempotent_length(const struct overload_queue *queue)
{
	return queue->idempotent_length;
}

int64_t overload_queue_earliest_deadline(const struct overload_queue *queue)
{
	return queue->earliest_deadline;
}
