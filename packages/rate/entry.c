/* Entry that admits requests with tokens granted by holders. */
#include "account.h"

#include <assert.h>
#include <string.h>
#include <utlist.h>

/* Enforces limits that are shared by all entries of the fleet. */
struct shared_entry {
	struct rate_entry base;
	struct account_env env;
	struct account *by_id;
	/* List of the accounts with recent requests. */
	struct account *active;
};

static struct shared_entry *shared(struct rate_entry *entry)
{
	return (struct shared_entry *)entry;
}

static struct account *find(struct shared_entry *e, uint64_t id)
{
	struct account *a;

	HASH_FIND(hh, e->by_id, &id, sizeof(id), a);
	return a;
}

static void deactivate(struct shared_entry *e, struct account *a)
{
	if (!a->active)
		return;
	account_deactivate(a);
	DL_DELETE(e->active, a);
}

static void destroy_account(struct shared_entry *e, struct account *a)
{
	deactivate(e, a);
	free(a->holder_ids);
	free(a);
}

static void shared_destroy(struct rate_entry *entry)
{
	struct shared_entry *e = shared(entry);
	struct account *a, *next;

	HASH_ITER (hh, e->by_id, a, next) {
		HASH_DEL(e->by_id, a);
		destroy_account(e, a);
	}
	action_queue_clear(&e->env.actions);
	free(e);
}

static void set_spec(struct account *a, const struct rate_account *spec)
{
	size_t size = spec->holder_count * sizeof(*a->holder_ids);

	assert(spec->holder_count <= RATE_HOLDERS_MAX);
	free(a->holder_ids);
	a->holder_ids = base_alloc(size + 1);
	if (size)
		memcpy(a->holder_ids, spec->holders, size);
	a->spec = *spec;
	a->spec.holders = a->holder_ids;
}

/* Copies the state of the holders that remain, in the new order. */
static void copy_kept_sources(struct account *a, const struct token_source *old,
			      size_t old_count)
{
	size_t i, j;

	for (i = 0; i < a->spec.holder_count; i++) {
		a->sources[i].id = a->holder_ids[i];
		for (j = 0; j < old_count; j++) {
			if (old[j].id == a->holder_ids[i])
				a->sources[i] = old[j];
		}
	}
}

static void shared_set_account(struct rate_entry *entry, uint64_t id,
			       const struct rate_account *spec, int64_t now)
{
	struct shared_entry *e = shared(entry);
	struct account *a = find(e, id);
	struct token_source *old;
	size_t old_count;

	if (!a) {
		a = base_alloc(sizeof(*a));
		a->id = id;
		HASH_ADD(hh, e->by_id, id, sizeof(a->id), a);
	}
	old = a->sources;
	old_count = a->spec.holder_count;
	set_spec(a, spec);
	if (!a->active)
		return;
	a->sources =
		base_alloc_array(a->spec.holder_count + 1, sizeof(*a->sources));
	copy_kept_sources(a, old, old_count);
	free(old);
	account_update(a, &e->env, now);
}

static void shared_remove_account(struct rate_entry *entry, uint64_t id)
{
	struct shared_entry *e = shared(entry);
	struct account *a = find(e, id);

	if (!a)
		return;
	if (a->active)
		account_refuse_waiters(a, &e->env, a->last_request_at);
	HASH_DEL(e->by_id, a);
	destroy_account(e, a);
}

static struct rate_decision shared_admit(struct rate_entry *entry, uint64_t id,
					 uint64_t request, int64_t now)
{
	struct shared_entry *e = shared(entry);
	struct account *a = find(e, id);

	if (!a)
		return (struct rate_decision){ .result = RATE_UNKNOWN_ACCOUNT };
	if (!a->active) {
		account_activate(a, now);
		DL_APPEND(e->active, a);
	}
	return account_admit(a, &e->env, request, now);
}

static void shared_cancel(struct rate_entry *entry, uint64_t id,
			  uint64_t request)
{
	struct account *a = find(shared(entry), id);

	if (a && a->active)
		account_cancel(a, request);
}

static struct token_source *find_source(struct account *a, uint64_t holder)
{
	size_t i;

	if (!a || !a->active)
		return NULL;
	for (i = 0; i < a->spec.holder_count; i++) {
		if (a->sources[i].id == holder)
			return &a->sources[i];
	}
	return NULL;
}

static void shared_on_grant(struct rate_entry *entry, uint64_t holder,
			    const struct rate_grant *grant, int64_t now)
{
	struct shared_entry *e = shared(entry);
	struct account *a = find(e, grant->account);
	struct token_source *s = find_source(a, holder);

	/* Ignores answers to another process and to no ask in flight. */
	if (!s || grant->entry != e->env.incarnation)
		return;
	if (!s->ask_seq || grant->seq != s->ask_seq)
		return;
	asks_on_grant(a, s, grant, now);
	account_update(a, &e->env, now);
}

static void shared_on_holder_unreachable(struct rate_entry *entry,
					 uint64_t holder, int64_t now)
{
	struct shared_entry *e = shared(entry);
	struct account *a;

	for (a = e->active; a; a = a->next) {
		struct token_source *s = find_source(a, holder);

		if (!s)
			continue;
		asks_on_unavailable(s, now);
		account_update(a, &e->env, now);
	}
}

static void shared_tick(struct rate_entry *entry, int64_t now)
{
	struct shared_entry *e = shared(entry);
	struct account *a, *next;

	for (a = e->active; a; a = next) {
		next = a->next;
		if (a->due_at > now)
			continue;
		account_update(a, &e->env, now);
		if (account_is_idle(a, now))
			deactivate(e, a);
	}
}

static int64_t shared_next_tick(const struct rate_entry *entry)
{
	const struct shared_entry *e = (const struct shared_entry *)entry;
	const struct account *a;
	int64_t next = INT64_MAX;

	for (a = e->active; a; a = a->next) {
		if (a->due_at < next)
			next = a->due_at;
	}
	return next;
}

static bool shared_next_action(struct rate_entry *entry,
			       struct rate_action *out)
{
	return action_queue_pop(&shared(entry)->env.actions, out);
}

static const struct rate_entry_ops shared_ops = {
	.destroy = shared_destroy,
	.set_account = shared_set_account,
	.remove_account = shared_remove_account,
	.admit = shared_admit,
	.cancel = shared_cancel,
	.on_grant = shared_on_grant,
	.on_holder_unreachable = shared_on_holder_unreachable,
	.tick = shared_tick,
	.next_tick = shared_next_tick,
	.next_action = shared_next_action,
};

struct rate_entry *rate_entry_create(uint64_t incarnation)
{
	struct shared_entry *e = base_alloc(sizeof(*e));

	assert(incarnation);
	e->base.ops = &shared_ops;
	e->env.incarnation = incarnation;
	return &e->base;
}
