/*
 * Converts between the messages about suspects (requests that may crash
 * servers) and the types of the retry package.
 */
#ifndef SUSPECT_MESSAGES_H
#define SUSPECT_MESSAGES_H

#include "node.h"

/** Digest of account, route, path and body, which identifies a suspect. */
struct base_digest suspect_fingerprint(const struct peer_request *request);

enum peer_suspect_state suspect_state_to_peer(enum retry_suspect_state state);
enum retry_permit_result
suspect_permit_result_from_peer(enum peer_suspect_state state);

/** @return false for RETRY_SUSPECT_NONE, which is not sent */
bool suspect_update_to_message(struct base_str service,
			       const struct retry_suspect_update *update,
			       struct peer_message *msg);
/** Makes the message that returns a permit with the result of its run. */
void suspect_permit_result_to_message(struct base_str service,
				      const struct base_digest *fingerprint,
				      uint64_t permit_id,
				      enum retry_permit_result result,
				      struct peer_message *msg);
/**
 * The state is RETRY_SUSPECT_NONE when the message is not an update, for
 * example because it returns a permit.
 */
struct retry_suspect_update
suspect_update_from_message(const struct peer_suspect *suspect,
			    uint32_t service);
struct retry_permit_request
suspect_permit_request_from_message(const struct peer_suspect_ask *ask,
				    uint32_t service);
struct peer_suspect_answer
suspect_permit_to_answer(const struct retry_permit *permit);
struct retry_permit
suspect_permit_from_answer(const struct peer_suspect_answer *answer);

/** A daemon of the service that is told of its suspects. */
struct suspect_recipient {
	struct node *node;
	struct base_str service;
	/** One of the two is NULL: sends over a link, or replies to a remote.
	 */
	struct peer_link *link;
	const struct peer_remote *remote;
};

/**
 * Sends all suspects of a service.
 * @param service  number of the service in @p suspects
 * @return number of messages
 */
size_t suspect_send_all(const struct suspect_recipient *to,
			const struct retry_suspects *suspects, uint32_t service,
			int64_t now);
/** Increments the counter `suspects` of the state. */
void suspect_update_count(struct node *node, enum retry_suspect_state state);

#endif
