/*
 * Stand-in for a backend server that runs a bounded number of requests at a
 * time and queues the others.
 *
 *   GET /executions   "LABEL COUNT" lines: executions for each X-Request-Label
 *   GET /stats        key=value lines
 *   PUT /control      key=value lines: service_us, slots, cold=1
 *
 * A request for any other path is executed. Segments of the path are
 * directives for its execution:
 *
 *   crash        exit when the request starts
 *   hang         run for a day
 *   cut          send a truncated response and close the connection
 *   echo         respond with the body of the request
 *   delay-MS     run longer
 *   large-BYTES  pad the response body to this length
 *   status-CODE  respond with this status
 */
#include "fake.h"

#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#define CHAIN_MAX 32
#define EXIT_COLD_OVERLOAD 70
#define EXIT_CRASH 71
#define HANG_US (86400 * BASE_SECOND_US)
#define ONWARD_TIMEOUT_US (30 * BASE_SECOND_US)

struct settings {
	const char *listen;
	const char *name;
	const char *onward;
	/** Onward calls as "PATH" or "METHOD:PATH", made in sequence. */
	const char *chain[CHAIN_MAX];
	size_t chain_count;
	int64_t slots;
	int64_t service_us;
	int64_t cold_slots;
	int64_t cold_us;
	bool log_executions;
	bool log_requests;
};

struct execution {
	char *label;
	int64_t count;
	UT_hash_handle hh;
};

struct backend {
	struct event_base *loop;
	evhtp_t *htp;
	struct settings settings;
	struct fake_pool *pool;
	struct base_rand rnd;
	struct execution *executions;
	/** Jobs that wait for a slot, oldest first. */
	struct job *queue_head;
	struct job **queue_tail;
	int64_t cold_since;
	int64_t execution_count;
	int64_t in_flight;
	int64_t in_flight_max;
	int64_t running;
	int64_t connections;
	int64_t connections_max;
	bool saw_authorization;
	bool saw_key;
};

/** Directives in the path of a request. */
struct directives {
	bool crash;
	bool hang;
	bool truncated;
	bool echo;
	int64_t delay_us;
	int64_t min_body_bytes;
	int64_t status;
};

/** A request that is queued or running. */
struct job {
	struct backend *backend;
	/** NULL after the client has closed the connection. */
	evhtp_request_t *req;
	struct event *timer;
	struct evhttp_connection *onward;
	struct directives directives;
	char *path;
	char *label;
	char *call_token;
	char *idempotency_key;
	size_t chain_index;
	struct job *next;
};

static char *header_copy(evhtp_request_t *req, const char *name)
{
	const char *value = evhtp_header_find(req->headers_in, name);

	return base_str_dup(base_str_from(value ? value : ""));
}

static int64_t number_after(const char *segment, const char *prefix)
{
	size_t len = strlen(prefix);
	int64_t number = 0;

	if (!strncmp(segment, prefix, len))
		base_str_to_i64(base_str_from(segment + len), &number);
	return number;
}

static struct directives parse_directives(const char *path)
{
	char *copy = base_str_dup(base_str_from(path));
	struct directives directives = { .status = 200 };
	char *rest = copy;
	char *segment;

	while ((segment = strsep(&rest, "/"))) {
		directives.crash |= !strcmp(segment, "crash");
		directives.hang |= !strcmp(segment, "hang");
		directives.truncated |= !strcmp(segment, "cut");
		directives.echo |= !strcmp(segment, "echo");
		directives.delay_us +=
			number_after(segment, "delay-") * BASE_MS_US;
		directives.min_body_bytes += number_after(segment, "large-");
		if (!strncmp(segment, "status-", 7))
			directives.status = number_after(segment, "status-");
	}
	free(copy);
	return directives;
}

static void count_execution(struct backend *b, const struct job *job)
{
	struct execution *e;

	b->execution_count++;
	HASH_FIND_STR(b->executions, job->label, e);
	if (!e) {
		e = base_alloc(sizeof(*e));
		e->label = base_str_dup(base_str_from(job->label));
		HASH_ADD_KEYPTR(hh, b->executions, e->label, strlen(e->label),
				e);
	}
	e->count++;
	if (!b->settings.log_executions)
		return;
	printf("executed label=%s path=%s call=%s at=%lld\n", job->label,
	       job->path, job->call_token, (long long)base_now_us());
	fflush(stdout);
}

static void start_next(struct backend *b);

static void job_free(struct job *job)
{
	if (job->timer)
		event_free(job->timer);
	free(job->path);
	free(job->label);
	free(job->call_token);
	free(job->idempotency_key);
	free(job);
}

static void job_end(struct job *job)
{
	struct backend *b = job->backend;

	b->in_flight--;
	b->running--;
	job_free(job);
	start_next(b);
}

/* Sends an incomplete response and closes the connection. */
static void reply_truncated(evhtp_request_t *req)
{
	static const char part[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 1000\r\n\r\npart";
	int fd = bufferevent_getfd(evhtp_request_get_bev(req));

	if (send(fd, part, sizeof(part) - 1, MSG_NOSIGNAL) < 0)
		fprintf(stderr, "cannot send the truncated response\n");
	shutdown(fd, SHUT_RDWR);
	evhtp_request_resume(req);
}

static void reply(struct job *job, int64_t status)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	evhtp_request_t *req = job->req;

	if (!req)
		return;
	evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	if (job->directives.truncated) {
		reply_truncated(req);
		return;
	}
	if (job->directives.echo)
		fake_copy_body(req, &body);
	else
		base_buf_addf(&body,
			      "{\"service\":\"%s\",\"path\":\"%s\","
			      "\"label\":\"%s\"}\n",
			      job->backend->settings.name, job->path,
			      job->label);
	while ((int64_t)body.len < job->directives.min_body_bytes)
		base_buf_add(&body, "                ", 16);
	fake_add_header(req, "Content-Type", "application/json");
	fake_add_header(req, "X-Request-Label", job->label);
	fake_reply(req, (evhtp_res)status, base_buf_str(&body));
}

static void finish(struct job *job, int64_t status)
{
	reply(job, status);
	job_end(job);
}

static void call_onward(struct job *job);

static void on_onward(struct evhttp_request *req, void *arg)
{
	struct job *job = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	fake_pool_return(job->backend->pool, job->onward);
	job->onward = NULL;
	if (status < 200 || status > 299) {
		finish(job, status ? status : EVHTP_RES_BADGATEWAY);
		return;
	}
	job->chain_index++;
	call_onward(job);
}

static enum evhttp_cmd_type parse_method(struct base_str name)
{
	if (base_str_equal(name, BASE_STR("POST")))
		return EVHTTP_REQ_POST;
	if (base_str_equal(name, BASE_STR("PUT")))
		return EVHTTP_REQ_PUT;
	if (base_str_equal(name, BASE_STR("DELETE")))
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

/*
 * Derives the idempotency key of an onward call from the key of the request and
 * keeps its timestamp, so that a second execution makes the same onward call.
 * Without a valid key in the request, the result is a random key.
 */
static void derive_onward_key(struct job *job, char out[FAKE_UUID_SIZE])
{
	uint64_t hash;

	fake_uuid7_generate(&job->backend->rnd, out);
	if (strlen(job->idempotency_key) != FAKE_UUID_SIZE - 1)
		return;
	hash = base_hash64(base_str_from(job->idempotency_key),
			   job->chain_index + 1);
	snprintf(out, FAKE_UUID_SIZE, "%.24s%012llx", job->idempotency_key,
		 (unsigned long long)(hash >> 16));
}

static void call_onward(struct job *job)
{
	struct backend *b = job->backend;
	struct evhttp_request *req;
	struct evkeyvalq *headers;
	char key[FAKE_UUID_SIZE];
	struct base_str method;
	const char *target;
	const char *colon;

	if (job->chain_index == b->settings.chain_count) {
		finish(job, job->directives.status);
		return;
	}
	target = b->settings.chain[job->chain_index];
	colon = strchr(target, ':');
	method = (struct base_str){ target, colon ? colon - target : 0 };
	req = evhttp_request_new(on_onward, job);
	headers = evhttp_request_get_output_headers(req);
	fake_pool_set_host(b->pool, req);
	evhttp_add_header(headers, "Bilberryhinge-Call", job->call_token);
	evhttp_add_header(headers, "X-Request-Label", job->label);
	if (parse_method(method) != EVHTTP_REQ_GET) {
		derive_onward_key(job, key);
		evhttp_add_header(headers, "Idempotency-Key", key);
	}
	job->onward = fake_pool_take(b->pool);
	if (evhttp_make_request(job->onward, req, parse_method(method),
				colon ? colon + 1 : target))
		on_onward(NULL, job);
}

static void on_service_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	call_onward(arg);
}

static void start(struct job *job)
{
	struct backend *b = job->backend;
	int64_t us = job->directives.hang ? HANG_US
					  : b->settings.service_us +
						    job->directives.delay_us;
	struct timeval delay = { us / BASE_SECOND_US, us % BASE_SECOND_US };

	b->running++;
	count_execution(b, job);
	if (job->directives.crash) {
		fprintf(stderr, "exiting: crash requested, label=%s\n",
			job->label);
		_exit(EXIT_CRASH);
	}
	job->timer = evtimer_new(b->loop, on_service_done, job);
	evtimer_add(job->timer, &delay);
}

static void start_next(struct backend *b)
{
	while (b->queue_head && b->running < b->settings.slots) {
		struct job *job = b->queue_head;

		b->queue_head = job->next;
		if (!b->queue_head)
			b->queue_tail = &b->queue_head;
		start(job);
	}
}

static bool is_cold(const struct backend *b)
{
	return base_now_us() - b->cold_since < b->settings.cold_us;
}

static int record_received_secrets(evhtp_kv_t *kv, void *arg)
{
	struct backend *b = arg;

	if (!strcasecmp(kv->key, "Authorization"))
		b->saw_authorization = true;
	if (strstr(kv->val, "bhk_"))
		b->saw_key = true;
	return 0;
}

static evhtp_res on_closed(evhtp_request_t *req, void *arg)
{
	struct job *job = arg;

	(void)req;
	job->req = NULL;
	return EVHTP_RES_OK;
}

static void accept_work(struct backend *b, evhtp_request_t *req)
{
	struct job *job = base_alloc(sizeof(*job));

	b->in_flight++;
	if (b->in_flight > b->in_flight_max)
		b->in_flight_max = b->in_flight;
	if (is_cold(b) && b->in_flight > b->settings.cold_slots) {
		fprintf(stderr, "died cold with %lld requests in flight\n",
			(long long)b->in_flight);
		_exit(EXIT_COLD_OVERLOAD);
	}
	if (b->settings.log_requests)
		fake_print_request(req);
	job->backend = b;
	job->req = req;
	job->path = base_str_dup(base_str_from(req->uri->path->full));
	job->directives = parse_directives(job->path);
	job->label = header_copy(req, "X-Request-Label");
	job->call_token = header_copy(req, "Bilberryhinge-Call");
	job->idempotency_key = header_copy(req, "Idempotency-Key");
	evhtp_request_pause(req);
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_closed, job);
	*b->queue_tail = job;
	b->queue_tail = &job->next;
	start_next(b);
}

static void reply_executions(struct backend *b, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;
	struct execution *e;
	struct execution *next;

	HASH_ITER (hh, b->executions, e, next)
		base_buf_addf(&out, "%s %lld\n", *e->label ? e->label : "-",
			      (long long)e->count);
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&out));
}

static void reply_stats(struct backend *b, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;

	base_buf_addf(&out, "executions=%lld\nin_flight=%lld\n",
		      (long long)b->execution_count, (long long)b->in_flight);
	base_buf_addf(&out, "in_flight_max=%lld\nconnections=%lld\n",
		      (long long)b->in_flight_max, (long long)b->connections);
	base_buf_addf(&out, "connections_max=%lld\ncold=%d\n",
		      (long long)b->connections_max, is_cold(b));
	base_buf_addf(&out, "saw_authorization=%d\nsaw_key=%d\n",
		      b->saw_authorization, b->saw_key);
	fake_reply(req, EVHTP_RES_OK, base_buf_str(&out));
}

static bool apply_setting(struct backend *b, char *line)
{
	char *value = strchr(line, '=');
	int64_t number;

	if (!value)
		return false;
	*value++ = '\0';
	if (!base_str_to_i64(base_str_from(value), &number) || number < 0)
		return false;
	if (!strcmp(line, "service_us"))
		b->settings.service_us = number;
	else if (!strcmp(line, "slots"))
		b->settings.slots = number;
	else if (!strcmp(line, "cold"))
		b->cold_since = base_now_us();
	else
		return false;
	return true;
}

static void control(struct backend *b, evhtp_request_t *req)
{
	BASE_CLEANUP(base_buf_release) struct base_buf body = BASE_BUF_INIT;
	char *rest;
	char *line;

	fake_copy_body(req, &body);
	rest = body.ptr;
	while ((line = strsep(&rest, "\n"))) {
		if (!*line || apply_setting(b, line))
			continue;
		fake_reply(req, EVHTP_RES_BADREQ,
			   BASE_STR("service_us=N, slots=N or cold=1\n"));
		return;
	}
	fake_reply(req, EVHTP_RES_OK, BASE_STR_NONE);
	start_next(b);
}

static void on_request(evhtp_request_t *req, void *arg)
{
	const char *path = req->uri->path->full;
	struct backend *b = arg;

	if (!strcmp(path, "/executions")) {
		reply_executions(b, req);
	} else if (!strcmp(path, "/stats")) {
		reply_stats(b, req);
	} else if (!strcmp(path, "/control")) {
		control(b, req);
	} else {
		evhtp_kvs_for_each(req->headers_in, record_received_secrets, b);
		accept_work(b, req);
	}
}

static evhtp_res on_connection_closed(evhtp_connection_t *conn, void *arg)
{
	struct backend *b = arg;

	(void)conn;
	b->connections--;
	return EVHTP_RES_OK;
}

static evhtp_res on_connection(evhtp_connection_t *conn, void *arg)
{
	struct backend *b = arg;

	b->connections++;
	if (b->connections > b->connections_max)
		b->connections_max = b->connections;
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_connection_closed, b);
	return EVHTP_RES_OK;
}

enum option_key {
	OPT_LISTEN = 'l',
	OPT_NAME = 'n',
	OPT_ONWARD = 'o',
	OPT_CHAIN = 'c',
	OPT_SLOTS = 's',
	OPT_SERVICE_US = 't',
	OPT_COLD_SLOTS = 'C',
	OPT_COLD_MS = 'M',
	OPT_LOG_EXECUTIONS = 'x',
	OPT_LOG_REQUESTS = 'r',
};

static const struct argp_option options[] = {
	{ "listen", OPT_LISTEN, "IP:PORT", 0, "Address, default 127.0.0.1:0",
	  0 },
	{ "name", OPT_NAME, "NAME", 0, "Service name in responses", 0 },
	{ "onward", OPT_ONWARD, "IP:PORT", 0, "Daemon for onward calls", 0 },
	{ "chain", OPT_CHAIN, "[METHOD:]PATH", 0,
	  "Onward call; may be repeated", 0 },
	{ "slots", OPT_SLOTS, "N", 0, "Requests executed concurrently", 0 },
	{ "service-us", OPT_SERVICE_US, "US", 0, "Service time", 0 },
	{ "cold-slots", OPT_COLD_SLOTS, "N", 0,
	  "Greatest number in flight while cold", 0 },
	{ "cold-ms", OPT_COLD_MS, "MS", 0, "Duration of the cold start", 0 },
	{ "log-executions", OPT_LOG_EXECUTIONS, NULL, 0,
	  "Print a line for each execution", 0 },
	{ "log-requests", OPT_LOG_REQUESTS, NULL, 0,
	  "Print requests as received", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *s = state->input;

	switch (key) {
	case OPT_LISTEN:
		s->listen = arg;
		return 0;
	case OPT_NAME:
		s->name = arg;
		return 0;
	case OPT_ONWARD:
		s->onward = arg;
		return 0;
	case OPT_CHAIN:
		if (s->chain_count == CHAIN_MAX)
			argp_error(state, "more than %d calls", CHAIN_MAX);
		s->chain[s->chain_count++] = arg;
		return 0;
	case OPT_SLOTS:
		s->slots = fake_parse_number("slots", arg);
		return 0;
	case OPT_SERVICE_US:
		s->service_us = fake_parse_number("service-us", arg);
		return 0;
	case OPT_COLD_SLOTS:
		s->cold_slots = fake_parse_number("cold-slots", arg);
		return 0;
	case OPT_COLD_MS:
		s->cold_us = fake_parse_number("cold-ms", arg) * BASE_MS_US;
		return 0;
	case OPT_LOG_EXECUTIONS:
		s->log_executions = true;
		return 0;
	case OPT_LOG_REQUESTS:
		s->log_requests = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in for a backend server",
		NULL,	 NULL,	       NULL,
	};
	struct backend b = {
		.settings = {
			.listen = "127.0.0.1:0",
			.name = "service",
			.slots = 100,
			.service_us = 1000,
		},
	};

	argp_parse(&argp, argc, argv, 0, NULL, &b.settings);
	if (b.settings.chain_count && !b.settings.onward)
		fake_die("--chain needs --onward");
	b.loop = fake_loop_create();
	b.queue_tail = &b.queue_head;
	b.cold_since = base_now_us();
	base_rand_seed_system(&b.rnd);
	if (b.settings.onward)
		b.pool = fake_pool_create(b.loop, b.settings.onward,
					  ONWARD_TIMEOUT_US);
	fake_handle_signals(b.loop);
	b.htp = fake_listen(b.loop, b.settings.listen, on_request, &b);
	evhtp_set_post_accept_cb(b.htp, on_connection, &b);
	event_base_dispatch(b.loop);
	exit(0);
}
