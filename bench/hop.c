/* Calls between daemons: choice of the server, answers, timeouts, retries. */
#include "world.h"

/* Without a common deadline, a hop waits this long for each try. */
#define HOP_TIMEOUT_US BASE_SECOND_US
#define LOCAL_US 100
/* A server that lost work is left alone for this long. */
#define OUT_US (500 * BASE_MS_US)
#define RETRY_SHARE 0.1
#define RETRY_TOKENS_MAX 10.0

static void hop_release(struct hop *hop)
{
	if (--hop->refs)
		return;
	if (hop->parent)
		call_release(hop->parent);
	request_release(hop->request);
	free(hop);
}

void call_release(struct call *call)
{
	if (--call->refs)
		return;
	hop_release(call->hop);
	free(call);
}

static int64_t network_us(const struct server *a, const struct server *b)
{
	return a->domain == b->domain ? LOCAL_US : a->world->model->domain_us;
}

static double view_load(const struct server *from, uint32_t index)
{
	const struct view *view = &from->views[index];
	uint32_t limit = view->limit ? view->limit : 1;

	if (from->world->sim.now < view->out_until)
		return 1e9;
	return (double)(view->outstanding + view->load) / limit;
}

static struct server *choose(struct server *from, uint8_t service,
			     const struct server *except)
{
	struct world *world = from->world;
	uint32_t n = world->model->services[service].servers;
	uint32_t first = world->first[service];
	uint32_t a, b;

	if (!world->policy->by_load)
		return &world->servers[first + from->turn[service]++ % n];
	a = first + base_rand_below(&world->sim.rnd, n);
	b = first + base_rand_below(&world->sim.rnd, n);
	if (&world->servers[a] == except)
		a = first + (a - first + 1) % n;
	if (&world->servers[b] == except)
		b = first + (b - first + 1) % n;
	return &world->servers[view_load(from, a) <= view_load(from, b) ? a
									: b];
}

static void on_receive(void *ctx)
{
	struct call *call = ctx;

	server_receive(call->server, call);
}

static void try_hop(struct hop *hop, const struct server *except)
{
	struct world *world = hop->from->world;
	const struct model_route *route = hop->request->route;
	struct call *call = base_alloc(sizeof(*call));

	call->hop = hop;
	hop->refs++;
	call->refs = 1;
	call->cutoff = OVERLOAD_CUTOFF_NONE;
	call->server = choose(hop->from, route->chain[hop->depth], except);
	hop->call = call;
	hop->tries++;
	hop->from->views[call->server->index].outstanding++;
	sim_after(&world->sim, network_us(hop->from, call->server), on_receive,
		  call);
}

struct client_answer {
	struct request *request;
	int attempt;
	enum result result;
};

static void on_client_answer(void *ctx)
{
	struct client_answer *answer = ctx;

	caller_result(answer->request, answer->attempt, answer->result);
	request_release(answer->request);
	free(answer);
}

static void answer_client(struct request *request, int attempt,
			  enum result result)
{
	struct client_answer *answer = base_alloc(sizeof(*answer));

	*answer = (struct client_answer){ request, attempt, result };
	request->refs++;
	sim_after(&request->world->sim, request->world->model->client_us,
		  on_client_answer, answer);
}

static void finish_hop(struct hop *hop, enum result result, int32_t cutoff)
{
	hop->done = true;
	hop->call = NULL;
	if (hop->parent)
		server_onward_done(hop->parent, result, cutoff);
	else
		answer_client(hop->request, hop->attempt, result);
	hop_release(hop);
}

static bool may_retry(struct hop *hop, enum result result)
{
	const struct policy *policy = hop->from->world->policy;

	if (result == RESULT_OK || hop->tries > policy->retries)
		return false;
	if (!policy->retry_budget)
		return true;
	if (result != RESULT_REFUSED &&
	    !(result == RESULT_LOST && hop->request->route->idempotent))
		return false;
	if (hop->request->retried || hop->from->retry_tokens < 1)
		return false;
	hop->from->retry_tokens -= 1;
	hop->request->retried = true;
	return true;
}

static void on_hop_timeout(void *ctx)
{
	struct hop *hop = ctx;
	const struct policy *policy = hop->from->world->policy;
	struct sim *sim = &hop->from->world->sim;

	if (!hop->done && sim->now >= hop->timeout_at) {
		if (!policy->deadlines && may_retry(hop, RESULT_EXPIRED)) {
			try_hop(hop, NULL);
			hop->timeout_at = sim->now + HOP_TIMEOUT_US;
			hop->refs++;
			sim_after(sim, HOP_TIMEOUT_US, on_hop_timeout, hop);
		} else {
			finish_hop(hop, RESULT_EXPIRED, OVERLOAD_CUTOFF_NONE);
		}
	}
	hop_release(hop);
}

static void on_answer(void *ctx)
{
	struct call *call = ctx;
	struct hop *hop = call->hop;
	struct server *from = hop->from;
	struct view *view = &from->views[call->server->index];

	view->outstanding--;
	view->load = call->load;
	view->limit = call->limit;
	if (call->result == RESULT_LOST)
		view->out_until = from->world->sim.now + OUT_US;
	if (call->result == RESULT_OK && from->retry_tokens < RETRY_TOKENS_MAX)
		from->retry_tokens += RETRY_SHARE;
	if (!hop->parent && from->throttle)
		overload_throttle_observe(from->throttle,
					  hop->request->route_index,
					  call->cutoff, from->world->sim.now);
	if (!hop->done && hop->call == call) {
		if (may_retry(hop, call->result))
			try_hop(hop, call->server);
		else
			finish_hop(hop, call->result, call->cutoff);
	}
	call_release(call);
}

void hop_answer(struct call *call)
{
	sim_after(&call->server->world->sim,
		  network_us(call->server, call->hop->from), on_answer, call);
}

static void on_attempt(void *ctx)
{
	struct hop *hop = ctx;
	struct request *request = hop->request;
	struct server *from = hop->from;
	struct overload_request ask = {
		.route = request->route_index,
		.level = request->route->level,
		.idempotent = request->route->idempotent,
		.account = request->account,
		.weight =
			(uint32_t)(model_account_share[request->account] * 100),
	};

	if (from->throttle &&
	    !overload_throttle_admit(from->throttle, &ask,
				     request->world->sim.now, NULL))
		finish_hop(hop, RESULT_REFUSED, OVERLOAD_CUTOFF_NONE);
	else
		try_hop(hop, NULL);
}

void hop_start(struct request *request, struct server *from,
	       struct call *parent, int depth)
{
	struct world *world = request->world;
	struct hop *hop = base_alloc(sizeof(*hop));
	int64_t wait = HOP_TIMEOUT_US;

	hop->request = request;
	request->refs++;
	hop->from = from;
	hop->parent = parent;
	if (parent)
		parent->refs++;
	hop->attempt = parent ? parent->hop->attempt : request->current;
	hop->depth = depth;
	hop->refs = 2;
	if (world->policy->deadlines)
		wait = request->deadline - world->sim.now;
	hop->timeout_at = world->sim.now + wait;
	sim_after(&world->sim, wait, on_hop_timeout, hop);
	if (parent)
		try_hop(hop, NULL);
	else
		sim_after(&world->sim, world->model->client_us, on_attempt,
			  hop);
}
