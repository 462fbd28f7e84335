/* The modelled deployments and their capacity. */
#include "model.h"

#include <string.h>

#define MS BASE_MS_US

const double model_account_share[MODEL_ACCOUNTS] = { 0.30, 0.20, 0.15, 0.10,
						     0.08, 0.07, 0.05, 0.05 };

const struct model model_lakeshore = {
	.name = "lakeshore",
	.domain_delay_us = 1500,
	.client_delay_us = 3000,
	.services = {
		{ "catalogue", 4, 110, 750, 22, 3000 * MS, 40 * MS },
		{ "reservations", 3, 110, 750, 22, 3000 * MS, 50 * MS },
		{ "deposits", 3, 110, 750, 22, 3000 * MS, 50 * MS },
		{ "returns", 3, 30, 280, 6, 3000 * MS, 20 * MS },
	},
	.routes = {
		{ "browse", { 0 }, 1, 3, true, 1500 * MS, 0.35 },
		{ "availability", { 0, 1 }, 2, 2, true, 1500 * MS, 0.30 },
		{ "account", { 0, 1, 2 }, 3, 2, true, 1500 * MS, 0.12 },
		{ "history", { 0, 1, 2, 3 }, 4, 3, true, 1500 * MS, 0.08 },
		{ "reserve", { 1, 2 }, 2, 0, false, 3000 * MS, 0.10 },
		{ "return", { 3, 2 }, 2, 1, false, 3000 * MS, 0.05 },
	},
	.slow_service = 2,
};

const struct model model_zawadzki = {
	.name = "zawadzki",
	.domain_delay_us = 500,
	.client_delay_us = 8000,
	.services = {
		{ "roster", 7, 100, 670, 20, 3000 * MS, 40 * MS },
		{ "packing", 4, 170, 1100, 34, 3000 * MS, 60 * MS },
		{ "dispatch", 3, 220, 1400, 44, 3000 * MS, 60 * MS },
		{ "ledger", 3, 35, 320, 7, 3000 * MS, 15 * MS },
	},
	.routes = {
		{ "list_roster", { 0 }, 1, 3, true, 1500 * MS, 0.40 },
		{ "list_packs", { 0, 1 }, 2, 2, true, 1500 * MS, 0.22 },
		{ "track", { 0, 1, 2 }, 3, 2, true, 1500 * MS, 0.15 },
		{ "statement", { 0, 1, 2, 3 }, 4, 3, true, 1500 * MS, 0.08 },
		{ "order", { 1, 2 }, 2, 0, false, 3000 * MS, 0.10 },
		{ "invoice", { 0, 3 }, 2, 1, false, 3000 * MS, 0.05 },
	},
	.slow_service = 2,
};

/*
 * Time for which a request of the route occupies a slot of each service,
 * including the wait for its onward calls.
 */
static void occupancy(const struct model *model, const struct model_route *r,
		      double slowdown, double busy_us[MODEL_SERVICES])
{
	double onward_us = 0;
	double own_us;
	int i;

	memset(busy_us, 0, sizeof(double) * MODEL_SERVICES);
	for (i = r->depth - 1; i >= 0; i--) {
		own_us = (double)model->services[r->chain[i]].service_time_us;
		if (r->chain[i] == model->slow_service)
			own_us *= slowdown;
		busy_us[r->chain[i]] = own_us + onward_us;
		/* Round trip; two thirds of the calls cross failure domains. */
		onward_us += own_us + (double)model->domain_delay_us * 4 / 3;
	}
}

static double slots_us(const struct model_service *s)
{
	return (double)s->servers * s->slots * BASE_SECOND_US;
}

double model_saturation_rate(const struct model *model)
{
	double used[MODEL_SERVICES] = { 0 };
	double slot_us[MODEL_SERVICES];
	double rate = 1e12;
	int r, s;

	for (r = 0; r < MODEL_ROUTES; r++) {
		occupancy(model, &model->routes[r], 1, slot_us);
		for (s = 0; s < MODEL_SERVICES; s++)
			used[s] += model->routes[r].share * slot_us[s];
	}
	for (s = 0; s < MODEL_SERVICES; s++)
		if (slots_us(&model->services[s]) / used[s] < rate)
			rate = slots_us(&model->services[s]) / used[s];
	return rate;
}

/*
 * State of progressive filling: the routes of a class grow until a service has
 * no slot time left.
 */
struct capacity_fill {
	double slot_us[MODEL_ROUTES][MODEL_SERVICES];
	double slot_us_left[MODEL_SERVICES];
	bool can_grow[MODEL_ROUTES];
};

/* Largest fraction of demand by which all these routes can still grow. */
static double max_step(const struct capacity_fill *f,
		       const double demand[MODEL_ROUTES], double limit)
{
	double used;
	int r, s;

	for (s = 0; s < MODEL_SERVICES; s++) {
		used = 0;
		for (r = 0; r < MODEL_ROUTES; r++)
			if (f->can_grow[r])
				used += demand[r] * f->slot_us[r][s];
		if (used > 0 && f->slot_us_left[s] / used < limit)
			limit = f->slot_us_left[s] / used;
	}
	return limit;
}

static void fill_class(struct capacity_fill *f,
		       const double demand[MODEL_ROUTES],
		       double served[MODEL_ROUTES])
{
	double share = 0;
	double step;
	int round, r, s;

	for (round = 0; round <= MODEL_SERVICES; round++) {
		step = max_step(f, demand, 1 - share);
		share += step;
		for (r = 0; r < MODEL_ROUTES; r++) {
			if (!f->can_grow[r])
				continue;
			served[r] = share * demand[r];
			for (s = 0; s < MODEL_SERVICES; s++)
				f->slot_us_left[s] -=
					step * demand[r] * f->slot_us[r][s];
		}
		for (r = 0; r < MODEL_ROUTES; r++)
			for (s = 0; s < MODEL_SERVICES; s++)
				if (f->slot_us[r][s] > 0 &&
				    f->slot_us_left[s] < 1e-3)
					f->can_grow[r] = false;
	}
}

void model_capacity(const struct model *model, double slowdown,
		    const double demand[MODEL_ROUTES],
		    double served[MODEL_ROUTES])
{
	struct capacity_fill f;
	int level, idempotent, r, s;

	memset(&f, 0, sizeof(f));
	for (r = 0; r < MODEL_ROUTES; r++) {
		occupancy(model, &model->routes[r], slowdown, f.slot_us[r]);
		served[r] = 0;
	}
	for (s = 0; s < MODEL_SERVICES; s++)
		f.slot_us_left[s] = slots_us(&model->services[s]);
	for (idempotent = 0; idempotent < 2; idempotent++) {
		for (level = 0; level < 4; level++) {
			for (r = 0; r < MODEL_ROUTES; r++)
				f.can_grow[r] = model->routes[r].idempotent ==
							idempotent &&
						model->routes[r].level == level;
			fill_class(&f, demand, served);
		}
	}
}
