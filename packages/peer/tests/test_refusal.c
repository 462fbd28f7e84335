/* Tests of the authentication of connections and of invalid settings. */
#include "../keys.h"
#include "node.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

/* Guards against connections of daemons that lack the fleet secret. */
Test(transport, wrong_fleet_secret_is_refused_and_counted)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open_at(loop, BASE_STR("127.0.0.1:0"),
				      BASE_STR("some other fleet secret"));
	struct node *b = node_open(loop);

	peer_transport_open_link(a->transport,
				 peer_transport_address(b->transport));
	node_run_for(loop, 600 * BASE_MS_US);
	cr_assert(eq(str, a->events, ""));
	cr_assert(eq(str, b->events, ""));
	cr_assert(
		gt(i64,
		   node_counter(b, "peer_refused_total{reason=\"handshake\"}"),
		   0));
	node_close(a);
	node_close(b);
	event_base_free(loop);
}

/* Opens a client with the public key of the server and its own key pair. */
static void *open_unauthorized_client(void *ctx,
				      const struct fleet_keys *server,
				      struct base_str address)
{
	void *socket = zmq_socket(ctx, ZMQ_DEALER);
	struct fleet_keys own;
	char endpoint[96];
	int linger = 0;

	cr_assert(eq(int,
		     fleet_keys_derive(BASE_STR("the client's own secret"),
				       &own, NULL),
		     PEER_OK));
	snprintf(endpoint, sizeof(endpoint), "tcp://%.*s",
		 BASE_STR_ARG(address));
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server->public_key,
		       CURVE_KEY_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, own.public_key,
		       CURVE_KEY_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, own.secret_key,
		       CURVE_KEY_BYTES);
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
	void *client;

	fleet_keys_derive(FLEET_SECRET, &keys, NULL);
	client = open_unauthorized_client(ctx, &keys,
					  peer_transport_address(b->transport));
	node_run_for(loop, 500 * BASE_MS_US);
	cr_assert(gt(i64, node_counter(b, "peer_refused_total{reason=\"key\"}"),
		     0));
	cr_assert(eq(i64, node_counter(b, "peer_malformed_total"), 0));
	zmq_close(client);
	zmq_ctx_term(ctx);
	node_close(b);
	event_base_free(loop);
}

/* Guards against accepting a client without encryption. */
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
	node_run_for(loop, 500 * BASE_MS_US);
	cr_assert(
		gt(i64,
		   node_counter(b, "peer_refused_total{reason=\"handshake\"}"),
		   0));
	cr_assert(eq(i64, node_counter(b, "peer_malformed_total"), 0));
	zmq_close(socket);
	zmq_ctx_term(ctx);
	node_close(b);
	event_base_free(loop);
}

/* Guards against invalid settings that are accepted or give no reason. */
Test(transport, bad_settings_are_refused_with_a_reason)
{
	struct event_base *loop = event_base_new();
	struct node *a = node_open(loop);
	struct node other = { .loop = loop, .counters = a->counters };
	struct base_error err = { "" };

	cr_assert(eq(int,
		     node_try_open(&other, BASE_STR("localhost:x"),
				   FLEET_SECRET, &err),
		     PEER_ERR_INVALID));
	cr_assert(eq(str, err.message, "\"localhost:x\" is not IP:PORT"));
	cr_assert(eq(int,
		     node_try_open(&other, BASE_STR("127.0.0.1:0"),
				   BASE_STR("short"), &err),
		     PEER_ERR_INVALID));
	cr_assert(eq(int,
		     node_try_open(&other, peer_transport_address(a->transport),
				   FLEET_SECRET, &err),
		     PEER_ERR_SYSTEM));
	cr_assert(other.transport == NULL);
	cr_assert(peer_transport_open_link(a->transport, BASE_STR("no-port")) ==
		  NULL);
	cr_assert(peer_transport_open_link(a->transport,
					   BASE_STR("1.2.3.4:0")) == NULL);
	node_close(a);
	event_base_free(loop);
}
