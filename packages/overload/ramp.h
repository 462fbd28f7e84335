/* Cold start of a backend server: what it bears at a time. */
#ifndef OVERLOAD_RAMP_H
#define OVERLOAD_RAMP_H

#include "overload.h"

struct overload_ramp {
	uint32_t slots;
	uint32_t cold_slots;
	int64_t cold_us;
	/* With a rate, the server tells its coldness, and starts are counted.
	 */
	double cold_rate_per_s;
	int64_t cold_until;
	double tokens;
	int64_t tokens_at;
	/* Work started before is no evidence of the state of the server. */
	int64_t restarted_at;
	/* When it began to warm up; -1 until it has answered. */
	int64_t warming_since;
	/*
	 * The server was lost and has not answered yet. One request at a time
	 * finds out, the first at held_until.
	 */
	bool lost;
	bool trying;
	int64_t lost_at;
	int64_t held_until;
	/* Latency: long-term average, and the average of the recent samples. */
	double usual_us;
	double recent_us;
	uint32_t samples;
	int64_t rising_since;
};

void overload_ramp_init(struct overload_ramp *ramp,
			const struct overload_guard_config *config,
			int64_t now);
void overload_ramp_configure(struct overload_ramp *ramp,
			     const struct overload_guard_config *config);
/** The server ended or refuses connections; it is cold when it is back. */
void overload_ramp_lost(struct overload_ramp *ramp, int64_t now);
/** Work may be started, as far as a loss is concerned. */
bool overload_ramp_open(const struct overload_ramp *ramp, int64_t now);
/** The server's state is not known; for a ramp with a rate. */
void overload_ramp_hold(struct overload_ramp *ramp);
/** The server runs, and is cold for this long. */
void overload_ramp_ready(struct overload_ramp *ramp, int64_t cold_us,
			 int64_t now);
/** Work was started; to be asked for with overload_ramp_open(). */
void overload_ramp_started(struct overload_ramp *ramp, int64_t now);
/** Work that started at @p started_at has ended in any way. */
void overload_ramp_ended(struct overload_ramp *ramp, int64_t started_at);
/**
 * Work has been answered.
 * @return true when its latency shows that the server has turned cold; the ramp
 *         has been restarted then
 */
bool overload_ramp_answered(struct overload_ramp *ramp,
			    const struct overload_sample *sample, int64_t now);
/** Takes a pause out of the time that counts as warming up. */
void overload_ramp_paused(struct overload_ramp *ramp, int64_t paused_us);
uint32_t overload_ramp_bound(const struct overload_ramp *ramp, int64_t now);
bool overload_ramp_cold(const struct overload_ramp *ramp, int64_t now);

#endif
