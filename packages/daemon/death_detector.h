/*
 * Distinguishes the death of the backend server process from the loss of single
 * connections to it.
 */
#ifndef DEATH_DETECTOR_H
#define DEATH_DETECTOR_H

#include "base.h"

struct event_base;

/**
 * @param ids   requests whose connections were lost, in the order of loss;
 *              valid during the call
 * @param died  the server process ended, and all requests in flight were lost
 */
typedef void (*death_detector_cb)(void *ctx, const uint64_t *ids, size_t count,
				  bool died);

struct death_detector;

/**
 * @param address     of the backend server
 * @param identified  the server reports the identity of its instance, which
 *                    reveals a restart that the probe misses; the loss of all
 *                    requests in flight then does not count as a death
 * @return NULL when the address is not valid
 */
struct death_detector *death_detector_create(struct event_base *base,
					     const char *address,
					     bool identified,
					     death_detector_cb cb, void *ctx);
void death_detector_destroy(struct death_detector *detector);
/**
 * A connection was lost during a request. The first loss starts a probe, i.e. a
 * connection to the server. The callback follows after some milliseconds and
 * covers all losses until then.
 * @param in_flight  requests in flight, including this one
 */
void death_detector_connection_lost(struct death_detector *detector,
				    uint64_t id, uint32_t in_flight,
				    int64_t now);

#endif
