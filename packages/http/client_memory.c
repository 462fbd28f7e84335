/* Memory of the responses that the HTTP client is receiving. */
#include "client_memory.h"
#include "client_linger.h"

/* How often connections that wait for memory are looked at. */
#define RESUME_INTERVAL_US (10 * BASE_MS_US)

void client_set_held_bytes(struct connection *c, size_t bytes)
{
	c->client->held_bytes += bytes - c->held_bytes;
	c->held_bytes = bytes;
}

/* Parsed headers take more memory than the bytes that were read. */
static size_t held_by(const struct connection *c)
{
	size_t framing = c->message_bytes - c->message.body.len;

	if (framing > RESPONSE_HEAD_MAX_BYTES)
		framing = RESPONSE_HEAD_MAX_BYTES;
	return evbuffer_get_length(bufferevent_get_input(c->bev)) + framing +
	       c->message.headers.capacity * sizeof(struct http_header) +
	       c->message.body.len;
}

/*
 * Without an exception for one, all could wait for each other. A lingering call
 * never waits, as its response is small.
 */
static bool is_oldest_receiving(const struct connection *c)
{
	const struct http_call *call;

	TAILQ_FOREACH (call, &c->client->calls, link)
		if (call->connection->held_bytes && !client_is_lingering(call))
			return call->connection == c;
	return false;
}

static bool must_wait(const struct connection *c)
{
	const struct http_client *client = c->client;
	size_t half = client->max_held_bytes / 2;
	size_t total = client->held_bytes;

	if (!half)
		return false;
	if (client->held_elsewhere)
		total += client->held_elsewhere(client->held_ctx);
	return total > half && c->held_bytes > SMALL_RESPONSE_BYTES &&
	       !is_oldest_receiving(c);
}

static void schedule_resume(struct http_client *client)
{
	if (!evtimer_pending(client->resume_timer, NULL))
		evtimer_add(client->resume_timer,
			    &(struct timeval){ .tv_usec = RESUME_INTERVAL_US });
}

void client_limit_held_bytes(struct connection *c)
{
	client_set_held_bytes(c, held_by(c));
	if (!must_wait(c))
		return;
	c->paused = true;
	bufferevent_disable(c->bev, EV_READ);
	schedule_resume(c->client);
}

void client_on_resume_timer(evutil_socket_t fd, short events, void *arg)
{
	struct http_client *client = arg;
	struct http_call *call;
	bool waiting = false;

	TAILQ_FOREACH (call, &client->calls, link) {
		struct connection *c = call->connection;

		if (!c->paused)
			continue;
		if (must_wait(c)) {
			waiting = true;
			continue;
		}
		c->paused = false;
		bufferevent_enable(c->bev, EV_READ);
	}
	if (waiting)
		schedule_resume(client);
}
