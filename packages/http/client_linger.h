/*
 * Calls that have timed out while their response is still due. A server answers
 * at the deadline that it was told, which is the one at which the call times
 * out. Closing the connection then would lose it, although the response is on
 * its way. Such a call keeps its connection for a short time; the connection
 * returns to the pool if the response comes, and is closed otherwise. It
 * carries no other request meanwhile.
 */
#ifndef HTTP_CLIENT_LINGER_H
#define HTTP_CLIENT_LINGER_H

#include "client_state.h"

/**
 * Whether a call that times out may wait for its response: the request was sent
 * and no part of the response has come. Calls linger only while enough of those
 * before got their response.
 */
bool client_may_linger(const struct http_call *call, int64_t now);
void client_start_linger(struct http_call *call);
/** The response of a lingering call has come. */
void client_linger_answered(struct http_client *client);
bool client_is_lingering(const struct http_call *call);

#endif
