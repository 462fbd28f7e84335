/* Operations on all open flows: links, periodic work, the end of a drain. */
#include "flow.h"

void entry_on_answer(struct entry *entry, const struct peer_message *msg)
{
	struct flow *f;

	HASH_FIND(hh_message_id, entry->flows_by_message_id, &msg->id,
		  sizeof(msg->id), f);
	if (!f) {
		node_counter_add(entry->node, "answers_late");
		return;
	}
	flow_on_answer(f, &msg->answer, base_now_us());
}

static struct flow *find_flow(struct entry *entry, uint64_t id)
{
	struct flow *f;

	HASH_FIND(hh, entry->flows, &id, sizeof(id), f);
	return f;
}

/* Which flows for_each_flow() acts on; @p ctx is its argument. */
typedef bool flow_filter(const struct flow *f, const void *ctx);

struct flow_list {
	uint64_t *ids;
	size_t count;
	size_t capacity;
};

static void flow_list_release(struct flow_list *list)
{
	free(list->ids);
}

static void flow_list_add(struct flow_list *list, uint64_t id)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? 2 * list->capacity : 16;
		list->ids = base_realloc(list->ids,
					 list->capacity * sizeof(*list->ids));
	}
	list->ids[list->count++] = id;
}

/*
 * Calls the action for the flows that match. They are listed by id first, as
 * one that ends may end others: its slot at the local guard goes to a request
 * that the guard then refuses.
 */
static void for_each_flow(struct entry *entry, flow_filter *matches,
			  const void *ctx,
			  void (*action)(struct flow *f, int64_t now),
			  int64_t now)
{
	BASE_CLEANUP(flow_list_release) struct flow_list list = { 0 };
	struct flow *f;
	size_t i;

	for (f = entry->flows; f; f = f->hh.next)
		if (matches(f, ctx))
			flow_list_add(&list, f->id);
	for (i = 0; i < list.count; i++) {
		f = find_flow(entry, list.ids[i]);
		if (f && matches(f, ctx))
			action(f, now);
	}
}

static bool is_on_link(const struct flow *f, const void *link)
{
	return f->link && f->link == link;
}

void entry_on_link_down(struct entry *entry, const struct peer_link *link)
{
	for_each_flow(entry, is_on_link, link, flow_on_try_lost, base_now_us());
}

static bool waits_for_link_to(const struct flow *f, const void *vm)
{
	return f->state == FLOW_LINK_WAITING &&
	       f->server == *(const uint32_t *)vm;
}

static void send_waiting(struct flow *f, int64_t now)
{
	flow_on_link(f, true, now);
}

void entry_on_link_up(struct entry *entry, uint32_t vm)
{
	for_each_flow(entry, waits_for_link_to, &vm, send_waiting,
		      base_now_us());
}

static bool is_on_silent_link(const struct flow *f, const void *now)
{
	return f->link &&
	       membership_is_link_silent(f->node->membership, f->link,
					 *(const int64_t *)now);
}

static bool waits_for_link(const struct flow *f, const void *ctx)
{
	(void)ctx;
	return f->state == FLOW_LINK_WAITING;
}

static void check_link_wait(struct flow *f, int64_t now)
{
	struct node *node = f->node;
	const struct config_vm *vm = roster_vm(node->roster, f->server);
	struct peer_link *link = vm ? node_get_link(node, vm) : NULL;

	if (!link || !membership_is_connecting(node->membership, link, now))
		flow_on_link(f, link && peer_link_is_up(link), now);
}

void entry_tick(struct entry *entry, int64_t now)
{
	for_each_flow(entry, is_on_silent_link, &now, flow_on_vm_silent, now);
	for_each_flow(entry, waits_for_link, NULL, check_link_wait, now);
}

size_t entry_open_flow_count(const struct entry *entry)
{
	return HASH_COUNT(entry->flows);
}

static bool is_open(const struct flow *f, const void *ctx)
{
	(void)f;
	(void)ctx;
	return true;
}

void entry_abort(struct entry *entry, int64_t now)
{
	for_each_flow(entry, is_open, NULL, flow_abort, now);
}
