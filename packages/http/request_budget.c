/* Decisions about the memory and the connections of unfinished requests. */
#include "request_budget.h"

/* A client of 28 kbit/s, the slowest considered, sends 3,500 bytes a second. */
#define PROGRESS_BYTES 1024
/* Without progress for longer, a request is dropped when memory is short. */
#define STALL_US BASE_SECOND_US
/* Nothing received for longer: a client within its limits is not that slow. */
#define BODY_TIMEOUT_US (10 * BASE_SECOND_US)
/* A new connection has this long to send a request when others are waiting. */
#define FIRST_BYTES_US (250 * BASE_MS_US)
/* Requests that are smaller than this share of the limit are always read. */
#define SMALL_SHARE 512
#define SMALL_MIN_BYTES (4U << 10)
#define SMALL_MAX_BYTES (32U << 10)
/* Sources are counted in so many classes by their hash. */
#define SOURCE_CLASSES 64

void request_budget_init(struct request_budget *b, size_t max_bytes,
			 size_t max_connections)
{
	*b = (struct request_budget){ .max_bytes = max_bytes,
				      .max_connections = max_connections };
	TAILQ_INIT(&b->holders);
}

void request_budget_add(struct request_budget *b, struct request_holder *h,
			int64_t now)
{
	TAILQ_INSERT_TAIL(&b->holders, h, link);
	b->connections++;
	h->received_at = now;
	h->progress_at = now;
}

void request_budget_remove(struct request_budget *b, struct request_holder *h)
{
	request_budget_set_bytes(b, h, 0);
	TAILQ_REMOVE(&b->holders, h, link);
	b->connections--;
}

void request_budget_set_phase(struct request_holder *h,
			      enum request_phase phase, int64_t now)
{
	if (h->phase == phase)
		return;
	h->phase = phase;
	h->progress_at = now;
	h->received_at = now;
	h->received_bytes = 0;
	if (phase == REQUEST_READING)
		h->started_at = now;
	if (phase == REQUEST_PASSED_ON)
		h->proven = true;
}

void request_budget_set_bytes(struct request_budget *b,
			      struct request_holder *h, size_t bytes)
{
	b->bytes += bytes - h->bytes;
	h->bytes = bytes;
}

void request_budget_received(struct request_holder *h, size_t bytes,
			     int64_t now)
{
	if (!bytes)
		return;
	h->received_at = now;
	h->received_bytes += bytes;
	if (h->received_bytes < PROGRESS_BYTES)
		return;
	h->received_bytes = 0;
	h->progress_at = now;
}

void request_budget_set_paused(struct request_holder *h, bool paused,
			       int64_t now)
{
	if (h->paused && !paused) {
		h->progress_at = now;
		h->received_at = now;
	}
	h->paused = paused;
}

bool request_budget_is_overdue(const struct request_holder *h, int64_t now)
{
	return h->phase == REQUEST_READING && !h->paused &&
	       now - h->received_at > BODY_TIMEOUT_US;
}

static size_t small_bytes(const struct request_budget *b)
{
	size_t bytes = b->max_bytes / SMALL_SHARE;

	if (bytes < SMALL_MIN_BYTES)
		return SMALL_MIN_BYTES;
	return bytes < SMALL_MAX_BYTES ? bytes : SMALL_MAX_BYTES;
}

static bool is_stalled(const struct request_holder *h, int64_t now)
{
	return !h->paused && now - h->progress_at > STALL_US;
}

/* The oldest large request that comes on; NULL when there is none. */
static const struct request_holder *
find_favoured(const struct request_budget *b, int64_t now)
{
	const struct request_holder *h, *oldest = NULL;

	TAILQ_FOREACH (h, &b->holders, link) {
		if (h->phase != REQUEST_READING || is_stalled(h, now) ||
		    h->bytes <= small_bytes(b))
			continue;
		if (!oldest || h->started_at < oldest->started_at)
			oldest = h;
	}
	return oldest;
}

bool request_budget_must_wait(const struct request_budget *b,
			      const struct request_holder *h, int64_t now)
{
	return b->max_bytes && b->bytes > b->max_bytes / 2 &&
	       (h->phase == REQUEST_READING || h->phase == REQUEST_PASSED_ON) &&
	       h->bytes > small_bytes(b) && find_favoured(b, now) != h;
}

static struct request_holder *find_stalled(const struct request_budget *b,
					   int64_t now)
{
	struct request_holder *h, *oldest = NULL;

	TAILQ_FOREACH (h, &b->holders, link) {
		if (h->phase != REQUEST_READING || !h->bytes ||
		    !is_stalled(h, now))
			continue;
		if (!oldest || h->progress_at < oldest->progress_at)
			oldest = h;
	}
	return oldest;
}

static size_t source_class(const struct request_holder *h)
{
	return h->source % SOURCE_CLASSES;
}

/* The favoured request only when there is no other. */
static struct request_holder *find_largest(const struct request_budget *b,
					   int64_t now)
{
	const struct request_holder *favoured = find_favoured(b, now);
	size_t held[SOURCE_CLASSES] = { 0 };
	struct request_holder *h, *found = NULL;

	TAILQ_FOREACH (h, &b->holders, link)
		held[source_class(h)] += h->bytes;
	TAILQ_FOREACH (h, &b->holders, link) {
		size_t here = held[source_class(h)], there;

		if (h->phase != REQUEST_READING || !h->bytes)
			continue;
		there = found ? held[source_class(found)] : 0;
		if (!found || found == favoured ||
		    (h != favoured &&
		     (here > there ||
		      (here == there && h->bytes > found->bytes))))
			found = h;
	}
	return found;
}

struct request_holder *
request_budget_choose_request(const struct request_budget *b, int64_t now)
{
	struct request_holder *h;

	if (!b->max_bytes || b->bytes <= b->max_bytes / 2)
		return NULL;
	h = find_stalled(b, now);
	if (h || b->bytes <= b->max_bytes)
		return h;
	return find_largest(b, now);
}

bool request_budget_is_crowded(const struct request_budget *b)
{
	return b->max_connections && b->connections >= b->max_connections;
}

/* Those of a lower class are closed first; 3 and above are not closed. */
static int closing_class(const struct request_holder *h, int64_t now)
{
	if (h->delivering)
		return 3;
	switch (h->phase) {
	case REQUEST_CLOSING:
		/* A served caller may not have read its response yet. */
		return h->proven ? 3 : 0;
	case REQUEST_IDLE:
		if (h->proven)
			return 2;
		return now - h->progress_at > FIRST_BYTES_US ? 1 : 3;
	case REQUEST_READING:
		return is_stalled(h, now) ? 1 : 3;
	default:
		return 3;
	}
}

struct request_holder *
request_budget_choose_connection(const struct request_budget *b, int64_t now)
{
	struct request_holder *h, *found = NULL;
	int class, best = 3;

	TAILQ_FOREACH (h, &b->holders, link) {
		class = closing_class(h, now);
		if (class < best || (found && class == best &&
				     h->progress_at < found->progress_at)) {
			best = class;
			found = h;
		}
	}
	return found;
}
