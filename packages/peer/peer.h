/**
 * @file
 * Messages between daemons: their typed form and msgpack encoding, the ZeroMQ
 * transport that carries them, and the clock that ages them.
 *
 * Nothing here keeps global state. An object may be used by one thread at a
 * time; a transport belongs to the thread that runs its event loop.
 */
#ifndef PEER_H
#define PEER_H

#include "base.h"

struct event_base;

/** Results of functions in this package. */
enum peer_status {
	PEER_OK = 0,
	/** Bytes that are not a message of this protocol. */
	PEER_ERR_MALFORMED,
	/** A well-formed message of a type unknown to this version. */
	PEER_ERR_UNKNOWN_TYPE,
	/** A frame, string or list over its bound. */
	PEER_ERR_TOO_LARGE,
	/** Not connected, or the remote has gone. Nothing was sent. */
	PEER_ERR_UNREACHABLE,
	/** Connected, but the send queue is full. Nothing was sent. */
	PEER_ERR_BUSY,
	/** A setting that cannot be used. */
	PEER_ERR_INVALID,
	PEER_ERR_SYSTEM,
};

/** Returns a static description of a status. Never NULL. */
const char *peer_strerror(enum peer_status status);

/** Longest name, key, traceparent or reason, in bytes. */
#define PEER_NAME_MAX_BYTES 256
/** Longest path or header value, in bytes. */
#define PEER_TEXT_MAX_BYTES 16384
/** Longest body or configuration value, in bytes. */
#define PEER_BODY_MAX_BYTES 1048576
/** Longest encoded message, in bytes. */
#define PEER_FRAME_MAX (PEER_BODY_MAX_BYTES + 131072)
/** Most elements of a list. */
#define PEER_LIST_MAX_ITEMS 256

/** First element of every message; values are never reused. */
enum peer_type {
	PEER_HELLO = 1,
	PEER_HEARTBEAT,
	PEER_REQUEST,
	PEER_CANCEL,
	PEER_ANSWER,
	PEER_CLAIM,
	PEER_CLAIM_ANSWER,
	PEER_COMPLETE,
	PEER_RELEASE,
	PEER_RATE_ASK,
	PEER_RATE_GRANT,
	PEER_SUSPECT,
	PEER_SUSPECT_ASK,
	PEER_SUSPECT_ANSWER,
	PEER_CONFIG_ANNOUNCE,
	PEER_CONFIG_GET,
	PEER_CONFIG_VALUE,
	PEER_TYPE_END,
};

/** Returns the name used in logs and counters, "unknown" if out of range. */
const char *peer_type_name(enum peer_type type);

/** What is known about the execution of a request. */
enum peer_outcome {
	PEER_OUTCOME_RAN,
	PEER_OUTCOME_NOT_RUN,
	PEER_OUTCOME_UNKNOWN,
	PEER_OUTCOME_END,
};

enum peer_claim_result {
	/** The claimer may run the request; the claim id names its claim. */
	PEER_CLAIM_NEW,
	PEER_CLAIM_RUNNING,
	/** The stored answer is included. */
	PEER_CLAIM_DONE,
	PEER_CLAIM_TOO_OLD,
	PEER_CLAIM_MISMATCH,
	/** The ledger holds its most keys. */
	PEER_CLAIM_FULL,
	/** The daemon does not own the key, or not yet. */
	PEER_CLAIM_NOT_OWNER,
	/** The owner cannot tell yet what its predecessors accepted. */
	PEER_CLAIM_NOT_READY,
	/** The key was created in the future of the owner's clock. */
	PEER_CLAIM_TOO_NEW,
	/** The claim was read after the claimer stopped waiting. */
	PEER_CLAIM_LATE,
	PEER_CLAIM_RESULT_END,
};

enum peer_suspect_state {
	PEER_SUSPECT_SUSPECTED,
	PEER_SUSPECT_CONVICTED,
	/** It ran without harm. */
	PEER_SUSPECT_CLEARED,
	/** It did not run; the permission to run it is returned. */
	PEER_SUSPECT_RELEASED,
	PEER_SUSPECT_STATE_END,
};

enum peer_suspect_verdict {
	PEER_SUSPECT_RUN,
	/** Another suspect runs on the service. */
	PEER_SUSPECT_WAIT,
	PEER_SUSPECT_REFUSE,
	/** It is no suspect at the arbiter; it may run like any other. */
	PEER_SUSPECT_UNRESTRICTED,
	PEER_SUSPECT_VERDICT_END,
};

struct peer_header {
	struct base_str name;
	struct base_str value;
};

struct peer_headers {
	const struct peer_header *items;
	size_t count;
};

/** What a request carries along its whole call chain. */
struct peer_context {
	struct base_str account;
	struct base_str route;
	/** Priority level of the route; the configuration orders the levels. */
	uint32_t priority;
	/** 0 for the first execution at this hop, 1 for the retry. */
	uint32_t attempt;
	/** Empty when the caller sent none. */
	struct base_str idempotency_key;
	struct base_str traceparent;
	/** Time left to the caller when the message was sent. */
	int64_t remaining_us;
	/** Hops from the entry daemon, which has 0. */
	uint32_t depth;
	/** The route is open to all; the account is empty. */
	bool open;
	/** Service that is to run it; empty when the sender omits it. */
	struct base_str service;
	/** Service at whose VM the request began; empty when not told. */
	struct base_str caller_service;
	/** The request may run more than once, as its entry decided. */
	bool idempotent;
};

/** First message on a link. */
struct peer_hello {
	struct base_str vm;
	/** Greater after each start of the daemon. */
	uint64_t incarnation;
	/** Active configuration version; 0 when there is none. */
	uint64_t version;
};

/** The oldest configuration version reported by a failure domain. */
struct peer_domain_version {
	struct base_str domain;
	uint64_t version;
};

struct peer_domain_versions {
	const struct peer_domain_version *items;
	size_t count;
};

struct peer_heartbeat {
	uint32_t load;
	uint32_t limit;
	bool cold_full;
	bool draining;
	uint64_t version;
	struct base_digest hash;
	struct peer_domain_versions domains;
	/** The daemon takes work for a short time before it drains. */
	bool stopping;
};

struct peer_request {
	/** By the sender's clock, so comparable with its sent_at only. */
	int64_t deadline_us;
	struct peer_context context;
	struct base_str method;
	struct base_str path;
	struct peer_headers headers;
	struct base_str body;
};

/** Lowest priority level that a service accepts at present. */
struct peer_cutoff {
	struct base_str service;
	uint32_t level;
};

struct peer_cutoffs {
	const struct peer_cutoff *items;
	size_t count;
};

/** Answers the request with the same id. */
struct peer_answer {
	/** HTTP status. */
	uint32_t status;
	enum peer_outcome outcome;
	/** Reason of a refusal, empty for answers of the backend server. */
	struct base_str reason;
	/** 0 when the refusal gives no time. */
	uint32_t retry_after_ms;
	struct peer_headers headers;
	struct base_str body;
	uint32_t load;
	uint32_t limit;
	bool cold_full;
	bool draining;
	struct peer_cutoffs cutoffs;
	/** A hop of the call chain has used its retry. */
	bool retried;
	/** The backend server has seen the request, also if it rejected it. */
	bool arrived;
	/** As in heartbeats. */
	bool stopping;
};

struct peer_claim {
	struct base_str account;
	struct base_str key;
	struct base_digest fingerprint;
	int64_t remaining_us;
};

/** Answer of a request that ran, as kept by the owner of its key. */
struct peer_stored_answer {
	uint32_t status;
	struct peer_headers headers;
	struct base_str body;
};

/** Answers the claim with the same id. */
struct peer_claim_answer {
	enum peer_claim_result result;
	/** Set for PEER_CLAIM_NEW, otherwise 0. */
	uint64_t claim_id;
	/** Set for PEER_CLAIM_DONE. */
	struct peer_stored_answer stored;
};

/** Ends a claim whose request ran or may have run. */
struct peer_complete {
	struct base_str account;
	struct base_str key;
	uint64_t claim_id;
	/** PEER_OUTCOME_RAN with the answer, or PEER_OUTCOME_UNKNOWN. */
	enum peer_outcome outcome;
	struct peer_stored_answer stored;
};

/** Ends a claim whose request did not run; the key becomes free. */
struct peer_release {
	struct base_str account;
	struct base_str key;
	uint64_t claim_id;
};

/** What became of the tokens of one grant since the last ask. */
struct peer_rate_return {
	uint64_t grant_id;
	int64_t used_mtok;
	int64_t returned_mtok;
};

struct peer_rate_returns {
	const struct peer_rate_return *items;
	size_t count;
};

/** Amounts are milli-tokens. */
struct peer_rate_ask {
	struct base_str account;
	struct base_str vm;
	/** Of the asking process; random. */
	uint64_t incarnation;
	uint64_t sequence;
	/** For requests that wait. */
	int64_t wanted_mtok;
	struct peer_rate_returns returns;
	/** For requests expected soon. 0 when the sender omits it. */
	int64_t ahead_mtok;
	/** Process that granted what is returned; 0 when none or omitted. */
	uint64_t holder;
};

enum peer_rate_status {
	PEER_RATE_OK,
	/** The daemon has no share of the account. */
	PEER_RATE_NOT_HOLDER,
	/** The daemon still waits for grants of former holders to lapse. */
	PEER_RATE_STARTING,
	PEER_RATE_STATUS_END,
};

/** Answers the ask with the same id. */
struct peer_rate_grant {
	struct base_str account;
	uint64_t sequence;
	/** 0 when nothing is granted. */
	uint64_t grant_id;
	int64_t granted_mtok;
	/** From the moment the entry sent its ask. */
	int64_t lifetime_us;
	/** Time after which asking again may help; 0 for no advice. */
	int64_t wait_us;
	/** Copied from the ask; 0 when the sender omits it. */
	uint64_t incarnation;
	/** Process that grants; random. 0 when the sender omits it. */
	uint64_t holder;
	/** PEER_RATE_OK when the sender omits it. */
	enum peer_rate_status status;
};

struct peer_suspect {
	struct base_str service;
	struct base_digest fingerprint;
	enum peer_suspect_state state;
	/** Grows each time the request becomes a suspect again. */
	uint32_t round;
	/**
	 * 0 for news. Otherwise the message tells the arbiter how the run with
	 * this permit ended: CLEARED, CONVICTED when the server died, or
	 * RELEASED.
	 */
	uint64_t permit_id;
};

struct peer_suspect_ask {
	struct base_str service;
	struct base_digest fingerprint;
	/** What the asking guard knows of it. */
	enum peer_suspect_state state;
	uint32_t round;
	/** Time left to the request when the message was sent. */
	int64_t remaining_us;
};

/** Answers the ask with the same id. */
struct peer_suspect_answer {
	enum peer_suspect_verdict verdict;
	/** Set for PEER_SUSPECT_RUN, otherwise 0. */
	uint64_t permit_id;
	/** Time that the permit is good for, from the sending of the ask. */
	int64_t lifetime_us;
	/** For PEER_SUSPECT_WAIT: time until the next ask. */
	int64_t wait_us;
};

struct peer_config_announce {
	uint64_t version;
	struct base_digest hash;
};

struct peer_config_get {
	struct base_str key;
};

/** Answers the get with the same id. */
struct peer_config_value {
	struct base_str key;
	/** The sender's active version and hash; 0 when there is none. */
	uint64_t version;
	struct base_digest hash;
	bool found;
	struct base_str value;
};

/**
 * A message. The sender owns what the views point to. In a decoded message they
 * point into the received bytes, which must outlive it, and lists into memory
 * that peer_message_release() frees.
 */
struct peer_message {
	enum peer_type type;
	/** Matches an answer with its request; 0 for messages without one. */
	uint64_t id;
	/** By the sender's clock, in microseconds. The transport sets it. */
	int64_t sent_at;
	union {
		struct peer_hello hello;
		struct peer_heartbeat heartbeat;
		struct peer_request request;
		struct peer_answer answer;
		struct peer_claim claim;
		struct peer_claim_answer claim_answer;
		struct peer_complete complete;
		struct peer_release release;
		struct peer_rate_ask rate_ask;
		struct peer_rate_grant rate_grant;
		struct peer_suspect suspect;
		struct peer_suspect_ask suspect_ask;
		struct peer_suspect_answer suspect_answer;
		struct peer_config_announce config_announce;
		struct peer_config_get config_get;
		struct peer_config_value config_value;
	};
	/** Private to the decoder; NULL in messages that are built. */
	void *memory;
};

/**
 * Appends the encoding of @p msg to @p out.
 * @return PEER_ERR_TOO_LARGE when a field is over its bound, and
 *         PEER_ERR_UNKNOWN_TYPE; @p out is then unchanged. @p err may be NULL.
 */
enum peer_status peer_message_encode(const struct peer_message *msg,
				     struct base_buf *out,
				     struct base_error *err);
/**
 * Decodes one message that fills @p bytes. Elements after the known ones of a
 * type are ignored, so that a newer daemon may append fields. Fields that were
 * appended to a type are 0 in messages of older daemons.
 * @return PEER_ERR_MALFORMED, PEER_ERR_UNKNOWN_TYPE or PEER_ERR_TOO_LARGE;
 *         @p msg then needs no release. @p err may be NULL.
 */
enum peer_status peer_message_decode(struct base_str bytes,
				     struct peer_message *msg,
				     struct base_error *err);
void peer_message_release(struct peer_message *msg);

/** Slots of the window; each covers an equal share of it. */
#define PEER_CLOCK_SLOTS 6
/** Time after which a smallest difference is forgotten. */
#define PEER_CLOCK_WINDOW_US (60 * BASE_SECOND_US)

/**
 * Estimates how long messages of one sender were queued. The clocks of the two
 * machines need not agree; the smallest difference seen stands for no queuing.
 * Pure: no system clock, no allocation.
 */
struct peer_link_clock {
	int64_t smallest[PEER_CLOCK_SLOTS];
	/** Number of the newest slot since the clock's origin. */
	int64_t slot;
	bool started;
};

void peer_link_clock_reset(struct peer_link_clock *clock);
/** Records a message and returns its age above the baseline, 0 or more. */
int64_t peer_link_clock_observe(struct peer_link_clock *clock, int64_t sent_at,
				int64_t now);
/** Age of a message that was observed before, for example one in a queue. */
int64_t peer_link_clock_age(const struct peer_link_clock *clock,
			    int64_t sent_at, int64_t now);

struct peer_transport;
/** An outgoing connection to the daemon at one address. */
struct peer_link;

/** Names a remote daemon's connection. May be copied and used later. */
struct peer_remote {
	uint8_t size;
	uint8_t bytes[31];
};

/** How a message arrived. */
struct peer_receive_info {
	int64_t received_at;
	/** Time in queues by the link clock. */
	int64_t age_us;
};

/**
 * All are called on the loop's thread, from the event loop or from
 * peer_transport_receive_pending(), never from a send. The message and what it
 * points to are valid during the call only. A callback may send, open links and
 * close any link; it must not destroy the transport.
 * A callback may be NULL.
 */
struct peer_transport_callbacks {
	/** A message came back on a link, in the order of sending. */
	void (*link_message)(void *ctx, struct peer_link *link,
			     const struct peer_message *msg,
			     const struct peer_receive_info *receive_info);
	/** A remote daemon sent a message; reply with its handle. */
	void (*remote_message)(void *ctx, const struct peer_remote *remote,
			       const struct peer_message *msg,
			       const struct peer_receive_info *receive_info);
	/** Encrypted and accepted; sends work from here on. */
	void (*link_up)(void *ctx, struct peer_link *link);
	/**
	 * The connection ended; messages that arrived before were delivered.
	 * What was sent and not answered may or may not have arrived. The
	 * link reconnects by itself, after 50 ms at first and 1 s at most.
	 * After a network cut this comes up to 5 s late; a missing heartbeat
	 * shows a silent remote sooner.
	 */
	void (*link_down)(void *ctx, struct peer_link *link);
};

struct peer_transport_settings {
	/** IP address and port, "127.0.0.1:0" for any free port. */
	struct base_str listen;
	/** At least PEER_SECRET_MIN_BYTES bytes, equal on all daemons. */
	struct base_str fleet_secret;
	struct base_str vm;
	uint64_t incarnation;
	/** Both outlive the transport; the log may be NULL. */
	struct base_counters *counters;
	struct base_log *log;
	struct peer_transport_callbacks callbacks;
	void *ctx;
};

#define PEER_SECRET_MIN_BYTES 16

/**
 * Binds the listening address and starts ZeroMQ's own I/O thread.
 * @return PEER_ERR_INVALID or PEER_ERR_SYSTEM; @p err may be NULL.
 */
enum peer_status
peer_transport_create(const struct peer_transport_settings *settings,
		      struct event_base *loop, struct peer_transport **out,
		      struct base_error *err);
/** Closes all links without callbacks. Unsent messages are dropped. */
void peer_transport_destroy(struct peer_transport *transport);
/** The bound address with the port in use, as "IP:PORT". */
struct base_str peer_transport_address(const struct peer_transport *transport);
/** The active configuration version that hello messages carry. */
void peer_transport_set_config_version(struct peer_transport *transport,
				       uint64_t version);

/**
 * Returns the link to an address ("IP:PORT") and opens it when there is none.
 * It connects in the background and reconnects until it is closed. On each
 * connection the transport sends a hello first.
 * @return NULL when the address is malformed or sockets are exhausted.
 */
struct peer_link *peer_transport_open_link(struct peer_transport *transport,
					   struct base_str address);
/** Returns the open link to an address, or NULL. */
struct peer_link *peer_transport_find_link(struct peer_transport *transport,
					   struct base_str address);
/**
 * Closes a link without a callback; the pointer is invalid afterwards. What was
 * sent and not answered may or may not have arrived.
 */
void peer_transport_close_link(struct peer_transport *transport,
			       struct peer_link *link);
size_t peer_transport_link_count(const struct peer_transport *transport);

/**
 * Sends without waiting. @p msg gets the time of sending.
 * @return PEER_OK when queued on a live connection, PEER_ERR_UNREACHABLE or
 *         PEER_ERR_BUSY when certainly not sent, or an encoding error.
 */
enum peer_status peer_transport_send(struct peer_transport *transport,
				     struct peer_link *link,
				     struct peer_message *msg);
/** As peer_transport_send(), to the remote that sent a message. */
enum peer_status peer_transport_reply(struct peer_transport *transport,
				      const struct peer_remote *remote,
				      struct peer_message *msg);

/**
 * Delivers everything that has arrived, including what the I/O thread still
 * reads. Called after a pause of the process, before work is started; takes at
 * most PEER_PENDING_MAX_US plus the time of the callbacks.
 */
void peer_transport_receive_pending(struct peer_transport *transport);

#define PEER_PENDING_MAX_US (20 * BASE_MS_US)

struct base_str peer_link_address(const struct peer_link *link);
bool peer_link_is_up(const struct peer_link *link);
/** The caller's pointer for this link, NULL at first. */
void peer_link_set_data(struct peer_link *link, void *data);
void *peer_link_data(const struct peer_link *link);

bool peer_remote_equal(const struct peer_remote *a,
		       const struct peer_remote *b);

#endif
