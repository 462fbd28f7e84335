/* Sample messages whose fields have distinct values where possible. */
#include "samples.h"

#include <criterion/criterion.h>
#include <string.h>

static const struct peer_header headers[] = {
	{ { "content-type", 12 }, { "application/json", 16 } },
	{ { "x-empty", 7 }, { "", 0 } },
};
static const struct peer_cutoff cutoffs[] = {
	{ { "deposits", 8 }, 3 },
	{ { "returns", 7 }, 4000000000U },
};
static const struct peer_domain_version domains[] = {
	{ { "north-1", 7 }, 41 },
	{ { "north-2", 7 }, UINT64_MAX },
};
static const struct peer_rate_return returns[] = {
	{ 7, 1500, 500 },
	{ 8, 0, INT64_MAX },
};

static struct peer_stored_answer stored_answer(void)
{
	return (struct peer_stored_answer){
		.status = 201,
		.headers = { headers, BASE_ARRAY_SIZE(headers) },
		.body = { "sto\0red", 7 },
	};
}

static void fill_request(struct peer_request *r)
{
	*r = (struct peer_request){
		.deadline_us = 99887766,
		.context = {
			.account = BASE_STR("lakeshore"),
			.route = BASE_STR("browse"),
			.priority = 2,
			.attempt = 1,
			.idempotency_key = BASE_STR(
				"0190a3c4-0000-7000-8000-000000000001"),
			.traceparent = BASE_STR("00-aa-bb-01"),
			.remaining_us = 250000,
			.depth = 23,
			.open = true,
		},
		.method = BASE_STR("GET"),
		.path = BASE_STR("/catalogue/items?q=1"),
		.headers = { headers, BASE_ARRAY_SIZE(headers) },
		.body = { "\0\xff", 2 },
	};
}

static void fill_answer(struct peer_answer *a)
{
	*a = (struct peer_answer){
		.status = 503,
		.outcome = PEER_OUTCOME_UNKNOWN,
		.reason = BASE_STR("overloaded"),
		.retry_after_ms = 1500,
		.headers = { headers, BASE_ARRAY_SIZE(headers) },
		.body = BASE_STR("{}"),
		.load = 11,
		.limit = 110,
		.cold_full = true,
		.draining = true,
		.cutoffs = { cutoffs, BASE_ARRAY_SIZE(cutoffs) },
		.retried = true,
		.arrived = true,
		.stopping = true,
		.service_us = 160000,
		.success_permille = -1,
	};
}

static void fill_claim(struct peer_message *m)
{
	struct base_str account = BASE_STR("zawadzki");
	struct base_str key = BASE_STR("0190a3c4-0000-7000-8000-000000000002");

	if (m->type == PEER_CLAIM)
		m->claim = (struct peer_claim){ account, key,
						base_digest_of(key), 30000000 };
	else if (m->type == PEER_CLAIM_ANSWER)
		m->claim_answer =
			(struct peer_claim_answer){ PEER_CLAIM_DONE, 77,
						    stored_answer() };
	else if (m->type == PEER_COMPLETE)
		m->complete = (struct peer_complete){ account, key, 78,
						      PEER_OUTCOME_UNKNOWN,
						      stored_answer() };
	else
		m->release = (struct peer_release){ account, key, 79 };
}

static void fill_rate(struct peer_message *m)
{
	if (m->type == PEER_RATE_ASK)
		m->rate_ask = (struct peer_rate_ask){
			BASE_STR("zawadzki"),
			BASE_STR("vm-17"),
			3,
			900,
			-5000,
			{ returns, BASE_ARRAY_SIZE(returns) },
			7000,
			0xfedcba9876543210,
		};
	else
		m->rate_grant = (struct peer_rate_grant){ BASE_STR("zawadzki"),
							  900,
							  8,
							  4000,
							  250000,
							  1000,
							  0xfedcba9876543211,
							  0xfedcba9876543210,
							  PEER_RATE_STARTING };
}

static void fill_suspect(struct peer_message *m)
{
	struct base_str service = BASE_STR("packing");
	struct base_digest digest = base_digest_of(service);

	if (m->type == PEER_SUSPECT)
		m->suspect = (struct peer_suspect){ service, digest,
						    PEER_SUSPECT_RELEASED, 3,
						    1234567890123 };
	else if (m->type == PEER_SUSPECT_ASK)
		m->suspect_ask = (struct peer_suspect_ask){
			service, digest, PEER_SUSPECT_CONVICTED, 4, -250000
		};
	else
		m->suspect_answer = (struct peer_suspect_answer){
			PEER_SUSPECT_UNRESTRICTED, UINT64_MAX, 5000000, 50000
		};
}

static void fill_config(struct peer_message *m)
{
	struct base_digest digest = base_digest_of(BASE_STR("manifest"));

	if (m->type == PEER_CONFIG_ANNOUNCE)
		m->config_announce =
			(struct peer_config_announce){ 12, digest, -1, 250000,
						       7000000 };
	else if (m->type == PEER_CONFIG_GET)
		m->config_get.key = BASE_STR("bilberryhinge/manifest");
	else
		m->config_value = (struct peer_config_value){
			BASE_STR("bilberryhinge/manifest"), 12, digest, true,
			BASE_STR("{\"version\":12}")
		};
}

static void fill_heartbeat(struct peer_heartbeat *h)
{
	*h = (struct peer_heartbeat){
		.load = 5,
		.limit = UINT32_MAX,
		.cold_full = true,
		.draining = true,
		.stopping = true,
		.service_us = 160000,
		.success_permille = -1,
		.version = 42,
		.hash = base_digest_of(BASE_STR("42")),
		.domains = { domains, BASE_ARRAY_SIZE(domains) },
	};
}

struct peer_message sample_message(enum peer_message_type type)
{
	struct peer_message m = { .type = type, .id = UINT64_MAX - type };

	m.sent_at = 1234567890123;
	if (type == PEER_HELLO)
		m.hello = (struct peer_hello){ BASE_STR("vm-1"), 2, 3 };
	else if (type == PEER_HEARTBEAT)
		fill_heartbeat(&m.heartbeat);
	else if (type == PEER_REQUEST)
		fill_request(&m.request);
	else if (type == PEER_ANSWER)
		fill_answer(&m.answer);
	else if (type >= PEER_CLAIM && type <= PEER_RELEASE)
		fill_claim(&m);
	else if (type == PEER_RATE_ASK || type == PEER_RATE_GRANT)
		fill_rate(&m);
	else if (type >= PEER_SUSPECT && type <= PEER_SUSPECT_ANSWER)
		fill_suspect(&m);
	else if (type >= PEER_CONFIG_ANNOUNCE && type <= PEER_CONFIG_VALUE)
		fill_config(&m);
	return m;
}

#define ASSERT_SAME_STR(x, y) cr_assert(base_str_equal(x, y), "%s", #x)
#define ASSERT_SAME(x, y) cr_assert((x) == (y), "%s", #x)
#define ASSERT_SAME_DIGEST(x, y) \
	cr_assert(base_digest_equal(&(x), &(y)), "%s", #x)

static void assert_same_headers(struct peer_headers a, struct peer_headers b)
{
	size_t i;

	ASSERT_SAME(a.count, b.count);
	for (i = 0; i < a.count; i++) {
		ASSERT_SAME_STR(a.items[i].name, b.items[i].name);
		ASSERT_SAME_STR(a.items[i].value, b.items[i].value);
	}
}

static void assert_same_stored(const struct peer_stored_answer *a,
			       const struct peer_stored_answer *b)
{
	ASSERT_SAME(a->status, b->status);
	assert_same_headers(a->headers, b->headers);
	ASSERT_SAME_STR(a->body, b->body);
}

static void assert_same_request(const struct peer_request *a,
				const struct peer_request *b)
{
	ASSERT_SAME(a->deadline_us, b->deadline_us);
	ASSERT_SAME_STR(a->context.account, b->context.account);
	ASSERT_SAME_STR(a->context.route, b->context.route);
	ASSERT_SAME(a->context.priority, b->context.priority);
	ASSERT_SAME(a->context.attempt, b->context.attempt);
	ASSERT_SAME_STR(a->context.idempotency_key, b->context.idempotency_key);
	ASSERT_SAME_STR(a->context.traceparent, b->context.traceparent);
	ASSERT_SAME(a->context.remaining_us, b->context.remaining_us);
	ASSERT_SAME(a->context.depth, b->context.depth);
	ASSERT_SAME(a->context.open, b->context.open);
	ASSERT_SAME_STR(a->method, b->method);
	ASSERT_SAME_STR(a->path, b->path);
	assert_same_headers(a->headers, b->headers);
	ASSERT_SAME_STR(a->body, b->body);
}

static void assert_same_answer(const struct peer_answer *a,
			       const struct peer_answer *b)
{
	size_t i;

	ASSERT_SAME(a->status, b->status);
	ASSERT_SAME(a->outcome, b->outcome);
	ASSERT_SAME_STR(a->reason, b->reason);
	ASSERT_SAME(a->retry_after_ms, b->retry_after_ms);
	assert_same_headers(a->headers, b->headers);
	ASSERT_SAME_STR(a->body, b->body);
	ASSERT_SAME(a->load, b->load);
	ASSERT_SAME(a->limit, b->limit);
	ASSERT_SAME(a->cold_full, b->cold_full);
	ASSERT_SAME(a->draining, b->draining);
	ASSERT_SAME(a->cutoffs.count, b->cutoffs.count);
	for (i = 0; i < a->cutoffs.count; i++) {
		ASSERT_SAME_STR(a->cutoffs.items[i].service,
				b->cutoffs.items[i].service);
		ASSERT_SAME(a->cutoffs.items[i].level,
			    b->cutoffs.items[i].level);
	}
	ASSERT_SAME(a->retried, b->retried);
	ASSERT_SAME(a->arrived, b->arrived);
	ASSERT_SAME(a->stopping, b->stopping);
	ASSERT_SAME(a->service_us, b->service_us);
	ASSERT_SAME(a->success_permille, b->success_permille);
}

static void assert_same_heartbeat(const struct peer_heartbeat *a,
				  const struct peer_heartbeat *b)
{
	size_t i;

	ASSERT_SAME(a->load, b->load);
	ASSERT_SAME(a->limit, b->limit);
	ASSERT_SAME(a->cold_full, b->cold_full);
	ASSERT_SAME(a->draining, b->draining);
	ASSERT_SAME(a->stopping, b->stopping);
	ASSERT_SAME(a->service_us, b->service_us);
	ASSERT_SAME(a->success_permille, b->success_permille);
	ASSERT_SAME(a->version, b->version);
	ASSERT_SAME_DIGEST(a->hash, b->hash);
	ASSERT_SAME(a->domains.count, b->domains.count);
	for (i = 0; i < a->domains.count; i++) {
		ASSERT_SAME_STR(a->domains.items[i].domain,
				b->domains.items[i].domain);
		ASSERT_SAME(a->domains.items[i].version,
			    b->domains.items[i].version);
	}
}

static void assert_same_claim(const struct peer_message *a,
			      const struct peer_message *b)
{
	if (a->type == PEER_CLAIM) {
		ASSERT_SAME_STR(a->claim.account, b->claim.account);
		ASSERT_SAME_STR(a->claim.key, b->claim.key);
		ASSERT_SAME_DIGEST(a->claim.fingerprint, b->claim.fingerprint);
		ASSERT_SAME(a->claim.remaining_us, b->claim.remaining_us);
	} else if (a->type == PEER_CLAIM_ANSWER) {
		ASSERT_SAME(a->claim_answer.result, b->claim_answer.result);
		ASSERT_SAME(a->claim_answer.claim_id, b->claim_answer.claim_id);
		assert_same_stored(&a->claim_answer.stored,
				   &b->claim_answer.stored);
	} else if (a->type == PEER_COMPLETE) {
		ASSERT_SAME_STR(a->complete.account, b->complete.account);
		ASSERT_SAME_STR(a->complete.key, b->complete.key);
		ASSERT_SAME(a->complete.claim_id, b->complete.claim_id);
		ASSERT_SAME(a->complete.outcome, b->complete.outcome);
		assert_same_stored(&a->complete.stored, &b->complete.stored);
	} else {
		ASSERT_SAME_STR(a->release.account, b->release.account);
		ASSERT_SAME_STR(a->release.key, b->release.key);
		ASSERT_SAME(a->release.claim_id, b->release.claim_id);
	}
}

static void assert_same_rate(const struct peer_message *a,
			     const struct peer_message *b)
{
	size_t i;

	if (a->type == PEER_RATE_GRANT) {
		ASSERT_SAME_STR(a->rate_grant.account, b->rate_grant.account);
		ASSERT_SAME(a->rate_grant.sequence, b->rate_grant.sequence);
		ASSERT_SAME(a->rate_grant.grant_id, b->rate_grant.grant_id);
		ASSERT_SAME(a->rate_grant.granted_mtok,
			    b->rate_grant.granted_mtok);
		ASSERT_SAME(a->rate_grant.lifetime_us,
			    b->rate_grant.lifetime_us);
		ASSERT_SAME(a->rate_grant.wait_us, b->rate_grant.wait_us);
		ASSERT_SAME(a->rate_grant.incarnation,
			    b->rate_grant.incarnation);
		ASSERT_SAME(a->rate_grant.holder, b->rate_grant.holder);
		ASSERT_SAME(a->rate_grant.status, b->rate_grant.status);
		return;
	}
	ASSERT_SAME_STR(a->rate_ask.account, b->rate_ask.account);
	ASSERT_SAME_STR(a->rate_ask.vm, b->rate_ask.vm);
	ASSERT_SAME(a->rate_ask.incarnation, b->rate_ask.incarnation);
	ASSERT_SAME(a->rate_ask.sequence, b->rate_ask.sequence);
	ASSERT_SAME(a->rate_ask.wanted_mtok, b->rate_ask.wanted_mtok);
	ASSERT_SAME(a->rate_ask.ahead_mtok, b->rate_ask.ahead_mtok);
	ASSERT_SAME(a->rate_ask.holder, b->rate_ask.holder);
	ASSERT_SAME(a->rate_ask.returns.count, b->rate_ask.returns.count);
	for (i = 0; i < a->rate_ask.returns.count; i++) {
		const struct peer_rate_return *x =
			&a->rate_ask.returns.items[i];
		const struct peer_rate_return *y =
			&b->rate_ask.returns.items[i];

		ASSERT_SAME(x->grant_id, y->grant_id);
		ASSERT_SAME(x->used_mtok, y->used_mtok);
		ASSERT_SAME(x->returned_mtok, y->returned_mtok);
	}
}

static void assert_same_suspect(const struct peer_message *a,
				const struct peer_message *b)
{
	if (a->type == PEER_SUSPECT_ANSWER) {
		ASSERT_SAME(a->suspect_answer.verdict,
			    b->suspect_answer.verdict);
		ASSERT_SAME(a->suspect_answer.permit_id,
			    b->suspect_answer.permit_id);
		ASSERT_SAME(a->suspect_answer.lifetime_us,
			    b->suspect_answer.lifetime_us);
		ASSERT_SAME(a->suspect_answer.wait_us,
			    b->suspect_answer.wait_us);
	} else if (a->type == PEER_SUSPECT_ASK) {
		ASSERT_SAME_STR(a->suspect_ask.service, b->suspect_ask.service);
		ASSERT_SAME_DIGEST(a->suspect_ask.fingerprint,
				   b->suspect_ask.fingerprint);
		ASSERT_SAME(a->suspect_ask.state, b->suspect_ask.state);
		ASSERT_SAME(a->suspect_ask.round, b->suspect_ask.round);
		ASSERT_SAME(a->suspect_ask.remaining_us,
			    b->suspect_ask.remaining_us);
	} else {
		ASSERT_SAME_STR(a->suspect.service, b->suspect.service);
		ASSERT_SAME_DIGEST(a->suspect.fingerprint,
				   b->suspect.fingerprint);
		ASSERT_SAME(a->suspect.state, b->suspect.state);
		ASSERT_SAME(a->suspect.round, b->suspect.round);
		ASSERT_SAME(a->suspect.permit_id, b->suspect.permit_id);
	}
}

static void assert_same_config(const struct peer_message *a,
			       const struct peer_message *b)
{
	if (a->type == PEER_CONFIG_ANNOUNCE) {
		ASSERT_SAME(a->config_announce.version,
			    b->config_announce.version);
		ASSERT_SAME_DIGEST(a->config_announce.hash,
				   b->config_announce.hash);
		ASSERT_SAME(a->config_announce.since_outage_us,
			    b->config_announce.since_outage_us);
		ASSERT_SAME(a->config_announce.current_us,
			    b->config_announce.current_us);
		ASSERT_SAME(a->config_announce.steady_us,
			    b->config_announce.steady_us);
	} else if (a->type == PEER_CONFIG_GET) {
		ASSERT_SAME_STR(a->config_get.key, b->config_get.key);
	} else {
		ASSERT_SAME_STR(a->config_value.key, b->config_value.key);
		ASSERT_SAME(a->config_value.version, b->config_value.version);
		ASSERT_SAME_DIGEST(a->config_value.hash, b->config_value.hash);
		ASSERT_SAME(a->config_value.found, b->config_value.found);
		ASSERT_SAME_STR(a->config_value.value, b->config_value.value);
	}
}

void sample_assert_equal(const struct peer_message *a,
			 const struct peer_message *b)
{
	ASSERT_SAME(a->type, b->type);
	ASSERT_SAME(a->id, b->id);
	ASSERT_SAME(a->sent_at, b->sent_at);
	if (a->type == PEER_HELLO) {
		ASSERT_SAME_STR(a->hello.vm, b->hello.vm);
		ASSERT_SAME(a->hello.incarnation, b->hello.incarnation);
		ASSERT_SAME(a->hello.version, b->hello.version);
	} else if (a->type == PEER_HEARTBEAT) {
		assert_same_heartbeat(&a->heartbeat, &b->heartbeat);
	} else if (a->type == PEER_REQUEST) {
		assert_same_request(&a->request, &b->request);
	} else if (a->type == PEER_ANSWER) {
		assert_same_answer(&a->answer, &b->answer);
	} else if (a->type >= PEER_CLAIM && a->type <= PEER_RELEASE) {
		assert_same_claim(a, b);
	} else if (a->type == PEER_RATE_ASK || a->type == PEER_RATE_GRANT) {
		assert_same_rate(a, b);
	} else if (a->type >= PEER_SUSPECT && a->type <= PEER_SUSPECT_ANSWER) {
		assert_same_suspect(a, b);
	} else if (a->type >= PEER_CONFIG_ANNOUNCE) {
		assert_same_config(a, b);
	}
}
