/* HTTP server and common helpers of the stand-in programs. */
#include "fake.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void fake_die(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
	exit(1);
}

int64_t fake_parse_number(const char *name, const char *text)
{
	int64_t value;

	if (!base_str_to_i64(base_str_from(text), &value) || value < 0)
		fake_die("%s: \"%s\" is not a non-negative integer", name,
			 text);
	return value;
}

struct event_base *fake_loop_create(void)
{
	struct event_config *config = event_config_new();
	struct event_base *loop;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	loop = event_base_new_with_config(config);
	event_config_free(config);
	if (!loop)
		fake_die("cannot create the event loop");
	return loop;
}

static void print_address(evhtp_t *htp)
{
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);
	char ip[INET_ADDRSTRLEN];

	if (getsockname(evconnlistener_get_fd(htp->server),
			(struct sockaddr *)&addr, &len))
		fake_die("cannot read the listening address");
	inet_ntop(AF_INET, &addr.sin_addr, ip, sizeof(ip));
	printf("listening=%s:%d\n", ip, ntohs(addr.sin_port));
	fflush(stdout);
}

evhtp_t *fake_listen(struct event_base *loop, const char *address,
		     evhtp_callback_cb cb, void *arg)
{
	const char *colon = strrchr(address, ':');
	evhtp_t *htp = evhtp_new(loop, NULL);
	char host[64];

	if (!colon || colon - address >= (ptrdiff_t)sizeof(host))
		fake_die("\"%s\" is not IP:PORT", address);
	snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
	evhtp_enable_flag(htp, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_gencb(htp, cb, arg);
	if (evhtp_bind_socket(htp, host,
			      (uint16_t)fake_parse_number("port", colon + 1),
			      1024))
		fake_die("cannot listen on %s", address);
	print_address(htp);
	return htp;
}

void fake_add_header(evhtp_request_t *req, const char *name, const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

void fake_reply(evhtp_request_t *req, evhtp_res status, struct base_str body)
{
	bool paused = req->status == EVHTP_RES_PAUSE;

	if (body.len)
		evbuffer_add(req->buffer_out, body.ptr, body.len);
	evhtp_send_reply(req, status);
	if (paused)
		evhtp_request_resume(req);
}

void fake_copy_body(evhtp_request_t *req, struct base_buf *out)
{
	size_t len = evbuffer_get_length(req->buffer_in);

	base_buf_reset(out);
	if (len)
		base_buf_add(out, evbuffer_pullup(req->buffer_in, -1), len);
}

void fake_print_call(const char *event, evhtp_request_t *req)
{
	const unsigned char *query = req->uri->query_raw;
	const char *method =
		htparser_get_methodstr_m(evhtp_request_get_method(req));

	printf("%s %s %s%s%s\n", event, method, req->uri->path->full,
	       query ? "?" : "", query ? (const char *)query : "");
	fflush(stdout);
}

static int print_header(evhtp_kv_t *kv, void *arg)
{
	(void)arg;
	printf("  %s: %s\n", kv->key, kv->val);
	return 0;
}

void fake_print_request(evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;

	fake_print_call("received", req);
	evhtp_kvs_for_each(req->headers_in, print_header, NULL);
	fake_copy_body(req, &body);
	printf("  body: %.*s\n", BASE_STR_ARG(base_buf_str(&body)));
	fflush(stdout);
}

static void on_signal(evutil_socket_t signal_number, short what, void *arg)
{
	(void)signal_number;
	(void)what;
	event_base_loopbreak(arg);
}

void fake_handle_signals(struct event_base *loop)
{
	signal(SIGPIPE, SIG_IGN);
	event_add(evsignal_new(loop, SIGTERM, on_signal, loop), NULL);
	event_add(evsignal_new(loop, SIGINT, on_signal, loop), NULL);
}

void fake_uuid7_generate(struct base_rand *rnd, char out[FAKE_UUID_SIZE])
{
	uint64_t ms = (uint64_t)base_wall_ms();
	uint8_t b[16];
	size_t n = 0;
	int i;

	for (i = 0; i < 6; i++)
		b[i] = (uint8_t)(ms >> (40 - 8 * i));
	for (i = 6; i < 16; i++)
		b[i] = (uint8_t)base_rand_below(rnd, 256);
	b[6] = 0x70 | (b[6] & 0x0f);
	b[8] = 0x80 | (b[8] & 0x3f);
	for (i = 0; i < 16; i++) {
		if (i == 4 || i == 6 || i == 8 || i == 10)
			out[n++] = '-';
		n += (size_t)snprintf(out + n, 3, "%02x", b[i]);
	}
}
