/*
 * Tests of requests that crash servers, in simulated time with fixed seeds.
 */
#include "retry.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define GUARDS 5
#define REQUESTS 120
#define CRASHING_REQUEST 0
#define TICK_US (10 * BASE_MS_US)

enum phase { WAITING, RUNNING, PERMITTED, FINISHED, REFUSED };

struct request {
	struct base_digest fp;
	enum phase phase;
	int guard;
	int ticks_left;
	uint64_t permit;
	int64_t permit_end;
};

/*
 * The guards of one service. Each request is sent until it has run or is
 * refused.
 */
struct fleet {
	struct base_rand rnd;
	int64_t now;
	struct retry_suspects *suspects[GUARDS];
	struct retry_arbiter *arbiters[GUARDS];
	int current_arbiter;
	struct request reqs[REQUESTS];
	int deaths;
	int max_permitted;
	/* Disables the permits, to show that the test can fail. */
	bool ignore_suspects;
};

static struct base_digest digest(uint32_t n)
{
	return base_digest_of((struct base_str){ (char *)&n, sizeof(n) });
}

static void broadcast(void *ctx, const struct retry_suspect_update *update)
{
	struct fleet *f = ctx;
	int i;

	for (i = 0; i < GUARDS; i++)
		retry_suspects_merge(f->suspects[i], update, f->now);
}

static void kill_server(struct fleet *f, int guard)
{
	struct base_digest in_flight[REQUESTS], permitted[REQUESTS];
	struct retry_server_death death = { .in_flight = in_flight,
					    .permitted = permitted };
	struct request *r;

	for (r = f->reqs; r < f->reqs + REQUESTS; r++) {
		if (r->guard != guard ||
		    (r->phase != RUNNING && r->phase != PERMITTED))
			continue;
		in_flight[death.in_flight_len++] = r->fp;
		if (r->phase == PERMITTED)
			permitted[death.permitted_len++] = r->fp;
		r->phase = WAITING;
	}
	f->deaths++;
	retry_suspects_record_server_death(f->suspects[guard], &death, f->now,
					   broadcast, f);
}

/* Some answers of the arbiter are lost; their permits expire unused. */
static void request_permit(struct fleet *f, struct request *r,
			   const struct retry_suspect_update *known)
{
	struct retry_permit_request permit_request = {
		.suspect = *known, .remaining_us = 10 * BASE_SECOND_US
	};
	struct retry_permit p = retry_arbiter_request_permit(
		f->arbiters[f->current_arbiter], &permit_request, f->now);

	if (p.status != RETRY_PERMIT_GRANTED || !base_rand_below(&f->rnd, 40))
		return;
	r->phase = PERMITTED;
	r->permit = p.id;
	r->permit_end = f->now + p.lifetime_us;
}

static void start_request(struct fleet *f, struct request *r)
{
	struct retry_suspect_update known;
	enum retry_suspect_state state;

	r->guard = (int)base_rand_below(&f->rnd, GUARDS);
	r->ticks_left = 1 + (int)base_rand_below(&f->rnd, 5);
	state = retry_suspects_check(f->suspects[r->guard], 0, &r->fp, f->now,
				     &known);
	if (state == RETRY_SUSPECT_CONVICTED)
		r->phase = REFUSED;
	else if (state == RETRY_SUSPECT_SUSPECTED && !f->ignore_suspects)
		request_permit(f, r, &known);
	else
		r->phase = RUNNING;
}

static void finish_request(struct fleet *f, struct request *r)
{
	if (r == &f->reqs[CRASHING_REQUEST]) {
		kill_server(f, r->guard);
		return;
	}
	if (r->phase == PERMITTED)
		retry_arbiter_return_permit(f->arbiters[f->current_arbiter], 0,
					    r->permit, RETRY_PERMIT_SUCCEEDED,
					    f->now, broadcast, f);
	retry_suspects_record_success(f->suspects[r->guard], 0, &r->fp, f->now,
				      broadcast, f);
	r->phase = FINISHED;
}

static void tick(struct fleet *f)
{
	struct request *r;
	int permitted = 0;

	f->now += TICK_US;
	if (!base_rand_below(&f->rnd, 500)) {
		f->current_arbiter = (f->current_arbiter + 1) % GUARDS;
		retry_arbiter_take_over(f->arbiters[f->current_arbiter], 0,
					f->now);
	}
	for (r = f->reqs; r < f->reqs + REQUESTS; r++) {
		if (r->phase == WAITING)
			start_request(f, r);
		else if (r->phase != RUNNING && r->phase != PERMITTED)
			continue;
		else if (!--r->ticks_left)
			finish_request(f, r);
		permitted += r->phase == PERMITTED;
	}
	if (f->max_permitted < permitted)
		f->max_permitted = permitted;
}

static void run_requests(struct fleet *f, uint64_t seed, bool ignore_suspects)
{
	uint32_t i;

	memset(f, 0, sizeof(*f));
	base_rand_seed(&f->rnd, seed);
	f->ignore_suspects = ignore_suspects;
	for (i = 0; i < GUARDS; i++) {
		f->suspects[i] = retry_suspects_create();
		f->arbiters[i] = retry_arbiter_create(f->suspects[i], i + 1);
	}
	for (i = 0; i < REQUESTS; i++)
		f->reqs[i].fp = digest(i);
	for (i = 0; i < 20000; i++)
		tick(f);
}

static void free_fleet(struct fleet *f)
{
	int i;

	for (i = 0; i < GUARDS; i++) {
		retry_arbiter_destroy(f->arbiters[i]);
		retry_suspects_destroy(f->suspects[i]);
	}
}

/*
 * One request must not crash server after server, and requests that ran beside
 * it must not be refused.
 */
Test(crash, at_most_two_deaths_and_no_other_request_convicted)
{
	struct fleet f;
	uint64_t seed;
	int i;

	for (seed = 1; seed <= 30; seed++) {
		run_requests(&f, seed, false);
		cr_assert(eq(int, f.deaths, 2));
		cr_assert(eq(int, f.max_permitted, 1));
		cr_assert(eq(int, f.reqs[CRASHING_REQUEST].phase, REFUSED));
		for (i = CRASHING_REQUEST + 1; i < REQUESTS; i++)
			cr_assert(eq(int, f.reqs[i].phase, FINISHED));
		free_fleet(&f);
	}
	run_requests(&f, 1, true);
	cr_assert(gt(int, f.deaths, 100));
	free_fleet(&f);
}

/* Guards that receive updates in different orders must reach one state. */
Test(update, any_order_gives_the_same_state)
{
	struct retry_suspects *a, *b;
	struct retry_suspect_update updates[6];
	struct base_digest fp = digest(1);
	struct base_rand rnd;
	uint64_t seed;
	int i;

	for (seed = 1; seed <= 200; seed++) {
		base_rand_seed(&rnd, seed);
		a = retry_suspects_create();
		b = retry_suspects_create();
		for (i = 0; i < 6; i++)
			updates[i] = (struct retry_suspect_update){
				.fingerprint = fp,
				.state = 1 + base_rand_below(&rnd,
							     seed % 2 ? 2 : 3),
				.round = base_rand_below(&rnd, 3),
			};
		for (i = 0; i < 6; i++) {
			retry_suspects_merge(a, &updates[i], 0);
			retry_suspects_merge(b, &updates[5 - i], 0);
		}
		cr_assert(eq(int, retry_suspects_check(a, 0, &fp, 0, NULL),
			     retry_suspects_check(b, 0, &fp, 0, NULL)));
		retry_suspects_destroy(a);
		retry_suspects_destroy(b);
	}
}

/*
 * A suspect must not run without a permit when the arbiter has not received the
 * update about it.
 */
Test(arbiter, goes_from_suspect_to_cleared_to_convicted)
{
	struct retry_suspects *s = retry_suspects_create();
	struct retry_arbiter *a = retry_arbiter_create(s, 1);
	struct retry_permit_request request = {
		.suspect = { .fingerprint = digest(1),
			     .state = RETRY_SUSPECT_SUSPECTED,
			     .round = 1 },
		.remaining_us = BASE_SECOND_US,
	};
	struct retry_server_death death = {
		.in_flight = &request.suspect.fingerprint, .in_flight_len = 1
	};
	struct retry_permit p = retry_arbiter_request_permit(a, &request, 0);

	cr_assert(eq(int, p.status, RETRY_PERMIT_GRANTED));
	cr_assert(eq(i64, p.lifetime_us, BASE_SECOND_US));
	cr_assert(eq(int, retry_arbiter_request_permit(a, &request, 0).status,
		     RETRY_PERMIT_BUSY));
	retry_arbiter_return_permit(a, 0, p.id, RETRY_PERMIT_SUCCEEDED, 1, NULL,
				    NULL);
	cr_assert(eq(int, retry_arbiter_request_permit(a, &request, 1).status,
		     RETRY_PERMIT_NOT_NEEDED));
	/* Another server death starts a round that an old update cannot end. */
	retry_suspects_record_server_death(s, &death, 1, NULL, NULL);
	request.suspect.state = RETRY_SUSPECT_CLEARED;
	p = retry_arbiter_request_permit(a, &request, 1);
	cr_assert(eq(int, p.status, RETRY_PERMIT_GRANTED));
	retry_arbiter_return_permit(a, 0, p.id, RETRY_PERMIT_SERVER_DIED, 2,
				    NULL, NULL);
	cr_assert(eq(int, retry_arbiter_request_permit(a, &request, 2).status,
		     RETRY_PERMIT_REFUSED));
	retry_arbiter_destroy(a);
	retry_suspects_destroy(s);
}

/*
 * A request must not be convicted when another permit was in use at the same
 * time, and the number of suspects must be limited.
 */
Test(suspects, are_bounded_and_need_proof)
{
	struct retry_suspects *s = retry_suspects_create();
	struct base_digest fps[2] = { digest(1), digest(2) };
	struct retry_server_death death = { .in_flight = fps,
					    .in_flight_len = 2,
					    .permitted = fps,
					    .permitted_len = 2 };
	struct retry_suspect_update update = {
		.state = RETRY_SUSPECT_SUSPECTED
	};
	uint32_t i;

	retry_suspects_record_server_death(s, &death, 0, NULL, NULL);
	cr_assert(eq(int, retry_suspects_check(s, 0, &fps[0], 0, NULL),
		     RETRY_SUSPECT_SUSPECTED));
	death.permitted_len = 1;
	retry_suspects_record_server_death(s, &death, 0, NULL, NULL);
	for (i = 10; i < 10 + 2 * RETRY_SUSPECTS_MAX; i++) {
		update.fingerprint = digest(i);
		retry_suspects_merge(s, &update, 1);
	}
	cr_assert(le(sz, retry_suspects_count(s), RETRY_SUSPECTS_MAX));
	cr_assert(eq(int, retry_suspects_check(s, 0, &fps[0], 1, NULL),
		     RETRY_SUSPECT_CONVICTED));
	cr_assert(eq(int,
		     retry_suspects_check(s, 0, &fps[0],
					  2 + RETRY_CONVICTED_TTL_US, NULL),
		     RETRY_SUSPECT_NONE));
	retry_suspects_destroy(s);
}
