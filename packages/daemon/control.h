/* The control task: reads the platform, checks and activates configuration. */
#ifndef CONTROL_H
#define CONTROL_H

#include "daemon.h"
#include "dialect.h"
#include "messages.h"

/** A new manifest waits this long for competing publications. */
#define CONTROL_SETTLE_US BASE_SECOND_US
/** Without news of a relay for this long, the platform is read directly. */
#define CONTROL_RELAY_TIMEOUT_US (12 * BASE_SECOND_US)

struct control;

/**
 * Starts the thread.
 * @param outbox  receives struct data_message; outlives the control task
 */
struct control *control_create(const struct daemon_settings *settings,
			       const struct daemon_dialect *dialect,
			       struct base_mailbox *outbox,
			       struct base_log *log,
			       struct base_counters *counters,
			       struct base_error *err);
/** Ends the thread and waits for it. */
void control_destroy(struct control *control);
/** Any thread; the message belongs to the control task from here on. */
void control_post(struct control *control, struct control_message *msg);

#endif
