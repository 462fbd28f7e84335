/* HTTP client of a platform's registry: range reads, watches and back-off. */
#include "registry_client.h"
#include "registry_read.h"
#include "registry_restore.h"

#include <event2/event.h>

/*
 * Wait time of a watch. A long poll costs the platform as much as any other
 * call, so it waits long. A change that a peer reports first does not wait for
 * its end, see registry_client_restart_watch().
 */
#define WATCH_WAIT_MS 6000
#define WATCH_WAIT_JITTER_MS 3000
/* Longest delay of the platform's answer after the wait time of a watch. */
#define WATCH_ANSWER_SLACK_US (1500 * BASE_MS_US)
#define READ_TIMEOUT_US (2 * BASE_SECOND_US)
/* Back-off after a failed call, doubled up to the maximum, with jitter. */
#define RETRY_MIN_US (150 * BASE_MS_US)
#define RETRY_MAX_US (1200 * BASE_MS_US)
/*
 * Delay of the watch that follows a change, so that it reads several changes in
 * one call. A change after a time without any is read at once.
 */
#define CHANGE_BATCH_US (250 * BASE_MS_US)
/* Shortest time from the start of a watch or the last restart to a restart. */
#define WATCH_RESTART_INTERVAL_US (500 * BASE_MS_US)
/*
 * A connection may go silent for good, and a watch on it looks like one without
 * changes until its timeout. So a reader checks on other connections whether
 * there are changes that its watch does not deliver. A relay does so this
 * often, as its failure domain goes by its evidence of the platform's answers,
 * and all other readers together do.
 */
#define RELAY_PROBE_INTERVAL_US (700 * BASE_MS_US)
#define FLEET_PROBE_INTERVAL_US (500 * BASE_MS_US)
#define PROBE_WAIT_MS 1
#define MAX_ANSWER_BYTES (4 << 20)
#define MAX_CONNECTIONS 4

struct registry_client {
	struct event_base *base;
	struct registry_client_settings settings;
	struct http_client *http;
	struct http_call *call;
	struct event *timer;
	struct http_call *probe;
	struct event *probe_timer;
	struct base_rand rnd;
	struct registry_read *read;
	/* Revision after which the next watch waits for changes. */
	int64_t revision;
	/* Era that the last answer stated; 0 before any. */
	int64_t era;
	int64_t backoff_us;
	int64_t call_started_at;
	/* Wait time of the watch in flight. */
	int64_t watch_wait_us;
	int64_t probe_started_at;
	int64_t failed_at;
	int64_t read_started_at;
	/* See registry_client_current_at(). */
	int64_t current_at;
	int64_t watch_restarted_at;
	bool is_relay;
	/* Watches are started; reads of all items always are. */
	bool reading;
	/* All items were read; the next calls are watches. */
	bool watching;
	bool up;
	/* The next call opens a connection, as idle ones may be silent. */
	bool needs_connection;
};

static void start_call(struct registry_client *c);

static void count(struct registry_client *c, const char *name)
{
	base_counter_add(base_counters_get(c->settings.counters, name), 1);
}

static void schedule_call(struct registry_client *c, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(c->timer, &tv);
}

static void set_state(struct registry_client *c, bool up, const char *reason)
{
	struct base_log_line line;

	if (up)
		c->backoff_us = RETRY_MIN_US;
	if (up == c->up)
		return;
	c->up = up;
	line = base_log_begin(c->settings.log,
			      up ? BASE_LOG_INFO : BASE_LOG_WARN,
			      up ? "platform_regained" : "platform_lost");
	base_log_cstr(&line, "why", reason);
	base_log_int(&line, "revision",
		     registry_revision(c->settings.registry));
	base_log_end(&line);
	c->settings.on_state(c->settings.ctx, up);
}

/*
 * The platform held a watch from its start to its answer, so it answered
 * throughout, unless other calls have failed meanwhile.
 */
static void record_answer(struct registry_client *c, int64_t started_at,
			  int64_t now)
{
	int64_t since = c->failed_at >= started_at ? now : started_at;

	c->settings.on_answer(c->settings.ctx, since, now);
}

static void record_failure(struct registry_client *c, int64_t now)
{
	c->failed_at = now;
	c->settings.on_failure(c->settings.ctx);
}

static void record_current(struct registry_client *c, int64_t at)
{
	if (at > c->current_at)
		c->current_at = at;
}

static void handle_failure(struct registry_client *c, const char *reason,
			   int64_t now)
{
	int64_t wait = c->backoff_us / 2 + (int64_t)(base_rand_unit(&c->rnd) *
						     (double)c->backoff_us);

	count(c, "registry_calls_failed");
	record_failure(c, now);
	set_state(c, false, reason);
	schedule_call(c, wait);
	c->backoff_us *= 2;
	if (c->backoff_us > RETRY_MAX_US)
		c->backoff_us = RETRY_MAX_US;
}

static void end_read(struct registry_client *c, int64_t now)
{
	c->revision = registry_read_revision(c->read);
	registry_read_apply(c->read, c->settings.registry, c->era, now);
	record_current(c, c->read_started_at);
	c->watching = true;
	c->settings.on_change(c->settings.ctx);
	schedule_call(c, CHANGE_BATCH_US);
}

static void on_range(struct registry_client *c,
		     const struct registry_page *page, int64_t now)
{
	struct base_error err = { "" };

	switch (registry_read_add_page(c->read, page, &err)) {
	case REGISTRY_READ_MORE:
		start_call(c);
		return;
	case REGISTRY_READ_COMPLETE:
		end_read(c, now);
		return;
	case REGISTRY_READ_INVALID:
		registry_read_restart(c->read);
		handle_failure(c, err.message, now);
		return;
	}
}

/* Turns the revisions of a page into those of the mirror. */
static void add_era(const struct registry_client *c, struct registry_page *page)
{
	size_t i;

	for (i = 0; i < page->count; i++) {
		struct registry_item *item = &page->items[i];

		item->revision = registry_era_revision(c->era, item->revision);
		item->created = registry_era_revision(c->era, item->created);
	}
}

/*
 * Time at which the mirror had all changes, by an answer to a watch. When there
 * were changes, or the answer came early, it may have been made as soon as the
 * watch had started.
 */
static int64_t watch_current_at(const struct registry_client *c,
				size_t change_count, int64_t now)
{
	int64_t waited_until = c->call_started_at + c->watch_wait_us;

	return change_count || now < waited_until ? c->call_started_at
						  : waited_until;
}

static void on_events(struct registry_client *c, struct registry_page *page,
		      int64_t now)
{
	if (page->lists_items) {
		handle_failure(c, "the answer to a watch has no changes", now);
		return;
	}
	add_era(c, page);
	registry_apply_events(c->settings.registry, page->items, page->count,
			      registry_era_revision(c->era, page->revision),
			      now);
	if (page->revision > c->revision)
		c->revision = page->revision;
	record_current(c, watch_current_at(c, page->count, now));
	if (page->count)
		c->settings.on_change(c->settings.ctx);
	schedule_call(c, page->count ? CHANGE_BATCH_US : 0);
}

/*
 * The answer to a watch that was started before the daemon stopped reading is
 * used, but no further watch follows.
 */
static bool is_due(const struct registry_client *c)
{
	return !c->call && (c->reading || !c->watching);
}

static const char *failure_reason(enum http_result result,
				  const struct http_response *answer)
{
	if (result == HTTP_RESULT_TIMED_OUT)
		return "call timed out";
	if (result == HTTP_RESULT_INVALID)
		return "the answer is not valid HTTP";
	if (result != HTTP_RESULT_RESPONSE)
		return "connection failed";
	return answer->status == 429 ? "rate limit of the platform exceeded"
				     : "refused";
}

static void log_malformed_items(struct registry_client *c,
				const struct registry_page *page)
{
	struct base_log_line line = base_log_begin(
		c->settings.log, BASE_LOG_WARN, "registry_items_unreadable");

	count(c, "registry_items_unreadable");
	base_log_int(&line, "count", (int64_t)page->malformed_count);
	base_log_int(&line, "revision", page->revision);
	base_log_end(&line);
}

static void log_era(struct registry_client *c, int64_t era)
{
	struct base_log_line line = base_log_begin(
		c->settings.log, BASE_LOG_WARN, "platform_restored_from_copy");

	count(c, "registry_restores");
	base_log_int(&line, "era", era);
	base_log_int(&line, "former_era", c->era);
	base_log_int(&line, "revision",
		     registry_revision(c->settings.registry));
	base_log_end(&line);
}

/*
 * Sets @p era to the one that an answer states; leaves it as it is when the
 * answer states none. Returns false when it cannot be read.
 */
static bool read_era(const struct registry_client *c,
		     const struct http_response *answer, int64_t *era)
{
	const char *name = c->settings.codec->era_header;
	struct base_str text = BASE_STR_NONE;

	if (name)
		text = http_headers_find(&answer->headers, base_str_from(name));
	return !text.ptr || (base_str_to_i64(text, era) && *era >= 0 &&
			     *era <= REGISTRY_ERA_MAX);
}

/*
 * Takes the era that an answer states. Returns false when the answer must not
 * be used, as it belongs to another era than the calls before it.
 */
static bool check_era(struct registry_client *c,
		      const struct http_response *answer, int64_t now)
{
	int64_t era = c->era;
	bool is_first_page = !c->watching && registry_read_is_new(c->read);

	if (!read_era(c, answer, &era)) {
		handle_failure(c, "era cannot be read", now);
		return false;
	}
	/* Answers of failing calls may lack it. */
	if (era == c->era)
		return true;
	if (era < c->era) {
		handle_failure(c, "answer of a former era", now);
		return false;
	}
	if (c->era)
		log_era(c, era);
	c->era = era;
	c->watching = false;
	registry_read_restart(c->read);
	if (is_first_page || answer->status != 200)
		return true;
	/* All items are read again, as the revisions known do not count. */
	set_state(c, true, "restored");
	schedule_call(c, 0);
	return false;
}

static void on_answer(void *ctx, enum http_result result,
		      const struct http_response *answer)
{
	struct registry_client *c = ctx;
	struct registry_page page;
	struct base_error err = { "" };
	int64_t now = base_now_us();

	c->call = NULL;
	if (result == HTTP_RESULT_RESPONSE && !check_era(c, answer, now))
		return;
	if (result == HTTP_RESULT_RESPONSE &&
	    c->settings.codec->is_revision_compacted(answer->status)) {
		count(c, "registry_history_gone");
		c->watching = false;
		schedule_call(c, 0);
		return;
	}
	if (result != HTTP_RESULT_RESPONSE || answer->status != 200) {
		handle_failure(c, failure_reason(result, answer), now);
		return;
	}
	if (!c->settings.codec->page_parse(answer->body, &page, &err)) {
		handle_failure(c, err.message, now);
		return;
	}
	record_answer(c, c->call_started_at, now);
	set_state(c, true, "answered");
	if (page.malformed_count)
		log_malformed_items(c, &page);
	if (c->watching)
		on_events(c, &page, now);
	else
		on_range(c, &page, now);
	c->settings.codec->page_release(&page);
}

/*
 * Revision after which a watch reads. Changes that came from a peer are not
 * read again.
 */
static int64_t watched_revision(const struct registry_client *c)
{
	int64_t mirrored = registry_revision(c->settings.registry);

	if (registry_era_of(mirrored) != c->era)
		return c->revision;
	mirrored -= registry_era_revision(c->era, 0);
	return mirrored > c->revision ? mirrored : c->revision;
}

static void start_call(struct registry_client *c)
{
	BASE_CLEANUP(base_buf_release) struct base_buf target = BASE_BUF_INIT;
	struct http_request request = { .method = BASE_STR("GET") };
	int64_t timeout = READ_TIMEOUT_US;
	int64_t wait_ms = WATCH_WAIT_MS;

	if (c->call)
		return;
	if (c->watching) {
		wait_ms += base_rand_below(&c->rnd, WATCH_WAIT_JITTER_MS);
		/* After a failure, a short wait detects recovery early. */
		if (!c->up)
			wait_ms = 1;
		c->watch_wait_us = wait_ms * BASE_MS_US;
		timeout = c->watch_wait_us + WATCH_ANSWER_SLACK_US;
		c->settings.codec->watch_target(watched_revision(c), wait_ms,
						&target);
	} else {
		c->settings.codec->range_target(registry_read_last_key(c->read),
						&target);
	}
	request.path = base_buf_str(&target);
	request.fresh_connection = c->needs_connection;
	c->needs_connection = false;
	count(c, "registry_calls");
	c->call_started_at = base_now_us();
	if (!c->watching && registry_read_is_new(c->read))
		c->read_started_at = c->call_started_at;
	c->call = http_client_send(c->http, &request, timeout, on_answer, c);
	if (!c->call)
		handle_failure(c, "no connection", c->call_started_at);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct registry_client *c = arg;

	if (is_due(c))
		start_call(c);
}

static void restart_watch(struct registry_client *c)
{
	http_call_cancel(c->call);
	c->call = NULL;
	start_call(c);
}

void registry_client_restart_watch(struct registry_client *c, int64_t now)
{
	if (!c->watching || !c->call || !c->up ||
	    now - c->call_started_at < WATCH_RESTART_INTERVAL_US ||
	    now - c->watch_restarted_at < WATCH_RESTART_INTERVAL_US)
		return;
	c->watch_restarted_at = now;
	count(c, "registry_watches_hurried");
	restart_watch(c);
}

void registry_client_set_reading(struct registry_client *c, bool reading)
{
	if (reading == c->reading)
		return;
	c->reading = reading;
	c->needs_connection = reading;
	if (reading && c->watching && c->call)
		restart_watch(c);
	else if (is_due(c) && !evtimer_pending(c->timer, NULL))
		schedule_call(c, 0);
}

static void schedule_probe(struct registry_client *c)
{
	size_t readers = registry_server_count(c->settings.registry);
	double us = c->is_relay ? (double)RELAY_PROBE_INTERVAL_US
				: (double)FLEET_PROBE_INTERVAL_US *
					  (double)(readers ? readers : 1);

	us *= c->is_relay ? 0.9 + 0.2 * base_rand_unit(&c->rnd)
			  : 0.75 + 0.5 * base_rand_unit(&c->rnd);
	event_add(c->probe_timer,
		  &(struct timeval){ .tv_sec = (int64_t)us / BASE_SECOND_US,
				     .tv_usec = (int64_t)us % BASE_SECOND_US });
}

void registry_client_set_relay(struct registry_client *c, bool relay)
{
	if (relay == c->is_relay)
		return;
	c->is_relay = relay;
	schedule_probe(c);
}

int64_t registry_client_current_at(const struct registry_client *c)
{
	return c->current_at;
}

void registry_client_confirm(struct registry_client *c)
{
	if (c->watching)
		set_state(c, true, "a relay reads it");
}

static void handle_probe_failure(struct registry_client *c, const char *reason,
				 int64_t now)
{
	struct base_log_line line = base_log_begin(
		c->settings.log, BASE_LOG_INFO, "registry_probe_failed");

	record_failure(c, now);
	count(c, "registry_probes_failed");
	base_log_cstr(&line, "why", reason);
	base_log_end(&line);
}

/*
 * Whether the answer to a probe shows changes after the watched revision. If
 * not, the mirror had all changes when the probe was sent.
 */
static bool shows_changes(struct registry_client *c,
			  const struct http_response *answer, int64_t now)
{
	int64_t era = c->era;
	struct registry_page page;
	struct base_error err = { "" };
	bool changes;

	if (!read_era(c, answer, &era)) {
		handle_probe_failure(c, "era cannot be read", now);
		return false;
	}
	if (era > c->era ||
	    c->settings.codec->is_revision_compacted(answer->status))
		return true;
	if (answer->status != 200) {
		handle_probe_failure(
			c, failure_reason(HTTP_RESULT_RESPONSE, answer), now);
		return false;
	}
	if (!c->settings.codec->page_parse(answer->body, &page, &err)) {
		handle_probe_failure(c, err.message, now);
		return false;
	}
	changes = page.count > 0;
	c->settings.codec->page_release(&page);
	record_answer(c, c->probe_started_at, now);
	if (!changes)
		record_current(c, c->probe_started_at);
	return changes;
}

static void log_watch_behind(struct registry_client *c)
{
	struct base_log_line line = base_log_begin(
		c->settings.log, BASE_LOG_INFO, "registry_watch_behind");

	base_log_int(&line, "revision",
		     registry_revision(c->settings.registry));
	base_log_int(&line, "waited_ms",
		     (base_now_us() - c->call_started_at) / BASE_MS_US);
	base_log_end(&line);
}

static void on_probe(void *ctx, enum http_result result,
		     const struct http_response *answer)
{
	struct registry_client *c = ctx;
	int64_t now = base_now_us();

	c->probe = NULL;
	if (result != HTTP_RESULT_RESPONSE) {
		handle_probe_failure(c, failure_reason(result, answer), now);
		return;
	}
	if (!c->watching || !shows_changes(c, answer, now) || !c->call)
		return;
	count(c, "registry_watches_behind");
	log_watch_behind(c);
	restart_watch(c);
}

static void on_probe_timer(evutil_socket_t fd, short events, void *arg)
{
	BASE_CLEANUP(base_buf_release) struct base_buf target = BASE_BUF_INIT;
	struct http_request request = { .method = BASE_STR("GET"),
					.fresh_connection = true };
	struct registry_client *c = arg;

	schedule_probe(c);
	if (!c->reading || !c->watching || !c->up || c->probe)
		return;
	c->settings.codec->watch_target(watched_revision(c), PROBE_WAIT_MS,
					&target);
	request.path = base_buf_str(&target);
	count(c, "registry_probes");
	c->probe_started_at = base_now_us();
	c->probe = http_client_send(c->http, &request, READ_TIMEOUT_US,
				    on_probe, c);
	if (!c->probe)
		handle_probe_failure(c, "no connection", c->probe_started_at);
}

struct registry_client *
registry_client_create(struct event_base *base,
		       const struct registry_client_settings *settings,
		       struct base_error *err)
{
	struct registry_client *c = base_alloc(sizeof(*c));
	struct http_client_settings http = {
		.address = base_str_from(settings->address),
		.max_connections = MAX_CONNECTIONS,
		.max_response_bytes = MAX_ANSWER_BYTES,
	};

	c->base = base;
	c->settings = *settings;
	c->backoff_us = RETRY_MIN_US;
	c->reading = true;
	base_rand_seed_system(&c->rnd);
	if (http_client_create(base, &http, &c->http, err)) {
		free(c);
		return NULL;
	}
	c->read = registry_read_create();
	c->timer = evtimer_new(base, on_timer, c);
	c->probe_timer = evtimer_new(base, on_probe_timer, c);
	schedule_probe(c);
	schedule_call(c, 0);
	return c;
}

void registry_client_destroy(struct registry_client *c)
{
	if (!c)
		return;
	http_client_destroy(c->http);
	event_free(c->timer);
	event_free(c->probe_timer);
	registry_read_destroy(c->read);
	free(c);
}
