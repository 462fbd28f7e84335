/* Computes and prints the figures of a simulation run. */
#include "measure.h"

#include <stdio.h>

void measure_print(const struct measure_label *label, const char *name,
		   double value, const char *unit)
{
	printf("scenario=%s deployment=%s policy=%s measure=%s value=%.4g "
	       "unit=%s\n",
	       label->scenario, label->deployment, label->policy, name, value,
	       unit);
}

static double sum(const uint32_t *windows, int64_t from, int64_t to)
{
	double total = 0;
	int64_t i;

	for (i = from / MEASURE_WINDOW_US; i < to / MEASURE_WINDOW_US; i++)
		total += windows[i];
	return total;
}

double measure_goodput(const struct measure *m, int64_t from, int64_t to)
{
	return sum(m->completed, from, to) * BASE_SECOND_US /
	       (double)(to - from);
}

double measure_success(const struct measure *m, int64_t from, int64_t to)
{
	double arrived = sum(m->arrived, from, to);

	return arrived > 0 ? sum(m->succeeded, from, to) / arrived : 1;
}

int64_t measure_recovery_us(const struct measure *m, int64_t from, int64_t to)
{
	int64_t i;

	for (i = to / MEASURE_WINDOW_US; i-- > from / MEASURE_WINDOW_US;)
		if (m->succeeded[i] < 0.99 * m->arrived[i])
			return (i + 1) * MEASURE_WINDOW_US - from;
	return 0;
}

double measure_worst_account(const struct measure *m, int except)
{
	double worst = 1;
	double served;
	int i;

	for (i = 0; i < MODEL_ACCOUNTS; i++) {
		if (i == except || !m->account_arrived[i])
			continue;
		served = (double)m->account_succeeded[i] /
			 (double)m->account_arrived[i];
		worst = served < worst ? served : worst;
	}
	return worst;
}
