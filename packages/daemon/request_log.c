/* Log lines about one request. */
#include "request_log.h"

#define SAMPLE_SEED 1

bool request_log_is_sampled(struct base_str id)
{
	return id.len &&
	       base_hash64(id, SAMPLE_SEED) % REQUEST_LOG_SAMPLE_INTERVAL == 0;
}

struct base_log_line request_log_begin(struct node *node, const char *event,
				       struct base_str id, bool succeeded)
{
	bool is_logged = !succeeded || request_log_is_sampled(id);
	struct base_log_line line = base_log_begin(is_logged ? node->log : NULL,
						   BASE_LOG_INFO, event);

	base_log_str(&line, "request", id);
	return line;
}
