/* Tests of publications, manifests, diffs, VM lists and credentials. */
#include "fixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>
#include <string.h>

static struct config_publication *render(struct config_set *set)
{
	struct base_error err = { "" };
	enum config_status status;
	struct config_publication *pub =
		config_set_render(set, 3, &status, &err);

	cr_assert(ne(ptr, pub, NULL), "%s", err.message);
	config_set_destroy(set);
	return pub;
}

/*
 * Guards against part hashes that change when only the order of files or of the
 * objects in them changes.
 */
Test(publication, does_not_depend_on_the_order_of_objects)
{
	const char *extra = "{\"name\":\"south\",\"kind\":\"region\"}";
	struct config_set *set = fixture_set(2, extra);
	struct config_publication *a, *b;
	struct base_buf text = BASE_BUF_INIT;

	base_buf_addf(&text, "{\"schema\":2,\"objects\":[%s]}",
		      fixture_objects);
	config_set_add(set, "x", base_buf_str(&text), NULL);
	base_buf_release(&text);
	a = render(set);
	b = render(fixture_set_with(extra));
	cr_assert(eq(str, a->manifest.ptr, b->manifest.ptr));
	config_publication_destroy(a);
	config_publication_destroy(b);
}

/* Guards against daemons having to fetch parts that did not change. */
Test(publication, a_change_touches_one_part)
{
	struct config_publication *a = render(fixture_set(2, fixture_objects));
	struct config_publication *b = render(fixture_set_with(
		"{\"kind\":\"priority\",\"name\":\"top\",\"above\":"
		"\"orders\"}"));
	size_t changed = 0;
	size_t i;

	cr_assert(eq(sz, a->part_count, b->part_count));
	for (i = 0; i < a->part_count; i++) {
		if (base_digest_equal(&a->parts[i].part.digest,
				      &b->parts[i].part.digest))
			continue;
		cr_expect(eq(str, b->parts[i].part.name, "priorities"));
		changed++;
	}
	cr_assert(eq(sz, changed, 1));
	config_publication_destroy(a);
	config_publication_destroy(b);
}

Test(publication, is_refused_for_a_set_with_problems)
{
	struct config_set *set = fixture_set(2, "");
	struct base_error err = { "" };
	enum config_status status;

	cr_assert(eq(ptr, config_set_render(set, 1, &status, &err), NULL));
	cr_assert(eq(int, status, CONFIG_ERR_PROBLEMS));
	cr_assert(ne(ptr, strstr(err.message, "no objects"), NULL));
	cr_assert(eq(ptr, config_set_render(set, 0, &status, &err), NULL));
	cr_assert(eq(int, status, CONFIG_ERR_INVALID));
	config_set_destroy(set);
}

#define PART_START "{\"name\":\"a\",\"size\":1,\"hash\":\""
#define HEX64 "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"

/* Guards against accepting an incomplete or invalid manifest. */
Test(manifest, refuses_malformed_manifests)
{
	static const char *const texts[] = {
		"",
		"{\"schema\":2,\"version\":1}",
		"{\"schema\":1,\"version\":1,\"parts\":[]}",
		"{\"schema\":2,\"version\":0,\"parts\":[]}",
		"{\"schema\":2,\"version\":\"1\",\"parts\":[]}",
		"{\"schema\":2,\"version\":1,\"version\":2,\"parts\":[]}",
		"{\"schema\":2,\"version\":1,\"parts\":[],\"x\":1}",
		"{\"schema\":2,\"version\":1,\"parts\":[" PART_START "c\"}]}",
		"{\"schema\":2,\"version\":1,\"parts\":[" PART_START HEX64
		"\"}," PART_START HEX64 "\"}]}",
		"{\"schema\":2,\"version\":1,\"parts\":[{\"name\":\"a\","
		"\"size\":1000001,\"hash\":\"" HEX64 "\"}]}",
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(texts); i++) {
		struct base_error err = { "" };
		enum config_status status = CONFIG_OK;

		cr_expect(eq(ptr,
			     config_manifest_parse(base_str_from(texts[i]),
						   &status, &err),
			     NULL),
			  "%s", texts[i]);
		cr_expect(ne(int, status, CONFIG_OK));
		cr_expect(gt(sz, strlen(err.message), 0));
	}
}

Test(diff, lists_added_removed_and_changed_fields)
{
	struct config_set *before = fixture_set(
		2, "{\"kind\":\"region\",\"name\":\"a\"},"
		   "{\"kind\":\"account\",\"name\":\"c\",\"rate\":1,"
		   "\"burst\":2}");
	struct config_set *after = fixture_set(
		2, "{\"kind\":\"region\",\"name\":\"b\"},"
		   "{\"kind\":\"account\",\"name\":\"c\",\"rate\":5,"
		   "\"burst\":2,\"weight\":1,\"state\":\"active\"}");
	struct config_diff diff = CONFIG_DIFF_INIT;
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	size_t i;

	config_set_diff(before, after, &diff);
	for (i = 0; i < diff.count; i++)
		base_buf_addf(&text, "%d %s %s %s %s>%s\n",
			      (int)diff.changes[i].type, diff.changes[i].kind,
			      diff.changes[i].name, diff.changes[i].field,
			      diff.changes[i].before, diff.changes[i].after);
	cr_assert(eq(str, text.ptr,
		     "1 region a  {\"kind\":\"region\",\"name\":\"a\"}>\n"
		     "0 region b  >{\"kind\":\"region\",\"name\":\"b\"}\n"
		     "2 account c rate 1>5\n"
		     "2 account c weight >1\n"));
	config_diff_release(&diff);
	config_set_destroy(before);
	config_set_destroy(after);
}

Test(vm_list, finds_states_by_name)
{
	struct base_error err;
	struct config_vm_list *list = config_vm_list_parse(
		BASE_STR("{\"at\":1,\"vms\":[{\"name\":\"b\",\"state\":"
			 "\"leaving\"},{\"name\":\"a\",\"state\":\"live\"}]}"),
		&err);

	cr_assert(ne(ptr, list, NULL));
	cr_assert(config_vm_list_find(list, BASE_STR("b"))->leaving);
	cr_assert(not(config_vm_list_find(list, BASE_STR("a"))->leaving));
	cr_assert(eq(ptr, (void *)config_vm_list_find(list, BASE_STR("c")),
		     NULL));
	config_vm_list_destroy(list);
}

#define VM_A "{\"name\":\"a\",\"state\":\"live\"}"

/* Guards against treating a malformed list as one without VMs. */
Test(vm_list, refuses_damaged_lists)
{
	static const char *const texts[] = {
		"",
		"{}",
		"{\"vms\":[{\"name\":\"a\"}]}",
		"{\"vms\":[{\"name\":\"a\",\"state\":\"gone\"}]}",
		"{\"vms\":[" VM_A "," VM_A "]}",
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(texts); i++) {
		struct base_error err = { "" };

		cr_expect(
			eq(ptr,
			   config_vm_list_parse(base_str_from(texts[i]), &err),
			   NULL));
		cr_expect(gt(sz, strlen(err.message), 0));
	}
}

/* Guards against accepting a wrong secret or a truncated key. */
Test(credential, verifies_only_its_own_secret)
{
	struct config_credential c;
	struct config_key key;
	struct base_str id, secret;
	char text[128];

	config_credential_generate(&c);
	snprintf(text, sizeof(text), "bhk_%s_%s", c.id, c.secret);
	cr_assert(config_credential_parse(base_str_from(text), &id, &secret));
	cr_assert(base_str_equal(id, base_str_from(c.id)));
	key.digest = base_digest_of(secret);
	cr_assert(config_credential_verify(&key, secret));
	secret.len--;
	cr_assert(not(config_credential_verify(&key, secret)));
	cr_assert(
		not(config_credential_parse(BASE_STR("bhk_ab"), &id, &secret)));
	cr_assert(
		not(config_credential_parse(BASE_STR("bhk_a_"), &id, &secret)));
	cr_assert(not(
		config_credential_parse(BASE_STR("xyz_a_b"), &id, &secret)));
}
