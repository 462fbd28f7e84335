/* The control task: reads the platform, checks and activates configuration. */
#ifndef CONTROL_H
#define CONTROL_H

#include "daemon.h"
#include "dialect.h"
#include "messages.h"

/** Time for which a new manifest waits for competing publications. */
#define CONTROL_SETTLE_US BASE_SECOND_US
/**
 * A daemon that is no relay watches the platform too when no peer has reported
 * a version for this time.
 */
#define CONTROL_PEER_REPORT_TIMEOUT_US (12 * BASE_SECOND_US)

struct control;

/**
 * Starts the thread of the control task.
 * @param outbox  receives struct data_message; must outlive the control task
 * @return NULL with @p err set
 */
struct control *control_create(const struct daemon_settings *settings,
			       const struct daemon_dialect *dialect,
			       struct base_mailbox *outbox,
			       struct base_log *log,
			       struct base_counters *counters,
			       struct base_error *err);
/** Ends the thread and waits for it. */
void control_destroy(struct control *control);
/** Can be called on any thread. The control task takes over the message. */
void control_post(struct control *control, struct control_message *msg);

#endif
