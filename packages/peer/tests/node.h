/* A transport with a record of its callbacks, for tests over loopback. */
#ifndef PEER_TESTS_NODE_H
#define PEER_TESTS_NODE_H

#include "peer.h"

#define SECRET BASE_STR("a fleet secret for tests only")
#define LOG_SIZE 4096

/* A transport that writes what happens to it, one letter an event. */
struct node {
	struct event_base *loop;
	struct base_counters *counters;
	struct peer_transport *transport;
	char events[LOG_SIZE];
	size_t event_count;
	struct peer_remote remote;
	uint64_t ids[LOG_SIZE];
	size_t id_count;
	struct peer_receive_info receive_info;
	enum peer_type last_type;
	size_t last_body;
	bool echo;
	bool unlink_on_message;
};

/** Does not assert; for settings that must be refused. */
enum peer_status node_try_open(struct node *node, struct base_str listen,
			       struct base_str secret, struct base_error *err);
struct node *node_open_at(struct event_base *loop, struct base_str at,
			  struct base_str secret);
/** On any free port with the common secret. */
struct node *node_open(struct event_base *loop);
void node_close(struct node *node);
/** True when the events occurred one after the other. */
bool node_saw(const struct node *node, const char *events);
int64_t node_counter(const struct node *node, const char *name);
void node_run_for(struct event_base *loop, int64_t us);
/** Runs the node's loop until it saw the events, at most 10 s. */
void node_run_until(struct node *node, const char *events);
enum peer_status node_send_request(struct node *node, struct peer_link *link,
				   uint64_t id);
/** Links two nodes of one loop and waits until both know. */
struct peer_link *node_connect(struct node *from, struct node *to);

#endif
