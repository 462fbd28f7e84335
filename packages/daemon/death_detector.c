/* Detects the death of the backend server from lost connections and a probe. */
#include "death_detector.h"
#include "http.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

/* All connections of a process that dies are lost within this time. */
#define LOSS_WINDOW_US (20 * BASE_MS_US)

struct death_detector {
	struct event_base *base;
	struct sockaddr_storage addr;
	socklen_t addr_len;
	death_detector_cb cb;
	void *ctx;
	struct event *timer;
	struct bufferevent *probe;
	bool identified;
	bool probe_failed;
	bool probe_accepted;
	/* The first probe was accepted and then closed; the second decides. */
	bool probe_repeated;
	uint64_t *ids;
	size_t count;
	size_t capacity;
	uint32_t in_flight;
};

static void end_probe(struct death_detector *d)
{
	if (d->probe)
		bufferevent_free(d->probe);
	d->probe = NULL;
}

static void start_probe(struct death_detector *d);

/*
 * A process that dies closes its listening socket after its connections, so
 * that a probe may still be accepted, and is closed with that socket. A live
 * server at its connection limit closes a probe too, but accepts another one.
 */
static void on_probe(struct bufferevent *bev, short events, void *arg)
{
	struct death_detector *d = arg;
	bool closed = events & (BEV_EVENT_ERROR | BEV_EVENT_EOF);

	if (events & BEV_EVENT_CONNECTED) {
		d->probe_accepted = true;
		bufferevent_enable(bev, EV_READ);
	}
	if (!closed)
		return;
	end_probe(d);
	if (!d->probe_accepted) {
		d->probe_failed = true;
	} else if (!d->probe_repeated) {
		d->probe_repeated = true;
		start_probe(d);
	}
}

static void start_probe(struct death_detector *d)
{
	d->probe_accepted = false;
	d->probe = bufferevent_socket_new(d->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(d->probe, NULL, NULL, on_probe, d);
	if (bufferevent_socket_connect(d->probe, (struct sockaddr *)&d->addr,
				       (int)d->addr_len)) {
		d->probe_failed = true;
		end_probe(d);
	}
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct death_detector *d = arg;
	uint64_t *ids = d->ids;
	size_t count = d->count;
	/* A server that restarted at once accepts the probe, but lost all. */
	bool died =
		d->probe_failed || (!d->identified && count >= d->in_flight);

	end_probe(d);
	d->ids = NULL;
	d->count = 0;
	d->capacity = 0;
	d->cb(d->ctx, ids, count, died);
	free(ids);
}

void death_detector_connection_lost(struct death_detector *d, uint64_t id,
				    uint32_t in_flight, int64_t now)
{
	struct timeval tv = { .tv_usec = LOSS_WINDOW_US };

	if (!d->count) {
		d->in_flight = in_flight;
		d->probe_failed = false;
		d->probe_repeated = false;
		start_probe(d);
		event_add(d->timer, &tv);
	}
	if (d->count == d->capacity) {
		d->capacity = d->capacity ? d->capacity * 2 : 16;
		d->ids = base_realloc(d->ids, d->capacity * sizeof(*d->ids));
	}
	d->ids[d->count++] = id;
}

struct death_detector *death_detector_create(struct event_base *base,
					     const char *address,
					     bool identified,
					     death_detector_cb cb, void *ctx)
{
	struct death_detector *d = base_alloc(sizeof(*d));

	if (http_address_parse(base_str_from(address), &d->addr, &d->addr_len,
			       NULL)) {
		free(d);
		return NULL;
	}
	d->base = base;
	d->identified = identified;
	d->cb = cb;
	d->ctx = ctx;
	d->timer = evtimer_new(base, on_timer, d);
	return d;
}

void death_detector_destroy(struct death_detector *d)
{
	if (!d)
		return;
	end_probe(d);
	event_free(d->timer);
	free(d->ids);
	free(d);
}
