/* Cold start ramp, and detection of cold servers by a rise of the latency. */
#include "ramp.h"

/*
 * A sudden rise of the recent latency above this multiple of the long-term
 * average indicates a cold server. The margin above 3 excludes a service that
 * slows down to a third of its speed: the ramp would remove most of its
 * remaining capacity.
 */
#define COLD_LATENCY_RATIO 3.5
/* A rise is sudden when it takes at most this long. */
#define SUDDEN_RISE_MAX_US (2 * BASE_SECOND_US)
/*
 * A recent latency above this multiple of the long-term average counts as a
 * rise and is not averaged into it.
 */
#define BASELINE_FREEZE_RATIO 1.5
/* Delay between the loss of a server and the next request sent to it. */
#define TRIAL_INTERVAL_US (50 * BASE_MS_US)
/*
 * An idle server shows no latency by which a cold one could be told, and it may
 * turn cold without its platform's knowledge. After this time, a group of
 * requests larger than a cold server bears waits for a health check. It answers
 * the load of servers that are taken back into use all at once.
 */
#define UNCONFIRMED_IDLE_US (200 * BASE_MS_US)
/* Without an answer to the check for this time, the server counts as warm. */
#define UNCONFIRMED_MAX_US BASE_SECOND_US
#define RECENT_GAIN 0.05
#define BASELINE_GAIN 0.01
#define SAMPLES_MIN 20

void overload_ramp_configure(struct overload_ramp *ramp,
			     const struct overload_guard_config *config)
{
	ramp->slots = config->slots;
	ramp->cold_slots = config->cold_slots < config->slots
				   ? config->cold_slots
				   : config->slots;
	ramp->cold_us = config->cold_us;
	ramp->cold_starts.rate_per_s = config->cold_rate_per_s;
}

/* The server reports itself whether it is cold. */
static bool has_cold_rate(const struct overload_ramp *ramp)
{
	return ramp->cold_starts.rate_per_s > 0;
}

/* Treats the server as cold from now on. */
static void restart(struct overload_ramp *ramp, int64_t now)
{
	ramp->restarted_at = now;
	ramp->warming_since = -1;
	ramp->samples = 0;
	ramp->rising_since = -1;
}

void overload_ramp_init(struct overload_ramp *ramp,
			const struct overload_guard_config *config, int64_t now)
{
	*ramp = (struct overload_ramp){ 0 };
	overload_ramp_configure(ramp, config);
	restart(ramp, now);
}

void overload_ramp_server_lost(struct overload_ramp *ramp, int64_t now)
{
	restart(ramp, now);
	ramp->unavailable = true;
	ramp->trial_in_flight = false;
	ramp->lost_at = now;
	ramp->next_trial_at = now + TRIAL_INTERVAL_US;
}

void overload_ramp_hold(struct overload_ramp *ramp)
{
	ramp->unavailable = true;
}

static bool is_limited_by_rate(const struct overload_ramp *ramp, int64_t now)
{
	return now < ramp->cold_until || now < ramp->unconfirmed_until;
}

void overload_ramp_server_ready(struct overload_ramp *ramp, int64_t cold_us,
				int64_t now)
{
	if (ramp->unavailable || !is_limited_by_rate(ramp, now))
		overload_bucket_fill(&ramp->cold_starts, now);
	ramp->unavailable = false;
	ramp->unconfirmed_until = now;
	ramp->idle_since = now;
	if (now + cold_us > ramp->cold_until)
		ramp->cold_until = now + cold_us;
}

static bool may_start_by_rate(const struct overload_ramp *ramp, int64_t now)
{
	if (ramp->unavailable)
		return false;
	return !is_limited_by_rate(ramp, now) ||
	       overload_bucket_has_token(&ramp->cold_starts, now);
}

bool overload_ramp_needs_check(const struct overload_ramp *ramp, int64_t now)
{
	return has_cold_rate(ramp) && now < ramp->unconfirmed_until &&
	       !may_start_by_rate(ramp, now);
}

bool overload_ramp_may_start(const struct overload_ramp *ramp, int64_t now)
{
	if (has_cold_rate(ramp))
		return may_start_by_rate(ramp, now);
	return !ramp->unavailable ||
	       (now >= ramp->next_trial_at && !ramp->trial_in_flight);
}

void overload_ramp_work_started(struct overload_ramp *ramp, int64_t now)
{
	ramp->trial_in_flight = true;
	if (has_cold_rate(ramp) && !ramp->in_flight &&
	    !is_limited_by_rate(ramp, now) &&
	    now - ramp->idle_since >= UNCONFIRMED_IDLE_US) {
		ramp->unconfirmed_until = now + UNCONFIRMED_MAX_US;
		overload_bucket_fill(&ramp->cold_starts, now);
	}
	ramp->in_flight++;
	if (has_cold_rate(ramp) && is_limited_by_rate(ramp, now))
		overload_bucket_take(&ramp->cold_starts, now);
}

void overload_ramp_work_ended(struct overload_ramp *ramp, int64_t started_at,
			      int64_t now)
{
	if (ramp->in_flight && !--ramp->in_flight)
		ramp->idle_since = now;
	if (started_at >= ramp->lost_at)
		ramp->trial_in_flight = false;
}

void overload_ramp_exclude_pause(struct overload_ramp *ramp, int64_t paused_us)
{
	if (ramp->warming_since >= 0)
		ramp->warming_since += paused_us;
	if (ramp->cold_until)
		ramp->cold_until += paused_us;
}

bool overload_ramp_is_cold(const struct overload_ramp *ramp, int64_t now)
{
	if (has_cold_rate(ramp))
		return ramp->unavailable || now < ramp->cold_until;
	return ramp->warming_since < 0 ||
	       now - ramp->warming_since < ramp->cold_us;
}

uint32_t overload_ramp_limit(const struct overload_ramp *ramp, int64_t now)
{
	uint32_t rest = ramp->slots - ramp->cold_slots;
	int64_t warming;

	if (has_cold_rate(ramp))
		return ramp->slots;
	if (ramp->warming_since < 0)
		return ramp->cold_slots;
	if (!overload_ramp_is_cold(ramp, now))
		return ramp->slots;
	warming = now - ramp->warming_since;
	return ramp->cold_slots + (uint32_t)((double)rest * (double)warming /
					     (double)ramp->cold_us);
}

static void update_averages(struct overload_ramp *ramp, double latency_us,
			    int64_t now)
{
	if (!ramp->samples++) {
		ramp->baseline_us = latency_us;
		ramp->recent_us = latency_us;
	}
	ramp->recent_us += RECENT_GAIN * (latency_us - ramp->recent_us);
	if (ramp->recent_us < BASELINE_FREEZE_RATIO * ramp->baseline_us) {
		ramp->baseline_us +=
			BASELINE_GAIN * (latency_us - ramp->baseline_us);
		ramp->rising_since = -1;
	} else if (ramp->rising_since < 0) {
		ramp->rising_since = now;
	} else if (now - ramp->rising_since > SUDDEN_RISE_MAX_US) {
		/* A lasting rise is the new baseline, not a cold server. */
		ramp->baseline_us = ramp->recent_us;
	}
}

bool overload_ramp_work_answered(struct overload_ramp *ramp,
				 const struct overload_sample *sample,
				 int64_t now)
{
	if (has_cold_rate(ramp) || sample->started_at <= ramp->restarted_at)
		return false;
	if (ramp->warming_since < 0 && !sample->failed) {
		ramp->warming_since = now;
		ramp->unavailable = false;
	}
	if (overload_ramp_is_cold(ramp, now) || !sample->latency_valid ||
	    sample->failed)
		return false;
	update_averages(ramp, (double)sample->latency_us, now);
	if (ramp->samples < SAMPLES_MIN ||
	    ramp->recent_us <= COLD_LATENCY_RATIO * ramp->baseline_us)
		return false;
	restart(ramp, now);
	return true;
}
