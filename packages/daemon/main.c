/* The program bilberryhinged. */
#include "daemon.h"
#include "dialect.h"
#include "platform.h"

#include <stdio.h>
#include <string.h>

static const struct daemon_dialect *
find_dialect(const struct daemon_settings *settings)
{
	if (!strcmp(settings->dialect, platform_dialect()->name))
		return platform_dialect();
	return dialect_native();
}

int main(int argc, char **argv)
{
	struct daemon_settings settings;
	struct base_error err = { "" };
	struct daemon *daemon;
	enum daemon_status status =
		daemon_settings_parse(argc, argv, &settings, &err);

	if (status == DAEMON_OK) {
		const struct daemon_dialect *dialect = find_dialect(&settings);

		dialect_apply_conditions(dialect, &settings);
		status = daemon_create(&settings, dialect, &daemon, &err);
	}
	if (status != DAEMON_OK) {
		fprintf(stderr, "bilberryhinged: %s: %s\n",
			daemon_strerror(status), err.message);
		daemon_settings_release(&settings);
		return 2;
	}
	daemon_run(daemon);
	daemon_destroy(daemon);
	daemon_settings_release(&settings);
	return 0;
}
