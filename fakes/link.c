/*
 * Stand-in for the network between daemons: forwards TCP connections and cuts
 * them by the IP addresses of their ends.
 *
 *   PUT /v1/cut    key=value lines: source and dest (prefixes of addresses such
 *                  as "127.0.1."), mode=drop, hold or close
 *   PUT /v1/heal   ends all cuts
 *   GET /v1/stats  key=value lines
 *
 * A cut acts in both directions. "drop" loses the bytes; a connection that has
 * lost some ends at the heal, or after LOST_US as the TCP of its ends would
 * give it up. "hold" delivers the bytes after the heal. "close" ends the
 * connections and accepts no others.
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

#define ROUTE_MAX 64
#define CUT_MAX 32
#define IP_SIZE INET_ADDRSTRLEN
/* Bytes that wait for a slow receiver, in each direction. */
#define WAITING_MAX 1048576
/* The daemons set this TCP user timeout on their connections. */
#define LOST_US (5 * BASE_SECOND_US)

enum mode { MODE_NONE, MODE_DROP, MODE_HOLD, MODE_CLOSE, MODE_END };

static const char *const mode_names[MODE_END] = { "none", "drop", "hold",
						  "close" };

struct link;

struct route {
	struct link *link;
	struct sockaddr_in listen;
	struct sockaddr_in dest;
	/** Stands for the source of all connections when not empty. */
	char source[IP_SIZE];
	char dest_ip[IP_SIZE];
};

struct cut {
	char source[IP_SIZE];
	char dest[IP_SIZE];
	enum mode mode;
};

/** A forwarded connection; side 0 was accepted, side 1 was opened. */
struct pipe {
	struct link *link;
	const struct route *route;
	struct bufferevent *sides[2];
	struct event *lost_timer;
	char source[IP_SIZE];
	bool lost;
	struct pipe *prev, *next;
};

struct link {
	struct event_base *loop;
	const char *listen;
	struct route routes[ROUTE_MAX];
	size_t route_count;
	struct cut cuts[CUT_MAX];
	size_t cut_count;
	struct pipe *pipes;
	int64_t accepted;
	int64_t dropped_bytes;
};

static bool starts_with(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static enum mode mode_of(const struct pipe *p)
{
	const struct link *link = p->link;
	const char *dest = p->route->dest_ip;
	size_t i;

	for (i = 0; i < link->cut_count; i++) {
		const struct cut *c = &link->cuts[i];

		if ((starts_with(p->source, c->source) &&
		     starts_with(dest, c->dest)) ||
		    (starts_with(p->source, c->dest) &&
		     starts_with(dest, c->source)))
			return c->mode;
	}
	return MODE_NONE;
}

static void pipe_free(struct pipe *p)
{
	int i;

	for (i = 0; i < 2; i++)
		if (p->sides[i])
			bufferevent_free(p->sides[i]);
	event_free(p->lost_timer);
	DL_DELETE(p->link->pipes, p);
	free(p);
}

static void on_lost(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pipe_free(arg);
}

/* Its ends go on until TCP gives up or the network is back. */
static void lose(struct pipe *p)
{
	const struct timeval after = { LOST_US / BASE_SECOND_US, 0 };

	if (p->lost)
		return;
	p->lost = true;
	evtimer_add(p->lost_timer, &after);
}

/* Moves what side @p from sent, as far as the cuts allow. */
static void forward(struct pipe *p, int from)
{
	struct evbuffer *input = bufferevent_get_input(p->sides[from]);
	struct bufferevent *to = p->sides[!from];
	size_t len = evbuffer_get_length(input);
	enum mode mode = mode_of(p);

	if (!len || mode == MODE_HOLD)
		return;
	if (p->lost || mode == MODE_DROP || !to) {
		p->link->dropped_bytes += (int64_t)len;
		evbuffer_drain(input, len);
		lose(p);
		return;
	}
	if (evbuffer_get_length(bufferevent_get_output(to)) < WAITING_MAX)
		bufferevent_write_buffer(to, input);
}

static int side_of(const struct pipe *p, const struct bufferevent *bev)
{
	return p->sides[1] == bev;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct pipe *p = arg;

	forward(p, side_of(p, bev));
}

/* The output of a side is empty. */
static void on_written(struct bufferevent *bev, void *arg)
{
	struct pipe *p = arg;
	int other = !side_of(p, bev);

	if (p->sides[other])
		forward(p, other);
	else if (mode_of(p) == MODE_NONE && !p->lost)
		pipe_free(p);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pipe *p = arg;
	int side = side_of(p, bev);
	struct bufferevent *other = p->sides[!side];

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	forward(p, side);
	bufferevent_free(bev);
	p->sides[side] = NULL;
	/* Behind a cut the other end does not hear of it. */
	if (other && (p->lost || mode_of(p) != MODE_NONE))
		lose(p);
	else if (!other || !evbuffer_get_length(bufferevent_get_output(other)))
		pipe_free(p);
}

static void open_side(struct pipe *p, int side, evutil_socket_t fd)
{
	struct bufferevent *bev = bufferevent_socket_new(p->link->loop, fd,
							 BEV_OPT_CLOSE_ON_FREE);

	p->sides[side] = bev;
	bufferevent_setcb(bev, on_read, on_written, on_event, p);
	bufferevent_setwatermark(bev, EV_READ, 0, WAITING_MAX);
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
	struct pipe *p = base_alloc(sizeof(*p));

	(void)listener;
	(void)len;
	p->link = route->link;
	p->route = route;
	p->lost_timer = evtimer_new(p->link->loop, on_lost, p);
	DL_APPEND(p->link->pipes, p);
	p->link->accepted++;
	inet_ntop(AF_INET, &from->sin_addr, p->source, sizeof(p->source));
	if (*route->source)
		snprintf(p->source, sizeof(p->source), "%s", route->source);
	open_side(p, 0, fd);
	set_nodelay(p->sides[0]);
	if (mode_of(p) == MODE_CLOSE) {
		pipe_free(p);
		return;
	}
	/* Its end does not hear from the daemon behind a cut. */
	if (mode_of(p) == MODE_DROP)
		return;
	open_side(p, 1, -1);
	if (!bufferevent_socket_connect(p->sides[1], (struct sockaddr *)&dest,
					sizeof(dest)))
		set_nodelay(p->sides[1]);
}

static void apply_cuts(struct link *link)
{
	struct pipe *p, *next;

	DL_FOREACH_SAFE(link->pipes, p, next)
	if (mode_of(p) == MODE_CLOSE)
		pipe_free(p);
}

/* The connections that lost nothing go on. */
static void heal(struct link *link)
{
	struct pipe *p, *next;

	link->cut_count = 0;
	DL_FOREACH_SAFE(link->pipes, p, next)
	{
		if (p->lost || !p->sides[0] || !p->sides[1]) {
			pipe_free(p);
			continue;
		}
		forward(p, 0);
		forward(p, 1);
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
	bool ok = link->cut_count < CUT_MAX;
	char *rest;
	char *line;

	fake_body(req, &body);
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
	struct pipe *p;
	int64_t open;

	DL_COUNT(link->pipes, p, open);
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

	if (!dest || link->route_count == ROUTE_MAX)
		fake_die("\"%s\" is not LISTEN=DEST, or one too many", text);
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
		fake_die("cannot listen for %s:%d", r->dest_ip,
			 ntohs(r->dest.sin_port));
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Control, default 127.0.0.1:0", 0 },
	{ "route", 'r', "LISTEN=DEST[,SOURCE]", 0,
	  "Forward; SOURCE stands for the IP of callers; may repeat", 0 },
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
	link.loop = fake_loop();
	fake_handle_signals(link.loop);
	for (i = 0; i < link.route_count; i++)
		listen_route(&link.routes[i]);
	fake_listen(link.loop, link.listen, on_request, &link);
	event_base_dispatch(link.loop);
	exit(0);
}
