/* The data task: event loop, messages between the tasks, start and stop. */
#include "admin.h"
#include "claims.h"
#include "config_events.h"
#include "drain.h"
#include "entry.h"
#include "guard.h"
#include "membership.h"
#include "node.h"
#include "onward.h"
#include "quarantine.h"
#include "rate_limiter.h"
#include "request_memory.h"
#include "roster.h"
#include "seeds.h"
#include "spans.h"
#include "vm_list.h"

#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define SPAN_CAPACITY 2048
#define CALLER_MAX_HEADER_BYTES (64 << 10)
#define CALLER_IDLE_TIMEOUT_US (120 * BASE_SECOND_US)
/*
 * The event loop runs more often than this, so a longer gap means that the
 * process was paused.
 */
#define PAUSE_MIN_US BASE_SECOND_US
/*
 * After a pause the event loop runs for this time before work starts, so that
 * it reads which callers disconnected meanwhile.
 */
#define RESUME_CALLER_POLL_US (10 * BASE_MS_US)
/* Interval between flushes of the log, so that one write has several lines. */
#define LOG_FLUSH_US (50 * BASE_MS_US)

struct daemon {
	struct node node;
	struct event *inbox_event;
	struct event *sigterm;
	struct event *sigint;
	struct event *sighup;
	struct event *log_timer;
	struct drain *drain;
};

void node_counter_add(struct node *node, const char *name)
{
	base_counter_add(base_counters_get(node->counters, name), 1);
}

size_t node_unsent_answer_bytes(const struct node *node)
{
	return http_server_unsent_bytes(node->callers) +
	       peer_transport_queued_bytes(node->transport);
}

void node_log_invalid_response(struct node *node, int status)
{
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_ERROR, "response_invalid");

	node_counter_add(node, "responses_invalid");
	base_log_int(&line, "status", status);
	base_log_end(&line);
}

bool node_is_self(const struct node *node, const struct config_vm *vm)
{
	return node->self == vm;
}

void node_detect_pause(struct node *node, int64_t now)
{
	int64_t gap = now - node->last_loop_run_at;

	node->last_loop_run_at = now;
	if (gap < PAUSE_MIN_US || node->paused_us)
		return;
	node->paused_us = gap;
	event_active(node->resume_event, EV_TIMEOUT, 0);
}

bool node_is_resuming(const struct node *node)
{
	return node->paused_us != 0;
}

static void finish_resume(struct node *node)
{
	int64_t paused_us = node->paused_us;
	int64_t now = base_now_us();

	node->last_loop_run_at = now;
	node->paused_us = 0;
	node->peers_drained = false;
	guard_on_resume(node->guard, paused_us, now);
}

/*
 * Runs after the callback that detected the pause, and once more when the event
 * loop has read which callers disconnected meanwhile.
 */
static void on_resume(evutil_socket_t fd, short events, void *arg)
{
	struct node *node = arg;
	struct timeval delay = { .tv_usec = RESUME_CALLER_POLL_US };
	struct base_log_line line;
	int64_t now;

	if (node->peers_drained) {
		finish_resume(node);
		return;
	}
	node_counter_add(node, "pauses");
	line = base_log_begin(node->log, BASE_LOG_WARN, "process_paused");
	base_log_int(&line, "paused_ms", node->paused_us / 1000);
	base_log_end(&line);
	claims_on_resume(node->claims, base_now_us());
	peer_transport_receive_pending(node->transport);
	now = base_now_us();
	routing_on_resume(node->routing, now);
	membership_on_resume(node->membership, now);
	quarantine_on_resume(node->quarantine, now);
	node->peers_drained = true;
	event_add(node->resume_event, &delay);
}

static bool has_same_routes(const struct config_snapshot *a,
			    const struct config_snapshot *b)
{
	size_t i;

	if (!a || a->route_count != b->route_count)
		return false;
	for (i = 0; i < a->route_count; i++)
		if (!base_str_equal(a->routes[i].name, b->routes[i].name))
			return false;
	return true;
}

static void apply_limits(struct node *node)
{
	const struct config_limits *l = &node->snapshot->limits;
	struct http_server_limits limits = {
		.max_head_bytes = (size_t)l->header_bytes,
		.header_timeout_us = l->header_timeout_us,
		.max_body = (size_t)l->body_bytes,
		.idle_timeout_us = l->idle_timeout_us,
	};

	http_server_set_limits(node->callers, &limits);
}

static void on_activated(struct node *node, struct data_message *msg)
{
	const struct config_snapshot *previous = node->snapshot;
	int64_t now = base_now_us();
	char hash[65];
	struct base_log_line line;

	node->snapshot = config_snapshot_ref(msg->snapshot);
	publication_unref(node->publication);
	node->publication = publication_ref(msg->publication);
	node->self = config_snapshot_find_vm(node->snapshot,
					     base_str_from(node->settings->vm));
	roster_update(node->roster, node->snapshot);
	membership_retire_links(node->membership, now);
	roster_configure_routing(node->roster, node->routing);
	if (!has_same_routes(previous, node->snapshot)) {
		overload_throttle_set_routes(
			node->throttle, (uint32_t)node->snapshot->route_count);
		if (node->graph)
			overload_graph_set_routes(
				node->graph,
				(uint32_t)node->snapshot->route_count);
	}
	peer_transport_set_config_version(node->transport,
					  (uint64_t)msg->version);
	apply_limits(node);
	guard_configure(node->guard, now);
	if (node->dialect->idempotency_keys)
		claims_configure(node->claims, previous, now);
	rate_limiter_configure(node->rate_limiter, previous, now);
	vm_list_apply(node->vm_list);
	membership_configure(node->membership, now);
	quarantine_configure(node->quarantine, now);
	config_snapshot_unref(previous);
	base_counter_set(base_counters_get(node->counters, "config_version"),
			 msg->version);
	base_digest_hex(&msg->digest, hash);
	line = base_log_begin(node->log, BASE_LOG_INFO, "config_activated");
	base_log_int(&line, "version", msg->version);
	base_log_cstr(&line, "hash", hash);
	base_log_end(&line);
	if (node->self)
		return;
	line = base_log_begin(node->log, BASE_LOG_WARN, "vm_not_in_roster");
	base_log_cstr(&line, "vm", node->settings->vm);
	base_log_end(&line);
}

static void on_data_message(void *ctx, void *message)
{
	struct node *node = ctx;
	struct data_message *msg = message;

	switch (msg->type) {
	case DATA_ACTIVATED:
		on_activated(node, msg);
		break;
	case DATA_VM_LIST:
		vm_list_update(node->vm_list, msg);
		break;
	case DATA_FETCH:
		membership_fetch(node->membership, base_buf_str(&msg->text));
		break;
	case DATA_REFUSED:
		config_events_record_refusal(node, msg);
		break;
	case DATA_CONFLICT:
		config_events_record_conflict(node, msg);
		break;
	case DATA_CANDIDATE:
		seeds_add_roster(node->seeds, msg->snapshot);
		break;
	case DATA_PLATFORM_STATE:
		node->platform_up = msg->up;
		break;
	case DATA_PLATFORM_EVIDENCE:
		node->platform_current_at = msg->current_at;
		node->platform_steady_since = msg->steady_since;
		membership_announce_evidence(node->membership, base_now_us());
		break;
	}
	data_message_free(msg);
}

static void on_inbox(evutil_socket_t fd, short events, void *arg)
{
	struct node *node = arg;

	base_mailbox_drain(node->inbox, on_data_message, node);
}

static void on_link_message(void *ctx, struct peer_link *link,
			    const struct peer_message *msg,
			    const struct peer_receive_info *receive_info)
{
	struct node *node = ctx;
	const struct config_vm *vm = membership_link_vm(node->membership, link);

	node_detect_pause(node, receive_info->received_at);
	membership_record_received(node->membership, link,
				   receive_info->received_at);
	switch (msg->type) {
	case PEER_ANSWER:
		entry_on_answer(node->entry, msg);
		break;
	case PEER_CLAIM_ANSWER:
		claims_on_answer(node->claims, msg, receive_info->received_at);
		break;
	case PEER_RATE_GRANT:
		if (vm)
			rate_limiter_on_grant(node->rate_limiter, vm->name, msg,
					      receive_info->received_at);
		break;
	case PEER_SUSPECT:
	case PEER_SUSPECT_ANSWER:
		if (vm)
			quarantine_on_link_message(node->quarantine, vm, msg,
						   receive_info->received_at);
		break;
	default:
		membership_on_link_message(node->membership, link, msg,
					   receive_info);
	}
}

static void on_remote_message(void *ctx, const struct peer_remote *remote,
			      const struct peer_message *msg,
			      const struct peer_receive_info *receive_info)
{
	struct node *node = ctx;

	node_detect_pause(node, receive_info->received_at);
	switch (msg->type) {
	case PEER_REQUEST:
		guard_on_remote_request(node->guard, remote, msg, receive_info);
		break;
	case PEER_CANCEL:
		guard_on_remote_cancel(node->guard, remote, msg->id);
		break;
	case PEER_CLAIM:
	case PEER_COMPLETE:
	case PEER_RELEASE:
		claims_on_remote(node->claims, remote, msg, receive_info);
		break;
	case PEER_RATE_ASK:
		rate_limiter_on_ask(node->rate_limiter, remote, msg,
				    receive_info->received_at);
		break;
	case PEER_SUSPECT:
	case PEER_SUSPECT_ASK:
		quarantine_on_remote(node->quarantine, remote, msg,
				     receive_info);
		break;
	case PEER_HELLO:
		quarantine_on_hello(node->quarantine, remote, &msg->hello,
				    receive_info->received_at);
		/* Fall through. */
	default:
		membership_on_remote_message(node->membership, remote, msg,
					     receive_info);
	}
}

static void on_link_up(void *ctx, struct peer_link *link)
{
	struct node *node = ctx;
	const struct config_vm *vm = membership_link_vm(node->membership, link);

	membership_on_link_up(node->membership, link);
	if (!vm)
		return;
	claims_on_link_up(node->claims, vm, base_now_us());
	rate_limiter_on_link_up(node->rate_limiter, vm, base_now_us());
	quarantine_on_link_up(node->quarantine, vm, base_now_us());
}

static void on_link_down(void *ctx, struct peer_link *link)
{
	struct node *node = ctx;
	const struct config_vm *vm = membership_link_vm(node->membership, link);
	int64_t now = base_now_us();

	membership_on_link_down(node->membership, link);
	entry_on_link_down(node->entry, link);
	if (!vm)
		return;
	claims_on_link_down(node->claims, vm, now);
	quarantine_on_link_down(node->quarantine, vm, now);
	rate_limiter_on_link_down(node->rate_limiter, vm, now);
}

static void on_caller_request(void *ctx, struct http_exchange *ex)
{
	struct node *node = ctx;

	entry_on_caller_request(node->entry, ex);
}

static void on_stalled_caller(void *ctx, size_t unread)
{
	struct node *node = ctx;
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_WARN, "caller_stalled");

	node_counter_add(node, "callers_stalled");
	base_log_int(&line, "unread_bytes", (int64_t)unread);
	base_log_end(&line);
}

static void on_invalid_response(void *ctx, int status)
{
	node_log_invalid_response(ctx, status);
}

static void on_stop_signal(evutil_socket_t fd, short events, void *arg)
{
	drain_start(arg, base_now_us());
}

static enum daemon_status create_interfaces(struct daemon *d,
					    struct base_error *err)
{
	struct node *node = &d->node;
	const struct daemon_settings *s = node->settings;
	struct http_server_settings http = {
		.listen = base_str_from(s->caller_listen),
		.max_body = (size_t)s->max_body,
		.max_head_bytes = CALLER_MAX_HEADER_BYTES,
		.max_connections = request_memory_max_connections(node),
		.budget = node->request_budget,
		.idle_timeout_us = CALLER_IDLE_TIMEOUT_US,
		.handler = on_caller_request,
		.on_stalled_reader = on_stalled_caller,
		.on_invalid_response = on_invalid_response,
		.ctx = node,
	};
	struct peer_transport_settings peer = {
		.listen = base_str_from(s->peer_listen),
		.fleet_secret = base_str_from(s->fleet_secret),
		.vm = base_str_from(s->vm),
		.incarnation = node->incarnation,
		.counters = node->counters,
		.log = node->log,
		.callbacks = { on_link_message, on_remote_message, on_link_up,
			       on_link_down },
		.ctx = node,
	};

	if (peer_transport_create(&peer, node->base, &node->transport, err) ||
	    http_server_create(node->base, &http, &d->node.callers, err))
		return DAEMON_ERR_LISTEN;
	node->guard = guard_create(node, err);
	node->onward = onward_create(node, err);
	node->admin = admin_create(node, err);
	if (!node->guard || !node->onward || !node->admin)
		return DAEMON_ERR_LISTEN;
	return DAEMON_OK;
}

/* libevent's default clock (4 ms) is too coarse for the timers here. */
static struct event_base *create_event_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static void create_state(struct node *node)
{
	int64_t now = base_now_us();

	node->base = create_event_base();
	node->counters = base_counters_create();
	node->log = base_log_create("bilberryhinged");
	base_log_set_level(node->log, node->settings->log_level);
	node->metrics = metrics_create(node->counters, node->log);
	base_rand_seed_system(&node->rnd);
	node->incarnation = (uint64_t)base_wall_ms();
	node->started_at = now;
	node->last_loop_run_at = now;
	node->resume_event = event_new(node->base, -1, 0, on_resume, node);
	node->request_budget = request_memory_create(node);
	node->roster = roster_create();
	node->routing = routing_table_create(node->incarnation, NULL);
	routing_use_completion_times(node->routing,
				     node->settings->learned_capacity);
	node->throttle = overload_throttle_create(1, node->incarnation);
	if (node->settings->graph_admission)
		node->graph = overload_graph_create(1, node->incarnation);
	node->spans = spans_create(SPAN_CAPACITY);
	node->entry = entry_create(node);
	node->claims = claims_create(node, base_wall_ms(), now);
	node->rate_limiter = rate_limiter_create(node, now);
	node->vm_list = vm_list_create(node);
	node->seeds = seeds_create(node);
	node->membership = membership_create(node);
	node->quarantine = quarantine_create(node);
}

static void log_start(struct daemon *d)
{
	struct node *node = &d->node;
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_INFO, "started");

	base_log_cstr(&line, "vm", node->settings->vm);
	base_log_cstr(&line, "domain", node->settings->domain);
	base_log_cstr(&line, "caller", http_server_address(node->callers));
	base_log_cstr(&line, "onward", onward_address(node->onward));
	base_log_cstr(&line, "admin", admin_address(node->admin));
	base_log_str(&line, "peer", peer_transport_address(node->transport));
	base_log_end(&line);
}

static void on_log_timer(evutil_socket_t fd, short events, void *arg)
{
	base_log_flush(arg);
}

static void on_reload_signal(evutil_socket_t fd, short events, void *arg)
{
	struct node *node = arg;
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_INFO, "reload");

	base_log_cstr(&line, "effect", "none, settings are read at the start");
	base_log_end(&line);
}

static void add_signals(struct daemon *d)
{
	struct event_base *base = d->node.base;

	signal(SIGPIPE, SIG_IGN);
	d->drain = drain_create(&d->node);
	d->sigterm = evsignal_new(base, SIGTERM, on_stop_signal, d->drain);
	d->sigint = evsignal_new(base, SIGINT, on_stop_signal, d->drain);
	d->sighup = evsignal_new(base, SIGHUP, on_reload_signal, &d->node);
	event_add(d->sighup, NULL);
	d->log_timer =
		event_new(base, -1, EV_PERSIST, on_log_timer, d->node.log);
	event_add(d->log_timer, &(struct timeval){ .tv_usec = LOG_FLUSH_US });
	event_add(d->sigterm, NULL);
	event_add(d->sigint, NULL);
}

enum daemon_status daemon_create(const struct daemon_settings *settings,
				 const struct daemon_dialect *dialect,
				 struct daemon **out, struct base_error *err)
{
	struct daemon *d = base_alloc(sizeof(*d));
	struct node *node = &d->node;
	enum daemon_status status;

	node->settings = settings;
	node->dialect = dialect;
	/*
	 * SIGHUP is ignored while its handler is not installed, during start
	 * and shutdown; by default it would end the process.
	 */
	signal(SIGHUP, SIG_IGN);
	if (sodium_init() < 0) {
		base_error_set(err, "libsodium cannot be initialised");
		free(d);
		return DAEMON_ERR_SYSTEM;
	}
	create_state(node);
	status = create_interfaces(d, err);
	if (status != DAEMON_OK) {
		daemon_destroy(d);
		return status;
	}
	add_signals(d);
	node->inbox = base_mailbox_create();
	d->inbox_event = event_new(node->base, base_mailbox_fd(node->inbox),
				   EV_READ | EV_PERSIST, on_inbox, node);
	event_add(d->inbox_event, NULL);
	log_start(d);
	node->control = control_create(settings, dialect, node->inbox,
				       node->log, node->counters, err);
	if (!node->control) {
		daemon_destroy(d);
		return DAEMON_ERR_SYSTEM;
	}
	*out = d;
	return DAEMON_OK;
}

void daemon_run(struct daemon *daemon)
{
	struct base_log_line line;

	event_base_dispatch(daemon->node.base);
	line = base_log_begin(daemon->node.log, BASE_LOG_INFO, "stopped");
	base_log_end(&line);
}

static void discard_message(void *ctx, void *message)
{
	(void)ctx;
	data_message_free(message);
}

static void free_event(struct event *event)
{
	if (event)
		event_free(event);
}

void daemon_destroy(struct daemon *daemon)
{
	struct node *node = &daemon->node;

	control_destroy(node->control);
	drain_destroy(daemon->drain);
	entry_destroy(node->entry);
	guard_destroy(node->guard);
	quarantine_destroy(node->quarantine);
	claims_destroy(node->claims);
	rate_limiter_destroy(node->rate_limiter);
	membership_destroy(node->membership);
	seeds_destroy(node->seeds);
	vm_list_destroy(node->vm_list);
	admin_destroy(node->admin);
	onward_destroy(node->onward);
	http_server_destroy(node->callers);
	http_request_budget_destroy(node->request_budget);
	peer_transport_destroy(node->transport);
	free_event(daemon->inbox_event);
	free_event(daemon->sigterm);
	free_event(daemon->sigint);
	free_event(daemon->sighup);
	free_event(daemon->log_timer);
	free_event(node->resume_event);
	base_mailbox_destroy(node->inbox, discard_message, NULL);
	config_snapshot_unref(node->snapshot);
	publication_unref(node->publication);
	routing_table_destroy(node->routing);
	overload_throttle_destroy(node->throttle);
	overload_graph_destroy(node->graph);
	roster_destroy(node->roster);
	spans_destroy(node->spans);
	base_buf_release(&node->last_refused);
	base_buf_release(&node->last_conflict);
	metrics_destroy(node->metrics);
	base_counters_destroy(node->counters);
	base_log_destroy(node->log);
	event_base_free(node->base);
	free(daemon);
}
