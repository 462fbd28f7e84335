/* Cold start ramp. */
#include "ramp.h"

/*
 * A rise of the latency beyond this multiple is the sign of a cold server. The
 * margin above 3 keeps a service that slows to a third from being taken for
 * one: the ramp would take away most of what it can still do.
 */
#define COLD_RISE 3.5
/* The rise counts as sudden when it takes at most this long. */
#define SUDDEN_US (2 * BASE_SECOND_US)
/* Above this multiple the long-term average is held. */
#define HOLD_RISE 1.5
/* A lost server is tried again after this long. */
#define HOLD_US (50 * BASE_MS_US)
#define RECENT_GAIN 0.05
#define USUAL_GAIN 0.01
#define MIN_SAMPLES 20

void overload_ramp_configure(struct overload_ramp *ramp,
			     const struct overload_guard_config *config)
{
	ramp->slots = config->slots;
	ramp->cold_slots = config->cold_slots < config->slots
				   ? config->cold_slots
				   : config->slots;
	ramp->cold_us = config->cold_us;
	ramp->cold_rate_per_s = config->cold_rate_per_s;
}

/* The server is cold from here on. */
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

void overload_ramp_lost(struct overload_ramp *ramp, int64_t now)
{
	restart(ramp, now);
	ramp->lost = true;
	ramp->trying = false;
	ramp->lost_at = now;
	ramp->held_until = now + HOLD_US;
}

/* A cold server gets this part of a second's requests at once. */
#define COLD_BURST_S 0.25
/* And one at least, whatever the rate. */
#define COLD_BURST_MIN 1.0

static double cold_burst(const struct overload_ramp *ramp)
{
	double burst = ramp->cold_rate_per_s * COLD_BURST_S;

	return burst > COLD_BURST_MIN ? burst : COLD_BURST_MIN;
}

static double cold_tokens(const struct overload_ramp *ramp, int64_t now)
{
	double earned = (double)(now - ramp->tokens_at) *
			ramp->cold_rate_per_s / BASE_SECOND_US;
	double tokens = ramp->tokens + earned;

	return tokens < cold_burst(ramp) ? tokens : cold_burst(ramp);
}

void overload_ramp_hold(struct overload_ramp *ramp)
{
	ramp->lost = true;
}

void overload_ramp_ready(struct overload_ramp *ramp, int64_t cold_us,
			 int64_t now)
{
	if (ramp->lost || now >= ramp->cold_until) {
		ramp->tokens = cold_burst(ramp);
		ramp->tokens_at = now;
	}
	ramp->lost = false;
	if (now + cold_us > ramp->cold_until)
		ramp->cold_until = now + cold_us;
}

static bool is_open_by_rate(const struct overload_ramp *ramp, int64_t now)
{
	if (ramp->lost)
		return false;
	return now >= ramp->cold_until || cold_tokens(ramp, now) >= 1;
}

bool overload_ramp_open(const struct overload_ramp *ramp, int64_t now)
{
	if (ramp->cold_rate_per_s > 0)
		return is_open_by_rate(ramp, now);
	return !ramp->lost || (now >= ramp->held_until && !ramp->trying);
}

void overload_ramp_started(struct overload_ramp *ramp, int64_t now)
{
	ramp->trying = true;
	if (ramp->cold_rate_per_s > 0 && now < ramp->cold_until) {
		ramp->tokens = cold_tokens(ramp, now) - 1;
		ramp->tokens_at = now;
	}
}

void overload_ramp_ended(struct overload_ramp *ramp, int64_t started_at)
{
	if (started_at >= ramp->lost_at)
		ramp->trying = false;
}

void overload_ramp_paused(struct overload_ramp *ramp, int64_t paused_us)
{
	if (ramp->warming_since >= 0)
		ramp->warming_since += paused_us;
	if (ramp->cold_until)
		ramp->cold_until += paused_us;
}

bool overload_ramp_cold(const struct overload_ramp *ramp, int64_t now)
{
	if (ramp->cold_rate_per_s > 0)
		return ramp->lost || now < ramp->cold_until;
	return ramp->warming_since < 0 ||
	       now - ramp->warming_since < ramp->cold_us;
}

uint32_t overload_ramp_bound(const struct overload_ramp *ramp, int64_t now)
{
	uint32_t rest = ramp->slots - ramp->cold_slots;
	int64_t warming;

	if (ramp->cold_rate_per_s > 0)
		return ramp->slots;
	if (ramp->warming_since < 0)
		return ramp->cold_slots;
	if (!overload_ramp_cold(ramp, now))
		return ramp->slots;
	warming = now - ramp->warming_since;
	return ramp->cold_slots + (uint32_t)((double)rest * (double)warming /
					     (double)ramp->cold_us);
}

static void learn(struct overload_ramp *ramp, double latency, int64_t now)
{
	if (!ramp->samples++) {
		ramp->usual_us = latency;
		ramp->recent_us = latency;
	}
	ramp->recent_us += RECENT_GAIN * (latency - ramp->recent_us);
	if (ramp->recent_us < HOLD_RISE * ramp->usual_us) {
		ramp->usual_us += USUAL_GAIN * (latency - ramp->usual_us);
		ramp->rising_since = -1;
	} else if (ramp->rising_since < 0) {
		ramp->rising_since = now;
	} else if (now - ramp->rising_since > SUDDEN_US) {
		/* A lasting rise is the new usual, not a cold server. */
		ramp->usual_us = ramp->recent_us;
	}
}

bool overload_ramp_answered(struct overload_ramp *ramp,
			    const struct overload_sample *sample, int64_t now)
{
	if (ramp->cold_rate_per_s > 0 ||
	    sample->started_at <= ramp->restarted_at)
		return false;
	if (ramp->warming_since < 0 && !sample->failed) {
		ramp->warming_since = now;
		ramp->lost = false;
	}
	if (overload_ramp_cold(ramp, now) || !sample->timed || sample->failed)
		return false;
	learn(ramp, (double)sample->latency_us, now);
	if (ramp->samples < MIN_SAMPLES ||
	    ramp->recent_us <= COLD_RISE * ramp->usual_us)
		return false;
	restart(ramp, now);
	return true;
}
