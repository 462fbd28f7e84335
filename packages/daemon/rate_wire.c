/* Conversion of asks and grants to and from peer messages. */
#include "rate_wire.h"

/* Upper bound of the amounts in an ask or a grant. */
#define AMOUNT_MAX_MT (RATE_VALUE_MAX * RATE_TOKEN_MT)

static bool is_valid_amount(int64_t mt)
{
	return mt >= 0 && mt <= AMOUNT_MAX_MT;
}

void rate_wire_ask_to_message(const struct rate_ask *ask,
			      struct base_str account, struct base_str vm,
			      struct peer_rate_return returns[RATE_REPORTS_MAX],
			      struct peer_message *msg)
{
	uint32_t i;

	for (i = 0; i < ask->report_count; i++)
		returns[i] = (struct peer_rate_return){
			.grant_id = ask->reports[i].grant,
			.used_mtok = ask->reports[i].used_mt,
			.returned_mtok = ask->reports[i].returned_mt,
		};
	*msg = (struct peer_message){
		.type = PEER_RATE_ASK,
		.id = ask->seq,
		.rate_ask = {
			.account = account,
			.vm = vm,
			.incarnation = ask->entry,
			.sequence = ask->seq,
			.wanted_mtok = ask->need_mt,
			.returns = { returns, ask->report_count },
			.ahead_mtok = ask->prefetch_mt,
			.holder = ask->holder,
		},
	};
}

bool rate_wire_ask_from_message(const struct peer_rate_ask *msg,
				uint64_t account, struct rate_ask *out)
{
	size_t i;

	if (!is_valid_amount(msg->wanted_mtok) ||
	    !is_valid_amount(msg->ahead_mtok) || !msg->incarnation ||
	    msg->returns.count > RATE_REPORTS_MAX)
		return false;
	*out = (struct rate_ask){
		.account = account,
		.entry = msg->incarnation,
		.seq = msg->sequence,
		.need_mt = msg->wanted_mtok,
		.prefetch_mt = msg->ahead_mtok,
		.holder = msg->holder,
		.report_count = (uint32_t)msg->returns.count,
	};
	for (i = 0; i < msg->returns.count; i++) {
		const struct peer_rate_return *r = &msg->returns.items[i];

		if (!is_valid_amount(r->used_mtok) ||
		    !is_valid_amount(r->returned_mtok))
			return false;
		out->reports[i] = (struct rate_report){
			.grant = r->grant_id,
			.used_mt = r->used_mtok,
			.returned_mt = r->returned_mtok,
		};
	}
	return true;
}

void rate_wire_grant_to_message(const struct rate_grant *grant,
				struct base_str account,
				struct peer_message *msg)
{
	static const enum peer_rate_status status[] = {
		[RATE_GRANT_OK] = PEER_RATE_OK,
		[RATE_GRANT_NOT_HOLDER] = PEER_RATE_NOT_HOLDER,
		[RATE_GRANT_STARTING] = PEER_RATE_STARTING,
	};

	*msg = (struct peer_message){
		.type = PEER_RATE_GRANT,
		.id = grant->seq,
		.rate_grant = {
			.account = account,
			.sequence = grant->seq,
			.grant_id = grant->id,
			.granted_mtok = grant->amount_mt,
			.lifetime_us = grant->lifetime_us,
			.wait_us = grant->retry_us,
			.incarnation = grant->entry,
			.holder = grant->holder,
			.status = status[grant->status],
		},
	};
}

bool rate_wire_grant_from_message(const struct peer_rate_grant *msg,
				  uint64_t account, struct rate_grant *out)
{
	static const enum rate_grant_status status[] = {
		[PEER_RATE_OK] = RATE_GRANT_OK,
		[PEER_RATE_NOT_HOLDER] = RATE_GRANT_NOT_HOLDER,
		[PEER_RATE_STARTING] = RATE_GRANT_STARTING,
	};

	if (!is_valid_amount(msg->granted_mtok) || msg->lifetime_us < 0 ||
	    msg->lifetime_us > RATE_GRANT_LIFETIME_MAX_US || msg->wait_us < 0 ||
	    msg->wait_us > BASE_SECOND_US * 60 || !msg->holder)
		return false;
	*out = (struct rate_grant){
		.account = account,
		.entry = msg->incarnation,
		.seq = msg->sequence,
		.holder = msg->holder,
		.status = status[msg->status],
		.id = msg->grant_id,
		.amount_mt = msg->granted_mtok,
		.lifetime_us = msg->lifetime_us,
		.retry_us = msg->wait_us,
	};
	return true;
}
