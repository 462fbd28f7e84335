/* Evidence of when the platform's registry has answered. */
#include "registry_evidence.h"

#define LONG_AGO (INT64_MIN / 2)

void registry_evidence_init(struct registry_evidence *e, int64_t beat_us)
{
	*e = (struct registry_evidence){ .beat_us = beat_us };
}

void registry_evidence_on_failure(struct registry_evidence *e)
{
	e->failed_before = e->failed_before || !e->answered_at;
}

/*
 * The server's last write may be one interval older than the start of the
 * outage.
 */
static bool may_expire_entries(const struct registry_evidence *e, int64_t from,
			       int64_t to)
{
	return to - from >= (REGISTRY_BEATS_TO_EXPIRE - 1) * e->beat_us;
}

static void add_first(struct registry_evidence *e, int64_t since, int64_t at)
{
	e->interrupted_at = LONG_AGO;
	e->answered_at = at;
	e->steady_since = since;
	e->run_since = since;
	/* Nothing is known of the time before, in which calls have failed. */
	if (e->failed_before)
		e->outage_ended_at = since;
}

/*
 * Two interruptions count as one when the platform answered between them for
 * less than an interval, as not every server has written then.
 */
static void add_after_interruption(struct registry_evidence *e, int64_t since)
{
	if (e->answered_at - e->run_since >= e->beat_us)
		e->interrupted_at = e->answered_at;
	e->run_since = since;
	if (!may_expire_entries(e, e->interrupted_at, since))
		return;
	e->steady_since = since;
	e->outage_ended_at = since;
}

/* The times known to be without an outage begin earlier than was known. */
static void extend_back(struct registry_evidence *e, int64_t since)
{
	if (since < e->run_since)
		e->run_since = since;
	if (since >= e->steady_since)
		return;
	e->steady_since = since;
	if (!e->outage_ended_at)
		return;
	e->outage_ended_at =
		may_expire_entries(e, e->interrupted_at, since) ? since : 0;
}

bool registry_evidence_add(struct registry_evidence *e, int64_t since,
			   int64_t at)
{
	int64_t before = e->outage_ended_at;

	if (!e->answered_at) {
		add_first(e, since, at);
		return e->outage_ended_at != before;
	}
	if (since - e->answered_at >= e->beat_us)
		add_after_interruption(e, since);
	else if (at >= e->run_since)
		extend_back(e, since);
	if (at > e->answered_at)
		e->answered_at = at;
	return e->outage_ended_at != before;
}

bool registry_evidence_is_old(const struct registry_evidence *e, int64_t now)
{
	return e->answered_at ? may_expire_entries(e, e->answered_at, now)
			      : e->failed_before;
}
