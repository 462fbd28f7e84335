/* Latencies and counters as text. */
#include "metrics.h"

#include <inttypes.h>

struct metrics {
	struct base_counters *counters;
	struct base_log *log;
	struct base_histogram *stages[METRICS_STAGES];
};

static const char *const stage_names[METRICS_STAGES] = {
	[METRICS_ENTRY] = "entry",
	[METRICS_QUEUE] = "queue",
	[METRICS_SERVER] = "server",
};

struct metrics *metrics_create(struct base_counters *counters,
			       struct base_log *log)
{
	struct metrics *m = base_alloc(sizeof(*m));
	size_t i;

	m->counters = counters;
	m->log = log;
	for (i = 0; i < METRICS_STAGES; i++)
		m->stages[i] = base_histogram_create();
	return m;
}

void metrics_destroy(struct metrics *m)
{
	size_t i;

	if (!m)
		return;
	for (i = 0; i < METRICS_STAGES; i++)
		base_histogram_destroy(m->stages[i]);
	free(m);
}

void metrics_record(struct metrics *m, enum metrics_stage stage, int64_t us)
{
	base_histogram_record(m->stages[stage], us);
}

static void render_stage(const struct base_histogram *hist, const char *name,
			 struct base_buf *out)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99, 1.0 };
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(quantiles); i++)
		base_buf_addf(out,
			      "latency_us{stage=\"%s\",quantile=\"%g\"} "
			      "%" PRId64 "\n",
			      name, quantiles[i],
			      base_histogram_quantile(hist, quantiles[i]));
	base_buf_addf(out, "latency_us_count{stage=\"%s\"} %" PRId64 "\n", name,
		      base_histogram_count(hist));
}

void metrics_render(const struct metrics *m, struct base_buf *out)
{
	size_t i;

	base_counters_render(m->counters, out);
	for (i = 0; i < METRICS_STAGES; i++)
		render_stage(m->stages[i], stage_names[i], out);
	base_buf_addf(out, "log_lines_dropped_total %" PRId64 "\n",
		      base_log_dropped(m->log));
}
