/* The learned capacity of the local backend server: reports, counters, log. */
#include "guard_work.h"

#define LOG_INTERVAL_US BASE_SECOND_US

/* A rate bounds a cold server in place of the cold slots, see the ramp. */
static struct overload_capacity_config
capacity_config(const struct overload_guard_config *config)
{
	return (struct overload_capacity_config){
		.slots = config->slots,
		.cold_slots =
			config->cold_rate_per_s > 0 ? 1 : config->cold_slots,
		.cold_rate_per_s = config->cold_rate_per_s,
	};
}

void guard_reconfigure_capacity(struct guard *g,
				const struct overload_guard_config *config)
{
	struct overload_capacity_config capacity = capacity_config(config);

	if (g->capacity)
		overload_capacity_reconfigure(g->capacity, &capacity);
}

struct overload_limiter *
guard_create_capacity(struct guard *g,
		      const struct overload_guard_config *config, int64_t now)
{
	struct overload_capacity_config capacity = capacity_config(config);

	if (!g->node->settings->learned_capacity)
		return NULL;
	g->capacity = overload_capacity_create(&capacity, now);
	overload_capacity_set_onward(g->capacity, g->onward_calls, now);
	return overload_capacity_limiter(g->capacity);
}

void guard_count_onward_call(struct guard *guard, int change, int64_t now)
{
	guard->onward_calls += (uint32_t)change;
	if (guard->capacity)
		overload_capacity_set_onward(guard->capacity,
					     guard->onward_calls, now);
}

bool guard_capacity_view(const struct guard *guard, int64_t now,
			 struct overload_capacity_view *view)
{
	if (!guard->capacity)
		return false;
	*view = overload_capacity_view(guard->capacity, now);
	return true;
}

void guard_capacity_report(const struct guard *g, int64_t now,
			   struct routing_load_report *report)
{
	struct overload_capacity_view view;

	if (!guard_capacity_view(g, now, &view))
		return;
	report->service_us = view.service_us;
	report->success_permille = view.success_permille;
}

static void set_total(const struct guard *g, const char *name, uint64_t value)
{
	base_counter_set(base_counters_get(g->node->counters, name),
			 (int64_t)value);
}

static void log_decision(struct guard *g,
			 const struct overload_capacity_view *view)
{
	struct base_log_line line = base_log_begin(g->node->log, BASE_LOG_INFO,
						   "capacity_decision");

	base_log_cstr(&line, "decision",
		      overload_capacity_decision_str(view->last));
	base_log_int(&line, "decisions",
		     view->decisions - g->capacity_logged.decisions);
	base_log_int(&line, "limit", view->limit);
	base_log_int(&line, "slots", view->slots);
	base_log_int(&line, "knee", view->knee);
	base_log_int(&line, "base_us", view->base_us);
	base_log_int(&line, "service_us", view->service_us);
	base_log_int(&line, "success_permille", view->success_permille);
	base_log_int(&line, "onward", view->onward);
	base_log_int(&line, "load", overload_guard_in_flight(g->overload));
	base_log_int(&line, "queued", overload_guard_queued(g->overload));
	base_log_end(&line);
	set_total(g, "capacity_lowered", view->lowered);
	set_total(g, "capacity_restored", view->restored);
	g->capacity_logged = *view;
}

static void log_figures(struct guard *g, const struct routing_figures *figures)
{
	struct base_log_line line;

	if (figures->absurd_reports != g->figures_logged.absurd_reports) {
		line = base_log_begin(g->node->log, BASE_LOG_WARN,
				      "peer_figures_ignored");
		base_log_int(&line, "reports",
			     (int64_t)(figures->absurd_reports -
				       g->figures_logged.absurd_reports));
		base_log_cstr(&line, "effect",
			      "servers are selected by load only");
		base_log_end(&line);
	}
	set_total(g, "peer_figures_ignored", figures->absurd_reports);
	set_total(g, "completion_picks", figures->completion_picks);
	set_total(g, "completion_probes", figures->probes);
	g->figures_logged = *figures;
}

void guard_capacity_tick(struct guard *g, int64_t now)
{
	struct routing_figures figures;
	struct overload_capacity_view view;

	if (!g->node->settings->learned_capacity ||
	    now - g->capacity_logged_at < LOG_INTERVAL_US)
		return;
	g->capacity_logged_at = now;
	figures = routing_figures(g->node->routing);
	log_figures(g, &figures);
	if (guard_capacity_view(g, now, &view) &&
	    view.decisions != g->capacity_logged.decisions)
		log_decision(g, &view);
}
