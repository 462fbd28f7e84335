/*
 * Reads and watches a platform's registry over HTTP and applies what it reads
 * to a mirror.
 */
#ifndef REGISTRY_CLIENT_H
#define REGISTRY_CLIENT_H

#include "registry.h"

struct registry_client;
struct event_base;

/** The mirror may have changed. */
typedef void (*registry_client_cb)(void *ctx);
/**
 * The platform started (@p up) or stopped answering.
 * @param after_outage  @p up, and calls had failed before
 */
typedef void (*registry_client_state_cb)(void *ctx, bool up, bool after_outage);

struct registry_client_settings {
	/** "IP:PORT" of the platform. */
	const char *address;
	const struct registry_codec *codec;
	/** The mirror; outlives the client. */
	struct registry *registry;
	struct base_log *log;
	struct base_counters *counters;
	registry_client_cb on_change;
	registry_client_state_cb on_state;
	void *ctx;
};

/** Starts with a read of all items. */
struct registry_client *
registry_client_create(struct event_base *base,
		       const struct registry_client_settings *settings,
		       struct base_error *err);
void registry_client_destroy(struct registry_client *c);
/**
 * Starts or stops watching for changes. A client watches from its creation on;
 * a watch in flight is not ended.
 */
void registry_client_set_reading(struct registry_client *c, bool reading);
/**
 * Sets how many daemons read the platform and share its probes; with 0, as at
 * first, all backend servers' daemons may.
 */
void registry_client_set_reader_count(struct registry_client *c, size_t count);
/** Time of the last complete answer of the platform; 0 before any. */
int64_t registry_client_answered_at(const struct registry_client *c);
/** A peer reads the platform, which therefore answers. */
void registry_client_confirm(struct registry_client *c, int64_t now);
/**
 * Replaces the watch in flight, at most every 500 ms. To be called when a peer
 * has a newer revision, as the watch may have lost its connection.
 */
void registry_client_restart_watch(struct registry_client *c, int64_t now);

#endif
