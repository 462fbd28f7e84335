/*
 * Stand-in for callers: open-loop load generator. It sends each request at its
 * planned time, whether or not earlier requests have completed, and measures
 * latency from the planned time.
 *
 * Prints key=value lines at the end; GET / on the listening address returns the
 * same lines while it runs.
 */
#include "fake.h"

#include <argp.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#define TARGET_MAX 32
#define TICK_US 1000

struct settings {
	const char *listen;
	const char *targets[TARGET_MAX];
	size_t target_count;
	const char *key;
	const char *method;
	const char *path;
	const char *label;
	int64_t rate;
	int64_t duration_us;
	int64_t drain_us;
	/** 0 to send no Bilberryhinge-Timeout-Ms header. */
	int64_t timeout_ms;
	int64_t body_bytes;
	int64_t retries;
	int64_t seed;
	int64_t retry_delay_us;
	bool idempotency;
	bool log_responses;
	/** Makes all retries, also after success. */
	bool resend;
};

struct caller {
	struct event_base *loop;
	evhtp_t *htp;
	struct settings settings;
	struct fake_pool *pools[TARGET_MAX];
	/** NULL after all planned requests were sent. */
	struct event *tick_timer;
	struct event *drain_timer;
	struct base_rand rnd;
	/** Printed by report(). */
	struct base_counters *counters;
	struct base_histogram *latency;
	struct base_histogram *latency_ok;
	char *body;
	int64_t started_at;
	int64_t planned;
	int64_t outstanding;
};

/** A planned request with its retries. */
struct call {
	struct caller *caller;
	struct fake_pool *pool;
	struct evhttp_connection *conn;
	char key[FAKE_UUID_SIZE];
	char label[96];
	int64_t planned_at;
	int64_t attempts;
	int64_t number;
};

static void count(struct caller *c, const char *name)
{
	base_counter_add(base_counters_get(c->counters, name), 1);
}

static void count_with_suffix(struct caller *c, const char *prefix,
			      const char *text)
{
	char name[128];
	size_t i;

	snprintf(name, sizeof(name), "%s_%s", prefix, text);
	for (i = 0; name[i]; i++)
		if (name[i] == '-' || name[i] == ' ')
			name[i] = '_';
	count(c, name);
}

static void add_quantiles(struct base_buf *out, const char *name,
			  const struct base_histogram *hist)
{
	static const struct {
		const char *name;
		double quantile;
	} points[] = {
		{ "p50", 0.5 },	   { "p90", 0.9 }, { "p99", 0.99 },
		{ "p999", 0.999 }, { "max", 1.0 },
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(points); i++)
		base_buf_addf(out, "%s_%s=%lld\n", name, points[i].name,
			      (long long)base_histogram_quantile(
				      hist, points[i].quantile));
}

/* Counters are rendered as "NAME VALUE" lines. */
static void report(const struct caller *c, struct base_buf *out)
{
	BASE_CLEANUP(base_buf_release) struct base_buf counters = BASE_BUF_INIT;
	size_t i;

	base_buf_addf(out, "planned=%lld\noutstanding=%lld\n",
		      (long long)c->planned, (long long)c->outstanding);
	base_counters_render(c->counters, &counters);
	for (i = 0; i < counters.len; i++)
		if (counters.ptr[i] == ' ')
			counters.ptr[i] = '=';
	base_buf_add_str(out, base_buf_str(&counters));
	add_quantiles(out, "latency_us", c->latency);
	add_quantiles(out, "latency_ok_us", c->latency_ok);
}

static void finish(struct caller *c)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;

	report(c, &out);
	fwrite(out.ptr, 1, out.len, stdout);
	fflush(stdout);
	event_base_loopbreak(c->loop);
}

static void end_call(struct call *call)
{
	struct caller *c = call->caller;

	c->outstanding--;
	free(call);
	if (!c->tick_timer && !c->outstanding)
		finish(c);
}

/* Counts a response whose label is that of another request. */
static void check_label(struct call *call, struct evhttp_request *req)
{
	const char *label = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Request-Label");

	if (label && strcmp(label, call->label) != 0)
		count(call->caller, "mismatched");
}

static void count_refusal(struct caller *c, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *reason =
		evhttp_find_header(headers, "Bilberryhinge-Refusal");
	const char *outcome =
		evhttp_find_header(headers, "Bilberryhinge-Outcome");

	if (reason)
		count_with_suffix(c, "reason", reason);
	if (outcome)
		count_with_suffix(c, "outcome", outcome);
}

static void send_call(struct call *call);

static void on_retry_due(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_call(arg);
}

static void send_later(struct call *call)
{
	int64_t us = call->caller->settings.retry_delay_us;
	const struct timeval delay = { us / BASE_SECOND_US,
				       us % BASE_SECOND_US };

	event_base_once(call->caller->loop, -1, EV_TIMEOUT, on_retry_due, call,
			&delay);
}

static void log_response(const struct call *call, struct evhttp_request *req)
{
	const char *outcome = NULL;

	if (!call->caller->settings.log_responses)
		return;
	if (req)
		outcome = evhttp_find_header(
			evhttp_request_get_input_headers(req),
			"Bilberryhinge-Outcome");
	printf("answer label=%s status=%d outcome=%s\n", call->label,
	       req ? evhttp_request_get_response_code(req) : 0,
	       outcome ? outcome : "none");
}

/* Returns false when no attempt is left or needed. */
static bool retry(struct call *call, int status)
{
	struct caller *c = call->caller;

	if (status >= 200 && status < 300 && !c->settings.resend)
		return false;
	if (call->attempts > c->settings.retries)
		return false;
	count(c, "retries");
	if (c->settings.retry_delay_us)
		send_later(call);
	else
		send_call(call);
	return true;
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct call *call = arg;
	struct caller *c = call->caller;
	int64_t us = base_now_us() - call->planned_at;
	int status = req ? evhttp_request_get_response_code(req) : 0;
	char text[24];

	fake_pool_return(call->pool, call->conn);
	snprintf(text, sizeof(text), "%d", status);
	if (status) {
		count_with_suffix(c, "status", text);
		check_label(call, req);
		count_refusal(c, req);
	} else {
		count(c, "failed");
	}
	log_response(call, status ? req : NULL);
	if (retry(call, status))
		return;
	base_histogram_record(c->latency, us);
	if (status >= 200 && status < 300) {
		base_histogram_record(c->latency_ok, us);
		count(c, "ok");
	}
	end_call(call);
}

static enum evhttp_cmd_type parse_method(const char *name)
{
	if (!strcmp(name, "GET"))
		return EVHTTP_REQ_GET;
	if (!strcmp(name, "POST"))
		return EVHTTP_REQ_POST;
	if (!strcmp(name, "PUT"))
		return EVHTTP_REQ_PUT;
	if (!strcmp(name, "DELETE"))
		return EVHTTP_REQ_DELETE;
	fake_die("unknown method \"%s\"", name);
}

static void add_headers(const struct call *call, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const struct settings *s = &call->caller->settings;
	char text[256];

	fake_pool_set_host(call->pool, req);
	evhttp_add_header(headers, "X-Request-Label", call->label);
	if (s->key) {
		snprintf(text, sizeof(text), "Bearer %s", s->key);
		evhttp_add_header(headers, "Authorization", text);
	}
	if (s->idempotency)
		evhttp_add_header(headers, "Idempotency-Key", call->key);
	if (s->timeout_ms) {
		snprintf(text, sizeof(text), "%lld", (long long)s->timeout_ms);
		evhttp_add_header(headers, "Bilberryhinge-Timeout-Ms", text);
	}
}

static void send_call(struct call *call)
{
	struct caller *c = call->caller;
	const struct settings *s = &c->settings;
	size_t target =
		(size_t)(call->number + call->attempts) % s->target_count;
	struct evhttp_request *req = evhttp_request_new(on_response, call);

	call->attempts++;
	call->pool = c->pools[target];
	call->conn = fake_pool_take(call->pool);
	add_headers(call, req);
	if (s->body_bytes)
		evbuffer_add(evhttp_request_get_output_buffer(req), c->body,
			     (size_t)s->body_bytes);
	count(c, "sent");
	if (s->log_responses)
		printf("sent label=%s at=%lld\n", call->label,
		       (long long)base_now_us());
	if (evhttp_make_request(call->conn, req, parse_method(s->method),
				s->path))
		on_response(NULL, call);
}

static void start_call(struct caller *c)
{
	struct call *call = base_alloc(sizeof(*call));

	call->caller = c;
	call->number = c->planned;
	call->planned_at =
		c->started_at + c->planned * BASE_SECOND_US / c->settings.rate;
	snprintf(call->label, sizeof(call->label), "%s-%lld", c->settings.label,
		 (long long)call->number);
	fake_uuid7_generate(&c->rnd, call->key);
	c->planned++;
	c->outstanding++;
	send_call(call);
}

static void on_drain_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	finish(arg);
}

static void end_plan(struct caller *c)
{
	const struct timeval drain = { c->settings.drain_us / BASE_SECOND_US,
				       c->settings.drain_us % BASE_SECOND_US };

	event_free(c->tick_timer);
	c->tick_timer = NULL;
	if (!c->outstanding)
		finish(c);
	else
		evtimer_add(c->drain_timer, &drain);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;
	int64_t elapsed = base_now_us() - c->started_at;
	int64_t due;

	(void)fd;
	(void)what;
	if (elapsed > c->settings.duration_us)
		elapsed = c->settings.duration_us;
	/* The first call is due at the start, the last one before the end. */
	due = (elapsed * c->settings.rate + BASE_SECOND_US - 1) /
	      BASE_SECOND_US;
	while (c->planned < due)
		start_call(c);
	if (elapsed == c->settings.duration_us)
		end_plan(c);
}

static void on_request(evhtp_request_t *req, void *arg)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;

	report(arg, &out);
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&out));
}

enum option_key {
	OPT_LISTEN = 'l',
	OPT_TARGET = 'T',
	OPT_KEY = 'k',
	OPT_METHOD = 'm',
	OPT_PATH = 'p',
	OPT_LABEL = 'L',
	OPT_RATE = 'r',
	OPT_DURATION = 'd',
	OPT_DRAIN = 'D',
	OPT_TIMEOUT = 't',
	OPT_BODY = 'b',
	OPT_RETRIES = 'R',
	OPT_SEED = 's',
	OPT_IDEMPOTENCY = 'i',
	OPT_RETRY_DELAY = 'w',
	OPT_LOG_RESPONSES = 'x',
	OPT_RESEND = 'S',
};

static const struct argp_option options[] = {
	{ "listen", OPT_LISTEN, "IP:PORT", 0, "Address, default 127.0.0.1:0",
	  0 },
	{ "target", OPT_TARGET, "IP:PORT", 0,
	  "Address to send to; may be repeated", 0 },
	{ "key", OPT_KEY, "KEY", 0, "Key to send as bearer token", 0 },
	{ "method", OPT_METHOD, "METHOD", 0, "Default GET", 0 },
	{ "path", OPT_PATH, "PATH", 0, "Default /", 0 },
	{ "label", OPT_LABEL, "TEXT", 0, "Prefix of X-Request-Label", 0 },
	{ "rate", OPT_RATE, "N", 0, "Requests per second", 0 },
	{ "duration-ms", OPT_DURATION, "MS", 0, "Duration of the load", 0 },
	{ "drain-ms", OPT_DRAIN, "MS", 0, "Time to wait for the last responses",
	  0 },
	{ "timeout-ms", OPT_TIMEOUT, "MS", 0,
	  "Sent as Bilberryhinge-Timeout-Ms", 0 },
	{ "body-bytes", OPT_BODY, "N", 0, "Length of the request body", 0 },
	{ "hard-retries", OPT_RETRIES, "N", 0,
	  "Retries after any failure, each at the next target", 0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of the random numbers", 0 },
	{ "idempotency", OPT_IDEMPOTENCY, NULL, 0, "Send Idempotency-Key", 0 },
	{ "retry-delay-ms", OPT_RETRY_DELAY, "MS", 0, "Delay before a retry",
	  0 },
	{ "log-answers", OPT_LOG_RESPONSES, NULL, 0,
	  "Print a line for each request and response", 0 },
	{ "resend", OPT_RESEND, NULL, 0, "Retry after success as well", 0 },
	{ 0 },
};

static error_t parse_text(int key, char *arg, struct settings *s)
{
	switch (key) {
	case OPT_LISTEN:
		s->listen = arg;
		return 0;
	case OPT_TARGET:
		if (s->target_count == TARGET_MAX)
			fake_die("more than %d targets", TARGET_MAX);
		s->targets[s->target_count++] = arg;
		return 0;
	case OPT_KEY:
		s->key = arg;
		return 0;
	case OPT_METHOD:
		s->method = arg;
		return 0;
	case OPT_PATH:
		s->path = arg;
		return 0;
	case OPT_LABEL:
		s->label = arg;
		return 0;
	case OPT_IDEMPOTENCY:
		s->idempotency = true;
		return 0;
	case OPT_LOG_RESPONSES:
		s->log_responses = true;
		return 0;
	case OPT_RESEND:
		s->resend = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *s = state->input;

	switch (key) {
	case OPT_RATE:
		s->rate = fake_parse_number("rate", arg);
		return 0;
	case OPT_DURATION:
		s->duration_us =
			fake_parse_number("duration-ms", arg) * BASE_MS_US;
		return 0;
	case OPT_DRAIN:
		s->drain_us = fake_parse_number("drain-ms", arg) * BASE_MS_US;
		return 0;
	case OPT_TIMEOUT:
		s->timeout_ms = fake_parse_number("timeout-ms", arg);
		return 0;
	case OPT_BODY:
		s->body_bytes = fake_parse_number("body-bytes", arg);
		return 0;
	case OPT_RETRIES:
		s->retries = fake_parse_number("hard-retries", arg);
		return 0;
	case OPT_RETRY_DELAY:
		s->retry_delay_us =
			fake_parse_number("retry-delay-ms", arg) * BASE_MS_US;
		return 0;
	case OPT_SEED:
		s->seed = fake_parse_number("seed", arg);
		return 0;
	default:
		return parse_text(key, arg, s);
	}
}

/* Creates the counters that scripts read, so that zeros are printed too. */
static void create_counters(struct caller *c)
{
	static const char *const names[] = { "sent", "ok", "failed", "retries",
					     "mismatched" };
	size_t i;

	c->counters = base_counters_create();
	for (i = 0; i < BASE_ARRAY_SIZE(names); i++)
		base_counters_get(c->counters, names[i]);
	c->latency = base_histogram_create();
	c->latency_ok = base_histogram_create();
}

static void create_pools(struct caller *c)
{
	int64_t timeout = c->settings.duration_us + c->settings.drain_us;
	size_t i;

	for (i = 0; i < c->settings.target_count; i++)
		c->pools[i] = fake_pool_create(c->loop, c->settings.targets[i],
					       timeout);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in for callers",
		NULL,	 NULL,	       NULL,
	};
	const struct timeval period = { 0, TICK_US };
	struct caller c = {
		.settings = {
			.listen = "127.0.0.1:0",
			.method = "GET",
			.path = "/",
			.label = "call",
			.rate = 100,
			.duration_us = 1 * BASE_SECOND_US,
			.drain_us = 5 * BASE_SECOND_US,
			.seed = 1,
		},
	};

	argp_parse(&argp, argc, argv, 0, NULL, &c.settings);
	if (!c.settings.target_count || !c.settings.rate)
		fake_die("--target is required and --rate must be positive");
	c.loop = fake_loop_create();
	c.body = base_alloc((size_t)c.settings.body_bytes + 1);
	memset(c.body, 'x', (size_t)c.settings.body_bytes);
	base_rand_seed(&c.rnd, (uint64_t)c.settings.seed);
	create_counters(&c);
	create_pools(&c);
	fake_handle_signals(c.loop);
	c.htp = fake_listen(c.loop, c.settings.listen, on_request, &c);
	c.started_at = base_now_us();
	c.drain_timer = evtimer_new(c.loop, on_drain_timeout, &c);
	c.tick_timer = event_new(c.loop, -1, EV_PERSIST, on_tick, &c);
	event_add(c.tick_timer, &period);
	event_base_dispatch(c.loop);
	exit(0);
}
