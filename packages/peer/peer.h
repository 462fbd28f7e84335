/**
 * @file
 * Messages between daemons: C structs with their msgpack encoding, the ZeroMQ
 * transport that carries them, and an estimate of how long they were queued.
 *
 * The package has no global state. An object may be used by one thread at a
 * time, a transport only by the thread that runs its event loop. Times are
 * microseconds of the monotonic clock of the daemon that sets them.
 *
 * Terms:
 * - The entry is the daemon that receives a request from a client or from its
 *   own backend server, and routes it.
 * - The guard is the daemon beside the backend server that runs the request.
 * - The owner of an idempotency key is the daemon that records claims of it.
 * - The holders of a client account are the daemons that grant its tokens.
 * - The arbiter of a service is the daemon that permits runs of suspects:
 *   requests that were in flight on a backend server when it died.
 * - A link is an outgoing connection to another daemon; a remote is a daemon
 *   with a connection to this one.
 */
#ifndef PEER_H
#define PEER_H

#include "base.h"

struct event_base;

/** Results of functions in this package. */
enum peer_status {
	PEER_OK = 0,
	/** The bytes are not a message of this protocol. */
	PEER_ERR_MALFORMED,
	/** The message has a type that this version does not support. */
	PEER_ERR_UNKNOWN_TYPE,
	/** A message, string, list or enum value exceeds its maximum. */
	PEER_ERR_TOO_LARGE,
	/** There is no connection to the peer. Nothing was sent. */
	PEER_ERR_UNREACHABLE,
	/** The send queue of the connection is full. Nothing was sent. */
	PEER_ERR_BUSY,
	/** A setting is invalid. */
	PEER_ERR_INVALID,
	/** A call of the operating system or of a library failed. */
	PEER_ERR_SYSTEM,
};

/** Returns a static description of a status. Never NULL. */
const char *peer_strerror(enum peer_status status);

/** Maximum length of a name, key, traceparent or reason. */
#define PEER_NAME_MAX_BYTES 256
/** Maximum length of a path or header value. */
#define PEER_TEXT_MAX_BYTES 16384
/** Maximum length of a body or configuration value. */
#define PEER_BODY_MAX_BYTES 1048576
/** Maximum length of an encoded message. */
#define PEER_FRAME_MAX_BYTES (PEER_BODY_MAX_BYTES + 131072)
/** Maximum number of items in a list. */
#define PEER_LIST_MAX_ITEMS 256

/** Type number, the first element of every encoded message. */
enum peer_message_type {
	/* The number of a removed type is never reused. */
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

/**
 * Returns the static name used in logs and counters, "unknown" if out of range.
 */
const char *peer_message_type_name(enum peer_message_type type);

/** Whether a request has run on a backend server. */
enum peer_outcome {
	PEER_OUTCOME_RAN,
	PEER_OUTCOME_NOT_RUN,
	/** It may have run. */
	PEER_OUTCOME_UNKNOWN,
	PEER_OUTCOME_END,
};

/** Decision of a key's owner on a claim. */
enum peer_claim_result {
	/** The claim is recorded; the entry may run the request once. */
	PEER_CLAIM_NEW,
	/** The key was claimed before and its result is not known. */
	PEER_CLAIM_RUNNING,
	/** The request has run. */
	PEER_CLAIM_DONE,
	/** The key is older than the records of the owner. */
	PEER_CLAIM_TOO_OLD,
	/** The key was claimed before for a different request. */
	PEER_CLAIM_MISMATCH,
	/** The ledger of the owner has its maximum number of keys. */
	PEER_CLAIM_FULL,
	/** The daemon does not own the key, or not yet. */
	PEER_CLAIM_NOT_OWNER,
	/** The owner cannot decide yet: a former owner may have accepted it. */
	PEER_CLAIM_NOT_READY,
	/** The key was created in the future by the owner's clock. */
	PEER_CLAIM_TOO_NEW,
	/** The owner read the claim after the entry had stopped waiting. */
	PEER_CLAIM_LATE,
	PEER_CLAIM_RESULT_END,
};

enum peer_suspect_state {
	/** It was in flight when a backend server died. */
	PEER_SUSPECT_SUSPECTED,
	/** A backend server died while it ran with a permit. */
	PEER_SUSPECT_CONVICTED,
	/** It has succeeded since. */
	PEER_SUSPECT_CLEARED,
	/** It did not run; its permit is returned. */
	PEER_SUSPECT_RELEASED,
	PEER_SUSPECT_STATE_END,
};

/** Decision of the arbiter on a permit request. */
enum peer_suspect_verdict {
	PEER_SUSPECT_RUN,
	/** Another suspect of the service is running. */
	PEER_SUSPECT_WAIT,
	PEER_SUSPECT_REFUSE,
	/** The arbiter has no suspect like it; it may run without a permit. */
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

/** Properties of a request that are sent with every hop of its call chain. */
struct peer_context {
	struct base_str account;
	struct base_str route;
	/**
	 * Priority level of the client account if it has one, else of the
	 * route, as numbered by the configuration.
	 */
	uint32_t priority;
	/** 0, or 1 for a retry and for a request that no hop may retry. */
	uint32_t attempt;
	/** Empty when the client sent none. */
	struct base_str idempotency_key;
	struct base_str traceparent;
	/** Time until the deadline of the caller, when the message was sent. */
	int64_t remaining_us;
	/** Number of hops before this one; 0 at the start of the chain. */
	uint32_t depth;
	/** The route needs no client account, so `account` is empty. */
	bool open;
	/** Service that is to run the request; empty when omitted. */
	struct base_str service;
	/** Service of the VM that sends the request; empty when omitted. */
	struct base_str caller_service;
	/** The entry has decided that the request may run more than once. */
	bool idempotent;
};

/** First message of a connection, and again when its link is attached. */
struct peer_hello {
	struct base_str vm;
	/** Increases with each start of the daemon. */
	uint64_t incarnation;
	/** Active configuration version; 0 when there is none. */
	uint64_t version;
};

/** Oldest configuration version that a failure domain has reported. */
struct peer_domain_version {
	struct base_str domain;
	uint64_t version;
};

struct peer_domain_versions {
	const struct peer_domain_version *items;
	size_t count;
};

/** Load report and configuration of the sender. */
struct peer_heartbeat {
	/** Requests from all entries that run or are queued at the guard. */
	uint32_t load;
	/** Concurrency limit; 0 when the guard cannot run any request. */
	uint32_t limit;
	/** The server is in cold start and uses all slots allowed meanwhile. */
	bool cold_full;
	/** The daemon accepts no more requests. */
	bool draining;
	/** Active configuration version; 0 when there is none. */
	uint64_t version;
	struct base_digest hash;
	struct peer_domain_versions domains;
	/** The daemon accepts requests for a short time before it drains. */
	bool stopping;
	/** As in struct routing_load_report; 0 when omitted. */
	int64_t service_us;
	int64_t success_permille;
};

struct peer_request {
	/** By the sender's clock; only comparable with `sent_at`. */
	int64_t deadline_us;
	struct peer_context context;
	struct base_str method;
	struct base_str path;
	struct peer_headers headers;
	struct base_str body;
};

/** Which idempotent requests a service sheds at present. */
struct peer_cutoff {
	struct base_str service;
	/** Cutoff in the steps of OVERLOAD_CUTOFF_STEPS in overload.h. */
	uint32_t level;
};

struct peer_cutoffs {
	const struct peer_cutoff *items;
	size_t count;
};

/** Answer to the request with the same id. */
struct peer_answer {
	/** HTTP status. */
	uint32_t status;
	enum peer_outcome outcome;
	/** Reason for a refusal; empty in answers of the backend server. */
	struct base_str reason;
	/** Time before the caller may try again; 0 when unspecified. */
	uint32_t retry_after_ms;
	struct peer_headers headers;
	struct base_str body;
	/** Load report of the guard, as in struct peer_heartbeat. */
	uint32_t load;
	uint32_t limit;
	bool cold_full;
	bool draining;
	struct peer_cutoffs cutoffs;
	/** The call chain has used its one retry or may not use it. */
	bool retried;
	/** The request reached the backend server, even if that rejected it. */
	bool arrived;
	/** Part of the load report. */
	bool stopping;
	int64_t service_us;
	int64_t success_permille;
};

/** Asks the owner of an idempotency key whether the request may run. */
struct peer_claim {
	struct base_str account;
	struct base_str key;
	/** Digest that identifies the request. */
	struct base_digest fingerprint;
	/** Time until the entry stops waiting, when the message was sent. */
	int64_t remaining_us;
};

/** Answer to a request that has run, as stored by the owner of its key. */
struct peer_stored_answer {
	uint32_t status;
	struct peer_headers headers;
	struct base_str body;
};

/** Answer to the claim with the same id. */
struct peer_claim_answer {
	enum peer_claim_result result;
	/** Set for PEER_CLAIM_NEW, otherwise 0. */
	uint64_t claim_id;
	/** Set for PEER_CLAIM_DONE if the owner has the answer, otherwise 0. */
	struct peer_stored_answer stored;
};

/** Reports the end of a claim whose request has run or may have run. */
struct peer_complete {
	struct base_str account;
	struct base_str key;
	uint64_t claim_id;
	/**
	 * PEER_OUTCOME_RAN, with the answer, or PEER_OUTCOME_UNKNOWN; the key
	 * then stays PEER_CLAIM_RUNNING.
	 */
	enum peer_outcome outcome;
	struct peer_stored_answer stored;
};

/** Reports that a claimed request did not run; the key is free again. */
struct peer_release {
	struct base_str account;
	struct base_str key;
	uint64_t claim_id;
};

/** Use of one grant so far, counted from its start. */
struct peer_rate_return {
	uint64_t grant_id;
	/** Milli-tokens spent on requests. */
	int64_t used_mtok;
	/** Milli-tokens that the entry will not use any more. */
	int64_t returned_mtok;
};

struct peer_rate_returns {
	const struct peer_rate_return *items;
	size_t count;
};

/** An entry asks a holder for tokens. Amounts are in milli-tokens. */
struct peer_rate_ask {
	struct base_str account;
	struct base_str vm;
	/** Random number drawn by the entry process when it starts. */
	uint64_t incarnation;
	/** Increases with each ask of the entry process. */
	uint64_t sequence;
	/** For requests that wait. */
	int64_t wanted_mtok;
	struct peer_rate_returns returns;
	/** For requests expected soon; 0 when omitted. */
	int64_t ahead_mtok;
	/** Holder process that `returns` is about; 0 when none or omitted. */
	uint64_t holder;
};

enum peer_rate_status {
	PEER_RATE_OK,
	/** The daemon is no holder of the account. */
	PEER_RATE_NOT_HOLDER,
	/** The holder still waits for grants of former holders to expire. */
	PEER_RATE_STARTING,
	PEER_RATE_STATUS_END,
};

/** Answer to the rate ask with the same id. */
struct peer_rate_grant {
	struct base_str account;
	/** Copied from the ask. */
	uint64_t sequence;
	/** 0 when nothing is granted. */
	uint64_t grant_id;
	/** In milli-tokens. */
	int64_t granted_mtok;
	/** Time until the grant expires, from when the entry sent the ask. */
	int64_t lifetime_us;
	/** Time before a further ask is of use; 0 when unspecified. */
	int64_t wait_us;
	/** Copied from the ask; 0 when omitted. */
	uint64_t incarnation;
	/** Random number of the holder process; 0 when omitted. */
	uint64_t holder;
	/** PEER_RATE_OK when omitted. */
	enum peer_rate_status status;
};

/**
 * Suspect update to the other guards of a service, or the result of a run with
 * a permit, which is sent to the arbiter.
 */
struct peer_suspect {
	struct base_str service;
	/** Digest that identifies the request. */
	struct base_digest fingerprint;
	enum peer_suspect_state state;
	/** Incremented each time the request becomes a suspect again. */
	uint32_t round;
	/**
	 * 0 in a suspect update. Otherwise `state` is the result of the run
	 * with this permit: PEER_SUSPECT_CLEARED when the request succeeded,
	 * PEER_SUSPECT_CONVICTED when the backend server died, or
	 * PEER_SUSPECT_RELEASED when the request did not run.
	 */
	uint64_t permit_id;
};

/** Permit request of a guard to the arbiter of the service. */
struct peer_suspect_ask {
	struct base_str service;
	struct base_digest fingerprint;
	/** State and round of the request at the guard. */
	enum peer_suspect_state state;
	uint32_t round;
	/** Time until the request's deadline, when the message was sent. */
	int64_t remaining_us;
};

/** Answer to the permit request with the same id. */
struct peer_suspect_answer {
	enum peer_suspect_verdict verdict;
	/** Set for PEER_SUSPECT_RUN, otherwise 0. */
	uint64_t permit_id;
	/** Time until the permit expires, from when the request was sent. */
	int64_t lifetime_us;
	/** For PEER_SUSPECT_WAIT: time until the next permit request. */
	int64_t wait_us;
};

/** Active configuration of a sender that reads it from the platform. */
struct peer_config_announce {
	uint64_t version;
	struct base_digest hash;
	/**
	 * Negative. Daemons of an earlier version take it for the time since an
	 * outage of the platform.
	 */
	int64_t since_outage_us;
	/**
	 * Time since the sender's calls to the platform last showed that no
	 * later version exists. From daemons of an earlier version 0.
	 */
	int64_t current_us;
	/**
	 * Time before that for which the platform has answered the sender
	 * without an outage. From daemons of an earlier version 0.
	 */
	int64_t steady_us;
};

/** Asks for one value of the configuration. */
struct peer_config_get {
	struct base_str key;
};

/** Answer to the `config_get` message with the same id. */
struct peer_config_value {
	struct base_str key;
	/** Active configuration of the sender; 0 when there is none. */
	uint64_t version;
	struct base_digest hash;
	bool found;
	struct base_str value;
};

/**
 * A message. Strings and lists are not copied: in a message to be sent they
 * belong to the sender; in a decoded message strings point into the received
 * bytes, which must outlive it, and lists into memory that
 * peer_message_release() frees.
 */
struct peer_message {
	enum peer_message_type type;
	/** Equal in a request and its answer; 0 if there is no answer. */
	uint64_t id;
	/** Time by the sender's clock; set by the transport. */
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
	/** Private to the decoder; NULL in messages to be sent. */
	void *decode_zone;
};

/**
 * Appends the encoding of @p msg to @p out.
 * @return PEER_ERR_TOO_LARGE or PEER_ERR_UNKNOWN_TYPE; @p out is then
 *         unchanged. @p err may be NULL.
 */
enum peer_status peer_message_encode(const struct peer_message *msg,
				     struct base_buf *out,
				     struct base_error *err);
/**
 * Decodes @p bytes, which must be exactly one message. Extra elements at the
 * end are ignored, so that newer versions can append fields to a type. Appended
 * fields are 0 when an older version sent the message.
 * @return PEER_ERR_MALFORMED, PEER_ERR_UNKNOWN_TYPE or PEER_ERR_TOO_LARGE;
 *         @p msg then needs no release. @p err may be NULL.
 */
enum peer_status peer_message_decode(struct base_str bytes,
				     struct peer_message *msg,
				     struct base_error *err);
/**
 * Copies a request with all that it points to, into one piece of memory that
 * the caller frees.
 * @param[out] memory  NULL on failure
 * @return PEER_ERR_TOO_LARGE when it could not be encoded either
 */
enum peer_status peer_request_copy(const struct peer_request *from,
				   struct peer_request *to, void **memory);
/** Frees the lists of a decoded message. Other messages are left unchanged. */
void peer_message_release(struct peer_message *msg);

/** Number of slots of equal length that the window is divided into. */
#define PEER_CLOCK_SLOTS 6
/** Length of the sliding window in which minimum offsets are kept. */
#define PEER_CLOCK_WINDOW_US (60 * BASE_SECOND_US)

/**
 * Estimates the age of messages of one sender, which is the time that they were
 * queued. The clocks of the two machines need not be synchronized: the offset
 * of a message is its time of receipt minus its time of sending, and the
 * smallest offset in the window is the baseline, taken as the offset of a
 * message that was not queued. The baseline is kept when no message was
 * received for the length of the window. The functions read no system clock and
 * allocate no memory; `now` is the time of this daemon in microseconds.
 */
struct peer_link_clock {
	/** INT64_MAX in slots without a message. */
	int64_t min_offsets_us[PEER_CLOCK_SLOTS];
	/** Number of the newest slot, counted from time 0. */
	int64_t current_slot;
	bool started;
};

void peer_link_clock_reset(struct peer_link_clock *clock);
/**
 * Records the receipt of a message.
 * @return its age in microseconds, 0 or more
 */
int64_t peer_link_clock_observe(struct peer_link_clock *clock, int64_t sent_at,
				int64_t now);
/**
 * Returns the age at time @p now of a message that was recorded before and is
 * still queued, in microseconds; 0 when no message was recorded.
 */
int64_t peer_link_clock_age(const struct peer_link_clock *clock,
			    int64_t sent_at, int64_t now);

struct peer_transport;
/** An outgoing connection to the daemon at one address. */
struct peer_link;

/**
 * Identifies a connection of a remote daemon. It may be copied and used later,
 * also after the connection has ended.
 */
struct peer_remote {
	uint8_t size;
	uint8_t bytes[31];
};

/** Data about the receipt of a message. */
struct peer_receive_info {
	/** By the clock of this daemon. */
	int64_t received_at;
	/** Time that the message was queued, by the link clock. */
	int64_t age_us;
};

/**
 * Callbacks run on the thread of the event loop, called by the loop or by
 * peer_transport_receive_pending(), never during a send. The message and what
 * it points to are valid during the call only. A callback may send, open links
 * and close any link; it must not destroy the transport. Each may be NULL.
 */
struct peer_transport_callbacks {
	/** A message was received on a link, in the order of sending. */
	void (*link_message)(void *ctx, struct peer_link *link,
			     const struct peer_message *msg,
			     const struct peer_receive_info *receive_info);
	/** A remote sent a message; @p remote identifies it for replies. */
	void (*remote_message)(void *ctx, const struct peer_remote *remote,
			       const struct peer_message *msg,
			       const struct peer_receive_info *receive_info);
	/** The encrypted connection was accepted; sends are possible now. */
	void (*link_up)(void *ctx, struct peer_link *link);
	/**
	 * The connection has ended; messages received before were delivered.
	 * Messages sent without an answer may or may not have arrived. The
	 * link reconnects by itself, first after 50 ms, later after up to 1 s.
	 * When the network is cut, this is called up to 5 s later; a missing
	 * heartbeat detects it sooner.
	 */
	void (*link_down)(void *ctx, struct peer_link *link);
};

struct peer_transport_settings {
	/** IP address and port, "127.0.0.1:0" for any free port. */
	struct base_str listen;
	/** At least PEER_SECRET_MIN_BYTES long; the same on all daemons. */
	struct base_str fleet_secret;
	/** Sent in hello messages, as is `incarnation`. */
	struct base_str vm;
	uint64_t incarnation;
	/** Counters and log must outlive the transport; log may be NULL. */
	struct base_counters *counters;
	struct base_log *log;
	struct peer_transport_callbacks callbacks;
	void *ctx;
};

#define PEER_SECRET_MIN_BYTES 16

/**
 * Binds the listening address and starts the I/O thread of ZeroMQ. The settings
 * are copied.
 * @param out  set to NULL on failure
 * @return PEER_ERR_INVALID or PEER_ERR_SYSTEM; @p err may be NULL.
 */
enum peer_status
peer_transport_create(const struct peer_transport_settings *settings,
		      struct event_base *loop, struct peer_transport **out,
		      struct base_error *err);
/**
 * Closes all links without callbacks and drops their unsent messages. Replies
 * to remotes are still sent for up to 500 ms. @p transport may be NULL.
 */
void peer_transport_destroy(struct peer_transport *transport);
/**
 * Returns the bound address with the actual port, as "IP:PORT". It is valid
 * until the transport is destroyed.
 */
struct base_str peer_transport_address(const struct peer_transport *transport);
/** Sets the active configuration version for hello messages. */
void peer_transport_set_config_version(struct peer_transport *transport,
				       uint64_t version);

/**
 * Returns the link to an address ("IP:PORT") and opens one when there is none.
 * A link belongs to the transport; it connects in the background and reconnects
 * until it is closed. On each connection the transport first sends a hello.
 * @return NULL when the address is malformed or no socket is available.
 */
struct peer_link *peer_transport_open_link(struct peer_transport *transport,
					   struct base_str address);
/** Returns the open link to an address, or NULL. */
struct peer_link *peer_transport_find_link(struct peer_transport *transport,
					   struct base_str address);
/**
 * Removes a link that is up from the table, without closing its connection. It
 * sends and delivers messages until it is closed, but does not reconnect when
 * its connection ends; after the callback for that, the owner has to close it.
 * The next peer_transport_open_link() for its address opens another link.
 */
void peer_transport_detach_link(struct peer_transport *transport,
				struct peer_link *link);
/**
 * Puts a detached link back into the table. The event loop then sends a hello
 * on it and reports it as up, as after it had connected.
 * @return false when its connection has ended or its address has another link;
 *         it then stays detached
 */
bool peer_transport_attach_link(struct peer_transport *transport,
				struct peer_link *link);
/**
 * Closes a link without a callback; the pointer is invalid afterwards. Messages
 * sent without an answer may or may not have arrived. Detached links are closed
 * in the same way.
 */
void peer_transport_close_link(struct peer_transport *transport,
			       struct peer_link *link);
/** Number of links in the table by address. */
size_t peer_transport_link_count(const struct peer_transport *transport);

/**
 * Queues a message without blocking and sets its `sent_at`.
 * @return PEER_OK when it was queued on an established connection;
 *         PEER_ERR_UNREACHABLE or PEER_ERR_BUSY when it was certainly not sent;
 *         or an error of peer_message_encode().
 */
enum peer_status peer_transport_send(struct peer_transport *transport,
				     struct peer_link *link,
				     struct peer_message *msg);
/** Same as peer_transport_send(), to a remote that has sent a message. */
enum peer_status peer_transport_reply(struct peer_transport *transport,
				      const struct peer_remote *remote,
				      struct peer_message *msg);
/** Bytes of replies that the network has not taken yet. */
size_t peer_transport_queued_bytes(const struct peer_transport *t);

/**
 * Delivers all messages that have arrived, including those that the I/O thread
 * has yet to read. It is called when the process resumes after a pause, so that
 * cancelled work is not started. It waits for the I/O thread for about
 * PEER_PENDING_MAX_US at most, plus the time of the callbacks.
 */
void peer_transport_receive_pending(struct peer_transport *transport);

#define PEER_PENDING_MAX_US (20 * BASE_MS_US)

/** Returns the address of a link, valid until the link is closed. */
struct base_str peer_link_address(const struct peer_link *link);
bool peer_link_is_up(const struct peer_link *link);
/** Sets a pointer for the caller's own use; NULL at first. */
void peer_link_set_data(struct peer_link *link, void *data);
void *peer_link_data(const struct peer_link *link);

bool peer_remote_equal(const struct peer_remote *a,
		       const struct peer_remote *b);

#endif
