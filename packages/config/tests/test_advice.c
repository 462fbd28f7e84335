/* Tests of config_set_advise(). */
#include "fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>
#include <string.h>

/* Compares the advice, one "kind name field: reason" a line. */
static void expect_advice(struct config_set *set, const char *expected)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	struct config_report report = CONFIG_REPORT_INIT;
	size_t i;

	config_set_advise(set, &report);
	for (i = 0; i < report.count; i++)
		base_buf_addf(&text, "%s %s %s: %s\n", report.problems[i].kind,
			      report.problems[i].name, report.problems[i].field,
			      report.problems[i].reason);
	cr_expect(eq(str, text.ptr ? text.ptr : (char *)"", (char *)expected));
	config_report_release(&report);
	config_set_destroy(set);
}

/* Guards against advice on entries that are in use. */
Test(advice, has_none_on_a_set_in_use)
{
	expect_advice(fixture_set_with(""), "");
}

/* Guards against entries that nobody notices to be without effect. */
Test(advice, names_entries_without_effect)
{
	expect_advice(
		fixture_set_with(
			"{\"kind\":\"region\",\"name\":\"east\"},"
			"{\"kind\":\"failure_domain\",\"name\":\"n3\","
			"\"region\":\"north\"},"
			"{\"kind\":\"account\",\"name\":\"idle\",\"rate\":5,"
			"\"burst\":5,\"weight\":1},"
			"{\"kind\":\"key\",\"name\":\"old\",\"account\":"
			"\"gone\",\"id\":\"k9\",\"hash\":\"00\"}"),
		"region east name: no failure_domain is in it\n"
		"failure_domain n3 name: no vm is in it\n"
		"account idle name: no request matches: no active key belongs "
		"to the account\n"
		"key old account: requests with this key are refused: the "
		"account is cancelled\n");
}

/*
 * Guards against a change that leaves a route without servers, and against
 * limits of which one can never be reached.
 */
Test(advice, names_routes_without_servers_and_contradicting_limits)
{
	expect_advice(
		fixture_set_with(
			"{\"kind\":\"service\",\"name\":\"depot\",\"slots\":9,"
			"\"connections\":4,\"cold_slots\":2,\"cold_ms\":0},"
			"{\"kind\":\"vm\",\"name\":\"depot-1\","
			"\"failure_domain\":\"n2\",\"service\":\"depot\","
			"\"peer_address\":\"127.0.0.1:7109\"},"
			"{\"kind\":\"route\",\"name\":\"stock\",\"method\":"
			"\"GET\",\"path_prefix\":\"/stock\",\"service\":"
			"\"depot\",\"priority\":\"browse\",\"idempotent\":true,"
			"\"open\":true,\"timeout_ms\":500,\"max_body_bytes\":0}"),
		"route stock service: all requests are refused: each vm of the "
		"service is leaving or in a failure_domain that is out\n"
		"service depot connections: below slots: a request needs a "
		"connection, so some slots are never used\n"
		"service depot cold_slots: has no effect with a cold_ms of 0\n");
}
