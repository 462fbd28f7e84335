/* Listening socket (ROUTER) and the connections of remotes to it. */
#include "transport.h"

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <zmq.h>

#define HANDSHAKE_FAILURE_EVENTS \
	(ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)

static struct remote_connection *
remote_connection_get(struct peer_transport *t, const struct peer_remote *id)
{
	struct remote_connection *remote;

	HASH_FIND(hh, t->remotes, id, sizeof(*id), remote);
	if (remote)
		return remote;
	remote = base_alloc(sizeof(*remote));
	remote->id = *id;
	peer_link_clock_reset(&remote->clock);
	HASH_ADD(hh, t->remotes, id, sizeof(remote->id), remote);
	return remote;
}

static void deliver(struct peer_transport *t, const struct peer_remote *id,
		    struct base_str bytes)
{
	struct peer_receive_info receive_info;
	struct peer_message msg;
	struct remote_connection *remote;

	if (!transport_decode(t, NULL, bytes, &msg))
		return;
	remote = remote_connection_get(t, id);
	receive_info.received_at = base_now_us();
	receive_info.age_us = peer_link_clock_observe(
		&remote->clock, msg.sent_at, receive_info.received_at);
	remote->last_received_at = receive_info.received_at;
	if (t->callbacks.remote_message)
		t->callbacks.remote_message(t->ctx, id, &msg, &receive_info);
	peer_message_release(&msg);
}

/* Reads the frames after the first. Returns their number; one is expected. */
static int receive_payload(void *socket, zmq_msg_t *payload)
{
	int frames = 0;

	do {
		if (zmq_msg_recv(payload, socket, ZMQ_DONTWAIT) < 0)
			break;
		frames++;
	} while (zmq_msg_more(payload));
	return frames;
}

/* A message is the routing id, which the socket adds, and one frame. */
static bool receive(void *ctx)
{
	struct peer_transport *t = ctx;
	struct peer_remote id = { 0 };
	void *socket = t->router.socket;
	zmq_msg_t payload;
	int size;
	int frames;

	size = zmq_recv(socket, id.bytes, sizeof(id.bytes), ZMQ_DONTWAIT);
	if (size < 0)
		return errno == EINTR;
	zmq_msg_init(&payload);
	frames = receive_payload(socket, &payload);
	if (frames != 1 || size > (int)sizeof(id.bytes)) {
		base_counter_add(t->counters.malformed, 1);
	} else {
		id.size = (uint8_t)size;
		deliver(t, &id,
			(struct base_str){ zmq_msg_data(&payload),
					   zmq_msg_size(&payload) });
	}
	zmq_msg_close(&payload);
	return true;
}

static void on_handshake_failure(void *ctx, int event)
{
	struct peer_transport *t = ctx;
	struct base_log_line line;

	/* The ZAP handler counts refused keys. */
	if (event == ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL)
		base_counter_add(t->counters.refused_protocol, 1);
	if (!t->log)
		return;
	line = base_log_begin(t->log, BASE_LOG_WARN, "peer_refused");
	base_log_cstr(&line, "reason",
		      event == ZMQ_EVENT_HANDSHAKE_FAILED_AUTH ? "key"
							       : "handshake");
	base_log_end(&line);
}

static void on_sweep_timer(evutil_socket_t fd, short what, void *arg)
{
	struct peer_transport *t = arg;
	int64_t now = base_now_us();
	struct remote_connection *remote;
	struct remote_connection *next;

	(void)fd;
	(void)what;
	HASH_ITER (hh, t->remotes, remote, next) {
		if (now - remote->last_received_at < REMOTE_IDLE_TIMEOUT_US)
			continue;
		HASH_DEL(t->remotes, remote);
		free(remote);
	}
}

static enum peer_status set_zmq_error(struct base_error *err, const char *what)
{
	base_error_set(err, "%s: %s", what, zmq_strerror(zmq_errno()));
	return PEER_ERR_SYSTEM;
}

static enum peer_status bind_listener(struct peer_transport *t, void *socket,
				      const char *endpoint,
				      struct base_error *err)
{
	char bound[128];
	size_t size = sizeof(bound);
	int on = 1;

	zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof(on));
	zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
	zmq_setsockopt(socket, ZMQ_ROUTER_MANDATORY, &on, sizeof(on));
	if (monitor_open(&t->router_monitor, t->loop, t->zmq, socket,
			 HANDSHAKE_FAILURE_EVENTS, on_handshake_failure,
			 t) != PEER_OK)
		return set_zmq_error(err, "cannot monitor the peer interface");
	if (zmq_bind(socket, endpoint))
		return set_zmq_error(err, endpoint);
	if (zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, bound, &size))
		return set_zmq_error(err, endpoint);
	t->address = base_str_dup(base_str_from(bound + strlen("tcp://")));
	return PEER_OK;
}

enum peer_status listener_open(struct peer_transport *t, struct base_str listen,
			       struct base_error *err)
{
	const struct timeval period = { REMOTE_SWEEP_INTERVAL_S, 0 };
	char endpoint[96];
	void *socket;

	if (!transport_format_endpoint(listen, true, endpoint,
				       sizeof(endpoint))) {
		base_error_set(err, "\"%.*s\" is not IP:PORT",
			       BASE_STR_ARG(listen));
		return PEER_ERR_INVALID;
	}
	socket = transport_create_socket(t, ZMQ_ROUTER);
	if (!socket)
		return set_zmq_error(err, "cannot open the peer interface");
	if (socket_watch_open(&t->router, t->loop, socket, receive, t) !=
	    PEER_OK)
		return set_zmq_error(err, "cannot open the peer interface");
	t->sweep_timer = event_new(t->loop, -1, EV_PERSIST, on_sweep_timer, t);
	event_add(t->sweep_timer, &period);
	return bind_listener(t, socket, endpoint, err);
}

void listener_close(struct peer_transport *t)
{
	int linger_ms = TRANSPORT_LINGER_MS;
	struct remote_connection *remote;
	struct remote_connection *next;

	if (t->sweep_timer)
		event_free(t->sweep_timer);
	if (t->router.socket)
		zmq_setsockopt(t->router.socket, ZMQ_LINGER, &linger_ms,
			       sizeof(linger_ms));
	monitor_close(&t->router_monitor);
	socket_watch_close(&t->router);
	HASH_ITER (hh, t->remotes, remote, next) {
		HASH_DEL(t->remotes, remote);
		free(remote);
	}
}

/* A reply that waits for the network. */
struct queued_reply {
	struct peer_transport *transport;
	size_t size;
	char bytes[];
};

static void free_reply(void *bytes, void *hint)
{
	struct queued_reply *reply = hint;

	(void)bytes;
	atomic_fetch_sub(&reply->transport->queued_bytes, reply->size);
	free(reply);
}

static void init_reply(struct peer_transport *t, zmq_msg_t *msg)
{
	struct queued_reply *reply =
		base_alloc(sizeof(*reply) + t->encode_buffer.len);

	reply->transport = t;
	reply->size = t->encode_buffer.len;
	memcpy(reply->bytes, t->encode_buffer.ptr, reply->size);
	atomic_fetch_add(&t->queued_bytes, reply->size);
	zmq_msg_init_data(msg, reply->bytes, reply->size, free_reply, reply);
}

static enum peer_status send_to_remote(struct peer_transport *t,
				       const struct peer_remote *remote)
{
	void *socket = t->router.socket;
	zmq_msg_t msg;

	if (zmq_send(socket, remote->bytes, remote->size,
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return errno == EAGAIN ? PEER_ERR_BUSY : PEER_ERR_UNREACHABLE;
	init_reply(t, &msg);
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		return PEER_ERR_UNREACHABLE;
	}
	return PEER_OK;
}

size_t peer_transport_queued_bytes(const struct peer_transport *t)
{
	return atomic_load(&t->queued_bytes);
}

enum peer_status peer_transport_reply(struct peer_transport *t,
				      const struct peer_remote *remote,
				      struct peer_message *msg)
{
	enum peer_status status = transport_encode(t, msg);

	if (status != PEER_OK)
		return status;
	status = send_to_remote(t, remote);
	if (status == PEER_OK)
		transport_record_sent(t, NULL, msg);
	else
		base_counter_add(t->counters.send_failures, 1);
	socket_watch_check(&t->router);
	return status;
}

bool peer_remote_equal(const struct peer_remote *a, const struct peer_remote *b)
{
	return a->size == b->size && !memcmp(a->bytes, b->bytes, a->size);
}
