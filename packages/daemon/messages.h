/* Messages between the control task and the data task. */
#ifndef MESSAGES_H
#define MESSAGES_H

#include "config.h"

#include <stdatomic.h>

/** The values of one published version; immutable, any thread. */
struct publication {
	atomic_int references;
	struct base_digest digest;
	int64_t version;
	struct base_buf manifest;
	struct config_published_part *parts;
	size_t part_count;
};

struct publication *publication_ref(struct publication *pub);
void publication_unref(struct publication *pub);
/** @return the value of a configuration key, or a NULL string */
struct base_str publication_value(const struct publication *pub,
				  struct base_str key);

/** To the control task. */
enum control_message_type {
	/** A peer has a version in force. */
	CONTROL_PEER_VERSION,
	/** A peer answered a fetch, or none could be asked. */
	CONTROL_PEER_VALUE,
	/** Whether this daemon reads the platform for its failure domain. */
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

/** To the data task. */
enum data_message_type {
	/** A snapshot came into force. */
	DATA_ACTIVATED,
	/** The platform's list of VMs; text has its bytes when it was read
	   there. */
	DATA_VM_LIST,
	/** Fetch a value from a peer. */
	DATA_FETCH,
	/** A set was refused; text gives the first problems. */
	DATA_REFUSED,
	/** Another content was published under a version in use. */
	DATA_CONFLICT,

	/** The first candidate; the daemons of its roster are asked. */
	DATA_CANDIDATE,
	/** Whether the platform answers. */
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
