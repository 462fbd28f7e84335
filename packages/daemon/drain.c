/* Drain: the planned stop of the daemon. */
#include "drain.h"
#include "entry.h"
#include "guard.h"
#include "membership.h"
#include "roster.h"

#define POLL_INTERVAL_US (20 * BASE_MS_US)
/*
 * Lower bound of the drain, so that peers and callers are notified before the
 * daemon exits. Dialects with deregistration_delay_us use that time instead.
 */
#define MIN_DRAIN_US BASE_SECOND_US
/* A caller that was just answered may send its next request within this. */
#define IDLE_BEFORE_EXIT_US (100 * BASE_MS_US)
/* Time to send the refusals of requests that are open at the time limit. */
#define REFUSAL_FLUSH_US (500 * BASE_MS_US)
/*
 * The last guard of a service accepts work until this long before open requests
 * are refused. In the benchmark of a day with planned stops, closing 2 s before
 * instead lowers the score from 0.54 to 0.43.
 */
#define LAST_GUARD_MARGIN_US BASE_SECOND_US

struct drain {
	struct node *node;
	struct event *timer;
	int64_t started_at;
	/* Since when nothing has been open; 0 while something is. */
	int64_t idle_since;
	/* New connections are refused; the daemon exits once it is idle. */
	bool callers_closed;
	bool guard_closed;
};

static bool is_idle(const struct node *node)
{
	return !entry_open_flow_count(node->entry) &&
	       !guard_open_work_count(node->guard) &&
	       !http_server_open_exchange_count(node->callers) &&
	       !http_server_has_undelivered_data(node->callers) &&
	       !peer_transport_queued_bytes(node->transport);
}

static bool has_stayed_idle(struct drain *d, int64_t now)
{
	if (!is_idle(d->node)) {
		d->idle_since = 0;
		return false;
	}
	if (!d->idle_since)
		d->idle_since = now;
	return now - d->idle_since >= IDLE_BEFORE_EXIT_US;
}

/*
 * Connections of callers are accepted until the daemon is idle. It then stops
 * accepting and exits after it has been idle once more: exiting at once would
 * close connections whose request was read, without an answer.
 */
static bool may_exit(struct drain *d, int64_t now)
{
	if (!has_stayed_idle(d, now))
		return false;
	if (d->callers_closed)
		return true;
	d->callers_closed = true;
	d->idle_since = 0;
	http_server_stop_accepting(d->node->callers);
	return false;
}

static bool is_last_of_service(const struct node *node, int64_t now)
{
	const struct config_vm *self = node->self;

	return self &&
	       !routing_has_other_usable(
		       node->routing,
		       roster_service_id(node->roster, self->service->name),
		       roster_vm_id(node->roster, self->name), now);
}

/*
 * Closes the guard once callers have left; the last guard of a service closes
 * as late as possible. When many daemons stop at once, their backend servers
 * keep running, and closing all guards at the signal would leave services
 * without any server for seconds.
 */
static void close_guard(struct drain *d, int64_t now)
{
	const struct node *node = d->node;
	int64_t elapsed_us = now - d->started_at;
	struct base_log_line line;

	if (d->guard_closed ||
	    elapsed_us < node->dialect->deregistration_delay_us ||
	    (node->dialect->deregistration_delay_us &&
	     now < node->drain_deadline - LAST_GUARD_MARGIN_US &&
	     is_last_of_service(node, now)))
		return;
	d->guard_closed = true;
	guard_close(node->guard);
	membership_announce(node->membership, now);
	line = base_log_begin(node->log, BASE_LOG_INFO, "guard_closed");
	base_log_int(&line, "after_ms", elapsed_us / BASE_MS_US);
	base_log_end(&line);
}

static void on_poll(evutil_socket_t fd, short events, void *arg)
{
	struct drain *d = arg;
	struct node *node = d->node;
	int64_t now = base_now_us();
	int64_t elapsed_us = now - d->started_at;
	int64_t min_drain_us = node->dialect->deregistration_delay_us;

	close_guard(d, now);
	if (elapsed_us > node->settings->drain_us) {
		event_base_loopbreak(node->base);
		return;
	}
	if (now > node->drain_deadline)
		entry_abort(node->entry, now);
	if (d->guard_closed &&
	    elapsed_us >= (min_drain_us ? min_drain_us : MIN_DRAIN_US) &&
	    may_exit(d, now))
		event_base_loopbreak(node->base);
}

void drain_start(struct drain *drain, int64_t now)
{
	struct node *node = drain->node;
	struct base_log_line line;

	if (node->draining)
		return;
	node->draining = true;
	drain->started_at = now;
	node->drain_deadline =
		now + node->settings->drain_us - REFUSAL_FLUSH_US;
	node->drain_noticed_at = now + node->dialect->deregistration_delay_us;
	line = base_log_begin(node->log, BASE_LOG_INFO, "draining");
	base_log_end(&line);
	if (node->dialect->deregistration_delay_us)
		http_server_disable_keep_alive(node->callers);
	else
		http_server_stop_accepting(node->callers);
	membership_announce(node->membership, now);
	close_guard(drain, now);
	event_add(drain->timer,
		  &(struct timeval){ .tv_usec = POLL_INTERVAL_US });
}

int64_t drain_limit_deadline(const struct node *node, int64_t deadline,
			     int64_t now)
{
	if (!node->drain_deadline || deadline <= node->drain_deadline)
		return deadline;
	return now < node->drain_noticed_at ? node->drain_deadline : 0;
}

struct drain *drain_create(struct node *node)
{
	struct drain *d = base_alloc(sizeof(*d));

	d->node = node;
	d->timer = event_new(node->base, -1, EV_PERSIST, on_poll, d);
	return d;
}

void drain_destroy(struct drain *drain)
{
	if (!drain)
		return;
	event_free(drain->timer);
	free(drain);
}
