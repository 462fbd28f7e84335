/* Reception of responses by the HTTP client. */
#include "client_receive.h"
#include "client_linger.h"
#include "client_memory.h"
#include "client_pool.h"

/*
 * Framing that a response may have beside its body: the head and the trailer,
 * and six bytes for each chunk of a body that comes byte by byte.
 */
#define FRAMING_MAX_BYTES (2 * RESPONSE_HEAD_MAX_BYTES)
#define FRAMING_MAX_PER_BODY_BYTE 6

uint64_t client_call_id(const struct http_call *call)
{
	return base_hash64(base_buf_str(&call->expected_echo), 0);
}

/*
 * A server may write the answer to a refused request once more. When the same
 * request is sent again, it must not take this for its answer. The user of a
 * lingering call was told of no response, so it may send the request again too.
 */
static void remember_failure(struct connection *c, const struct http_call *call)
{
	if (call->expected_echo.len &&
	    (c->message.parser.status_code >= 400 || client_is_lingering(call)))
		client_remember_failure(c, client_call_id(call));
}

static void deliver_response(struct http_call *call)
{
	struct connection *c = call->connection;
	struct http_message *m = &c->message;
	struct http_response response = { .status = m->parser.status_code };
	struct base_buf body = m->body;

	response.headers = m->headers;
	response.body = base_buf_str(&body);
	m->headers = (struct http_headers){ 0 };
	m->body = BASE_BUF_INIT;
	remember_failure(c, call);
	if (client_is_lingering(call))
		client_linger_answered(call->client);
	call->connection = NULL;
	client_release_connection(c, &response.headers, base_now_us());
	client_finish_call(call, HTTP_RESULT_RESPONSE, &response);
	http_headers_release(&response.headers);
	base_buf_release(&body);
}

enum response_match {
	RESPONSE_MATCHES,
	/* It belongs to an earlier request. */
	RESPONSE_STRAY,
	/* It may belong to this request or to an earlier one. */
	RESPONSE_UNCLEAR,
};

/*
 * A response to an earlier request on the connection may arrive late or twice;
 * it repeats the id of that request. A rejection may lack the id, because the
 * server may send it without processing the request headers. On a connection
 * that was used before, such a rejection proves nothing.
 */
static enum response_match match_response(const struct http_call *call)
{
	const struct http_client *client = call->client;
	const struct connection *c = call->connection;
	struct base_str echo;

	if (!call->expected_echo.len)
		return RESPONSE_MATCHES;
	echo = http_headers_find(&c->message.headers,
				 base_str_from(client->echo_header));
	if (echo.ptr)
		return base_str_equal(echo, base_buf_str(&call->expected_echo))
			       ? RESPONSE_MATCHES
			       : RESPONSE_STRAY;
	if (c->message.parser.status_code < 400)
		return RESPONSE_STRAY;
	return c->reused ? RESPONSE_UNCLEAR : RESPONSE_MATCHES;
}

static void report_stray(struct connection *c)
{
	const struct http_client *client = c->client;

	c->stray_seen = true;
	if (client->on_stray)
		client->on_stray(client->stray_ctx,
				 (int)c->message.parser.status_code);
}

static enum http_result result_from_fault(enum http_message_fault fault)
{
	return fault == HTTP_MESSAGE_FAULT_BODY_TOO_LARGE ||
			       fault == HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE
		       ? HTTP_RESULT_TOO_LARGE
		       : HTTP_RESULT_INVALID;
}

/*
 * A server may send responses to earlier requests, interim responses and empty
 * lines without end. One late response of the largest size is accepted.
 */
static size_t unrelated_bytes_max(const struct connection *c)
{
	return c->client->max_response_bytes + RESPONSE_HEAD_MAX_BYTES;
}

static bool has_too_much_framing(const struct connection *c)
{
	size_t body = c->message.body.len;

	return c->message_bytes - body >
	       FRAMING_MAX_BYTES + FRAMING_MAX_PER_BODY_BYTE * body;
}

static void fail_invalid(struct http_call *call, enum http_result result)
{
	client_fail_call(call, result, HTTP_CLOSE_INVALID);
}

/* A lingering call is not worth the memory of a large response. */
static void limit_reading(struct connection *c)
{
	client_limit_held_bytes(c);
	if (client_is_lingering(c->call) &&
	    c->held_bytes > SMALL_RESPONSE_BYTES)
		client_fail_call(c->call, HTTP_RESULT_TIMED_OUT,
				 HTTP_CLOSE_TIMED_OUT);
}

void client_on_read(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct http_message *m = &c->message;
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	size_t before;

	/* No request is open, so the bytes are not a valid response. */
	if (!c->call) {
		client_close_idle(c, HTTP_CLOSE_STRAY);
		return;
	}
	while ((before = evbuffer_get_length(in))) {
		if (!m->headers_complete &&
		    !http_message_check_head(in, m->type,
					     RESPONSE_HEAD_MAX_BYTES, &fault)) {
			c->unrelated_bytes += before - evbuffer_get_length(in);
			if (c->unrelated_bytes > unrelated_bytes_max(c))
				fail_invalid(c->call, HTTP_RESULT_INVALID);
			else
				limit_reading(c);
			return;
		}
		if (!fault) {
			http_message_parse(m, in);
			fault = m->fault;
		}
		if (fault) {
			fail_invalid(c->call, result_from_fault(fault));
			return;
		}
		c->message_bytes += before - evbuffer_get_length(in);
		if (has_too_much_framing(c)) {
			fail_invalid(c->call, HTTP_RESULT_TOO_LARGE);
			return;
		}
		if (!m->complete) {
			limit_reading(c);
			return;
		}
		if (m->parser.status_code / 100 != 1) {
			enum response_match match = match_response(c->call);

			if (match == RESPONSE_MATCHES) {
				deliver_response(c->call);
				return;
			}
			report_stray(c);
			if (match == RESPONSE_UNCLEAR) {
				client_fail_call(c->call, HTTP_RESULT_INVALID,
						 HTTP_CLOSE_STRAY);
				return;
			}
		}
		http_message_reset(m);
		c->unrelated_bytes += c->message_bytes;
		c->message_bytes = 0;
		if (c->unrelated_bytes > unrelated_bytes_max(c)) {
			fail_invalid(c->call, HTTP_RESULT_INVALID);
			return;
		}
	}
}

/* Whether the clean end of the connection completes the response. */
static bool completes_response(struct connection *c)
{
	struct http_message *m = &c->message;

	if (!c->client->accept_close_delimited ||
	    !http_message_is_close_delimited(m))
		return false;
	http_message_finish(m);
	return m->complete && match_response(c->call) == RESPONSE_MATCHES;
}

/* Servers reset connections that are more than they take. */
static void note_trouble(const struct connection *c)
{
	if (!c->reused)
		connect_limit_failed(&c->client->connect_limit, base_now_us());
}

void client_on_event(struct bufferevent *bev, short events, void *arg)
{
	struct connection *c = arg;
	struct http_call *call = c->call;

	if (events & BEV_EVENT_CONNECTED) {
		c->connected = true;
		return;
	}
	if (call && events & BEV_EVENT_EOF && completes_response(c)) {
		deliver_response(call);
		return;
	}
	if (call || !c->connected)
		note_trouble(c);
	if (!call)
		client_close_idle(c, c->connected ? HTTP_CLOSE_IDLE_BY_SERVER
						  : HTTP_CLOSE_CONNECT_FAILED);
	else if (!c->connected)
		client_fail_call(call, HTTP_RESULT_NOT_SENT,
				 HTTP_CLOSE_CONNECT_FAILED);
	else if (events & BEV_EVENT_EOF &&
		 http_message_is_close_delimited(&c->message))
		client_fail_call(call, HTTP_RESULT_INVALID, HTTP_CLOSE_INVALID);
	else
		client_fail_call(call, HTTP_RESULT_CONNECTION_LOST,
				 HTTP_CLOSE_LOST);
}
