/* Requests that were handed out by the HTTP server, and their responses. */
#include "output.h"
#include "request_check.h"
#include "response.h"
#include "server_internal.h"

#include <assert.h>
#include <event2/bufferevent.h>
#include <string.h>

static void count_request(struct exchange *ex,
			  struct http_request_budget *budget)
{
	ex->budget = budget;
	if (!budget)
		return;
	ex->held_bytes = server_memory_request_bytes(&ex->pub.request);
	http_request_budget_add(budget, ex->held_bytes);
}

static void release_request(struct exchange *ex)
{
	struct http_request *r = &ex->pub.request;

	if (ex->budget)
		http_request_budget_subtract(ex->budget, ex->held_bytes);
	ex->budget = NULL;
	http_headers_release(&r->headers);
	free((char *)r->method.ptr);
	free((char *)r->path.ptr);
	free((char *)r->query.ptr);
	free((char *)r->body.ptr);
	*r = (struct http_request){ 0 };
}

static void exchange_free(struct exchange *ex)
{
	http_pipeline_remove(&ex->slot);
	release_request(ex);
	free(ex);
}

/*
 * A callback may reply to any exchange of the connection, which takes it out of
 * @p p, so that its own callback is not called any more.
 */
void http_exchange_cancel_all(struct http_pipeline *p)
{
	struct http_pipeline_slot *slot;

	while ((slot = http_pipeline_first(p))) {
		struct exchange *ex = slot->owner;
		http_disconnect_cb on_disconnect = ex->on_disconnect;

		http_pipeline_remove(slot);
		ex->on_disconnect = NULL;
		if (ex->replied)
			exchange_free(ex);
		else if (on_disconnect)
			on_disconnect(ex->disconnect_ctx, &ex->pub);
	}
}

static struct base_str copy_str(struct base_str s)
{
	return (struct base_str){ base_str_dup(s), s.len };
}

static void set_target(struct http_request *r, struct base_str target)
{
	const char *mark =
		target.len ? memchr(target.ptr, '?', target.len) : NULL;
	struct base_str path = target;
	struct base_str query = BASE_STR("");

	if (mark) {
		path.len = (size_t)(mark - target.ptr);
		query.ptr = mark + 1;
		query.len = target.len - path.len - 1;
	}
	r->path = copy_str(path);
	r->query = copy_str(query);
}

/* The memory that the body may have grown into is given back. */
static struct base_str take_body(struct base_buf *body)
{
	struct base_str taken = { NULL, body->len };

	if (!body->len)
		return copy_str(BASE_STR(""));
	taken.ptr = base_realloc(body->ptr, body->len + 1);
	*body = BASE_BUF_INIT;
	return taken;
}

/* Takes the request that was read; the next one can be read then. */
struct exchange *http_exchange_create(struct connection *c)
{
	struct exchange *ex = base_alloc(sizeof(*ex));
	struct http_message *m = &c->message;
	struct http_request *r = &ex->pub.request;

	ex->connection = c;
	ex->keep_alive = http_should_keep_alive(&m->parser);
	ex->is_head = m->parser.method == HTTP_HEAD;
	ex->pub.received_at = c->completed_at;
	http_pipeline_add(&c->pipeline, &ex->slot, ex,
			  http_request_is_parallel(m));
	r->method = copy_str(base_str_from(http_method_str(m->parser.method)));
	set_target(r, base_buf_str(&m->target));
	r->headers = m->headers;
	m->headers = (struct http_headers){ 0 };
	r->body = take_body(&m->body);
	http_message_reset(m);
	c->request_started_at = 0;
	c->completed_at = 0;
	c->body_started = false;
	c->idle_since = 0;
	c->last_request_read = !ex->keep_alive;
	c->server->open_exchanges++;
	count_request(ex, c->server->budget);
	server_memory_passed_on(&c->memory, ex->pub.received_at);
	return ex;
}

/*
 * Whether the connection stays open after this response. With keep-alive
 * disabled, requests that were handed out before are still answered on it.
 */
static bool keeps_alive(const struct connection *c, const struct exchange *ex)
{
	return ex->keep_alive && !(c->server->keep_alive_disabled &&
				   http_pipeline_is_last(&ex->slot));
}

static void end_exchange(struct connection *c, struct exchange *ex)
{
	bool keep_alive = keeps_alive(c, ex);

	exchange_free(ex);
	if (!http_pipeline_first(&c->pipeline)) {
		c->idle_since = base_now_us();
		server_memory_answered(&c->memory, c->idle_since);
	}
	if (!keep_alive)
		http_connection_linger(c);
}

/* Sends the waiting responses that have none before them any more. */
static void send_waiting(struct connection *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct http_pipeline_slot *slot;

	while ((slot = http_pipeline_first(&c->pipeline)) && slot->response) {
		struct exchange *ex = slot->owner;
		struct evbuffer *response = http_pipeline_take(slot);

		c->server->unsent_bytes -= evbuffer_get_length(response);
		evbuffer_remove_buffer(response, out, slot->head_len);
		http_response_end_head(out, keeps_alive(c, ex));
		evbuffer_add_buffer(out, response);
		evbuffer_free(response);
		end_exchange(c, ex);
	}
}

static void hold_response(struct connection *c, struct exchange *ex,
			  const struct http_response *response)
{
	struct evbuffer *buf = evbuffer_new();
	size_t head_len;

	if (!buf)
		abort();
	http_response_write_head(buf, response, ex->is_head);
	head_len = evbuffer_get_length(buf);
	http_response_write_body(buf, response, ex->is_head);
	http_pipeline_hold(&ex->slot, buf, head_len);
	c->server->unsent_bytes += evbuffer_get_length(buf);
	release_request(ex);
}

/* Sends the response, or keeps it until those before it were sent. */
static void respond(struct connection *c, struct exchange *ex,
		    const struct http_response *response)
{
	struct evbuffer *out;

	if (http_pipeline_first(&c->pipeline) != &ex->slot) {
		hold_response(c, ex, response);
		return;
	}
	out = http_output_begin(c->bev, true);
	http_response_write_head(out, response, ex->is_head);
	http_response_end_head(out, keeps_alive(c, ex));
	http_response_write_body(out, response, ex->is_head);
	http_output_end(c->bev, out);
	end_exchange(c, ex);
	send_waiting(c);
}

/* The refusal is the last response; it is sent after those due before it. */
void http_connection_refuse(struct connection *c, enum http_refusal refusal,
			    int status, const char *detail)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct http_refusal_details details = {
		.refusal = refusal,
		.not_run = true,
		.retry_after_us = refusal == HTTP_REFUSAL_OVERLOADED
					  ? http_refusal_retry_after_us(refusal)
					  : 0,
		.detail = base_str_from(detail),
	};
	struct exchange *ex = base_alloc(sizeof(*ex));

	http_refusal_build(&details, &headers, &body);
	ex->connection = c;
	ex->replied = true;
	c->request_started_at = 0;
	c->last_request_read = true;
	http_pipeline_add(&c->pipeline, &ex->slot, ex, false);
	respond(c, ex,
		&(struct http_response){ .status = status,
					 .headers = headers,
					 .body = base_buf_str(&body) });
}

void http_exchange_set_disconnect_cb(struct http_exchange *ex,
				     http_disconnect_cb cb, void *ctx)
{
	struct exchange *private = (struct exchange *)ex;

	private->on_disconnect = cb;
	private->disconnect_ctx = ctx;
}

/* A reader would refuse any other response or take it for another one. */
static bool is_valid_response(int status, const struct http_headers *headers)
{
	return http_status_is_final(status) &&
	       (!headers || http_headers_are_valid(headers));
}

void http_exchange_reply(struct http_exchange *pub, int status,
			 const struct http_headers *headers,
			 struct base_str body)
{
	struct exchange *ex = (struct exchange *)pub;
	struct connection *c = ex->connection;
	struct http_response response = { .status = status, .body = body };

	assert(!ex->replied);
	ex->replied = true;
	ex->on_disconnect = NULL;
	if (!c) {
		exchange_free(ex);
		return;
	}
	if (headers)
		response.headers = *headers;
	if (!is_valid_response(status, headers)) {
		if (c->server->on_invalid_response)
			c->server->on_invalid_response(c->server->ctx, status);
		response = (struct http_response){ .status = 502 };
	}
	c->server->open_exchanges--;
	respond(c, ex, &response);
	http_connection_resume(c);
}
