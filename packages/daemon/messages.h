/* Messages between the control task and the data task. */
#ifndef MESSAGES_H
#define MESSAGES_H

#include "config.h"

#include <stdatomic.h>

/** The values of one published version. Immutable; usable on any thread. */
struct publication {
	atomic_int references;
	struct base_digest digest;
	int64_t version;
	struct base_buf manifest;
	struct config_published_part *parts;
	size_t part_count;
};

/** Adds a reference; publication_unref() drops it. */
struct publication *publication_ref(struct publication *pub);
void publication_unref(struct publication *pub);
/** @return the value of a configuration key, or a NULL string */
struct base_str publication_value(const struct publication *pub,
				  struct base_str key);

/** Messages to the control task. */
enum control_message_type {
	/** A peer reported its active version. */
	CONTROL_PEER_VERSION,
	/** A peer answered a DATA_FETCH request. */
	CONTROL_PEER_VALUE,
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
};

void data_message_free(struct data_message *msg);

#endif
