/* Tests of config_set_check() and of upgrading older schemas. */
#include "fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

#define HEX64 "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static void expect(struct config_set *set, const char *expected)
{
	char *problems = fixture_problems(set);

	cr_expect(eq(str, problems, (char *)expected));
	free(problems);
}

Test(check, accepts_a_valid_set)
{
	expect(fixture_set(2, fixture_objects), "");
}

/* Guards against replacing a working configuration by an empty one. */
Test(check, refuses_an_empty_set)
{
	expect(fixture_set(2, ""), "   : the set has no objects\n");
}

Test(check, reports_dangling_references)
{
	expect(fixture_set_with(
		       "{\"kind\":\"vm\",\"name\":\"v\",\"failure_domain\":"
		       "\"n9\",\"service\":\"shoe\",\"peer_address\":"
		       "\"127.0.0.1:1\"},"
		       "{\"kind\":\"failure_domain\",\"name\":\"n3\","
		       "\"region\":\"south\",\"state\":\"out\"}"),
	       "vm v failure_domain \"n9\": there is no failure_domain of "
	       "this name\n"
	       "vm v service \"shoe\": there is no service of this name\n"
	       "failure_domain n3 region \"south\": there is no region of "
	       "this name\n"
	       "account gone burst 2: below the number of failure domains, "
	       "3\n");
}

Test(check, reports_duplicates)
{
	expect(fixture_set_with("{\"kind\":\"region\",\"name\":\"north\"},"
				"{\"kind\":\"key\",\"name\":\"k\",\"account\":"
				"\"gone\",\"id\":\"k1\",\"hash\":\"aaaaaaaaaaaa"
				"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
				"aaaaaa\"},"
				"{\"kind\":\"vm\",\"name\":\"v\",\"service\":"
				"\"shop\",\"failure_domain\":\"n1\","
				"\"peer_address\":\"127.0.0.1:7101\"}"),
	       "region north name \"north\": duplicate name, first in "
	       "test.json\n"
	       "key k id \"k1\": already used by key \"acme-1\"\n"
	       "key k hash \"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	       "aaaaaaaaaaaaaa\": already used by key \"acme-1\"\n"
	       "vm v peer_address \"127.0.0.1:7101\": already used by vm "
	       "\"shop-1\"\n");
}

/* Guards against two equal routes, of which one can never match. */
Test(check, reports_routes_of_equal_method_and_path)
{
	expect(fixture_set_with(
		       "{\"kind\":\"route\",\"name\":\"z\",\"method\":\"any\","
		       "\"path_prefix\":\"/shop/orders\",\"service\":\"shop\","
		       "\"priority\":\"orders\",\"idempotent\":true,"
		       "\"open\":false,\"timeout_ms\":1,"
		       "\"max_body_bytes\":0}"),
	       "route z path_prefix \"/shop/orders\": already used by route "
	       "\"order\" with the same method\n");
}

Test(check, reports_unknown_missing_and_malformed_fields)
{
	expect(fixture_set_with(
		       "{\"kind\":\"account\",\"name\":\"a b\",\"rate\":0,"
		       "\"burst\":10000001,\"weight\":1.5,\"colour\":\"red\"},"
		       "{\"kind\":\"key\",\"name\":\"k\",\"account\":7,"
		       "\"id\":\"a_b\",\"hash\":\"xyz\",\"state\":\"lost\"},"
		       "{\"kind\":\"route\",\"name\":\"r\",\"method\":\"get\","
		       "\"path_prefix\":\"/a//b\",\"service\":\"shop\","
		       "\"priority\":\"orders\",\"idempotent\":\"yes\","
		       "\"open\":false,\"timeout_ms\":0}"),
	       "account a b name \"a b\": not 1 to 64 letters, digits, '.', "
	       "'_' and '-'\n"
	       "account a b colour \"red\": unknown field\n"
	       "account a b rate 0: out of range 1 to 1000000\n"
	       "account a b burst 10000001: out of range 1 to 10000000\n"
	       "account a b weight 1.5: not a whole number\n"
	       "key k account 7: not the name of an object of kind account\n"
	       "key k id \"a_b\": not 1 to 64 letters and digits\n"
	       "key k hash \"xyz\": not 64 lower-case hexadecimal digits\n"
	       "key k state \"lost\": not \"active\" or \"withdrawn\"\n"
	       "route r method \"get\": not an upper-case method or \"any\"\n"
	       "route r path_prefix \"/a//b\": not a path from the root "
	       "without empty or dot segments, query or trailing slash\n"
	       "route r idempotent \"yes\": not true or false\n"
	       "route r timeout_ms 0: out of range 1 to 3600000\n"
	       "route r max_body_bytes : required field is missing\n");
}

Test(check, reports_unreadable_objects)
{
	expect(fixture_set_with("7,{\"kind\":\"cat\",\"name\":\"a\"},"
				"{\"name\":\"b\"},{\"kind\":\"vm\"}"),
	       "   7: not an object\n"
	       "cat a kind \"cat\": unknown kind\n"
	       " b kind : kind is missing\n"
	       "vm  name : name is missing\n");
}

Test(check, reports_cycles_and_forks_between_priorities)
{
	expect(fixture_set_with(
		       "{\"kind\":\"priority\",\"name\":\"a\",\"above\":"
		       "\"b\"},"
		       "{\"kind\":\"priority\",\"name\":\"b\",\"above\":"
		       "\"a\"},"
		       "{\"kind\":\"priority\",\"name\":\"fork\",\"above\":"
		       "\"browse\"},"
		       "{\"kind\":\"priority\",\"name\":\"low\"}"),
	       "priority a above \"b\": cycle: the chain returns to this "
	       "priority\n"
	       "priority b above \"a\": cycle: the chain returns to this "
	       "priority\n"
	       "priority low above : fork: priority \"browse\" is also a "
	       "lowest priority\n"
	       "priority orders above \"browse\": fork: priority \"fork\" is "
	       "directly above the same priority\n");
}

/*
 * Guards against an unbounded run time of the check, which grows with the
 * square of the number of priorities.
 */
Test(check, reports_too_many_priorities)
{
	BASE_CLEANUP(base_buf_release) struct base_buf more = BASE_BUF_INIT;
	int i;

	for (i = 0; i < 31; i++)
		base_buf_addf(&more,
			      "%s{\"kind\":\"priority\",\"name\":\"p%d\"}",
			      i ? "," : "", i);
	expect(fixture_set_with(more.ptr),
	       "priority p9 name : more than 32 priorities\n");
}

Test(check, reports_services_without_servers_and_excess_cold_slots)
{
	expect(fixture_set_with("{\"kind\":\"service\",\"name\":\"s\","
				"\"slots\":1,\"connections\":1,"
				"\"cold_slots\":2,\"cold_ms\":0}"),
	       "service s name \"s\": service without servers: no vm names "
	       "it\n"
	       "service s cold_slots 2: greater than slots\n");
}

/*
 * Guards against non-idempotent requests, such as orders, being shed before
 * idempotent requests of the same service.
 */
Test(check, reports_non_idempotent_routes_below_idempotent_ones)
{
	expect(fixture_set_with(
		       "{\"kind\":\"route\",\"name\":\"fast\",\"method\":"
		       "\"GET\",\"path_prefix\":\"/x\",\"service\":\"shop\","
		       "\"priority\":\"orders\",\"idempotent\":true,"
		       "\"open\":false,\"timeout_ms\":1,\"max_body_bytes\":0},"
		       "{\"kind\":\"route\",\"name\":\"pay\",\"method\":"
		       "\"POST\",\"path_prefix\":\"/x\",\"service\":\"shop\","
		       "\"priority\":\"browse\",\"idempotent\":false,"
		       "\"open\":false,\"timeout_ms\":1,"
		       "\"max_body_bytes\":0}"),
	       "route pay priority \"browse\": non-idempotent route in a "
	       "lower priority than idempotent route \"fast\" of the same "
	       "service\n");
}

Test(check, reports_parts_over_the_value_limit)
{
	BASE_CLEANUP(base_buf_release) struct base_buf more = BASE_BUF_INIT;
	char *problems;
	int i;

	for (i = 0; i < 30000; i++)
		base_buf_addf(&more, "%s{\"kind\":\"region\",\"name\":\"r%d\"}",
			      i ? "," : "", i);
	problems = fixture_problems(fixture_set_with(more.ptr));
	cr_expect(eq(int, strncmp(problems, "part topology size 1", 20), 0));
	cr_expect(
		ne(ptr, strstr(problems, ": value over 1000000 bytes"), NULL));
	free(problems);
}

static const char schema1_objects[] =
	"{\"kind\":\"region\",\"name\":\"r\"},"
	"{\"kind\":\"failure_domain\",\"name\":\"d\",\"region\":\"r\"},"
	"{\"kind\":\"service\",\"name\":\"s\",\"slots\":1,\"connections\":1,"
	"\"cold_slots\":1,\"cold_ms\":0},"
	"{\"kind\":\"vm\",\"name\":\"v\",\"failure_domain\":\"d\","
	"\"service\":\"s\",\"peer_address\":\"127.0.0.1:1\"},"
	"{\"kind\":\"account\",\"name\":\"old\",\"rate\":9,\"burst\":4,"
	"\"state\":\"cancelled\"},"
	"{\"kind\":\"key\",\"name\":\"k\",\"account\":\"old\",\"id\":\"k1\","
	"\"hash\":\"" HEX64 "\"},"
	"{\"kind\":\"priority\",\"name\":\"p\"},"
	"{\"kind\":\"route\",\"name\":\"x\",\"method\":\"GET\","
	"\"path_prefix\":\"/\",\"service\":\"s\",\"priority\":\"p\","
	"\"idempotent\":true,\"timeout_ms\":5}";

/*
 * Guards against objects of an older schema that no longer load, for example
 * those of an account that was cancelled a year before.
 */
Test(schema, upgrades_old_objects_of_a_cancelled_account)
{
	const struct config_snapshot *s =
		fixture_load(fixture_set(1, schema1_objects));

	cr_assert(s->accounts[0].cancelled);
	cr_assert(eq(i64, s->accounts[0].rate, 9));
	cr_assert(eq(i64, s->accounts[0].weight, 1));
	cr_assert(not(s->keys[0].withdrawn));
	cr_assert(not(s->routes[0].open));
	cr_assert(eq(i64, s->routes[0].max_body_bytes, 1048576));
	config_snapshot_unref(s);
}

/*
 * Guards against a wrong number in "schema" that exempts a field from the
 * check.
 */
Test(schema, reports_fields_that_the_schema_does_not_have)
{
	expect(fixture_set(1, "{\"kind\":\"account\",\"name\":\"a\","
			      "\"rate\":1,\"burst\":1,\"weight\":2}"),
	       "account a weight 2: not a field of schema 1\n");
}

/* Guards against a rejected document that leaves some objects in the set. */
Test(schema, refuses_documents_that_it_cannot_read)
{
	static const struct {
		const char *text;
		enum config_status status;
	} cases[] = {
		{ "{", CONFIG_ERR_SYNTAX },
		{ "", CONFIG_ERR_SYNTAX },
		{ "[]", CONFIG_ERR_SYNTAX },
		{ "{\"schema\":2,\"objects\":{}}", CONFIG_ERR_SYNTAX },
		{ "{\"schema\":2,\"schema\":2,\"objects\":[]}",
		  CONFIG_ERR_SYNTAX },
		{ "{\"schema\":2,\"objects\":[{\"kind\":\"region\","
		  "\"name\":\"a\",\"name\":\"b\"}]}",
		  CONFIG_ERR_SYNTAX },
		{ "{\"schema\":3,\"objects\":[]}", CONFIG_ERR_SCHEMA },
		{ "{\"objects\":[]}", CONFIG_ERR_SCHEMA },
	};
	struct config_set *set = config_set_create();
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		struct base_error err = { "" };

		cr_expect(eq(int,
			     config_set_add(set, "f",
					    base_str_from(cases[i].text), &err),
			     cases[i].status),
			  "%s", cases[i].text);
		cr_expect(gt(sz, strlen(err.message), 0));
	}
	cr_assert(eq(sz, config_set_count(set), 0));
	config_set_destroy(set);
}
