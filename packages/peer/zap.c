/* Answers ZAP requests on the thread of the event loop. */
#include "zap.h"

#include <sodium.h>
#include <string.h>
#include <zmq.h>

#define ZAP_FRAME_COUNT 7
#define ZAP_FRAME_MAX_BYTES 256

/* Frames of a ZAP request in their order. */
enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_REQUEST_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
};

struct zap_request {
	char bytes[ZAP_FRAME_COUNT][ZAP_FRAME_MAX_BYTES];
	size_t size[ZAP_FRAME_COUNT];
};

static bool frame_is(const struct zap_request *req, enum zap_frame frame,
		     const char *text)
{
	struct base_str s = { req->bytes[frame], req->size[frame] };

	return base_str_equal(s, base_str_from(text));
}

static bool is_authorized(const struct zap *zap, const struct zap_request *req)
{
	if (!frame_is(req, ZAP_VERSION, "1.0") ||
	    !frame_is(req, ZAP_REQUEST_DOMAIN, ZAP_DOMAIN) ||
	    !frame_is(req, ZAP_MECHANISM, "CURVE"))
		return false;
	if (req->size[ZAP_CREDENTIALS] != CURVE_KEY_BYTES)
		return false;
	return !sodium_memcmp(req->bytes[ZAP_CREDENTIALS],
			      zap->keys->public_key, CURVE_KEY_BYTES);
}

static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags);
}

static void send_reply(struct zap *zap, const struct zap_request *req)
{
	void *socket = zap->watch.socket;
	bool ok = is_authorized(zap, req);

	if (!ok)
		base_counter_add(zap->refused, 1);
	send_text(socket, "1.0", ZMQ_SNDMORE);
	zmq_send(socket, req->bytes[ZAP_REQUEST_ID], req->size[ZAP_REQUEST_ID],
		 ZMQ_SNDMORE);
	send_text(socket, ok ? "200" : "400", ZMQ_SNDMORE);
	send_text(socket, ok ? "OK" : "unknown client key", ZMQ_SNDMORE);
	send_text(socket, "", ZMQ_SNDMORE);
	send_text(socket, "", 0);
}

static bool receive(void *ctx)
{
	struct zap *zap = ctx;
	struct zap_request req = { 0 };
	size_t size = sizeof(int);
	int more = 1;
	int i;

	for (i = 0; more; i++) {
		int last = i < ZAP_FRAME_COUNT ? i : ZAP_FRAME_COUNT - 1;
		int n = zmq_recv(zap->watch.socket, req.bytes[last],
				 ZAP_FRAME_MAX_BYTES, ZMQ_DONTWAIT);

		if (n < 0)
			return false;
		req.size[last] = n < ZAP_FRAME_MAX_BYTES ? (size_t)n : 0;
		zmq_getsockopt(zap->watch.socket, ZMQ_RCVMORE, &more, &size);
	}
	send_reply(zap, &req);
	return true;
}

enum peer_status zap_open(struct zap *zap, struct event_base *loop,
			  void *zmq_ctx, const struct fleet_keys *keys,
			  struct base_counter *refused)
{
	void *socket = zmq_socket(zmq_ctx, ZMQ_REP);

	if (!socket)
		return PEER_ERR_SYSTEM;
	zap->keys = keys;
	zap->refused = refused;
	if (zmq_bind(socket, "inproc://zeromq.zap.01")) {
		zmq_close(socket);
		return PEER_ERR_SYSTEM;
	}
	return socket_watch_open(&zap->watch, loop, socket, receive, zap);
}

void zap_close(struct zap *zap)
{
	socket_watch_close(&zap->watch);
}
