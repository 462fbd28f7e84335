/*
 * Stand-in for the users' metadata store, in memory. Readers use its published
 * protocol (/-/kv-range, /-/kv-watch); other paths are not found. Tests control
 * it:
 *
 *     PUT /test/item?key=K      stores the body
 *     DELETE /test/item?key=K   removes the key
 *     PUT /test/mode?MODE       up, busy (503 to all readers), silent (no
 *                               response) or forget (410 to watches)
 *     PUT /test/save            keeps a copy of all items
 *     PUT /test/pages?items=N   answers range reads with N items a page
 *     PUT /test/lose?call=N     loses the answer to the Nth range read from now
 *     PUT /test/hold?call=N     holds the Nth range read from now, and answers
 *     PUT /test/release         it now, with what the store then has
 *     PUT /test/restore         goes back to the copy and its revision, raises
 *                               the era and cuts the watches
 */
#include "fake.h"

#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#define ITEMS_MAX 256
#define PAGE_ITEMS_MAX 50

struct item {
	char *key;
	struct base_buf value;
	int64_t revision;
	int64_t created;
	bool removed;
};

struct watch {
	TAILQ_ENTRY(watch) link;
	struct store *store;
	evhtp_request_t *req;
	struct event *timer;
	int64_t after;
};

struct store {
	struct event_base *loop;
	struct item items[ITEMS_MAX];
	size_t count;
	int64_t revision;
	/* The copy made by the last /test/save. */
	struct item saved_items[ITEMS_MAX];
	size_t saved_count;
	int64_t saved_revision;
	int64_t era;
	char mode[16];
	size_t page_items;
	/* Range reads until the one that is lost or held; 0 for none. */
	int64_t lose_in;
	int64_t hold_in;
	evhtp_request_t *held;
	TAILQ_HEAD(, watch) watches;
};

static char *query_parameter(evhtp_request_t *req, const char *name)
{
	const char *value = evhtp_kv_find(req->uri->query, name);
	char *decoded = value ? evhttp_uridecode(value, 0, NULL) : NULL;

	return decoded ? decoded : base_str_dup(BASE_STR(""));
}

static struct item *find_item(struct store *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (!strcmp(s->items[i].key, key))
			return &s->items[i];
	return NULL;
}

static json_t *item_json(const struct item *item)
{
	size_t room = sodium_base64_encoded_len(item->value.len,
						sodium_base64_VARIANT_ORIGINAL);
	char *text;
	json_t *json;

	if (item->removed)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "tombstone", 1);
	text = base_alloc(room);
	sodium_bin2base64(
		text, room,
		(const unsigned char *)(item->value.ptr ? item->value.ptr : ""),
		item->value.len, sodium_base64_VARIANT_ORIGINAL);
	json = json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", item->key, "value",
			 text, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease", 0);
	free(text);
	return json;
}

static void reply_json(evhtp_request_t *req, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	fake_add_header(req, "Content-Type", "application/json");
	fake_reply(req, EVHTP_RES_OK, base_str_from(text));
	free(text);
	json_decref(json);
}

static bool has_prefix(const struct item *item, const char *prefix)
{
	return !strncmp(item->key, prefix, strlen(prefix));
}

static int compare_items(const void *a, const void *b)
{
	const struct item *x = a;
	const struct item *y = b;

	return strcmp(x->key, y->key);
}

static void serve_range(struct store *s, evhtp_request_t *req)
{
	char *prefix = query_parameter(req, "prefix");
	char *after = query_parameter(req, "after");
	json_t *items = json_array();
	bool more = false;
	size_t i;

	qsort(s->items, s->count, sizeof(s->items[0]), compare_items);
	for (i = 0; i < s->count; i++) {
		const struct item *item = &s->items[i];

		if (item->removed || !has_prefix(item, prefix) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (json_array_size(items) == s->page_items) {
			more = true;
			break;
		}
		json_array_append_new(items, item_json(item));
	}
	reply_json(req, json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
				  more, "at_rev", (json_int_t)s->revision));
	free(prefix);
	free(after);
}

/* Counts down; true when the range read that is meant has come. */
static bool is_call(int64_t *remaining)
{
	return *remaining && !--*remaining;
}

static void on_range(struct store *s, evhtp_request_t *req)
{
	printf("range after=%s\n",
	       evhtp_kv_find(req->uri->query, "after")
		       ? evhtp_kv_find(req->uri->query, "after")
		       : "-");
	fflush(stdout);
	if (is_call(&s->lose_in)) {
		evhtp_request_pause(req);
	} else if (is_call(&s->hold_in)) {
		s->held = req;
		evhtp_request_pause(req);
	} else {
		serve_range(s, req);
	}
}

static void release(struct store *s, evhtp_request_t *req)
{
	if (s->held)
		serve_range(s, s->held);
	s->held = NULL;
	fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
}

static int64_t number_parameter(evhtp_request_t *req, const char *name)
{
	char *text = query_parameter(req, name);
	int64_t n = strtoll(text, NULL, 10);

	free(text);
	return n;
}

static json_t *events_after(const struct store *s, int64_t after)
{
	json_t *events = json_array();
	int64_t revision;
	size_t i;

	for (revision = after + 1; revision <= s->revision; revision++)
		for (i = 0; i < s->count; i++)
			if (s->items[i].revision == revision)
				json_array_append_new(events,
						      item_json(&s->items[i]));
	return events;
}

static void reply_events(struct store *s, evhtp_request_t *req, int64_t after)
{
	reply_json(req, json_pack("{s:o,s:I}", "events", events_after(s, after),
				  "at_rev", (json_int_t)s->revision));
}

static void watch_free(struct watch *w)
{
	TAILQ_REMOVE(&w->store->watches, w, link);
	event_free(w->timer);
	free(w);
}

static void on_watch_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct watch *w = arg;

	reply_events(w->store, w->req, w->after);
	watch_free(w);
}

static evhtp_res on_watch_closed(evhtp_request_t *req, void *arg)
{
	struct store *s = arg;
	struct watch *w, *next;

	for (w = TAILQ_FIRST(&s->watches); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->req == req)
			watch_free(w);
	}
	return EVHTP_RES_OK;
}

static void serve_watch(struct store *s, evhtp_request_t *req)
{
	char *after = query_parameter(req, "after");
	char *wait = query_parameter(req, "wait_ms");
	int64_t ms = strtoll(wait, NULL, 10);
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };
	int64_t revision = strtoll(after, NULL, 10);
	struct watch *w;

	printf("watch after=%s at=%" PRId64 "\n", after, s->revision);
	fflush(stdout);
	free(after);
	free(wait);
	if (!strcmp(s->mode, "forget")) {
		fake_reply(req, 410, BASE_STR("{}"));
		return;
	}
	if (revision > s->revision) {
		fake_reply(req, 410, BASE_STR("{}"));
		return;
	}
	if (revision < s->revision) {
		reply_events(s, req, revision);
		return;
	}
	w = base_alloc(sizeof(*w));
	w->store = s;
	w->req = req;
	w->after = revision;
	w->timer = evtimer_new(s->loop, on_watch_timeout, w);
	TAILQ_INSERT_TAIL(&s->watches, w, link);
	event_add(w->timer, &tv);
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_watch_closed, s);
	evhtp_request_pause(req);
}

static void reply_to_watches(struct store *s)
{
	struct watch *w;

	while ((w = TAILQ_FIRST(&s->watches))) {
		evhtp_request_unset_hook(w->req, evhtp_hook_on_request_fini);
		on_watch_timeout(-1, 0, w);
	}
}

static void change_item(struct store *s, evhtp_request_t *req, bool removed)
{
	char *key = query_parameter(req, "key");
	struct item *item = find_item(s, key);

	if (!item) {
		if (s->count == ITEMS_MAX)
			fake_die("too many items in the store");
		item = &s->items[s->count++];
		item->key = base_str_dup(base_str_from(key));
		item->removed = true;
	}
	s->revision++;
	if (item->removed)
		item->created = s->revision;
	item->revision = s->revision;
	item->removed = removed;
	base_buf_reset(&item->value);
	fake_copy_body(req, &item->value);
	free(key);
	fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	reply_to_watches(s);
}

static void copy_items(struct item *to, size_t *to_count,
		       const struct item *from, size_t from_count)
{
	size_t i;

	for (i = 0; i < *to_count; i++) {
		free(to[i].key);
		base_buf_release(&to[i].value);
	}
	for (i = 0; i < from_count; i++) {
		to[i] = from[i];
		to[i].key = base_str_dup(base_str_from(from[i].key));
		to[i].value = BASE_BUF_INIT;
		base_buf_add_str(&to[i].value, base_buf_str(&from[i].value));
	}
	*to_count = from_count;
}

static void cut_watches(struct store *s)
{
	struct watch *w;

	while ((w = TAILQ_FIRST(&s->watches))) {
		evhtp_request_unset_hook(w->req, evhtp_hook_on_request_fini);
		fake_reply(w->req, 503, BASE_STR("{}"));
		watch_free(w);
	}
}

static void save(struct store *s, evhtp_request_t *req)
{
	copy_items(s->saved_items, &s->saved_count, s->items, s->count);
	s->saved_revision = s->revision;
	fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
}

static void restore(struct store *s, evhtp_request_t *req)
{
	copy_items(s->items, &s->count, s->saved_items, s->saved_count);
	s->revision = s->saved_revision;
	s->era++;
	fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	cut_watches(s);
}

static void serve_reader(struct store *s, evhtp_request_t *req,
			 const char *path)
{
	if (!strcmp(s->mode, "silent")) {
		evhtp_request_pause(req);
		return;
	}
	if (!strcmp(s->mode, "busy"))
		fake_reply(req, 503, BASE_STR("{}"));
	else if (!strcmp(path, "/-/kv-range"))
		on_range(s, req);
	else if (!strcmp(path, "/-/kv-watch"))
		serve_watch(s, req);
	else
		fake_reply(req, EVHTP_RES_NOTFOUND, BASE_STR("{}"));
}

static void on_request(evhtp_request_t *req, void *arg)
{
	struct store *s = arg;
	const char *path = req->uri->path->full;
	const char *query = (const char *)req->uri->query_raw;
	char era[24];

	snprintf(era, sizeof(era), "%" PRId64, s->era);
	fake_add_header(req, "Store-Era", era);
	if (!strcmp(path, "/test/item")) {
		change_item(s, req, req->method == htp_method_DELETE);
	} else if (!strcmp(path, "/test/save")) {
		save(s, req);
	} else if (!strcmp(path, "/test/restore")) {
		restore(s, req);
	} else if (!strcmp(path, "/test/release")) {
		release(s, req);
	} else if (!strcmp(path, "/test/pages")) {
		s->page_items = (size_t)number_parameter(req, "items");
		fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	} else if (!strcmp(path, "/test/lose")) {
		s->lose_in = number_parameter(req, "call");
		fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	} else if (!strcmp(path, "/test/hold")) {
		s->hold_in = number_parameter(req, "call");
		fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	} else if (!strcmp(path, "/test/mode")) {
		snprintf(s->mode, sizeof(s->mode), "%s", query ? query : "up");
		fake_reply(req, EVHTP_RES_OK, BASE_STR("{}"));
	} else {
		serve_reader(s, req, path);
	}
}

int main(int argc, char **argv)
{
	static struct store store = { .revision = 1,
				      .era = 1,
				      .page_items = PAGE_ITEMS_MAX };

	if (argc != 2)
		fake_die("usage: fake_store IP:PORT");
	store.loop = fake_loop_create();
	TAILQ_INIT(&store.watches);
	fake_listen(store.loop, argv[1], on_request, &store);
	fake_handle_signals(store.loop);
	event_base_dispatch(store.loop);
	return 0;
}
