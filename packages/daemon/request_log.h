/* Log lines about one request, found by its id on each VM that it touched. */
#ifndef REQUEST_LOG_H
#define REQUEST_LOG_H

#include "node.h"

/**
 * Of requests that go well one in this many is logged, the same ones on all
 * VMs, so that a whole way can be followed.
 */
#define REQUEST_LOG_SAMPLE_INTERVAL 64

/** The request is one of the sample. */
bool request_log_is_sampled(struct base_str id);
/**
 * Starts a line about a request. One that went well is logged when the request
 * is in the sample, all others always.
 */
struct base_log_line request_log_begin(struct node *node, const char *event,
				       struct base_str id, bool succeeded);

#endif
