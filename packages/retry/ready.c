/* The readiness rule of D6. */
#include "ready.h"

void ready_init(struct ready *ready, int64_t margin_ms, int64_t retention_us,
		int64_t wall_ms)
{
	ready->retention_us = retention_us;
	ready->margin_ms = margin_ms;
	ready->gate_all = true;
	/* Keys claimed at a former start were created before this. */
	ready->floor_ms = wall_ms + margin_ms;
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

static void meet(struct ready_domain *d)
{
	d->met = true;
	d->met_at = d->at;
	d->met_wall_ms = d->wall_ms;
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
		all[i].met = false;
		if (all[i].known && all[i].version >= ready->version)
			meet(&all[i]);
	}
	free(ready->domains);
	ready->domains = all;
	ready->count = count;
}

/* Keys claimed under a former roster were created before this. */
static int64_t current_floor(const struct ready *ready)
{
	int64_t wall_ms = ready->activated_wall_ms;
	size_t i;

	for (i = 0; i < ready->count; i++) {
		if (ready->domains[i].met_wall_ms > wall_ms)
			wall_ms = ready->domains[i].met_wall_ms;
	}
	return wall_ms + ready->margin_ms;
}

void ready_report(struct ready *ready, uint32_t domain, uint64_t version,
		  int64_t wall_ms, int64_t now)
{
	struct ready_domain *d = find(ready, domain);

	if (!d)
		return;
	if (!d->known || d->version != version) {
		d->known = true;
		d->version = version;
		d->at = now;
		d->wall_ms = wall_ms;
	}
	/* A daemon of the domain may have started with an older version. */
	if (version < ready->version)
		d->met = false;
	else if (!d->met)
		meet(d);
}

void ready_pause(struct ready *ready)
{
	ready->paused = true;
}

bool ready_reached(const struct ready *ready, int64_t now)
{
	const struct ready_domain *d;
	size_t i;

	if (!ready->activated || ready->paused)
		return false;
	for (i = 0; i < ready->count; i++) {
		d = &ready->domains[i];
		if (!d->met || now - d->met_at < ready->margin_ms * BASE_MS_US)
			return false;
	}
	return true;
}

static void note_reached(struct ready *ready, int64_t now)
{
	struct ready_version *last = NULL;

	if (ready->recent_len)
		last = &ready->recent[ready->recent_len - 1];
	if (ready->version == ready->moved_since ||
	    (last && last->version == ready->version))
		return;
	/* Without room the newest is replaced, which only forgets later. */
	if (ready->recent_len < READY_VERSIONS)
		last = &ready->recent[ready->recent_len++];
	last->version = ready->version;
	last->reached_at = now;
}

/* Takes over the floor once the domains have reported. */
static void settle(struct ready *ready, int64_t now)
{
	int64_t floor_ms;

	if (!ready_reached(ready, now))
		return;
	note_reached(ready, now);
	floor_ms = current_floor(ready);
	if (ready->moved_floor_ms < floor_ms)
		ready->moved_floor_ms = floor_ms;
	if (ready->gate_all && ready->floor_ms < ready->moved_floor_ms)
		ready->floor_ms = ready->moved_floor_ms;
	ready->gate_all = false;
}

uint64_t ready_moved_since(struct ready *ready, int64_t now)
{
	size_t i, past = 0;

	settle(ready, now);
	while (past < ready->recent_len &&
	       now - ready->recent[past].reached_at >= ready->retention_us)
		ready->moved_since = ready->recent[past++].version;
	for (i = past; i < ready->recent_len; i++)
		ready->recent[i - past] = ready->recent[i];
	ready->recent_len -= past;
	return ready->moved_since;
}

void ready_activate(struct ready *ready, uint64_t version, bool skipped,
		    const uint32_t *domains, size_t count, int64_t wall_ms,
		    int64_t now)
{
	bool was_paused = ready->paused;

	if (ready->activated && version < ready->version)
		return;
	ready->paused = false;
	if (ready->activated && version == ready->version)
		return;
	settle(ready, now);
	/* Rosters may have come and gone during a pause. */
	if (skipped || was_paused)
		ready->gate_all = true;
	ready->activated = true;
	ready->version = version;
	ready->activated_wall_ms = wall_ms;
	set_domains(ready, domains, count);
}

enum retry_claim_status ready_check(struct ready *ready, bool moved,
				    int64_t created_ms, int64_t now)
{
	settle(ready, now);
	if (created_ms < ready->floor_ms)
		return RETRY_CLAIM_TOO_OLD;
	if (!ready->activated || ready->paused)
		return RETRY_CLAIM_NOT_READY;
	if (!moved && !ready->gate_all)
		return RETRY_CLAIM_NEW;
	if (!ready_reached(ready, now))
		return RETRY_CLAIM_NOT_READY;
	if (created_ms < ready->moved_floor_ms)
		return RETRY_CLAIM_TOO_OLD;
	return RETRY_CLAIM_NEW;
}
