/* Tells the death of the backend server from the loss of connections. */
#include "death_detector.h"
#include "http.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

/* A dying process loses its connections within this time. */
#define GATHER_US (20 * BASE_MS_US)

struct death_detector {
	struct event_base *base;
	struct sockaddr_storage addr;
	socklen_t addr_len;
	death_verdict_cb cb;
	void *ctx;
	struct event *timer;
	struct bufferevent *probe;
	bool identified;
	bool refused;
	uint64_t *ids;
	size_t count;
	size_t capacity;
	uint32_t in_flight;
};

static void end_probe(struct death_detector *w)
{
	if (w->probe)
		bufferevent_free(w->probe);
	w->probe = NULL;
}

static void on_probe(struct bufferevent *bev, short events, void *arg)
{
	struct death_detector *w = arg;

	if (events & BEV_EVENT_ERROR)
		w->refused = true;
	end_probe(w);
}

static void start_probe(struct death_detector *w)
{
	w->refused = false;
	w->probe = bufferevent_socket_new(w->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(w->probe, NULL, NULL, on_probe, w);
	if (bufferevent_socket_connect(w->probe, (struct sockaddr *)&w->addr,
				       (int)w->addr_len)) {
		w->refused = true;
		end_probe(w);
	}
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct death_detector *w = arg;
	uint64_t *ids = w->ids;
	size_t count = w->count;
	/* A server that restarts at once accepts the probe, but lost all. */
	bool died = w->refused || (!w->identified && count >= w->in_flight);

	end_probe(w);
	w->ids = NULL;
	w->count = 0;
	w->capacity = 0;
	w->cb(w->ctx, ids, count, died);
	free(ids);
}

void death_detector_connection_lost(struct death_detector *w, uint64_t id,
				    uint32_t in_flight, int64_t now)
{
	struct timeval tv = { .tv_usec = GATHER_US };

	if (!w->count) {
		w->in_flight = in_flight;
		start_probe(w);
		event_add(w->timer, &tv);
	}
	if (w->count == w->capacity) {
		w->capacity = w->capacity ? w->capacity * 2 : 16;
		w->ids = base_realloc(w->ids, w->capacity * sizeof(*w->ids));
	}
	w->ids[w->count++] = id;
}

struct death_detector *death_detector_create(struct event_base *base,
					     const char *address,
					     bool identified,
					     death_verdict_cb cb, void *ctx)
{
	struct death_detector *w = base_alloc(sizeof(*w));

	if (http_address_parse(base_str_from(address), &w->addr, &w->addr_len,
			       NULL)) {
		free(w);
		return NULL;
	}
	w->base = base;
	w->identified = identified;
	w->cb = cb;
	w->ctx = ctx;
	w->timer = evtimer_new(base, on_timer, w);
	return w;
}

void death_detector_destroy(struct death_detector *watch)
{
	if (!watch)
		return;
	end_probe(watch);
	event_free(watch->timer);
	free(watch->ids);
	free(watch);
}
