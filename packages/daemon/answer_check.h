/**
 * @file
 * Check of answers that come in messages of other daemons, or were stored for
 * an idempotency key.
 */
#ifndef ANSWER_CHECK_H
#define ANSWER_CHECK_H

#include "peer.h"

/**
 * Whether an answer with this status and these headers is a response in
 * HTTP/1.1, so that a caller can get it.
 */
bool answer_is_response(uint32_t status, const struct peer_headers *headers);

#endif
