#include "node.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Ports that no socket gets by itself; each test begins at another one. */
#define RESERVED_PORT_MIN 28000
#define RESERVED_PORT_COUNT 4000
#define RESERVED_PORT_STEP 37
#define EPHEMERAL_PORT_MIN 32768

static void record_event(struct node *node, char event)
{
	cr_assert(node->event_count + 1 < RECORD_MAX);
	node->events[node->event_count++] = event;
}

static void record_message(struct node *node, char event,
			   const struct peer_message *msg,
			   const struct peer_receive_info *receive_info)
{
	record_event(node, event);
	node->message_ids[node->message_id_count++] = msg->id;
	node->receive_info = *receive_info;
	node->last_type = msg->type;
	if (msg->type == PEER_REQUEST)
		node->last_body_bytes = msg->request.body.len;
}

static void on_link_message(void *ctx, struct peer_link *link,
			    const struct peer_message *msg,
			    const struct peer_receive_info *receive_info)
{
	struct node *node = ctx;

	record_message(node, 'a', msg, receive_info);
	if (node->close_link_on_message)
		peer_transport_close_link(node->transport, link);
}

static void on_remote_message(void *ctx, const struct peer_remote *remote,
			      const struct peer_message *msg,
			      const struct peer_receive_info *receive_info)
{
	struct peer_message reply = { .type = PEER_ANSWER, .id = msg->id };
	struct node *node = ctx;

	record_message(node, msg->type == PEER_HELLO ? 'h' : 'm', msg,
		       receive_info);
	node->remote = *remote;
	if (node->reply_to_requests && msg->type != PEER_HELLO)
		peer_transport_reply(node->transport, remote, &reply);
}

static void on_link_up(void *ctx, struct peer_link *link)
{
	(void)link;
	record_event(ctx, 'u');
}

static void on_link_down(void *ctx, struct peer_link *link)
{
	(void)link;
	record_event(ctx, 'd');
}

enum peer_status node_try_open(struct node *node, struct base_str listen,
			       struct base_str secret, struct base_error *err)
{
	struct peer_transport_settings settings = {
		.listen = listen,
		.fleet_secret = secret,
		.vm = BASE_STR("vm-1"),
		.incarnation = 7,
		.counters = node->counters,
		.callbacks = { on_link_message, on_remote_message, on_link_up,
			       on_link_down },
		.ctx = node,
	};

	return peer_transport_create(&settings, node->loop, &node->transport,
				     err);
}

struct node *node_open_at(struct event_base *loop, struct base_str at,
			  struct base_str secret)
{
	struct node *node = base_alloc(sizeof(*node));
	struct base_error err;

	node->loop = loop;
	node->counters = base_counters_create();
	cr_assert(eq(int, node_try_open(node, at, secret, &err), PEER_OK), "%s",
		  err.message);
	return node;
}

struct node *node_open(struct event_base *loop)
{
	return node_open_at(loop, BASE_STR("127.0.0.1:0"), FLEET_SECRET);
}

struct node *node_open_reserved(struct event_base *loop)
{
	struct node *node = base_alloc(sizeof(*node));
	int port = RESERVED_PORT_MIN +
		   getpid() * RESERVED_PORT_STEP % RESERVED_PORT_COUNT;
	struct base_error err;
	char at[32];

	node->loop = loop;
	node->counters = base_counters_create();
	do {
		cr_assert(lt(int, port, EPHEMERAL_PORT_MIN), "%s", err.message);
		snprintf(at, sizeof(at), "127.0.0.1:%d", port++);
	} while (node_try_open(node, base_str_from(at), FLEET_SECRET, &err));
	return node;
}

void node_close(struct node *node)
{
	peer_transport_destroy(node->transport);
	base_counters_destroy(node->counters);
	free(node);
}

bool node_has_recorded(const struct node *node, const char *events)
{
	return strstr(node->events, events) != NULL;
}

int64_t node_counter(const struct node *node, const char *name)
{
	return base_counter_value(base_counters_get(node->counters, name));
}

static void on_run_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

void node_run_for(struct event_base *loop, int64_t us)
{
	struct timeval t = { us / BASE_SECOND_US, us % BASE_SECOND_US };
	struct event *timer = evtimer_new(loop, on_run_timeout, loop);

	evtimer_add(timer, &t);
	event_base_dispatch(loop);
	event_free(timer);
}

void node_run_until(struct node *node, const char *events)
{
	int64_t end = base_now_us() + 10 * BASE_SECOND_US;

	while (!node_has_recorded(node, events) && base_now_us() < end)
		node_run_for(node->loop, 5 * BASE_MS_US);
	cr_assert(node_has_recorded(node, events),
		  "expected events %s, recorded %s", events, node->events);
}

enum peer_status node_send_request(struct node *node, struct peer_link *link,
				   uint64_t id)
{
	struct peer_message msg = { .type = PEER_REQUEST, .id = id };

	return peer_transport_send(node->transport, link, &msg);
}

struct peer_link *node_connect(struct node *from, struct node *to)
{
	struct peer_link *link = peer_transport_open_link(
		from->transport, peer_transport_address(to->transport));

	cr_assert(link != NULL);
	node_run_until(from, "u");
	node_run_until(to, "h");
	return link;
}
