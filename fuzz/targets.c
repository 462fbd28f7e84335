/* The parsers that take bytes from outside, and what holds for any input. */
#include "fuzz.h"

#include "config.h"
#include "http_message.h"
#include "peer.h"
#include "store.h"

#include <string.h>

#define MAX_HEAD 8192
#define MAX_BODY 16384
/* A connection is read until this many messages came out of it. */
#define MAX_MESSAGES 64
/* Ends an item of the target "item". */
#define ITEM_END '\x1e'

/* What a reader of a connection makes of its bytes. */
struct reading {
	enum http_message_fault fault;
	size_t messages;
	/** Targets, headers and bodies of the messages, one after the other. */
	struct base_buf contents;
};

static void add_message(struct reading *r, const struct http_message *m)
{
	size_t i;

	r->messages++;
	base_buf_addf(&r->contents, "|%zu %zu|", m->target.len, m->body.len);
	base_buf_add_str(&r->contents, base_buf_str(&m->target));
	base_buf_add_str(&r->contents, base_buf_str(&m->body));
	for (i = 0; i < m->headers.count; i++) {
		base_buf_add_str(&r->contents, m->headers.items[i].name);
		base_buf_add_str(&r->contents, m->headers.items[i].value);
	}
}

/* Reads all messages that are whole; false when more bytes are needed. */
static void advance(struct reading *r, struct http_message *m,
		    struct evbuffer *in)
{
	while (!r->fault && r->messages < MAX_MESSAGES &&
	       evbuffer_get_length(in)) {
		if (!m->headers_complete &&
		    !http_message_check_head(in, m->type, MAX_HEAD, &r->fault))
			return;
		if (!r->fault) {
			http_message_parse(m, in);
			r->fault = m->fault;
		}
		if (r->fault || !m->complete)
			return;
		add_message(r, m);
		http_message_reset(m);
	}
}

static void read_connection(struct reading *r, enum http_parser_type type,
			    struct base_str input, size_t split)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message m;

	http_message_init(&m, type, MAX_BODY);
	http_message_reset(&m);
	evbuffer_add(in, input.ptr, split);
	advance(r, &m, in);
	evbuffer_add(in, input.ptr + split, input.len - split);
	advance(r, &m, in);
	http_message_release(&m);
	evbuffer_free(in);
}

/*
 * Where the bytes of a connection are divided on their way must not change
 * which messages they are: a request could hide in another one.
 */
static const char *feed_http(enum http_parser_type type, struct base_str input,
			     struct base_rand *rnd)
{
	struct reading whole = { .contents = BASE_BUF_INIT };
	struct reading split = { .contents = BASE_BUF_INIT };
	const char *problem = NULL;

	read_connection(&whole, type, input, 0);
	read_connection(&split, type, input,
			base_rand_below(rnd, (uint32_t)input.len + 1));
	/* Of several faults another one may be seen first. */
	if (!whole.fault != !split.fault)
		problem = "the refusal depends on where the input is divided";
	else if (whole.messages != split.messages ||
		 !base_str_equal(base_buf_str(&whole.contents),
				 base_buf_str(&split.contents)))
		problem = "the messages depend on where the input is divided";
	base_buf_release(&whole.contents);
	base_buf_release(&split.contents);
	return problem;
}

static const char *feed_request(struct base_str input, struct base_rand *rnd)
{
	return feed_http(HTTP_REQUEST, input, rnd);
}

static const char *feed_answer(struct base_str input, struct base_rand *rnd)
{
	return feed_http(HTTP_RESPONSE, input, rnd);
}

/* A message that was accepted can be sent on and is accepted again. */
static const char *feed_peer(struct base_str input, struct base_rand *rnd)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;
	struct peer_message msg, again;
	struct base_error err = { "" };
	const char *problem = NULL;

	if (peer_message_decode(input, &msg, &err))
		return err.message[0] ? NULL : "a refusal without a reason";
	if (peer_message_encode(&msg, &out, &err))
		problem = "a message that was accepted cannot be encoded";
	else if (peer_message_decode(base_buf_str(&out), &again, &err))
		problem = "a message is refused after it was encoded again";
	else
		peer_message_release(&again);
	peer_message_release(&msg);
	return problem;
}

static struct registry_view *make_view(void)
{
	struct registry_view_settings settings = {
		.peer_port = 7000,
		.region = BASE_STR("region"),
	};

	return store_view_create(&settings);
}

static const char *check_snapshot(struct registry_view *view)
{
	struct base_digest digest = { { 0 } };
	const struct config_snapshot *s = store_view_assemble(view, 1, &digest);
	const char *problem = NULL;
	size_t i;

	if (!s)
		return NULL;
	for (i = 0; i < s->route_count; i++)
		if (!s->routes[i].service || s->routes[i].timeout_us <= 0)
			problem = "a route without a service or a time";
	for (i = 0; i < s->vm_count; i++)
		if (!s->vms[i].service || !s->vms[i].domain)
			problem = "a VM without a service or a domain";
	config_snapshot_unref(s);
	return problem;
}

/* An answer of the store: its items decode into a snapshot that holds. */
static const char *feed_store(struct base_str input, struct base_rand *rnd)
{
	struct registry_view *view;
	struct registry_page page;
	struct base_error err = { "" };
	const char *problem;
	size_t i;

	if (!store_codec.page_parse(input, &page, &err))
		return err.message[0] ? NULL : "a refusal without a reason";
	view = make_view();
	for (i = 0; i < page.count; i++) {
		if (page.items[i].removed)
			store_view_remove(view, page.items[i].key);
		else
			store_view_put(view, &page.items[i], &err);
	}
	problem = check_snapshot(view);
	store_view_destroy(view);
	store_codec.page_release(&page);
	return problem;
}

/* The first byte that is @p end, or the end of the text. */
static struct base_str take_until(struct base_str *rest, char end)
{
	const char *at = rest->len ? memchr(rest->ptr, end, rest->len) : NULL;
	struct base_str part = { rest->ptr,
				 at ? (size_t)(at - rest->ptr) : rest->len };

	rest->ptr += at ? part.len + 1 : part.len;
	rest->len -= at ? part.len + 1 : part.len;
	return part;
}

/* Items as they are in the registry: key, line feed, value, byte 0x1e. */
static const char *feed_item(struct base_str input, struct base_rand *rnd)
{
	struct registry_view *view = make_view();
	const char *problem = NULL;
	int64_t revision = 0;

	while (input.len && !problem) {
		struct base_error err = { "" };
		struct registry_item item = { .revision = ++revision };

		item.created = revision;
		item.value = take_until(&input, ITEM_END);
		item.key = take_until(&item.value, '\n');
		if (!store_view_put(view, &item, &err) && !err.message[0])
			problem = "a refusal without a reason";
	}
	problem = problem ? problem : check_snapshot(view);
	store_view_destroy(view);
	return problem;
}

static const char *feed_manifest(struct base_str input, struct base_rand *rnd)
{
	enum config_status status = CONFIG_OK;
	struct base_error err = { "" };
	struct config_manifest *m = config_manifest_parse(input, &status, &err);

	if (!m)
		return status != CONFIG_OK && err.message[0]
			       ? NULL
			       : "a refusal without a reason";
	config_manifest_destroy(m);
	return NULL;
}

static const char *feed_vms(struct base_str input, struct base_rand *rnd)
{
	struct base_error err = { "" };
	struct config_vm_list *list = config_vm_list_parse(input, &err);

	if (!list)
		return err.message[0] ? NULL : "a refusal without a reason";
	config_vm_list_destroy(list);
	return NULL;
}

static const struct fuzz_target targets[] = {
	{ "request", feed_request }, { "answer", feed_answer },
	{ "peer", feed_peer },	     { "store", feed_store },
	{ "item", feed_item },	     { "manifest", feed_manifest },
	{ "vms", feed_vms },
};

const struct fuzz_target *fuzz_target_at(size_t i)
{
	return i < BASE_ARRAY_SIZE(targets) ? &targets[i] : NULL;
}
