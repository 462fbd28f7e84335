/* What a run measures. */
#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

#include "model.h"

#define MEASURE_WINDOW_US (100 * BASE_MS_US)
#define MEASURE_WINDOWS 600

struct measure {
	/* Whole requests by the time of their arrival. */
	uint32_t arrived[MEASURE_WINDOWS];
	uint32_t succeeded[MEASURE_WINDOWS];
	/* Whole requests by the time of their end. */
	uint32_t completed[MEASURE_WINDOWS];
	uint64_t account_arrived[MODEL_ACCOUNTS];
	uint64_t account_succeeded[MODEL_ACCOUNTS];
	uint64_t non_idempotent_arrived;
	uint64_t non_idempotent_succeeded;
	/* Shed while idempotent work ran, or ran or waited, at the service. */
	uint64_t shed_while_ran;
	uint64_t shed_while_held;
	/* Out of time while idempotent work ran at the service. */
	uint64_t expired_while_ran;
	/* Starts on a cold server that already had all it bears. */
	uint64_t work_beyond_cold;
	uint64_t collapses;
};

struct measure_label {
	const char *scenario;
	const char *deployment;
	const char *policy;
};

void measure_print(const struct measure_label *label, const char *name,
		   double value, const char *unit);
/** Completed per second between two times. */
double measure_goodput(const struct measure *m, int64_t from, int64_t to);
/** Share of the requests arrived between two times that succeeded. */
double measure_success(const struct measure *m, int64_t from, int64_t to);
/**
 * Time from @p from to the end of the last window before @p to of whose
 * requests fewer than 99% succeeded.
 */
int64_t measure_recovery_us(const struct measure *m, int64_t from, int64_t to);
/** Smallest served share of an account other than @p except (-1: none). */
double measure_worst_account(const struct measure *m, int except);

#endif
