/*
 * Asks and grants of the rate package as messages between daemons. Pure.
 */
#ifndef RATE_WIRE_H
#define RATE_WIRE_H

#include "peer.h"
#include "rate.h"

/**
 * Fills @p msg with an ask.
 * @param returns  memory for the list of returns; must outlive @p msg
 */
void rate_wire_ask_to_message(const struct rate_ask *ask,
			      struct base_str account, struct base_str vm,
			      struct peer_rate_return returns[RATE_REPORTS_MAX],
			      struct peer_message *msg);
/**
 * @param account  number of the account that the message names
 * @return false when a value is out of range
 */
bool rate_wire_ask_from_message(const struct peer_rate_ask *msg,
				uint64_t account, struct rate_ask *out);
void rate_wire_grant_to_message(const struct rate_grant *grant,
				struct base_str account,
				struct peer_message *msg);
bool rate_wire_grant_from_message(const struct peer_rate_grant *msg,
				  uint64_t account, struct rate_grant *out);

#endif
