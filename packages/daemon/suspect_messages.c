/* Conversion between suspect messages and the types of the retry package. */
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

enum peer_suspect_state suspect_state_to_peer(enum retry_suspect_state state)
{
	if (state == RETRY_SUSPECT_CONVICTED)
		return PEER_SUSPECT_CONVICTED;
	if (state == RETRY_SUSPECT_CLEARED)
		return PEER_SUSPECT_CLEARED;
	return PEER_SUSPECT_SUSPECTED;
}

static enum retry_suspect_state
suspect_state_from_peer(enum peer_suspect_state state)
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

static enum peer_suspect_state
permit_result_to_peer(enum retry_permit_result result)
{
	if (result == RETRY_PERMIT_SUCCEEDED)
		return PEER_SUSPECT_CLEARED;
	if (result == RETRY_PERMIT_SERVER_DIED)
		return PEER_SUSPECT_CONVICTED;
	return PEER_SUSPECT_RELEASED;
}

enum retry_permit_result
suspect_permit_result_from_peer(enum peer_suspect_state state)
{
	if (state == PEER_SUSPECT_CLEARED)
		return RETRY_PERMIT_SUCCEEDED;
	if (state == PEER_SUSPECT_CONVICTED)
		return RETRY_PERMIT_SERVER_DIED;
	return RETRY_PERMIT_UNUSED;
}

bool suspect_update_to_message(struct base_str service,
			       const struct retry_suspect_update *update,
			       struct peer_message *msg)
{
	if (update->state == RETRY_SUSPECT_NONE)
		return false;
	*msg = (struct peer_message){
		.type = PEER_SUSPECT,
		.suspect = {
			.service = service,
			.fingerprint = update->fingerprint,
			.state = suspect_state_to_peer(update->state),
			.round = update->round,
		},
	};
	return true;
}

void suspect_permit_result_to_message(struct base_str service,
				      const struct base_digest *fingerprint,
				      uint64_t permit_id,
				      enum retry_permit_result result,
				      struct peer_message *msg)
{
	*msg = (struct peer_message){
		.type = PEER_SUSPECT,
		.suspect = {
			.service = service,
			.fingerprint = *fingerprint,
			.state = permit_result_to_peer(result),
			.permit_id = permit_id,
		},
	};
}

struct retry_suspect_update
suspect_update_from_message(const struct peer_suspect *suspect,
			    uint32_t service)
{
	return (struct retry_suspect_update){
		.service = service,
		.fingerprint = suspect->fingerprint,
		.state = suspect->permit_id
				 ? RETRY_SUSPECT_NONE
				 : suspect_state_from_peer(suspect->state),
		.round = suspect->round,
	};
}

struct retry_permit_request
suspect_permit_request_from_message(const struct peer_suspect_ask *ask,
				    uint32_t service)
{
	return (struct retry_permit_request){
		.suspect = {
			.service = service,
			.fingerprint = ask->fingerprint,
			.state = suspect_state_from_peer(ask->state),
			.round = ask->round,
		},
		.remaining_us = ask->remaining_us,
	};
}

struct peer_suspect_answer
suspect_permit_to_answer(const struct retry_permit *permit)
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
		answer.verdict = PEER_SUSPECT_UNRESTRICTED;
		break;
	}
	return answer;
}

struct retry_permit
suspect_permit_from_answer(const struct peer_suspect_answer *answer)
{
	struct retry_permit permit = { .status = RETRY_PERMIT_BUSY,
				       .wait_us = RETRY_PERMIT_POLL_US };

	if (answer->verdict == PEER_SUSPECT_RUN) {
		permit.status = RETRY_PERMIT_GRANTED;
		permit.id = answer->permit_id;
		permit.lifetime_us = answer->lifetime_us;
	} else if (answer->verdict == PEER_SUSPECT_REFUSE) {
		permit.status = RETRY_PERMIT_REFUSED;
	} else if (answer->verdict == PEER_SUSPECT_UNRESTRICTED) {
		permit.status = RETRY_PERMIT_NOT_NEEDED;
	} else if (answer->wait_us > 0 &&
		   answer->wait_us < RETRY_PERMIT_POLL_US) {
		permit.wait_us = answer->wait_us;
	}
	return permit;
}

struct suspect_sending {
	const struct suspect_recipient *to;
	size_t count;
};

static void send_suspect(void *ctx, const struct retry_suspect_update *update)
{
	struct suspect_sending *sending = ctx;
	const struct suspect_recipient *to = sending->to;
	struct peer_message msg;

	if (!suspect_update_to_message(to->service, update, &msg))
		return;
	sending->count++;
	if (to->link)
		peer_transport_send(to->node->transport, to->link, &msg);
	else
		peer_transport_reply(to->node->transport, to->remote, &msg);
}

size_t suspect_send_all(const struct suspect_recipient *to,
			const struct retry_suspects *suspects, uint32_t service,
			int64_t now)
{
	struct suspect_sending sending = { to, 0 };

	retry_suspects_for_each(suspects, service, now, send_suspect, &sending);
	return sending.count;
}

void suspect_update_count(struct node *node, enum retry_suspect_state state)
{
	if (state == RETRY_SUSPECT_SUSPECTED)
		node_counter_add(node, "suspects{state=\"suspect\"}");
	else if (state == RETRY_SUSPECT_CONVICTED)
		node_counter_add(node, "suspects{state=\"convicted\"}");
	else if (state == RETRY_SUSPECT_CLEARED)
		node_counter_add(node, "suspects{state=\"cleared\"}");
}
