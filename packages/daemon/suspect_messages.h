/*
 * Between the messages about suspects and the decisions of the retry package.
 */
#ifndef SUSPECT_NEWS_H
#define SUSPECT_NEWS_H

#include "node.h"

/** Digest of account, route, path and body (D9). */
struct base_digest suspect_fingerprint(const struct peer_request *request);

enum peer_suspect_state suspect_state_of(enum retry_suspect_state state);
enum retry_permit_result suspect_end_of(enum peer_suspect_state state);

/** @return false for a state that is no news */
bool suspect_update_to_message(struct base_str service,
			       const struct retry_suspect_update *news,
			       struct peer_message *msg);
/** Returns a permit to the arbiter and tells how its run ended. */
void suspect_end_message(struct base_str service,
			 const struct base_digest *fingerprint,
			 uint64_t permit_id, enum retry_permit_result end,
			 struct peer_message *msg);
/** The state is RETRY_SUSPECT_NONE when the message is no news. */
struct retry_suspect_update suspect_news_of(const struct peer_suspect *suspect,
					    uint32_t service);
struct retry_permit_request suspect_ask_of(const struct peer_suspect_ask *ask,
					   uint32_t service);
struct peer_suspect_answer suspect_answer_of(const struct retry_permit *permit);
struct retry_permit suspect_permit_of(const struct peer_suspect_answer *answer);

void suspect_update_count(struct node *node, enum retry_suspect_state state);

#endif
