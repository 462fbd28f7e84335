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
/** The platform started (@p up) or stopped answering. */
typedef void (*registry_client_state_cb)(void *ctx, bool up);
/**
 * The platform has answered a call at @p at, and no call has failed since
 * @p since. Called before what the answer holds is applied to the mirror.
 */
typedef void (*registry_client_answer_cb)(void *ctx, int64_t since, int64_t at);
/** The platform has not answered a call, or not as it should. */
typedef void (*registry_client_failure_cb)(void *ctx);

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
	registry_client_answer_cb on_answer;
	registry_client_failure_cb on_failure;
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
 * Sets whether this daemon is a relay, which probes the platform several times
 * in three seconds. Other readers share their probes.
 */
void registry_client_set_relay(struct registry_client *c, bool relay);
/**
 * Latest time at which the mirror is known to have held all changes of the
 * platform, by calls of this client; 0 before any.
 */
int64_t registry_client_current_at(const struct registry_client *c);
/** A peer reads the platform, which therefore answers. */
void registry_client_confirm(struct registry_client *c);
/**
 * Replaces the watch in flight, at most every 500 ms. To be called when a peer
 * has a newer revision, as the watch may have lost its connection.
 */
void registry_client_restart_watch(struct registry_client *c, int64_t now);

#endif
