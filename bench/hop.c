/* Calls between daemons: choice of the server, responses, timeouts, retries. */
#include "cluster.h"

/* Timeout of each try when the deadline of the request is not propagated. */
#define HOP_TIMEOUT_US BASE_SECOND_US
#define LOCAL_DELAY_US 100
/* A server that lost a call gets no calls for this long. */
#define EXCLUSION_US (500 * BASE_MS_US)
#define RETRY_TOKENS_PER_SUCCESS 0.1
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
	return a->domain == b->domain ? LOCAL_DELAY_US
				      : a->cluster->model->domain_delay_us;
}

static double relative_load(const struct server *from, uint32_t index)
{
	const struct server_view *view = &from->views[index];
	uint32_t limit = view->limit ? view->limit : 1;

	if (from->cluster->sim.now < view->excluded_until)
		return 1e9;
	return (double)(view->outstanding + view->load) / limit;
}

static struct server *choose_server(struct server *from, uint8_t service,
				    const struct server *except)
{
	struct cluster *cluster = from->cluster;
	uint32_t n = cluster->model->services[service].servers;
	uint32_t first = cluster->first[service];
	uint32_t a, b;

	if (!cluster->policy->balance_by_load)
		return &cluster->servers[first +
					 from->round_robin_next[service]++ % n];
	a = first + base_rand_below(&cluster->sim.rnd, n);
	b = first + base_rand_below(&cluster->sim.rnd, n);
	if (&cluster->servers[a] == except)
		a = first + (a - first + 1) % n;
	if (&cluster->servers[b] == except)
		b = first + (b - first + 1) % n;
	return &cluster->servers[relative_load(from, a) <=
						 relative_load(from, b)
					 ? a
					 : b];
}

static void on_receive(void *ctx)
{
	struct call *call = ctx;

	server_receive(call->server, call);
}

static void try_hop(struct hop *hop, const struct server *except)
{
	struct cluster *cluster = hop->from->cluster;
	const struct model_route *route = hop->request->route;
	struct call *call = base_alloc(sizeof(*call));

	call->hop = hop;
	hop->refs++;
	call->refs = 1;
	call->cutoff = OVERLOAD_CUTOFF_NONE;
	call->server =
		choose_server(hop->from, route->chain[hop->depth], except);
	hop->call = call;
	hop->tries++;
	hop->from->views[call->server->index].outstanding++;
	sim_after(&cluster->sim, network_us(hop->from, call->server),
		  on_receive, call);
}

struct client_response {
	struct request *request;
	int attempt;
	enum result result;
};

static void on_client_response(void *ctx)
{
	struct client_response *response = ctx;

	caller_result(response->request, response->attempt, response->result);
	request_release(response->request);
	free(response);
}

static void respond_to_client(struct request *request, int attempt,
			      enum result result)
{
	struct client_response *response = base_alloc(sizeof(*response));

	*response = (struct client_response){ request, attempt, result };
	request->refs++;
	sim_after(&request->cluster->sim,
		  request->cluster->model->client_delay_us, on_client_response,
		  response);
}

static void finish_hop(struct hop *hop, enum result result, int32_t cutoff)
{
	hop->done = true;
	hop->call = NULL;
	if (hop->parent)
		server_onward_done(hop->parent, result, cutoff);
	else
		respond_to_client(hop->request, hop->attempt, result);
	hop_release(hop);
}

static bool may_retry(struct hop *hop, enum result result)
{
	const struct policy *policy = hop->from->cluster->policy;

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
	const struct policy *policy = hop->from->cluster->policy;
	struct sim *sim = &hop->from->cluster->sim;

	if (!hop->done && sim->now >= hop->timeout_at) {
		if (!policy->propagate_deadlines &&
		    may_retry(hop, RESULT_EXPIRED)) {
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

static void on_response(void *ctx)
{
	struct call *call = ctx;
	struct hop *hop = call->hop;
	struct server *from = hop->from;
	struct server_view *view = &from->views[call->server->index];

	view->outstanding--;
	view->load = call->load;
	view->limit = call->limit;
	if (call->result == RESULT_LOST)
		view->excluded_until = from->cluster->sim.now + EXCLUSION_US;
	if (call->result == RESULT_OK && from->retry_tokens < RETRY_TOKENS_MAX)
		from->retry_tokens += RETRY_TOKENS_PER_SUCCESS;
	if (!hop->parent && from->throttle)
		overload_throttle_observe(from->throttle,
					  hop->request->route_index,
					  call->cutoff, from->cluster->sim.now);
	if (!hop->done && hop->call == call) {
		if (may_retry(hop, call->result))
			try_hop(hop, call->server);
		else
			finish_hop(hop, call->result, call->cutoff);
	}
	call_release(call);
}

void hop_send_response(struct call *call)
{
	sim_after(&call->server->cluster->sim,
		  network_us(call->server, call->hop->from), on_response, call);
}

static void on_attempt(void *ctx)
{
	struct hop *hop = ctx;
	struct request *request = hop->request;
	struct server *from = hop->from;
	struct overload_request attributes = {
		.route = request->route_index,
		.level = request->route->level,
		.idempotent = request->route->idempotent,
		.account = request->account,
		.weight =
			(uint32_t)(model_account_share[request->account] * 100),
	};

	if (from->throttle &&
	    !overload_throttle_admit(from->throttle, &attributes,
				     request->cluster->sim.now, NULL))
		finish_hop(hop, RESULT_REFUSED, OVERLOAD_CUTOFF_NONE);
	else
		try_hop(hop, NULL);
}

void hop_start(struct request *request, struct server *from,
	       struct call *parent, int depth)
{
	struct cluster *cluster = request->cluster;
	struct hop *hop = base_alloc(sizeof(*hop));
	int64_t wait = HOP_TIMEOUT_US;

	hop->request = request;
	request->refs++;
	hop->from = from;
	hop->parent = parent;
	if (parent)
		parent->refs++;
	hop->attempt = parent ? parent->hop->attempt : request->current_attempt;
	hop->depth = depth;
	hop->refs = 2;
	if (cluster->policy->propagate_deadlines)
		wait = request->deadline - cluster->sim.now;
	hop->timeout_at = cluster->sim.now + wait;
	sim_after(&cluster->sim, wait, on_hop_timeout, hop);
	if (parent)
		try_hop(hop, NULL);
	else
		sim_after(&cluster->sim, cluster->model->client_delay_us,
			  on_attempt, hop);
}
