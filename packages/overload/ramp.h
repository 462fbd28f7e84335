/*
 * Cold start ramp: limits the load of a backend server that has just started.
 * The ramp either raises the concurrency limit from cold_slots to slots during
 * cold_us, or, with a cold_rate_per_s, limits the rate of starts for as long as
 * the server reports that it is cold.
 */
#ifndef OVERLOAD_RAMP_H
#define OVERLOAD_RAMP_H

#include "bucket.h"
#include "overload.h"

struct overload_ramp {
	uint32_t slots;
	uint32_t cold_slots;
	int64_t cold_us;
	/*
	 * With a rate, the server reports until when it is cold, and a token
	 * bucket limits the starts.
	 */
	struct overload_bucket cold_starts;
	int64_t cold_until;
	/*
	 * Until then, starts are limited as if the server were cold: it was
	 * idle and may have turned cold untold.
	 */
	int64_t unconfirmed_until;
	/* Work on the server, and when the last one ended. */
	uint32_t in_flight;
	int64_t idle_since;
	/* Answers to work started earlier are no evidence of the state. */
	int64_t restarted_at;
	/* When the warm-up began; -1 until the server has answered. */
	int64_t warming_since;
	/*
	 * The server was lost and has not answered since, or its state is
	 * unknown. Without a rate, a lost server is tried with one request at a
	 * time, the first at next_trial_at.
	 */
	bool unavailable;
	bool trial_in_flight;
	int64_t lost_at;
	int64_t next_trial_at;
	/* Latency: long-term average, and average of the recent samples. */
	double baseline_us;
	double recent_us;
	uint32_t samples;
	/* Start of the current rise of the latency; -1 if there is none. */
	int64_t rising_since;
};

void overload_ramp_init(struct overload_ramp *ramp,
			const struct overload_guard_config *config,
			int64_t now);
void overload_ramp_configure(struct overload_ramp *ramp,
			     const struct overload_guard_config *config);
/** Reports that the server has exited or refuses connections. */
void overload_ramp_server_lost(struct overload_ramp *ramp, int64_t now);
/** Returns whether work may be started, apart from the concurrency limit. */
bool overload_ramp_may_start(const struct overload_ramp *ramp, int64_t now);
/**
 * Suspends starts until overload_ramp_server_ready(), as the state of the
 * server is unknown. For a ramp with a rate.
 */
void overload_ramp_hold(struct overload_ramp *ramp);
/** Reports that the server runs and remains cold for @p cold_us. */
void overload_ramp_server_ready(struct overload_ramp *ramp, int64_t cold_us,
				int64_t now);
/** Reports that work was started, as overload_ramp_may_start() permitted. */
void overload_ramp_work_started(struct overload_ramp *ramp, int64_t now);
/** Reports that work started at @p started_at has ended with any outcome. */
void overload_ramp_work_ended(struct overload_ramp *ramp, int64_t started_at,
			      int64_t now);
/**
 * Returns whether a health check would permit starts: the server was idle, and
 * has got what it bears in case it turned cold meanwhile. The check is reported
 * with overload_ramp_server_ready(); without one the starts are limited for a
 * second.
 */
bool overload_ramp_needs_check(const struct overload_ramp *ramp, int64_t now);
/**
 * Reports that the server has answered work.
 * @return true when the latency shows that the server has turned cold; the ramp
 *         has then been restarted
 */
bool overload_ramp_work_answered(struct overload_ramp *ramp,
				 const struct overload_sample *sample,
				 int64_t now);
/** Excludes a pause of the process from the warm-up time. */
void overload_ramp_exclude_pause(struct overload_ramp *ramp, int64_t paused_us);
/** Returns the concurrency limit of the ramp at @p now. */
uint32_t overload_ramp_limit(const struct overload_ramp *ramp, int64_t now);
bool overload_ramp_is_cold(const struct overload_ramp *ramp, int64_t now);

#endif
