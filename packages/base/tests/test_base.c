/* Tests of the base package. */
#include "base.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <poll.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

/* Guards against accepting settings with trailing garbage or overflow. */
Test(str, parses_whole_decimal_numbers_only)
{
	int64_t v = 0;
	double d = 0;

	cr_assert(base_str_to_i64(BASE_STR("-42"), &v));
	cr_assert(eq(i64, v, -42));
	cr_assert(not(base_str_to_i64(BASE_STR("12x"), &v)));
	cr_assert(not(base_str_to_i64(BASE_STR(" 12"), &v)));
	cr_assert(not(base_str_to_i64(BASE_STR(""), &v)));
	cr_assert(not(base_str_to_i64(BASE_STR("9223372036854775808"), &v)));
	cr_assert(base_str_to_decimal(BASE_STR("11.25"), &d));
	cr_assert(epsilon_eq(dbl, d, 11.25, 1e-9));
	cr_assert(base_str_to_decimal(BASE_STR("3"), &d));
	cr_assert(epsilon_eq(dbl, d, 3, 1e-9));
	cr_assert(not(base_str_to_decimal(BASE_STR(""), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR("-1"), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR("1."), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR(".5"), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR("1e3"), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR("1.2.3"), &d)));
	cr_assert(not(base_str_to_decimal(BASE_STR("1000000000000000"), &d)));
}

Test(buf, grows_and_stays_terminated)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	int i;

	for (i = 0; i < 1000; i++)
		base_buf_addf(&buf, "%d,", i);
	cr_assert(eq(sz, buf.len, strlen(buf.ptr)));
	cr_assert(eq(int, strncmp(buf.ptr, "0,1,2,", 6), 0));
}

/* Guards against a digest that changes when it is formatted and parsed. */
Test(digest, round_trips_through_hex)
{
	struct base_digest a = base_digest_of(BASE_STR("abc"));
	struct base_digest b;
	char hex[65];

	base_digest_hex(&a, hex);
	cr_assert(base_digest_parse(base_str_from(hex), &b));
	cr_assert(base_digest_equal(&a, &b));
	hex[0] = 'x';
	cr_assert(not(base_digest_parse(base_str_from(hex), &b)));
}

/* Guards against quantiles outside the stated relative error. */
Test(histogram, quantiles_are_within_the_stated_error)
{
	struct base_histogram *h = base_histogram_create();
	int64_t i;

	for (i = 1; i <= 100000; i++)
		base_histogram_record(h, i);
	cr_assert(ge(i64, base_histogram_quantile(h, 0.99), 99000));
	cr_assert(le(i64, base_histogram_quantile(h, 0.99), 102200));
	cr_assert(le(i64, base_histogram_quantile(h, 0.5), 51700));
	cr_assert(eq(i64, base_histogram_count(h), 100000));
	base_histogram_destroy(h);
}

Test(counters, render_sorted_by_name)
{
	BASE_CLEANUP(base_buf_release) struct base_buf out = BASE_BUF_INIT;
	struct base_counters *c = base_counters_create();

	base_counter_add(base_counters_get(c, "b_total"), 2);
	base_counter_add(base_counters_get(c, "a_total"), 1);
	base_counter_add(base_counters_get(c, "b_total"), 1);
	base_counters_render(c, &out);
	cr_assert(eq(str, out.ptr, "a_total 1\nb_total 3\n"));
	base_counters_destroy(c);
}

static void append(void *ctx, void *message)
{
	base_buf_addf(ctx, "%s", (char *)message);
}

/* Guards against lost notifications and reordered messages. */
Test(mailbox, delivers_in_order_and_signals_its_descriptor)
{
	BASE_CLEANUP(base_buf_release) struct base_buf got = BASE_BUF_INIT;
	struct base_mailbox *box = base_mailbox_create();
	struct pollfd fd = { .fd = base_mailbox_fd(box), .events = POLLIN };

	cr_assert(eq(int, poll(&fd, 1, 0), 0));
	base_mailbox_post(box, "a");
	base_mailbox_post(box, "b");
	cr_assert(eq(int, poll(&fd, 1, 0), 1));
	base_mailbox_drain(box, append, &got);
	cr_assert(eq(str, got.ptr, "ab"));
	cr_assert(eq(int, poll(&fd, 1, 0), 0));
	base_mailbox_destroy(box, NULL, NULL);
}

/* Guards against values whose separators or line ends split a log line. */
/* Guards against sign and range errors at the ends of the range. */
Test(buf, formats_numbers_like_printf)
{
	static const int64_t values[] = {
		0, 7, -7, 1000, INT64_MAX, INT64_MIN
	};
	struct base_buf a = BASE_BUF_INIT;
	struct base_buf b = BASE_BUF_INIT;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(values); i++) {
		base_buf_add_int(&a, values[i]);
		base_buf_addf(&b, "%" PRId64, values[i]);
	}
	cr_assert(base_str_equal(base_buf_str(&a), base_buf_str(&b)));
	base_buf_release(&a);
	base_buf_release(&b);
}

/* Guards against ids that repeat, also where the buffer is filled again. */
Test(rand, bytes_do_not_repeat)
{
	uint64_t ids[1000];
	size_t i, j;

	for (i = 0; i < BASE_ARRAY_SIZE(ids); i++)
		base_random_bytes(&ids[i], sizeof(ids[i]));
	for (i = 0; i < BASE_ARRAY_SIZE(ids); i++)
		for (j = 0; j < i; j++)
			cr_assert(ne(u64, ids[i], ids[j]));
}

/* Guards against work on lines that are dropped, and against losing count. */
Test(log, formats_no_line_beyond_the_rate)
{
	struct base_log *log = base_log_create("test");
	struct base_log_line line;
	uint64_t before;
	int i;

	dup2(open("/dev/null", O_WRONLY), STDOUT_FILENO);
	for (i = 0; i < 100000 && !base_log_dropped(log); i++) {
		line = base_log_begin(log, BASE_LOG_INFO, "x");
		base_log_end(&line);
	}
	cr_assert(eq(i64, base_log_dropped(log), 1));
	/* The few that the time since then has admitted are not counted. */
	before = base_allocation_count();
	for (i = 0; i < 100; i++) {
		line = base_log_begin(log, BASE_LOG_INFO, "x");
		base_log_int(&line, "n", i);
		base_log_end(&line);
	}
	cr_assert(eq(u64, base_allocation_count() - before,
		     (uint64_t)(101 - base_log_dropped(log))));
	base_log_destroy(log);
}

Test(log, quotes_values_with_separators)
{
	struct base_log *log = base_log_create("test");
	struct base_log_line line = base_log_begin(log, BASE_LOG_INFO, "x");

	base_log_str(&line, "k", BASE_STR("a b\n\"c\""));
	base_log_str(&line, "p", BASE_STR("plain"));
	cr_assert(ne(ptr,
		     strstr(line.text.ptr, " k=\"a b\\x0a\\\"c\\\"\" p=plain"),
		     NULL));
	base_log_end(&line);
	base_log_destroy(log);
}
