/* Tests of the transport over loopback; several transports share one loop. */
#include "../keys.h"
#include "../zap.h"
#include "peer.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <string.h>
#include <zmq.h>

#define SECRET BASE_STR("a fleet secret for tests only")
#define LOG_SIZE 4096

/* A transport that writes what happens to it, one letter an event. */
struct node {
	struct event_base *loop;
	struct base_counters *counters;
	struct peer_transport *transport;
	char events[LOG_SIZE];
	size_t event_count;
	struct peer_remote remote;
	uint64_t ids[LOG_SIZE];
	size_t id_count;
	struct peer_receipt receipt;
	enum peer_type last_type;
	size_t last_body;
	bool echo;
	bool unlink_on_message;
};

static void note(struct node *node, char event)
{
	cr_assert(node->event_count + 1 < LOG_SIZE);
	node->events[node->event_count++] = event;
}

static void note_message(struct node *node, char event,
			 const struct peer_message *msg,
			 const struct peer_receipt *receipt)
{
	note(node, event);
	node->ids[node->id_count++] = msg->id;
	node->receipt = *receipt;
	node->last_type = msg->type;
	if (msg->type == PEER_REQUEST)
		node->last_body = msg->request.body.len;
}

static void on_link_message(void *ctx, struct peer_link *link,
			    const struct peer_message *msg,
			    const struct peer_receipt *receipt)
{
	struct node *node = ctx;

	note_message(node, 'a', msg, receipt);
	if (node->unlink_on_message)
		peer_transport_unlink(node->transport, link);
}

static void on_remote_message(void *ctx, const struct peer_remote *remote,
			      const struct peer_message *msg,
			      const struct peer_receipt *receipt)
{
	struct peer_message reply = { .type = PEER_ANSWER, .id = msg->id };
	struct node *node = ctx;

	note_message(node, msg->type == PEER_HELLO ? 'h' : 'm', msg, receipt);
	node->remote = *remote;
	if (node->echo && msg->type != PEER_HELLO)
		peer_transport_reply(node->transport, remote, &reply);
}

static void on_link_up(void *ctx, struct peer_link *link)
{
	(void)link;
	note(ctx, 'u');
}

static void on_link_down(void *ctx, struct peer_link *link)
{
	(void)link;
	note(ctx, 'd');
}

static enum peer_status try_open(struct node *node, struct base_str listen,
				 struct base_str secret, struct base_error *err)
{
	struct peer_transport_settings settings = {
		.listen = listen,
		.fleet_secret = secret,
		.vm = BASE_STR("vm-1"),
		.incarnation = 7,
		.counters = node->counters,
		.callbacks = { on_link_message, on_remote_message, on_link_up,
			       on_link_down },
		.ctx = node,
	};

	return peer_transport_create(&settings, node->loop, &node->transport,
				     err);
}

static struct node *node_open_at(struct event_base *loop, struct base_str at,
				 struct base_str secret)
{
	struct node *node = base_alloc(sizeof(*node));
	struct base_error err;

	node->loop = loop;
	node->counters = base_counters_create();
	cr_assert(eq(int, try_open(node, at, secret, &err), PEER_OK), "%s",
		  err.message);
	return node;
}

static struct node *node_open(struct event_base *loop)
{
	return node_open_at(loop, BASE_STR("127.0.0.1:0"), SECRET);
}

static void node_close(struct node *node)
{
	peer_transport_destroy(node->transport);
	base_counters_destroy(node->counters);
	free(node);
}

static bool saw(const struct node *node, const char *events)
{
	return strstr(node->events, events) != NULL;
}

static int64_t counter(const struct node *node, const char *name)
{
	return base_counter_value(base_counters_get(node->counters, name));
}

static void stop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

static void run_for(struct event_base *loop, int64_t us)
{
	struct timeval t = { us / BASE_SECOND_US, us % BASE_SECOND_US };
	struct event *timer = evtimer_new(loop, stop, loop);

	evtimer_add(timer, &t);
	event_base_dispatch(loop);
	event_free(timer);
}

/* Runs the loop until @p node saw the events, at most 10 s. */
static void run_until(struct node *node, const char *events)
{
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	while (!saw(node, events) && base_now_us() < end)
		run_for(node->loop, 5 * BASE_MS_US);
	cr_assert(saw(node, events), "waited for %s, saw %s", events,
		  node->events);
}

static enum peer_status send_request(struct node *node, struct peer_link *link,
				     uint64_t id)
{
	struct peer_message msg = { .type = PEER_REQUEST, .id = id };

	return peer_transport_send(node->transport, link, &msg);
}

static struct peer_link *connect_nodes(struct node *from, struct node *to)
{
	struct peer_link *link = peer_transport_link(
		from->transport, peer_transport_address(to->transport));

	cr_assert(link != NULL);
	run_until(from, "u");
	run_until(to, "h");
	return link;
}

/* Guards against answers that do not find the way back, or in another order. */
Test(transport, replies_reach_the_sender_in_order)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	struct peer_link *link = connect_nodes(a, b);
	uint64_t i;

	b->echo = true;
	for (i = 1; i <= 5; i++)
		cr_assert(eq(int, send_request(a, link, i), PEER_OK));
	run_until(a, "aaaaa");
	for (i = 0; i < 5; i++)
		cr_assert(eq(u64, a->ids[i], i + 1));
	cr_assert(eq(str, b->events, "hmmmmm"));
	cr_assert(eq(i64,
		     counter(a, "peer_messages_sent_total{type=\"request\"}"),
		     5));
	cr_assert(gt(i64,
		     counter(a, "peer_bytes_received_total{type=\"answer\"}"),
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
	struct peer_link *link = connect_nodes(a, b);
	struct peer_remote remote;

	send_request(a, link, 9);
	run_until(b, "m");
	remote = b->remote;
	run_for(loop, 20 * BASE_MS_US);
	cr_assert(eq(int, peer_transport_reply(b->transport, &remote, &msg),
		     PEER_OK));
	run_until(a, "a");
	peer_transport_unlink(a->transport, link);
	run_for(loop, 100 * BASE_MS_US);
	cr_assert(eq(int, peer_transport_reply(b->transport, &remote, &msg),
		     PEER_ERR_UNREACHABLE));
	cr_assert(eq(i64, counter(b, "peer_send_failures_total"), 1));
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
		peer_transport_link(a->transport, BASE_STR("127.0.0.1:1"));

	cr_assert(not(peer_link_is_up(link)));
	cr_assert(eq(int, send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	run_for(loop, 200 * BASE_MS_US);
	cr_assert(eq(int, send_request(a, link, 2), PEER_ERR_UNREACHABLE));
	cr_assert(eq(str, a->events, ""));
	node_close(a);
	event_base_free(loop);
}

/* Guards against a link that gives up after its first attempts failed. */
Test(transport, link_connects_to_a_remote_that_starts_later)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node *b = node_open(loop);
	char *address = base_str_dup(peer_transport_address(b->transport));

	node_close(b);
	peer_transport_link(a->transport, base_str_from(address));
	run_for(loop, 300 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	b = node_open_at(loop, base_str_from(address),
			 BASE_STR("some other fleet secret"));
	run_for(loop, 1500 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	node_close(b);
	b = node_open_at(loop, base_str_from(address), SECRET);
	run_until(a, "u");
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
	struct peer_link *link = connect_nodes(a, b);
	char *address = base_str_dup(peer_transport_address(b->transport));

	node_close(b);
	run_until(a, "ud");
	cr_assert(not(peer_link_is_up(link)));
	cr_assert(eq(int, send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	cr_assert(eq(i64, counter(a, "peer_links_up"), 0));
	b = node_open_at(loop, base_str_from(address), SECRET);
	run_until(a, "udu");
	run_until(b, "h");
	cr_assert(eq(int, send_request(a, link, 2), PEER_OK));
	run_until(b, "hm");
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
	struct peer_link *link = peer_transport_link(
		a->transport, peer_transport_address(b->transport));
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	b->echo = true;
	while (!saw(a, "u") && base_now_us() < end) {
		run_for(loop, 5 * BASE_MS_US);
		run_for(other, 5 * BASE_MS_US);
	}
	send_request(a, link, 1);
	send_request(a, link, 2);
	run_until(b, "hmm");
	run_for(other, 50 * BASE_MS_US);
	node_close(b);
	run_until(a, "d");
	cr_assert(eq(str, a->events, "uaad"));
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
	struct peer_link *link = peer_transport_link(
		a->transport, peer_transport_address(b->transport));
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	while (!saw(b, "h") && base_now_us() < end) {
		run_for(loop, 5 * BASE_MS_US);
		run_for(other, 5 * BASE_MS_US);
	}
	node_close(b);
	run_for(other, 100 * BASE_MS_US);
	cr_assert(peer_link_is_up(link));
	cr_assert(eq(int, send_request(a, link, 1), PEER_ERR_UNREACHABLE));
	cr_assert(eq(str, a->events, "u"));
	run_until(a, "ud");
	node_close(a);
	event_base_free(loop);
	event_base_free(other);
}

/* Guards against daemons of another fleet, or without any secret. */
Test(transport, wrong_fleet_secret_is_refused_and_counted)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open_at(loop, BASE_STR("127.0.0.1:0"),
				      BASE_STR("some other fleet secret"));
	struct node *b = node_open(loop);

	peer_transport_link(a->transport, peer_transport_address(b->transport));
	run_for(loop, 600 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	cr_assert(eq(str, b->events, ""));
	cr_assert(gt(i64,
		     counter(b, "peer_refused_total{reason=\"handshake\"}"),
		     0));
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Opens a client with the server's public key and another key of its own. */
static void *open_stranger(void *ctx, const struct fleet_keys *server,
			   struct base_str address)
{
	void *socket = zmq_socket(ctx, ZMQ_DEALER);
	struct fleet_keys own;
	char endpoint[96];
	int linger = 0;

	cr_assert(eq(int,
		     fleet_keys_derive(BASE_STR("the stranger's secret"), &own,
				       NULL),
		     PEER_OK));
	snprintf(endpoint, sizeof(endpoint), "tcp://%.*s",
		 BASE_STR_ARG(address));
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server->public_key,
		       KEY_SIZE);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, own.public_key, KEY_SIZE);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, own.secret_key, KEY_SIZE);
	zmq_connect(socket, endpoint);
	zmq_send(socket, "x", 1, ZMQ_DONTWAIT);
	return socket;
}

/* Guards against a ZAP handler that accepts any client key. */
Test(transport, another_client_key_is_refused_and_counted)
{
	struct event_base *loop = event_base_new();
	struct node *b = node_open(loop);
	void *ctx = zmq_ctx_new();
	struct fleet_keys keys;
	void *stranger;

	fleet_keys_derive(SECRET, &keys, NULL);
	stranger =
		open_stranger(ctx, &keys, peer_transport_address(b->transport));
	run_for(loop, 500 * BASE_MS_US);
	cr_assert(gt(i64, counter(b, "peer_refused_total{reason=\"key\"}"), 0));
	cr_assert(eq(i64, counter(b, "peer_malformed_total"), 0));
	zmq_close(stranger);
	zmq_ctx_term(ctx);
	node_close(b);
	event_base_free(loop);
}

/* Guards against a plain text client that skips the encryption. */
Test(transport, a_client_without_encryption_is_refused)
{
	struct event_base *loop = event_base_new();
	struct node *b = node_open(loop);
	void *ctx = zmq_ctx_new();
	void *socket = zmq_socket(ctx, ZMQ_DEALER);
	char endpoint[96];
	int linger = 0;

	snprintf(endpoint, sizeof(endpoint), "tcp://%.*s",
		 BASE_STR_ARG(peer_transport_address(b->transport)));
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_connect(socket, endpoint);
	zmq_send(socket, "x", 1, ZMQ_DONTWAIT);
	run_for(loop, 500 * BASE_MS_US);
	cr_assert(gt(i64,
		     counter(b, "peer_refused_total{reason=\"handshake\"}"),
		     0));
	cr_assert(eq(i64, counter(b, "peer_malformed_total"), 0));
	zmq_close(socket);
	zmq_ctx_term(ctx);
	node_close(b);
	event_base_free(loop);
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
	struct peer_link *link = peer_transport_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message cancel = { .type = PEER_CANCEL, .id = 299 };
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;
	uint64_t i;

	while (!saw(b, "h") && base_now_us() < end) {
		run_for(loop, 5 * BASE_MS_US);
		run_for(paused, 5 * BASE_MS_US);
	}
	for (i = 0; i < 300; i++)
		cr_assert(eq(int, send_request(a, link, i), PEER_OK));
	peer_transport_send(a->transport, link, &cancel);
	run_for(loop, 300 * BASE_MS_US);
	peer_transport_receive_pending(b->transport);
	cr_assert(eq(sz, b->id_count, 302));
	cr_assert(eq(int, b->last_type, PEER_CANCEL));
	cr_assert(ge(i64, b->receipt.age_us, 200 * BASE_MS_US));
	cr_assert(le(i64, b->receipt.age_us, 10 * BASE_SECOND_US));
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
	struct peer_link *link = peer_transport_link(
		a->transport, peer_transport_address(b->transport));
	struct peer_message msg = { .type = PEER_REQUEST };
	char *body = base_alloc(65536);
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;
	enum peer_status status = PEER_OK;
	int sent = 0;

	while (!saw(b, "h") && base_now_us() < end) {
		run_for(loop, 5 * BASE_MS_US);
		run_for(stuck, 5 * BASE_MS_US);
	}
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
	struct peer_link *link = connect_nodes(a, b);
	struct peer_message msg = { .type = PEER_REQUEST };
	char *body = base_alloc(PEER_BODY_MAX);

	msg.request.body = (struct base_str){ body, PEER_BODY_MAX };
	cr_assert(eq(int, peer_transport_send(a->transport, link, &msg),
		     PEER_OK));
	run_until(b, "hm");
	cr_assert(eq(sz, b->last_body, PEER_BODY_MAX));
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
	struct peer_link *link = connect_nodes(a, b);
	uint64_t i;

	b->echo = true;
	a->unlink_on_message = true;
	for (i = 0; i < 10; i++)
		send_request(a, link, i);
	run_until(a, "a");
	run_for(loop, 100 * BASE_MS_US);
	cr_assert(eq(str, a->events, "ua"));
	cr_assert(eq(sz, peer_transport_link_count(a->transport), 0));
	cr_assert(peer_transport_find(a->transport,
				      peer_transport_address(b->transport)) ==
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
	struct peer_link *link = peer_transport_link(a->transport, address);
	int data = 0;

	cr_assert(peer_transport_link(a->transport, address) == link);
	cr_assert(eq(sz, peer_transport_link_count(a->transport), 1));
	cr_assert(base_str_equal(peer_link_address(link), address));
	cr_assert(peer_link_data(link) == NULL);
	peer_link_set_data(link, &data);
	cr_assert(peer_link_data(link) == &data);
	node_close(a);
	event_base_free(loop);
}

/* Guards against settings that fail later or without a reason. */
Test(transport, bad_settings_are_refused_with_a_reason)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node other = { .loop = loop, .counters = a->counters };
	struct base_error err = { "" };

	cr_assert(eq(int,
		     try_open(&other, BASE_STR("localhost:x"), SECRET, &err),
		     PEER_ERR_INVALID));
	cr_assert(eq(str, err.message, "\"localhost:x\" is not IP:PORT"));
	cr_assert(eq(int,
		     try_open(&other, BASE_STR("127.0.0.1:0"),
			      BASE_STR("short"), &err),
		     PEER_ERR_INVALID));
	cr_assert(eq(int,
		     try_open(&other, peer_transport_address(a->transport),
			      SECRET, &err),
		     PEER_ERR_SYSTEM));
	cr_assert(other.transport == NULL);
	cr_assert(peer_transport_link(a->transport, BASE_STR("no-port")) ==
		  NULL);
	cr_assert(peer_transport_link(a->transport, BASE_STR("1.2.3.4:0")) ==
		  NULL);
	node_close(a);
	event_base_free(loop);
}
