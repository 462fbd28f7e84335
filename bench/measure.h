/* Measurements of a simulation run, in time windows and by account. */
#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

#include "model.h"

#define MEASURE_WINDOW_US (100 * BASE_MS_US)
#define MEASURE_WINDOWS 600

struct measure {
	/* Caller requests by the window of their arrival. */
	uint32_t arrived[MEASURE_WINDOWS];
	uint32_t succeeded[MEASURE_WINDOWS];
	/* Caller requests that succeeded, by the window of their end. */
	uint32_t completed[MEASURE_WINDOWS];
	uint64_t account_arrived[MODEL_ACCOUNTS];
	uint64_t account_succeeded[MODEL_ACCOUNTS];
	uint64_t non_idempotent_arrived;
	uint64_t non_idempotent_succeeded;
	/*
	 * Non-idempotent calls shed while idempotent calls ran at the service,
	 * and while idempotent calls ran or waited there.
	 */
	uint64_t shed_while_ran;
	uint64_t shed_while_held;
	/* Non-idempotent calls expired while idempotent ones ran there. */
	uint64_t expired_while_ran;
	/* Calls started on a cold server beyond its capacity at that time. */
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
/** Requests per second that succeeded between two times. */
double measure_goodput(const struct measure *m, int64_t from, int64_t to);
/** Fraction of the requests arrived between two times that succeeded. */
double measure_success(const struct measure *m, int64_t from, int64_t to);
/**
 * Time from @p from to the end of the last window before @p to in which fewer
 * than 99% of the arrived requests succeeded; 0 when there is none.
 */
int64_t measure_recovery_us(const struct measure *m, int64_t from, int64_t to);
/**
 * Smallest fraction of successful requests over the accounts.
 * @param except  account to leave out, or -1
 */
double measure_worst_account(const struct measure *m, int except);

#endif
