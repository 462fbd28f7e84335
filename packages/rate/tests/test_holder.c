/* Tests of holders and of the split into shares. */
#include "base.h"
#include "rate.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define ACCOUNT 7
#define MS BASE_MS_US

static const struct rate_epoch first_epoch = { .version = 1 };
/* 100 tokens a second, 20 tokens. */
static const struct rate_share share = { 100000, 20000 };

static struct rate_holder *ready_holder(int64_t now)
{
	struct rate_holder *h = rate_holder_create(1, 0);

	rate_holder_set_share(h, ACCOUNT, &share, &first_epoch, 0);
	rate_holder_state(h, ACCOUNT, now,
			  &(struct rate_holder_state){ .level_mt = 0 });
	return h;
}

static struct rate_grant ask(struct rate_holder *h, uint64_t seq, int64_t need,
			     int64_t now)
{
	struct rate_ask a = {
		.account = ACCOUNT, .entry = 5, .seq = seq, .need_mt = need
	};
	struct rate_grant g;

	rate_holder_handle_ask(h, &a, now, &g);
	return g;
}

static struct rate_holder_state state(struct rate_holder *h, int64_t now)
{
	struct rate_holder_state s;

	cr_assert(rate_holder_state(h, ACCOUNT, now, &s));
	return s;
}

/* Guards against shares whose sum exceeds the whole. */
Test(share, sums_stay_within_the_whole)
{
	int64_t burst;

	cr_assert(eq(u32, rate_holder_count(3, 0), 3));
	cr_assert(eq(u32, rate_holder_count(3, 23), 3));
	cr_assert(eq(u32, rate_holder_count(3, 24), 6));
	cr_assert(eq(u32, rate_holder_count(9, 1000), 27));
	for (burst = 0; burst < 500; burst += 7) {
		uint32_t n = rate_holder_count(9, burst);
		struct rate_share s = rate_share_compute(burst * 3, burst, n);

		cr_assert(le(i64, s.burst_mt * n, burst * RATE_TOKEN_MT));
		cr_assert(le(i64, s.rate_mt_per_s * n,
			     burst * 3 * RATE_TOKEN_MT));
	}
}

/*
 * Guards against a restarted process that makes grants while those of the
 * previous process are still valid.
 */
Test(holder, grants_nothing_for_one_lifetime_and_starts_empty)
{
	struct rate_holder *h = ready_holder(0);
	struct rate_grant g = ask(h, 1, 1000, RATE_GRANT_LIFETIME_MAX_US);

	cr_assert(eq(int, (int)g.status, RATE_GRANT_STARTING));
	cr_assert(eq(i64, g.amount_mt, 0));
	g = ask(h, 2, 1000, RATE_GRANT_LIFETIME_MAX_US + 11 * MS);
	cr_assert(eq(int, (int)g.status, RATE_GRANT_OK));
	cr_assert(le(i64, g.amount_mt, 1100));
	rate_holder_destroy(h);
}

/* Guards against tokens from repeated, reordered or late asks and returns. */
Test(holder, repeated_and_late_messages_create_no_tokens)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	struct rate_grant g = ask(h, 1, 5000, now);
	struct rate_ask report = {
		.account = ACCOUNT,
		.entry = 5,
		.seq = 2,
		.holder = g.holder,
		.report_count = 1,
		.reports = { { g.id, 1000, 3000 } },
	};
	struct rate_grant unused;

	cr_assert(eq(i64, g.amount_mt, 5000));
	cr_assert(eq(i64, ask(h, 1, 5000, now).amount_mt, 0));
	cr_assert(not(rate_holder_handle_ask(h, &report, now, &unused)));
	cr_assert(not(rate_holder_handle_ask(h, &report, now, &unused)));
	cr_assert(eq(i64, state(h, now).level_mt, 18000));
	cr_assert(eq(i64, state(h, now).outstanding_mt, 1000));
	report.reports[0].returned_mt = 0;
	rate_holder_handle_ask(h, &report, now, &unused);
	cr_assert(eq(i64, state(h, now).outstanding_mt, 1000));
	report.reports[0].returned_mt = 5000;
	rate_holder_handle_ask(h, &report, now, &unused);
	cr_assert(eq(i64, state(h, now).level_mt, 18000));
	now += BASE_SECOND_US;
	report.reports[0].returned_mt = 4000;
	rate_holder_handle_ask(h, &report, now, &unused);
	cr_assert(eq(i64, state(h, now).level_mt, 20000));
	rate_holder_destroy(h);
}

/*
 * Guards against tokens that waiting requests spent at once but that count as
 * outstanding for long because their use is not reported.
 */
Test(holder, grants_for_waiting_requests_expire_soon)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	struct rate_grant g = ask(h, 1, 20000, now);

	cr_assert(eq(i64, g.lifetime_us, RATE_WAIT_MAX_US + 5 * MS));
	cr_assert(eq(i64, state(h, now + g.lifetime_us).level_mt, 0));
	cr_assert(gt(i64, state(h, now + g.lifetime_us + MS).level_mt, 0));
	rate_holder_destroy(h);
}

/* Guards against reports on grants of the previous process. */
Test(holder, reports_for_another_process_are_ignored)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	struct rate_grant g = ask(h, 1, 5000, now);
	struct rate_ask report = {
		.account = ACCOUNT,
		.entry = 5,
		.seq = 2,
		.holder = g.holder + 1,
		.report_count = 1,
		.reports = { { g.id, 0, 5000 } },
	};

	rate_holder_handle_ask(h, &report, now, &g);
	cr_assert(eq(i64, state(h, now).level_mt, 15000));
	rate_holder_destroy(h);
}

/* Guards against tokens that accrue while the whole burst is outstanding. */
Test(holder, accrual_stops_while_level_and_outstanding_reach_the_burst)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	int64_t lifetime = rate_share_grant_lifetime_us(&share);
	struct rate_ask a = {
		.account = ACCOUNT,
		.entry = 5,
		.seq = 1,
		.need_mt = 20000,
		.prefetch_mt = 1000,
	};
	struct rate_grant g;

	cr_assert(eq(i64, lifetime, 100 * MS));
	cr_assert(rate_holder_handle_ask(h, &a, now, &g));
	cr_assert(eq(i64, g.amount_mt, 20000));
	cr_assert(eq(i64, g.lifetime_us, lifetime));
	cr_assert(eq(i64, state(h, now + lifetime).level_mt, 0));
	cr_assert(eq(i64, state(h, now + lifetime).outstanding_mt, 20000));
	/* The grant expires 0.2% later; tokens accrue from then on. */
	cr_assert(le(i64, state(h, now + lifetime + 10 * MS).level_mt, 1000));
	cr_assert(gt(i64, state(h, now + lifetime + 10 * MS).level_mt, 900));
	rate_holder_destroy(h);
}

/* Guards against a changed share that creates tokens or applies late. */
Test(holder, share_changes_apply_at_once_without_creating_tokens)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	struct rate_share lower = { 50000, 4000 };

	rate_holder_set_share(h, ACCOUNT, &lower, &first_epoch, now);
	cr_assert(eq(i64, state(h, now).level_mt, 4000));
	rate_holder_set_share(h, ACCOUNT, &share, &first_epoch, now);
	cr_assert(eq(i64, state(h, now).level_mt, 4000));
	cr_assert(eq(i64, state(h, now + 10 * MS).level_mt, 5000));
	rate_holder_destroy(h);
}

/* Guards against old and new holders that grant the same tokens. */
Test(holder, a_new_holder_set_waits_for_all_confirmations)
{
	static const uint64_t others[] = { 11, 12 };
	struct rate_epoch epoch = { 2, others, 2, true };
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	struct rate_share higher = { 200000, 40000 };
	int64_t now = 2 * BASE_SECOND_US;

	rate_holder_set_share(h, ACCOUNT, &higher, &epoch, now);
	cr_assert(eq(i64, state(h, now).share.burst_mt, 20000));
	rate_holder_confirm(h, 11, 2, now);
	rate_holder_confirm(h, 12, 1, now);
	now += 10 * BASE_SECOND_US;
	cr_assert(eq(i64, state(h, now).share.burst_mt, 20000));
	cr_assert(eq(sz, state(h, now).unconfirmed, 1));
	rate_holder_confirm(h, 12, 3, now);
	cr_assert(eq(i64, state(h, now + 250 * MS).share.burst_mt, 20000));
	cr_assert(eq(i64, state(h, now + 251 * MS).share.burst_mt, 40000));
	rate_holder_destroy(h);
}

/*
 * Guards against a share that continues after a skipped version: holders named
 * by that version treat this share as ended.
 */
Test(holder, a_share_ends_when_a_version_was_skipped)
{
	struct rate_epoch epoch = { .version = 3 };
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;

	rate_holder_set_share(h, ACCOUNT, &share, &epoch, now);
	cr_assert(eq(i64, state(h, now).level_mt, 0));
	cr_assert(eq(i64, state(h, now + 250 * MS).level_mt, 0));
	cr_assert(gt(i64, state(h, now + 300 * MS).level_mt, 0));
	rate_holder_destroy(h);
}

/* Guards against state that a malformed message of a peer changes. */
Test(holder, malformed_asks_change_nothing)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	struct rate_ask malformed = { .account = ACCOUNT,
				      .entry = 5,
				      .seq = 1 };
	struct rate_grant g;

	malformed.need_mt = -1;
	cr_assert(not(rate_holder_handle_ask(h, &malformed, now, &g)));
	malformed.need_mt = 1000;
	malformed.report_count = RATE_REPORTS_MAX + 1;
	cr_assert(not(rate_holder_handle_ask(h, &malformed, now, &g)));
	cr_assert(eq(i64, state(h, now).level_mt, 20000));
	rate_holder_destroy(h);
}

/* Guards against memory that grows with entries that no longer exist. */
Test(holder, drops_idle_entries_and_expired_grants)
{
	struct rate_holder *h = ready_holder(2 * BASE_SECOND_US);
	int64_t now = 2 * BASE_SECOND_US;
	uint64_t i;

	for (i = 0; i < 10000; i++) {
		struct rate_ask a = { .account = ACCOUNT,
				      .entry = 100 + i,
				      .seq = 1,
				      .need_mt = 200 };
		struct rate_grant g;

		now += 2 * MS;
		rate_holder_handle_ask(h, &a, now, &g);
	}
	cr_assert(le(sz, state(h, now).entries, 260));
	cr_assert(le(sz, state(h, now).grants, 60));
	rate_holder_destroy(h);
}
