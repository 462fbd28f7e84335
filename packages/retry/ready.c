/* Decides whether an owner accepts keys that may have moved. */
#include "ready.h"

void ready_init(struct ready *ready, int64_t clock_margin_ms,
		int64_t retention_us, int64_t wall_ms)
{
	ready->retention_us = retention_us;
	ready->clock_margin_ms = clock_margin_ms;
	ready->all_moved = true;
	/* Keys claimed before this start of the daemon are older than this. */
	ready->min_created_ms = wall_ms + clock_margin_ms;
}

void ready_release(struct ready *ready)
{
	free(ready->domains);
}

static struct ready_domain *find(const struct ready *ready, uint32_t id)
{
	size_t i;

	for (i = 0; i < ready->count; i++) {
		if (ready->domains[i].id == id)
			return &ready->domains[i];
	}
	return NULL;
}

static void mark_caught_up(struct ready_domain *d)
{
	d->caught_up = true;
	d->caught_up_at = d->version_at;
	d->caught_up_wall_ms = d->version_wall_ms;
}

static void set_domains(struct ready *ready, const uint32_t *ids, size_t count)
{
	struct ready_domain *all = base_alloc_array(count, sizeof(*all));
	struct ready_domain *old;
	size_t i;

	for (i = 0; i < count; i++) {
		old = find(ready, ids[i]);
		if (old)
			all[i] = *old;
		all[i].id = ids[i];
		all[i].caught_up = false;
		if (all[i].has_version && all[i].version >= ready->version)
			mark_caught_up(&all[i]);
	}
	free(ready->domains);
	ready->domains = all;
	ready->count = count;
}

/* Keys claimed under a former roster were created before this time. */
static int64_t roster_min_created_ms(const struct ready *ready)
{
	int64_t wall_ms = ready->activated_wall_ms;
	size_t i;

	for (i = 0; i < ready->count; i++) {
		if (ready->domains[i].caught_up_wall_ms > wall_ms)
			wall_ms = ready->domains[i].caught_up_wall_ms;
	}
	return wall_ms + ready->clock_margin_ms;
}

void ready_report_domain(struct ready *ready, uint32_t domain, uint64_t version,
			 int64_t wall_ms, int64_t now)
{
	struct ready_domain *d = find(ready, domain);

	if (!d)
		return;
	if (!d->has_version || d->version != version) {
		d->has_version = true;
		d->version = version;
		d->version_at = now;
		d->version_wall_ms = wall_ms;
	}
	/* A daemon of the domain may have started with an older version. */
	if (version < ready->version)
		d->caught_up = false;
	else if (!d->caught_up)
		mark_caught_up(d);
}

void ready_suspend(struct ready *ready)
{
	ready->suspended = true;
}

bool ready_all_reported(const struct ready *ready, int64_t now)
{
	const struct ready_domain *d;
	size_t i;

	if (!ready->activated || ready->suspended)
		return false;
	for (i = 0; i < ready->count; i++) {
		d = &ready->domains[i];
		if (!d->caught_up ||
		    now - d->caught_up_at < ready->clock_margin_ms * BASE_MS_US)
			return false;
	}
	return true;
}

static void record_reported_version(struct ready *ready, int64_t now)
{
	struct reported_version *last = NULL;

	if (ready->reported_len)
		last = &ready->reported[ready->reported_len - 1];
	if (ready->version == ready->oldest_roster ||
	    (last && last->version == ready->version))
		return;
	/*
	 * When the array is full, the newest version is replaced, so that
	 * former rosters are only discarded later.
	 */
	if (ready->reported_len < READY_REPORTED_MAX)
		last = &ready->reported[ready->reported_len++];
	last->version = ready->version;
	last->reported_at = now;
}

/* Raises the minimum creation times once all domains have reported. */
static void apply_reports(struct ready *ready, int64_t now)
{
	int64_t min_created_ms;

	if (!ready_all_reported(ready, now))
		return;
	record_reported_version(ready, now);
	min_created_ms = roster_min_created_ms(ready);
	if (ready->moved_min_created_ms < min_created_ms)
		ready->moved_min_created_ms = min_created_ms;
	if (ready->all_moved &&
	    ready->min_created_ms < ready->moved_min_created_ms)
		ready->min_created_ms = ready->moved_min_created_ms;
	ready->all_moved = false;
}

uint64_t ready_oldest_roster(struct ready *ready, int64_t now)
{
	size_t i, expired_len = 0;

	apply_reports(ready, now);
	while (expired_len < ready->reported_len &&
	       now - ready->reported[expired_len].reported_at >=
		       ready->retention_us)
		ready->oldest_roster = ready->reported[expired_len++].version;
	for (i = expired_len; i < ready->reported_len; i++)
		ready->reported[i - expired_len] = ready->reported[i];
	ready->reported_len -= expired_len;
	return ready->oldest_roster;
}

void ready_activate(struct ready *ready, uint64_t version, bool skipped,
		    const uint32_t *domains, size_t count, int64_t wall_ms,
		    int64_t now)
{
	bool was_suspended = ready->suspended;

	if (ready->activated && version < ready->version)
		return;
	ready->suspended = false;
	if (ready->activated && version == ready->version)
		return;
	apply_reports(ready, now);
	/* Other rosters may have been active elsewhere during a pause. */
	if (skipped || was_suspended)
		ready->all_moved = true;
	ready->activated = true;
	ready->version = version;
	ready->activated_wall_ms = wall_ms;
	set_domains(ready, domains, count);
}

enum retry_claim_status ready_check_key(struct ready *ready, bool moved,
					int64_t created_ms, int64_t now)
{
	apply_reports(ready, now);
	if (created_ms < ready->min_created_ms)
		return RETRY_CLAIM_TOO_OLD;
	if (!ready->activated || ready->suspended)
		return RETRY_CLAIM_NOT_READY;
	if (!moved && !ready->all_moved)
		return RETRY_CLAIM_NEW;
	if (!ready_all_reported(ready, now))
		return RETRY_CLAIM_NOT_READY;
	if (created_ms < ready->moved_min_created_ms)
		return RETRY_CLAIM_TOO_OLD;
	return RETRY_CLAIM_NEW;
}
