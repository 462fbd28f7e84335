/* Tests of the transport over loopback. */
#include "node.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>

/* Runs two loops in turn until the node has seen the event or 10 s passed. */
static void run_both_until(struct event_base *loop, struct event_base *other,
			   struct node *node, const char *event)
{
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	while (!node_saw(node, event) && base_now_us() < end) {
		node_run_for(loop, 5 * BASE_MS_US);
		node_run_for(other, 5 * BASE_MS_US);
	}
}

/* Guards against answers that do not find the way back, or in another order. */
Test(transport, replies_reach_the_sender_in_order)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	uint64_t i;

	b->echo = true;
	for (i = 1; i <= 5; i++)
		cr_assert(eq(int, node_send_request(a, link, i), PEER_OK));
	node_run_until(a, "aaaaa");
	for (i = 0; i < 5; i++)
		cr_assert(eq(u64, a->ids[i], i + 1));
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

/* Guards against a handle that is only good inside the callback. */
Test(transport, a_copied_handle_replies_later_and_fails_when_gone)
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

/* Guards against a send that is queued for a server that may never come. */
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

struct accepted {
	char ip[INET_ADDRSTRLEN];
	int count;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	const struct sockaddr_in *from = (const struct sockaddr_in *)addr;
	struct accepted *accepted = arg;

	(void)listener;
	(void)len;
	inet_ntop(AF_INET, &from->sin_addr, accepted->ip, sizeof(accepted->ip));
	accepted->count++;
	evutil_closesocket(fd);
}

/* The IP that a link comes from when its transport listens on @p listen. */
static void find_source(struct base_str listen, struct accepted *accepted)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open_at(loop, listen, SECRET);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct evconnlistener *listener;
	socklen_t len = sizeof(addr);
	char address[32];
	int i;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = evconnlistener_new_bind(loop, on_accept, accepted,
					   LEV_OPT_CLOSE_ON_FREE, 16,
					   (struct sockaddr *)&addr, len);
	cr_assert(listener != NULL);
	getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&addr,
		    &len);
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	peer_transport_open_link(a->transport, base_str_from(address));
	for (i = 0; i < 400 && !accepted->count; i++)
		node_run_for(loop, 5 * BASE_MS_US);
	evconnlistener_free(listener);
	node_close(a);
	event_base_free(loop);
}

/* Guards against daemons that cannot be told apart by where they call from. */
Test(transport, links_come_from_the_listen_address)
{
	struct accepted accepted = { "", 0 };

	find_source(BASE_STR("127.0.7.9:0"), &accepted);
	cr_assert(eq(str, accepted.ip, "127.0.7.9"));
}

/* Guards against an unspecified address that is bound as a source. */
Test(transport, links_of_an_unspecified_address_come_from_any)
{
	struct accepted accepted = { "", 0 };

	find_source(BASE_STR("0.0.0.0:0"), &accepted);
	cr_assert(eq(str, accepted.ip, "127.0.0.1"));
}

/* Guards against a link that gives up after its first attempts failed. */
Test(transport, link_connects_to_a_remote_that_starts_later)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
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
	b = node_open_at(loop, base_str_from(address), SECRET);
	node_run_until(a, "u");
	free(address);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against in-flight requests that wait for a daemon that has died. */
Test(transport, link_goes_down_with_the_remote_and_comes_back)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	char *address = base_str_dup(peer_transport_address(b->transport));

	node_close(b);
	node_run_until(a, "ud");
	cr_assert(not(peer_link_is_up(link)));
	cr_assert(eq(int, node_send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	cr_assert(eq(i64, node_counter(a, "peer_links_up"), 0));
	b = node_open_at(loop, base_str_from(address), SECRET);
	node_run_until(a, "udu");
	node_run_until(b, "h");
	cr_assert(eq(int, node_send_request(a, link, 2), PEER_OK));
	node_run_until(b, "hm");
	free(address);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against answers that arrived in time but are reported after "down". */
Test(transport, waiting_answers_are_delivered_before_link_down)
{
	struct event_base *loop = event_base_new();
	struct event_base *other = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(other);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));

	b->echo = true;
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

/* Guards against answers that a daemon gave and that end with its process. */
Test(transport, replies_given_just_before_the_end_arrive)
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
 * Guards against "sent" for a request that was queued after the connection had
 * ended: its outcome would be reported as unknown although it never left.
 */
Test(transport, send_after_an_unseen_disconnect_fails)
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
 * Guards against work that starts before the cancels behind it are seen. The
 * second loop is not run, which stands for a paused process.
 */
Test(transport, receive_pending_delivers_what_came_in_a_pause)
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
	cr_assert(eq(sz, b->id_count, 302));
	cr_assert(eq(int, b->last_type, PEER_CANCEL));
	cr_assert(ge(i64, b->receive_info.age_us, 200 * BASE_MS_US));
	cr_assert(le(i64, b->receive_info.age_us, 10 * BASE_SECOND_US));
	node_close(a);
	node_close(b);
	event_base_free(loop);
	event_base_free(paused);
}

/* Guards against unbounded memory for a remote that does not read. */
Test(transport, sends_to_a_stuck_remote_end_as_busy)
{
	struct event_base *loop = event_base_new();
	struct event_base *stuck = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(stuck);
	struct peer_link *link = peer_transport_open_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message msg = { .type = PEER_REQUEST };
	char *body = base_alloc(65536);
	enum peer_status status = PEER_OK;
	int sent = 0;

	run_both_until(loop, stuck, b, "h");
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
	event_base_free(stuck);
}

/* Guards against a bound that the socket enforces below that of the codec. */
Test(transport, the_largest_body_passes)
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
	cr_assert(eq(sz, b->last_body, PEER_BODY_MAX_BYTES));
	free(body);
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Guards against use of a link that its own callback has closed. */
Test(transport, a_callback_may_close_its_link)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = node_connect(a, b);
	uint64_t i;

	b->echo = true;
	a->unlink_on_message = true;
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
