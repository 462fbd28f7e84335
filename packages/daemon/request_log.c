/* Log lines about one request. */
#include "request_log.h"

#define SAMPLE_SEED 1

bool request_log_sampled(struct base_str id)
{
	return id.len && base_hash64(id, SAMPLE_SEED) % REQUEST_LOG_SAMPLE == 0;
}

struct base_log_line request_log_begin(struct node *node, const char *event,
				       struct base_str id, bool went_well)
{
	bool wanted = !went_well || request_log_sampled(id);
	struct base_log_line line =
		base_log_begin(wanted ? node->log : NULL, BASE_LOG_INFO, event);

	base_log_str(&line, "request", id);
	return line;
}
