/* Memory of the requests that servers receive. */
#include "server_memory.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/*
 * The system would let the buffer of a connection that is not read grow to
 * several MB. It doubles this value; a body of 1 MB takes 8 round trips then.
 */
#define RECEIVE_BUFFER_BYTES (64U << 10)
/* The smallest piece of memory that the allocator hands out. */
#define ALLOCATION_MIN_BYTES 32
#define ALLOCATION_EXTRA_BYTES 16
/* An input buffer takes at least this when there is a byte in it. */
#define INPUT_MIN_BYTES 1024
#define RESUME_INTERVAL_US (20 * BASE_MS_US)

struct http_request_budget {
	struct request_budget decisions;
	/* Pending while a connection is paused. */
	struct event *resume_timer;
	http_request_dropped_cb on_dropped;
	void *ctx;
};

static struct server_memory *of_holder(struct request_holder *h)
{
	return (struct server_memory *)h;
}

static void schedule_resume(struct http_request_budget *budget)
{
	if (!evtimer_pending(budget->resume_timer, NULL))
		evtimer_add(budget->resume_timer,
			    &(struct timeval){ .tv_usec = RESUME_INTERVAL_US });
}

static void set_paused(struct server_memory *m, bool paused, int64_t now)
{
	if (m->holder.paused == paused)
		return;
	request_budget_set_paused(&m->holder, paused, now);
	if (paused)
		schedule_resume(m->budget);
	m->on_paused(m->connection);
}

static size_t allocated(size_t len)
{
	len += ALLOCATION_EXTRA_BYTES + 1;
	return len < ALLOCATION_MIN_BYTES ? ALLOCATION_MIN_BYTES : len;
}

static size_t header_bytes(const struct http_headers *headers)
{
	size_t sum = headers->capacity * sizeof(struct http_header);
	size_t i;

	for (i = 0; i < headers->count; i++)
		sum += allocated(headers->items[i].name.len) +
		       allocated(headers->items[i].value.len);
	return sum;
}

static size_t input_bytes(const struct server_memory *m)
{
	size_t len = evbuffer_get_length(bufferevent_get_input(m->bev));
	int queued = 0;

	/* Without a reader, the system's buffer fills. */
	if (m->holder.paused &&
	    (ioctl(bufferevent_getfd(m->bev), FIONREAD, &queued) || queued < 0))
		queued = 0;
	if (len && len < INPUT_MIN_BYTES)
		len = INPUT_MIN_BYTES;
	return len + (size_t)queued;
}

static void measure(struct server_memory *m)
{
	const struct http_message *msg = m->message;

	if (!m->header_bytes && msg->headers_complete)
		m->header_bytes = header_bytes(&msg->headers);
	request_budget_set_bytes(&m->budget->decisions, &m->holder,
				 input_bytes(m) + m->header_bytes +
					 msg->target.cap + msg->name.cap +
					 msg->value.cap + msg->body.cap);
}

static void drop(struct http_request_budget *budget, struct request_holder *h,
		 enum server_memory_drop cause)
{
	struct server_memory *m = of_holder(h);
	size_t bytes = h->bytes;

	m->drop(m->connection, cause);
	if (budget->on_dropped)
		budget->on_dropped(budget->ctx, (enum http_request_drop)cause,
				   bytes);
}

/* Every turn ends the phase READING of one request, so the loop ends. */
static void drop_requests(struct http_request_budget *budget, int64_t now)
{
	struct request_holder *h;

	while ((h = request_budget_choose_request(&budget->decisions, now)))
		drop(budget, h,
		     budget->decisions.bytes > budget->decisions.max_bytes
			     ? SERVER_MEMORY_SHORT
			     : SERVER_MEMORY_STALLED);
}

static void on_resume_timer(evutil_socket_t fd, short events, void *arg)
{
	struct http_request_budget *budget = arg;
	struct request_holder *h;
	int64_t now = base_now_us();

	TAILQ_FOREACH (h, &budget->decisions.holders, link) {
		if (!h->paused)
			continue;
		measure(of_holder(h));
		if (request_budget_must_wait(&budget->decisions, h, now))
			schedule_resume(budget);
		else
			set_paused(of_holder(h), false, now);
	}
	drop_requests(budget, now);
}

void server_memory_limit_receive_buffer(int fd)
{
	int bytes = RECEIVE_BUFFER_BYTES;

	/* Accepted connections inherit it. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

bool server_memory_accept(struct http_request_budget *budget, bool crowded,
			  int64_t now)
{
	struct request_holder *h;

	if (!budget)
		return !crowded;
	if (!crowded && !request_budget_is_crowded(&budget->decisions))
		return true;
	h = request_budget_choose_connection(&budget->decisions, now);
	if (!h)
		return false;
	drop(budget, h, SERVER_MEMORY_CROWDED);
	return true;
}

static uint64_t hash_source(const struct sockaddr *source)
{
	struct base_str bytes = BASE_STR_NONE;

	if (source->sa_family == AF_INET)
		bytes = (struct base_str){
			(const char *)&((const struct sockaddr_in *)source)
				->sin_addr,
			sizeof(struct in_addr)
		};
	else if (source->sa_family == AF_INET6)
		bytes = (struct base_str){
			(const char *)&((const struct sockaddr_in6 *)source)
				->sin6_addr,
			sizeof(struct in6_addr)
		};
	return base_hash64(bytes, 0);
}

void server_memory_open(struct server_memory *m,
			struct http_request_budget *budget,
			const struct sockaddr *source, int64_t now)
{
	m->budget = budget;
	if (!budget)
		return;
	m->holder.source = hash_source(source);
	request_budget_add(&budget->decisions, &m->holder, now);
}

void server_memory_close(struct server_memory *m)
{
	if (m->budget)
		request_budget_remove(&m->budget->decisions, &m->holder);
	m->budget = NULL;
}

void server_memory_update(struct server_memory *m, size_t received, int64_t now)
{
	struct http_request_budget *budget = m->budget;

	if (!budget || m->holder.phase == REQUEST_CLOSING)
		return;
	if (m->holder.phase == REQUEST_IDLE)
		request_budget_set_phase(&m->holder, REQUEST_READING, now);
	request_budget_received(&m->holder, received, now);
	measure(m);
	set_paused(
		m,
		request_budget_must_wait(&budget->decisions, &m->holder, now),
		now);
	drop_requests(budget, now);
}

void server_memory_passed_on(struct server_memory *m, int64_t now)
{
	if (!m->budget)
		return;
	m->header_bytes = 0;
	measure(m);
	request_budget_set_phase(&m->holder, REQUEST_PASSED_ON, now);
}

size_t server_memory_request_bytes(const struct http_request *r)
{
	return allocated(r->path.len) + allocated(r->query.len) +
	       allocated(r->body.len) + header_bytes(&r->headers);
}

void server_memory_idle(struct server_memory *m, int64_t now)
{
	if (!m->budget)
		return;
	if (m->holder.phase == REQUEST_READING)
		request_budget_set_phase(&m->holder, REQUEST_IDLE, now);
	measure(m);
}

void server_memory_resumed(struct server_memory *m, int64_t now)
{
	m->holder.progress_at = now;
	m->holder.received_at = now;
}

void server_memory_answered(struct server_memory *m, int64_t now)
{
	if (!m->budget || m->holder.phase != REQUEST_PASSED_ON)
		return;
	request_budget_set_phase(&m->holder, REQUEST_IDLE, now);
	measure(m);
}

void server_memory_refused(struct server_memory *m, int64_t now)
{
	struct evbuffer *in;

	if (!m->budget)
		return;
	in = bufferevent_get_input(m->bev);
	set_paused(m, false, now);
	request_budget_set_phase(&m->holder, REQUEST_CLOSING, now);
	http_message_release(m->message);
	evbuffer_drain(in, evbuffer_get_length(in));
	request_budget_set_bytes(&m->budget->decisions, &m->holder, 0);
}

bool server_memory_is_overdue(const struct server_memory *m, int64_t now)
{
	return m->budget && m->message->headers_complete &&
	       request_budget_is_overdue(&m->holder, now);
}

void server_memory_check(struct http_request_budget *budget, int64_t now)
{
	if (budget)
		drop_requests(budget, now);
}

struct http_request_budget *
http_request_budget_create(struct event_base *base,
			   const struct http_request_budget_settings *settings)
{
	struct http_request_budget *budget = base_alloc(sizeof(*budget));

	request_budget_init(&budget->decisions, settings->max_bytes,
			    settings->max_connections);
	budget->resume_timer = evtimer_new(base, on_resume_timer, budget);
	budget->on_dropped = settings->on_dropped;
	budget->ctx = settings->ctx;
	return budget;
}

void http_request_budget_destroy(struct http_request_budget *budget)
{
	if (!budget)
		return;
	event_free(budget->resume_timer);
	free(budget);
}

size_t http_request_budget_bytes(const struct http_request_budget *budget)
{
	return budget->decisions.bytes;
}

bool http_request_budget_has_room(const struct http_request_budget *budget,
				  size_t bytes)
{
	return budget->decisions.bytes + bytes <= budget->decisions.max_bytes;
}

void http_request_budget_add(struct http_request_budget *budget, size_t bytes)
{
	budget->decisions.bytes += bytes;
}

void http_request_budget_subtract(struct http_request_budget *budget,
				  size_t bytes)
{
	budget->decisions.bytes -= bytes;
}
