/* Random mutations of inputs. */
#include "fuzz.h"

#include <string.h>

/* Inputs are truncated to this length: longer ones only slow the run down. */
#define MAX_INPUT_BYTES 65536
#define MAX_CHANGES 4
/* Longest range that a mutation repeats or removes. */
#define MAX_RANGE_BYTES 64

/* Tokens at which parsers of text and of MessagePack branch. */
static const struct base_str dictionary[] = {
	BASE_STR("\r\n"),
	BASE_STR("\n"),
	BASE_STR("\r\n\r\n"),
	BASE_STR(":"),
	BASE_STR(" "),
	BASE_STR("0\r\n\r\n"),
	BASE_STR("Content-Length: 5\r\n"),
	BASE_STR("Content-Length: 4294967301\r\n"),
	BASE_STR("Transfer-Encoding: chunked\r\n"),
	BASE_STR("ffffffffffffffff"),
	BASE_STR("10000000000000005"),
	BASE_STR("-1"),
	BASE_STR("1e999"),
	BASE_STR("9223372036854775808"),
	BASE_STR("null"),
	BASE_STR("[]"),
	BASE_STR("{}"),
	BASE_STR("\""),
	BASE_STR("\\u0000"),
	{ "\0", 1 },
	{ "\x7f", 1 },
	{ "\xff", 1 },
	{ "\xc1", 1 },
	{ "\xdd\xff\xff\xff\xff", 5 },
	{ "\xdb\xff\xff\xff\xff", 5 },
	{ "\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9 },
};

static void splice(struct base_buf *input, size_t at, size_t removed,
		   struct base_str inserted)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;

	base_buf_add(&out, input->ptr, at);
	base_buf_add_str(&out, inserted);
	base_buf_add(&out, input->ptr + at + removed,
		     input->len - at - removed);
	base_buf_move(input, &out);
}

static void change_once(struct base_buf *input, struct base_rand *rnd)
{
	size_t at = base_rand_below(rnd, (uint32_t)input->len + 1);
	size_t range = base_rand_below(rnd, MAX_RANGE_BYTES) + 1;
	char byte = (char)base_rand_below(rnd, 256);

	if (range > input->len - at)
		range = input->len - at;
	switch (base_rand_below(rnd, 6)) {
	case 0:
		splice(input, at, range ? 1 : 0, (struct base_str){ &byte, 1 });
		break;
	case 1:
		splice(input, at, range, BASE_STR_NONE);
		break;
	case 2: {
		BASE_CLEANUP(base_buf_release)
		struct base_buf copy = BASE_BUF_INIT;

		base_buf_add(&copy, input->ptr + at, range);
		splice(input, at, 0, base_buf_str(&copy));
		break;
	}
	case 3:
		if (range)
			input->ptr[at] ^= (char)(1U << base_rand_below(rnd, 8));
		break;
	case 4:
		input->len = at;
		break;
	default:
		splice(input, at, 0,
		       dictionary[base_rand_below(
			       rnd, BASE_ARRAY_SIZE(dictionary))]);
		break;
	}
}

void fuzz_mutate(struct base_buf *input, struct base_rand *rnd)
{
	uint32_t n = base_rand_below(rnd, MAX_CHANGES) + 1;

	/* Allocates the buffer of an empty input. */
	base_buf_add(input, "", 0);
	while (n--)
		if (input->ptr)
			change_once(input, rnd);
	if (input->len > MAX_INPUT_BYTES)
		input->len = MAX_INPUT_BYTES;
}
