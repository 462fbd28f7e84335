/* Tests of the link clock with simulated time. */
#include "peer.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* The clock of the sender is ahead of the receiver's by this. */
#define CLOCK_OFFSET_US (1000 * BASE_SECOND_US)
#define TRANSIT_TIME_US (2 * BASE_MS_US)

static struct peer_link_clock create_clock(void)
{
	struct peer_link_clock clock;

	peer_link_clock_reset(&clock);
	return clock;
}

/* Guards against an age that includes the offset between the clocks. */
Test(link_clock, steady_messages_have_no_age)
{
	struct peer_link_clock clock = create_clock();
	int64_t now;

	for (now = 0; now < 300 * BASE_SECOND_US; now += BASE_SECOND_US / 2)
		cr_assert(eq(i64,
			     peer_link_clock_observe(&clock,
						     now + CLOCK_OFFSET_US,
						     now + TRANSIT_TIME_US),
			     0));
}

Test(link_clock, queuing_shows_as_age)
{
	struct peer_link_clock clock = create_clock();
	int64_t now = 5 * BASE_SECOND_US;

	peer_link_clock_observe(&clock, now + CLOCK_OFFSET_US,
				now + TRANSIT_TIME_US);
	cr_assert(eq(i64,
		     peer_link_clock_observe(&clock, now + CLOCK_OFFSET_US,
					     now + TRANSIT_TIME_US +
						     700 * BASE_MS_US),
		     700 * BASE_MS_US));
	cr_assert(eq(
		i64,
		peer_link_clock_age(&clock, now + CLOCK_OFFSET_US,
				    now + TRANSIT_TIME_US + 900 * BASE_MS_US),
		900 * BASE_MS_US));
}

/*
 * Guards against an age of 0 for messages that waited while the process was
 * paused: the first of them must not become the baseline.
 */
Test(link_clock, age_is_right_after_a_pause)
{
	const int64_t pauses[] = { 3, 30, 59, 60, 61, 100, 3600 };
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(pauses); i++) {
		struct peer_link_clock clock = create_clock();
		int64_t sent = 100 * BASE_SECOND_US;
		int64_t resumed_at =
			sent + TRANSIT_TIME_US + pauses[i] * BASE_SECOND_US;

		peer_link_clock_observe(&clock, sent + CLOCK_OFFSET_US,
					sent + TRANSIT_TIME_US);
		sent += BASE_SECOND_US;
		cr_assert(eq(i64,
			     peer_link_clock_observe(&clock,
						     sent + CLOCK_OFFSET_US,
						     resumed_at),
			     (pauses[i] - 1) * BASE_SECOND_US));
	}
}

/* Guards against a baseline kept after a clock drift or a change of route. */
Test(link_clock, baseline_is_forgotten_after_the_window)
{
	struct peer_link_clock clock = create_clock();
	int64_t now = 0;
	int64_t age = 0;

	peer_link_clock_observe(&clock, now + CLOCK_OFFSET_US,
				now + TRANSIT_TIME_US);
	while (now < PEER_CLOCK_WINDOW_US + 2 * BASE_SECOND_US) {
		now += BASE_SECOND_US;
		age = peer_link_clock_observe(&clock, now + CLOCK_OFFSET_US,
					      now + 10 * TRANSIT_TIME_US);
	}
	cr_assert(eq(i64, age, 0));
}

/* Guards against an integer overflow for an invalid time from a peer. */
Test(link_clock, extreme_times_do_not_overflow)
{
	const int64_t times[] = { INT64_MIN, -1, 0, 1, INT64_MAX };
	size_t i;
	size_t j;

	for (i = 0; i < BASE_ARRAY_SIZE(times); i++)
		for (j = 0; j < BASE_ARRAY_SIZE(times); j++) {
			struct peer_link_clock clock = create_clock();

			peer_link_clock_observe(&clock, times[i], 1000);
			cr_assert(ge(
				i64,
				peer_link_clock_observe(&clock, times[j], 2000),
				0));
		}
}

Test(link_clock, reset_forgets_the_baseline)
{
	struct peer_link_clock clock = create_clock();

	peer_link_clock_observe(&clock, 10, 20);
	peer_link_clock_reset(&clock);
	cr_assert(eq(i64, peer_link_clock_age(&clock, 10, 5000), 0));
}
