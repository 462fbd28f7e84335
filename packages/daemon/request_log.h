/*
 * Log lines about one request. They carry its id on every VM that handled it.
 */
#ifndef REQUEST_LOG_H
#define REQUEST_LOG_H

#include "node.h"

/**
 * One in this many successful requests is logged. All VMs pick the same ones,
 * so that the whole path of a request can be followed.
 */
#define REQUEST_LOG_SAMPLE_INTERVAL 64

/** True for a request that is in the sample. */
bool request_log_is_sampled(struct base_str id);
/**
 * Starts a line about a request. A successful request is logged only when it is
 * in the sample, any other always.
 */
struct base_log_line request_log_begin(struct node *node, const char *event,
				       struct base_str id, bool succeeded);

#endif
