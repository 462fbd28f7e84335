/* Tests of links that are detached while answers are under way. */
#include "node.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>

#define LARGE_ANSWERS 4

/*
 * Guards against answers that are lost when the VM of their link is taken out
 * of use: large ones are still in the queue of their sender then.
 */
Test(detached, delivers_the_answers_under_way)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	struct peer_message answer = { .type = PEER_ANSWER };
	char *body = base_alloc(PEER_BODY_MAX_BYTES);
	uint64_t i;

	answer.answer.body = (struct base_str){ body, PEER_BODY_MAX_BYTES };
	node_send_request(a, link, 1);
	node_run_until(b, "m");
	for (i = 1; i <= LARGE_ANSWERS; i++) {
		answer.id = i;
		peer_transport_reply(b->transport, &b->remote, &answer);
	}
	peer_transport_detach_link(a->transport, link);
	cr_assert(eq(i64, node_counter(a, "peer_links_detached"), 1));
	node_run_until(a, "uaaaa");
	peer_transport_close_link(a->transport, link);
	cr_assert(eq(i64, node_counter(a, "peer_links_detached"), 0));
	cr_assert(eq(i64, node_counter(a, "peer_links"), 0));
	free(body);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/*
 * Guards against a cancellation that cannot be sent once the VM was removed,
 * and against a new link to a reused address that is the old connection.
 */
Test(detached, is_separate_from_the_next_link_to_its_address)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	struct peer_link *other;
	struct peer_remote old;

	node_send_request(a, link, 1);
	node_run_until(b, "hm");
	old = b->remote;
	peer_transport_detach_link(a->transport, link);
	cr_assert(peer_transport_find_link(
			  a->transport, peer_transport_address(b->transport)) ==
		  NULL);
	other = peer_transport_open_link(a->transport,
					 peer_transport_address(b->transport));
	cr_assert(other != link);
	node_run_until(a, "uu");
	node_send_request(a, other, 2);
	node_run_until(b, "hmhm");
	cr_assert(not(peer_remote_equal(&old, &b->remote)));
	node_send_request(a, link, 3);
	node_run_until(b, "hmhmm");
	cr_assert(peer_remote_equal(&old, &b->remote));
	cr_assert(not(peer_transport_attach_link(a->transport, link)));
	peer_transport_close_link(a->transport, link);
	cr_assert(peer_transport_find_link(
			  a->transport, peer_transport_address(b->transport)) ==
		  other);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against a link that is out of use and connects again and again. */
Test(detached, reports_its_end_and_does_not_reconnect)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open_reserved(loop);
	struct peer_link *link = node_connect(a, b);
	char *address = base_str_dup(peer_transport_address(b->transport));

	peer_transport_detach_link(a->transport, link);
	node_close(b);
	node_run_until(a, "ud");
	b = node_open_at(loop, base_str_from(address), FLEET_SECRET);
	node_run_for(loop, 300 * BASE_MS_US);
	cr_assert(eq(str, a->events, "ud"));
	cr_assert(eq(str, b->events, ""));
	cr_assert(not(peer_transport_attach_link(a->transport, link)));
	free(address);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/*
 * Guards against further connections to a VM that is removed from the list and
 * restored, and against peers that do not learn that the link is in use again.
 */
Test(detached, an_attached_link_is_reported_as_up_again)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);

	peer_transport_detach_link(a->transport, link);
	cr_assert(peer_transport_attach_link(a->transport, link));
	cr_assert(eq(str, a->events, "u"));
	cr_assert(peer_transport_open_link(
			  a->transport, peer_transport_address(b->transport)) ==
		  link);
	node_run_until(a, "uu");
	node_run_until(b, "hh");
	cr_assert(eq(i64, node_counter(a, "peer_links"), 1));
	cr_assert(eq(i64, node_counter(a, "peer_links_up"), 1));
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against cancelling an answer that arrived during a pause. */
Test(detached, messages_of_a_pause_are_delivered)
{
	struct event_base *loop = event_base_new();
	struct event_base *paused = event_base_new();
	struct node *a = node_open(paused);
	struct node *b = node_open(loop);
	struct peer_message answer = { .type = PEER_ANSWER, .id = 1 };
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));

	while (!node_has_recorded(a, "u") || !node_has_recorded(b, "h")) {
		node_run_for(paused, 5 * BASE_MS_US);
		node_run_for(loop, 5 * BASE_MS_US);
	}
	node_send_request(a, link, 1);
	node_run_until(b, "hm");
	peer_transport_detach_link(a->transport, link);
	peer_transport_reply(b->transport, &b->remote, &answer);
	node_run_for(loop, 100 * BASE_MS_US);
	peer_transport_receive_pending(a->transport);
	cr_assert(eq(str, a->events, "ua"));
	node_close(a);
	node_close(b);
	event_base_free(loop);
	event_base_free(paused);
}
