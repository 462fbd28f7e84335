/* Access to a work item from its onward calls. */
#include "guard_work.h"

struct guard_work *guard_find_work_by_token(struct guard *guard,
					    struct base_str token)
{
	struct guard_work *w = NULL;

	if (token.len != TOKEN_LEN)
		return NULL;
	HASH_FIND(hh_token, guard->work_items_by_token, token.ptr, TOKEN_LEN,
		  w);
	return w;
}

const struct peer_context *guard_work_context(const struct guard_work *work)
{
	return &work->request.context;
}

int64_t guard_work_deadline(const struct guard_work *work)
{
	return work->deadline;
}

const struct http_trace *guard_work_trace(const struct guard_work *work)
{
	return &work->trace;
}

void guard_work_onward_started(struct guard_work *work, int64_t now)
{
	if (!work->onward_open_count++)
		work->onward_started_at = now;
}

void guard_work_onward_ended(struct guard_work *work, int32_t cutoff,
			     bool retried, int64_t now)
{
	work->cutoff = overload_cutoff_stricter(work->cutoff, cutoff);
	work->retried = work->retried || retried;
	if (!--work->onward_open_count)
		overload_guard_add_onward_wait(work->guard->overload, work->id,
					       now - work->onward_started_at);
}

void guard_work_set_end_cb(struct guard_work *work, guard_end_cb cb, void *ctx)
{
	work->end_cb = cb;
	work->end_ctx = ctx;
}
