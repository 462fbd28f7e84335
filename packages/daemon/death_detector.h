/*
 * Tells the death of the backend server from the loss of single connections.
 */
#ifndef DEATH_H
#define DEATH_H

#include "base.h"

struct event_base;

/**
 * @param ids   requests whose connections were lost, in the order of loss
 * @param died  the server ended; all that was in flight was lost with it
 */
typedef void (*death_verdict_cb)(void *ctx, const uint64_t *ids, size_t count,
				 bool died);

struct death_detector;

/**
 * @param identified  the server tells its identity, so that a restart which the
 *                    probe does not see shows otherwise; the loss of all that
 *                    was in flight is no sign of it then
 */
struct death_detector *death_detector_create(struct event_base *base,
					     const char *address,
					     bool identified,
					     death_verdict_cb cb, void *ctx);
void death_detector_destroy(struct death_detector *watch);
/**
 * A connection was lost in the middle of a request. A verdict about all losses
 * of the next milliseconds follows, after the server was probed.
 * @param in_flight  requests in flight, this one included
 */
void death_detector_connection_lost(struct death_detector *watch, uint64_t id,
				    uint32_t in_flight, int64_t now);

#endif
