/* Tests of the transport over loopback. */
#include "node.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>

/* Runs two loops in turn until the event is recorded, at most 10 s. */
static void run_both_until(struct event_base *loop, struct event_base *other,
			   struct node *node, const char *event)
{
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	while (!node_has_recorded(node, event) && base_now_us() < end) {
		node_run_for(loop, 5 * BASE_MS_US);
		node_run_for(other, 5 * BASE_MS_US);
	}
}

/* Guards against replies that are lost or arrive in another order. */
Test(transport, replies_reach_the_sender_in_order)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	uint64_t i;

	b->reply_to_requests = true;
	for (i = 1; i <= 5; i++)
		cr_assert(eq(int, node_send_request(a, link, i), PEER_OK));
	node_run_until(a, "aaaaa");
	for (i = 0; i < 5; i++)
		cr_assert(eq(u64, a->message_ids[i], i + 1));
	cr_assert(eq(str, b->events, "hmmmmm"));
	cr_assert(eq(
		i64,
		node_counter(a, "peer_messages_sent_total{type=\"request\"}"),
		5));
	cr_assert(gt(
		i64,
		node_counter(a, "peer_bytes_received_total{type=\"answer\"}"),
		0));
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against a struct peer_remote that is only valid in the callback. */
Test(transport, a_copied_remote_can_be_replied_to_until_it_disconnects)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_message msg = { .type = PEER_ANSWER, .id = 9 };
	struct peer_link *link = node_connect(a, b);
	struct peer_remote remote;

	node_send_request(a, link, 9);
	node_run_until(b, "m");
	remote = b->remote;
	node_run_for(loop, 20 * BASE_MS_US);
	cr_assert(eq(int, peer_transport_reply(b->transport, &remote, &msg),
		     PEER_OK));
	node_run_until(a, "a");
	peer_transport_close_link(a->transport, link);
	node_run_for(loop, 100 * BASE_MS_US);
	cr_assert(eq(int, peer_transport_reply(b->transport, &remote, &msg),
		     PEER_ERR_UNREACHABLE));
	cr_assert(eq(i64, node_counter(b, "peer_send_failures_total"), 1));
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against messages queued for a remote that may never start. */
Test(transport, send_on_an_unconnected_link_fails_at_once)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct peer_link *link =
		peer_transport_open_link(a->transport, BASE_STR("127.0.0.1:1"));

	cr_assert(not(peer_link_is_up(link)));
	cr_assert(eq(int, node_send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	node_run_for(loop, 200 * BASE_MS_US);
	cr_assert(eq(int, node_send_request(a, link, 2), PEER_ERR_UNREACHABLE));
	cr_assert(eq(str, a->events, ""));
	node_close(a);
	event_base_free(loop);
}

struct accept_record {
	char ip[INET_ADDRSTRLEN];
	int count;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	const struct sockaddr_in *from = (const struct sockaddr_in *)addr;
	struct accept_record *record = arg;

	(void)listener;
	(void)len;
	inet_ntop(AF_INET, &from->sin_addr, record->ip, sizeof(record->ip));
	record->count++;
	evutil_closesocket(fd);
}

/* Finds the source IP of links when the transport listens on @p listen. */
static void observe_source_ip(struct base_str listen,
			      struct accept_record *record)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open_at(loop, listen, FLEET_SECRET);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct evconnlistener *listener;
	socklen_t len = sizeof(addr);
	char address[32];
	int i;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = evconnlistener_new_bind(loop, on_accept, record,
					   LEV_OPT_CLOSE_ON_FREE, 16,
					   (struct sockaddr *)&addr, len);
	cr_assert(listener != NULL);
	getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&addr,
		    &len);
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	peer_transport_open_link(a->transport, base_str_from(address));
	for (i = 0; i < 400 && !record->count; i++)
		node_run_for(loop, 5 * BASE_MS_US);
	evconnlistener_free(listener);
	node_close(a);
	event_base_free(loop);
}

/* Guards against daemons that cannot be distinguished by source address. */
Test(transport, links_come_from_the_listen_address)
{
	struct accept_record record = { "", 0 };

	observe_source_ip(BASE_STR("127.0.7.9:0"), &record);
	cr_assert(eq(str, record.ip, "127.0.7.9"));
}

/* Guards against binding the unspecified address as a source. */
Test(transport, links_of_an_unspecified_address_come_from_any)
{
	struct accept_record record = { "", 0 };

	observe_source_ip(BASE_STR("0.0.0.0:0"), &record);
	cr_assert(eq(str, record.ip, "127.0.0.1"));
}

/* Guards against a link that stops connecting after failed attempts. */
Test(transport, link_connects_to_a_remote_that_starts_later)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open_reserved(loop);
	char *address = base_str_dup(peer_transport_address(b->transport));

	node_close(b);
	peer_transport_open_link(a->transport, base_str_from(address));
	node_run_for(loop, 300 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	b = node_open_at(loop, base_str_from(address),
			 BASE_STR("some other fleet secret"));
	node_run_for(loop, 1500 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	node_close(b);
	b = node_open_at(loop, base_str_from(address), FLEET_SECRET);
	node_run_until(a, "u");
	free(address);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against requests that wait for an answer of a daemon that has died. */
Test(transport, link_goes_down_with_the_remote_and_comes_back)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open_reserved(loop);
	struct peer_link *link = node_connect(a, b);
	char *address = base_str_dup(peer_transport_address(b->transport));

	node_close(b);
	node_run_until(a, "ud");
	cr_assert(not(peer_link_is_up(link)));
	cr_assert(eq(int, node_send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	cr_assert(eq(i64, node_counter(a, "peer_links_up"), 0));
	b = node_open_at(loop, base_str_from(address), FLEET_SECRET);
	node_run_until(a, "udu");
	node_run_until(b, "h");
	cr_assert(eq(int, node_send_request(a, link, 2), PEER_OK));
	node_run_until(b, "hm");
	free(address);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against received answers that are lost or delivered after link_down.
 */
Test(transport, received_answers_are_delivered_before_link_down)
{
	struct event_base *loop = event_base_new();
	struct event_base *other = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(other);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));

	b->reply_to_requests = true;
	run_both_until(loop, other, a, "u");
	node_send_request(a, link, 1);
	node_send_request(a, link, 2);
	node_run_until(b, "hmm");
	node_run_for(other, 50 * BASE_MS_US);
	node_close(b);
	node_run_until(a, "d");
	cr_assert(eq(str, a->events, "uaad"));
	node_close(a);
	event_base_free(loop);
	event_base_free(other);
}

/* Guards against queued replies that are lost when their daemon stops. */
Test(transport, replies_queued_before_destroy_are_delivered)
{
	struct event_base *loop = event_base_new();
	struct event_base *other = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(other);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message answer = { .type = PEER_ANSWER };
	char *body = base_alloc(PEER_BODY_MAX_BYTES);
	uint64_t i;

	answer.answer.body = (struct base_str){ body, PEER_BODY_MAX_BYTES };
	run_both_until(loop, other, a, "u");
	node_send_request(a, link, 1);
	node_run_until(b, "hm");
	for (i = 1; i <= 8; i++) {
		answer.id = i;
		cr_assert(eq(
			int,
			peer_transport_reply(b->transport, &b->remote, &answer),
			PEER_OK));
	}
	free(body);
	node_close(b);
	node_run_until(a, "uaaaaaaaa");
	node_close(a);
	event_base_free(loop);
	event_base_free(other);
}

/*
 * Guards against a send that succeeds after the connection has ended but before
 * the transport has handled that: the outcome of the request would be reported
 * as unknown although it was never sent.
 */
Test(transport, send_after_an_unhandled_disconnect_fails)
{
	struct event_base *loop = event_base_new();
	struct event_base *other = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(other);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));

	run_both_until(loop, other, b, "h");
	node_close(b);
	node_run_for(other, 100 * BASE_MS_US);
	cr_assert(peer_link_is_up(link));
	cr_assert(eq(int, node_send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	cr_assert(eq(str, a->events, "u"));
	node_run_until(a, "ud");
	node_close(a);
	event_base_free(loop);
	event_base_free(other);
}

/*
 * Guards against starting requests whose cancel messages have arrived but were
 * not read yet. The second loop is not run, which simulates a paused process.
 */
Test(transport, receive_pending_delivers_messages_of_a_pause)
{
	struct event_base *loop = event_base_new();
	struct event_base *paused = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(paused);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message cancel = { .type = PEER_CANCEL, .id = 299 };
	uint64_t i;

	run_both_until(loop, paused, b, "h");
	for (i = 0; i < 300; i++)
		cr_assert(eq(int, node_send_request(a, link, i), PEER_OK));
	peer_transport_send(a->transport, link, &cancel);
	node_run_for(loop, 300 * BASE_MS_US);
	peer_transport_receive_pending(b->transport);
	cr_assert(eq(sz, b->message_id_count, 302));
	cr_assert(eq(int, b->last_type, PEER_CANCEL));
	cr_assert(ge(i64, b->receive_info.age_us, 200 * BASE_MS_US));
	cr_assert(le(i64, b->receive_info.age_us, 10 * BASE_SECOND_US));
	node_close(a);
	node_close(b);
	event_base_free(loop);
	event_base_free(paused);
}

/* Guards against unbounded queues for a remote that does not read. */
Test(transport, sends_to_a_remote_that_does_not_read_return_busy)
{
	struct event_base *loop = event_base_new();
	struct event_base *blocked = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(blocked);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message msg = { .type = PEER_REQUEST };
	char *body = base_alloc(65536);
	enum peer_status status = PEER_OK;
	int sent = 0;

	run_both_until(loop, blocked, b, "h");
	msg.request.body = (struct base_str){ body, 65536 };
	while (status == PEER_OK && sent < 5000) {
		status = peer_transport_send(a->transport, link, &msg);
		sent++;
	}
	cr_assert(eq(int, status, PEER_ERR_BUSY));
	free(body);
	node_close(a);
	node_close(b);
	event_base_free(loop);
	event_base_free(blocked);
}

/* Guards against a socket limit that is lower than that of the encoding. */
Test(transport, the_largest_body_is_delivered)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	struct peer_message msg = { .type = PEER_REQUEST };
	char *body = base_alloc(PEER_BODY_MAX_BYTES);

	msg.request.body = (struct base_str){ body, PEER_BODY_MAX_BYTES };
	cr_assert(eq(int, peer_transport_send(a->transport, link, &msg),
		     PEER_OK));
	node_run_until(b, "hm");
	cr_assert(eq(sz, b->last_body_bytes, PEER_BODY_MAX_BYTES));
	free(body);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against use after free of a link closed by its own callback. */
Test(transport, a_callback_may_close_its_link)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	uint64_t i;

	b->reply_to_requests = true;
	a->close_link_on_message = true;
	for (i = 0; i < 10; i++)
		node_send_request(a, link, i);
	node_run_until(a, "a");
	node_run_for(loop, 100 * BASE_MS_US);
	cr_assert(eq(str, a->events, "ua"));
	cr_assert(eq(sz, peer_transport_link_count(a->transport), 0));
	cr_assert(peer_transport_find_link(
			  a->transport, peer_transport_address(b->transport)) ==
		  NULL);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against two connections to one daemon. */
Test(transport, one_address_has_one_link)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct base_str address = BASE_STR("127.0.0.1:1");
	struct peer_link *link =
		peer_transport_open_link(a->transport, address);
	int data = 0;

	cr_assert(peer_transport_open_link(a->transport, address) == link);
	cr_assert(eq(sz, peer_transport_link_count(a->transport), 1));
	cr_assert(base_str_equal(peer_link_address(link), address));
	cr_assert(peer_link_data(link) == NULL);
	peer_link_set_data(link, &data);
	cr_assert(peer_link_data(link) == &data);
	node_close(a);
	event_base_free(loop);
}
