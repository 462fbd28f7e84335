/* Dispatch of the rate_entry_*() functions to the implementation. */
#include "rate.h"

void rate_entry_destroy(struct rate_entry *entry)
{
	if (entry)
		entry->ops->destroy(entry);
}

void rate_entry_set_account(struct rate_entry *entry, uint64_t account,
			    const struct rate_account *spec, int64_t now)
{
	entry->ops->set_account(entry, account, spec, now);
}

void rate_entry_remove_account(struct rate_entry *entry, uint64_t account)
{
	entry->ops->remove_account(entry, account);
}

struct rate_decision rate_entry_admit(struct rate_entry *entry,
				      uint64_t account, uint64_t request,
				      int64_t now)
{
	return entry->ops->admit(entry, account, request, now);
}

void rate_entry_cancel(struct rate_entry *entry, uint64_t account,
		       uint64_t request)
{
	entry->ops->cancel(entry, account, request);
}

void rate_entry_on_grant(struct rate_entry *entry, uint64_t holder,
			 const struct rate_grant *grant, int64_t now)
{
	entry->ops->on_grant(entry, holder, grant, now);
}

void rate_entry_on_holder_unreachable(struct rate_entry *entry, uint64_t holder,
				      int64_t now)
{
	entry->ops->on_holder_unreachable(entry, holder, now);
}

void rate_entry_tick(struct rate_entry *entry, int64_t now)
{
	entry->ops->tick(entry, now);
}

int64_t rate_entry_next_tick(const struct rate_entry *entry)
{
	return entry->ops->next_tick(entry);
}

bool rate_entry_next_action(struct rate_entry *entry, struct rate_action *out)
{
	return entry->ops->next_action(entry, out);
}

bool rate_decision_valid(const struct rate_decision *decision, int64_t now)
{
	return decision->result == RATE_ADMITTED &&
	       now < decision->token_expires_at;
}
