/* A sample message of each type, and a comparison of messages. */
#ifndef PEER_TESTS_SAMPLES_H
#define PEER_TESTS_SAMPLES_H

#include "peer.h"

/** Returns a message of @p type with values in its fields. */
struct peer_message sample_message(enum peer_message_type type);
/** Fails the test when the two messages differ. */
void sample_assert_equal(const struct peer_message *a,
			 const struct peer_message *b);

#endif
