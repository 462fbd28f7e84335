/* Outgoing connections, one DEALER socket for each address. */
#include "transport.h"

#include <errno.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

/*
 * Each connection has a new socket, and links reconnect without ZeroMQ, whose
 * reconnect interval is set to one day. A socket that reconnects by itself
 * would either send the rest of its queue to the next process at that address
 * or, with ZMQ_IMMEDIATE, drop answers that arrived before the disconnect and
 * were not read yet.
 */
#define RECONNECT_DISABLED_MS 86400000

/* Events for a connection that is established, fails or ends. */
#define LINK_EVENTS                                                        \
	(ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED |          \
	 ZMQ_EVENT_CONNECT_RETRIED | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | \
	 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH |                                 \
	 ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL)

static void log_link_event(const struct peer_link *link, const char *event)
{
	struct base_log_line line;

	if (!link->transport->log)
		return;
	line = base_log_begin(link->transport->log, BASE_LOG_INFO, event);
	base_log_cstr(&line, "address", link->address);
	base_log_end(&line);
}

static void deliver(struct peer_link *link, struct base_str bytes)
{
	struct peer_transport *t = link->transport;
	struct peer_receive_info receive_info;
	struct peer_message msg;

	if (!transport_decode(t, link->address, bytes, &msg))
		return;
	receive_info.received_at = base_now_us();
	receive_info.age_us = peer_link_clock_observe(&link->clock, msg.sent_at,
						      receive_info.received_at);
	if (t->callbacks.link_message)
		t->callbacks.link_message(t->ctx, link, &msg, &receive_info);
	peer_message_release(&msg);
}

static bool receive(void *ctx)
{
	struct peer_link *link = ctx;
	void *socket = link->dealer.socket;
	int frames = 0;
	zmq_msg_t frame;

	zmq_msg_init(&frame);
	do {
		if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0)
			break;
		frames++;
	} while (zmq_msg_more(&frame));
	if (frames == 1)
		deliver(link, (struct base_str){ zmq_msg_data(&frame),
						 zmq_msg_size(&frame) });
	else if (frames > 1)
		base_counter_add(link->transport->counters.malformed, 1);
	zmq_msg_close(&frame);
	return frames > 0;
}

static void send_hello(struct peer_link *link)
{
	struct peer_transport *t = link->transport;
	struct peer_message msg = {
		.type = PEER_HELLO,
		.hello = {
			.vm = base_str_from(t->vm),
			.incarnation = t->incarnation,
			.version = t->config_version,
		},
	};

	peer_transport_send(t, link, &msg);
}

static void link_mark_down(struct peer_link *link)
{
	struct peer_transport *t = link->transport;

	socket_watch_drain(&link->dealer);
	if (!link->up || !link->dealer.socket)
		return;
	link->up = false;
	base_counter_add(t->counters.links_up, -1);
	log_link_event(link, "peer_link_down");
	if (t->callbacks.link_down)
		t->callbacks.link_down(t->ctx, link);
}

static void report_up(struct peer_link *link)
{
	struct peer_transport *t = link->transport;

	send_hello(link);
	if (t->callbacks.link_up)
		t->callbacks.link_up(t->ctx, link);
}

static void link_mark_up(struct peer_link *link)
{
	if (link->up)
		link_mark_down(link);
	if (!link->dealer.socket)
		return;
	link->up = true;
	peer_link_clock_reset(&link->clock);
	base_counter_add(link->transport->counters.links_up, 1);
	log_link_event(link, "peer_link_up");
	report_up(link);
}

void link_report_attached(struct peer_transport *t)
{
	struct peer_link *link, *next;

	HASH_ITER (hh, t->links, link, next) {
		if (!link->attached)
			continue;
		link->attached = false;
		if (link->up)
			report_up(link);
	}
}

static void schedule_reconnect(struct peer_link *link)
{
	struct timeval delay = { 0 };

	if (evtimer_pending(link->reconnect_timer, NULL))
		return;
	delay.tv_sec = link->backoff_ms / 1000;
	delay.tv_usec = link->backoff_ms % 1000 * 1000;
	evtimer_add(link->reconnect_timer, &delay);
	link->backoff_ms *= 2;
	if (link->backoff_ms > TRANSPORT_RECONNECT_MAX_MS)
		link->backoff_ms = TRANSPORT_RECONNECT_MAX_MS;
}

static void on_connection_event(void *ctx, int event)
{
	struct peer_link *link = ctx;

	if (event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED) {
		link->backoff_ms = TRANSPORT_RECONNECT_MIN_MS;
		link_mark_up(link);
		return;
	}
	link_mark_down(link);
	/* The callback may have closed the link. */
	if (link->dealer.socket && !link->detached)
		schedule_reconnect(link);
}

static void *open_dealer(struct peer_transport *t)
{
	void *socket = transport_create_socket(t, ZMQ_DEALER);
	int timeout = TRANSPORT_CONNECT_TIMEOUT_MS;
	int reconnect = RECONNECT_DISABLED_MS;

	if (!socket)
		return NULL;
	zmq_setsockopt(socket, ZMQ_RECONNECT_IVL, &reconnect,
		       sizeof(reconnect));
	zmq_setsockopt(socket, ZMQ_CONNECT_TIMEOUT, &timeout, sizeof(timeout));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, t->keys.public_key,
		       CURVE_KEY_BYTES);
	return socket;
}

static void disconnect(struct peer_link *link)
{
	monitor_close(&link->monitor);
	socket_watch_close(&link->dealer);
}

/* Formats "tcp://SOURCE:0;DEST:PORT", which sets the source address. */
static bool link_endpoint(const struct peer_link *link, char *out, size_t size)
{
	const char *source_ip = link->transport->source_ip;
	char dest[96];

	if (!transport_format_endpoint(base_str_from(link->address), false,
				       dest, sizeof(dest)))
		return false;
	/* Source and destination must have the same address family. */
	if (*source_ip && (*source_ip == '[') == (*link->address == '['))
		snprintf(out, size, "tcp://%s:0;%s", source_ip, link->address);
	else
		snprintf(out, size, "%s", dest);
	return true;
}

static bool connect_link(struct peer_link *link)
{
	struct peer_transport *t = link->transport;
	void *socket = open_dealer(t);
	char endpoint[160];

	if (!socket)
		return false;
	if (socket_watch_open(&link->dealer, t->loop, socket, receive, link) !=
	    PEER_OK)
		return false;
	if (monitor_open(&link->monitor, t->loop, t->zmq, socket, LINK_EVENTS,
			 on_connection_event, link) != PEER_OK)
		goto fail;
	if (!link_endpoint(link, endpoint, sizeof(endpoint)))
		goto fail;
	if (zmq_connect(socket, endpoint))
		goto fail;
	return true;
fail:
	disconnect(link);
	return false;
}

static void on_reconnect_timer(evutil_socket_t fd, short what, void *arg)
{
	struct peer_link *link = arg;

	(void)fd;
	(void)what;
	disconnect(link);
	if (!connect_link(link))
		schedule_reconnect(link);
}

void link_close(struct peer_link *link)
{
	disconnect(link);
	if (link->reconnect_timer)
		event_free(link->reconnect_timer);
	link->reconnect_timer = NULL;
}

void link_destroy(struct peer_link *link)
{
	link_close(link);
	free(link->address);
	free(link);
}

struct peer_link *link_create(struct peer_transport *t, struct base_str address)
{
	struct peer_link *link = base_alloc(sizeof(*link));

	link->transport = t;
	link->address = base_str_dup(address);
	link->backoff_ms = TRANSPORT_RECONNECT_MIN_MS;
	peer_link_clock_reset(&link->clock);
	link->reconnect_timer = evtimer_new(t->loop, on_reconnect_timer, link);
	if (!link->reconnect_timer || !connect_link(link)) {
		link_destroy(link);
		return NULL;
	}
	return link;
}

static int send_frame(struct peer_link *link, const struct base_buf *frame)
{
	void *socket = link->dealer.socket;
	size_t size = sizeof(int);
	int events;
	int n;

	n = zmq_send(socket, frame->ptr, frame->len, ZMQ_DONTWAIT);
	if (n >= 0 || errno != EAGAIN)
		return n;
	/*
	 * A send handles the internal commands of the socket only occasionally,
	 * so it may fail although the queue has space again. Reading ZMQ_EVENTS
	 * handles them.
	 */
	zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
	return zmq_send(socket, frame->ptr, frame->len, ZMQ_DONTWAIT);
}

/* A pending monitor event of a link that is up means that it has ended. */
enum peer_status peer_transport_send(struct peer_transport *t,
				     struct peer_link *link,
				     struct peer_message *msg)
{
	enum peer_status status = PEER_OK;

	if (!link->up || socket_watch_check(&link->monitor.watch)) {
		base_counter_add(t->counters.send_failures, 1);
		return PEER_ERR_UNREACHABLE;
	}
	status = transport_encode(t, msg);
	if (status != PEER_OK)
		return status;
	if (send_frame(link, &t->encode_buffer) < 0)
		status = errno == EAGAIN ? PEER_ERR_BUSY : PEER_ERR_UNREACHABLE;
	if (status == PEER_OK)
		transport_record_sent(t, link->address, msg);
	else
		base_counter_add(t->counters.send_failures, 1);
	socket_watch_check(&link->dealer);
	return status;
}
