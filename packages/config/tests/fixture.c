/* A small valid set and helpers to check and load sets. */
#include "fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const char fixture_objects[] =
	"{\"kind\":\"region\",\"name\":\"north\"},"
	"{\"kind\":\"failure_domain\",\"name\":\"n1\",\"region\":\"north\"},"
	"{\"kind\":\"failure_domain\",\"name\":\"n2\",\"region\":\"north\","
	"\"state\":\"out\"},"
	"{\"kind\":\"service\",\"name\":\"shop\",\"slots\":10,"
	"\"connections\":70,\"cold_slots\":2,\"cold_ms\":3000},"
	"{\"kind\":\"vm\",\"name\":\"shop-1\",\"failure_domain\":\"n1\","
	"\"service\":\"shop\",\"peer_address\":\"127.0.0.1:7101\"},"
	"{\"kind\":\"vm\",\"name\":\"shop-2\",\"failure_domain\":\"n2\","
	"\"service\":\"shop\",\"peer_address\":\"[::1]:7102\","
	"\"state\":\"leaving\"},"
	"{\"kind\":\"account\",\"name\":\"acme\",\"rate\":50,\"burst\":20,"
	"\"weight\":3},"
	"{\"kind\":\"account\",\"name\":\"gone\",\"rate\":5,\"burst\":2,"
	"\"weight\":1,\"state\":\"cancelled\"},"
	"{\"kind\":\"key\",\"name\":\"acme-1\",\"account\":\"acme\","
	"\"id\":\"k1\",\"hash\":\"" HASH_A "\"},"
	"{\"kind\":\"priority\",\"name\":\"orders\",\"above\":\"browse\"},"
	"{\"kind\":\"priority\",\"name\":\"browse\"},"
	"{\"kind\":\"route\",\"name\":\"list\",\"method\":\"GET\","
	"\"path_prefix\":\"/shop\",\"service\":\"shop\","
	"\"priority\":\"browse\",\"idempotent\":true,\"open\":true,"
	"\"timeout_ms\":500,\"max_body_bytes\":0},"
	"{\"kind\":\"route\",\"name\":\"order\",\"method\":\"any\","
	"\"path_prefix\":\"/shop/orders\",\"service\":\"shop\","
	"\"priority\":\"orders\",\"idempotent\":false,\"open\":false,"
	"\"timeout_ms\":2000,\"max_body_bytes\":4096}";

static void add(struct config_set *set, int schema, const char *objects)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	struct base_error err = { "" };
	enum config_status status;

	base_buf_addf(&text, "{\"schema\":%d,\"objects\":[%s]}", schema,
		      objects);
	status = config_set_add(set, "test.json", base_buf_str(&text), &err);
	cr_assert(eq(int, status, CONFIG_OK), "%s", err.message);
}

struct config_set *fixture_set(int schema, const char *objects)
{
	struct config_set *set = config_set_create();

	add(set, schema, objects);
	return set;
}

struct config_set *fixture_set_with(const char *more)
{
	struct config_set *set = fixture_set(2, fixture_objects);

	add(set, 2, more);
	return set;
}

const struct config_snapshot *fixture_load(struct config_set *set)
{
	struct base_error err = { "" };
	enum config_status status;
	struct config_publication *pub =
		config_set_render(set, 7, &status, &err);
	struct config_manifest *manifest;
	const struct config_snapshot *snapshot;

	cr_assert(ne(ptr, pub, NULL), "%s", err.message);
	manifest = config_manifest_parse(base_buf_str(&pub->manifest), &status,
					 &err);
	cr_assert(ne(ptr, manifest, NULL), "%s", err.message);
	snapshot =
		config_snapshot_create(manifest, config_publication_fetch_part,
				       pub, NULL, &status, &err);
	cr_assert(ne(ptr, (void *)snapshot, NULL), "%s", err.message);
	config_manifest_destroy(manifest);
	config_publication_destroy(pub);
	config_set_destroy(set);
	return snapshot;
}

char *fixture_problems(struct config_set *set)
{
	struct config_report report = CONFIG_REPORT_INIT;
	struct base_buf lines = BASE_BUF_INIT;
	enum config_status status = config_set_check(set, &report);
	size_t i;

	cr_assert(eq(int, status,
		     report.count ? CONFIG_ERR_PROBLEMS : CONFIG_OK));
	base_buf_addf(&lines, "%s", "");
	for (i = 0; i < report.count; i++) {
		const struct config_problem *p = &report.problems[i];

		base_buf_addf(&lines, "%s %s %s %s: %s\n", p->kind, p->name,
			      p->field, p->value, p->reason);
	}
	config_report_release(&report);
	config_set_destroy(set);
	return lines.ptr;
}
