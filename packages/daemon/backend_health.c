/* Health checks of the local backend server. */
#include "backend_health.h"

/* A health check waits for a free slot like any other request. */
#define CHECK_TIMEOUT_US BASE_SECOND_US
/*
 * A backend server that is down takes some seconds to return, and each check
 * has a cost.
 */
#define CHECK_RETRY_DELAY_US (150 * BASE_MS_US)

/* A server that claims to stay cold for longer is checked again after it. */
#define COLD_MAX_MS 3600000

struct backend_health {
	struct node *node;
	struct http_client *client;
	struct http_call *call;
	struct event *timer;
	int64_t sent_at;
	backend_health_cb cb;
	void *ctx;
};

static struct base_str find_header(const struct http_response *answer,
				   const char *name)
{
	if (!name)
		return BASE_STR_NONE;
	return http_headers_find(&answer->headers, base_str_from(name));
}

static void schedule_check(struct backend_health *h)
{
	struct timeval tv = { .tv_usec = CHECK_RETRY_DELAY_US };

	event_add(h->timer, &tv);
}

static void log_invalid_answer(struct node *node)
{
	struct base_log_line line = base_log_begin(node->log, BASE_LOG_WARN,
						   "backend_check_invalid");

	node_counter_add(node, "backend_answers_invalid");
	base_log_end(&line);
}

static void on_answer(void *ctx, enum http_result result,
		      const struct http_response *answer)
{
	struct backend_health *h = ctx;
	const struct dialect_headers *names = &h->node->dialect->headers;
	struct backend_health_report report = { .sent_at = h->sent_at };
	int64_t cold_ms = 0;

	h->call = NULL;
	if (result == HTTP_RESULT_INVALID)
		log_invalid_answer(h->node);
	if (result != HTTP_RESULT_RESPONSE) {
		schedule_check(h);
		return;
	}
	report.headers = &answer->headers;
	report.instance = find_header(answer, names->instance);
	if (base_str_to_i64(find_header(answer, names->cold_ms), &cold_ms) &&
	    cold_ms > 0)
		report.cold_us =
			(cold_ms < COLD_MAX_MS ? cold_ms : COLD_MAX_MS) *
			BASE_MS_US;
	/* A server that rejects the check sends no instance id. */
	if ((names->instance && !report.instance.len) ||
	    !h->cb(h->ctx, &report))
		schedule_check(h);
}

static void send_check(struct backend_health *h)
{
	struct node *node = h->node;
	struct http_request request = { .method = BASE_STR("GET") };

	if (h->call || !node->self)
		return;
	request.path = node->self->service->health_path;
	node_counter_add(node, "backend_checks");
	h->sent_at = base_now_us();
	h->call = http_client_send(h->client, &request, CHECK_TIMEOUT_US,
				   on_answer, h);
	if (!h->call)
		schedule_check(h);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	send_check(arg);
}

void backend_health_check(struct backend_health *h, int64_t now)
{
	(void)now;
	if (!evtimer_pending(h->timer, NULL))
		send_check(h);
}

struct backend_health *backend_health_create(struct node *node,
					     struct http_client *client,
					     backend_health_cb cb, void *ctx)
{
	struct backend_health *h = base_alloc(sizeof(*h));

	h->node = node;
	h->client = client;
	h->cb = cb;
	h->ctx = ctx;
	h->timer = evtimer_new(node->base, on_timer, h);
	return h;
}

void backend_health_destroy(struct backend_health *h)
{
	if (!h)
		return;
	if (h->call)
		http_call_cancel(h->call);
	event_free(h->timer);
	free(h);
}
