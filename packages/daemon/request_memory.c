/* Limits, counters and log lines of the memory for requests. */
#include "request_memory.h"

#include <sys/resource.h>

/*
 * Descriptors for the links to other daemons, the connections to the own
 * backend server (up to 1,366 on the users' machines), the platform and files.
 */
#define RESERVED_DESCRIPTORS 1792
/* At most one line of each cause in this time; the rest is counted. */
#define LOG_INTERVAL_US BASE_SECOND_US

struct drop_kind {
	const char *event;
	const char *counter;
};

static const struct drop_kind drop_kinds[] = {
	[HTTP_REQUEST_DROP_STALLED] = { "request_stalled",
					"requests_dropped_stalled" },
	[HTTP_REQUEST_DROP_MEMORY] = { "request_memory_short",
				       "requests_dropped_memory" },
	[HTTP_REQUEST_DROP_CONNECTION] = { "connections_short",
					   "connections_dropped" },
};

static void on_dropped(void *ctx, enum http_request_drop cause, size_t bytes)
{
	const struct drop_kind *kind = &drop_kinds[cause];
	struct node *node = ctx;
	struct base_counter *counter =
		base_counters_get(node->counters, kind->counter);
	int64_t now = base_now_us();
	struct base_log_line line;

	base_counter_add(counter, 1);
	if (now < node->drop_logged_at[cause] + LOG_INTERVAL_US)
		return;
	node->drop_logged_at[cause] = now;
	line = base_log_begin(node->log, BASE_LOG_WARN, kind->event);
	base_log_int(&line, "bytes", (int64_t)bytes);
	base_log_int(&line, "held_bytes",
		     (int64_t)http_request_budget_bytes(node->request_budget));
	base_log_int(&line, "dropped", base_counter_value(counter));
	base_log_end(&line);
}

size_t request_memory_max_connections(const struct node *node)
{
	size_t max = (size_t)node->settings->max_connections;
	struct rlimit files;
	size_t reserved, most;

	if (getrlimit(RLIMIT_NOFILE, &files) || files.rlim_cur == RLIM_INFINITY)
		return max;
	reserved = files.rlim_cur / 2 < RESERVED_DESCRIPTORS
			   ? files.rlim_cur / 2
			   : RESERVED_DESCRIPTORS;
	most = files.rlim_cur - reserved;
	return max < most ? max : most;
}

struct http_request_budget *request_memory_create(struct node *node)
{
	struct http_request_budget_settings settings = {
		.max_bytes = (size_t)node->settings->request_memory,
		.max_connections = request_memory_max_connections(node),
		.on_dropped = on_dropped,
		.ctx = node,
	};

	return http_request_budget_create(node->base, &settings);
}
