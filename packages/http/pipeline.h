/*
 * Order of the responses on one connection of the server, and the bounds of
 * what one connection may have in work. Opens no socket.
 */
#ifndef HTTP_PIPELINE_H
#define HTTP_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

struct evbuffer;

/** Requests of one connection that are in work at a time. */
#define HTTP_PIPELINE_MAX_OPEN 16
/**
 * No further request is started while this many bytes of responses wait for an
 * earlier one or for the caller to read them. Requests that are in work then
 * may still add their responses.
 */
#define HTTP_PIPELINE_MAX_HELD_BYTES (256U << 10)
/**
 * Counted for each waiting response beside its bytes, about what its structures
 * take, so that short responses are bounded in number too.
 */
#define HTTP_PIPELINE_SLOT_BYTES 1024

struct http_pipeline;

/** The place of one response among those of its connection. */
struct http_pipeline_slot {
	TAILQ_ENTRY(http_pipeline_slot) link;
	/** The pipeline that the slot is in, or NULL. */
	struct http_pipeline *pipeline;
	void *owner;
	/** The response while it waits for an earlier one, or NULL. */
	struct evbuffer *response;
	/** Bytes of the response before the end of its head. */
	size_t head_len;
	/** Others may run beside the request. */
	bool parallel;
	/** A response was kept; the request is not in work any more. */
	bool answered;
};

struct http_pipeline {
	TAILQ_HEAD(http_pipeline_slots, http_pipeline_slot) slots;
	/** Slots without a response. */
	size_t open_count;
	size_t waiting_count;
	/** Bytes of the responses that wait for an earlier one. */
	size_t waiting_bytes;
};

void http_pipeline_init(struct http_pipeline *p);
/** The slot whose response is sent next, or NULL. */
struct http_pipeline_slot *http_pipeline_first(const struct http_pipeline *p);
/** Whether no slot follows @p slot in its pipeline. */
bool http_pipeline_is_last(const struct http_pipeline_slot *slot);
/**
 * Whether the next request may be started now.
 * @param parallel  the request may run beside others
 * @param unsent  bytes of former responses that the caller has not read
 */
bool http_pipeline_may_start(const struct http_pipeline *p, bool parallel,
			     size_t unsent);
/** Appends a slot for a request in work; @p owner is returned with it. */
void http_pipeline_add(struct http_pipeline *p, struct http_pipeline_slot *slot,
		       void *owner, bool parallel);
/**
 * Keeps a response until those before it were sent. Takes ownership of
 * @p response, which must stay unchanged.
 * @param head_len  bytes of it before the end of its head
 */
void http_pipeline_hold(struct http_pipeline_slot *slot,
			struct evbuffer *response, size_t head_len);
/** Takes the response of a slot that has one; the caller frees it. */
struct evbuffer *http_pipeline_take(struct http_pipeline_slot *slot);
/** Removes the slot from its pipeline, if any, and frees its response. */
void http_pipeline_remove(struct http_pipeline_slot *slot);
/** Moves all slots to @p to, which must be empty. */
void http_pipeline_move(struct http_pipeline *to, struct http_pipeline *from);

#endif
