/* Tests of the bounded decoding of JSON. */
#include "registry_json.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

static void fill(struct base_buf *out, const char *start, const char *repeated,
		 size_t len, const char *end)
{
	base_buf_addf(out, "%s%s", start, repeated);
	while (out->len < len)
		base_buf_addf(out, ",%s", repeated);
	base_buf_addf(out, "%s", end);
}

/*
 * Guards against a daemon that runs out of memory by a few megabytes of text:
 * an empty object of two bytes takes some hundred when it is decoded.
 */
Test(registry_json, refuses_text_with_too_many_values)
{
	static const char *const repeated[] = { "{}", "[]", "0", "{\"a\":[]}" };
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(repeated); i++) {
		BASE_CLEANUP(base_buf_release)
		struct base_buf text = BASE_BUF_INIT;
		struct base_error err = { "" };

		fill(&text, "[", repeated[i], 4 << 20, "]");
		cr_assert(eq(ptr, registry_json_load(base_buf_str(&text), &err),
			     NULL),
			  "4 MB of %s were decoded", repeated[i]);
		cr_assert(ne(str, err.message, ""));
	}
}

/* Guards against a configuration of the largest size that is not taken. */
Test(registry_json, takes_a_large_configuration)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	json_t *json;

	fill(&text, "{\"routes\":{\"columns\":[\"name\"],\"rows\":[",
	     "[\"r1\",\"a.example\",\"/b/\",\"safe\",\"5s\",\"1500ms\",2,null,"
	     "2,false,\"s\"]",
	     1 << 20, "]}}");
	json = registry_json_load(base_buf_str(&text), NULL);
	cr_assert(ne(ptr, json, NULL));
	json_decref(json);
}

/* Guards against a text that is refused for what it quotes. */
Test(registry_json, does_not_count_inside_of_strings)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	json_t *json;

	base_buf_addf(&text, "[\"\\\"");
	while (text.len < 2 << 20)
		base_buf_addf(&text, "{{[[,,::");
	base_buf_addf(&text, "\"]");
	json = registry_json_load(base_buf_str(&text), NULL);
	cr_assert(ne(ptr, json, NULL));
	json_decref(json);
}
