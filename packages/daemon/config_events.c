/* Records configurations that were not activated. */
#include "config_events.h"

#include <inttypes.h>

void config_events_record_refusal(struct node *node,
				  const struct data_message *msg)
{
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_ERROR, "config_refused");

	node_counter_add(node, "config_refused");
	base_log_int(&line, "version", msg->version);
	base_log_str(&line, "reason", base_buf_str(&msg->text));
	base_log_end(&line);
	base_buf_reset(&node->last_refused);
	base_buf_addf(&node->last_refused, "version %" PRId64 ": %s",
		      msg->version, msg->text.ptr);
}

void config_events_record_conflict(struct node *node,
				   const struct data_message *msg)
{
	struct base_log_line line =
		base_log_begin(node->log, BASE_LOG_ERROR, "config_conflict");
	char hash[65];

	node_counter_add(node, "config_conflicts");
	base_digest_hex(&msg->digest, hash);
	base_log_int(&line, "version", msg->version);
	base_log_cstr(&line, "loser", hash);
	base_log_end(&line);
	base_buf_reset(&node->last_conflict);
	base_buf_addf(&node->last_conflict,
		      "version %" PRId64 " was published twice; %s is not in "
		      "force, publish it again under a higher version",
		      msg->version, hash);
}
