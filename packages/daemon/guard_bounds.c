/* Limits of the local backend server, and the guard's load report. */
#include "guard_work.h"

#include <stdio.h>

/*
 * Fraction of the slots listed for a VM that the guard uses. Some backend
 * servers slow down when more of them are in use.
 */
#define USABLE_SLOT_FRACTION 0.94

static uint32_t at_least_1(int64_t value)
{
	return value > 1 ? (uint32_t)value : 1;
}

struct overload_guard_config guard_overload_config(struct node *node)
{
	const struct config_vm *vm = node->self;
	const struct config_service *s = vm->service;
	struct overload_guard_config config = {
		.slots = at_least_1(s->slots),
		.connections = at_least_1(s->connections),
		.cold_slots = at_least_1(s->cold_slots),
		.cold_us = s->cold_us,
		.cold_rate_per_s = s->cold_rate_per_s,
		.seed = node->incarnation,
	};

	if (vm->slots)
		config.slots = at_least_1(
			(int64_t)(USABLE_SLOT_FRACTION * (double)vm->slots));
	return config;
}

struct overload_guard *
guard_create_overload(struct guard *g,
		      const struct overload_guard_config *config, int64_t now)
{
	/*
	 * The latency of a server with an instance id includes its onward
	 * calls, which are not reported to the guard by request, so the
	 * gradient limiter cannot derive a limit from it.
	 */
	struct overload_limiter *limiter = NULL;

	if (g->node->self->instance.len)
		limiter = guard_create_capacity(g, config, now);
	if (g->node->self->instance.len && !limiter)
		limiter = overload_limiter_fixed_create(config->slots);
	return overload_guard_create(config, limiter, now);
}

struct routing_load_report guard_load_report(const struct guard *guard,
					     int64_t now)
{
	struct routing_load_report report = { 0 };
	const struct overload_guard *o = guard->overload;

	report.draining = guard->closed || guard->notices.leaving ||
			  guard_backend_is_foreign(guard);
	report.stopping = guard->node->draining && !guard->closed;
	if (!o)
		return report;
	report.load = overload_guard_in_flight(o) + overload_guard_queued(o);
	report.limit = overload_guard_limit(o, now);
	report.cold_full =
		overload_guard_is_cold(o, now) && report.load >= report.limit;
	guard_capacity_report(guard, now, &report);
	return report;
}

int32_t guard_cutoff(const struct guard *guard)
{
	return guard->overload ? overload_guard_cutoff(guard->overload)
			       : OVERLOAD_CUTOFF_NONE;
}

size_t guard_open_work_count(const struct guard *guard)
{
	return HASH_COUNT(guard->work_items);
}

void guard_close(struct guard *guard)
{
	guard->closed = true;
	if (guard->overload)
		overload_guard_drain(guard->overload);
}

static void set_counter(const struct guard *g, const char *name, int64_t value)
{
	/* A counter appears with its first event. */
	if (value)
		base_counter_set(base_counters_get(g->node->counters, name),
				 value);
}

void guard_update_counters(const struct guard *g)
{
	const struct http_client_statistics *s =
		http_client_statistics(g->backend);
	char name[96];
	int i;

	for (i = 0; i < HTTP_OPEN_CAUSES; i++) {
		snprintf(name, sizeof(name),
			 "backend_connections_opened{cause=\"%s\"}",
			 http_open_cause_name((enum http_open_cause)i));
		set_counter(g, name, s->opened[i]);
	}
	for (i = 0; i < HTTP_CLOSE_CAUSES; i++) {
		snprintf(name, sizeof(name),
			 "backend_connections_closed{cause=\"%s\"}",
			 http_close_cause_name((enum http_close_cause)i));
		set_counter(g, name, s->closed[i]);
	}
	set_counter(g, "backend_connects_refused", s->opens_refused);
	set_counter(g, "backend_answers_late", s->late_responses);
}
