/* An entry that makes the most of the protocol, for one account. */
#include "greedy_entry.h"

#include "base.h"

#include <string.h>

#define PIECES_MAX 64
#define ACTIONS_MAX 64
#define TICK_US (2 * BASE_MS_US)
#define ANSWER_WAIT_US (60 * BASE_MS_US)
#define EVERYTHING INT64_C(1000000000)

struct token_piece {
	uint64_t holder;
	uint64_t process;
	uint64_t id;
	int64_t left;
	int64_t used;
	int64_t exchange_at;
	int64_t expires_at;
};

struct asked {
	uint64_t holder;
	uint64_t seq;
	int64_t at;
};

struct greedy {
	struct rate_entry base;
	uint64_t incarnation;
	uint64_t last_seq;
	uint64_t account;
	struct asked asked[RATE_HOLDERS_MAX];
	size_t holders;
	struct token_piece pieces[PIECES_MAX];
	size_t count;
	struct rate_action actions[ACTIONS_MAX];
	size_t action_count;
	int64_t tick_at;
};

static struct greedy *greedy(struct rate_entry *entry)
{
	return (struct greedy *)entry;
}

static void drop_lapsed(struct greedy *g, int64_t now)
{
	size_t i;

	for (i = g->count; i-- > 0;) {
		if (g->pieces[i].expires_at <= now)
			g->pieces[i] = g->pieces[--g->count];
	}
}

/* Gives back what is left of a holder's grants, and asks for everything. */
static void exchange(struct greedy *g, struct asked *asked, int64_t now)
{
	struct rate_action a = {
		.type = RATE_ACTION_ASK,
		.account = g->account,
		.holder = asked->holder,
		.ask = { .account = g->account,
			 .entry = g->incarnation,
			 .seq = ++g->last_seq,
			 .need_mt = EVERYTHING,
			 .ahead_mt = EVERYTHING },
	};
	size_t i;

	if (g->action_count == ACTIONS_MAX)
		return;
	for (i = g->count; i-- > 0;) {
		struct token_piece *p = &g->pieces[i];

		if (p->holder != asked->holder ||
		    a.ask.report_count == RATE_REPORTS_MAX)
			continue;
		a.ask.holder = p->process;
		a.ask.reports[a.ask.report_count++] =
			(struct rate_report){ p->id, p->used, p->left };
		*p = g->pieces[--g->count];
	}
	asked->seq = a.ask.seq;
	asked->at = now;
	g->actions[g->action_count++] = a;
}

static bool is_due(const struct greedy *g, const struct asked *asked,
		   int64_t now)
{
	bool has = false;
	size_t i;

	if (asked->seq && asked->at + ANSWER_WAIT_US > now)
		return false;
	for (i = 0; i < g->count; i++) {
		if (g->pieces[i].holder != asked->holder)
			continue;
		has = true;
		if (g->pieces[i].exchange_at <= now)
			return true;
	}
	return !has;
}

static void tick(struct rate_entry *entry, int64_t now)
{
	struct greedy *g = greedy(entry);
	size_t i;

	drop_lapsed(g, now);
	for (i = 0; i < g->holders; i++) {
		if (is_due(g, &g->asked[i], now))
			exchange(g, &g->asked[i], now);
	}
	g->tick_at = now + TICK_US;
}

static void set_account(struct rate_entry *entry, uint64_t account,
			const struct rate_account *spec, int64_t now)
{
	struct greedy *g = greedy(entry);
	size_t i;

	g->account = account;
	/* Every other process asks for nothing, so that one keeps it all. */
	g->holders = g->incarnation % 2 ? spec->holder_count : 0;
	for (i = 0; i < g->holders; i++)
		g->asked[i] = (struct asked){ .holder = spec->holders[i] };
	g->tick_at = now;
}

static struct rate_decision admit(struct rate_entry *entry, uint64_t account,
				  uint64_t request, int64_t now)
{
	struct greedy *g = greedy(entry);
	struct rate_decision d = { RATE_ADMITTED, INT64_MAX, 0 };
	int64_t sum = 0;
	int64_t missing = RATE_TOKEN_MT;
	size_t i;

	(void)account, (void)request;
	drop_lapsed(g, now);
	for (i = 0; i < g->count; i++)
		sum += g->pieces[i].left;
	if (sum < RATE_TOKEN_MT)
		return (struct rate_decision){ RATE_REFUSED, 0, 1 };
	for (i = 0; missing; i++) {
		struct token_piece *p = &g->pieces[i];
		int64_t part = p->left < missing ? p->left : missing;

		p->left -= part;
		p->used += part;
		missing -= part;
		if (part && p->expires_at < d.use_by)
			d.use_by = p->expires_at;
	}
	return d;
}

static void on_grant(struct rate_entry *entry, uint64_t holder,
		     const struct rate_grant *grant, int64_t now)
{
	struct greedy *g = greedy(entry);
	size_t i;

	(void)now;
	for (i = 0; i < g->holders; i++) {
		struct asked *a = &g->asked[i];

		if (a->holder != holder || a->seq != grant->seq ||
		    grant->entry != g->incarnation)
			continue;
		a->seq = 0;
		if (!grant->amount_mt || g->count == PIECES_MAX)
			return;
		g->pieces[g->count++] = (struct token_piece){
			.holder = holder,
			.process = grant->holder,
			.id = grant->id,
			.left = grant->amount_mt,
			.exchange_at = a->at + grant->lifetime_us / 2,
			.expires_at = a->at + grant->lifetime_us,
		};
		return;
	}
}

static bool next_action(struct rate_entry *entry, struct rate_action *out)
{
	struct greedy *g = greedy(entry);

	if (!g->action_count)
		return false;
	*out = g->actions[0];
	memmove(g->actions, g->actions + 1,
		--g->action_count * sizeof(g->actions[0]));
	return true;
}

static int64_t next_tick(const struct rate_entry *entry)
{
	return ((const struct greedy *)entry)->tick_at;
}

static void destroy(struct rate_entry *entry)
{
	free(greedy(entry));
}

struct rate_entry *greedy_create(uint64_t incarnation)
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
	struct greedy *g = base_alloc(sizeof(*g));

	g->base.ops = &ops;
	g->incarnation = incarnation;
	g->tick_at = INT64_MAX;
	return &g->base;
}
