/* Reads and long polls of values of the platform's configuration service. */
#include "watch.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>

/* The platform counts a long poll as one call, so long waits cost least. */
#define WAIT_MS 10000
#define WAIT_TIMEOUT_US (15 * BASE_SECOND_US)
#define READ_TIMEOUT_US (2 * BASE_SECOND_US)
#define RETRY_MIN_US (200 * BASE_MS_US)
#define RETRY_JITTER_US (800 * BASE_MS_US)
#define MAX_CALLS 128
#define MAX_VALUE_BYTES (1100000)

struct watch_source {
	struct event_base *base;
	struct http_client *client;
	struct base_rand rnd;
	watch_value_cb on_value;
	watch_state_cb on_state;
	void *ctx;
};

struct watch {
	struct watch_source *source;
	struct http_call *call;
	struct event *retry;
	bool enabled;
	int64_t index;
	char key[64];
};

struct read_call {
	struct watch_source *source;
	char key[128];
};

struct watch_source *watch_source_create(struct event_base *base,
					 const char *address,
					 watch_value_cb on_value,
					 watch_state_cb on_state, void *ctx,
					 struct base_error *err)
{
	struct watch_source *source = base_alloc(sizeof(*source));
	struct http_client_settings settings = {
		.address = base_str_from(address),
		.max_connections = MAX_CALLS,
		.max_response_bytes = MAX_VALUE_BYTES,
	};

	source->base = base;
	source->on_value = on_value;
	source->on_state = on_state;
	source->ctx = ctx;
	base_rand_seed_system(&source->rnd);
	if (http_client_create(base, &settings, &source->client, err)) {
		free(source);
		return NULL;
	}
	return source;
}

void watch_source_destroy(struct watch_source *source)
{
	if (!source)
		return;
	http_client_destroy(source->client);
	free(source);
}

static struct http_call *send_get(struct watch_source *source, const char *key,
				  const char *query, int64_t timeout_us,
				  http_call_cb cb, void *ctx)
{
	char path[160];
	struct http_request request = {
		.method = BASE_STR("GET"),
		.query = base_str_from(query),
	};

	snprintf(path, sizeof(path), "/v1/kv/%s", key);
	request.path = base_str_from(path);
	return http_client_send(source->client, &request, timeout_us, cb, ctx);
}

/* Reports the result of a call. Returns whether the platform answered it. */
static bool report_answer(struct watch_source *source, const char *key,
			  enum http_result result,
			  const struct http_response *answer)
{
	bool ok = result == HTTP_RESULT_RESPONSE && answer &&
		  (answer->status == 200 || answer->status == 404);

	source->on_state(source->ctx, ok);
	if (ok)
		source->on_value(source->ctx, key, answer->status == 200,
				 answer->body);
	return ok;
}

static void on_read(void *ctx, enum http_result result,
		    const struct http_response *answer)
{
	struct read_call *call = ctx;

	report_answer(call->source, call->key, result, answer);
	free(call);
}

void watch_source_get(struct watch_source *source, const char *key)
{
	struct read_call *call = base_alloc(sizeof(*call));

	call->source = source;
	snprintf(call->key, sizeof(call->key), "%s", key);
	if (!send_get(source, key, "", READ_TIMEOUT_US, on_read, call)) {
		free(call);
		source->on_state(source->ctx, false);
	}
}

static void start_poll(struct watch *w);

static void retry_later(struct watch *w)
{
	int64_t us = RETRY_MIN_US + (int64_t)(base_rand_unit(&w->source->rnd) *
					      (double)RETRY_JITTER_US);
	struct timeval tv = { .tv_sec = us / BASE_SECOND_US,
			      .tv_usec = us % BASE_SECOND_US };

	event_add(w->retry, &tv);
}

static void on_watch(void *ctx, enum http_result result,
		     const struct http_response *answer)
{
	struct watch *w = ctx;
	int64_t index = 0;

	w->call = NULL;
	if (answer)
		base_str_to_i64(http_headers_find(&answer->headers,
						  BASE_STR("X-Index")),
				&index);
	if (!report_answer(w->source, w->key, result, answer) || !index) {
		w->index = 0;
		retry_later(w);
		return;
	}
	w->index = index;
	start_poll(w);
}

static void start_poll(struct watch *w)
{
	char query[64];

	if (!w->enabled || w->call)
		return;
	snprintf(query, sizeof(query), "index=%" PRId64 "&wait_ms=%d", w->index,
		 WAIT_MS);
	/* Without an index, the platform answers the current value at once. */
	w->call = send_get(w->source, w->key, w->index ? query : "",
			   WAIT_TIMEOUT_US, on_watch, w);
	if (!w->call)
		retry_later(w);
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	start_poll(arg);
}

struct watch *watch_create(struct watch_source *source, const char *key)
{
	struct watch *w = base_alloc(sizeof(*w));

	w->source = source;
	snprintf(w->key, sizeof(w->key), "%s", key);
	w->retry = evtimer_new(source->base, on_retry, w);
	return w;
}

void watch_enable(struct watch *watch, bool enabled)
{
	if (watch->enabled == enabled)
		return;
	watch->enabled = enabled;
	if (enabled) {
		start_poll(watch);
		return;
	}
	event_del(watch->retry);
	if (watch->call)
		http_call_cancel(watch->call);
	watch->call = NULL;
}

void watch_destroy(struct watch *watch)
{
	if (!watch)
		return;
	watch_enable(watch, false);
	event_free(watch->retry);
	free(watch);
}
