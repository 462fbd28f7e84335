/* Tests of building a snapshot from documents, and of look-ups. */
#include "fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pthread.h>
#include <string.h>

static bool is_name(struct base_str name, const char *expected)
{
	return base_str_equal(name, base_str_from(expected));
}

/* Guards against fields or references lost in publishing and loading. */
Test(snapshot, holds_every_field_after_publication)
{
	const struct config_snapshot *s =
		fixture_load(fixture_set(2, fixture_objects));
	const struct config_vm *vm =
		config_snapshot_find_vm(s, BASE_STR("shop-2"));
	const struct config_account *gone =
		config_snapshot_find_account(s, BASE_STR("gone"));
	const struct config_key *key =
		config_snapshot_find_key(s, BASE_STR("k1"));

	cr_assert(eq(i64, s->version, 7));
	cr_assert(is_name(vm->domain->name, "n2"));
	cr_assert(vm->domain->out && vm->leaving);
	cr_assert(is_name(vm->domain->region->name, "north"));
	cr_assert(eq(str, (char *)vm->address.ptr, "[::1]:7102"));
	cr_assert(eq(sz, vm->service->vm_count, 2));
	cr_assert(eq(ptr, (void *)vm->service->vms[1], (void *)vm));
	cr_assert(eq(i64, vm->service->cold_us, 3000000));
	cr_assert(gone->cancelled && gone->burst == 2);
	cr_assert(is_name(key->account->name, "acme"));
	cr_assert(eq(u8, key->digest.bytes[31], 0xaa));
	cr_assert(eq(i64, key->account->weight, 3));
	cr_assert(is_name(s->priorities[0].name, "orders"));
	cr_assert(eq(u32, s->priorities[1].level, 1));
	config_snapshot_unref(s);
}

/* Guards against a prefix that matches part of a path segment. */
Test(snapshot, matches_the_longest_prefix_on_segment_boundaries)
{
	static const struct {
		const char *method, *path, *route;
	} cases[] = {
		{ "GET", "/shop", "list" },
		{ "GET", "/shop/", "list" },
		{ "GET", "/shop?x=/shop/orders", "list" },
		{ "GET", "/shop/ordersheet", "list" },
		{ "GET", "/shop/orders/1", "fetch" },
		{ "POST", "/shop/orders?x", "order" },
		{ "GET", "/shop/orders/1/2/3", "fetch" },
		{ "POST", "/shop", NULL },
		{ "GET", "/shopping", NULL },
		{ "GET", "", NULL },
		{ "GET", "shop", NULL },
	};
	const struct config_snapshot *s = fixture_load(fixture_set_with(
		"{\"kind\":\"route\",\"name\":\"fetch\",\"method\":\"GET\","
		"\"path_prefix\":\"/shop/orders\",\"service\":\"shop\","
		"\"priority\":\"browse\",\"idempotent\":true,\"open\":false,"
		"\"timeout_ms\":500,\"max_body_bytes\":0}"));
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		const struct config_route *route = config_snapshot_match_route(
			s, BASE_STR("shop.example"),
			base_str_from(cases[i].method),
			base_str_from(cases[i].path));

		if (cases[i].route)
			cr_expect(route && is_name(route->name, cases[i].route),
				  "%s", cases[i].path);
		else
			cr_expect(eq(ptr, (void *)route, NULL), "%s",
				  cases[i].path);
	}
	config_snapshot_unref(s);
}

/* Guards against daemons that disagree about which VM owns a key. */
Test(snapshot, ranks_vms_by_rendezvous_weight_within_the_filter)
{
	const struct config_snapshot *s =
		fixture_load(fixture_set(2, fixture_objects));
	const struct config_vm *out[4];
	struct base_str key = BASE_STR("some-key");
	uint64_t first, second;

	cr_assert(eq(sz, config_snapshot_rank_vms(s, key, NULL, NULL, out, 4),
		     2));
	first = base_rendezvous_weight(key, out[0]->name);
	second = base_rendezvous_weight(key, out[1]->name);
	cr_assert(gt(u64, first, second));
	cr_assert(eq(sz, config_snapshot_rank_vms(s, key, NULL, NULL, out, 1),
		     1));
	cr_assert(eq(sz,
		     config_snapshot_rank_vms(
			     s, key,
			     config_snapshot_find_domain(s, BASE_STR("n2")),
			     &s->services[0], out, 4),
		     1));
	cr_assert(is_name(out[0]->name, "shop-2"));
	config_snapshot_unref(s);
}

/*
 * Guards against results that depend on the limit: with a lower limit the
 * function must return the first VMs of the full ranking.
 */
Test(snapshot, a_shorter_ranking_is_the_start_of_a_longer_one)
{
	BASE_CLEANUP(base_buf_release) struct base_buf more = BASE_BUF_INIT;
	const struct config_snapshot *s;
	const struct config_vm *all[64];
	const struct config_vm *some[64];
	struct base_str key = BASE_STR("k");
	size_t i, n;

	for (i = 0; i < 40; i++)
		base_buf_addf(&more,
			      "%s{\"kind\":\"vm\",\"name\":\"v%zu\","
			      "\"failure_domain\":\"n1\",\"service\":"
			      "\"shop\",\"peer_address\":\"127.0.0.1:%zu\"}",
			      i ? "," : "", i, 8000 + i);
	s = fixture_load(fixture_set_with(more.ptr));
	cr_assert(eq(sz, config_snapshot_rank_vms(s, key, NULL, NULL, all, 64),
		     42));
	for (i = 1; i < 42; i++)
		cr_assert(ge(u64, base_rendezvous_weight(key, all[i - 1]->name),
			     base_rendezvous_weight(key, all[i]->name)));
	for (n = 0; n <= 42; n++) {
		cr_assert(eq(
			sz,
			config_snapshot_rank_vms(s, key, NULL, NULL, some, n),
			n));
		for (i = 0; i < n; i++)
			cr_assert(eq(ptr, (void *)some[i], (void *)all[i]));
	}
	config_snapshot_unref(s);
}

static bool fetch_fixed_bytes(void *ctx, const struct config_part *part,
			      struct base_str *bytes)
{
	struct base_str *copy = ctx;

	(void)part;
	*bytes = *copy;
	return copy->ptr != NULL;
}

/* Guards against accepting a part that is truncated or missing. */
Test(snapshot, refuses_missing_and_damaged_parts)
{
	struct config_set *set = fixture_set(2, fixture_objects);
	struct base_error err;
	enum config_status status;
	struct config_publication *pub =
		config_set_render(set, 1, &status, &err);
	struct config_manifest *m = config_manifest_parse(
		base_buf_str(&pub->manifest), &status, &err);
	struct base_str bytes = base_buf_str(&pub->parts[0].bytes);

	bytes.len--;
	cr_assert(eq(ptr,
		     (void *)config_snapshot_create(
			     m, fetch_fixed_bytes, &bytes, NULL, &status, &err),
		     NULL));
	cr_assert(eq(int, status, CONFIG_ERR_DIGEST));
	m->parts[0].size--;
	cr_assert(eq(
		ptr,
		(void *)config_snapshot_create(m, config_publication_fetch_part,
					       pub, NULL, &status, &err),
		NULL));
	cr_assert(eq(int, status, CONFIG_ERR_DIGEST));
	bytes = BASE_STR_NONE;
	cr_assert(eq(ptr,
		     (void *)config_snapshot_create(
			     m, fetch_fixed_bytes, &bytes, NULL, &status, &err),
		     NULL));
	cr_assert(eq(int, status, CONFIG_ERR_MISSING));
	config_manifest_destroy(m);
	config_publication_destroy(pub);
	config_set_destroy(set);
}

/* Guards against relying on the check that the publisher made. */
Test(snapshot, repeats_the_whole_check)
{
	struct base_error err;
	enum config_status status;
	struct config_report report = CONFIG_REPORT_INIT;
	struct base_str text = BASE_STR(
		"{\"schema\":2,\"objects\":[{\"kind\":\"failure_domain\","
		"\"name\":\"a\",\"region\":\"nowhere\"}]}");
	struct config_part part = { "topology", base_digest_of(text),
				    text.len };
	struct config_manifest manifest = { .version = 1,
					    .parts = &part,
					    .part_count = 1 };

	cr_assert(eq(ptr,
		     (void *)config_snapshot_create(&manifest,
						    fetch_fixed_bytes, &text,
						    &report, &status, &err),
		     NULL));
	cr_assert(eq(int, status, CONFIG_ERR_PROBLEMS));
	cr_assert(eq(sz, report.count, 1));
	config_report_release(&report);
}

static void *ref_and_unref(void *arg)
{
	const struct config_snapshot *s = arg;
	int i;

	for (i = 0; i < 10000; i++)
		config_snapshot_unref(config_snapshot_ref(s));
	config_snapshot_unref(s);
	return NULL;
}

/* Guards against lost updates of the reference count between threads. */
Test(snapshot, references_may_be_taken_by_any_thread)
{
	const struct config_snapshot *s =
		fixture_load(fixture_set(2, fixture_objects));
	pthread_t threads[4];
	size_t i;

	for (i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, ref_and_unref,
			       (void *)config_snapshot_ref(s));
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	cr_assert(eq(sz, s->vm_count, 2));
	config_snapshot_unref(s);
}
