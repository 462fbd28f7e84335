/* The control task's work on a platform with a registry. */
#include "registry_task.h"
#include "registry_client.h"
#include "registry_evidence.h"
#include "registry_reader.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * When a peer reports a newer revision, the own watch gets this time to deliver
 * it before the peer's mirror is fetched.
 */
#define PEER_FETCH_DELAY_US (250 * BASE_MS_US)
/* Interval between fetches of a peer's mirror. */
#define PEER_FETCH_RETRY_US (400 * BASE_MS_US)
/* Interval between fetches of a relay's changes. */
#define CHANGES_FETCH_INTERVAL_US (80 * BASE_MS_US)

struct registry_task {
	struct registry *registry;
	struct registry_client *client;
	struct base_mailbox *outbox;
	struct base_log *log;
	struct registry_reader reader;
	/* By calls of this daemon; a relay tells others of it. */
	struct registry_evidence own;
	/* The same and what relays tell. */
	struct registry_evidence known;
	/* Whether this daemon reads the platform, by the last decision. */
	bool reading;
	/* Time of the last answer that the data task was told of. */
	int64_t told_answered_at;
	int64_t changes_fetched_at;
	/* Newest revision that a peer reported. */
	int64_t peer_revision;
	/* Time since which the own mirror is behind that revision. */
	int64_t behind_since;
	int64_t fetched_at;
	/* The last manifest of a peer, kept while its parts are fetched. */
	struct base_buf manifest;
	int64_t config_version;
};

static struct data_message *new_message(enum data_message_type type)
{
	struct data_message *msg = base_alloc(sizeof(*msg));

	msg->type = type;
	return msg;
}

static void log_config(struct registry_task *t)
{
	int64_t version = registry_config_version(t->registry);
	struct base_log_line line;

	if (version == t->config_version)
		return;
	t->config_version = version;
	line = base_log_begin(t->log, BASE_LOG_INFO, "operator_config_taken");
	base_log_int(&line, "config_version", version);
	base_log_int(&line, "revision", registry_revision(t->registry));
	base_log_end(&line);
}

static void activate(struct registry_task *t)
{
	struct data_message *msg;
	struct publication *pub;

	if (!registry_test_and_clear_changed(t->registry))
		return;
	pub = registry_publish(t->registry);
	msg = new_message(DATA_ACTIVATED);
	msg->publication = pub;
	msg->version = pub->version;
	msg->digest = pub->digest;
	msg->snapshot = registry_snapshot(t->registry, &pub->digest);
	if (!msg->snapshot) {
		data_message_free(msg);
		return;
	}
	log_config(t);
	base_mailbox_post(t->outbox, msg);
}

static void on_change(void *ctx)
{
	activate(ctx);
}

static void on_state(void *ctx, bool up)
{
	struct registry_task *t = ctx;
	struct data_message *msg = new_message(DATA_PLATFORM_STATE);

	msg->up = up;
	base_mailbox_post(t->outbox, msg);
}

static void log_outage(struct registry_task *t, int64_t now)
{
	struct base_log_line line = base_log_begin(
		t->log, BASE_LOG_INFO,
		t->known.outage_ended_at ? "platform_outage_ended"
					 : "platform_outage_refuted");

	if (t->known.outage_ended_at)
		base_log_int(&line, "ms_ago",
			     (now - t->known.outage_ended_at) / BASE_MS_US);
	base_log_int(&line, "steady_ms",
		     (now - t->known.steady_since) / BASE_MS_US);
	base_log_end(&line);
}

static void add_evidence(struct registry_task *t, int64_t since, int64_t at,
			 int64_t now)
{
	if (!registry_evidence_add(&t->known, since, at))
		return;
	log_outage(t, now);
	registry_platform_reconnected(t->registry, t->known.outage_ended_at);
}

static void on_answer(void *ctx, int64_t since, int64_t at)
{
	struct registry_task *t = ctx;

	registry_evidence_add(&t->own, since, at);
	add_evidence(t, since, at, at);
}

static void on_failure(void *ctx)
{
	struct registry_task *t = ctx;

	registry_evidence_on_failure(&t->own);
	registry_evidence_on_failure(&t->known);
}

/* Tells the data task, which announces it, when a relay got an answer. */
static void tell_evidence(struct registry_task *t)
{
	struct data_message *msg;

	if (!t->reader.is_relay || t->own.answered_at == t->told_answered_at)
		return;
	t->told_answered_at = t->own.answered_at;
	msg = new_message(DATA_PLATFORM_EVIDENCE);
	msg->current_at = registry_client_current_at(t->client);
	msg->steady_since = t->own.steady_since;
	base_mailbox_post(t->outbox, msg);
}

static void fetch(struct registry_task *t, const char *key)
{
	struct data_message *msg = new_message(DATA_FETCH);

	base_buf_addf(&msg->text, "%s", key);
	base_mailbox_post(t->outbox, msg);
}

void registry_task_on_peer_version(struct registry_task *t, int64_t revision,
				   int64_t now)
{
	if (revision <= registry_revision(t->registry) ||
	    revision <= t->peer_revision)
		return;
	if (t->peer_revision <= registry_revision(t->registry))
		t->behind_since = now;
	t->peer_revision = revision;
}

static void log_reading(struct registry_task *t, int64_t now)
{
	struct base_log_line line = base_log_begin(
		t->log, BASE_LOG_INFO,
		t->reading ? "registry_reading" : "registry_reading_ended");

	base_log_int(&line, "relay", t->reader.is_relay);
	base_log_int(&line, "current_ms_ago",
		     (now - t->reader.confirmed_at) / BASE_MS_US);
	base_log_int(&line, "revision", registry_revision(t->registry));
	base_log_int(&line, "announced", t->reader.announced_revision);
	base_log_end(&line);
}

static void update_reading(struct registry_task *t, int64_t now)
{
	int64_t revision = registry_revision(t->registry);
	bool reading;

	registry_reader_on_answer(&t->reader,
				  registry_client_current_at(t->client));
	reading = registry_reader_must_read(&t->reader, revision, now);
	registry_client_set_reading(t->client, reading);
	if (reading == t->reading)
		return;
	t->reading = reading;
	log_reading(t, now);
}

void registry_task_set_role(struct registry_task *t, bool relay, int64_t now)
{
	t->reader.is_relay = relay;
	registry_client_set_relay(t->client, relay);
	update_reading(t, now);
}

static bool is_behind_announcement(const struct registry_task *t)
{
	return t->reader.announced_revision > registry_revision(t->registry);
}

/* Fetches the changes that lead from the mirror to the announced revision. */
static void fetch_changes(struct registry_task *t, int64_t now)
{
	char key[sizeof(PUBLICATION_KEY_CHANGES_PREFIX) + 24];

	if (t->reader.is_relay || !is_behind_announcement(t) ||
	    now - t->changes_fetched_at < CHANGES_FETCH_INTERVAL_US)
		return;
	t->changes_fetched_at = now;
	snprintf(key, sizeof(key), "%s%" PRId64, PUBLICATION_KEY_CHANGES_PREFIX,
		 registry_revision(t->registry));
	fetch(t, key);
}

void registry_task_on_announcement(struct registry_task *t,
				   const struct control_message *m, int64_t now)
{
	registry_reader_on_announcement(&t->reader, m->version,
					registry_revision(t->registry),
					m->current_at, now);
	add_evidence(t, m->steady_since, m->current_at, now);
	if (!t->reader.is_relay &&
	    registry_reader_is_confirmed(&t->reader, now))
		registry_client_confirm(t->client);
	registry_task_on_peer_version(t, m->version, now);
	update_reading(t, now);
	fetch_changes(t, now);
}

static void log_taken_from_peer(struct registry_task *t)
{
	struct base_log_line line = base_log_begin(t->log, BASE_LOG_INFO,
						   "registry_taken_from_peer");

	base_log_int(&line, "revision", registry_revision(t->registry));
	base_log_end(&line);
}

/*
 * A peer's changes may come before any word of the platform's return. Entries
 * that they remove may have expired; relays tell later when the outage ended.
 */
static void prepare_for_peer_changes(struct registry_task *t, int64_t now)
{
	if (registry_evidence_is_old(&t->known, now))
		add_evidence(t, now, now, now);
}

static void apply_manifest(struct registry_task *t, int64_t now)
{
	char missing[2 * BASE_DIGEST_SIZE + 1];
	char key[sizeof(CONFIG_KEY_PART_PREFIX) + sizeof(missing)];

	if (registry_apply_manifest(t->registry, base_buf_str(&t->manifest),
				    missing, now)) {
		log_taken_from_peer(t);
		activate(t);
	} else if (missing[0]) {
		snprintf(key, sizeof(key), "%s%s", CONFIG_KEY_PART_PREFIX,
			 missing);
		fetch(t, key);
	}
}

/* A peer that does not keep the changes any more sends its whole mirror. */
static void apply_changes(struct registry_task *t,
			  const struct control_message *m, int64_t now)
{
	if (m->found &&
	    registry_apply_changes(t->registry, base_buf_str(&m->value), now))
		activate(t);
	else if (is_behind_announcement(t))
		fetch(t, CONFIG_KEY_MANIFEST);
}

void registry_task_on_peer_value(struct registry_task *t,
				 const struct control_message *m, int64_t now)
{
	struct base_str key = base_buf_str(&m->key);

	prepare_for_peer_changes(t, now);
	if (base_str_starts_with(key,
				 BASE_STR(PUBLICATION_KEY_CHANGES_PREFIX))) {
		apply_changes(t, m, now);
		return;
	}
	if (!m->found)
		return;
	if (base_str_equal(key, BASE_STR(CONFIG_KEY_MANIFEST))) {
		base_buf_reset(&t->manifest);
		base_buf_add_str(&t->manifest, base_buf_str(&m->value));
	} else {
		registry_add_part(t->registry, base_buf_str(&m->value));
	}
	apply_manifest(t, now);
}

void registry_task_tick(struct registry_task *t, int64_t now)
{
	registry_tick(t->registry, now);
	activate(t);
	tell_evidence(t);
	update_reading(t, now);
	fetch_changes(t, now);
	if (t->peer_revision <= registry_revision(t->registry) ||
	    now - t->behind_since < PEER_FETCH_DELAY_US ||
	    now - t->fetched_at < PEER_FETCH_RETRY_US)
		return;
	t->fetched_at = now;
	registry_client_restart_watch(t->client, now);
	fetch(t, CONFIG_KEY_MANIFEST);
}

static uint16_t port_of(const char *address)
{
	const char *colon = strrchr(address, ':');

	return (uint16_t)(colon ? strtoul(colon + 1, NULL, 10) : 0);
}

struct registry_task *
registry_task_create(struct event_base *base,
		     const struct registry_task_settings *settings,
		     struct base_error *err)
{
	struct registry_task *t = base_alloc(sizeof(*t));
	struct registry_view_settings view = {
		.peer_port = port_of(settings->peer_listen),
		.region = base_str_from(settings->region),
	};
	struct registry_client_settings client = {
		.address = settings->platform,
		.codec = settings->codec,
		.log = settings->log,
		.counters = settings->counters,
		.on_change = on_change,
		.on_state = on_state,
		.on_answer = on_answer,
		.on_failure = on_failure,
		.ctx = t,
	};

	t->outbox = settings->outbox;
	t->log = settings->log;
	registry_evidence_init(&t->own, settings->beat_us);
	registry_evidence_init(&t->known, settings->beat_us);
	t->registry = registry_create(settings->codec, &view,
				      settings->leave_us, settings->log);
	client.registry = t->registry;
	t->client = registry_client_create(base, &client, err);
	if (t->client)
		return t;
	registry_task_destroy(t);
	return NULL;
}

void registry_task_destroy(struct registry_task *t)
{
	if (!t)
		return;
	registry_client_destroy(t->client);
	registry_destroy(t->registry);
	base_buf_release(&t->manifest);
	free(t);
}
