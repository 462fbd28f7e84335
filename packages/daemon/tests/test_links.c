/* Tests of the decisions about outgoing links. */
#include "membership_internal.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/*
 * Guards against a link that is closed under a request that takes longer than
 * idle links are kept.
 */
Test(links, a_link_with_requests_in_flight_is_not_idle)
{
	struct outgoing_link link = { .used_at = 0, .in_flight = 1 };

	cr_assert(not(links_is_idle(&link, LINK_IDLE_TIMEOUT_US)));
	link.in_flight = 0;
	cr_assert(links_is_idle(&link, LINK_IDLE_TIMEOUT_US));
	cr_assert(not(links_is_idle(&link, LINK_IDLE_TIMEOUT_US - 1)));
	link.relay = true;
	cr_assert(not(links_is_idle(&link, LINK_IDLE_TIMEOUT_US)));
}
