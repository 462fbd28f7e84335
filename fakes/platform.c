/*
 * Stand-in for the platform's configuration service.
 *
 *   GET /v1/kv/KEY                     value with X-Index, or 404
 *   GET /v1/kv/KEY?index=N&wait_ms=M   long poll until the index exceeds N
 *   PUT /v1/kv/KEY                     stores the body, at most 1 MB
 *   GET, PUT /v1/control               mode: normal, stale, refuse or hang
 *   GET /v1/stats                      key=value lines
 *
 * Modes: "stale" serves reads from the values at the time when the mode was
 * set; "refuse" responds 503 to reads; "hang" leaves reads without a response
 * until the mode changes. "refuse" and "hang" respond 503 to writes.
 */
#include "fake.h"

#include <argp.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

#define VALUE_MAX_BYTES 1048576
#define KV_PREFIX "/v1/kv/"

enum mode { MODE_NORMAL, MODE_STALE, MODE_REFUSE, MODE_HANG, MODE_END };

static const char *const mode_names[MODE_END] = { "normal", "stale", "refuse",
						  "hang" };

/** A value and its index; index 0 when there is no value. */
struct version {
	struct base_buf value;
	int64_t index;
};

struct entry {
	char *key;
	struct version current;
	/** Served to readers in stale mode. */
	struct version stale;
	UT_hash_handle hh;
};

struct platform {
	struct event_base *loop;
	evhtp_t *htp;
	struct entry *entries;
	struct waiter *waiters;
	int64_t last_index;
	int64_t gets;
	int64_t puts;
	int64_t waiting;
	int64_t waiting_max;
	enum mode mode;
	bool log_calls;
};

/** A read that waits for a newer value or a change of the mode. */
struct waiter {
	struct platform *platform;
	evhtp_request_t *req;
	char *key;
	int64_t index;
	struct event *timeout;
	bool expired;
	struct waiter *prev;
	struct waiter *next;
};

static struct entry *find_entry(struct platform *p, const char *key)
{
	struct entry *entry;

	HASH_FIND_STR(p->entries, key, entry);
	return entry;
}

static const struct version *visible_version(struct platform *p,
					     const char *key)
{
	static const struct version none;
	struct entry *entry = find_entry(p, key);

	if (!entry)
		return &none;
	return p->mode == MODE_STALE ? &entry->stale : &entry->current;
}

static void reply_value(evhtp_request_t *req, const struct version *version)
{
	char index[24];

	snprintf(index, sizeof(index), "%lld", (long long)version->index);
	fake_add_header(req, "X-Index", index);
	if (!version->index)
		fake_reply(req, EVHTP_RES_NOTFOUND, BASE_STR_NONE);
	else
		fake_reply(req, EVHTP_RES_OK, base_buf_str(&version->value));
}

static void remove_waiter(struct waiter *w)
{
	struct platform *p = w->platform;

	if (w->prev)
		w->prev->next = w->next;
	else
		p->waiters = w->next;
	if (w->next)
		w->next->prev = w->prev;
	p->waiting--;
	event_free(w->timeout);
	free(w->key);
	free(w);
}

/* Responds to a waiting read if the mode and the index allow it. */
static void reply_if_due(struct waiter *w)
{
	struct platform *p = w->platform;
	const struct version *version = visible_version(p, w->key);
	evhtp_request_t *req = w->req;

	if (p->mode == MODE_HANG)
		return;
	if (p->mode != MODE_REFUSE && version->index <= w->index && !w->expired)
		return;
	evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	remove_waiter(w);
	if (p->mode == MODE_REFUSE)
		fake_reply(req, EVHTP_RES_SERVUNAVAIL, BASE_STR_NONE);
	else
		reply_value(req, version);
}

static void reply_all_due(struct platform *p)
{
	struct waiter *w = p->waiters;

	while (w) {
		struct waiter *next = w->next;

		reply_if_due(w);
		w = next;
	}
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct waiter *w = arg;

	(void)fd;
	(void)what;
	w->expired = true;
	reply_if_due(w);
}

static evhtp_res on_closed(evhtp_request_t *req, void *arg)
{
	(void)req;
	remove_waiter(arg);
	return EVHTP_RES_OK;
}

static int64_t query_number(evhtp_request_t *req, const char *name,
			    int64_t fallback)
{
	const char *text = NULL;
	int64_t value;

	if (req->uri->query)
		text = evhtp_kv_find(req->uri->query, name);
	if (!text || !base_str_to_i64(base_str_from(text), &value))
		return fallback;
	return value;
}

static void start_get(struct platform *p, evhtp_request_t *req, const char *key)
{
	int64_t wait_us = query_number(req, "wait_ms", 0) * BASE_MS_US;
	struct timeval wait = { wait_us / BASE_SECOND_US,
				wait_us % BASE_SECOND_US };
	struct waiter *w = base_alloc(sizeof(*w));

	p->gets++;
	w->platform = p;
	w->req = req;
	w->key = base_str_dup(base_str_from(key));
	w->index = query_number(req, "index", -1);
	w->expired = wait_us <= 0;
	w->timeout = evtimer_new(p->loop, on_timeout, w);
	w->next = p->waiters;
	if (w->next)
		w->next->prev = w;
	p->waiters = w;
	p->waiting++;
	if (p->waiting > p->waiting_max)
		p->waiting_max = p->waiting;
	if (!w->expired)
		evtimer_add(w->timeout, &wait);
	evhtp_request_pause(req);
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_closed, w);
	reply_if_due(w);
}

static void put(struct platform *p, evhtp_request_t *req, const char *key)
{
	struct entry *entry = find_entry(p, key);
	char index[24];

	p->puts++;
	if (p->mode == MODE_REFUSE || p->mode == MODE_HANG) {
		fake_reply(req, EVHTP_RES_SERVUNAVAIL, BASE_STR_NONE);
		return;
	}
	if (evbuffer_get_length(req->buffer_in) > VALUE_MAX_BYTES) {
		fake_reply(req, EVHTP_RES_ENTOOLARGE,
			   BASE_STR("value over 1 MB\n"));
		return;
	}
	if (!entry) {
		entry = base_alloc(sizeof(*entry));
		entry->key = base_str_dup(base_str_from(key));
		HASH_ADD_KEYPTR(hh, p->entries, entry->key, strlen(entry->key),
				entry);
	}
	fake_copy_body(req, &entry->current.value);
	entry->current.index = ++p->last_index;
	snprintf(index, sizeof(index), "%lld", (long long)p->last_index);
	fake_add_header(req, "X-Index", index);
	fake_reply(req, EVHTP_RES_OK, BASE_STR_NONE);
	reply_all_due(p);
}

static void copy_stale_values(struct platform *p)
{
	struct entry *entry;
	struct entry *next;

	HASH_ITER (hh, p->entries, entry, next) {
		base_buf_reset(&entry->stale.value);
		base_buf_add_str(&entry->stale.value,
				 base_buf_str(&entry->current.value));
		entry->stale.index = entry->current.index;
	}
}

static bool parse_mode(struct base_str text, enum mode *mode)
{
	int i;

	while (text.len && text.ptr[text.len - 1] == '\n')
		text.len--;
	for (i = 0; i < MODE_END; i++) {
		if (!base_str_equal(text, base_str_from(mode_names[i])))
			continue;
		*mode = (enum mode)i;
		return true;
	}
	return false;
}

static void control(struct platform *p, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	enum mode mode;

	if (evhtp_request_get_method(req) == htp_method_PUT) {
		fake_copy_body(req, &body);
		if (!parse_mode(base_buf_str(&body), &mode)) {
			fake_reply(req, EVHTP_RES_BADREQ,
				   BASE_STR("normal, stale, refuse or hang\n"));
			return;
		}
		if (mode == MODE_STALE && p->mode != MODE_STALE)
			copy_stale_values(p);
		p->mode = mode;
		reply_all_due(p);
	}
	base_buf_reset(&body);
	base_buf_addf(&body, "%s\n", mode_names[p->mode]);
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&body));
}

static void stats(struct platform *p, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;

	base_buf_addf(&out, "gets=%lld\nputs=%lld\nwaiting=%lld\n",
		      (long long)p->gets, (long long)p->puts,
		      (long long)p->waiting);
	base_buf_addf(&out, "waiting_max=%lld\nlast_index=%lld\nkeys=%u\n",
		      (long long)p->waiting_max, (long long)p->last_index,
		      HASH_COUNT(p->entries));
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&out));
}

static void on_request(evhtp_request_t *req, void *arg)
{
	const char *path = req->uri->path->full;
	htp_method method = evhtp_request_get_method(req);
	struct platform *p = arg;
	size_t prefix = strlen(KV_PREFIX);

	if (p->log_calls)
		fake_print_call("called", req);
	if (!strcmp(path, "/v1/control"))
		control(p, req);
	else if (!strcmp(path, "/v1/stats"))
		stats(p, req);
	else if (strncmp(path, KV_PREFIX, prefix) != 0 || !path[prefix])
		fake_reply(req, EVHTP_RES_NOTFOUND, BASE_STR_NONE);
	else if (method == htp_method_GET)
		start_get(p, req, path + prefix);
	else if (method == htp_method_PUT)
		put(p, req, path + prefix);
	else
		fake_reply(req, EVHTP_RES_METHNALLOWED, BASE_STR_NONE);
}

struct settings {
	const char *listen;
	enum mode mode;
	bool log_calls;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *s = state->input;

	if (key == 'l')
		s->listen = arg;
	else if (key == 'c')
		s->log_calls = true;
	else if (key != 'm')
		return ARGP_ERR_UNKNOWN;
	else if (!parse_mode(base_str_from(arg), &s->mode))
		argp_error(state, "unknown mode \"%s\"", arg);
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Address, default 127.0.0.1:0", 0 },
	{ "mode", 'm', "MODE", 0, "normal, stale, refuse or hang", 0 },
	{ "log-calls", 'c', NULL, 0, "Print a line for each call", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option,
		NULL,	 "Stand-in for the platform's configuration service",
		NULL,	 NULL,
		NULL,
	};
	struct settings settings = { .listen = "127.0.0.1:0" };
	struct platform platform = { 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	platform.loop = fake_loop_create();
	platform.mode = settings.mode;
	platform.log_calls = settings.log_calls;
	fake_handle_signals(platform.loop);
	platform.htp = fake_listen(platform.loop, settings.listen, on_request,
				   &platform);
	event_base_dispatch(platform.loop);
	exit(0);
}
