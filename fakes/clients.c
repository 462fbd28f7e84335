/*
 * Stand-in for clients of the users' platform that keep their connections open
 * and go on using them until the daemon closes them or its process is gone.
 * Each connection has one request at a time. Prints a line for each request:
 *
 *     ID METHOD PATH STATUS EXIT back=N body=TEXT vm=IP:PORT sent=MS ended=MS
 *     nth=N
 *
 * STATUS is 000 without a response, EXIT 0 for a whole response, else 56; back
 * is 1 with a Retry-After header, nth counts the requests of the connection.
 * SIGTERM ends the program when the open requests have ended.
 */
#include "fake.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAUSE_MS 30
#define RECONNECT_MS 100
#define DEADLINE_MS 2000
#define GIVE_UP_MS 5000
#define BODY_MAX 120

struct clients {
	struct event_base *loop;
	const char *name;
	int64_t next_id;
	size_t open_requests;
	bool stopping;
};

struct connection {
	struct clients *clients;
	const char *target;
	struct sockaddr_in address;
	struct bufferevent *bev;
	/* Fires when the next request is due, or to give up an open one. */
	struct event *timer;
	char id[64];
	char path[96];
	const char *method;
	int64_t sent_at;
	int64_t nth;
	/* -1 until the head of the response was read. */
	int64_t body_len;
	int status;
	bool open;
	bool close_after;
	bool retry_after;
};

static int64_t now_ms(void)
{
	return base_now_us() / BASE_MS_US;
}

static void schedule(struct connection *c, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	event_add(c->timer, &tv);
}

static void print_body(struct connection *c, int64_t len)
{
	char text[BODY_MAX + 1] = "";
	size_t n = len < BODY_MAX ? (size_t)len : BODY_MAX;
	size_t i;

	if (len > 0)
		evbuffer_copyout(bufferevent_get_input(c->bev), text, n);
	for (i = 0; i < n; i++)
		if (text[i] == ' ' || text[i] == '\n')
			text[i] = '_';
	printf(" body=%s", text);
}

static void end_request(struct connection *c, bool whole)
{
	struct clients *clients = c->clients;

	printf("%s %s %s %03d %d back=%d", c->id, c->method, c->path, c->status,
	       whole ? 0 : 56, c->retry_after);
	print_body(c, whole ? c->body_len : 0);
	printf(" vm=%s sent=%" PRId64 " ended=%" PRId64 " nth=%" PRId64 "\n",
	       c->target, c->sent_at, now_ms(), c->nth);
	fflush(stdout);
	c->open = false;
	clients->open_requests--;
	if (clients->stopping && !clients->open_requests)
		event_base_loopbreak(clients->loop);
}

static void disconnect(struct connection *c)
{
	if (c->open)
		end_request(c, false);
	if (c->bev)
		bufferevent_free(c->bev);
	c->bev = NULL;
	schedule(c, RECONNECT_MS);
}

static const char *find_header(const char *head, const char *name)
{
	const char *line = strcasestr(head, name);

	return line ? line + strlen(name) : NULL;
}

static bool read_head(struct connection *c, struct evbuffer *in)
{
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	const char *length;
	char *head;

	if (end.pos < 0)
		return false;
	head = base_alloc((size_t)end.pos + 5);
	evbuffer_remove(in, head, (size_t)end.pos + 4);
	if (sscanf(head, "HTTP/1.1 %d", &c->status) != 1)
		fake_die("not a response: %s", head);
	length = find_header(head, "\r\nContent-Length:");
	c->body_len = length ? strtoll(length, NULL, 10) : 0;
	c->retry_after = find_header(head, "\r\nRetry-After: ") != NULL;
	c->close_after = find_header(head, "\r\nConnection: close") != NULL;
	free(head);
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (!c->open) {
		printf("stray vm=%s bytes=%zu\n", c->target,
		       evbuffer_get_length(in));
		fflush(stdout);
		disconnect(c);
		return;
	}
	if (c->body_len < 0 && !read_head(c, in))
		return;
	if ((int64_t)evbuffer_get_length(in) < c->body_len)
		return;
	end_request(c, true);
	evbuffer_drain(in, (size_t)c->body_len);
	if (c->close_after)
		disconnect(c);
	else
		schedule(c, PAUSE_MS);
}

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		disconnect(arg);
}

static void connect_to_target(struct connection *c)
{
	c->nth = 0;
	c->bev = bufferevent_socket_new(c->clients->loop, -1,
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(c->bev, (struct sockaddr *)&c->address,
				       sizeof(c->address)))
		disconnect(c);
}

/* Every fourth request is not idempotent, and every fourth takes long. */
static void choose_request(struct connection *c)
{
	int64_t n = ++c->clients->next_id;

	snprintf(c->id, sizeof(c->id), "%s-%" PRId64, c->clients->name, n);
	c->method = n % 4 ? "GET" : "POST";
	snprintf(c->path, sizeof(c->path), "%s%s",
		 n % 4 == 0   ? "/o/"
		 : n % 4 == 1 ? "/b/slow/"
		 : n % 4 == 2 ? "/i/"
			      : "/b/",
		 c->id);
}

static void send_request(struct connection *c)
{
	choose_request(c);
	c->open = true;
	c->status = 0;
	c->body_len = -1;
	c->retry_after = false;
	c->close_after = false;
	c->sent_at = now_ms();
	c->nth++;
	c->clients->open_requests++;
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
			    "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			    "Authorization: Bearer k1\r\n"
			    "Content-Length: 0\r\n\r\n",
			    c->method, c->path, c->id, DEADLINE_MS);
	schedule(c, GIVE_UP_MS);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct connection *c = arg;

	if (c->open) {
		disconnect(c);
		return;
	}
	if (c->clients->stopping)
		return;
	if (!c->bev)
		connect_to_target(c);
	if (c->bev)
		send_request(c);
}

static void on_stop(evutil_socket_t fd, short events, void *arg)
{
	struct clients *clients = arg;

	clients->stopping = true;
	if (!clients->open_requests)
		event_base_loopbreak(clients->loop);
}

static void open_connection(struct clients *clients, const char *target,
			    int64_t number)
{
	struct connection *c = base_alloc(sizeof(*c));
	int len = sizeof(c->address);

	c->clients = clients;
	c->target = target;
	if (evutil_parse_sockaddr_port(target, (struct sockaddr *)&c->address,
				       &len))
		fake_die("not an address: %s", target);
	c->timer = evtimer_new(clients->loop, on_timer, c);
	schedule(c, number % PAUSE_MS);
}

int main(int argc, char **argv)
{
	struct clients clients = { .loop = fake_loop_create() };
	struct event *stop;
	int64_t connections;
	int64_t i;

	if (argc < 4)
		fake_die("usage: fake_clients NAME CONNECTIONS IP:PORT...");
	signal(SIGPIPE, SIG_IGN);
	clients.name = argv[1];
	connections = fake_parse_number("CONNECTIONS", argv[2]);
	for (i = 0; i < connections; i++)
		open_connection(&clients, argv[3 + i % (argc - 3)], i);
	stop = evsignal_new(clients.loop, SIGTERM, on_stop, &clients);
	event_add(stop, NULL);
	event_base_dispatch(clients.loop);
	return 0;
}
