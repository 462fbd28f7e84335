/* Between messages about suspects and the types of the retry package. */
#include "suspect_messages.h"

struct base_digest suspect_fingerprint(const struct peer_request *request)
{
	struct base_str parts[] = {
		request->context.account,
		request->context.route,
		request->path,
		request->body,
	};

	return retry_fingerprint(parts, BASE_ARRAY_SIZE(parts));
}

enum peer_suspect_state suspect_state_of(enum retry_suspect_state state)
{
	if (state == RETRY_SUSPECT_CONVICTED)
		return PEER_SUSPECT_CONVICTED;
	if (state == RETRY_SUSPECT_CLEARED)
		return PEER_SUSPECT_CLEARED;
	return PEER_SUSPECT_SUSPECTED;
}

static enum retry_suspect_state suspicion_of(enum peer_suspect_state state)
{
	switch (state) {
	case PEER_SUSPECT_SUSPECTED:
		return RETRY_SUSPECT_SUSPECTED;
	case PEER_SUSPECT_CONVICTED:
		return RETRY_SUSPECT_CONVICTED;
	case PEER_SUSPECT_CLEARED:
		return RETRY_SUSPECT_CLEARED;
	default:
		return RETRY_SUSPECT_NONE;
	}
}

static enum peer_suspect_state state_of_end(enum retry_permit_result end)
{
	if (end == RETRY_PERMIT_SUCCEEDED)
		return PEER_SUSPECT_CLEARED;
	if (end == RETRY_PERMIT_SERVER_DIED)
		return PEER_SUSPECT_CONVICTED;
	return PEER_SUSPECT_RELEASED;
}

enum retry_permit_result suspect_end_of(enum peer_suspect_state state)
{
	if (state == PEER_SUSPECT_CLEARED)
		return RETRY_PERMIT_SUCCEEDED;
	if (state == PEER_SUSPECT_CONVICTED)
		return RETRY_PERMIT_SERVER_DIED;
	return RETRY_PERMIT_UNUSED;
}

bool suspect_update_to_message(struct base_str service,
			       const struct retry_suspect_update *news,
			       struct peer_message *msg)
{
	if (news->state == RETRY_SUSPECT_NONE)
		return false;
	*msg = (struct peer_message){
		.type = PEER_SUSPECT,
		.suspect = {
			.service = service,
			.fingerprint = news->fingerprint,
			.state = suspect_state_of(news->state),
			.round = news->round,
		},
	};
	return true;
}

void suspect_end_message(struct base_str service,
			 const struct base_digest *fingerprint,
			 uint64_t permit_id, enum retry_permit_result end,
			 struct peer_message *msg)
{
	*msg = (struct peer_message){
		.type = PEER_SUSPECT,
		.suspect = {
			.service = service,
			.fingerprint = *fingerprint,
			.state = state_of_end(end),
			.permit_id = permit_id,
		},
	};
}

struct retry_suspect_update suspect_news_of(const struct peer_suspect *suspect,
					    uint32_t service)
{
	return (struct retry_suspect_update){
		.service = service,
		.fingerprint = suspect->fingerprint,
		.state = suspect->permit_id ? RETRY_SUSPECT_NONE
					    : suspicion_of(suspect->state),
		.round = suspect->round,
	};
}

struct retry_permit_request suspect_ask_of(const struct peer_suspect_ask *ask,
					   uint32_t service)
{
	return (struct retry_permit_request){
		.suspect = {
			.service = service,
			.fingerprint = ask->fingerprint,
			.state = suspicion_of(ask->state),
			.round = ask->round,
		},
		.remaining_us = ask->remaining_us,
	};
}

struct peer_suspect_answer suspect_answer_of(const struct retry_permit *permit)
{
	struct peer_suspect_answer answer = { .verdict = PEER_SUSPECT_WAIT };

	switch (permit->status) {
	case RETRY_PERMIT_GRANTED:
		answer.verdict = PEER_SUSPECT_RUN;
		answer.permit_id = permit->id;
		answer.lifetime_us = permit->lifetime_us;
		break;
	case RETRY_PERMIT_BUSY:
		answer.wait_us = permit->wait_us;
		break;
	case RETRY_PERMIT_REFUSED:
		answer.verdict = PEER_SUSPECT_REFUSE;
		break;
	case RETRY_PERMIT_NOT_NEEDED:
		answer.verdict = PEER_SUSPECT_FREE;
		break;
	}
	return answer;
}

struct retry_permit suspect_permit_of(const struct peer_suspect_answer *answer)
{
	struct retry_permit permit = { .status = RETRY_PERMIT_BUSY,
				       .wait_us = RETRY_PERMIT_POLL_US };

	if (answer->verdict == PEER_SUSPECT_RUN) {
		permit.status = RETRY_PERMIT_GRANTED;
		permit.id = answer->permit_id;
		permit.lifetime_us = answer->lifetime_us;
	} else if (answer->verdict == PEER_SUSPECT_REFUSE) {
		permit.status = RETRY_PERMIT_REFUSED;
	} else if (answer->verdict == PEER_SUSPECT_FREE) {
		permit.status = RETRY_PERMIT_NOT_NEEDED;
	} else if (answer->wait_us > 0 &&
		   answer->wait_us < RETRY_PERMIT_POLL_US) {
		permit.wait_us = answer->wait_us;
	}
	return permit;
}

void suspect_update_count(struct node *node, enum retry_suspect_state state)
{
	if (state == RETRY_SUSPECT_SUSPECTED)
		node_count(node, "suspects{state=\"suspect\"}");
	else if (state == RETRY_SUSPECT_CONVICTED)
		node_count(node, "suspects{state=\"convicted\"}");
	else if (state == RETRY_SUSPECT_CLEARED)
		node_count(node, "suspects{state=\"cleared\"}");
}
