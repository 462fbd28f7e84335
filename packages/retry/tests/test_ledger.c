/* Tests of idempotency keys and the ledger, in simulated time. */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define WALL INT64_C(1700000000000)

static struct retry_key key_at(int64_t created_ms, uint8_t n)
{
	struct retry_key key = { { 0 } };
	int i;

	for (i = 0; i < 6; i++)
		key.bytes[i] = (uint8_t)(created_ms >> (40 - 8 * i));
	key.bytes[6] = 0x70;
	key.bytes[8] = 0x80;
	key.bytes[15] = n;
	return key;
}

/* Keys that hold no creation time must be rejected. */
Test(key, parses_only_uuid_version_7)
{
	struct retry_key k;

	cr_assert(retry_key_parse(
		BASE_STR("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"), &k));
	cr_assert(eq(i64, retry_key_created_ms(&k), 1645557742000));
	cr_assert(not(retry_key_parse(
		BASE_STR("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), &k)));
	cr_assert(not(retry_key_parse(
		BASE_STR("017f22e2-79b0-7cc3-58c4-dc0c0c07398f"), &k)));
	cr_assert(not(retry_key_parse(
		BASE_STR("017f22e2079b0-7cc3-98c4-dc0c0c07398f"), &k)));
	cr_assert(not(retry_key_parse(BASE_STR("017f22e2"), &k)));
}

/* Creates a ledger that is ready at the wall-clock time WALL and `now` 0. */
static struct retry_ledger *ready_ledger(struct retry_ledger_limits limits)
{
	struct retry_ledger *l;
	uint32_t domain = 0;

	l = retry_ledger_create(&limits, WALL - 20000, -20 * BASE_SECOND_US);
	retry_ledger_activate_roster(l, 1, false, &domain, 1, WALL - 20000,
				     -20 * BASE_SECOND_US);
	retry_ledger_report_domain(l, 0, 1, WALL - 20000, -20 * BASE_SECOND_US);
	return l;
}

static struct retry_claim_result claim(struct retry_ledger *l,
				       struct retry_key key, int64_t wall_ms,
				       int64_t now)
{
	struct retry_claim c = { .account = BASE_STR("a"),
				 .key = key,
				 .deadline = INT64_MAX };

	return retry_ledger_claim(l, &c, wall_ms, now);
}

/*
 * A request must not run twice, its stored answer must be returned again, and
 * another account or request must not get it.
 */
Test(ledger, runs_once_and_repeats_the_answer)
{
	struct retry_ledger *l = ready_ledger(retry_ledger_default_limits);
	struct retry_key k = key_at(WALL, 1);
	struct retry_claim other = { .account = BASE_STR("b"),
				     .key = k,
				     .deadline = INT64_MAX };
	struct base_str answer = BASE_STR("created");
	struct retry_claim_result result, first = claim(l, k, WALL, 0);

	cr_assert(eq(int, first.status, RETRY_CLAIM_NEW));
	cr_assert(eq(int, claim(l, k, WALL, 0).status, RETRY_CLAIM_RUNNING));
	cr_assert(retry_ledger_release(l, first.claim_id));
	result = claim(l, k, WALL, 0);
	cr_assert(eq(int, result.status, RETRY_CLAIM_NEW));
	/* A late message for the released claim must not affect the new one. */
	cr_assert(not(retry_ledger_release(l, first.claim_id)));
	cr_assert(retry_ledger_complete(l, result.claim_id, &answer, 1));
	cr_assert(not(retry_ledger_release(l, result.claim_id)));
	result = claim(l, k, WALL, 2);
	cr_assert(eq(int, result.status, RETRY_CLAIM_DONE));
	cr_assert(base_str_equal(result.answer, answer));
	other.fingerprint.bytes[0] = 1;
	result = retry_ledger_claim(l, &other, WALL, 3);
	cr_assert(eq(int, result.status, RETRY_CLAIM_NEW));
	other.account = BASE_STR("a");
	result = retry_ledger_claim(l, &other, WALL, 3);
	cr_assert(eq(int, result.status, RETRY_CLAIM_MISMATCH));
	retry_ledger_destroy(l);
}

/*
 * An expired key must not be accepted again after the wall clock steps back.
 * Keys outside the limits and claims during a pause must be refused, too.
 */
Test(ledger, refuses_what_it_cannot_know_or_hold)
{
	struct retry_ledger_limits limits = { .max_keys = 2,
					      .retention_us = BASE_SECOND_US,
					      .clock_margin_ms = 5000 };
	struct retry_ledger *l = ready_ledger(limits);
	struct retry_claim late = { .key = key_at(WALL, 9), .deadline = 5 };
	struct retry_key k = key_at(WALL, 1);

	cr_assert(eq(int, claim(l, key_at(WALL + 5001, 2), WALL, 0).status,
		     RETRY_CLAIM_TOO_NEW));
	cr_assert(eq(int, claim(l, key_at(WALL - 1001, 2), WALL, 0).status,
		     RETRY_CLAIM_TOO_OLD));
	cr_assert(eq(int, retry_ledger_claim(l, &late, WALL, 5).status,
		     RETRY_CLAIM_LATE));
	cr_assert(eq(int, claim(l, k, WALL, 0).status, RETRY_CLAIM_NEW));
	claim(l, key_at(WALL, 2), WALL, 0);
	cr_assert(eq(int, claim(l, key_at(WALL, 3), WALL, 0).status,
		     RETRY_CLAIM_FULL));
	cr_assert(eq(int, claim(l, k, WALL, BASE_SECOND_US).status,
		     RETRY_CLAIM_TOO_OLD));
	retry_ledger_suspend(l);
	k = key_at(WALL + 1, 4);
	cr_assert(eq(int, claim(l, k, WALL, BASE_SECOND_US).status,
		     RETRY_CLAIM_NOT_READY));
	retry_ledger_activate_roster(l, 1, false, NULL, 0, WALL, 0);
	cr_assert(eq(int, claim(l, k, WALL, BASE_SECOND_US).status,
		     RETRY_CLAIM_NEW));
	retry_ledger_destroy(l);
}

/* Stored answers must not use more memory than the limits allow. */
Test(ledger, drops_oldest_answers_first)
{
	struct retry_ledger_limits limits = retry_ledger_default_limits;
	struct base_str answer = BASE_STR("123456");
	struct retry_claim_result result;
	struct retry_ledger *l;
	uint8_t i;

	limits.max_answer_bytes = 5;
	limits.max_total_answer_bytes = 12;
	l = ready_ledger(limits);
	for (i = 0; i < 4; i++) {
		answer.len = i == 3 ? 6 : 5;
		result = claim(l, key_at(WALL, i), WALL, 0);
		cr_assert(
			retry_ledger_complete(l, result.claim_id, &answer, 0));
	}
	for (i = 0; i < 4; i++) {
		result = claim(l, key_at(WALL, i), WALL, 0);
		cr_assert(eq(int, result.status, RETRY_CLAIM_DONE));
		/* The first was dropped, the last is too large. */
		cr_assert(eq(int, result.answer_kept, i == 1 || i == 2));
	}
	retry_ledger_destroy(l);
}
