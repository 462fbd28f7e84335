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

/*
 * The status of the first final response in @p bytes; -1 when they are refused,
 * 0 when there is none yet.
 */
static int status_of_bytes(struct base_str bytes)
{
	struct evbuffer *in = evbuffer_new();
	enum http_message_fault fault = HTTP_MESSAGE_OK;
	struct http_message m;
	int status = 0;

	http_message_init(&m, HTTP_RESPONSE, BODY_MAX_BYTES);
	evbuffer_add(in, bytes.ptr, bytes.len);
	while (!status && evbuffer_get_length(in)) {
		if (!http_message_check_head(in, HTTP_RESPONSE, HEAD_MAX_BYTES,
					     &fault))
			break;
		if (fault) {
			status = -1;
			break;
		}
		http_message_parse(&m, in);
		if (m.fault || !m.complete) {
			status = m.fault ? -1 : 0;
			break;
		}
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

static int status_of_chunked(const char *body)
{
	BASE_CLEANUP(base_buf_release) struct base_buf bytes = BASE_BUF_INIT;

	base_buf_addf(&bytes,
		      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		      body);
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
		int expected = status;

		if (status < 100 || status > 599)
			expected = -1;
		else if (status < 200)
			expected = 0; /* interim, and no response after it */
		snprintf(line, sizeof(line), "HTTP/1.1 %03d Text", status);
		cr_expect(eq(int, status_of_line(line), expected), "%s", line);
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
		"HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLi\x01nk: x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: \x01\r\n\r\n",
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

/* Field lines with a name that is no token, or with no name at all. */
static const char *const bad_names[] = {
	"X Y: 1",
	"X\tY: 1",
	"X : 1",
	"X\t: 1",
	" X: 1",
	"\tX: 1",
	"X\x01: 1",
	"\x01X: 1",
	"X\x1fY: 1",
	"X\x7f: 1",
	"X\x0b: 1",
	"X\x80: 1",
	": 1",
	" : 1",
	"X",
	"X Y",
	"X(Y): 1",
	"X\"Y\": 1",
	"X/Y: 1",
	"X@Y: 1",
	"X{Y}: 1",
	"X=Y: 1",
	"X;Y: 1",
	"X,Y: 1",
	"X[Y]: 1",
	"X?Y: 1",
	"X\\Y: 1",
	"X<Y>: 1",
	"Content-Length : 2",
	"Content Length: 2",
	"Content-Length\t: 2",
	"Content-Length\x01: 2",
	"\001Content-Length: 2",
	"Content-\x0bLength: 2",
	"Transfer-Encoding : chunked",
	"Transfer Encoding: chunked",
	"Transfer-Encoding\t: chunked",
	"Transfer-Encoding\x01: chunked",
	"\x7fTransfer-Encoding: chunked",
	"Connection : close",
	"Connection\x01: close",
};

/* Field lines with a byte in their value that is not allowed there. */
static const char *const bad_values[] = {
	"X: \x01", "X: a\x01", "X: \001a",   "X:\001a",	 "X: a\013b",
	"X: \x7f", "X: a\x7f", "X: \x1b[0m", "X: a\x08", "X:\x7f",
};

static const char *const good_lines[] = {
	"X: 1",	       "X:1",	  "X:",
	"X:  ",	       "X: a\tb", "X:\t1\t ",
	"X: \xc3\xa9", "X: a:b",  "x-!#$%&'*+.^_`|~9: 1",
};

/* Puts the line before and after other ones; @p format has one %s for it. */
static int status_with_line(const char *format, const char *line)
{
	char bytes[512];

	snprintf(bytes, sizeof(bytes), format, line);
	return status_of(bytes);
}

/*
 * Guards against a line that is forwarded though it is no field line, and
 * against framing that it declares for some readers only.
 */
Test(grammar, field_lines_of_a_head)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n"
		"2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n%s\r\n\r\n",
		"HTTP/1.1 503 No\r\nNot-Run: 1\r\n%s\r\n"
		"Content-Length: 0\r\n\r\n",
	};
	size_t h, i;

	for (h = 0; h < BASE_ARRAY_SIZE(heads); h++) {
		for (i = 0; i < BASE_ARRAY_SIZE(good_lines); i++)
			cr_expect(gt(int,
				     status_with_line(heads[h], good_lines[i]),
				     0),
				  "'%s'", good_lines[i]);
		for (i = 0; i < BASE_ARRAY_SIZE(bad_names); i++)
			cr_expect(eq(int,
				     status_with_line(heads[h], bad_names[i]),
				     -1),
				  "head %zu: '%s'", h, bad_names[i]);
		for (i = 0; i < BASE_ARRAY_SIZE(bad_values); i++)
			cr_expect(eq(int,
				     status_with_line(heads[h], bad_values[i]),
				     -1),
				  "head %zu: '%s'", h, bad_values[i]);
	}
}

/* Guards against the same in the lines after a body. */
Test(grammar, field_lines_of_a_trailer)
{
	static const char *const trailers[] = {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"2\r\nab\r\n0\r\n%s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"2\r\nab\r\n0\r\nA: 1\r\n%s\r\nB: 1\r\n\r\n",
	};
	size_t t, i;

	for (t = 0; t < BASE_ARRAY_SIZE(trailers); t++) {
		for (i = 0; i < BASE_ARRAY_SIZE(good_lines); i++)
			cr_expect(
				eq(int,
				   status_with_line(trailers[t], good_lines[i]),
				   200),
				"'%s'", good_lines[i]);
		for (i = 0; i < BASE_ARRAY_SIZE(bad_names); i++)
			cr_expect(
				eq(int,
				   status_with_line(trailers[t], bad_names[i]),
				   -1),
				"trailer %zu: '%s'", t, bad_names[i]);
		for (i = 0; i < BASE_ARRAY_SIZE(bad_values); i++)
			cr_expect(
				eq(int,
				   status_with_line(trailers[t], bad_values[i]),
				   -1),
				"trailer %zu: '%s'", t, bad_values[i]);
	}
}

/* Guards against refusing unusual chunks. */
Test(grammar, chunked_bodies_that_are_valid)
{
	static const char *const bodies[] = {
		"2\r\nab\r\n0\r\n\r\n",
		"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
		"0002\r\nab\r\n000\r\n\r\n",
		"2;x\r\nab\r\n0;y=z\r\n\r\n",
		"2 ; x=\"y z\"\r\nab\r\n0\r\n\r\n",
		"A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n",
		"2\r\n\r\n\r\n0\r\n\r\n",
		"0\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(bodies); i++)
		cr_expect(eq(int, status_of_chunked(bodies[i]), 200), "'%s'",
			  bodies[i]);
}

/*
 * Guards against a body that is not the server's: where a chunk is longer or
 * shorter than it says, other bytes stand where its line end is due.
 */
Test(grammar, chunked_bodies_that_are_none)
{
	static const char *const bodies[] = {
		"2\r\nabXX0\r\n\r\n",
		"2\r\nab\rX0\r\n\r\n",
		"2\r\nabX\n0\r\n\r\n",
		"2\r\nab\n0\r\n\r\n",
		"2\r\nabc\r\n0\r\n\r\n",
		"3\r\nab\r\n0\r\n\r\n",
		"2\rXab\r\n0\r\n\r\n",
		"2\nab\r\n0\r\n\r\n",
		"2 \r\nab\r\n0\r\n\r\n",
		"2 x\r\nab\r\n0\r\n\r\n",
		"2\t2\r\nab\r\n0\r\n\r\n",
		" 2\r\nab\r\n0\r\n\r\n",
		"2;\x01\r\nab\r\n0\r\n\r\n",
		"2;\nx\r\nab\r\n0\r\n\r\n",
		"2,x\r\nab\r\n0\r\n\r\n",
		"0x2\r\nab\r\n0\r\n\r\n",
		"+2\r\nab\r\n0\r\n\r\n",
		"-2\r\nab\r\n0\r\n\r\n",
		"\r\nab\r\n0\r\n\r\n",
		";x\r\nab\r\n0\r\n\r\n",
		"g\r\nab\r\n0\r\n\r\n",
		"2\r\nab\r\n\r\n0\r\n\r\n",
		"2\r\nab\r\n0\n\r\n",
		"2\r\nab\r\n0\rX\r\n",
		"2\r\nab\r\n0\r\n\n",
		"2\r\nab\r\n0\r\n\rX",
		"2\r\nab\r\n0\r\nX: 1\n\r\n",
		"2\r\nab\r\n0\r\nX: 1\rX\r\n",
		"2\r\nab\r\n0\r\nX: 1\r\n\rX",
		"10000000000000002\r\nab\r\n0\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(bodies); i++)
		cr_expect(eq(int, status_of_chunked(bodies[i]), -1), "'%s'",
			  bodies[i]);
}

/*
 * Guards against a response without a body whose reader waits for one, or takes
 * the next response for it.
 */
Test(grammar, responses_that_end_with_their_head)
{
	static const char *const lengths[] = {
		"Content-Length: 2",
		"Content-Length: 999999999",
		"Transfer-Encoding: chunked",
		"X: 1",
	};
	char bytes[256];
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(lengths); i++) {
		snprintf(bytes, sizeof(bytes),
			 "HTTP/1.1 204 No Content\r\n%s\r\n\r\n", lengths[i]);
		cr_expect(eq(int, status_of(bytes), 204), "'%s'", lengths[i]);
		snprintf(bytes, sizeof(bytes),
			 "HTTP/1.1 304 Not Modified\r\n%s\r\n\r\n", lengths[i]);
		cr_expect(eq(int, status_of(bytes), 304), "'%s'", lengths[i]);
		snprintf(bytes, sizeof(bytes),
			 "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n"
			 "HTTP/1.1 200 OK" REST,
			 lengths[i]);
		cr_expect(eq(int, status_of(bytes), 200), "'%s'", lengths[i]);
	}
}

/*
 * Guards against a body whose end depends on the reader, and against one that
 * is decoded once though it was coded twice.
 */
Test(grammar, framing_that_is_ambiguous)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: chunked",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"transfer-encoding: identity",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding:",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 12",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 12",
		"HTTP/1.1 200 OK\r\nContent-Length: 12, 12",
		"HTTP/1.1 200 OK\r\nContent-Length: 12 12",
		"HTTP/1.1 200 OK\r\nContent-Length: +12",
		"HTTP/1.1 200 OK\r\nContent-Length: 0xc",
		"HTTP/1.1 200 OK\r\nContent-Length: \"12\"",
		"HTTP/1.1 200 OK\r\nContent-Length:",
		"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551628",
	};
	char bytes[256];
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(heads); i++) {
		snprintf(bytes, sizeof(bytes), "%s\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			 heads[i]);
		cr_expect(eq(int, status_of(bytes), -1), "'%s'", heads[i]);
	}
}
