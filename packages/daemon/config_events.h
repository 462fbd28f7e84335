/* Sets that did not come into force, for logs, counters and status. */
#ifndef CONFIG_EVENTS_H
#define CONFIG_EVENTS_H

#include "node.h"

void config_events_record_refusal(struct node *node,
				  const struct data_message *msg);
/** Another content was published under a version in use. */
void config_events_record_conflict(struct node *node,
				   const struct data_message *msg);

#endif
