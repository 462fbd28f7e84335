/* Tests of servers that are taken out of use while requests are in flight. */
#include "routing.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define SERVICE 3
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
