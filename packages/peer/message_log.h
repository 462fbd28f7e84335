/* Log lines of the messages of the peer interface. Private to the package. */
#ifndef PEER_MESSAGE_LOG_H
#define PEER_MESSAGE_LOG_H

#include "peer.h"

/**
 * Logs a message with its fields at log level debug. Bodies and lists appear
 * as their size, texts without what follows a question mark, since a query may
 * be confidential. @p log may be NULL.
 * @param address  of the link; NULL for a remote daemon's connection
 */
void message_log_write(struct base_log *log, const char *event,
		       const char *address, const struct peer_message *msg);

#endif
