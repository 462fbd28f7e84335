/* Tests of servers that are taken out of use while requests are in flight. */
#include "routing.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define SERVICE 3
#define OTHER_SERVICE 4
#define SLOTS 10

static const struct routing_server server = { .service = SERVICE,
					      .slots = SLOTS };

static struct routing_table *setup(void)
{
	struct routing_table *t = routing_table_create(1, NULL);

	routing_configure(t, &server, 1);
	return t;
}

static uint32_t in_flight(const struct routing_table *t)
{
	struct routing_view view;

	cr_assert(routing_server_view(t, server.id, 0, &view));
	return view.in_flight;
}

/*
 * Guards against a request that waited for its link and is then sent to a VM
 * that was removed, leaves, drains, serves another service or is in a failure
 * domain that was taken out meanwhile.
 */
Test(out_of_use, a_request_that_waited_is_not_sent)
{
	struct routing_table *t = setup();
	struct routing_server changed = server;

	cr_assert(routing_may_send(t, server.id, SERVICE, 0));
	cr_assert(not(routing_may_send(t, server.id, OTHER_SERVICE, 0)));
	changed.leaving = true;
	routing_configure(t, &changed, 1);
	cr_assert(not(routing_may_send(t, server.id, SERVICE, 0)));
	changed.leaving = false;
	changed.domain_out = true;
	routing_configure(t, &changed, 1);
	cr_assert(not(routing_may_send(t, server.id, SERVICE, 0)));
	routing_configure(t, NULL, 0);
	cr_assert(not(routing_may_send(t, server.id, SERVICE, 0)));
	routing_configure(t, &server, 1);
	routing_platform(t, server.id, ROUTING_PLATFORM_LEAVING);
	cr_assert(not(routing_may_send(t, server.id, SERVICE, 0)));
	routing_platform(t, server.id, ROUTING_PLATFORM_LIVE);
	routing_drain_notice(t, server.id, 0);
	cr_assert(not(routing_may_send(t, server.id, SERVICE, 0)));
	routing_table_destroy(t);
}

/* Guards against a failed link that keeps its own trial request back. */
Test(out_of_use, a_trial_is_sent_to_a_server_that_failed)
{
	struct routing_table *t = setup();

	routing_failed(t, server.id, ROUTING_SEND_FAILED, 0);
	cr_assert(routing_may_send(t, server.id, SERVICE, 0));
	routing_table_destroy(t);
}

/*
 * Guards against a request that could not be sent and ends the count of another
 * one: the server would look idler than it is.
 */
Test(in_flight, a_failed_send_leaves_the_count_as_it_is)
{
	struct routing_table *t = setup();

	routing_sent(t, server.id, 0);
	routing_sent(t, server.id, 0);
	routing_failed(t, server.id, ROUTING_SEND_FAILED, 0);
	cr_assert(eq(u32, in_flight(t), 2));
	routing_failed(t, server.id, ROUTING_LOST, 0);
	cr_assert(eq(u32, in_flight(t), 1));
	routing_table_destroy(t);
}

/*
 * Guards against a peer that counts as silent although it answers checks, and
 * against one that is dead and never counts as silent.
 */
Test(liveness, a_peer_is_silent_when_a_check_times_out)
{
	struct routing_liveness l = { .last_received_at = 0 };
	int64_t now = ROUTING_CHECK_AFTER_US;
	int64_t checked_at;

	cr_assert(not(routing_liveness_check_due(&l, now - 1)));
	cr_assert(routing_liveness_check_due(&l, now));
	cr_assert(not(routing_liveness_timed_out(&l, now)));
	routing_liveness_check_sent(&l, now);
	cr_assert(not(routing_liveness_check_due(&l, now + 1)));
	l.last_received_at = now + 1;
	now += ROUTING_CHECK_TIMEOUT_US;
	cr_assert(not(routing_liveness_timed_out(&l, now)));
	cr_assert(routing_liveness_check_due(&l, now));
	routing_liveness_check_sent(&l, now);
	checked_at = now;
	now += ROUTING_CHECK_AFTER_US;
	cr_assert(routing_liveness_check_due(&l, now));
	routing_liveness_check_sent(&l, now);
	now = checked_at + ROUTING_CHECK_TIMEOUT_US;
	cr_assert(not(routing_liveness_timed_out(&l, now - 1)));
	cr_assert(routing_liveness_timed_out(&l, now));
	l.last_received_at = now;
	cr_assert(not(routing_liveness_timed_out(&l, now)));
}
