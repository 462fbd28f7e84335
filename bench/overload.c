/* Simulates one scenario of one deployment under one policy. */
#include "cluster.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_SEED 1
/* Offered load, as a multiple of the saturation rate. */
#define NORMAL_LOAD 0.7
#define SURGE_LOAD 3.0
#define SLOWDOWN 3.0
#define FLOOD_FACTOR 5.0
#define RESTART_US (500 * BASE_MS_US)
/* Guards start cold; measurement begins after their cold-start ramp. */
#define WARM_UP_US (8 * BASE_SECOND_US)
#define TRIGGER_US (10 * BASE_SECOND_US)
#define TRIGGER_END_US (20 * BASE_SECOND_US)
#define END_US (40 * BASE_SECOND_US)
/* Requests that arrive later may still be in progress at END_US. */
#define LAST_ARRIVAL_US (30 * BASE_SECOND_US)

static const struct policy policies[] = {
	{ .name = "ours",
	  .guard = true,
	  .throttle = true,
	  .balance_by_load = true,
	  .propagate_deadlines = true,
	  .retries = 1,
	  .retry_budget = true },
	{ .name = "no_control", .retries = 3 },
	{ .name = "fixed_limits",
	  .guard = true,
	  .fixed_limit = true,
	  .propagate_deadlines = true,
	  .retries = 1 },
};

static void create_cluster(struct cluster *cluster, const struct model *model,
			   const struct policy *policy, uint64_t seed)
{
	uint8_t s;
	uint32_t i;

	sim_init(&cluster->sim, seed);
	cluster->model = model;
	cluster->policy = policy;
	cluster->slowdown = 1;
	cluster->rate = NORMAL_LOAD * model_saturation_rate(model);
	for (i = 0; i < MODEL_ACCOUNTS; i++)
		cluster->account_factor[i] = 1;
	for (s = 0; s < MODEL_SERVICES; s++) {
		cluster->first[s] = cluster->server_count;
		for (i = 0; i < model->services[s].servers; i++) {
			server_init(&cluster->servers[cluster->server_count],
				    cluster, s, cluster->server_count);
			cluster->server_count++;
		}
	}
	caller_start(cluster);
}

/* Does not free requests in progress; the process exits after this. */
static void destroy_cluster(struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->server_count; i++)
		server_release(&cluster->servers[i]);
	sim_release(&cluster->sim);
	free(cluster);
}

static void warm_up(struct cluster *cluster)
{
	sim_run(&cluster->sim, WARM_UP_US);
	memset(&cluster->measure, 0, sizeof(cluster->measure));
	sim_run(&cluster->sim, TRIGGER_US);
}

static void print_common(const struct cluster *cluster,
			 const struct measure_label *label)
{
	const struct measure *m = &cluster->measure;

	measure_print(label, "recovery_time",
		      (double)measure_recovery_us(m, TRIGGER_END_US,
						  LAST_ARRIVAL_US) /
			      BASE_SECOND_US,
		      "s");
	measure_print(label, "non_idempotent_shed_while_idempotent_ran",
		      (double)m->shed_while_ran, "requests");
	measure_print(label, "non_idempotent_shed_while_idempotent_held",
		      (double)m->shed_while_held, "requests");
	measure_print(label, "non_idempotent_expired_while_idempotent_ran",
		      (double)m->expired_while_ran, "requests");
	measure_print(label, "non_idempotent_served",
		      (double)m->non_idempotent_succeeded /
			      (double)m->non_idempotent_arrived,
		      "share");
	measure_print(label, "work_beyond_cold", (double)m->work_beyond_cold,
		      "requests");
	measure_print(label, "collapses", (double)m->collapses, "servers");
}

static void run_surge(struct cluster *cluster,
		      const struct measure_label *label)
{
	double full = model_saturation_rate(cluster->model);
	double demand[MODEL_ROUTES], served[MODEL_ROUTES];
	double possible = 0;
	double goodput;
	int r;

	warm_up(cluster);
	cluster->rate = SURGE_LOAD * full;
	cluster->slowdown = SLOWDOWN;
	sim_run(&cluster->sim, TRIGGER_END_US);
	cluster->rate = NORMAL_LOAD * full;
	cluster->slowdown = 1;
	sim_run(&cluster->sim, END_US);
	for (r = 0; r < MODEL_ROUTES; r++)
		demand[r] = SURGE_LOAD * full * cluster->model->routes[r].share;
	model_capacity(cluster->model, SLOWDOWN, demand, served);
	for (r = 0; r < MODEL_ROUTES; r++)
		possible += served[r];
	goodput =
		measure_goodput(&cluster->measure, TRIGGER_US, TRIGGER_END_US);
	measure_print(label, "possible", possible, "requests/s");
	measure_print(label, "goodput", goodput, "requests/s");
	measure_print(label, "goodput_share", goodput / possible, "share");
}

/* One account exceeds its usual load; the sum of the others fits. */
static void run_flood(struct cluster *cluster,
		      const struct measure_label *label, int account)
{
	warm_up(cluster);
	cluster->account_factor[account] = FLOOD_FACTOR;
	sim_run(&cluster->sim, TRIGGER_END_US);
	cluster->account_factor[account] = 1;
	sim_run(&cluster->sim, END_US);
	measure_print(label, "worst_account",
		      measure_worst_account(&cluster->measure, account),
		      "share");
	measure_print(
		label, "goodput",
		measure_goodput(&cluster->measure, TRIGGER_US, TRIGGER_END_US),
		"requests/s");
}

static void run_cold(struct cluster *cluster, const struct measure_label *label,
		     bool restart)
{
	uint8_t slow_service = cluster->model->slow_service;
	uint32_t i;

	warm_up(cluster);
	for (i = 0; i < cluster->server_count; i++) {
		if (cluster->servers[i].service != slow_service)
			continue;
		if (restart)
			server_crash(&cluster->servers[i], RESTART_US);
		else
			server_set_cold(&cluster->servers[i]);
	}
	sim_run(&cluster->sim, END_US);
	measure_print(
		label, "served",
		measure_success(&cluster->measure, TRIGGER_US, TRIGGER_END_US),
		"share");
	measure_print(label, "recovery_time_after_start",
		      (double)measure_recovery_us(&cluster->measure, TRIGGER_US,
						  LAST_ARRIVAL_US) /
			      BASE_SECOND_US,
		      "s");
}

static int usage(void)
{
	fputs("usage: bench_overload surge|flood|flood_large|cold_restart|cold_silent "
	      "lakeshore|zawadzki ours|no_control|fixed_limits [SEED]\n",
	      stderr);
	return 2;
}

int main(int argc, char **argv)
{
	const struct model *model = &model_lakeshore;
	const struct policy *policy = NULL;
	struct measure_label label;
	int64_t seed = DEFAULT_SEED;
	struct cluster *cluster;
	size_t i;

	if (argc < 4 || argc > 5)
		return usage();
	if (argc == 5 && !base_str_to_i64(base_str_from(argv[4]), &seed))
		return usage();
	label = (struct measure_label){ argv[1], argv[2], argv[3] };
	if (!strcmp(argv[2], "zawadzki"))
		model = &model_zawadzki;
	for (i = 0; i < BASE_ARRAY_SIZE(policies); i++)
		if (!strcmp(argv[3], policies[i].name))
			policy = &policies[i];
	if (!policy)
		return usage();
	cluster = base_alloc(sizeof(*cluster));
	create_cluster(cluster, model, policy, (uint64_t)seed);
	if (!strcmp(argv[1], "surge"))
		run_surge(cluster, &label);
	else if (!strcmp(argv[1], "flood"))
		run_flood(cluster, &label, 2);
	else if (!strcmp(argv[1], "flood_large"))
		run_flood(cluster, &label, 1);
	else if (!strncmp(argv[1], "cold_", 5))
		run_cold(cluster, &label, !strcmp(argv[1], "cold_restart"));
	print_common(cluster, &label);
	destroy_cluster(cluster);
	return 0;
}
