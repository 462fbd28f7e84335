/* Checks of peers that send nothing while requests are in flight there. */
#include "routing.h"

bool routing_liveness_check_due(const struct routing_liveness *l, int64_t now)
{
	return now - l->last_received_at >= ROUTING_CHECK_AFTER_US &&
	       now - l->last_check_at >= ROUTING_CHECK_AFTER_US;
}

void routing_liveness_check_sent(struct routing_liveness *l, int64_t now)
{
	if (l->check_started_at <= l->last_received_at)
		l->check_started_at = now;
	l->last_check_at = now;
}

bool routing_liveness_timed_out(const struct routing_liveness *l, int64_t now)
{
	return l->check_started_at > l->last_received_at &&
	       now - l->check_started_at >= ROUTING_CHECK_TIMEOUT_US;
}
