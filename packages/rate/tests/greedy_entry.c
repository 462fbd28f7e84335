#include "greedy_entry.h"

#include "base.h"

#include <string.h>

#define GRANTS_MAX 64
#define ACTIONS_MAX 64
#define TICK_US (2 * BASE_MS_US)
#define ANSWER_WAIT_US (60 * BASE_MS_US)
/* More than any burst in the tests. */
#define ASK_AMOUNT_MT INT64_C(1000000000)

struct held_grant {
	uint64_t holder;
	uint64_t incarnation;
	uint64_t id;
	int64_t left_mt;
	int64_t used_mt;
	int64_t return_at;
	int64_t expires_at;
};

/* The last ask to one holder. */
struct asked {
	uint64_t holder;
	/* 0 once it was answered. */
	uint64_t seq;
	int64_t at;
};

/* Handles one account only. */
struct greedy_entry {
	struct rate_entry base;
	uint64_t incarnation;
	uint64_t last_seq;
	uint64_t account;
	struct asked asked[RATE_HOLDERS_MAX];
	size_t holders;
	struct held_grant grants[GRANTS_MAX];
	size_t grant_count;
	struct rate_action actions[ACTIONS_MAX];
	size_t action_count;
	int64_t tick_at;
};

static struct greedy_entry *greedy_entry(struct rate_entry *entry)
{
	return (struct greedy_entry *)entry;
}

static void drop_expired(struct greedy_entry *g, int64_t now)
{
	size_t i;

	for (i = g->grant_count; i-- > 0;) {
		if (g->grants[i].expires_at <= now)
			g->grants[i] = g->grants[--g->grant_count];
	}
}

/* Returns the unused tokens of a holder and asks it for every token. */
static void return_and_ask(struct greedy_entry *g, struct asked *asked,
			   int64_t now)
{
	struct rate_action action = {
		.type = RATE_ACTION_ASK,
		.account = g->account,
		.holder = asked->holder,
		.ask = { .account = g->account,
			 .entry = g->incarnation,
			 .seq = ++g->last_seq,
			 .need_mt = ASK_AMOUNT_MT,
			 .prefetch_mt = ASK_AMOUNT_MT },
	};
	size_t i;

	if (g->action_count == ACTIONS_MAX)
		return;
	for (i = g->grant_count; i-- > 0;) {
		struct held_grant *held = &g->grants[i];

		if (held->holder != asked->holder ||
		    action.ask.report_count == RATE_REPORTS_MAX)
			continue;
		action.ask.holder = held->incarnation;
		action.ask.reports[action.ask.report_count++] =
			(struct rate_report){ held->id, held->used_mt,
					      held->left_mt };
		*held = g->grants[--g->grant_count];
	}
	asked->seq = action.ask.seq;
	asked->at = now;
	g->actions[g->action_count++] = action;
}

static bool is_due(const struct greedy_entry *g, const struct asked *asked,
		   int64_t now)
{
	bool has_grants = false;
	size_t i;

	if (asked->seq && asked->at + ANSWER_WAIT_US > now)
		return false;
	for (i = 0; i < g->grant_count; i++) {
		if (g->grants[i].holder != asked->holder)
			continue;
		has_grants = true;
		if (g->grants[i].return_at <= now)
			return true;
	}
	return !has_grants;
}

static void tick(struct rate_entry *entry, int64_t now)
{
	struct greedy_entry *g = greedy_entry(entry);
	size_t i;

	drop_expired(g, now);
	for (i = 0; i < g->holders; i++) {
		if (is_due(g, &g->asked[i], now))
			return_and_ask(g, &g->asked[i], now);
	}
	g->tick_at = now + TICK_US;
}

static void set_account(struct rate_entry *entry, uint64_t account,
			const struct rate_account *spec, int64_t now)
{
	struct greedy_entry *g = greedy_entry(entry);
	size_t i;

	g->account = account;
	/* Only every other process asks, so that one can hold all tokens. */
	g->holders = g->incarnation % 2 ? spec->holder_count : 0;
	for (i = 0; i < g->holders; i++)
		g->asked[i] = (struct asked){ .holder = spec->holders[i] };
	g->tick_at = now;
}

static struct rate_decision admit(struct rate_entry *entry, uint64_t account,
				  uint64_t request, int64_t now)
{
	struct greedy_entry *g = greedy_entry(entry);
	struct rate_decision d = { RATE_ADMITTED, INT64_MAX, 0 };
	int64_t sum = 0;
	int64_t missing = RATE_TOKEN_MT;
	size_t i;

	(void)account, (void)request;
	drop_expired(g, now);
	for (i = 0; i < g->grant_count; i++)
		sum += g->grants[i].left_mt;
	if (sum < RATE_TOKEN_MT)
		return (struct rate_decision){ RATE_REFUSED, 0, 1 };
	for (i = 0; missing; i++) {
		struct held_grant *held = &g->grants[i];
		int64_t part =
			held->left_mt < missing ? held->left_mt : missing;

		held->left_mt -= part;
		held->used_mt += part;
		missing -= part;
		if (part && held->expires_at < d.token_expires_at)
			d.token_expires_at = held->expires_at;
	}
	return d;
}

static void on_grant(struct rate_entry *entry, uint64_t holder,
		     const struct rate_grant *grant, int64_t now)
{
	struct greedy_entry *g = greedy_entry(entry);
	size_t i;

	(void)now;
	for (i = 0; i < g->holders; i++) {
		struct asked *asked = &g->asked[i];

		if (asked->holder != holder || asked->seq != grant->seq ||
		    grant->entry != g->incarnation)
			continue;
		asked->seq = 0;
		if (!grant->amount_mt || g->grant_count == GRANTS_MAX)
			return;
		g->grants[g->grant_count++] = (struct held_grant){
			.holder = holder,
			.incarnation = grant->holder,
			.id = grant->id,
			.left_mt = grant->amount_mt,
			.return_at = asked->at + grant->lifetime_us / 2,
			.expires_at = asked->at + grant->lifetime_us,
		};
		return;
	}
}

static bool next_action(struct rate_entry *entry, struct rate_action *out)
{
	struct greedy_entry *g = greedy_entry(entry);

	if (!g->action_count)
		return false;
	*out = g->actions[0];
	memmove(g->actions, g->actions + 1,
		--g->action_count * sizeof(g->actions[0]));
	return true;
}

static int64_t next_tick(const struct rate_entry *entry)
{
	return ((const struct greedy_entry *)entry)->tick_at;
}

static void destroy(struct rate_entry *entry)
{
	free(greedy_entry(entry));
}

struct rate_entry *greedy_entry_create(uint64_t incarnation)
{
	static const struct rate_entry_ops ops = {
		.destroy = destroy,
		.set_account = set_account,
		.admit = admit,
		.on_grant = on_grant,
		.tick = tick,
		.next_tick = next_tick,
		.next_action = next_action,
	};
	struct greedy_entry *g = base_alloc(sizeof(*g));

	g->base.ops = &ops;
	g->incarnation = incarnation;
	g->tick_at = INT64_MAX;
	return &g->base;
}
