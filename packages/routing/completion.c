/* Selection by the expected completion time that servers' reports imply. */
#include "internal.h"

#include <math.h>

/* A reported time above this is taken for a fault of the sender. */
#define SERVICE_MAX_US (600 * BASE_SECOND_US)
/* A server that fails more of its requests is avoided if others do better. */
#define FAILING_PERMILLE 500
#define HEALTHY_PERMILLE 800
/*
 * One request in this many goes to a server drawn without regard to figures, so
 * that those of avoided servers stay current.
 */
#define PROBE_INTERVAL 64

bool routing_figures_valid(const struct routing_load_report *report)
{
	return report->service_us > 0 && report->service_us <= SERVICE_MAX_US &&
	       report->success_permille > 0 && report->success_permille <= 1000;
}

bool routing_figures_absurd(const struct routing_load_report *report)
{
	return (report->service_us || report->success_permille) &&
	       !routing_figures_valid(report);
}

bool routing_figures_known(const struct routing_state *s, int64_t now)
{
	return routing_health_has_fresh_report(s, now) && s->report.limit &&
	       routing_figures_valid(&s->report);
}

/*
 * A request that fails is tried again elsewhere or is lost to its caller, which
 * costs more than its own time; hence the square.
 */
static double success_factor(const struct routing_state *s)
{
	double share = (double)s->report.success_permille / 1000;

	return share * share;
}

/* A limit above the slots is a fault of the sender. */
static double sustained_limit(const struct routing_state *s)
{
	uint32_t limit = routing_limit(s);

	return s->conf.slots && limit > s->conf.slots ? s->conf.slots : limit;
}

double routing_completion_us(const struct routing_state *s, int64_t now)
{
	double load = fmax((double)routing_outstanding(s, now), 0);

	return (load + 1) * (double)s->report.service_us / sustained_limit(s) /
	       success_factor(s);
}

/* Requests a second that the server completes; 0 when unknown. */
static double server_rate(const struct routing_state *s, int64_t now)
{
	if (!routing_figures_known(s, now))
		return 0;
	return sustained_limit(s) * success_factor(s) /
	       (double)s->report.service_us;
}

/* Servers whose rate is unknown count as average ones. */
static double average_rate(struct routing_state *const *servers, size_t n,
			   int64_t now)
{
	double rate, sum = 0;
	size_t i, known = 0;

	for (i = 0; i < n; i++) {
		rate = server_rate(servers[i], now);
		sum += rate;
		known += rate > 0;
	}
	return known ? sum / (double)known : 0;
}

/* Draws a server other than @p other with a probability by its rate. */
static struct routing_state *draw(struct routing_table *table,
				  struct routing_state *const *servers,
				  size_t n, const struct routing_state *other,
				  double average, int64_t now)
{
	struct routing_state *drawn = NULL;
	double rate, sum = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (servers[i] == other)
			continue;
		rate = server_rate(servers[i], now);
		if (rate <= 0)
			rate = average;
		sum += rate;
		if (base_rand_unit(&table->rnd) * sum < rate || !drawn)
			drawn = servers[i];
	}
	return drawn;
}

bool routing_completion_draw(struct routing_table *table,
			     struct routing_state *const *servers, size_t n,
			     int64_t now, struct routing_state *drawn[2])
{
	double average = average_rate(servers, n, now);

	if (average <= 0 || n < 2)
		return false;
	drawn[0] = draw(table, servers, n, NULL, average, now);
	drawn[1] = draw(table, servers, n, drawn[0], average, now);
	table->completion_picks++;
	return true;
}

int64_t routing_best_success(struct routing_state *const *servers, size_t n,
			     int64_t now)
{
	int64_t best = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (routing_figures_known(servers[i], now) &&
		    routing_outstanding(servers[i], now) <
			    routing_limit(servers[i]) &&
		    servers[i]->report.success_permille > best)
			best = servers[i]->report.success_permille;
	return best;
}

bool routing_is_failing(const struct routing_state *s, int64_t best_success,
			int64_t now)
{
	return best_success >= HEALTHY_PERMILLE &&
	       routing_figures_known(s, now) &&
	       s->report.success_permille < FAILING_PERMILLE;
}

bool routing_probe_is_due(struct routing_table *table)
{
	return !base_rand_below(&table->rnd, PROBE_INTERVAL);
}

void routing_use_completion_times(struct routing_table *table, bool use)
{
	table->by_completion = use;
}

struct routing_figures routing_figures(const struct routing_table *table)
{
	return (struct routing_figures){
		.absurd_reports = table->absurd_reports,
		.completion_picks = table->completion_picks,
		.probes = table->probes,
	};
}
