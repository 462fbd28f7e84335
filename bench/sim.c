/* Event queue as a binary heap. */
#include "sim.h"

#include <math.h>
#include <string.h>

void sim_init(struct sim *sim, uint64_t seed)
{
	memset(sim, 0, sizeof(*sim));
	base_rand_seed(&sim->rnd, seed);
}

void sim_release(struct sim *sim)
{
	free(sim->heap);
}

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at < b->at || (a->at == b->at && a->order < b->order);
}

void sim_after(struct sim *sim, int64_t delay_us, sim_fn fn, void *ctx)
{
	struct sim_event event = { sim->now + delay_us, sim->order++, fn, ctx };
	size_t i = sim->count++;
	size_t parent;

	if (i >= sim->cap) {
		sim->cap = sim->cap ? sim->cap * 2 : 1024;
		sim->heap =
			base_realloc(sim->heap, sim->cap * sizeof(*sim->heap));
	}
	while (i > 0) {
		parent = (i - 1) / 2;
		if (!before(&event, &sim->heap[parent]))
			break;
		sim->heap[i] = sim->heap[parent];
		i = parent;
	}
	sim->heap[i] = event;
}

static struct sim_event pop(struct sim *sim)
{
	struct sim_event first = sim->heap[0];
	struct sim_event last = sim->heap[--sim->count];
	size_t i = 0;
	size_t child;

	while ((child = 2 * i + 1) < sim->count) {
		if (child + 1 < sim->count &&
		    before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!before(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return first;
}

void sim_run(struct sim *sim, int64_t until)
{
	struct sim_event event;

	while (sim->count && sim->heap[0].at <= until) {
		event = pop(sim);
		sim->now = event.at;
		event.fn(event.ctx);
	}
	sim->now = until;
}

int64_t sim_exponential(struct sim *sim, double mean_us)
{
	return (int64_t)(-log(1 - base_rand_unit(&sim->rnd)) * mean_us);
}
