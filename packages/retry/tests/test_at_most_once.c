/*
 * Simulation of at-most-once execution: two failure domains with an entry and
 * an owner each, with pauses, restarts, partitions, roster changes and clock
 * skew.
 */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define START_WALL_MS INT64_C(1700000000000)
#define TICK_US (100 * BASE_MS_US)
#define TICKS 1500
#define KEYS 200
#define MSGS_MAX 512
#define VERSIONS_MAX 64
#define RETENTION_US (30 * BASE_SECOND_US)
#define CLAIM_TIMEOUT_US (2 * BASE_SECOND_US)

enum kind { NONE, CLAIM, ANSWER, COMPLETE, RELEASE };

struct msg {
	enum kind kind;
	int64_t at, deadline;
	int key, entry, owner;
	uint64_t claim_id;
};

/* Processes 0 and 1 are entries, 2 and 3 owners; the domain is id % 2. */
struct proc {
	int64_t skew_ms, paused_until;
	bool resuming;
	int version;
	/* The version at the start of the process. */
	int first_version;
	bool activated[VERSIONS_MAX];
	struct retry_ledger *ledger;
};

struct world {
	struct base_rand rnd;
	int64_t now;
	struct proc procs[4];
	struct msg messages[MSGS_MAX];
	struct retry_key keys[KEYS];
	int runs[KEYS];
	int roster[VERSIONS_MAX];
	int latest_version;
	bool partitioned;
	/* Can disable a mechanism, to show that the test can fail. */
	bool ignore_moved;
	int64_t clock_margin_ms;
};

static uint32_t random_below(struct world *w, uint32_t bound)
{
	return base_rand_below(&w->rnd, bound);
}

static int64_t wall(const struct world *w, const struct proc *p)
{
	return START_WALL_MS + w->now / BASE_MS_US + p->skew_ms;
}

static int owner_of(const struct world *w, int key, int version)
{
	switch (w->roster[version]) {
	case 0:
		return 2;
	case 1:
		return 3;
	default:
		return 2 + ((key ^ w->roster[version]) & 1);
	}
}

static bool can_reach(const struct world *w, int a, int b)
{
	return a % 2 == b % 2 || !w->partitioned;
}

static void send_message(struct world *w, struct msg m)
{
	int i;

	for (i = 0; i < MSGS_MAX && w->messages[i].kind; i++)
		;
	cr_assert(lt(int, i, MSGS_MAX));
	m.at = w->now + random_below(w, 3) * TICK_US;
	w->messages[i] = m;
}

static void activate_roster(struct world *w, struct proc *p, int version)
{
	static const uint32_t domains[] = { 0, 1 };
	bool skipped = version > p->version + 1;

	p->version = version;
	p->activated[version] = true;
	if (p->ledger)
		retry_ledger_activate_roster(p->ledger, (uint64_t)version,
					     skipped, domains, 2, wall(w, p),
					     w->now);
}

/* Returns the highest version of the running processes that p can reach. */
static int highest_reachable_version(const struct world *w, int p)
{
	int i, best = w->procs[p].version;

	for (i = 0; i < 4; i++) {
		if (can_reach(w, p, i) && w->now >= w->procs[i].paused_until &&
		    w->procs[i].version > best)
			best = w->procs[i].version;
	}
	return best;
}

static void start_ledger(struct world *w, struct proc *p)
{
	struct retry_ledger_limits limits = retry_ledger_default_limits;

	limits.retention_us = RETENTION_US;
	limits.clock_margin_ms = w->clock_margin_ms;
	p->first_version = p->version;
	retry_ledger_destroy(p->ledger);
	p->ledger = retry_ledger_create(&limits, wall(w, p), w->now);
}

static void report_domains(struct world *w, int p)
{
	int i, oldest, d;

	for (d = 0; d < 2; d++) {
		oldest = VERSIONS_MAX;
		for (i = d; i < 4; i += 2) {
			if (w->now >= w->procs[i].paused_until &&
			    w->procs[i].version < oldest)
				oldest = w->procs[i].version;
		}
		if (oldest < VERSIONS_MAX && can_reach(w, p, d))
			retry_ledger_report_domain(
				w->procs[p].ledger, (uint32_t)d,
				(uint64_t)oldest, wall(w, &w->procs[p]),
				w->now);
	}
}

static bool is_moved(const struct world *w, int p, int key)
{
	const struct proc *self = &w->procs[p];
	int v = (int)retry_ledger_oldest_roster(self->ledger, w->now);

	if (w->ignore_moved)
		return false;
	if (v < self->first_version)
		v = self->first_version;
	for (; v < self->version; v++) {
		if (self->activated[v] && owner_of(w, key, v) != p)
			return true;
	}
	return false;
}

static void on_claim(struct world *w, struct msg m)
{
	struct proc *o = &w->procs[m.owner];
	struct retry_claim c = { .account = BASE_STR("a"),
				 .key = w->keys[m.key],
				 .deadline = m.deadline };
	struct retry_claim_result a;

	if (owner_of(w, m.key, o->version) != m.owner)
		return;
	c.moved = is_moved(w, m.owner, m.key);
	a = retry_ledger_claim(o->ledger, &c, wall(w, o), w->now);
	if (a.status != RETRY_CLAIM_NEW)
		return;
	m.kind = ANSWER;
	m.claim_id = a.claim_id;
	send_message(w, m);
}

/*
 * The entry runs the request unless it has stopped waiting. Some sends fail at
 * once, and some reports of completion are lost.
 */
static void on_answer(struct world *w, struct msg m)
{
	m.kind = COMPLETE;
	if (w->now >= m.deadline || !random_below(w, 10))
		m.kind = RELEASE;
	else
		w->runs[m.key]++;
	if (m.kind == RELEASE || random_below(w, 4))
		send_message(w, m);
}

static void deliver(struct world *w, struct msg *slot)
{
	struct msg m = *slot;
	int to = m.kind == ANSWER ? m.entry : m.owner;

	if (!m.kind || w->now < m.at || w->now < w->procs[to].paused_until)
		return;
	slot->kind = NONE;
	if (!can_reach(w, m.entry, m.owner))
		return;
	if (m.kind == CLAIM)
		on_claim(w, m);
	else if (m.kind == ANSWER)
		on_answer(w, m);
	else if (m.kind == COMPLETE)
		retry_ledger_complete(w->procs[to].ledger, m.claim_id, NULL,
				      w->now);
	else
		retry_ledger_release(w->procs[to].ledger, m.claim_id);
}

static void step_proc(struct world *w, int i)
{
	struct proc *p = &w->procs[i];

	if (w->now < p->paused_until)
		return;
	if (p->resuming && p->ledger)
		retry_ledger_suspend(p->ledger);
	if (p->resuming || !random_below(w, 3))
		activate_roster(w, p, highest_reachable_version(w, i));
	p->resuming = false;
	/* The platform is reached now and then, also during a partition. */
	if (!random_below(w, 60))
		activate_roster(w, p, w->latest_version);
	if (p->ledger && !random_below(w, 400)) {
		start_ledger(w, p);
		activate_roster(w, p, highest_reachable_version(w, i));
	}
	if (p->ledger && random_below(w, 2))
		report_domains(w, i);
	if (!random_below(w, 150)) {
		p->paused_until = w->now + (10 + random_below(w, 70)) * TICK_US;
		p->resuming = true;
	}
}

/*
 * Each key is created by a client with clock skew and sent repeatedly for 40 s.
 */
static void send_keys(struct world *w, int tick)
{
	struct msg m = { .kind = CLAIM, .deadline = w->now + CLAIM_TIMEOUT_US };
	int64_t created;
	int k, i, creation_interval = TICKS / (KEYS + 50);

	for (k = 0; k < KEYS; k++) {
		if (tick < k * creation_interval ||
		    tick > k * creation_interval + 400)
			continue;
		created = START_WALL_MS + w->now / BASE_MS_US +
			  random_below(w, 5001) - 2500;
		if (tick == k * creation_interval) {
			for (i = 0; i < 6; i++)
				w->keys[k].bytes[i] =
					(uint8_t)(created >> (40 - 8 * i));
			w->keys[k].bytes[15] = (uint8_t)k;
		}
		m.key = k;
		m.entry = (int)random_below(w, 2);
		if (w->now < w->procs[m.entry].paused_until ||
		    random_below(w, 30))
			continue;
		m.owner = owner_of(w, k, w->procs[m.entry].version);
		send_message(w, m);
	}
}

/* Returns how many keys ran twice or more. */
static int simulate(uint64_t seed, bool ignore_moved, int64_t clock_margin_ms,
		    int *run_once)
{
	struct world *w = base_alloc(sizeof(*w));
	int i, tick, run_twice = 0;

	base_rand_seed(&w->rnd, seed);
	w->ignore_moved = ignore_moved;
	w->clock_margin_ms = clock_margin_ms;
	w->latest_version = 1;
	w->now = BASE_SECOND_US;
	for (i = 0; i < VERSIONS_MAX; i++)
		w->roster[i] = (int)random_below(w, 4);
	for (i = 0; i < 4; i++) {
		w->procs[i].skew_ms = (int64_t)random_below(w, 5001) - 2500;
		if (i >= 2)
			start_ledger(w, &w->procs[i]);
		activate_roster(w, &w->procs[i], 1);
	}
	for (tick = 0; tick < TICKS; tick++) {
		w->now += TICK_US;
		if (!random_below(w, 80))
			w->partitioned = !w->partitioned;
		if (!random_below(w, 100) &&
		    w->latest_version < VERSIONS_MAX - 1)
			w->latest_version++;
		for (i = 0; i < 4; i++)
			step_proc(w, i);
		send_keys(w, tick);
		for (i = 0; i < MSGS_MAX; i++)
			deliver(w, &w->messages[i]);
	}
	for (i = 0; i < KEYS; i++) {
		run_twice += w->runs[i] > 1;
		*run_once += w->runs[i] == 1;
	}
	retry_ledger_destroy(w->procs[2].ledger);
	retry_ledger_destroy(w->procs[3].ledger);
	free(w);
	return run_twice;
}

/*
 * A non-idempotent request must not run twice. Without the moved flag, or
 * without the clock margin, some requests do.
 */
Test(at_most_once, no_key_runs_twice)
{
	int run_once = 0, unused = 0, run_twice = 0, without_moved = 0,
	    without_margin = 0;
	uint64_t seed;

	for (seed = 1; seed <= 150; seed++)
		run_twice += simulate(seed, false, 5000, &run_once);
	cr_assert(eq(int, run_twice, 0));
	/* Enough requests must run, or the test would prove nothing. */
	cr_assert(gt(int, run_once, 150 * KEYS / 4));
	for (seed = 1; seed <= 30; seed++) {
		without_moved += simulate(seed, true, 5000, &unused);
		without_margin += simulate(seed, false, 0, &unused);
	}
	cr_assert(gt(int, without_moved, 0));
	cr_assert(gt(int, without_margin, 0));
}
