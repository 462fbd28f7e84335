/* Tests of the check of answers that come in messages. */
#include "answer_check.h"
#include "base.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/* Guards against a status that callers must not get. */
Test(answer_check, only_final_statuses)
{
	static const struct peer_headers none;
	uint32_t status;

	for (status = 0; status <= 1100; status++)
		cr_expect(eq(int, answer_is_response(status, &none),
			     status >= 200 && status <= 599),
			  "status %u", status);
	cr_expect(not(answer_is_response(UINT32_MAX, &none)));
	cr_expect(not(answer_is_response((1U << 31) + 200, &none)));
}

/* Guards against a header that ends early or is none. */
Test(answer_check, only_valid_headers)
{
	static const struct {
		struct peer_header header;
		bool valid;
	} cases[] = {
		{ { BASE_STR("X"), BASE_STR("1") }, true },
		{ { BASE_STR("X"), BASE_STR("") }, true },
		{ { BASE_STR("X"), BASE_STR("a\tb") }, true },
		{ { BASE_STR(""), BASE_STR("1") }, false },
		{ { BASE_STR("X Y"), BASE_STR("1") }, false },
		{ { BASE_STR("X\x01"), BASE_STR("1") }, false },
		{ { BASE_STR("Content-Length "), BASE_STR("1") }, false },
		{ { BASE_STR("X"), BASE_STR("1\r\nY: 1") }, false },
		{ { BASE_STR("X"), BASE_STR("\x7f") }, false },
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(cases); i++) {
		struct peer_header items[] = {
			{ BASE_STR("A"), BASE_STR("1") },
			cases[i].header,
		};
		struct peer_headers headers = { items, 2 };

		cr_expect(eq(int, answer_is_response(200, &headers),
			     cases[i].valid),
			  "case %zu", i);
	}
}
