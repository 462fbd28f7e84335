/* Tests of the retry budget and of retry decisions, in simulated time. */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define DEPTH_MAX 24
#define REQUESTS 1000

/* A chain of daemons, each hop with a probability to fail. */
struct chain {
	int depth;
	struct retry_budget budgets[DEPTH_MAX + 1];
	/* Number of executions on the backend server of each hop. */
	int runs[DEPTH_MAX + 1];
	double fail[DEPTH_MAX + 1];
	struct base_rand rnd;
	int64_t now;
	/* Disable one mechanism each, to show that the tests can fail. */
	bool ignore_flags;
	bool skip_charge;
};

struct answer {
	bool ok;
	bool retried;
};

/*
 * A hop fails after its onward call, so a retry repeats all calls behind it.
 */
static struct answer run(struct chain *c, int hop, uint32_t attempt)
{
	struct retry_failure failed = { .outcome = RETRY_OUTCOME_SERVER_ERROR,
					.attempt =
						c->ignore_flags ? 0 : attempt,
					.idempotent = true,
					.deadline = INT64_MAX };
	struct answer a = { .ok = true };
	struct retry_decision d = { 0 };

	for (;;) {
		c->runs[hop]++;
		if (hop < c->depth)
			a = run(c, hop + 1, attempt);
		if (a.ok && base_rand_unit(&c->rnd) < c->fail[hop])
			a.ok = false;
		if (a.ok) {
			retry_budget_record_success(&c->budgets[hop], c->now);
			a.retried |= d.retried;
			return a;
		}
		failed.answer_retried = a.retried && !c->ignore_flags;
		d = retry_decide(&failed, &c->budgets[hop], c->now);
		a.retried = d.retried;
		if (d.action != RETRY_ACTION_RETRY)
			return a;
		attempt = d.attempt;
		failed.attempt =
			c->ignore_flags ? failed.attempt + 1 : d.attempt;
		a = (struct answer){ .ok = true };
	}
}

/*
 * Sends requests 10 ms apart. Returns the executions per request at the hop
 * with the most of them.
 */
static double send_all(struct chain *c, int count)
{
	struct retry_budget *root = &c->budgets[1];
	uint32_t attempt;
	int i, hop, worst = 0;
	int before;

	memset(c->runs, 0, sizeof(c->runs));
	for (i = 0; i < count; i++) {
		c->now += 10 * BASE_MS_US;
		attempt = c->skip_charge ? 0
					 : retry_initial_attempt(root, c->now);
		before = c->runs[1];
		if (run(c, 1, attempt).retried && !c->skip_charge && !attempt &&
		    c->runs[1] == before + 1)
			retry_budget_charge(root, c->now);
	}
	for (hop = 1; hop <= c->depth; hop++)
		worst = c->runs[hop] > worst ? c->runs[hop] : worst;
	return (double)worst / count;
}

static void init(struct chain *c, int depth, uint64_t seed)
{
	memset(c, 0, sizeof(*c));
	c->depth = depth;
	base_rand_seed(&c->rnd, seed);
}

/*
 * Retries must not multiply from hop to hop, which would sustain an overload.
 * Without the attempt number and the "retried" flag, each hop retries on its
 * own and the bound is exceeded.
 */
Test(chain, at_most_1_1_executions_under_total_failure)
{
	struct chain c;
	int depth, failing;
	double without_flags;

	for (depth = 1; depth <= DEPTH_MAX; depth++) {
		for (failing = 1; failing <= depth; failing++) {
			init(&c, depth, (uint64_t)depth);
			send_all(&c, REQUESTS);
			c.fail[failing] = 1;
			cr_assert(le(dbl, send_all(&c, REQUESTS), 1.1));
		}
	}
	init(&c, DEPTH_MAX, 1);
	c.ignore_flags = true;
	send_all(&c, REQUESTS);
	c.fail[DEPTH_MAX] = 1;
	without_flags = send_all(&c, 100);
	cr_assert(gt(dbl, without_flags, 1.5));
}

/*
 * The retry budgets of all hops must not add up when many hops fail some of the
 * time. Without the charge at the first daemon of the chain, the bound is
 * exceeded.
 */
Test(chain, bounded_when_all_hops_sometimes_fail)
{
	struct chain c;
	uint64_t seed;
	double worst_uncharged = 0, executions;
	int hop, uncharged;

	for (seed = 1; seed <= 60; seed++) {
		uncharged = seed > 40;
		init(&c, 1 + (int)(seed * 7 % DEPTH_MAX), seed);
		c.skip_charge = uncharged;
		for (hop = 1; hop <= c.depth; hop++)
			c.fail[hop] = base_rand_unit(&c.rnd) / 10;
		executions = send_all(&c, REQUESTS);
		if (!uncharged)
			cr_assert(le(dbl, executions, 1.1));
		else if (executions > worst_uncharged)
			worst_uncharged = executions;
	}
	cr_assert(gt(dbl, worst_uncharged, 1.2));
}

/* Retries must not be paid for by successes of long ago, or without any. */
Test(budget, allows_a_tenth_of_recent_successes)
{
	struct retry_budget b = { 0 };
	int64_t now = 0;
	int i;

	cr_assert(not(retry_budget_try_spend(&b, now)));
	for (i = 0; i < 11; i++)
		retry_budget_record_success(&b, now);
	cr_assert(retry_budget_try_spend(&b, now));
	cr_assert(not(retry_budget_try_spend(&b, now)));
	for (i = 0; i < 100000; i++)
		retry_budget_record_success(&b, now);
	for (i = 0; retry_budget_try_spend(&b, now); i++)
		;
	cr_assert(le(int, i, (int)RETRY_BUDGET_MAX_TOKENS));
	for (i = 0; i < 1000; i++)
		retry_budget_record_success(&b, now);
	now += 10 * RETRY_BUDGET_DECAY_TIME_US;
	cr_assert(not(retry_budget_try_spend(&b, now)));
}

static struct retry_decision decide(enum retry_outcome outcome, bool idempotent,
				    uint32_t reroutes, int64_t now)
{
	struct retry_budget full = { .tokens = RETRY_BUDGET_MAX_TOKENS };
	struct retry_failure failed = { .outcome = outcome,
					.idempotent = idempotent,
					.reroutes = reroutes,
					.deadline = 100 };

	return retry_decide(&failed, &full, now);
}

/*
 * A request that must run once must not run twice, and reroutes must end.
 */
Test(decide, retries_only_where_allowed)
{
	static const struct {
		enum retry_outcome outcome;
		bool idempotent;
		uint32_t reroutes;
		int64_t now;
		enum retry_action action;
		enum retry_reason reason;
	} cases[] = {
		{ RETRY_OUTCOME_LOST, false, 0, 0, RETRY_ACTION_GIVE_UP,
		  RETRY_REASON_NOT_IDEMPOTENT },
		{ RETRY_OUTCOME_SERVER_ERROR, false, 0, 0, RETRY_ACTION_GIVE_UP,
		  RETRY_REASON_NOT_IDEMPOTENT },
		{ RETRY_OUTCOME_LOST, true, 0, 0, RETRY_ACTION_RETRY, 0 },
		{ RETRY_OUTCOME_LOST, true, 0, 100, RETRY_ACTION_GIVE_UP,
		  RETRY_REASON_DEADLINE },
		{ RETRY_OUTCOME_NOT_RUN, false, 1, 0, RETRY_ACTION_REROUTE, 0 },
		{ RETRY_OUTCOME_NOT_RUN, true, RETRY_REROUTES_MAX, 0,
		  RETRY_ACTION_GIVE_UP, RETRY_REASON_REROUTES },
		{ RETRY_OUTCOME_OVERLOADED, true, RETRY_REROUTES_OVERLOAD_MAX,
		  0, RETRY_ACTION_GIVE_UP, RETRY_REASON_REROUTES },
	};
	struct retry_decision d;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		d = decide(cases[i].outcome, cases[i].idempotent,
			   cases[i].reroutes, cases[i].now);
		cr_assert(eq(int, d.action, cases[i].action));
		cr_assert(eq(int, d.reason, cases[i].reason));
	}
}

/* Refused callers must not all try again at the same time. */
Test(retry_after, is_spread_from_base_to_twice_base)
{
	struct base_rand rnd;
	int64_t ms, least = INT64_MAX, most = 0;
	int i;

	base_rand_seed(&rnd, 1);
	for (i = 0; i < 1000; i++) {
		ms = retry_after_ms(&rnd, 1000);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	cr_assert(ge(i64, least, 1000));
	cr_assert(le(i64, most, 2000));
	cr_assert(gt(i64, most - least, 900));
}
