/* Reads and watches of values at the platform's configuration service. */
#ifndef WATCH_H
#define WATCH_H

#include "http.h"

/** Connections to the platform, shared by several watches. */
struct watch_source;
/** A long poll for one value. */
struct watch;

/**
 * @param found  false when the platform has no such value
 * @param value  valid during the call only
 */
typedef void (*watch_value_cb)(void *ctx, const char *key, bool found,
			       struct base_str value);
/** Reports after each call whether the platform answered it. */
typedef void (*watch_state_cb)(void *ctx, bool up);

/**
 * @param address  "IP:PORT" of the platform
 * @return NULL with @p err set when the address cannot be used
 */
struct watch_source *watch_source_create(struct event_base *base,
					 const char *address,
					 watch_value_cb on_value,
					 watch_state_cb on_state, void *ctx,
					 struct base_error *err);
/** Its watches must be destroyed first. */
void watch_source_destroy(struct watch_source *source);
/** Reads a value once. A failed read is reported by watch_state_cb only. */
void watch_source_get(struct watch_source *source, const char *key);

/** Does not start the long poll, see watch_enable(). @p key is copied. */
struct watch *watch_create(struct watch_source *source, const char *key);
void watch_destroy(struct watch *watch);
/** Starts or stops the long poll; a failed one is repeated with jitter. */
void watch_enable(struct watch *watch, bool enabled);

#endif
