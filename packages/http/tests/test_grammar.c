/*
 * Tests of what the reader of responses takes for one, by the grammar of RFC
 * 9112 and RFC 9110.
 */
#include "http_message.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <stdio.h>

#define HEAD_MAX_BYTES 4096
#define BODY_MAX_BYTES 4096

/* The status of the first final response in @p bytes; -1 without one. */
static int status_of_bytes(struct base_str bytes)
{
	struct evbuffer *in = evbuffer_new();
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	struct http_message m;
	int status = -1;

	http_message_init(&m, HTTP_RESPONSE, BODY_MAX_BYTES);
	evbuffer_add(in, bytes.ptr, bytes.len);
	while (status < 0 && evbuffer_get_length(in)) {
		if (!http_message_check_head(in, HTTP_RESPONSE, HEAD_MAX_BYTES,
					     &fault) ||
		    fault)
			break;
		http_message_parse(&m, in);
		if (m.fault || !m.complete)
			break;
		if (m.parser.status_code / 100 != 1)
			status = (int)m.parser.status_code;
		http_message_reset(&m);
	}
	http_message_release(&m);
	evbuffer_free(in);
	return status;
}

static int status_of(const char *bytes)
{
	return status_of_bytes(base_str_from(bytes));
}

#define REST "\r\nId: 1\r\nContent-Length: 2\r\n\r\nab"

static int status_of_line(const char *line)
{
	BASE_CLEANUP(base_buf_release) struct base_buf bytes = BASE_BUF_INIT;

	base_buf_addf(&bytes, "%s" REST, line);
	return status_of_bytes(base_buf_str(&bytes));
}

/* Guards against refusing an answer over a status line that is unusual. */
Test(grammar, status_lines_that_are_valid)
{
	cr_expect(eq(int, status_of_line("HTTP/1.1 200 OK"), 200));
	cr_expect(eq(int, status_of_line("HTTP/1.0 200 OK"), 200));
	cr_expect(eq(int, status_of_line("HTTP/1.1 200 "), 200));
	cr_expect(eq(int, status_of_line("HTTP/1.1 200  OK"), 200));
	cr_expect(eq(int, status_of_line("HTTP/1.1 299 a\tb c"), 299));
	cr_expect(
		eq(int, status_of_line("HTTP/1.1 404 \xc3\xa9t\xc3\xa9"), 404));
	cr_expect(eq(int, status_of_line("HTTP/1.1 500 500"), 500));
}

/*
 * Guards against a status that is none, as a number or as text: callers took
 * 000 for an answer.
 */
Test(grammar, only_three_digits_in_range_are_a_status)
{
	char line[64];
	int status;

	for (status = 0; status <= 999; status++) {
		bool valid = status >= 200 && status <= 599;

		snprintf(line, sizeof(line), "HTTP/1.1 %03d Text", status);
		/* An interim response and no other after it. */
		cr_expect(eq(int, status_of_line(line), valid ? status : -1),
			  "%s", line);
		snprintf(line, sizeof(line), "HTTP/1.1 0%03d Text", status);
		cr_expect(eq(int, status_of_line(line), -1), "%s", line);
		snprintf(line, sizeof(line), "HTTP/1.1 %03d0 Text", status);
		cr_expect(eq(int, status_of_line(line), -1), "%s", line);
	}
	for (status = 0; status <= 99; status++) {
		snprintf(line, sizeof(line), "HTTP/1.1 %d Text", status);
		cr_expect(eq(int, status_of_line(line), -1), "%s", line);
		snprintf(line, sizeof(line), "HTTP/1.1 %02d Text", status);
		cr_expect(eq(int, status_of_line(line), -1), "%s", line);
	}
}

/* Guards against a status line that readers may interpret differently. */
Test(grammar, status_lines_that_are_none)
{
	static const char *const lines[] = {
		"HTTP/1.1  200 OK",
		"HTTP/1.1\t200 OK",
		"HTTP/1.1 200\tOK",
		"HTTP/1.1 200",
		"HTTP/1.1 200OK",
		"HTTP/1.1200 OK",
		"HTTP/1.1 ",
		"HTTP/1.1",
		"HTTP/1.1 OK",
		"HTTP/1.1 2 00 OK",
		"HTTP/1.1 20 0 OK",
		"HTTP/1.1 +200 OK",
		"HTTP/1.1 -200 OK",
		"HTTP/1.1 2e2 OK",
		"HTTP/1.1 0x1 OK",
		"HTTP/1.1 200, OK",
		"HTTP/1.1 2O0 OK",
		"HTTP/1.1 20\xb2 OK",
		"HTTP/1.1 200.0 OK",
		"HTTP/1.1 O\x01K",
		"HTTP/1.1 200 O\x01K",
		"HTTP/1.1 200 \x7f",
		"HTTP/1.1 200\x0bOK",
		"HTTP/1.1 200 O\x0bK",
		"HTTP/1.1 200 \x1b[31m",
		"HTTP/1.1\x01 200 OK",
		"HTTP/1. 200 OK",
		"HTTP/11 200 OK",
		"HTTP/1.10 200 OK",
		"HTTP/1.1.1 200 OK",
		"HTTP/.1 200 OK",
		"HTTP 1.1 200 OK",
		"HTTP/ 1.1 200 OK",
		" HTTP/1.1 200 OK",
		"http/1.1 200 OK",
		"HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK",
		"200 OK",
		"ICY 200 OK",
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(lines); i++)
		cr_expect(eq(int, status_of_line(lines[i]), -1), "'%s'",
			  lines[i]);
}

/* Guards against a broken interim response that the final one makes good. */
Test(grammar, interim_responses_have_the_same_grammar)
{
	static const char final[] = "HTTP/1.1 200 OK" REST;
	static const char *const valid[] = {
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"HTTP/1.1 199 \r\n\r\n",
	};
	static const char *const invalid[] = {
		"HTTP/1.1 000 None\r\n\r\n",
		"HTTP/1.1 099 None\r\n\r\n",
		"HTTP/1.1 10 Continue\r\n\r\n",
		"HTTP/1.1 0100 Continue\r\n\r\n",
		"HTTP/1.1 100\r\n\r\n",
		"HTTP/1.1  100 Continue\r\n\r\n",
		"HTTP/1.1 100 Con\x01tinue\r\n\r\n",
	};
	char bytes[256];
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(valid); i++) {
		snprintf(bytes, sizeof(bytes), "%s%s", valid[i], final);
		cr_expect(eq(int, status_of(bytes), 200), "'%s'", valid[i]);
	}
	for (i = 0; i < BASE_ARRAY_SIZE(invalid); i++) {
		snprintf(bytes, sizeof(bytes), "%s%s", invalid[i], final);
		cr_expect(eq(int, status_of(bytes), -1), "'%s'", invalid[i]);
	}
}
