/* The control task: platform watches, candidates and activation. */
#include "control.h"
#include "candidate.h"
#include "registry_task.h"
#include "watch.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <pthread.h>
#include <string.h>

#define TICK_US (100 * BASE_MS_US)

struct control {
	struct event_base *base;
	struct base_mailbox *inbox;
	struct base_mailbox *outbox;
	struct base_log *log;
	struct base_counters *counters;
	/*
	 * NULL on a platform without a registry. On one with a registry, the
	 * fields for published configurations below are unused.
	 */
	struct registry_task *registry;
	struct watch *manifest_watch;
	struct watch *vms_watch;
	struct watch_source *platform;
	struct event *inbox_event;
	struct event *tick;
	struct candidate *candidate;
	struct publication *active;
	struct base_digest refused_digest;
	/* Time of the query to peers about the first candidate; 0 before. */
	int64_t peers_queried_at;
	bool relay;
	/* Time of the last version report of a peer. */
	int64_t peer_reported_at;
	bool platform_up;
	pthread_t thread;
};

static void post_message(struct control *c, struct data_message *msg)
{
	base_mailbox_post(c->outbox, msg);
}

static struct data_message *new_message(enum data_message_type type)
{
	struct data_message *msg = base_alloc(sizeof(*msg));

	msg->type = type;
	return msg;
}

static void count_event(struct control *c, const char *name)
{
	base_counter_add(base_counters_get(c->counters, name), 1);
}

static void report_conflict(struct control *c, int64_t version,
			    const struct base_digest *loser)
{
	struct data_message *msg = new_message(DATA_CONFLICT);

	msg->version = version;
	msg->digest = *loser;
	post_message(c, msg);
}

static int64_t active_version(const struct control *c)
{
	return c->active ? c->active->version : 0;
}

static void drop_candidate(struct control *c)
{
	candidate_destroy(c->candidate);
	c->candidate = NULL;
}

static void activate(struct control *c)
{
	struct data_message *msg = new_message(DATA_ACTIVATED);

	publication_unref(c->active);
	c->active = publication_ref(candidate_publication(c->candidate));
	msg->snapshot = config_snapshot_ref(candidate_snapshot(c->candidate));
	msg->publication = publication_ref(c->active);
	msg->version = c->active->version;
	msg->digest = c->active->digest;
	post_message(c, msg);
	drop_candidate(c);
}

static void refuse_candidate(struct control *c, const char *reason)
{
	struct data_message *msg = new_message(DATA_REFUSED);

	c->refused_digest = *candidate_digest(c->candidate);
	msg->version = candidate_version(c->candidate);
	msg->digest = c->refused_digest;
	base_buf_addf(&msg->text, "%s", reason);
	post_message(c, msg);
	drop_candidate(c);
}

/*
 * Before its first activation, a daemon queries the daemons of the candidate's
 * roster: a configuration that is active at a peer takes precedence over one
 * that was only published.
 */
static bool is_waiting_for_peers(struct control *c, int64_t now)
{
	struct data_message *msg;

	if (c->active || candidate_from_peer(c->candidate) ||
	    !candidate_snapshot(c->candidate))
		return false;
	if (!c->peers_queried_at) {
		c->peers_queried_at = now;
		msg = new_message(DATA_CANDIDATE);
		msg->snapshot =
			config_snapshot_ref(candidate_snapshot(c->candidate));
		post_message(c, msg);
	}
	return now - c->peers_queried_at < CONTROL_SETTLE_US;
}

/* Requests missing parts of the candidate and activates it when ready. */
static void advance_candidate(struct control *c, int64_t now)
{
	struct base_error err = { "" };
	struct data_message *msg;
	char key[128];

	if (!c->candidate)
		return;
	while (candidate_next_missing(c->candidate, now, key, sizeof(key))) {
		if (!candidate_from_peer(c->candidate)) {
			watch_source_get(c->platform, key);
			continue;
		}
		msg = new_message(DATA_FETCH);
		base_buf_addf(&msg->text, "%s", key);
		post_message(c, msg);
	}
	if (is_waiting_for_peers(c, now))
		return;
	switch (candidate_advance(c->candidate, now, &err)) {
	case CANDIDATE_WAITING:
		break;
	case CANDIDATE_REFUSED:
		refuse_candidate(c, err.message);
		break;
	case CANDIDATE_REREAD:
		watch_source_get(c->platform, CONFIG_KEY_MANIFEST);
		break;
	case CANDIDATE_READY:
		activate(c);
		break;
	}
}

/* True when (version, digest) takes precedence over the active version. */
static bool supersedes(const struct control *c, int64_t version,
		       const struct base_digest *digest, bool active_elsewhere)
{
	if (version != active_version(c))
		return version > active_version(c);
	/*
	 * Both sides of a network partition activated the same version with
	 * different content: the greater hash wins.
	 */
	return active_elsewhere && c->active &&
	       memcmp(digest->bytes, c->active->digest.bytes,
		      sizeof(digest->bytes)) > 0;
}

static bool is_known(const struct control *c, const struct base_digest *digest)
{
	return (c->active && base_digest_equal(&c->active->digest, digest)) ||
	       base_digest_equal(&c->refused_digest, digest);
}

static void handle_manifest(struct control *c, struct base_str text,
			    bool from_peer, int64_t now)
{
	struct base_digest digest = base_digest_of(text);
	struct base_error err = { "" };
	struct candidate *candidate;

	if (c->candidate &&
	    base_digest_equal(candidate_digest(c->candidate), &digest)) {
		candidate_confirm(c->candidate, now);
		advance_candidate(c, now);
		return;
	}
	if (is_known(c, &digest))
		return;
	candidate = candidate_create(text, from_peer, c->active, now, &err);
	if (!candidate) {
		struct data_message *msg = new_message(DATA_REFUSED);

		c->refused_digest = digest;
		msg->digest = digest;
		base_buf_addf(&msg->text, "%s", err.message);
		post_message(c, msg);
		return;
	}
	if (!supersedes(c, candidate_version(candidate), &digest, from_peer)) {
		if (candidate_version(candidate) == active_version(c))
			report_conflict(c, active_version(c), &digest);
		else
			count_event(c, "config_stale_reads");
		c->refused_digest = digest;
		candidate_destroy(candidate);
		return;
	}
	if (c->candidate && !from_peer && candidate_from_peer(c->candidate) &&
	    candidate_version(c->candidate) >= candidate_version(candidate)) {
		/* The version active at a peer takes precedence. */
		report_conflict(c, candidate_version(candidate), &digest);
		candidate_destroy(candidate);
		return;
	}
	if (c->candidate &&
	    candidate_version(c->candidate) == candidate_version(candidate))
		report_conflict(c, candidate_version(candidate),
				candidate_digest(c->candidate));
	drop_candidate(c);
	c->candidate = candidate;
	advance_candidate(c, now);
}

static void handle_vm_list(struct control *c, struct base_str value,
			   bool from_platform)
{
	struct data_message *msg = new_message(DATA_VM_LIST);
	struct base_error err = { "" };

	msg->vms = config_vm_list_parse(value, &err);
	if (!msg->vms) {
		count_event(c, "vm_list_malformed");
		data_message_free(msg);
		return;
	}
	if (from_platform)
		base_buf_add_str(&msg->text, value);
	post_message(c, msg);
}

static void on_platform_value(void *ctx, const char *key, bool found,
			      struct base_str value)
{
	struct control *c = ctx;
	int64_t now = base_now_us();

	if (!strcmp(key, CONFIG_KEY_VMS)) {
		if (found)
			handle_vm_list(c, value, true);
	} else if (!strcmp(key, CONFIG_KEY_MANIFEST)) {
		if (found)
			handle_manifest(c, value, false, now);
	} else if (c->candidate) {
		if (found)
			candidate_add_part(c->candidate, value);
		advance_candidate(c, now);
	}
}

static void on_platform_state(void *ctx, bool up)
{
	struct control *c = ctx;
	struct data_message *msg;

	if (c->candidate && !up)
		candidate_platform_down(c->candidate);
	if (c->platform_up == up)
		return;
	c->platform_up = up;
	msg = new_message(DATA_PLATFORM_STATE);
	msg->up = up;
	post_message(c, msg);
}

static void on_peer_version(struct control *c, struct control_message *m,
			    int64_t now)
{
	struct data_message *msg;

	c->peer_reported_at = now;
	if (is_known(c, &m->digest) ||
	    !supersedes(c, m->version, &m->digest, true)) {
		if (c->active && m->version == c->active->version &&
		    !base_digest_equal(&m->digest, &c->active->digest) &&
		    !base_digest_equal(&m->digest, &c->refused_digest)) {
			c->refused_digest = m->digest;
			report_conflict(c, m->version, &m->digest);
		}
		return;
	}
	if (c->candidate && candidate_version(c->candidate) == m->version) {
		if (base_digest_equal(candidate_digest(c->candidate),
				      &m->digest)) {
			/* Active at a peer: the settle time is skipped. */
			candidate_set_active_elsewhere(c->candidate);
			advance_candidate(c, now);
			return;
		}
		if (!candidate_from_peer(c->candidate)) {
			report_conflict(c, m->version,
					candidate_digest(c->candidate));
			drop_candidate(c);
		}
	}
	if (c->candidate && candidate_version(c->candidate) > m->version)
		return;
	msg = new_message(DATA_FETCH);
	base_buf_addf(&msg->text, CONFIG_KEY_MANIFEST);
	post_message(c, msg);
}

static void on_peer_value(struct control *c, struct control_message *m,
			  int64_t now)
{
	struct base_str key = base_buf_str(&m->key);

	if (!m->found)
		return;
	if (base_str_equal(key, BASE_STR(CONFIG_KEY_VMS))) {
		handle_vm_list(c, base_buf_str(&m->value), false);
	} else if (base_str_equal(key, BASE_STR(CONFIG_KEY_MANIFEST))) {
		handle_manifest(c, base_buf_str(&m->value), true, now);
	} else if (c->candidate) {
		candidate_add_part(c->candidate, base_buf_str(&m->value));
		advance_candidate(c, now);
	}
}

/*
 * Only relays watch the platform. Other daemons do so while they have no active
 * configuration, or when no peer has reported a version for
 * CONTROL_PEER_REPORT_TIMEOUT_US.
 */
static void update_watches(struct control *c, int64_t now)
{
	bool watching =
		c->relay || !c->active ||
		now - c->peer_reported_at > CONTROL_PEER_REPORT_TIMEOUT_US;

	watch_enable(c->manifest_watch, watching);
	watch_enable(c->vms_watch, watching);
}

static void on_message(void *ctx, void *message)
{
	struct control *c = ctx;
	struct control_message *m = message;
	int64_t now = base_now_us();

	switch (m->type) {
	case CONTROL_PEER_VERSION:
		if (c->registry)
			registry_task_on_peer_version(c->registry, m->version,
						      now);
		else
			on_peer_version(c, m, now);
		break;
	case CONTROL_PEER_ANNOUNCED:
		if (c->registry)
			registry_task_on_announcement(c->registry, m, now);
		break;
	case CONTROL_PEER_VALUE:
		if (c->registry)
			registry_task_on_peer_value(c->registry, m, now);
		else
			on_peer_value(c, m, now);
		break;
	case CONTROL_ROLE:
		c->relay = m->relay;
		if (c->registry)
			registry_task_set_role(c->registry, m->relay, now);
		else
			update_watches(c, now);
		break;
	case CONTROL_STOP:
		event_base_loopbreak(c->base);
		break;
	}
	control_message_free(m);
}

static void on_inbox(evutil_socket_t fd, short events, void *arg)
{
	struct control *c = arg;

	base_mailbox_drain(c->inbox, on_message, c);
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	struct control *c = arg;
	int64_t now = base_now_us();

	if (c->registry) {
		registry_task_tick(c->registry, now);
		return;
	}
	update_watches(c, now);
	advance_candidate(c, now);
}

static void *run(void *arg)
{
	struct control *c = arg;

	event_base_dispatch(c->base);
	return NULL;
}

static void release(struct control *c)
{
	drop_candidate(c);
	publication_unref(c->active);
	watch_destroy(c->manifest_watch);
	watch_destroy(c->vms_watch);
	watch_source_destroy(c->platform);
	registry_task_destroy(c->registry);
	if (c->inbox_event)
		event_free(c->inbox_event);
	if (c->tick)
		event_free(c->tick);
	base_mailbox_destroy(c->inbox, NULL, NULL);
	event_base_free(c->base);
	free(c);
}

static bool connect_platform(struct control *c,
			     const struct daemon_settings *settings,
			     const struct daemon_dialect *dialect,
			     struct base_error *err)
{
	struct registry_task_settings registry = {
		.platform = settings->platform,
		.leave_us = settings->leave_us,
		.beat_us = settings->beat_us,
		.peer_listen = settings->peer_listen,
		.region = settings->region,
		.codec = dialect->registry,
		.outbox = c->outbox,
		.log = c->log,
		.counters = c->counters,
	};

	if (dialect->registry) {
		c->registry = registry_task_create(c->base, &registry, err);
		return c->registry != NULL;
	}
	c->platform = watch_source_create(c->base, settings->platform,
					  on_platform_value, on_platform_state,
					  c, err);
	if (!c->platform)
		return false;
	c->manifest_watch = watch_create(c->platform, CONFIG_KEY_MANIFEST);
	c->vms_watch = watch_create(c->platform, CONFIG_KEY_VMS);
	update_watches(c, base_now_us());
	return true;
}

struct control *control_create(const struct daemon_settings *settings,
			       const struct daemon_dialect *dialect,
			       struct base_mailbox *outbox,
			       struct base_log *log,
			       struct base_counters *counters,
			       struct base_error *err)
{
	struct control *c = base_alloc(sizeof(*c));

	c->base = event_base_new();
	c->outbox = outbox;
	c->log = log;
	c->counters = counters;
	c->inbox = base_mailbox_create();
	if (!connect_platform(c, settings, dialect, err)) {
		release(c);
		return NULL;
	}
	c->inbox_event = event_new(c->base, base_mailbox_fd(c->inbox),
				   EV_READ | EV_PERSIST, on_inbox, c);
	event_add(c->inbox_event, NULL);
	c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
	event_add(c->tick, &(struct timeval){ .tv_usec = TICK_US });
	if (pthread_create(&c->thread, NULL, run, c)) {
		base_error_set(err, "cannot start the control task");
		release(c);
		return NULL;
	}
	return c;
}

void control_post(struct control *control, struct control_message *msg)
{
	base_mailbox_post(control->inbox, msg);
}

void control_destroy(struct control *control)
{
	struct control_message *msg;

	if (!control)
		return;
	msg = base_alloc(sizeof(*msg));
	msg->type = CONTROL_STOP;
	control_post(control, msg);
	pthread_join(control->thread, NULL);
	release(control);
}
