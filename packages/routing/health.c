/* Health of a server: when it is out of rotation, back-off and trials. */
#include "internal.h"

#include <assert.h>

/* The back-off reaches its maximum after this many doublings. */
#define BACKOFF_DOUBLINGS_MAX 7

void routing_health_init(struct routing_state *state)
{
	state->heartbeat_interval_us = ROUTING_HEARTBEAT_INTERVAL_US;
}

/*
 * Exponential back-off, multiplied by a random factor from 0.5 to 1.5. Without
 * jitter all entries that saw the same failure would send their trial requests
 * at the same time.
 */
static int64_t backoff(const struct routing_state *state, struct base_rand *rnd)
{
	uint32_t doublings = state->failures ? state->failures - 1 : 0;
	int64_t delay;

	if (doublings > BACKOFF_DOUBLINGS_MAX)
		doublings = BACKOFF_DOUBLINGS_MAX;
	delay = ROUTING_BACKOFF_MIN_US << doublings;
	if (delay > ROUTING_BACKOFF_MAX_US)
		delay = ROUTING_BACKOFF_MAX_US;
	return (int64_t)((double)delay * (0.5 + base_rand_unit(rnd)));
}

void routing_health_fail(struct routing_state *state,
			 enum routing_out_reason failure, struct base_rand *rnd,
			 int64_t now)
{
	bool first = state->failure == ROUTING_OUT_NONE;

	assert(failure == ROUTING_OUT_LINK || failure == ROUTING_OUT_BACKEND ||
	       failure == ROUTING_OUT_SILENT);
	state->failure = failure;
	/* Requests that are lost together count as one failure. */
	if (!first && !state->in_trial)
		return;
	state->in_trial = false;
	state->failures++;
	state->retry_at = now + backoff(state, rnd);
}

void routing_health_trial_started(struct routing_state *state,
				  struct base_rand *rnd, int64_t now)
{
	state->in_trial = true;
	/*
	 * Schedule the next trial already, as this one may end without a
	 * result. Its failure is counted only when it is reported.
	 */
	state->failures++;
	state->retry_at = now + backoff(state, rnd);
	state->failures--;
}

bool routing_health_check_due(const struct routing_state *state, int64_t now)
{
	return state->in_flight &&
	       routing_liveness_check_due(&state->liveness, now);
}

static bool is_silent(const struct routing_state *state, int64_t now)
{
	if (routing_liveness_timed_out(&state->liveness, now))
		return true;
	if (!state->link_used ||
	    now - state->last_sent_at > ROUTING_LINK_IDLE_US)
		return false;
	return now - state->liveness.last_received_at >
	       ROUTING_MISSED_HEARTBEATS * state->heartbeat_interval_us;
}

void routing_health_refresh(struct routing_state *state, struct base_rand *rnd,
			    int64_t now)
{
	if (state->failure == ROUTING_OUT_NONE && is_silent(state, now))
		routing_health_fail(state, ROUTING_OUT_SILENT, rnd, now);
}

bool routing_health_has_fresh_report(const struct routing_state *state,
				     int64_t now)
{
	int64_t fresh = ROUTING_REPORT_MAX_AGE_US;

	/* A peer with many links sends heartbeats less often. */
	if (fresh < 2 * state->heartbeat_interval_us)
		fresh = 2 * state->heartbeat_interval_us;
	return state->has_report && now - state->report_at <= fresh;
}

enum routing_out_reason
routing_health_out_reason(const struct routing_state *state, int64_t now)
{
	if (state->conf.leaving)
		return ROUTING_OUT_LEAVING;
	if (state->conf.domain_out)
		return ROUTING_OUT_DOMAIN;
	if (state->platform == ROUTING_PLATFORM_LEAVING)
		return ROUTING_OUT_PLATFORM;
	if (state->draining)
		return ROUTING_OUT_DRAINING;
	if (state->failure != ROUTING_OUT_NONE)
		return state->failure;
	if (is_silent(state, now))
		return ROUTING_OUT_SILENT;
	if (routing_health_has_fresh_report(state, now) &&
	    state->report.cold_full)
		return ROUTING_OUT_COLD;
	if (routing_health_has_fresh_report(state, now) && !state->report.limit)
		return ROUTING_OUT_NO_CAPACITY;
	if (state->has_report && state->report.stopping)
		return ROUTING_OUT_STOPPING;
	return ROUTING_OUT_NONE;
}

bool routing_health_trial_due(const struct routing_state *state, int64_t now)
{
	switch (routing_health_out_reason(state, now)) {
	case ROUTING_OUT_LINK:
	case ROUTING_OUT_BACKEND:
	case ROUTING_OUT_SILENT:
		return now >= state->retry_at;
	default:
		return false;
	}
}

void routing_health_set_draining(struct routing_state *state,
				 struct base_rand *rnd, int64_t now)
{
	if (!state->draining)
		state->retry_at = now + backoff(state, rnd);
	state->draining = true;
}

void routing_health_report(struct routing_state *state,
			   const struct routing_load_report *report,
			   struct base_rand *rnd, int64_t now)
{
	if (report->draining)
		routing_health_set_draining(state, rnd, now);
	state->draining = report->draining;
	state->report = *report;
	state->has_report = true;
	state->report_at = now;
	state->in_flight_at_report = state->in_flight;
}

const char *routing_health_out_reason_str(enum routing_out_reason out)
{
	switch (out) {
	case ROUTING_OUT_NONE:
		return "";
	case ROUTING_OUT_LEAVING:
		return "leaving";
	case ROUTING_OUT_DOMAIN:
		return "domain_out";
	case ROUTING_OUT_PLATFORM:
		return "platform_leaving";
	case ROUTING_OUT_DRAINING:
		return "draining";
	case ROUTING_OUT_STOPPING:
		return "stopping";
	case ROUTING_OUT_LINK:
		return "link_failed";
	case ROUTING_OUT_BACKEND:
		return "backend_failed";
	case ROUTING_OUT_SILENT:
		return "silent";
	case ROUTING_OUT_COLD:
		return "cold_full";
	case ROUTING_OUT_NO_CAPACITY:
		return "no_capacity";
	}
	return "unknown";
}
