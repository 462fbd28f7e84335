/* Reception of responses by the HTTP client. */
#ifndef HTTP_CLIENT_RECEIVE_H
#define HTTP_CLIENT_RECEIVE_H

#include "client_state.h"

/** Callbacks of a connection's bufferevent; @p arg is the connection. */
void client_on_read(struct bufferevent *bev, void *arg);
void client_on_event(struct bufferevent *bev, short events, void *arg);
/** Hash of the id of the call's request. */
uint64_t client_call_id(const struct http_call *call);

#endif
