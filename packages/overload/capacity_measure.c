/* Measurements of the learned capacity: own time, slowness, successes. */
#include "capacity.h"

#include <math.h>

#define PRESENT_GAIN 0.3
#define BASE_GAIN_UP 0.1
#define BASE_GAIN_DOWN 0.2
/* Samples for the full gain; a few requests of mixed length prove little. */
#define BASE_SAMPLES 100.0
/*
 * Where load is not low, the time at low load can only be shorter than what is
 * measured, and is corrected when it appears to be by more than noise.
 */
#define BASE_CORRECT_RATIO 0.85
#define BASE_CORRECT_GAIN 0.5
/* Mean concurrency, as a fraction of the slots, that counts as low load. */
#define LOW_LOAD_FRACTION 0.5
/* Samples after which half of the success share is replaced. */
#define SUCCESS_SAMPLES 20.0
/* Time constant with which failures are forgotten while nothing runs. */
#define SUCCESS_FORGET_US (2 * BASE_SECOND_US)
/* Figures older than this are reported as unknown. */
#define VIEW_MAX_AGE_US (10 * BASE_SECOND_US)

/* Shortest period in which starts and ends are compared. */
#define EXPOSURE_US (100 * BASE_MS_US)
/* A server is slow if fewer than this part of the expected ends occur. */
#define EXPOSURE_SLOW_RATIO 0.5
/* With fewer expected ends, the absence of some proves nothing. */
#define EXPOSURE_ENDS_MIN 4

static double onward_integral(const struct overload_capacity *c, int64_t now)
{
	return c->onward_us + (double)c->onward * (double)(now - c->onward_at);
}

void capacity_start_window(struct overload_capacity *c, struct window *w,
			   int64_t now)
{
	*w = (struct window){ .started_at = now,
			      .onward_us = onward_integral(c, now) };
}

uint32_t capacity_ended(const struct window *w)
{
	return w->served + w->failed + w->rejected;
}

/*
 * Mean time that the server itself spends on a request. By Little's law, the
 * mean number of onward calls in flight divided by the throughput is the time
 * that a request waits for them. Parallel onward calls of one request make the
 * estimate too low, so a twentieth of the latency is always kept.
 */
double capacity_own_time_us(const struct overload_capacity *c,
			    const struct window *w, int64_t now)
{
	double latency_us, onward_us;

	if (!w->timed)
		return 0;
	latency_us = w->latency_sum_us / w->timed;
	onward_us = (onward_integral(c, now) - w->onward_us) / w->timed;
	return fmax(latency_us - onward_us, fmax(latency_us / 20, 1));
}

/*
 * A failure counts with its latency only if it took longer than requests do,
 * as with a time-out; a server that fails fast must not look fast.
 */
void capacity_add_sample(struct overload_capacity *c, struct window *w,
			 const struct overload_sample *sample)
{
	bool timed = sample->latency_valid &&
		     (!sample->failed ||
		      (!sample->rejected &&
		       (double)sample->latency_us > c->latency_us));

	if (sample->rejected)
		w->rejected++;
	else if (sample->failed)
		w->failed++;
	else
		w->served++;
	w->at_limit += sample->limit_reached;
	w->in_flight_sum += sample->in_flight;
	if (!timed)
		return;
	w->timed++;
	w->latency_sum_us += (double)sample->latency_us;
}

static void learn_base(struct overload_capacity *c, const struct window *w,
		       double own_us)
{
	bool low = w->in_flight_sum <=
		   LOW_LOAD_FRACTION * c->config.slots * capacity_ended(w);
	double gain = own_us < c->base_us ? BASE_GAIN_DOWN : BASE_GAIN_UP;

	if (c->base_us <= 0 || (low && !c->base_measured))
		c->base_us = own_us;
	if (low) {
		/* The mean of the first samples; the very first are short. */
		c->base_samples += w->timed;
		gain = fmax(gain * fmin(1, w->timed / BASE_SAMPLES),
			    w->timed / c->base_samples);
		c->base_us += gain * (own_us - c->base_us);
	}
	c->base_measured = c->base_measured || low;
}

static void learn_success(struct overload_capacity *c, const struct window *w)
{
	double gain = fmin(0.5, capacity_ended(w) / SUCCESS_SAMPLES);

	c->success_share += gain * ((double)w->served / capacity_ended(w) -
				    c->success_share);
}

double capacity_learn(struct overload_capacity *c, int64_t now)
{
	struct window *w = &c->step;
	double own_us = capacity_own_time_us(c, w, now);

	learn_success(c, w);
	if (own_us <= 0)
		return 0;
	learn_base(c, w, own_us);
	if (c->present_us <= 0)
		c->present_us = own_us;
	c->present_us += PRESENT_GAIN * (own_us - c->present_us);
	c->latency_us = w->latency_sum_us / w->timed;
	return own_us;
}

void capacity_correct_base(struct overload_capacity *c, double own_us)
{
	if (own_us > 0 && own_us < BASE_CORRECT_RATIO * c->base_us)
		c->base_us += BASE_CORRECT_GAIN * (own_us - c->base_us);
}

static double in_flight_integral(const struct overload_capacity *c, int64_t now)
{
	return c->in_flight_us +
	       (double)c->in_flight * (double)(now - c->in_flight_at);
}

static void start_exposure(struct overload_capacity *c, int64_t now)
{
	c->exposures[0] = c->exposures[1];
	c->exposures[1] = (struct exposure){
		.started_at = now,
		.in_flight_us = in_flight_integral(c, now),
		.onward_us = onward_integral(c, now),
	};
}

void capacity_in_flight(struct overload_limiter *limiter, uint32_t in_flight,
			int64_t now)
{
	struct overload_capacity *c = (struct overload_capacity *)limiter;
	int64_t period = (int64_t)c->latency_us;

	c->in_flight_us = in_flight_integral(c, now);
	c->in_flight_at = now;
	if (in_flight < c->in_flight)
		c->exposures[1].ended += c->in_flight - in_flight;
	c->in_flight = in_flight;
	if (period < EXPOSURE_US)
		period = EXPOSURE_US;
	if (now - c->exposures[1].started_at >= period)
		start_exposure(c, now);
}

/*
 * Estimate of the time per request from requests that have not ended yet, so
 * that a server that becomes slow or hangs is noticed before they end. What ran
 * in the last period should have ended by now. Returns 0 when enough has.
 */
static double exposed_time_us(const struct overload_capacity *c, int64_t now)
{
	const struct exposure *last = &c->exposures[0];
	const struct exposure *present = &c->exposures[1];
	uint32_t ends = last->ended + present->ended;
	double own_us = present->in_flight_us - last->in_flight_us -
			(present->onward_us - last->onward_us);
	double expected = c->present_us > 0 ? own_us / c->present_us : 0;

	if (!c->in_flight ||
	    now - present->started_at < (int64_t)c->latency_us ||
	    expected < EXPOSURE_ENDS_MIN ||
	    ends + 1 > EXPOSURE_SLOW_RATIO * expected)
		return 0;
	return own_us / (ends + 1);
}

void capacity_restart(struct overload_capacity *c, int64_t now)
{
	capacity_start_window(c, &c->step, now);
	capacity_start_window(c, &c->judge, now);
	start_exposure(c, now);
	start_exposure(c, now);
}

void capacity_forget(struct overload_capacity *c, int64_t now)
{
	c->base_us = 0;
	c->present_us = 0;
	c->latency_us = 0;
	c->base_measured = false;
	c->base_samples = 0;
	c->success_share = 1;
	capacity_restart(c, now);
}

void overload_capacity_set_onward(struct overload_capacity *capacity,
				  uint32_t in_flight, int64_t now)
{
	if (now < capacity->onward_at)
		now = capacity->onward_at;
	capacity->onward_us = onward_integral(capacity, now);
	capacity->onward_at = now;
	capacity->onward = in_flight;
}

/* Failures are forgotten while nothing runs, so that work is tried again. */
static uint32_t success_permille(const struct overload_capacity *c, int64_t now)
{
	double idle = (double)(now - c->sampled_at) / SUCCESS_FORGET_US;
	double share = 1 - (1 - c->success_share) * exp(-fmax(idle, 0));

	return share < 0.001 ? 1 : (uint32_t)lround(1000 * share);
}

struct overload_capacity_view
overload_capacity_view(const struct overload_capacity *capacity, int64_t now)
{
	struct overload_capacity_view view = {
		.limit = (uint32_t)capacity->limit,
		.slots = capacity->config.slots,
		.knee = capacity->knee,
		.base_us = (int64_t)capacity->base_us,
		.onward = capacity->onward,
		.last = capacity->last,
		.decisions = capacity->decisions,
		.lowered = capacity->lowered,
		.restored = capacity->restored,
	};
	int64_t exposed_us = (int64_t)exposed_time_us(capacity, now);

	if (capacity->present_us < 1 ||
	    (!exposed_us && now - capacity->sampled_at > VIEW_MAX_AGE_US))
		return view;
	view.service_us = (int64_t)fmax(capacity->present_us, exposed_us);
	view.success_permille = success_permille(capacity, now);
	return view;
}
