/* State shared by the files of the transport. Private to the package. */
#ifndef PEER_TRANSPORT_H
#define PEER_TRANSPORT_H

#include "keys.h"
#include "monitor.h"
#include "peer.h"
#include "socket_watch.h"
#include "zap.h"

#include <stdatomic.h>
#include <uthash.h>

/** Maximum number of messages queued in each direction of a connection. */
#define TRANSPORT_HWM_MESSAGES 512
#define TRANSPORT_RECONNECT_MIN_MS 50
#define TRANSPORT_RECONNECT_MAX_MS 1000
#define TRANSPORT_CONNECT_TIMEOUT_MS 1000
#define TRANSPORT_HANDSHAKE_TIMEOUT_MS 5000
/** A connection is closed when sent bytes are not acknowledged in this time. */
#define TRANSPORT_TCP_TIMEOUT_MS 5000
#define TRANSPORT_MAX_SOCKETS 8192
/**
 * Maximum time to send queued replies when the process ends. Without it, 7 of 8
 * large answers were lost.
 */
#define TRANSPORT_LINGER_MS 500
/** State of a connection is freed after this time without a message. */
#define REMOTE_IDLE_TIMEOUT_US (120 * BASE_SECOND_US)
#define REMOTE_SWEEP_INTERVAL_S 30

struct message_counters {
	struct base_counter *messages;
	struct base_counter *bytes;
};

struct transport_counters {
	struct message_counters sent[PEER_TYPE_END];
	struct message_counters received[PEER_TYPE_END];
	struct base_counter *send_failures;
	struct base_counter *malformed;
	struct base_counter *unknown_type;
	struct base_counter *refused_key;
	struct base_counter *refused_protocol;
	struct base_counter *links;
	struct base_counter *links_up;
	struct base_counter *links_detached;
};

struct peer_link {
	struct peer_transport *transport;
	char *address;
	struct socket_watch dealer;
	struct monitor monitor;
	/** Opens a new socket after a connection has failed or ended. */
	struct event *reconnect_timer;
	int backoff_ms;
	struct peer_link_clock clock;
	void *data;
	bool up;
	/** It is in the list of detached links and not in the table. */
	bool detached;
	/** It was attached again, which is reported by the event loop. */
	bool attached;
	struct peer_link *prev, *next;
	struct peer_link *next_closed;
	UT_hash_handle hh;
};

/** State of a connection from a remote. */
struct remote_connection {
	struct peer_remote id;
	struct peer_link_clock clock;
	int64_t last_received_at;
	UT_hash_handle hh;
};

struct peer_transport {
	struct event_base *loop;
	void *zmq;
	struct fleet_keys keys;
	struct zap zap;
	struct socket_watch router;
	struct monitor router_monitor;
	struct event *sweep_timer;
	/**
	 * Frees closed links outside of callbacks, as a callback may close any
	 * link.
	 */
	struct event *free_timer;
	/** Reports attached links as up. */
	struct event *attach_timer;
	char *address;
	/** Source of outgoing connections; empty if chosen by the system. */
	char source_ip[64];
	char *vm;
	uint64_t incarnation;
	uint64_t config_version;
	struct base_log *log;
	struct peer_transport_callbacks callbacks;
	void *ctx;
	struct transport_counters counters;
	/** The encoded message that is being sent. */
	struct base_buf encode_buffer;
	/**
	 * Bytes of replies that wait for the network. The I/O thread of ZeroMQ
	 * subtracts what it has taken.
	 */
	atomic_size_t queued_bytes;
	/** Table by address. */
	struct peer_link *links;
	struct peer_link *detached_links;
	struct peer_link *closed_links;
	struct remote_connection *remotes;
};

/** Creates a socket with the options that all connections use, or NULL. */
void *transport_create_socket(struct peer_transport *t, int type);
/**
 * Writes "tcp://IP:PORT" to @p out.
 * @param any_port  also accept port 0
 * @return false for a malformed address
 */
bool transport_format_endpoint(struct base_str address, bool any_port,
			       char *out, size_t size);
/** Sets `sent_at` and encodes the message into the encode buffer. */
enum peer_status transport_encode(struct peer_transport *t,
				  struct peer_message *msg);
/** Counts and logs a sent message; @p address is NULL for a reply. */
void transport_record_sent(struct peer_transport *t, const char *address,
			   const struct peer_message *msg);
/**
 * Decodes, counts and logs a received message, or counts and logs its error.
 * @param address  address of the link, or NULL for a connection of a remote
 * @return false when @p bytes cannot be decoded
 */
bool transport_decode(struct peer_transport *t, const char *address,
		      struct base_str bytes, struct peer_message *msg);

/** Binds the listening socket. The transport is destroyed on failure. */
enum peer_status listener_open(struct peer_transport *t, struct base_str listen,
			       struct base_error *err);
void listener_close(struct peer_transport *t);

/** Returns NULL for a malformed address or when no socket is available. */
struct peer_link *link_create(struct peer_transport *t,
			      struct base_str address);
/** Closes the sockets; the memory stays while callbacks may be running. */
void link_close(struct peer_link *link);
void link_destroy(struct peer_link *link);
/** Reports the links that were attached as up, as if they had just connected.
 */
void link_report_attached(struct peer_transport *t);
/** Frees the links that were closed. */
void link_free_closed(struct peer_transport *t);
void link_close_all(struct peer_transport *t);

#endif
