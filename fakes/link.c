/*
 * Stand-in for the network between daemons: a TCP proxy that simulates
 * partitions between IP addresses.
 *
 *   PUT /v1/cut    key=value lines: source and dest (address prefixes such as
 *                  "127.0.1."), mode=drop, hold or close
 *   PUT /v1/heal   removes all cuts
 *   GET /v1/stats  key=value lines
 *
 * A cut acts in both directions. "drop" discards the bytes; a connection that
 * has lost bytes is closed at the heal or after TCP_USER_TIMEOUT_US, when the
 * TCP stacks of its ends would time out. "hold" delivers the bytes after the
 * heal. "close" closes the connections and rejects new ones.
 */
#include "fake.h"

#include <argp.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#define ROUTES_MAX 64
#define CUTS_MAX 32
#define IP_SIZE INET_ADDRSTRLEN
/* Buffered bytes for a slow receiver, in each direction. */
#define BUFFER_MAX_BYTES 1048576
/* TCP user timeout that the daemons set on their connections. */
#define TCP_USER_TIMEOUT_US (5 * BASE_SECOND_US)

enum mode { MODE_NONE, MODE_DROP, MODE_HOLD, MODE_CLOSE, MODE_END };

static const char *const mode_names[MODE_END] = { "none", "drop", "hold",
						  "close" };

struct link;

struct route {
	struct link *link;
	struct sockaddr_in listen;
	struct sockaddr_in dest;
	/** Replaces the source address of all connections unless empty. */
	char source[IP_SIZE];
	char dest_ip[IP_SIZE];
};

struct cut {
	char source[IP_SIZE];
	char dest[IP_SIZE];
	enum mode mode;
};

/** A forwarded connection: side 0 was accepted, side 1 was opened. */
struct connection {
	struct link *link;
	const struct route *route;
	struct bufferevent *sides[2];
	struct event *lost_bytes_timer;
	char source[IP_SIZE];
	bool has_lost_bytes;
	struct connection *prev, *next;
};

struct link {
	struct event_base *loop;
	const char *listen;
	struct route routes[ROUTES_MAX];
	size_t route_count;
	struct cut cuts[CUTS_MAX];
	size_t cut_count;
	struct connection *connections;
	int64_t accepted;
	int64_t dropped_bytes;
};

static bool starts_with(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static enum mode cut_mode(const struct connection *conn)
{
	const struct link *link = conn->link;
	const char *dest = conn->route->dest_ip;
	size_t i;

	for (i = 0; i < link->cut_count; i++) {
		const struct cut *c = &link->cuts[i];

		if ((starts_with(conn->source, c->source) &&
		     starts_with(dest, c->dest)) ||
		    (starts_with(conn->source, c->dest) &&
		     starts_with(dest, c->source)))
			return c->mode;
	}
	return MODE_NONE;
}

static void connection_free(struct connection *conn)
{
	int i;

	for (i = 0; i < 2; i++)
		if (conn->sides[i])
			bufferevent_free(conn->sides[i]);
	event_free(conn->lost_bytes_timer);
	DL_DELETE(conn->link->connections, conn);
	free(conn);
}

static void on_lost_bytes_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	connection_free(arg);
}

/* Closes the connection when TCP would time out; a heal closes it earlier. */
static void mark_bytes_lost(struct connection *conn)
{
	const struct timeval after = { TCP_USER_TIMEOUT_US / BASE_SECOND_US,
				       0 };

	if (conn->has_lost_bytes)
		return;
	conn->has_lost_bytes = true;
	evtimer_add(conn->lost_bytes_timer, &after);
}

/* Forwards the bytes received from side @p from unless a cut applies. */
static void forward(struct connection *conn, int from)
{
	struct evbuffer *input = bufferevent_get_input(conn->sides[from]);
	struct bufferevent *to = conn->sides[!from];
	size_t len = evbuffer_get_length(input);
	enum mode mode = cut_mode(conn);

	if (!len || mode == MODE_HOLD)
		return;
	if (conn->has_lost_bytes || mode == MODE_DROP || !to) {
		conn->link->dropped_bytes += (int64_t)len;
		evbuffer_drain(input, len);
		mark_bytes_lost(conn);
		return;
	}
	if (evbuffer_get_length(bufferevent_get_output(to)) < BUFFER_MAX_BYTES)
		bufferevent_write_buffer(to, input);
}

static int side_index(const struct connection *conn,
		      const struct bufferevent *bev)
{
	return conn->sides[1] == bev;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;

	forward(conn, side_index(conn, bev));
}

/* Called when the output buffer of a side is empty. */
static void on_output_drained(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;
	int other = !side_index(conn, bev);

	if (conn->sides[other])
		forward(conn, other);
	else if (cut_mode(conn) == MODE_NONE && !conn->has_lost_bytes)
		connection_free(conn);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct connection *conn = arg;
	int side = side_index(conn, bev);
	struct bufferevent *other = conn->sides[!side];

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	forward(conn, side);
	bufferevent_free(bev);
	conn->sides[side] = NULL;
	/* A cut also blocks the FIN: the other end stays open for now. */
	if (other && (conn->has_lost_bytes || cut_mode(conn) != MODE_NONE))
		mark_bytes_lost(conn);
	else if (!other || !evbuffer_get_length(bufferevent_get_output(other)))
		connection_free(conn);
}

static void open_side(struct connection *conn, int side, evutil_socket_t fd)
{
	struct bufferevent *bev = bufferevent_socket_new(conn->link->loop, fd,
							 BEV_OPT_CLOSE_ON_FREE);

	conn->sides[side] = bev;
	bufferevent_setcb(bev, on_read, on_output_drained, on_event, conn);
	bufferevent_setwatermark(bev, EV_READ, 0, BUFFER_MAX_BYTES);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void set_nodelay(struct bufferevent *bev)
{
	int one = 1;

	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	const struct sockaddr_in *from = (const struct sockaddr_in *)addr;
	const struct route *route = arg;
	struct sockaddr_in dest = route->dest;
	struct connection *conn = base_alloc(sizeof(*conn));

	(void)listener;
	(void)len;
	conn->link = route->link;
	conn->route = route;
	conn->lost_bytes_timer =
		evtimer_new(conn->link->loop, on_lost_bytes_timeout, conn);
	DL_APPEND(conn->link->connections, conn);
	conn->link->accepted++;
	inet_ntop(AF_INET, &from->sin_addr, conn->source, sizeof(conn->source));
	if (*route->source)
		snprintf(conn->source, sizeof(conn->source), "%s",
			 route->source);
	open_side(conn, 0, fd);
	set_nodelay(conn->sides[0]);
	if (cut_mode(conn) == MODE_CLOSE) {
		connection_free(conn);
		return;
	}
	/* The SYN is lost: side 1 is not opened. */
	if (cut_mode(conn) == MODE_DROP)
		return;
	open_side(conn, 1, -1);
	if (!bufferevent_socket_connect(conn->sides[1],
					(struct sockaddr *)&dest, sizeof(dest)))
		set_nodelay(conn->sides[1]);
}

static void apply_cuts(struct link *link)
{
	struct connection *conn, *next;

	DL_FOREACH_SAFE(link->connections, conn, next)
	if (cut_mode(conn) == MODE_CLOSE)
		connection_free(conn);
}

/* Closes connections that lost bytes or a side; the others continue. */
static void heal(struct link *link)
{
	struct connection *conn, *next;

	link->cut_count = 0;
	DL_FOREACH_SAFE(link->connections, conn, next)
	{
		if (conn->has_lost_bytes || !conn->sides[0] ||
		    !conn->sides[1]) {
			connection_free(conn);
			continue;
		}
		forward(conn, 0);
		forward(conn, 1);
	}
}

static bool set_field(struct cut *cut, char *line)
{
	char *value = strchr(line, '=');
	int i;

	if (!value)
		return false;
	*value++ = '\0';
	if (!strcmp(line, "source"))
		snprintf(cut->source, sizeof(cut->source), "%s", value);
	else if (!strcmp(line, "dest"))
		snprintf(cut->dest, sizeof(cut->dest), "%s", value);
	else if (strcmp(line, "mode") != 0)
		return false;
	if (strcmp(line, "mode") != 0)
		return true;
	for (i = MODE_DROP; i < MODE_END; i++)
		if (!strcmp(value, mode_names[i]))
			cut->mode = (enum mode)i;
	return cut->mode != MODE_NONE;
}

static void put_cut(struct link *link, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	struct cut cut = { .mode = MODE_NONE };
	bool ok = link->cut_count < CUTS_MAX;
	char *rest;
	char *line;

	fake_copy_body(req, &body);
	rest = body.ptr;
	while (ok && (line = strsep(&rest, "\n")))
		ok = !*line || set_field(&cut, line);
	if (!ok || !*cut.source || !*cut.dest) {
		fake_reply(req, EVHTP_RES_BADREQ,
			   BASE_STR("source=PREFIX, dest=PREFIX and "
				    "mode=drop, hold or close\n"));
		return;
	}
	if (cut.mode == MODE_NONE)
		cut.mode = MODE_DROP;
	link->cuts[link->cut_count++] = cut;
	apply_cuts(link);
	fake_reply(req, EVHTP_RES_OK, BASE_STR_NONE);
}

static void reply_stats(struct link *link, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;
	struct connection *conn;
	int64_t open;

	DL_COUNT(link->connections, conn, open);
	base_buf_addf(&out, "accepted=%lld\nopen=%lld\n",
		      (long long)link->accepted, (long long)open);
	base_buf_addf(&out, "cuts=%zu\ndropped_bytes=%lld\n", link->cut_count,
		      (long long)link->dropped_bytes);
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&out));
}

static void on_request(evhtp_request_t *req, void *arg)
{
	const char *path = req->uri->path->full;
	bool put = req->method == htp_method_PUT;
	struct link *link = arg;

	if (put && !strcmp(path, "/v1/cut")) {
		put_cut(link, req);
	} else if (put && !strcmp(path, "/v1/heal")) {
		heal(link);
		fake_reply(req, EVHTP_RES_OK, BASE_STR_NONE);
	} else if (!strcmp(path, "/v1/stats")) {
		reply_stats(link, req);
	} else {
		fake_reply(req, EVHTP_RES_NOTFOUND, BASE_STR_NONE);
	}
}

static void parse_address(const char *text, struct sockaddr_in *out)
{
	int len = sizeof(*out);

	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &len) ||
	    out->sin_family != AF_INET)
		fake_die("\"%s\" is not IP:PORT", text);
}

static void add_route(struct link *link, const char *text)
{
	struct route *r = &link->routes[link->route_count];
	char *copy = base_str_dup(base_str_from(text));
	char *rest = copy;
	const char *listen = strsep(&rest, "=");
	const char *dest = strsep(&rest, ",");

	if (!dest || link->route_count == ROUTES_MAX)
		fake_die(
			"\"%s\" is not LISTEN=DEST[,SOURCE], or too many routes",
			text);
	link->route_count++;
	r->link = link;
	parse_address(listen, &r->listen);
	parse_address(dest, &r->dest);
	inet_ntop(AF_INET, &r->dest.sin_addr, r->dest_ip, sizeof(r->dest_ip));
	if (rest)
		snprintf(r->source, sizeof(r->source), "%s", rest);
	free(copy);
}

static void listen_route(struct route *r)
{
	if (!evconnlistener_new_bind(r->link->loop, on_accept, r,
				     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				     1024, (struct sockaddr *)&r->listen,
				     sizeof(r->listen)))
		fake_die("cannot listen on the route to %s:%d", r->dest_ip,
			 ntohs(r->dest.sin_port));
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Control address, default 127.0.0.1:0",
	  0 },
	{ "route", 'r', "LISTEN=DEST[,SOURCE]", 0,
	  "Forward; SOURCE replaces the IP of callers; may be repeated", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct link *link = state->input;

	if (key == 'l')
		link->listen = arg;
	else if (key == 'r')
		add_route(link, arg);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in for the network",
		NULL,	 NULL,	       NULL,
	};
	static struct link link = { .listen = "127.0.0.1:0" };
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &link);
	link.loop = fake_loop_create();
	fake_handle_signals(link.loop);
	for (i = 0; i < link.route_count; i++)
		listen_route(&link.routes[i]);
	fake_listen(link.loop, link.listen, on_request, &link);
	event_base_dispatch(link.loop);
	exit(0);
}
