/* Memory of the responses that the HTTP client is receiving. */
#ifndef HTTP_CLIENT_MEMORY_H
#define HTTP_CLIENT_MEMORY_H

#include "client_state.h"

/** Small responses are not held up by large ones. */
#define SMALL_RESPONSE_BYTES (48U << 10)

void client_set_held_bytes(struct connection *c, size_t bytes);
/** Updates what the connection holds, and stops reading if that is too much. */
void client_limit_held_bytes(struct connection *c);
/** Callback of the resume timer; @p arg is the client. */
void client_on_resume_timer(evutil_socket_t fd, short events, void *arg);

#endif
