/* Tests of the evidence that the platform's registry has answered. */
#include "registry_evidence.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define BEAT_US (1500 * BASE_MS_US)
#define START_US (100 * BASE_SECOND_US)

/* Answers every half second from START_US to @p until. */
static struct registry_evidence answered_until(int64_t until)
{
	struct registry_evidence e;
	int64_t at;

	registry_evidence_init(&e, BEAT_US);
	for (at = START_US; at <= until; at += BASE_SECOND_US / 2)
		registry_evidence_add(&e, at, at);
	return e;
}

/*
 * Guards against servers that stay in use after they left: one failed call was
 * taken for an outage in which their entries had expired.
 */
Test(registry_evidence, a_short_loss_is_no_outage)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	cr_assert(eq(i64, e.outage_ended_at, 0));
	registry_evidence_on_failure(&e);
	cr_assert(not(registry_evidence_add(&e, lost_at + 2 * BEAT_US - 1,
					    lost_at + 2 * BEAT_US - 1)));
	cr_assert(eq(i64, e.outage_ended_at, 0));
	cr_assert(eq(i64, e.steady_since, START_US));
}

/* Guards against a list that is emptied by an outage. */
Test(registry_evidence, an_outage_ends_with_the_first_answer)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	int64_t back_at = lost_at + 2 * BEAT_US;
	struct registry_evidence e = answered_until(lost_at);

	cr_assert(registry_evidence_add(&e, back_at, back_at));
	cr_assert(eq(i64, e.outage_ended_at, back_at));
	cr_assert(eq(i64, e.steady_since, back_at));
	cr_assert(not(registry_evidence_add(&e, back_at + 1, back_at + 1)));
}

/*
 * Guards against entries dropped after an outage with a short break, in which
 * not every server has written its entry.
 */
Test(registry_evidence, joins_outages_with_a_short_break)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	int64_t break_at = lost_at + 2 * BASE_SECOND_US;
	int64_t back_at = break_at + 2 * BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	cr_assert(not(registry_evidence_add(&e, break_at, break_at)));
	cr_assert(registry_evidence_add(&e, back_at, back_at));
	cr_assert(eq(i64, e.outage_ended_at, back_at));

	e = answered_until(lost_at);
	registry_evidence_add(&e, break_at, break_at + BEAT_US);
	cr_assert(not(registry_evidence_add(
		&e, break_at + BEAT_US + 2 * BASE_SECOND_US,
		break_at + BEAT_US + 2 * BASE_SECOND_US)));
	cr_assert(eq(i64, e.outage_ended_at, 0));
}

/*
 * Guards against a daemon that was cut off alone and takes the removals of that
 * time for expired entries, although a relay tells that the platform answered.
 */
Test(registry_evidence, a_relay_shows_that_there_was_no_outage)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	int64_t back_at = lost_at + 8 * BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	registry_evidence_add(&e, back_at, back_at);
	cr_assert(registry_evidence_add(&e, START_US, back_at + 1));
	cr_assert(eq(i64, e.outage_ended_at, 0));
	cr_assert(eq(i64, e.steady_since, START_US));
}

/* Guards against a hold that is counted from the own return, which is later. */
Test(registry_evidence, a_relay_shows_that_the_outage_ended_earlier)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	int64_t back_at = lost_at + 8 * BASE_SECOND_US;
	int64_t relay_back_at = back_at - BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	registry_evidence_add(&e, back_at, back_at);
	cr_assert(registry_evidence_add(&e, relay_back_at, back_at));
	cr_assert(eq(i64, e.outage_ended_at, relay_back_at));
}

/*
 * Guards against a late message of a relay that is taken for a new outage or
 * for evidence of a later time.
 */
Test(registry_evidence, what_is_older_than_the_outage_changes_nothing)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	int64_t back_at = lost_at + 8 * BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	registry_evidence_add(&e, back_at, back_at);
	cr_assert(not(registry_evidence_add(&e, START_US, lost_at)));
	cr_assert(eq(i64, e.answered_at, back_at));
	cr_assert(eq(i64, e.outage_ended_at, back_at));
}

/*
 * Guards against entries dropped by a daemon that gets the changes of an outage
 * from a peer, before it knows that the outage is over.
 */
Test(registry_evidence, is_old_while_an_outage_may_be_under_way)
{
	int64_t lost_at = START_US + 10 * BASE_SECOND_US;
	struct registry_evidence e = answered_until(lost_at);

	cr_assert(not(registry_evidence_is_old(&e, lost_at + 2 * BEAT_US - 1)));
	cr_assert(registry_evidence_is_old(&e, lost_at + 2 * BEAT_US));

	registry_evidence_init(&e, BEAT_US);
	cr_assert(not(registry_evidence_is_old(&e, START_US)));
	registry_evidence_on_failure(&e);
	cr_assert(registry_evidence_is_old(&e, START_US));
}

/*
 * Guards against a daemon that starts in an outage, takes the list from a peer
 * and empties it at the platform's return; and against one that starts with a
 * platform that answers and keeps servers that leave.
 */
Test(registry_evidence, a_start_in_an_outage)
{
	struct registry_evidence e;

	registry_evidence_init(&e, BEAT_US);
	registry_evidence_on_failure(&e);
	cr_assert(registry_evidence_add(&e, START_US, START_US));
	cr_assert(eq(i64, e.outage_ended_at, START_US));

	registry_evidence_init(&e, BEAT_US);
	cr_assert(not(registry_evidence_add(&e, START_US, START_US)));
	cr_assert(eq(i64, e.outage_ended_at, 0));
}
