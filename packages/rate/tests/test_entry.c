/* Tests of the entry side with answers made by the tests. */
#include "base.h"
#include "rate.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define ACCOUNT 7
#define ENTRY 5
#define NOW (100 * BASE_SECOND_US)
#define MS BASE_MS_US

static const uint64_t holders[] = { 21, 22, 23 };

static struct rate_entry *create(void)
{
	struct rate_entry *e = rate_entry_create(ENTRY);
	struct rate_account spec = { 100, 30, holders, 3 };

	rate_entry_set_account(e, ACCOUNT, &spec, NOW);
	return e;
}

/* Removes the next action, which must be an ask to that holder. */
static struct rate_ask expect_ask(struct rate_entry *e, uint64_t holder)
{
	struct rate_action a;

	cr_assert(rate_entry_next_action(e, &a));
	cr_assert(eq(int, (int)a.type, RATE_ACTION_ASK));
	cr_assert(eq(u64, a.holder, holder));
	return a.ask;
}

static struct rate_decision expect_decision(struct rate_entry *e,
					    uint64_t request)
{
	struct rate_action a;

	cr_assert(rate_entry_next_action(e, &a));
	cr_assert(eq(int, (int)a.type, RATE_ACTION_DECIDED));
	cr_assert(eq(u64, a.request, request));
	return a.decision;
}

static void expect_nothing(struct rate_entry *e)
{
	struct rate_action a;

	cr_assert(not(rate_entry_next_action(e, &a)));
}

static void answer(struct rate_entry *e, uint64_t holder,
		   const struct rate_ask *ask, int64_t amount, int64_t now)
{
	struct rate_grant g = {
		.account = ACCOUNT,
		.entry = ask->entry,
		.seq = ask->seq,
		.holder = holder + 100,
		.id = amount ? ask->seq : 0,
		.amount_mt = amount,
		.lifetime_us = 100 * MS,
		.retry_us = 300 * MS,
	};

	rate_entry_on_grant(e, holder, &g, now);
}

static enum rate_result admit(struct rate_entry *e, uint64_t request,
			      int64_t now)
{
	return rate_entry_admit(e, ACCOUNT, request, now).result;
}

/* Guards against a lifetime that is counted from the arrival of the grant. */
Test(entry, token_expires_one_lifetime_after_the_ask_was_sent)
{
	struct rate_entry *e = create();
	struct rate_decision d;
	struct rate_ask ask;

	cr_assert(eq(int, (int)admit(e, 1, NOW), RATE_WAITING));
	ask = expect_ask(e, 21);
	cr_assert(eq(i64, ask.need_mt, 1000));
	answer(e, 21, &ask, 2000, NOW + 3 * MS);
	d = expect_decision(e, 1);
	cr_assert(eq(int, (int)d.result, RATE_ADMITTED));
	cr_assert(eq(i64, d.token_expires_at, NOW + 100 * MS));
	cr_assert(rate_decision_valid(&d, NOW + 100 * MS - 1));
	cr_assert(not(rate_decision_valid(&d, NOW + 100 * MS)));
	cr_assert(ne(int, (int)admit(e, 2, NOW + 100 * MS), RATE_ADMITTED));
	rate_entry_destroy(e);
}

/*
 * Guards against tokens from a repeated answer, an answer to a former process
 * of the entry, or an answer of a holder that was not asked.
 */
Test(entry, repeated_and_misdirected_grants_add_no_tokens)
{
	struct rate_entry *e = create();
	struct rate_ask ask, misdirected;

	admit(e, 1, NOW);
	ask = expect_ask(e, 21);
	misdirected = ask;
	misdirected.entry = ENTRY + 1;
	answer(e, 21, &misdirected, 5000, NOW + MS);
	answer(e, 22, &ask, 5000, NOW + MS);
	expect_nothing(e);
	answer(e, 21, &ask, 1000, NOW + MS);
	cr_assert(eq(int, (int)expect_decision(e, 1).result, RATE_ADMITTED));
	answer(e, 21, &ask, 1000, NOW + MS);
	cr_assert(eq(int, (int)admit(e, 2, NOW + MS), RATE_WAITING));
	rate_entry_destroy(e);
}

/* Guards against requests that wait too long or are never decided. */
Test(entry, bounds_the_wait_and_returns_retry_after)
{
	struct rate_entry *e = create();
	struct rate_decision d;
	int64_t now = NOW;

	admit(e, 1, NOW);
	expect_ask(e, 21);
	while (now < NOW + RATE_WAIT_MAX_US) {
		struct rate_action a;

		now = rate_entry_next_tick(e);
		rate_entry_tick(e, now);
		if (now == NOW + RATE_WAIT_MAX_US)
			break;
		while (rate_entry_next_action(e, &a))
			cr_assert(eq(int, (int)a.type, RATE_ACTION_ASK));
	}
	cr_assert(eq(i64, now, NOW + RATE_WAIT_MAX_US));
	d = expect_decision(e, 1);
	cr_assert(eq(int, (int)d.result, RATE_REFUSED));
	cr_assert(gt(i64, d.retry_after_us, 0));
	rate_entry_destroy(e);
}

/* Guards against refusals while other holders have fractions of a token. */
Test(entry, collects_fractions_of_a_token_from_several_holders)
{
	struct rate_entry *e = create();
	struct rate_ask ask;

	admit(e, 1, NOW);
	ask = expect_ask(e, 21);
	answer(e, 21, &ask, 400, NOW + MS);
	ask = expect_ask(e, 22);
	cr_assert(eq(i64, ask.need_mt, 600));
	answer(e, 22, &ask, 300, NOW + 2 * MS);
	ask = expect_ask(e, 23);
	answer(e, 23, &ask, 300, NOW + 3 * MS);
	cr_assert(eq(int, (int)expect_decision(e, 1).result, RATE_ADMITTED));
	rate_entry_destroy(e);
}

/* Guards against tokens that expire unused at an entry that cannot use them. */
Test(entry, returns_unused_tokens_after_a_refusal)
{
	struct rate_entry *e = create();
	struct rate_ask ask;

	admit(e, 1, NOW);
	ask = expect_ask(e, 21);
	answer(e, 21, &ask, 400, NOW + MS);
	ask = expect_ask(e, 22);
	answer(e, 22, &ask, 0, NOW + 2 * MS);
	ask = expect_ask(e, 23);
	answer(e, 23, &ask, 0, NOW + 3 * MS);
	cr_assert(eq(int, (int)expect_decision(e, 1).result, RATE_REFUSED));
	ask = expect_ask(e, 21);
	cr_assert(eq(i64, ask.need_mt + ask.prefetch_mt, 0));
	cr_assert(eq(u32, ask.report_count, 1));
	cr_assert(eq(i64, ask.reports[0].returned_mt, 400));
	cr_assert(eq(u64, ask.holder, 121));
	rate_entry_destroy(e);
}

/* Guards against waiting for holders that are unreachable or do not answer. */
Test(entry, asks_other_holders_when_one_does_not_answer)
{
	struct rate_entry *e = create();

	admit(e, 1, NOW);
	expect_ask(e, 21);
	rate_entry_on_holder_unreachable(e, 21, NOW + MS);
	expect_ask(e, 22);
	rate_entry_tick(e, NOW + 5 * MS);
	expect_ask(e, 23);
	rate_entry_on_holder_unreachable(e, 22, NOW + 6 * MS);
	rate_entry_on_holder_unreachable(e, 23, NOW + 6 * MS);
	cr_assert(eq(int, (int)expect_decision(e, 1).result, RATE_REFUSED));
	cr_assert(eq(int, (int)admit(e, 2, NOW + 7 * MS), RATE_REFUSED));
	rate_entry_destroy(e);
}

/* Guards against memory that grows with waiting requests or idle accounts. */
Test(entry, bounds_waiting_requests_and_deactivates_idle_accounts)
{
	struct rate_entry *e = create();
	int waiting = 0;
	uint64_t i;

	for (i = 0; i < 1000; i++)
		waiting += admit(e, i, NOW) == RATE_WAITING;
	cr_assert(eq(int, waiting, 256));
	rate_entry_cancel(e, ACCOUNT, 0);
	cr_assert(eq(int, (int)admit(e, 1000, NOW), RATE_WAITING));
	for (i = 0; i < 200 && rate_entry_next_tick(e) != INT64_MAX; i++)
		rate_entry_tick(e, rate_entry_next_tick(e));
	cr_assert(eq(i64, rate_entry_next_tick(e), INT64_MAX));
	rate_entry_destroy(e);
}

/* Guards against requests that stay undecided when their account is removed. */
Test(entry, removing_an_account_refuses_its_waiting_requests)
{
	struct rate_entry *e = create();

	admit(e, 1, NOW);
	expect_ask(e, 21);
	rate_entry_remove_account(e, ACCOUNT);
	cr_assert(eq(int, (int)expect_decision(e, 1).result, RATE_REFUSED));
	cr_assert(eq(int, (int)admit(e, 2, NOW), RATE_UNKNOWN_ACCOUNT));
	rate_entry_destroy(e);
}

/* Guards against baselines that admit more or less than their local limit. */
Test(entry, baselines_admit_their_share)
{
	struct rate_account spec = { 100, 30, holders, 3 };
	struct rate_entry *local = rate_entry_create_local_share(10);
	struct rate_entry *all = rate_entry_create_unlimited();
	int admitted = 0;
	uint64_t i;

	rate_entry_set_account(local, ACCOUNT, &spec, NOW);
	rate_entry_set_account(all, ACCOUNT, &spec, NOW);
	for (i = 0; i < 100; i++) {
		admitted +=
			admit(local, i, NOW + BASE_SECOND_US) == RATE_ADMITTED;
		cr_assert(eq(int, (int)admit(all, i, NOW), RATE_ADMITTED));
	}
	cr_assert(eq(int, admitted, 3));
	rate_entry_destroy(local);
	rate_entry_destroy(all);
}

/*
 * Takes all actions: the first holder answers after `round_trip`, the others
 * are unreachable. Returns whether the request was admitted.
 */
static bool deliver_actions(struct rate_entry *e, struct rate_holder *h,
			    int64_t now, int64_t round_trip)
{
	struct rate_grant grant;
	struct rate_action a;
	bool admitted = false;

	while (rate_entry_next_action(e, &a)) {
		if (a.type == RATE_ACTION_DECIDED)
			admitted |= a.decision.result == RATE_ADMITTED;
		else if (a.holder == holders[0] &&
			 rate_holder_handle_ask(h, &a.ask, now + round_trip / 2,
						&grant))
			rate_entry_on_grant(e, holders[0], &grant,
					    now + round_trip);
		else if (a.holder != holders[0])
			rate_entry_on_holder_unreachable(e, a.holder, now);
	}
	return admitted;
}

/*
 * Guards against refusals within the rate while the holder runs on a busy
 * machine and answers late, and against tokens that expire before they arrive.
 */
Test(entry, admits_within_the_rate_when_the_holder_answers_late)
{
	struct rate_entry *e = create();
	struct rate_holder *h = rate_holder_create(77, 0);
	struct rate_share share = rate_share_compute(100, 30, 1);
	struct rate_epoch epoch = { .version = 1, .no_version_skipped = true };
	struct rate_decision d;
	int64_t now = NOW;
	int admitted = 0;
	int i;

	rate_holder_set_share(h, ACCOUNT, &share, &epoch, 0);
	for (i = 0; i < 20; i++, now += 100 * MS) {
		rate_entry_tick(e, now);
		d = rate_entry_admit(e, ACCOUNT, (uint64_t)i, now);
		admitted += d.result == RATE_ADMITTED;
		admitted += deliver_actions(e, h, now, 40 * MS);
	}
	cr_assert(eq(int, admitted, 20));
	rate_holder_destroy(h);
	rate_entry_destroy(e);
}
