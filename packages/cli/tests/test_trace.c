/* Tests of the trace command. */
#include "cli.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <criterion/redirect.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static void write_log(char path[32], const char *text)
{
	FILE *file;

	snprintf(path, 32, "/tmp/bh-trace-XXXXXX");
	file = fdopen(mkstemp(path), "w");
	fputs(text, file);
	fclose(file);
}

/*
 * Guards against lines of another request whose id has the same prefix, and
 * against lines of two daemons that are printed out of order.
 */
Test(trace, prints_the_lines_of_one_request_in_order,
     .init = cr_redirect_stdout)
{
	char a[32], b[32];
	char *argv[] = { "bilberryhinge trace", "ab", a, b, NULL };
	char out[512] = "";
	FILE *text;
	int status;

	write_log(a, "ts=5 event=last request=ab status=200\n"
		     "ts=1 event=other request=abc\n");
	write_log(b, "ts=2 event=first request=ab\n"
		     "ts=3 event=call request=ab.77 vm=x\n"
		     "ts=4 event=none\n");
	status = cli_find_command("trace")->run(4, argv);
	fflush(stdout);
	text = cr_get_redirected_stdout();
	out[fread(out, 1, sizeof(out) - 1, text)] = '\0';
	unlink(a);
	unlink(b);
	cr_assert(eq(int, status, CLI_EXIT_OK));
	cr_assert(eq(ptr, strstr(out, "other"), NULL));
	cr_assert(eq(ptr, strstr(out, "none"), NULL));
	cr_assert(
		lt(ptr, strstr(out, "event=first"), strstr(out, "event=call")));
	cr_assert(
		lt(ptr, strstr(out, "event=call"), strstr(out, "event=last")));
}

/* Guards against exit status 0 for an id that occurs in no log. */
Test(trace, exits_negative_when_no_line_matches, .init = cr_redirect_stdout)
{
	char a[32];
	char *argv[] = { "bilberryhinge trace", "zz", a, NULL };
	int status;

	write_log(a, "ts=5 event=last request=ab status=200\n");
	status = cli_find_command("trace")->run(3, argv);
	unlink(a);
	cr_assert(eq(int, status, CLI_EXIT_NEGATIVE));
}
