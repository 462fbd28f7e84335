/*
 * Calls that have ended for their user while their response is still due. A
 * server answers at the deadline that it was told, which is the one at which
 * the call times out. Closing the connection then would lose it, although the
 * response is on its way. Such a call keeps its connection for a short time;
 * the connection returns to the pool if the response comes, and is closed
 * otherwise. It carries no other request meanwhile.
 */
#ifndef HTTP_CLIENT_LINGER_H
#define HTTP_CLIENT_LINGER_H

#include "client_state.h"

/**
 * Whether the call may wait for its response after its user has left: the
 * request was sent, no part of the response has come, and the deadline has
 * passed or is close. Calls linger only while enough of those before got their
 * response.
 */
bool client_may_linger(const struct http_call *call, int64_t now);
/** Removes the callback and waits for the response. */
void client_start_linger(struct http_call *call, int64_t now);
/** The response of a lingering call has come. */
void client_linger_answered(struct http_client *client);
bool client_is_lingering(const struct http_call *call);

#endif
