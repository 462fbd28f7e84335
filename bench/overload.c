/* Runs one scenario of one deployment under one policy. */
#include "world.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_SEED 1
/* Share of the full rate that callers ask for in normal times. */
#define NORMAL_LOAD 0.7
#define SURGE_LOAD 3.0
#define SLOWDOWN 3.0
#define FLOOD_FACTOR 5.0
#define RESTART_US (500 * BASE_MS_US)
/* Guards start cold; measurements begin when they are warm. */
#define WARM_UP_US (8 * BASE_SECOND_US)
#define TRIGGER_US (10 * BASE_SECOND_US)
#define TRIGGER_END_US (20 * BASE_SECOND_US)
#define END_US (40 * BASE_SECOND_US)
/* Requests that arrive later cannot have ended at END_US. */
#define LAST_US (30 * BASE_SECOND_US)

static const struct policy policies[] = {
	{ .name = "ours",
	  .guard = true,
	  .throttle = true,
	  .by_load = true,
	  .deadlines = true,
	  .retries = 1,
	  .retry_budget = true },
	{ .name = "no_control", .retries = 3 },
	{ .name = "fixed_limits",
	  .guard = true,
	  .fixed = true,
	  .deadlines = true,
	  .retries = 1 },
};

static void create_world(struct world *world, const struct model *model,
			 const struct policy *policy, uint64_t seed)
{
	uint8_t s;
	uint32_t i;

	sim_init(&world->sim, seed);
	world->model = model;
	world->policy = policy;
	world->slowdown = 1;
	world->rate = NORMAL_LOAD * model_full_rate(model);
	for (i = 0; i < MODEL_ACCOUNTS; i++)
		world->account_factor[i] = 1;
	for (s = 0; s < MODEL_SERVICES; s++) {
		world->first[s] = world->server_count;
		for (i = 0; i < model->services[s].servers; i++) {
			server_init(&world->servers[world->server_count], world,
				    s, world->server_count);
			world->server_count++;
		}
	}
	caller_start(world);
}

/* Requests still under way are left to the end of the process. */
static void destroy_world(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->server_count; i++)
		server_release(&world->servers[i]);
	sim_release(&world->sim);
	free(world);
}

static void warm_up(struct world *world)
{
	sim_run(&world->sim, WARM_UP_US);
	memset(&world->measure, 0, sizeof(world->measure));
	sim_run(&world->sim, TRIGGER_US);
}

static void print_common(const struct world *world,
			 const struct measure_label *label)
{
	const struct measure *m = &world->measure;

	measure_print(label, "recovery_time",
		      (double)measure_recovery_us(m, TRIGGER_END_US, LAST_US) /
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
	measure_print(label, "work_beyond_cold", (double)m->beyond_cold,
		      "requests");
	measure_print(label, "collapses", (double)m->collapses, "servers");
}

static void run_surge(struct world *world, const struct measure_label *label)
{
	double full = model_full_rate(world->model);
	double demand[MODEL_ROUTES], served[MODEL_ROUTES];
	double possible = 0;
	double goodput;
	int r;

	warm_up(world);
	world->rate = SURGE_LOAD * full;
	world->slowdown = SLOWDOWN;
	sim_run(&world->sim, TRIGGER_END_US);
	world->rate = NORMAL_LOAD * full;
	world->slowdown = 1;
	sim_run(&world->sim, END_US);
	for (r = 0; r < MODEL_ROUTES; r++)
		demand[r] = SURGE_LOAD * full * world->model->routes[r].share;
	model_capacity(world->model, SLOWDOWN, demand, served);
	for (r = 0; r < MODEL_ROUTES; r++)
		possible += served[r];
	goodput = measure_goodput(&world->measure, TRIGGER_US, TRIGGER_END_US);
	measure_print(label, "possible", possible, "requests/s");
	measure_print(label, "goodput", goodput, "requests/s");
	measure_print(label, "goodput_share", goodput / possible, "share");
}

/* All other accounts stay within what the services can do. */
static void run_flood(struct world *world, const struct measure_label *label,
		      int account)
{
	warm_up(world);
	world->account_factor[account] = FLOOD_FACTOR;
	sim_run(&world->sim, TRIGGER_END_US);
	world->account_factor[account] = 1;
	sim_run(&world->sim, END_US);
	measure_print(label, "worst_account",
		      measure_worst_account(&world->measure, account), "share");
	measure_print(
		label, "goodput",
		measure_goodput(&world->measure, TRIGGER_US, TRIGGER_END_US),
		"requests/s");
}

static void run_cold(struct world *world, const struct measure_label *label,
		     bool restart)
{
	uint8_t deep = world->model->deep;
	uint32_t i;

	warm_up(world);
	for (i = 0; i < world->server_count; i++) {
		if (world->servers[i].service != deep)
			continue;
		if (restart)
			server_crash(&world->servers[i], RESTART_US);
		else
			server_chill(&world->servers[i]);
	}
	sim_run(&world->sim, END_US);
	measure_print(
		label, "served",
		measure_success(&world->measure, TRIGGER_US, TRIGGER_END_US),
		"share");
	measure_print(label, "recovery_time_after_start",
		      (double)measure_recovery_us(&world->measure, TRIGGER_US,
						  LAST_US) /
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
	struct world *world;
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
	world = base_alloc(sizeof(*world));
	create_world(world, model, policy, (uint64_t)seed);
	if (!strcmp(argv[1], "surge"))
		run_surge(world, &label);
	else if (!strcmp(argv[1], "flood"))
		run_flood(world, &label, 2);
	else if (!strcmp(argv[1], "flood_large"))
		run_flood(world, &label, 1);
	else if (!strncmp(argv[1], "cold_", 5))
		run_cold(world, &label, !strcmp(argv[1], "cold_restart"));
	print_common(world, &label);
	destroy_world(world);
	return 0;
}
