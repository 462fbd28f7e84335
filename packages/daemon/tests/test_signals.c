/* Tests of signals during start and shutdown of a daemon. */
#include "daemon.h"
#include "dialect.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <signal.h>

/*
 * Guards against a reload signal (SIGHUP) that ends a process during start or
 * shutdown, while its handler is not installed.
 */
Test(signals, sighup_does_not_end_starting_or_stopping_process)
{
	char *argv[] = { "bilberryhinged",
			 "--vm=a",
			 "--domain=d",
			 "--backend=127.0.0.1:1",
			 "--platform=127.0.0.1:2",
			 "--caller-listen=127.0.0.1:0",
			 "--onward-listen=127.0.0.1:0",
			 "--admin-listen=127.0.0.1:0",
			 "--peer-listen=127.0.0.1:0",
			 "--log-level=error",
			 NULL };
	struct daemon_settings settings;
	struct base_error err = { "" };
	struct daemon *daemon;

	setenv("BILBERRYHINGE_FLEET_SECRET", "0123456789abcdef", 1);
	cr_assert(eq(int, daemon_settings_parse(10, argv, &settings, &err),
		     DAEMON_OK));
	cr_assert(eq(int,
		     daemon_create(&settings, dialect_native(), &daemon, &err),
		     DAEMON_OK),
		  "%s", err.message);
	daemon_destroy(daemon);
	raise(SIGHUP);
	daemon_settings_release(&settings);
}
