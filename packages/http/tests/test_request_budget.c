/* Tests of the decisions about memory and connections of unfinished requests.
 */
#include "../request_budget.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define MB ((size_t)1 << 20)
#define S BASE_SECOND_US

static struct request_budget budget;
static struct request_holder h[8];

static void setup(void)
{
	size_t i;

	request_budget_init(&budget, 4 * MB, 4);
	for (i = 0; i < BASE_ARRAY_SIZE(h); i++)
		h[i] = (struct request_holder){ .source = i };
}

/* A request that has begun and holds so much. */
static void add_reading(size_t i, size_t bytes, int64_t now)
{
	request_budget_add(&budget, &h[i], now);
	request_budget_set_phase(&h[i], REQUEST_READING, now);
	request_budget_received(&h[i], bytes, now);
	request_budget_set_bytes(&budget, &h[i], bytes);
}

TestSuite(request_budget, .init = setup);

/* Guards against requests that are dropped or paused without need. */
Test(request_budget, leaves_all_alone_below_half)
{
	add_reading(0, MB, S);
	add_reading(1, MB, S);
	cr_expect(zero(request_budget_choose_request(&budget, 9 * S)));
	cr_expect(not(request_budget_must_wait(&budget, &h[1], S)));
}

/* Guards against large requests that all wait for each other. */
Test(request_budget, reads_the_oldest_and_small_ones)
{
	add_reading(0, MB, S);
	add_reading(1, 2 * MB, S + 1);
	add_reading(2, 4096, S + 2);
	cr_expect(not(request_budget_must_wait(&budget, &h[0], S + 3)));
	cr_expect(request_budget_must_wait(&budget, &h[1], S + 3));
	cr_expect(not(request_budget_must_wait(&budget, &h[2], S + 3)));
	/* The oldest has stalled. */
	request_budget_set_paused(&h[1], true, S + 3);
	cr_expect(not(request_budget_must_wait(&budget, &h[1], 3 * S)));
}

/* Guards against a stalled request that outlives those that come on. */
Test(request_budget, drops_the_longest_stalled_first)
{
	add_reading(0, MB, 2 * S);
	add_reading(1, MB, S);
	add_reading(2, MB, 4 * S);
	cr_expect(
		eq(ptr, request_budget_choose_request(&budget, 4 * S), &h[1]));
}

/* Guards against a trickle of bytes that counts as progress. */
Test(request_budget, drops_a_request_that_trickles)
{
	int64_t t;

	add_reading(0, 3 * MB, S);
	for (t = S; t < 3 * S; t += S / 10)
		request_budget_received(&h[0], 1, t);
	cr_expect(
		eq(ptr, request_budget_choose_request(&budget, 3 * S), &h[0]));
}

/* Guards against a client that is refused because the daemon did not read. */
Test(request_budget, counts_no_pause_as_a_stall)
{
	add_reading(0, 3 * MB, S);
	request_budget_set_paused(&h[0], true, S);
	cr_expect(zero(request_budget_choose_request(&budget, 20 * S)));
	cr_expect(not(request_budget_is_overdue(&h[0], 20 * S)));
	request_budget_set_paused(&h[0], false, 20 * S);
	cr_expect(zero(request_budget_choose_request(&budget, 20 * S + 1)));
}

/* Guards against one source that pushes out the requests of others. */
Test(request_budget, drops_the_largest_of_the_largest_source)
{
	h[1].source = h[2].source = h[3].source = 7;
	add_reading(0, MB + 1, S + 1);
	add_reading(1, MB, S);
	add_reading(2, MB, S + 2);
	add_reading(3, MB - 1, S + 3);
	cr_expect(zero(request_budget_choose_request(&budget, S + 4)));
	request_budget_set_bytes(&budget, &h[3], MB + 1);
	cr_expect(
		eq(ptr, request_budget_choose_request(&budget, S + 4), &h[3]));
}

/* Guards against a refusal of a request that may have run. */
Test(request_budget, never_drops_what_was_passed_on)
{
	add_reading(0, 5 * MB, S);
	request_budget_set_phase(&h[0], REQUEST_PASSED_ON, S);
	cr_expect(zero(request_budget_choose_request(&budget, 30 * S)));
	cr_expect(zero(request_budget_choose_connection(&budget, 30 * S)));
}

/* Guards against a crowd of new connections that closes kept ones. */
Test(request_budget, closes_unused_connections_before_kept_ones)
{
	request_budget_add(&budget, &h[0], S);
	request_budget_set_phase(&h[0], REQUEST_PASSED_ON, S);
	request_budget_set_phase(&h[0], REQUEST_IDLE, S);
	request_budget_add(&budget, &h[1], 3 * S);
	request_budget_add(&budget, &h[2], 2 * S);
	cr_expect(not(request_budget_is_crowded(&budget)));
	request_budget_add(&budget, &h[3], 5 * S);
	cr_expect(request_budget_is_crowded(&budget));
	cr_expect(eq(ptr, request_budget_choose_connection(&budget, 5 * S),
		     &h[2]));
	request_budget_remove(&budget, &h[2]);
	request_budget_remove(&budget, &h[1]);
	cr_expect(eq(ptr, request_budget_choose_connection(&budget, 5 * S),
		     &h[0]));
}

/* Guards against a body that stays open without pressure. */
Test(request_budget, ends_a_body_that_does_not_come_on)
{
	add_reading(0, 100, S);
	cr_expect(not(request_budget_is_overdue(&h[0], 11 * S)));
	request_budget_received(&h[0], 1, 11 * S);
	cr_expect(not(request_budget_is_overdue(&h[0], 21 * S)));
	cr_expect(request_budget_is_overdue(&h[0], 21 * S + 1));
}
