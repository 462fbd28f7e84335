/* The parsers of untrusted bytes and the invariants of their results. */
#include "fuzz.h"

#include "config.h"
#include "http_message.h"
#include "peer.h"
#include "store.h"

#include <string.h>

#define MAX_HEAD_BYTES 8192
#define MAX_BODY_BYTES 16384
/* Parsing of a connection stops after this many messages. */
#define MAX_MESSAGES 64
/* Separates the items in an input of the target "item". */
#define ITEM_END '\x1e'

/* Result of parsing the bytes of a connection. */
struct parse_result {
	enum http_message_fault fault;
	size_t messages;
	/** Messages that may not be written as they were read. */
	size_t invalid;
	/** Targets, bodies and headers of all messages, concatenated. */
	struct base_buf contents;
};

static bool is_valid(const struct http_message *m)
{
	int status = (int)m->parser.status_code;

	return http_headers_are_valid(&m->headers) &&
	       (m->type == HTTP_REQUEST || status / 100 == 1 ||
		http_status_is_final(status));
}

static void add_message(struct parse_result *r, const struct http_message *m)
{
	size_t i;

	r->messages++;
	r->invalid += !is_valid(m);
	base_buf_addf(&r->contents, "|%zu %zu|", m->target.len, m->body.len);
	base_buf_add_str(&r->contents, base_buf_str(&m->target));
	base_buf_add_str(&r->contents, base_buf_str(&m->body));
	for (i = 0; i < m->headers.count; i++) {
		base_buf_add_str(&r->contents, m->headers.items[i].name);
		base_buf_add_str(&r->contents, m->headers.items[i].value);
	}
}

/* Parses all complete messages; stops when more bytes are needed. */
static void parse_available(struct parse_result *r, struct http_message *m,
			    struct evbuffer *in)
{
	while (!r->fault && r->messages < MAX_MESSAGES &&
	       evbuffer_get_length(in)) {
		if (!m->headers_complete &&
		    !http_message_check_head(in, m->type, MAX_HEAD_BYTES,
					     &r->fault))
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

static void parse_stream(struct parse_result *r, enum http_parser_type type,
			 struct base_str input, size_t split)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message m;

	http_message_init(&m, type, MAX_BODY_BYTES);
	http_message_reset(&m);
	evbuffer_add(in, input.ptr, split);
	parse_available(r, &m, in);
	evbuffer_add(in, input.ptr + split, input.len - split);
	parse_available(r, &m, in);
	http_message_release(&m);
	evbuffer_free(in);
}

/*
 * The parsed messages must not depend on how the bytes of a connection are
 * split into reads. Otherwise a request could be smuggled inside another one.
 */
static const char *feed_http_stream(enum http_parser_type type,
				    struct base_str input,
				    struct base_rand *rnd)
{
	struct parse_result whole = { .contents = BASE_BUF_INIT };
	struct parse_result split = { .contents = BASE_BUF_INIT };
	const char *problem = NULL;

	parse_stream(&whole, type, input, 0);
	parse_stream(&split, type, input,
		     base_rand_below(rnd, (uint32_t)input.len + 1));
	/* With several faults in the input, either run may report another one.
	 */
	if (!whole.fault != !split.fault)
		problem =
			"whether the input is rejected depends on where it is split";
	else if (whole.messages != split.messages ||
		 !base_str_equal(base_buf_str(&whole.contents),
				 base_buf_str(&split.contents)))
		problem = "the messages depend on where the input is split";
	else if (whole.invalid)
		problem = "a message cannot be written as it was read";
	base_buf_release(&whole.contents);
	base_buf_release(&split.contents);
	return problem;
}

static const char *feed_request(struct base_str input, struct base_rand *rnd)
{
	return feed_http_stream(HTTP_REQUEST, input, rnd);
}

static const char *feed_response(struct base_str input, struct base_rand *rnd)
{
	return feed_http_stream(HTTP_RESPONSE, input, rnd);
}

/* An accepted message can be encoded and decoded again. */
static const char *feed_peer(struct base_str input, struct base_rand *rnd)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;
	struct peer_message msg, again;
	struct base_error err = { "" };
	const char *problem = NULL;

	if (peer_message_decode(input, &msg, &err))
		return err.message[0] ? NULL
				      : "rejected without an error message";
	if (peer_message_encode(&msg, &out, &err))
		problem = "an accepted message cannot be encoded";
	else if (peer_message_decode(base_buf_str(&out), &again, &err))
		problem =
			"an accepted message is rejected after encoding it again";
	else
		peer_message_release(&again);
	peer_message_release(&msg);
	return problem;
}

static struct registry_view *create_view(void)
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
			problem =
				"a route without a service or a positive timeout";
	for (i = 0; i < s->vm_count; i++)
		if (!s->vms[i].service || !s->vms[i].domain)
			problem = "a VM without a service or a failure domain";
	config_snapshot_unref(s);
	return problem;
}

/* A page of the store: its items must make a consistent snapshot. */
static const char *feed_store(struct base_str input, struct base_rand *rnd)
{
	struct registry_view *view;
	struct registry_page page;
	struct base_error err = { "" };
	const char *problem;
	size_t i;

	if (!store_codec.page_parse(input, &page, &err))
		return err.message[0] ? NULL
				      : "rejected without an error message";
	view = create_view();
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

/* Removes and returns the text before the first @p end, or all of it. */
static struct base_str split_off(struct base_str *rest, char end)
{
	const char *at = rest->len ? memchr(rest->ptr, end, rest->len) : NULL;
	struct base_str part = { rest->ptr,
				 at ? (size_t)(at - rest->ptr) : rest->len };

	rest->ptr += at ? part.len + 1 : part.len;
	rest->len -= at ? part.len + 1 : part.len;
	return part;
}

/* Items of the registry, each as key, line feed, value and byte 0x1e. */
static const char *feed_item(struct base_str input, struct base_rand *rnd)
{
	struct registry_view *view = create_view();
	const char *problem = NULL;
	int64_t revision = 0;

	while (input.len && !problem) {
		struct base_error err = { "" };
		struct registry_item item = { .revision = ++revision };

		item.created = revision;
		item.value = split_off(&input, ITEM_END);
		item.key = split_off(&item.value, '\n');
		if (!store_view_put(view, &item, &err) && !err.message[0])
			problem = "rejected without an error message";
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
			       : "rejected without an error message";
	config_manifest_destroy(m);
	return NULL;
}

static const char *feed_vms(struct base_str input, struct base_rand *rnd)
{
	struct base_error err = { "" };
	struct config_vm_list *list = config_vm_list_parse(input, &err);

	if (!list)
		return err.message[0] ? NULL
				      : "rejected without an error message";
	config_vm_list_destroy(list);
	return NULL;
}

static const struct fuzz_target targets[] = {
	{ "request", feed_request }, { "answer", feed_response },
	{ "peer", feed_peer },	     { "store", feed_store },
	{ "item", feed_item },	     { "manifest", feed_manifest },
	{ "vms", feed_vms },
};

const struct fuzz_target *fuzz_target_at(size_t i)
{
	return i < BASE_ARRAY_SIZE(targets) ? &targets[i] : NULL;
}
