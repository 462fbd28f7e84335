/*
 * Model of at most once: two failure domains with an entry and an owner each,
 * under pauses, restarts, partitions, roster changes and clock skew.
 */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define WALL INT64_C(1700000000000)
#define TICK_US (100 * BASE_MS_US)
#define TICKS 1500
#define KEYS 200
#define MSGS 512
#define VERSIONS 64
#define RETENTION_US (30 * BASE_SECOND_US)
#define WAIT_US (2 * BASE_SECOND_US)

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
	bool waking;
	int version;
	/* Since the start of the process. */
	int first_version;
	bool activated[VERSIONS];
	struct retry_ledger *ledger;
};

struct world {
	struct base_rand rnd;
	int64_t now;
	struct proc procs[4];
	struct msg msgs[MSGS];
	struct retry_key keys[KEYS];
	int runs[KEYS];
	int roster[VERSIONS];
	int latest;
	bool cut;
	/* Switches of the mechanisms, to show that the test can fail. */
	bool ignore_moved;
	int64_t margin_ms;
};

static uint32_t roll(struct world *w, uint32_t bound)
{
	return base_rand_below(&w->rnd, bound);
}

static int64_t wall(const struct world *w, const struct proc *p)
{
	return WALL + w->now / BASE_MS_US + p->skew_ms;
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

static bool reaches(const struct world *w, int a, int b)
{
	return a % 2 == b % 2 || !w->cut;
}

static void post(struct world *w, struct msg m)
{
	int i;

	for (i = 0; i < MSGS && w->msgs[i].kind; i++)
		;
	cr_assert(lt(int, i, MSGS));
	m.at = w->now + roll(w, 3) * TICK_US;
	w->msgs[i] = m;
}

static void adopt(struct world *w, struct proc *p, int version)
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

/* The highest version of the processes that p reaches. */
static int heard_version(const struct world *w, int p)
{
	int i, best = w->procs[p].version;

	for (i = 0; i < 4; i++) {
		if (reaches(w, p, i) && w->now >= w->procs[i].paused_until &&
		    w->procs[i].version > best)
			best = w->procs[i].version;
	}
	return best;
}

static void start_ledger(struct world *w, struct proc *p)
{
	struct retry_ledger_limits limits = retry_ledger_default_limits;

	limits.retention_us = RETENTION_US;
	limits.margin_ms = w->margin_ms;
	p->first_version = p->version;
	retry_ledger_destroy(p->ledger);
	p->ledger = retry_ledger_create(&limits, wall(w, p), w->now);
}

static void report_domains(struct world *w, int p)
{
	int i, oldest, d;

	for (d = 0; d < 2; d++) {
		oldest = VERSIONS;
		for (i = d; i < 4; i += 2) {
			if (w->now >= w->procs[i].paused_until &&
			    w->procs[i].version < oldest)
				oldest = w->procs[i].version;
		}
		if (oldest < VERSIONS && reaches(w, p, d))
			retry_ledger_report_domain(
				w->procs[p].ledger, (uint32_t)d,
				(uint64_t)oldest, wall(w, &w->procs[p]),
				w->now);
	}
}

static bool has_moved(const struct world *w, int p, int key)
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
	c.moved = has_moved(w, m.owner, m.key);
	a = retry_ledger_claim(o->ledger, &c, wall(w, o), w->now);
	if (a.status != RETRY_CLAIM_NEW)
		return;
	m.kind = ANSWER;
	m.claim_id = a.claim_id;
	post(w, m);
}

/* The entry runs the request if it still waits; some sends fail at once. */
static void on_answer(struct world *w, struct msg m)
{
	m.kind = COMPLETE;
	if (w->now >= m.deadline || !roll(w, 10))
		m.kind = RELEASE;
	else
		w->runs[m.key]++;
	if (m.kind == RELEASE || roll(w, 4))
		post(w, m);
}

static void deliver(struct world *w, struct msg *slot)
{
	struct msg m = *slot;
	int to = m.kind == ANSWER ? m.entry : m.owner;

	if (!m.kind || w->now < m.at || w->now < w->procs[to].paused_until)
		return;
	slot->kind = NONE;
	if (!reaches(w, m.entry, m.owner))
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
	if (p->waking && p->ledger)
		retry_ledger_suspend(p->ledger);
	if (p->waking || !roll(w, 3))
		adopt(w, p, heard_version(w, i));
	p->waking = false;
	/* The platform is seen now and then, also from a cut off domain. */
	if (!roll(w, 60))
		adopt(w, p, w->latest);
	if (p->ledger && !roll(w, 400)) {
		start_ledger(w, p);
		adopt(w, p, heard_version(w, i));
	}
	if (p->ledger && roll(w, 2))
		report_domains(w, i);
	if (!roll(w, 150)) {
		p->paused_until = w->now + (10 + roll(w, 70)) * TICK_US;
		p->waking = true;
	}
}

/* Each key is created by a client with skew and sent again for 40 s. */
static void send_keys(struct world *w, int tick)
{
	struct msg m = { .kind = CLAIM, .deadline = w->now + WAIT_US };
	int64_t created;
	int k, i, born = TICKS / (KEYS + 50);

	for (k = 0; k < KEYS; k++) {
		if (tick < k * born || tick > k * born + 400)
			continue;
		created = WALL + w->now / BASE_MS_US + roll(w, 5001) - 2500;
		if (tick == k * born) {
			for (i = 0; i < 6; i++)
				w->keys[k].bytes[i] =
					(uint8_t)(created >> (40 - 8 * i));
			w->keys[k].bytes[15] = (uint8_t)k;
		}
		m.key = k;
		m.entry = (int)roll(w, 2);
		if (w->now < w->procs[m.entry].paused_until || roll(w, 30))
			continue;
		m.owner = owner_of(w, k, w->procs[m.entry].version);
		post(w, m);
	}
}

/* Returns how many keys ran twice or more. */
static int run_world(uint64_t seed, bool ignore_moved, int64_t margin_ms,
		     int *once)
{
	struct world *w = base_alloc(sizeof(*w));
	int i, tick, twice = 0;

	base_rand_seed(&w->rnd, seed);
	w->ignore_moved = ignore_moved;
	w->margin_ms = margin_ms;
	w->latest = 1;
	w->now = BASE_SECOND_US;
	for (i = 0; i < VERSIONS; i++)
		w->roster[i] = (int)roll(w, 4);
	for (i = 0; i < 4; i++) {
		w->procs[i].skew_ms = (int64_t)roll(w, 5001) - 2500;
		if (i >= 2)
			start_ledger(w, &w->procs[i]);
		adopt(w, &w->procs[i], 1);
	}
	for (tick = 0; tick < TICKS; tick++) {
		w->now += TICK_US;
		if (!roll(w, 80))
			w->cut = !w->cut;
		if (!roll(w, 100) && w->latest < VERSIONS - 1)
			w->latest++;
		for (i = 0; i < 4; i++)
			step_proc(w, i);
		send_keys(w, tick);
		for (i = 0; i < MSGS; i++)
			deliver(w, &w->msgs[i]);
	}
	for (i = 0; i < KEYS; i++) {
		twice += w->runs[i] > 1;
		*once += w->runs[i] == 1;
	}
	retry_ledger_destroy(w->procs[2].ledger);
	retry_ledger_destroy(w->procs[3].ledger);
	free(w);
	return twice;
}

/*
 * Guards against a second run of a non-idempotent request. Without the moved
 * flag, or without the clock margin, keys do run twice.
 */
Test(once, no_key_runs_twice)
{
	int once = 0, ignored = 0, twice = 0, unmoved = 0, unmargined = 0;
	uint64_t seed;

	for (seed = 1; seed <= 150; seed++)
		twice += run_world(seed, false, 5000, &once);
	cr_assert(eq(int, twice, 0));
	/* Most requests must run, or the test would prove nothing. */
	cr_assert(gt(int, once, 150 * KEYS / 4));
	for (seed = 1; seed <= 30; seed++) {
		unmoved += run_world(seed, true, 5000, &ignored);
		unmargined += run_world(seed, false, 0, &ignored);
	}
	cr_assert(gt(int, unmoved, 0));
	cr_assert(gt(int, unmargined, 0));
}
