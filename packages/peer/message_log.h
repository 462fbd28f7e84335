/* Log lines of the messages of the peer interface. Private to the package. */
#ifndef PEER_TRACE_H
#define PEER_TRACE_H

#include "peer.h"

/**
 * Logs a message with its fields at log level debug. Bodies and lists appear
 * as their size, texts without what follows a question mark.
 * @param address  of the link; NULL for a remote daemon's connection
 */
void trace_message(struct base_log *log, const char *event, const char *address,
		   const struct peer_message *msg);

#endif
