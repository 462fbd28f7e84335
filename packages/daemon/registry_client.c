/* Reads and watches a platform's registry. */
#include "registry_client.h"

#include <event2/event.h>

/*
 * A waiting read costs as much as any other, so it waits long; peers that hear
 * of a change first say so, see registry_client_hurry().
 */
#define WATCH_WAIT_MS 6000
#define WATCH_WAIT_SPREAD_MS 3000
/* The platform answers a waiting read this much after its time at most. */
#define WATCH_SLACK_US (1500 * BASE_MS_US)
#define READ_TIMEOUT_US (2 * BASE_SECOND_US)
/* Back-off after a failed call, doubled up to the maximum, with jitter. */
#define RETRY_MIN_US (150 * BASE_MS_US)
#define RETRY_MAX_US (1200 * BASE_MS_US)
/* Changes within this time are read by one call. */
#define GATHER_US (60 * BASE_MS_US)
/* A watch is given up for a peer's word at most this often. */
#define HURRY_US (500 * BASE_MS_US)
#define MAX_ANSWER (4 << 20)
#define MAX_CONNECTIONS 4

struct registry_client {
	struct event_base *base;
	struct registry_client_settings s;
	struct http_client *http;
	struct http_call *call;
	struct event *timer;
	struct base_rand rnd;
	/* Last key of the range read so far. */
	struct base_buf after;
	int64_t revision;
	int64_t backoff_us;
	int64_t call_started_at;
	int64_t hurried_at;
	bool watching;
	bool reading_pages;
	bool up;
	bool failed;
};

static void start_read(struct registry_client *c);

static void count(struct registry_client *c, const char *name)
{
	base_counter_add(base_counters_get(c->s.counters, name), 1);
}

static void start_after(struct registry_client *c, int64_t us)
{
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(c->timer, &tv);
}

static void set_state(struct registry_client *c, bool up, const char *why,
		      int64_t now)
{
	struct base_log_line line;

	if (up && c->failed) {
		c->failed = false;
		registry_platform_back(c->s.registry, now);
	}
	c->failed = c->failed || !up;
	if (up)
		c->backoff_us = RETRY_MIN_US;
	if (up == c->up)
		return;
	c->up = up;
	line = base_log_begin(c->s.log, up ? BASE_LOG_INFO : BASE_LOG_WARN,
			      up ? "platform_regained" : "platform_lost");
	base_log_cstr(&line, "why", why);
	base_log_int(&line, "revision", registry_revision(c->s.registry));
	base_log_end(&line);
	c->s.on_state(c->s.ctx, up);
}

static void fail(struct registry_client *c, const char *why, int64_t now)
{
	int64_t wait = c->backoff_us / 2 + (int64_t)(base_rand_unit(&c->rnd) *
						     (double)c->backoff_us);

	count(c, "registry_calls_failed");
	set_state(c, false, why, now);
	c->reading_pages = false;
	start_after(c, wait);
	c->backoff_us *= 2;
	if (c->backoff_us > RETRY_MAX_US)
		c->backoff_us = RETRY_MAX_US;
}

static void apply(struct registry_client *c, const struct registry_page *page,
		  int64_t now)
{
	size_t i;

	for (i = 0; i < page->count; i++)
		registry_apply(c->s.registry, &page->items[i], now);
}

static void on_range(struct registry_client *c,
		     const struct registry_page *page, int64_t now)
{
	if (!c->reading_pages) {
		c->reading_pages = true;
		c->revision = page->revision;
		registry_begin_reload(c->s.registry, page->revision);
	}
	apply(c, page, now);
	if (page->more && page->count) {
		base_buf_reset(&c->after);
		base_buf_add_str(&c->after, page->items[page->count - 1].key);
		start_read(c);
		return;
	}
	c->reading_pages = false;
	base_buf_reset(&c->after);
	registry_end_reload(c->s.registry, now);
	c->watching = true;
	c->s.on_change(c->s.ctx);
	start_after(c, GATHER_US);
}

static void on_events(struct registry_client *c,
		      const struct registry_page *page, int64_t now)
{
	apply(c, page, now);
	if (page->revision > c->revision)
		c->revision = page->revision;
	if (page->count)
		c->s.on_change(c->s.ctx);
	start_after(c, page->count ? GATHER_US : 0);
}

static const char *describe(enum http_result result,
			    const struct http_response *answer)
{
	if (result == HTTP_RESULT_TIMED_OUT)
		return "no answer in time";
	if (result != HTTP_RESULT_RESPONSE)
		return "the connection failed";
	return answer->status == 429 ? "too many calls" : "refused";
}

static void log_unreadable(struct registry_client *c,
			   const struct registry_page *page)
{
	struct base_log_line line = base_log_begin(c->s.log, BASE_LOG_WARN,
						   "registry_items_unreadable");

	count(c, "registry_items_unreadable");
	base_log_int(&line, "count", (int64_t)page->malformed_count);
	base_log_int(&line, "revision", page->revision);
	base_log_end(&line);
}

static void on_answer(void *ctx, enum http_result result,
		      const struct http_response *answer)
{
	struct registry_client *c = ctx;
	struct registry_page page;
	struct base_error err = { "" };
	int64_t now = base_now_us();

	c->call = NULL;
	if (result == HTTP_RESULT_RESPONSE &&
	    c->s.codec->is_revision_compacted(answer->status)) {
		count(c, "registry_history_gone");
		c->watching = false;
		start_after(c, 0);
		return;
	}
	if (result != HTTP_RESULT_RESPONSE || answer->status != 200) {
		fail(c, describe(result, answer), now);
		return;
	}
	if (!c->s.codec->page_parse(answer->body, &page, &err)) {
		fail(c, err.message, now);
		return;
	}
	set_state(c, true, "answered", now);
	if (page.malformed_count)
		log_unreadable(c, &page);
	if (c->watching)
		on_events(c, &page, now);
	else
		on_range(c, &page, now);
	c->s.codec->page_release(&page);
}

static void start_read(struct registry_client *c)
{
	BASE_CLEANUP(base_buf_release) struct base_buf target = BASE_BUF_INIT;
	struct http_request request = { .method = BASE_STR("GET") };
	int64_t timeout = READ_TIMEOUT_US;
	int64_t wait_ms = WATCH_WAIT_MS;

	if (c->call)
		return;
	if (c->watching) {
		wait_ms += base_rand_below(&c->rnd, WATCH_WAIT_SPREAD_MS);
		/* After a failure an answer tells soon that it is over. */
		if (!c->up)
			wait_ms = 1;
		timeout = wait_ms * BASE_MS_US + WATCH_SLACK_US;
		c->s.codec->watch_target(c->revision, wait_ms, &target);
	} else {
		c->s.codec->range_target(base_buf_str(&c->after), &target);
	}
	request.path = base_buf_str(&target);
	count(c, "registry_calls");
	c->call_started_at = base_now_us();
	c->call = http_client_send(c->http, &request, timeout, on_answer, c);
	if (!c->call)
		fail(c, "no connection", c->call_started_at);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	start_read(arg);
}

void registry_client_hurry(struct registry_client *c, int64_t now)
{
	if (!c->watching || !c->call || !c->up ||
	    now - c->call_started_at < HURRY_US ||
	    now - c->hurried_at < HURRY_US)
		return;
	c->hurried_at = now;
	count(c, "registry_watches_hurried");
	http_call_cancel(c->call);
	c->call = NULL;
	start_read(c);
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
		.max_response_bytes = MAX_ANSWER,
	};

	c->base = base;
	c->s = *settings;
	c->backoff_us = RETRY_MIN_US;
	base_rand_seed_system(&c->rnd);
	if (http_client_create(base, &http, &c->http, err)) {
		free(c);
		return NULL;
	}
	c->timer = evtimer_new(base, on_timer, c);
	start_after(c, 0);
	return c;
}

void registry_client_destroy(struct registry_client *c)
{
	if (!c)
		return;
	http_client_destroy(c->http);
	event_free(c->timer);
	base_buf_release(&c->after);
	free(c);
}
