/* Tests of the settings. */
#include "daemon.h"
#include "dialect.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

static enum daemon_status parse(const char *extra, struct base_error *err,
				struct daemon_settings *settings)
{
	char *argv[] = { "bilberryhinged",
			 "--vm=a",
			 "--domain=d",
			 "--backend=127.0.0.1:1",
			 "--platform=127.0.0.1:2",
			 (char *)extra,
			 NULL };

	setenv("BILBERRYHINGE_FLEET_SECRET", "0123456789abcdef", 1);
	return daemon_settings_parse(6, argv, settings, err);
}

Test(settings, flags_override_environment)
{
	struct daemon_settings settings;

	setenv("BILBERRYHINGE_DRAIN_SECONDS", "7", 1);
	setenv("BILBERRYHINGE_MAX_BODY", "2048", 1);
	cr_assert(eq(int, parse("--drain-seconds=9", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(i64, settings.drain_us, 9 * BASE_SECOND_US));
	cr_assert(eq(i64, settings.max_body, 2048));
	daemon_settings_release(&settings);
}

/* Guards against errors that do not say which setting to change, and how. */
Test(settings, errors_name_setting_value_and_allowed_range)
{
	struct daemon_settings settings;
	struct base_error err = { "" };

	cr_assert(eq(int, parse("--drain-seconds=0", &err, &settings),
		     DAEMON_ERR_SETTING));
	cr_assert(ne(ptr, strstr(err.message, "--drain-seconds"), NULL));
	cr_assert(ne(ptr, strstr(err.message, "'0'"), NULL));
	cr_assert(ne(ptr, strstr(err.message, "1 to 3600"), NULL));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--caller-listen=nowhere", &err, &settings),
		     DAEMON_ERR_SETTING));
	cr_assert(ne(ptr, strstr(err.message, "IP:PORT"), NULL));
	daemon_settings_release(&settings);
}

/* Guards against a secret that is printed to a log or terminal. */
Test(settings, errors_hide_secret)
{
	struct daemon_settings settings;
	struct base_error err = { "" };

	cr_assert(eq(int, parse("--fleet-secret=short", &err, &settings),
		     DAEMON_ERR_SETTING));
	cr_assert(eq(ptr, strstr(err.message, "short"), NULL));
	daemon_settings_release(&settings);
}

/* Guards against a new behaviour in deployments that did not ask for it. */
Test(settings, graph_admission_is_off_unless_switched_on)
{
	struct daemon_settings settings;
	struct base_error err = { "" };

	cr_assert(
		eq(int, parse("--max-body=2048", NULL, &settings), DAEMON_OK));
	cr_assert(eq(int, settings.graph_admission, false));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--graph-admission=on", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(int, settings.graph_admission, true));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--graph-admission=yes", &err, &settings),
		     DAEMON_ERR_SETTING));
	daemon_settings_release(&settings);
}

/* Guards against rejecting durations that a platform gives with their unit. */
Test(settings, durations_accept_units)
{
	struct daemon_settings settings;

	cr_assert(eq(int, parse("--drain-seconds=6s", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(i64, settings.drain_us, 6 * BASE_SECOND_US));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--drain-seconds=1500ms", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(i64, settings.drain_us, 1500 * BASE_MS_US));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--drain-seconds=6m", NULL, &settings),
		     DAEMON_ERR_SETTING));
	daemon_settings_release(&settings);
}

/* Guards against names of failure domains that are cut or never match. */
Test(settings, domains_are_a_list_of_names)
{
	struct daemon_settings settings;
	struct base_error err = { "" };

	cr_assert(eq(int,
		     parse("--domains=cr-central-a,Zone_2.x", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(str, settings.domains, "cr-central-a,Zone_2.x"));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--domains=a b", &err, &settings),
		     DAEMON_ERR_SETTING));
	daemon_settings_release(&settings);
}

/*
 * Guards against a deployment whose addresses change hands sooner than the
 * daemon takes for granted, and against one that cannot say "at any time".
 */
Test(settings, reuse_time_is_that_of_the_deployment)
{
	struct daemon_settings settings;

	cr_assert(eq(int, parse("--reuse-after-seconds=500ms", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(i64, settings.reuse_after_us, 500 * BASE_MS_US));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--reuse-after-seconds=0", NULL, &settings),
		     DAEMON_OK));
	cr_assert(eq(i64, settings.reuse_after_us, 0));
	daemon_settings_release(&settings);
}

/* Guards against a misspelt switch that is taken for "off" without a word. */
Test(settings, learned_capacity_is_off_unless_it_is_switched_on)
{
	struct daemon_settings settings;
	struct base_error err = { "" };

	cr_assert(eq(int, parse("--drain-seconds=9", NULL, &settings),
		     DAEMON_OK));
	cr_assert(not(settings.learned_capacity));
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--learned-capacity=on", NULL, &settings),
		     DAEMON_OK));
	cr_assert(settings.learned_capacity);
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--learned-capacity=yes", &err, &settings),
		     DAEMON_ERR_SETTING));
	daemon_settings_release(&settings);
}

/*
 * Guards against new behaviour in deployments whose platform does not state the
 * condition for it.
 */
Test(settings, only_a_named_condition_switches_features_on)
{
	struct daemon_dialect dialect = *dialect_native();
	struct daemon_settings settings;
	struct base_error err = { "" };

	dialect.unreliable_servers_condition = "health";
	cr_assert(eq(int, parse("--conditions=base,healthy", NULL, &settings),
		     DAEMON_OK));
	dialect_apply_conditions(&dialect, &settings);
	cr_assert(not(settings.learned_capacity));
	cr_assert(not(settings.graph_admission));
	daemon_settings_release(&settings);
	cr_assert(eq(int,
		     parse("--conditions=base,health,pool", NULL, &settings),
		     DAEMON_OK));
	dialect_apply_conditions(dialect_native(), &settings);
	cr_assert(not(settings.graph_admission));
	dialect_apply_conditions(&dialect, &settings);
	cr_assert(settings.learned_capacity);
	cr_assert(settings.graph_admission);
	daemon_settings_release(&settings);
	cr_assert(eq(int, parse("--conditions=a b", &err, &settings),
		     DAEMON_ERR_SETTING));
	daemon_settings_release(&settings);
}
