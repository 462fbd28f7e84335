/* HTTP server over libevhtp. */
#include "http.h"

#include <assert.h>
#include <evhtp.h>
#include <netdb.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/* Requests have to arrive completely within this time. */
#define REQUEST_ARRIVAL_US (30 * BASE_SECOND_US)
/* Bytes of an oversized body that are read so that the 413 can be seen. */
#define DISCARD_LIMIT (8U << 20)
#define LISTEN_BACKLOG 1024

struct exchange;

struct connection {
	LIST_ENTRY(connection) link;
	struct http_server *server;
	evhtp_connection_t *conn;
	struct exchange *current;
	size_t header_bytes;
	size_t body_bytes;
	/* Start of the request that is arriving, 0 between requests. */
	int64_t arriving_since;
	int64_t idle_since;
	/** Of the request that is arriving; evhtp overwrites its own copy. */
	char *query;
	bool malformed;
};

struct exchange {
	struct http_exchange pub;
	struct connection *connection;
	evhtp_request_t *req;
	struct event *closed_event;
	http_gone_cb gone;
	void *gone_ctx;
	bool in_handler;
	bool replied;
	int status;
	bool close_after;
};

struct http_server {
	struct event_base *base;
	evhtp_t *htp;
	struct event *sweep;
	LIST_HEAD(, connection) connections;
	size_t connection_count;
	size_t open_exchanges;
	size_t max_body;
	size_t max_headers;
	size_t max_connections;
	int64_t idle_timeout_us;
	http_server_handler handler;
	void *ctx;
	bool draining;
	char address[80];
};

static void exchange_free(struct exchange *ex)
{
	if (ex->closed_event)
		event_free(ex->closed_event);
	if (ex->connection)
		ex->connection->current = NULL;
	http_headers_release(&ex->pub.request.headers);
	free((char *)ex->pub.request.method.ptr);
	free((char *)ex->pub.request.path.ptr);
	free((char *)ex->pub.request.query.ptr);
	free((char *)ex->pub.request.body.ptr);
	free(ex);
}

static void notify_gone(struct exchange *ex)
{
	http_gone_cb cb = ex->gone;

	ex->gone = NULL;
	if (cb)
		cb(ex->gone_ctx, &ex->pub);
}

static evhtp_res on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct connection *c = arg;
	struct exchange *ex = c->current;

	LIST_REMOVE(c, link);
	c->server->connection_count--;
	if (ex) {
		ex->connection = NULL;
		ex->req = NULL;
		if (ex->closed_event) {
			event_free(ex->closed_event);
			ex->closed_event = NULL;
		}
		notify_gone(ex);
	}
	free(c->query);
	free(c);
	return EVHTP_RES_OK;
}

static void on_closed(evutil_socket_t fd, short events, void *arg)
{
	struct exchange *ex = arg;

	event_del(ex->closed_event);
	notify_gone(ex);
}

static evhtp_res on_headers_start(evhtp_request_t *req, void *arg)
{
	struct connection *c = arg;

	c->header_bytes = 0;
	c->body_bytes = 0;
	c->malformed = false;
	c->arriving_since = base_now_us();
	return EVHTP_RES_OK;
}

static evhtp_res on_header(evhtp_request_t *req, evhtp_header_t *header,
			   void *arg)
{
	struct connection *c = arg;

	c->header_bytes += header->klen + header->vlen;
	if (c->header_bytes > c->server->max_headers)
		return EVHTP_RES_ERROR;
	return EVHTP_RES_OK;
}

static evhtp_res on_headers(evhtp_request_t *req, evhtp_headers_t *headers,
			    void *arg)
{
	struct connection *c = arg;
	const char *query = (const char *)req->uri->query_raw;

	/*
	 * When a request with a form as body has no query, evhtp puts the body
	 * in the query's place after it has arrived.
	 */
	free(c->query);
	c->query = base_str_dup(base_str_from(query ? query : ""));
	/* Both framings in one request are a request smuggling attempt. */
	if (evhtp_header_find(headers, "Transfer-Encoding") &&
	    evhtp_header_find(headers, "Content-Length"))
		c->malformed = true;
	return EVHTP_RES_OK;
}

static evhtp_res on_body(evhtp_request_t *req, struct evbuffer *buf, void *arg)
{
	struct connection *c = arg;

	c->body_bytes += evbuffer_get_length(buf);
	if (c->body_bytes <= c->server->max_body)
		return EVHTP_RES_OK;
	evbuffer_drain(buf, evbuffer_get_length(buf));
	if (c->body_bytes > c->server->max_body + DISCARD_LIMIT)
		return EVHTP_RES_ERROR;
	return EVHTP_RES_OK;
}

static evhtp_res on_accept(evhtp_connection_t *conn, void *arg)
{
	struct http_server *server = arg;
	struct connection *c;

	if (server->connection_count >= server->max_connections)
		return EVHTP_RES_ERROR;
	c = base_alloc(sizeof(*c));
	c->server = server;
	c->conn = conn;
	c->idle_since = base_now_us();
	LIST_INSERT_HEAD(&server->connections, c, link);
	server->connection_count++;
	evhtp_connection_set_hook(conn, evhtp_hook_on_headers_start,
				  (evhtp_hook)on_headers_start, c);
	evhtp_connection_set_hook(conn, evhtp_hook_on_header,
				  (evhtp_hook)on_header, c);
	evhtp_connection_set_hook(conn, evhtp_hook_on_headers,
				  (evhtp_hook)on_headers, c);
	evhtp_connection_set_hook(conn, evhtp_hook_on_read, (evhtp_hook)on_body,
				  c);
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_connection_fini, c);
	return EVHTP_RES_OK;
}

static struct base_str own_str(const char *text)
{
	struct base_str s = base_str_from(text ? text : "");

	return (struct base_str){ base_str_dup(s), s.len };
}

static int copy_header(evhtp_header_t *header, void *arg)
{
	http_headers_add(arg, (struct base_str){ header->key, header->klen },
			 (struct base_str){ header->val, header->vlen });
	return 0;
}

static void read_request(struct exchange *ex)
{
	struct http_request *r = &ex->pub.request;
	evhtp_request_t *req = ex->req;
	size_t len = evbuffer_get_length(req->buffer_in);
	char *body = base_alloc(len + 1);

	r->method = own_str(htparser_get_methodstr_m(req->method));
	r->path = own_str(req->uri->path ? req->uri->path->full : "/");
	r->query = own_str(ex->connection->query);
	evhtp_headers_for_each(req->headers_in, copy_header, &r->headers);
	evbuffer_remove(req->buffer_in, body, len);
	r->body = (struct base_str){ body, len };
}

static void send_reply(struct exchange *ex)
{
	evhtp_request_t *req = ex->req;

	if (ex->close_after || ex->connection->server->draining)
		evhtp_request_set_keepalive(req, 0);
	evhtp_send_reply(req, (evhtp_res)ex->status);
}

static void refuse(struct exchange *ex, enum http_refusal refusal,
		   const char *detail)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	BASE_CLEANUP(http_headers_release) struct http_headers headers = { 0 };
	struct http_refusal_details details = {
		.refusal = refusal,
		.not_run = true,
		.detail = base_str_from(detail),
	};

	ex->close_after = true;
	http_refusal_build(&details, &headers, &body);
	http_exchange_reply(&ex->pub, http_refusal_code(refusal), &headers,
			    base_buf_str(&body));
}

static void dispatch(struct exchange *ex)
{
	struct connection *c = ex->connection;
	struct http_server *server = c->server;

	if (c->malformed)
		refuse(ex, HTTP_REFUSAL_BAD_REQUEST,
		       "Content-Length and Transfer-Encoding are both given");
	else if (c->body_bytes > server->max_body)
		refuse(ex, HTTP_REFUSAL_BODY_TOO_LARGE,
		       "the body is over the limit of this daemon");
	else
		server->handler(server->ctx, &ex->pub);
}

static void on_request(evhtp_request_t *req, void *arg)
{
	struct http_server *server = arg;
	evhtp_hooks_t *hooks = evhtp_connection_get_hooks(req->conn);
	struct connection *c = hooks->on_connection_fini_arg;
	struct exchange *ex = base_alloc(sizeof(*ex));

	ex->connection = c;
	ex->req = req;
	ex->pub.received_at = base_now_us();
	c->current = ex;
	c->arriving_since = 0;
	c->idle_since = 0;
	server->open_exchanges++;
	read_request(ex);
	ex->in_handler = true;
	dispatch(ex);
	ex->in_handler = false;
	if (ex->replied) {
		c->idle_since = base_now_us();
		send_reply(ex);
		exchange_free(ex);
		return;
	}
	evhtp_request_pause(req);
	/* A paused connection is not read, so its end is watched apart. */
	ex->closed_event = event_new(server->base, req->conn->sock,
				     EV_CLOSED | EV_PERSIST, on_closed, ex);
	event_add(ex->closed_event, NULL);
}

static void add_reply_headers(evhtp_request_t *req,
			      const struct http_headers *headers)
{
	size_t i;

	for (i = 0; headers && i < headers->count; i++) {
		const struct http_header *h = &headers->items[i];

		if (http_header_is_hop_by_hop(h->name))
			continue;
		evhtp_headers_add_header(
			req->headers_out,
			evhtp_header_new(h->name.ptr, h->value.ptr, 1, 1));
	}
}

void http_exchange_on_gone(struct http_exchange *ex, http_gone_cb cb, void *ctx)
{
	struct exchange *private = (struct exchange *)ex;

	private->gone = cb;
	private->gone_ctx = ctx;
}

void http_exchange_reply(struct http_exchange *pub, int status,
			 const struct http_headers *headers,
			 struct base_str body)
{
	struct exchange *ex = (struct exchange *)pub;
	struct connection *c = ex->connection;
	evhtp_request_t *req = ex->req;

	assert(!ex->replied);
	ex->replied = true;
	ex->gone = NULL;
	ex->status = status;
	if (!req) {
		/* The server pointer is gone with the connection. */
		exchange_free(ex);
		return;
	}
	c->server->open_exchanges--;
	add_reply_headers(req, headers);
	evbuffer_add(req->buffer_out, body.ptr, body.len);
	if (ex->in_handler)
		return;
	c->idle_since = base_now_us();
	send_reply(ex);
	exchange_free(ex);
	evhtp_request_resume(req);
}

static void sweep(evutil_socket_t fd, short events, void *arg)
{
	struct http_server *server = arg;
	struct connection *c = LIST_FIRST(&server->connections);
	int64_t now = base_now_us();

	while (c) {
		struct connection *next = LIST_NEXT(c, link);
		bool slow = c->arriving_since &&
			    now - c->arriving_since > REQUEST_ARRIVAL_US;
		bool idle = !c->arriving_since && c->idle_since &&
			    now - c->idle_since > server->idle_timeout_us;

		if (!c->current && (slow || idle))
			evhtp_connection_free(c->conn);
		c = next;
	}
}

static enum http_status bind_socket(struct http_server *server,
				    const struct sockaddr_storage *addr,
				    socklen_t len)
{
	struct sockaddr_storage bound = { 0 };
	socklen_t bound_len = sizeof(bound);
	char ip[INET6_ADDRSTRLEN];
	char port[8];

	if (evhtp_bind_sockaddr(server->htp, (struct sockaddr *)addr, len,
				LISTEN_BACKLOG))
		return HTTP_ERR_BIND;
	if (getsockname(evconnlistener_get_fd(server->htp->server),
			(struct sockaddr *)&bound, &bound_len))
		return HTTP_ERR_BIND;
	if (getnameinfo((struct sockaddr *)&bound, bound_len, ip, sizeof(ip),
			port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV))
		return HTTP_ERR_BIND;
	snprintf(server->address, sizeof(server->address),
		 bound.ss_family == AF_INET ? "%s:%s" : "[%s]:%s", ip, port);
	return HTTP_STATUS_OK;
}

enum http_status http_server_create(struct event_base *base,
				    const struct http_server_settings *settings,
				    struct http_server **out,
				    struct base_error *err)
{
	struct http_server *server;
	struct sockaddr_storage addr = { 0 };
	socklen_t len = 0;
	enum http_status status =
		http_address_parse(settings->listen, &addr, &len, err);

	if (status != HTTP_STATUS_OK)
		return status;
	server = base_alloc(sizeof(*server));
	LIST_INIT(&server->connections);
	server->base = base;
	server->max_body = settings->max_body;
	server->max_headers = settings->max_headers;
	server->max_connections = settings->max_connections;
	server->idle_timeout_us = settings->idle_timeout_us;
	server->handler = settings->handler;
	server->ctx = settings->ctx;
	server->htp = evhtp_new(base, NULL);
	evhtp_set_gencb(server->htp, on_request, server);
	evhtp_set_post_accept_cb(server->htp, on_accept, server);
	evhtp_set_max_keepalive_requests(server->htp, 0);
	server->sweep = event_new(base, -1, EV_PERSIST, sweep, server);
	event_add(server->sweep, &(struct timeval){ .tv_sec = 1 });
	status = bind_socket(server, &addr, len);
	if (status != HTTP_STATUS_OK) {
		base_error_set(
			err, "cannot listen on '%.*s': %s",
			BASE_STR_ARG(settings->listen),
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
		http_server_destroy(server);
		return status;
	}
	*out = server;
	return HTTP_STATUS_OK;
}

void http_server_stop_accepting(struct http_server *server)
{
	if (server->draining)
		return;
	server->draining = true;
	evhtp_unbind_socket(server->htp);
}

void http_server_destroy(struct http_server *server)
{
	struct connection *c;

	if (!server)
		return;
	while ((c = LIST_FIRST(&server->connections)))
		evhtp_connection_free(c->conn);
	if (!server->draining && server->htp->server)
		evhtp_unbind_socket(server->htp);
	event_free(server->sweep);
	evhtp_free(server->htp);
	free(server);
}

const char *http_server_address(const struct http_server *server)
{
	return server->address;
}

size_t http_server_open_exchanges(const struct http_server *server)
{
	return server->open_exchanges;
}

size_t http_server_connections(const struct http_server *server)
{
	return server->connection_count;
}
