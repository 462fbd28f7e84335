/* Tests of the validation of strings in objects. */
#include "text.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

struct text_case {
	const char *text;
	bool valid;
};

static void expect_all(bool (*rule)(struct base_str),
		       const struct text_case *cases, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		cr_expect(eq(int, rule(base_str_from(cases[i].text)),
			     cases[i].valid),
			  "%s", cases[i].text);
}

/* Guards against addresses on which a daemon cannot listen. */
Test(text, addresses)
{
	static const struct text_case cases[] = {
		{ "127.0.0.1:1", true },
		{ "[::1]:65535", true },
		{ "127.0.0.1:0", false },
		{ "127.0.0.1:65536", false },
		{ "127.0.0.1:", false },
		{ "127.0.0.1", false },
		{ "127.0.0.1:-1", false },
		{ "127.0.0.1: 1", false },
		{ "127.0.0.1:000080", false },
		{ "127.0.1:80", false },
		{ "localhost:80", false },
		{ "::1:80", false },
		{ "[::1:80", false },
		{ "[]:80", false },
		{ ":80", false },
		{ "", false },
	};

	expect_all(text_is_address, cases, BASE_ARRAY_SIZE(cases));
}

/*
 * Guards against prefixes that no request can match, and against prefixes that
 * match a path which the backend server interprets as a different one.
 */
Test(text, path_prefixes)
{
	static const struct text_case cases[] = {
		{ "/", true },
		{ "/a", true },
		{ "/a/b.c/~d", true },
		{ "/...", true },
		{ "/a/", false },
		{ "//", false },
		{ "/a//b", false },
		{ "/a/./b", false },
		{ "/a/../b", false },
		{ "/..", false },
		{ "a", false },
		{ "", false },
		{ "/a?b", false },
		{ "/a#b", false },
		{ "/a b", false },
		{ "/\x7f", false },
		{ "/caf\xc3\xa9", false },
	};

	expect_all(text_is_path_prefix, cases, BASE_ARRAY_SIZE(cases));
}

#define HEX63 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"

/* Guards against a hash that cannot equal that of any secret. */
Test(text, hashes)
{
	static const struct text_case cases[] = {
		{ HEX63 "f", true },   { HEX63, false },
		{ HEX63 "ff", false }, { HEX63 "F", false },
		{ HEX63 "g", false },
	};

	expect_all(text_is_hash, cases, BASE_ARRAY_SIZE(cases));
}

/*
 * Guards against ids that contain the separator of a key's id and secret, and
 * against names that would break a log line.
 */
Test(text, names_ids_and_methods)
{
	static const struct text_case names[] = {
		{ "a.B_c-9", true },   { "", false },	 { "a b", false },
		{ "a/b", false },      { "a\n", false }, { HEX63 "f", true },
		{ HEX63 "ff", false },
	};
	static const struct text_case ids[] = {
		{ "aZ9", true },
		{ "a_b", false },
		{ "a-b", false },
	};
	static const struct text_case methods[] = {
		{ "GET", true },   { "any", true }, { "get", false },
		{ "ANY!", false }, { "", false },
	};

	expect_all(text_is_name, names, BASE_ARRAY_SIZE(names));
	expect_all(text_is_key_id, ids, BASE_ARRAY_SIZE(ids));
	expect_all(text_is_method, methods, BASE_ARRAY_SIZE(methods));
}
