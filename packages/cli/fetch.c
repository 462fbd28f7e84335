/* HTTP client for the admin interface of a daemon. */
#include "fetch.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#define BODY_MAX_BYTES (16 * 1024 * 1024)

struct fetch {
	struct event_base *base;
	struct base_buf *body;
	int status;
};

static void on_response(struct evhttp_request *request, void *arg)
{
	struct fetch *fetch = arg;
	struct evbuffer *input;
	size_t len;

	event_base_loopbreak(fetch->base);
	if (!request)
		return;
	fetch->status = evhttp_request_get_response_code(request);
	input = evhttp_request_get_input_buffer(request);
	len = evbuffer_get_length(input);
	if (len)
		base_buf_add(fetch->body, evbuffer_pullup(input, -1), len);
}

/* Splits HOST:PORT; brackets around an IPv6 address are removed. */
static bool split_address(const char *address, char **host, int64_t *port)
{
	const char *colon = strrchr(address, ':');
	struct base_str name;

	if (!colon || !base_str_to_i64(base_str_from(colon + 1), port))
		return false;
	name = (struct base_str){ address, (size_t)(colon - address) };
	if (name.len > 2 && name.ptr[0] == '[' &&
	    name.ptr[name.len - 1] == ']') {
		name.ptr++;
		name.len -= 2;
	}
	if (!name.len || *port < 1 || *port > 65535)
		return false;
	*host = base_str_dup(name);
	return true;
}

static void send_request(struct fetch *fetch, const char *host, uint16_t port,
			 const char *path)
{
	struct evhttp_connection *connection;
	struct evhttp_request *request;
	struct evkeyvalq *headers;

	connection = evhttp_connection_base_new(fetch->base, NULL, host, port);
	if (!connection)
		return;
	evhttp_connection_set_timeout(connection, FETCH_TIMEOUT_S);
	evhttp_connection_set_max_body_size(connection, BODY_MAX_BYTES);
	request = evhttp_request_new(on_response, fetch);
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	if (!evhttp_make_request(connection, request, EVHTTP_REQ_GET, path))
		event_base_dispatch(fetch->base);
	evhttp_connection_free(connection);
}

int fetch_get(const char *address, const char *path, struct base_buf *body,
	      struct base_error *err)
{
	struct fetch fetch = { .body = body };
	char *host;
	int64_t port;

	if (!split_address(address, &host, &port)) {
		base_error_set(err, "address \"%s\" is not HOST:PORT", address);
		return 0;
	}
	fetch.base = event_base_new();
	if (fetch.base) {
		send_request(&fetch, host, (uint16_t)port, path);
		event_base_free(fetch.base);
	}
	free(host);
	if (!fetch.status)
		base_error_set(err, "%s: no answer", address);
	return fetch.status;
}
