/*
 * Conversion between the asks and grants of the rate package and the messages
 * of the peer protocol. Does no input or output.
 */
#ifndef RATE_WIRE_H
#define RATE_WIRE_H

#include "peer.h"
#include "rate.h"

/**
 * Fills @p msg with an ask. The message refers to @p account, @p vm and
 * @p returns, which must outlive it.
 * @param account  name of the account
 * @param vm       name of the VM that asks
 * @param returns  memory for the reports on grants
 */
void rate_wire_ask_to_message(const struct rate_ask *ask,
			      struct base_str account, struct base_str vm,
			      struct peer_rate_return returns[RATE_REPORTS_MAX],
			      struct peer_message *msg);
/**
 * Copies a received ask to @p out.
 * @param account  number of the account that the message names
 * @return false when a value is out of range; @p out is then undefined
 */
bool rate_wire_ask_from_message(const struct peer_rate_ask *msg,
				uint64_t account, struct rate_ask *out);
/** Fills @p msg with a grant. @p account must outlive the message. */
void rate_wire_grant_to_message(const struct rate_grant *grant,
				struct base_str account,
				struct peer_message *msg);
/**
 * Copies a received grant to @p out.
 * @param account  number of the account that the message names
 * @return false when a value is out of range; @p out is then unchanged
 */
bool rate_wire_grant_from_message(const struct peer_rate_grant *msg,
				  uint64_t account, struct rate_grant *out);

#endif
