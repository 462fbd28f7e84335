/* Creation, sockets, counters and message log of the transport. */
#include "transport.h"
#include "message_log.h"

#include <event2/event.h>
#include <event2/util.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

static void set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_keepalive(void *socket)
{
	set_int_option(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_int_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, 10);
	set_int_option(socket, ZMQ_TCP_KEEPALIVE_INTVL, 5);
	set_int_option(socket, ZMQ_TCP_KEEPALIVE_CNT, 3);
	set_int_option(socket, ZMQ_TCP_MAXRT, TRANSPORT_TCP_TIMEOUT_MS);
}

void *transport_create_socket(struct peer_transport *t, int type)
{
	void *socket = zmq_socket(t->zmq, type);
	int64_t max_size = PEER_FRAME_MAX_BYTES;

	if (!socket)
		return NULL;
	set_int_option(socket, ZMQ_LINGER, 0);
	set_int_option(socket, ZMQ_SNDHWM, TRANSPORT_HWM_MESSAGES);
	set_int_option(socket, ZMQ_RCVHWM, TRANSPORT_HWM_MESSAGES);
	set_int_option(socket, ZMQ_IPV6, 1);
	set_int_option(socket, ZMQ_HANDSHAKE_IVL,
		       TRANSPORT_HANDSHAKE_TIMEOUT_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
	set_keepalive(socket);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, t->keys.public_key,
		       CURVE_KEY_BYTES);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, t->keys.secret_key,
		       CURVE_KEY_BYTES);
	return socket;
}

/* evutil_parse_sockaddr_port() rejects port 0, so port 1 is parsed instead. */
static void replace_port_0(char *text)
{
	char *port = strrchr(text, ':');

	if (port && !strcmp(port, ":0"))
		port[1] = '1';
}

bool transport_format_endpoint(struct base_str address, bool any_port,
			       char *out, size_t size)
{
	struct sockaddr_storage addr = { 0 };
	int len = sizeof(addr);
	char text[64] = "";
	char parsed[sizeof(text)];

	if (!address.len || address.len >= sizeof(text))
		return false;
	memcpy(text, address.ptr, address.len);
	if (strlen(text) != address.len || !strrchr(text, ':'))
		return false;
	memcpy(parsed, text, sizeof(text));
	if (any_port)
		replace_port_0(parsed);
	if (evutil_parse_sockaddr_port(parsed, (struct sockaddr *)&addr, &len))
		return false;
	snprintf(out, size, "tcp://%s", text);
	return true;
}

enum peer_status transport_encode(struct peer_transport *t,
				  struct peer_message *msg)
{
	struct base_error err;
	enum peer_status status;

	base_buf_reset(&t->encode_buffer);
	msg->sent_at = base_now_us();
	status = peer_message_encode(msg, &t->encode_buffer, &err);
	if (status != PEER_OK && t->log) {
		struct base_log_line line = base_log_begin(
			t->log, BASE_LOG_ERROR, "peer_encode_failed");

		base_log_cstr(&line, "type", peer_message_type_name(msg->type));
		base_log_cstr(&line, "problem", err.message);
		base_log_end(&line);
	}
	return status;
}

void transport_record_sent(struct peer_transport *t, const char *address,
			   const struct peer_message *msg)
{
	base_counter_add(t->counters.sent[msg->type].messages, 1);
	base_counter_add(t->counters.sent[msg->type].bytes,
			 (int64_t)t->encode_buffer.len);
	message_log_write(t->log, "peer_message_sent", address, msg);
}

static void record_rejected(struct peer_transport *t, enum peer_status status,
			    const struct base_error *err)
{
	struct base_log_line line;

	if (status == PEER_ERR_UNKNOWN_TYPE)
		base_counter_add(t->counters.unknown_type, 1);
	else
		base_counter_add(t->counters.malformed, 1);
	if (!t->log)
		return;
	line = base_log_begin(t->log, BASE_LOG_WARN, "peer_message_rejected");
	base_log_cstr(&line, "problem", err->message);
	base_log_end(&line);
}

bool transport_decode(struct peer_transport *t, const char *address,
		      struct base_str bytes, struct peer_message *msg)
{
	struct base_error err;
	enum peer_status status = peer_message_decode(bytes, msg, &err);

	if (status != PEER_OK) {
		record_rejected(t, status, &err);
		return false;
	}
	base_counter_add(t->counters.received[msg->type].messages, 1);
	base_counter_add(t->counters.received[msg->type].bytes,
			 (int64_t)bytes.len);
	message_log_write(t->log, "peer_message_received", address, msg);
	return true;
}

static struct base_counter *typed_counter(struct base_counters *set,
					  const char *name,
					  enum peer_message_type type)
{
	char text[128];

	snprintf(text, sizeof(text), "%s{type=\"%s\"}", name,
		 peer_message_type_name(type));
	return base_counters_get(set, text);
}

static void init_counters(struct transport_counters *c,
			  struct base_counters *set)
{
	int i;

	for (i = PEER_HELLO; i < PEER_TYPE_END; i++) {
		c->sent[i].messages =
			typed_counter(set, "peer_messages_sent_total", i);
		c->sent[i].bytes =
			typed_counter(set, "peer_bytes_sent_total", i);
		c->received[i].messages =
			typed_counter(set, "peer_messages_received_total", i);
		c->received[i].bytes =
			typed_counter(set, "peer_bytes_received_total", i);
	}
	c->send_failures = base_counters_get(set, "peer_send_failures_total");
	c->malformed = base_counters_get(set, "peer_malformed_total");
	c->unknown_type = base_counters_get(set, "peer_unknown_type_total");
	c->refused_key =
		base_counters_get(set, "peer_refused_total{reason=\"key\"}");
	c->refused_protocol = base_counters_get(
		set, "peer_refused_total{reason=\"handshake\"}");
	c->links = base_counters_get(set, "peer_links");
	c->links_up = base_counters_get(set, "peer_links_up");
	c->links_detached = base_counters_get(set, "peer_links_detached");
}

static void on_free_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	link_free_closed(arg);
}

static void on_attach_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	link_report_attached(arg);
}

/*
 * Outgoing connections are made from the IP of the listening address, so that
 * remotes and the network between them can distinguish daemons by address.
 */
static void set_source_ip(struct peer_transport *t)
{
	static const char mapped[] = "[::ffff:";
	const char *ip = t->address;
	size_t len = (size_t)(strrchr(ip, ':') - ip);

	/* ZeroMQ reports IPv4 addresses as IPv4-mapped IPv6 addresses. */
	if (!strncmp(ip, mapped, strlen(mapped)) && strchr(ip, '.')) {
		ip += strlen(mapped);
		len -= strlen(mapped) + 1;
	}
	snprintf(t->source_ip, sizeof(t->source_ip), "%.*s", (int)len, ip);
	if (!strcmp(t->source_ip, "0.0.0.0") || !strcmp(t->source_ip, "[::]"))
		*t->source_ip = '\0';
}

static enum peer_status open_zmq(struct peer_transport *t,
				 struct base_error *err)
{
	t->zmq = zmq_ctx_new();
	if (!t->zmq) {
		base_error_set(err, "ZeroMQ: %s", zmq_strerror(zmq_errno()));
		return PEER_ERR_SYSTEM;
	}
	zmq_ctx_set(t->zmq, ZMQ_MAX_SOCKETS, TRANSPORT_MAX_SOCKETS);
	zmq_ctx_set(t->zmq, ZMQ_BLOCKY, 0);
	t->free_timer = evtimer_new(t->loop, on_free_timer, t);
	t->attach_timer = evtimer_new(t->loop, on_attach_timer, t);
	if (!t->free_timer || !t->attach_timer ||
	    zap_open(&t->zap, t->loop, t->zmq, &t->keys,
		     t->counters.refused_key) != PEER_OK) {
		base_error_set(err, "ZAP handler: %s",
			       zmq_strerror(zmq_errno()));
		return PEER_ERR_SYSTEM;
	}
	return PEER_OK;
}

enum peer_status
peer_transport_create(const struct peer_transport_settings *settings,
		      struct event_base *loop, struct peer_transport **out,
		      struct base_error *err)
{
	struct peer_transport *t = base_alloc(sizeof(*t));
	enum peer_status status;

	*out = NULL;
	t->loop = loop;
	t->vm = base_str_dup(settings->vm);
	t->incarnation = settings->incarnation;
	t->log = settings->log;
	t->callbacks = settings->callbacks;
	t->ctx = settings->ctx;
	init_counters(&t->counters, settings->counters);
	status = fleet_keys_derive(settings->fleet_secret, &t->keys, err);
	if (status == PEER_OK)
		status = open_zmq(t, err);
	if (status == PEER_OK)
		status = listener_open(t, settings->listen, err);
	if (status != PEER_OK) {
		peer_transport_destroy(t);
		return status;
	}
	set_source_ip(t);
	*out = t;
	return PEER_OK;
}

void peer_transport_destroy(struct peer_transport *t)
{
	if (!t)
		return;
	link_close_all(t);
	listener_close(t);
	zap_close(&t->zap);
	if (t->free_timer)
		event_free(t->free_timer);
	if (t->attach_timer)
		event_free(t->attach_timer);
	if (t->zmq)
		zmq_ctx_term(t->zmq);
	fleet_keys_wipe(&t->keys);
	base_buf_release(&t->encode_buffer);
	free(t->address);
	free(t->vm);
	free(t);
}

struct base_str peer_transport_address(const struct peer_transport *t)
{
	return base_str_from(t->address);
}

void peer_transport_set_config_version(struct peer_transport *t,
				       uint64_t version)
{
	t->config_version = version;
}
