/* A transport that records its callbacks, for tests over loopback. */
#ifndef PEER_TESTS_NODE_H
#define PEER_TESTS_NODE_H

#include "peer.h"

#define FLEET_SECRET BASE_STR("a fleet secret for tests only")
#define RECORD_MAX 4096

struct node {
	struct event_base *loop;
	struct base_counters *counters;
	struct peer_transport *transport;
	/**
	 * One letter for each callback: `u` link up, `d` link down, `a` message
	 * on a link, `h` hello and `m` other message from a remote.
	 */
	char events[RECORD_MAX];
	size_t event_count;
	/** Sender of the last message from a remote. */
	struct peer_remote remote;
	uint64_t message_ids[RECORD_MAX];
	size_t message_id_count;
	struct peer_receive_info receive_info;
	enum peer_message_type last_type;
	/** Body size of the last request. */
	size_t last_body_bytes;
	/** Send an answer to each message from a remote except hello. */
	bool reply_to_requests;
	/** Close a link when a message is received on it. */
	bool close_link_on_message;
};

/** Returns an error instead of failing the test, for invalid settings. */
enum peer_status node_try_open(struct node *node, struct base_str listen,
			       struct base_str secret, struct base_error *err);
struct node *node_open_at(struct event_base *loop, struct base_str at,
			  struct base_str secret);
/** Opens a node on a free loopback port with FLEET_SECRET. */
struct node *node_open(struct event_base *loop);
/**
 * Opens a node on a port that the system gives to no other socket, so that it
 * can be opened there again after it was closed.
 */
struct node *node_open_reserved(struct event_base *loop);
void node_close(struct node *node);
/** Returns whether these events were recorded in direct succession. */
bool node_has_recorded(const struct node *node, const char *events);
int64_t node_counter(const struct node *node, const char *name);
void node_run_for(struct event_base *loop, int64_t us);
/** Runs the loop until the events are recorded; fails the test after 10 s. */
void node_run_until(struct node *node, const char *events);
enum peer_status node_send_request(struct node *node, struct peer_link *link,
				   uint64_t id);
/** Connects two nodes of one loop and waits until both report it. */
struct peer_link *node_connect(struct node *from, struct node *to);

#endif
