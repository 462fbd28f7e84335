/* Records configurations that were not activated: log, counters and status. */
#ifndef CONFIG_EVENTS_H
#define CONFIG_EVENTS_H

#include "node.h"

void config_events_record_refusal(struct node *node,
				  const struct data_message *msg);
/** Records that a version was published again with different content. */
void config_events_record_conflict(struct node *node,
				   const struct data_message *msg);

#endif
