/* Messages between the control task and the data task. */
#ifndef MESSAGES_H
#define MESSAGES_H

#include "config.h"

#include <stdatomic.h>

/**
 * Changes of a mirror that lead from one revision to another. Immutable; usable
 * on any thread.
 */
struct publication_batch {
	atomic_int references;
	int64_t after;
	int64_t revision;
	/** JSON objects joined by commas. */
	struct base_buf items;
};

/** Adds a reference; publication_batch_unref() drops it. */
struct publication_batch *
publication_batch_ref(struct publication_batch *batch);
void publication_batch_unref(struct publication_batch *batch);

/** The values of one published version. Immutable; usable on any thread. */
struct publication {
	atomic_int references;
	struct base_digest digest;
	int64_t version;
	struct base_buf manifest;
	struct config_published_part *parts;
	size_t part_count;
	/** Latest changes of a mirror, oldest first; empty without a mirror. */
	struct publication_batch **batches;
	size_t batch_count;
};

/**
 * Key under which a peer asks for the changes of a mirror after its own
 * revision, which follows as a decimal number.
 */
#define PUBLICATION_KEY_CHANGES_PREFIX "bilberryhinge/changes/"

/** Adds a reference; publication_unref() drops it. */
struct publication *publication_ref(struct publication *pub);
void publication_unref(struct publication *pub);
/** @return the value of a configuration key, or a NULL string */
struct base_str publication_value(const struct publication *pub,
				  struct base_str key);
/**
 * Writes the changes that a key with PUBLICATION_KEY_CHANGES_PREFIX asks for.
 * @return false when the key is another one or the changes are not kept
 */
bool publication_write_changes(const struct publication *pub,
			       struct base_str key, struct base_buf *out);

/** Messages to the control task. */
enum control_message_type {
	/** A peer reported its active version. */
	CONTROL_PEER_VERSION,
	/** A peer answered a DATA_FETCH request. */
	CONTROL_PEER_VALUE,
	/** A relay announced its revision; it reads the platform's registry. */
	CONTROL_PEER_ANNOUNCED,
	/** Whether this daemon is a relay of its failure domain. */
	CONTROL_ROLE,
	CONTROL_STOP,
};

struct control_message {
	enum control_message_type type;
	int64_t version;
	struct base_digest digest;
	struct base_buf key;
	struct base_buf value;
	bool found;
	bool relay;
	/**
	 * With CONTROL_PEER_ANNOUNCED, on the clock of base_now_us(): when the
	 * relay's mirror last had all changes of the platform, and since when
	 * that has answered it without an outage.
	 */
	int64_t current_at;
	int64_t steady_since;
};

void control_message_free(struct control_message *msg);

/** Messages to the data task. */
enum data_message_type {
	/** A snapshot became active. */
	DATA_ACTIVATED,
	/**
	 * The platform's list of VMs. The text holds its bytes when it was read
	 * from the platform, and nothing when it came from a relay.
	 */
	DATA_VM_LIST,
	/** Request a value from a peer. */
	DATA_FETCH,
	/** A configuration was refused; the text says why. */
	DATA_REFUSED,
	/** A version was published again with different content. */
	DATA_CONFLICT,

	/** The first candidate: its daemons are queried for their version. */
	DATA_CANDIDATE,
	/** The platform started or stopped answering. */
	DATA_PLATFORM_STATE,
	/** The platform has answered a relay; see registry_evidence.h. */
	DATA_PLATFORM_EVIDENCE,
};

struct data_message {
	enum data_message_type type;
	const struct config_snapshot *snapshot;
	struct publication *publication;
	struct config_vm_list *vms;
	int64_t version;
	struct base_digest digest;
	struct base_buf text;
	bool up;
	/**
	 * With DATA_PLATFORM_EVIDENCE: when the mirror last had all changes,
	 * and since when the platform has answered without an outage.
	 */
	int64_t current_at;
	int64_t steady_since;
};

void data_message_free(struct data_message *msg);

#endif
