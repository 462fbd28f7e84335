/* A planned stop of the daemon. */
#include "drain.h"
#include "entry.h"
#include "guard.h"
#include "membership.h"
#include "roster.h"

#define POLL_US (20 * BASE_MS_US)
/* Peers and callers learn of the stop before the daemon may end. */
#define LEAST_US BASE_SECOND_US
/* A caller that was just answered may send its next request meanwhile. */
#define QUIET_US (100 * BASE_MS_US)
/* Time to send the refusals of what was open at the limit. */
#define FLUSH_US (500 * BASE_MS_US)
/*
 * A guard that is the last of its service takes work until this long before
 * what is open is refused. Guards that closed 2 s before left the day of stops
 * with a worth of 0.43 where this has 0.54.
 */
#define FINISH_US BASE_SECOND_US

struct drain {
	struct node *node;
	struct event *timer;
	int64_t started_at;
	/* Since when nothing is open; 0 while something is. */
	int64_t quiet_since;
	/* No more callers are accepted; the daemon ends when it is quiet. */
	bool last_callers;
	bool guard_closed;
};

static bool is_quiet(const struct node *node)
{
	return !entry_open_flow_count(node->entry) &&
	       !guard_open_work_count(node->guard) &&
	       !http_server_open_exchanges(node->callers) &&
	       !http_server_has_unsent(node->callers);
}

static bool stays_quiet(struct drain *d, int64_t now)
{
	if (!is_quiet(d->node)) {
		d->quiet_since = 0;
		return false;
	}
	if (!d->quiet_since)
		d->quiet_since = now;
	return now - d->quiet_since >= QUIET_US;
}

/*
 * Callers are accepted until nothing is open, and those that were accepted
 * then are still served: a connection that ends with a request read would
 * leave its caller without an answer.
 */
static bool may_end(struct drain *d, int64_t now)
{
	if (!stays_quiet(d, now))
		return false;
	if (d->last_callers)
		return true;
	d->last_callers = true;
	d->quiet_since = 0;
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
 * Where many daemons stop at once, their backend servers run on; closing all
 * guards at their signals left services without any server for seconds.
 */
static void close_guard(struct drain *d, int64_t now)
{
	const struct node *node = d->node;
	int64_t past = now - d->started_at;
	struct base_log_line line;

	if (d->guard_closed || past < node->dialect->callers_leave_us ||
	    (node->dialect->callers_leave_us &&
	     now < node->work_ends_at - FINISH_US &&
	     is_last_of_service(node, now)))
		return;
	d->guard_closed = true;
	guard_close(node->guard);
	membership_announce(node->membership, now);
	line = base_log_begin(node->log, BASE_LOG_INFO, "guard_closed");
	base_log_int(&line, "after_ms", past / BASE_MS_US);
	base_log_end(&line);
}

static void on_poll(evutil_socket_t fd, short events, void *arg)
{
	struct drain *d = arg;
	struct node *node = d->node;
	int64_t now = base_now_us();
	int64_t past = now - d->started_at;
	int64_t least = node->dialect->callers_leave_us;

	close_guard(d, now);
	if (past > node->settings->drain_us) {
		event_base_loopbreak(node->base);
		return;
	}
	if (now > node->work_ends_at)
		entry_abort(node->entry, now);
	if (d->guard_closed && past >= (least ? least : LEAST_US) &&
	    may_end(d, now))
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
	node->work_ends_at = now + node->settings->drain_us - FLUSH_US;
	line = base_log_begin(node->log, BASE_LOG_INFO, "draining");
	base_log_end(&line);
	if (node->dialect->callers_leave_us)
		http_server_close_when_answered(node->callers);
	else
		http_server_stop_accepting(node->callers);
	membership_announce(node->membership, now);
	close_guard(drain, now);
	event_add(drain->timer, &(struct timeval){ .tv_usec = POLL_US });
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
