/* Tests of the conversion of asks and grants to and from messages. */
#include "rate_wire.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define ACCOUNT UINT64_C(77)

/* Encodes a message and decodes it again. */
static struct peer_message round_trip(const struct peer_message *msg,
				      struct base_buf *buf)
{
	struct peer_message back;

	base_buf_reset(buf);
	cr_assert(eq(int, peer_message_encode(msg, buf, NULL), PEER_OK));
	cr_assert(eq(int, peer_message_decode(base_buf_str(buf), &back, NULL),
		     PEER_OK));
	return back;
}

static void assert_same_ask(const struct rate_ask *a, const struct rate_ask *b)
{
	uint32_t i;

	cr_assert(eq(u64, a->account, b->account));
	cr_assert(eq(u64, a->entry, b->entry));
	cr_assert(eq(u64, a->seq, b->seq));
	cr_assert(eq(i64, a->need_mt, b->need_mt));
	cr_assert(eq(i64, a->prefetch_mt, b->prefetch_mt));
	cr_assert(eq(u64, a->holder, b->holder));
	cr_assert(eq(u32, a->report_count, b->report_count));
	for (i = 0; i < a->report_count; i++) {
		const struct rate_report *x = &a->reports[i];
		const struct rate_report *y = &b->reports[i];

		cr_assert(eq(u64, x->grant, y->grant));
		cr_assert(eq(i64, x->used_mt, y->used_mt));
		cr_assert(eq(i64, x->returned_mt, y->returned_mt));
	}
}

static struct rate_ask full_ask(void)
{
	struct rate_ask ask = {
		.account = ACCOUNT,
		.entry = UINT64_MAX,
		.seq = 12,
		.need_mt = 3000,
		.prefetch_mt = 9000,
		.holder = UINT64_MAX - 1,
		.report_count = RATE_REPORTS_MAX,
	};
	uint32_t i;

	for (i = 0; i < RATE_REPORTS_MAX; i++)
		ask.reports[i] = (struct rate_report){ i + 1, i * 1000, i };
	return ask;
}

/* Guards against fields that the conversion loses or swaps. */
Test(rate_wire, ask_round_trip)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct peer_rate_return returns[RATE_REPORTS_MAX];
	struct rate_ask ask = full_ask();
	struct rate_ask out;
	struct peer_message msg, back;

	rate_wire_ask_to_message(&ask, BASE_STR("a"), BASE_STR("vm"), returns,
				 &msg);
	back = round_trip(&msg, &buf);
	cr_assert(eq(u64, back.id, 12));
	cr_assert(base_str_equal(back.rate_ask.account, BASE_STR("a")));
	cr_assert(rate_wire_ask_from_message(&back.rate_ask, ACCOUNT, &out));
	assert_same_ask(&ask, &out);
	peer_message_release(&back);
}

Test(rate_wire, grant_round_trip)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct rate_grant grant = {
		.account = ACCOUNT,
		.entry = 5,
		.seq = 6,
		.holder = 7,
		.status = RATE_GRANT_STARTING,
		.id = 8,
		.amount_mt = 9,
		.lifetime_us = 10,
		.retry_us = 11,
	};
	struct peer_message msg, back;
	struct rate_grant out;

	rate_wire_grant_to_message(&grant, BASE_STR("a"), &msg);
	back = round_trip(&msg, &buf);
	cr_assert(
		rate_wire_grant_from_message(&back.rate_grant, ACCOUNT, &out));
	cr_assert(eq(u64, out.account, ACCOUNT));
	cr_assert(eq(u64, out.entry, 5));
	cr_assert(eq(u64, out.seq, 6));
	cr_assert(eq(u64, out.holder, 7));
	cr_assert(eq(int, out.status, RATE_GRANT_STARTING));
	cr_assert(eq(u64, out.id, 8));
	cr_assert(eq(i64, out.amount_mt, 9));
	cr_assert(eq(i64, out.lifetime_us, 10));
	cr_assert(eq(i64, out.retry_us, 11));
	peer_message_release(&back);
}

/*
 * Guards against received values that exceed the admission bound or fail an
 * assertion of the rate package.
 */
Test(rate_wire, values_out_of_range_are_refused)
{
	struct peer_rate_return returns[RATE_REPORTS_MAX];
	struct peer_rate_grant grant = { .holder = 1 };
	struct rate_ask ask = full_ask();
	struct rate_ask out;
	struct rate_grant granted;
	struct peer_message msg;

	rate_wire_ask_to_message(&ask, BASE_STR("a"), BASE_STR("vm"), returns,
				 &msg);
	cr_assert(rate_wire_ask_from_message(&msg.rate_ask, ACCOUNT, &out));
	returns[3].used_mtok = -1;
	cr_assert(
		not(rate_wire_ask_from_message(&msg.rate_ask, ACCOUNT, &out)));
	returns[3].used_mtok = 0;
	msg.rate_ask.wanted_mtok = INT64_MAX;
	cr_assert(
		not(rate_wire_ask_from_message(&msg.rate_ask, ACCOUNT, &out)));
	msg.rate_ask.wanted_mtok = 0;
	msg.rate_ask.returns.count = RATE_REPORTS_MAX + 1;
	cr_assert(
		not(rate_wire_ask_from_message(&msg.rate_ask, ACCOUNT, &out)));
	cr_assert(rate_wire_grant_from_message(&grant, ACCOUNT, &granted));
	grant.lifetime_us = RATE_GRANT_LIFETIME_MAX_US + 1;
	cr_assert(not(rate_wire_grant_from_message(&grant, ACCOUNT, &granted)));
	grant.lifetime_us = 0;
	grant.granted_mtok = -1;
	cr_assert(not(rate_wire_grant_from_message(&grant, ACCOUNT, &granted)));
}

/*
 * Guards against growth of the messages. The limit for all control traffic of a
 * daemon is 13 KB/s, so a usual ask and its grant must each fit in 128 bytes.
 */
Test(rate_wire, messages_stay_small)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct peer_rate_return returns[RATE_REPORTS_MAX];
	struct rate_ask ask = full_ask();
	struct rate_grant grant = {
		.entry = UINT64_MAX,
		.seq = 1 << 20,
		.holder = UINT64_MAX,
		.id = 1 << 20,
		.amount_mt = 100000,
		.lifetime_us = 250000,
	};
	struct peer_message msg;

	ask.report_count = 2;
	rate_wire_ask_to_message(&ask, BASE_STR("lakeshore-large-1"),
				 BASE_STR("catalogue-0001"), returns, &msg);
	msg.sent_at = INT64_C(1) << 40;
	peer_message_encode(&msg, &buf, NULL);
	cr_assert(le(sz, buf.len, 128));
	base_buf_reset(&buf);
	rate_wire_grant_to_message(&grant, BASE_STR("lakeshore-large-1"), &msg);
	msg.sent_at = INT64_C(1) << 40;
	peer_message_encode(&msg, &buf, NULL);
	cr_assert(le(sz, buf.len, 128));
}
