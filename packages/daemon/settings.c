/* Settings from flags and environment variables. */
#include "config.h"
#include "daemon.h"
#include "http.h"
#include "peer.h"

#include <argp.h>
#include <stddef.h>
#include <string.h>

const char *argp_program_version = "bilberryhinged 0.1";

enum setting_type {
	SETTING_NAME,
	/** A name, or empty. */
	SETTING_OPTIONAL_NAME,
	SETTING_DIALECT,
	/** Names separated by commas, or empty. */
	SETTING_NAME_LIST,
	/** Names as of SETTING_NAME, separated by commas, or empty. */
	SETTING_DOMAIN_LIST,
	SETTING_ADDRESS,
	SETTING_ADDRESS_LIST,
	SETTING_SECRET,
	SETTING_LEVEL,
	/** "on" or "off". */
	SETTING_SWITCH,
	SETTING_NUMBER,
	/** A number of seconds, or a number with the unit "s" or "ms". */
	SETTING_DURATION,
};

struct setting {
	int key;
	enum setting_type type;
	const char *flag;
	const char *env;
	size_t offset;
	/** NULL for a required setting. */
	const char *default_value;
	int64_t min;
	int64_t max;
	/** Factor from the unit of the setting to the unit of the field. */
	int64_t scale;
	const char *arg;
	const char *doc;
};

#define FIELD(name) offsetof(struct daemon_settings, name)

static const struct setting settings_table[] = {
	{ 'n', SETTING_NAME, "vm", "BILBERRYHINGE_VM", FIELD(vm), NULL, 0, 0, 1,
	  "NAME", "Name of this VM in the configuration" },
	{ 'd', SETTING_NAME, "domain", "BILBERRYHINGE_DOMAIN", FIELD(domain),
	  NULL, 0, 0, 1, "NAME", "Failure domain of this VM" },
	{ 'F', SETTING_DOMAIN_LIST, "domains", "BILBERRYHINGE_DOMAINS",
	  FIELD(domains), "", 0, 0, 1, "NAME,...",
	  "Failure domains of the deployment; each keeps its part of the client "
	  "accounts' rates also while the platform does not list it" },
	{ 'r', SETTING_NAME, "region", "BILBERRYHINGE_REGION", FIELD(region),
	  "default", 0, 0, 1, "NAME",
	  "Region of this VM, if the platform does not provide it" },
	{ 'S', SETTING_OPTIONAL_NAME, "service", "BILBERRYHINGE_SERVICE",
	  FIELD(service), "", 0, 0, 1, "NAME",
	  "Service of the own backend server, where the platform has a header "
	  "for the caller's service" },
	{ 'i', SETTING_DIALECT, "dialect", "BILBERRYHINGE_DIALECT",
	  FIELD(dialect), "native", 0, 0, 1, "NAME",
	  "native, or platform for the users' platform" },
	{ 'c', SETTING_ADDRESS, "caller-listen", "BILBERRYHINGE_CALLER_LISTEN",
	  FIELD(caller_listen), "0.0.0.0:8080", 0, 0, 1, "IP:PORT",
	  "Interface for callers" },
	{ 'o', SETTING_ADDRESS, "onward-listen", "BILBERRYHINGE_ONWARD_LISTEN",
	  FIELD(onward_listen), "127.0.0.1:8081", 0, 0, 1, "IP:PORT",
	  "Interface for onward calls of the own backend server" },
	{ 'a', SETTING_ADDRESS, "admin-listen", "BILBERRYHINGE_ADMIN_LISTEN",
	  FIELD(admin_listen), "127.0.0.1:8082", 0, 0, 1, "IP:PORT",
	  "Interface for status, counters and spans" },
	{ 'R', SETTING_ADDRESS_LIST, "ready-listen",
	  "BILBERRYHINGE_READY_LISTEN", FIELD(ready_listen), "", 0, 0, 1,
	  "IP:PORT", "Interface for the platform's readiness checks" },
	{ 'p', SETTING_ADDRESS, "peer-listen", "BILBERRYHINGE_PEER_LISTEN",
	  FIELD(peer_listen), "0.0.0.0:8083", 0, 0, 1, "IP:PORT",
	  "Interface for other daemons" },
	{ 'b', SETTING_ADDRESS, "backend", "BILBERRYHINGE_BACKEND",
	  FIELD(backend), NULL, 0, 0, 1, "IP:PORT",
	  "Address of the own backend server" },
	{ 'P', SETTING_ADDRESS, "platform", "BILBERRYHINGE_PLATFORM",
	  FIELD(platform), NULL, 0, 0, 1, "IP:PORT",
	  "Address of the platform's configuration service" },
	{ 's', SETTING_SECRET, "fleet-secret", "BILBERRYHINGE_FLEET_SECRET",
	  FIELD(fleet_secret), NULL, 0, 0, 1, "TEXT",
	  "Secret shared by all daemons; prefer the environment variable, as "
	  "flags are visible to other users" },
	{ 'e', SETTING_ADDRESS_LIST, "seed-peers", "BILBERRYHINGE_SEED_PEERS",
	  FIELD(seed_peers), "", 0, 0, 1, "IP:PORT,...",
	  "Daemons that provide the configuration when the platform is down" },
	{ 'l', SETTING_LEVEL, "log-level", "BILBERRYHINGE_LOG_LEVEL",
	  FIELD(log_level), "info", 0, 0, 1, "LEVEL",
	  "error, warn, info or debug" },
	{ 'D', SETTING_DURATION, "drain-seconds", "BILBERRYHINGE_DRAIN_SECONDS",
	  FIELD(drain_us), "30", 1, 3600, BASE_SECOND_US, "SECONDS",
	  "Longest time for open requests to complete at a planned stop" },
	{ 'L', SETTING_DURATION, "leave-seconds", "BILBERRYHINGE_LEAVE_SECONDS",
	  FIELD(leave_us), "2", 0, 3600, BASE_SECOND_US, "SECONDS",
	  "Time for which a leaving backend server still takes requests after "
	  "its entry is removed from the platform" },
	{ 'H', SETTING_DURATION, "beat-seconds", "BILBERRYHINGE_BEAT_SECONDS",
	  FIELD(beat_us), "1500ms", 0, 3600, BASE_SECOND_US, "SECONDS",
	  "Interval in which a backend server writes its entry on the platform" },
	{ 'U', SETTING_DURATION, "reuse-after-seconds",
	  "BILBERRYHINGE_REUSE_AFTER_SECONDS", FIELD(reuse_after_us), "2", 0,
	  3600, BASE_SECOND_US, "SECONDS",
	  "Shortest time from the end of a backend server until its address may "
	  "belong to a server of another service" },
	{ 'm', SETTING_NUMBER, "max-connections",
	  "BILBERRYHINGE_MAX_CONNECTIONS", FIELD(max_connections), "4096", 1,
	  100000, 1, "COUNT",
	  "Largest number of concurrent connections that send requests" },
	{ 'B', SETTING_NUMBER, "max-body", "BILBERRYHINGE_MAX_BODY",
	  FIELD(max_body), "1048576", 1024, PEER_BODY_MAX_BYTES, 1, "BYTES",
	  "Largest request or answer body" },
	{ 'M', SETTING_NUMBER, "answer-memory-mb",
	  "BILBERRYHINGE_ANSWER_MEMORY_MB", FIELD(answer_memory), "48", 4,
	  65536, 1 << 20, "MB",
	  "Largest memory for answers that are being received or sent" },
	{ 'C', SETTING_SWITCH, "learned-capacity",
	  "BILBERRYHINGE_LEARNED_CAPACITY", FIELD(learned_capacity), "off", 0,
	  0, 1, "on|off",
	  "Learn how much load the own backend server sustains, and select "
	  "servers by expected completion time" },
	{ 'N', SETTING_NAME_LIST, "conditions", "BILBERRYHINGE_CONDITIONS",
	  FIELD(conditions), "", 0, 0, 1, "NAME,...",
	  "Conditions that the platform states for this deployment; some "
	  "switch on learned capacity and graph admission" },
	{ 'G', SETTING_SWITCH, "graph-admission",
	  "BILBERRYHINGE_GRAPH_ADMISSION", FIELD(graph_admission), "off", 0, 0,
	  1, "on|off",
	  "Whether requests whose calls would fail are refused at their entry" },
	{ 'I', SETTING_DURATION, "backend-idle-seconds",
	  "BILBERRYHINGE_BACKEND_IDLE_SECONDS", FIELD(backend_idle_us), "5", 1,
	  300, BASE_SECOND_US, "SECONDS",
	  "Time after which an idle connection to the backend server is not "
	  "used again, where the server announces none" },
	{ 'T', SETTING_NUMBER, "backend-connect-rate",
	  "BILBERRYHINGE_BACKEND_CONNECT_RATE", FIELD(backend_connect_rate),
	  "0", 0, 10000, 1, "COUNT",
	  "New connections a second to a backend server that refuses or resets "
	  "them; 0 for no limit" },
	{ 'Q', SETTING_NUMBER, "request-memory-mb",
	  "BILBERRYHINGE_REQUEST_MEMORY_MB", FIELD(request_memory), "32", 4,
	  65536, 1 << 20, "MB",
	  "Largest memory for requests that are being received or held" },
};

#define SETTING_COUNT BASE_ARRAY_SIZE(settings_table)

static void set_error(struct base_error *err, const struct setting *s,
		      const char *value, const char *allowed)
{
	base_error_set(err, "setting --%s (%s): value '%s' is not allowed: %s",
		       s->flag, s->env,
		       s->type == SETTING_SECRET ? "(hidden)" : value, allowed);
}

static bool check_address_list(const char *value)
{
	struct base_str rest = base_str_from(value);
	struct base_str item;
	struct sockaddr_storage addr;
	socklen_t len;

	while (base_str_next_item(&rest, &item))
		if (http_address_parse(item, &addr, &len, NULL))
			return false;
	return true;
}

static bool check_name_list(const char *value)
{
	struct base_str rest = base_str_from(value);
	struct base_str name;

	while (base_str_next_item(&rest, &name))
		if (!config_name_valid(name))
			return false;
	return true;
}

static enum daemon_status set_text(const struct setting *s, const char *value,
				   void *field, const char *allowed, bool ok,
				   struct base_error *err)
{
	char **text = field;

	if (!ok) {
		set_error(err, s, value, allowed);
		return DAEMON_ERR_SETTING;
	}
	*text = base_str_dup(base_str_from(value));
	return DAEMON_OK;
}

static bool is_name(const char *value)
{
	return *value && strlen(value) <= 64 &&
	       strspn(value, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
			     "UVWXYZ0123456789._-") == strlen(value);
}

static bool check_domain_list(const char *value)
{
	struct base_str rest = base_str_from(value);
	struct base_str item;
	char name[80];

	while (base_str_next_item(&rest, &item)) {
		snprintf(name, sizeof(name), "%.*s", BASE_STR_ARG(item));
		if (!is_name(name))
			return false;
	}
	return true;
}

static enum daemon_status set_number(const struct setting *s, const char *value,
				     int64_t *field, struct base_error *err)
{
	char allowed[96];
	int64_t number;

	if (!base_str_to_i64(base_str_from(value), &number) ||
	    number < s->min || number > s->max) {
		snprintf(allowed, sizeof(allowed),
			 "a whole number from %lld to %lld", (long long)s->min,
			 (long long)s->max);
		set_error(err, s, value, allowed);
		return DAEMON_ERR_SETTING;
	}
	*field = number * s->scale;
	return DAEMON_OK;
}

static enum daemon_status set_duration(const struct setting *s,
				       const char *value, int64_t *field,
				       struct base_error *err)
{
	char allowed[96];
	char *unit;
	double number = strtod(value, &unit);
	double us = number * BASE_SECOND_US;

	if (!strcmp(unit, "ms"))
		us = number * BASE_MS_US;
	else if (*unit && strcmp(unit, "s") != 0)
		unit = (char *)value;
	if (unit == value || us < (double)(s->min * BASE_SECOND_US) ||
	    us > (double)(s->max * BASE_SECOND_US)) {
		snprintf(allowed, sizeof(allowed),
			 "a number of seconds from %lld to %lld, or with the "
			 "unit s or ms",
			 (long long)s->min, (long long)s->max);
		set_error(err, s, value, allowed);
		return DAEMON_ERR_SETTING;
	}
	*field = (int64_t)us;
	return DAEMON_OK;
}

static enum daemon_status set_switch(const struct setting *s, const char *value,
				     bool *field, struct base_error *err)
{
	*field = !strcmp(value, "on");
	if (*field || !strcmp(value, "off"))
		return DAEMON_OK;
	set_error(err, s, value, "on or off");
	return DAEMON_ERR_SETTING;
}

static bool is_dialect(const char *value)
{
	return !strcmp(value, "native") || !strcmp(value, "platform");
}

static enum daemon_status apply_setting(const struct setting *s,
					const char *value,
					struct daemon_settings *settings,
					struct base_error *err)
{
	void *field = (char *)settings + s->offset;
	struct sockaddr_storage addr;
	socklen_t len;

	switch (s->type) {
	case SETTING_NAME:
		return set_text(s, value, field,
				"1 to 64 letters, digits, '.', '_' and '-'",
				is_name(value), err);
	case SETTING_OPTIONAL_NAME:
		return set_text(s, value, field,
				"empty, or a name as in the configuration",
				!*value || is_name(value), err);
	case SETTING_DIALECT:
		return set_text(s, value, field, "native or platform",
				is_dialect(value), err);
	case SETTING_ADDRESS:
		return set_text(s, value, field, "IP:PORT",
				!http_address_parse(base_str_from(value), &addr,
						    &len, NULL),
				err);
	case SETTING_NAME_LIST:
		return set_text(s, value, field, "names, separated by commas",
				check_name_list(value), err);
	case SETTING_DOMAIN_LIST:
		return set_text(s, value, field,
				"names as of --domain, separated by commas",
				check_domain_list(value), err);
	case SETTING_ADDRESS_LIST:
		return set_text(s, value, field,
				"IP:PORT, several separated by commas",
				check_address_list(value), err);
	case SETTING_SECRET:
		return set_text(s, value, field, "at least 16 characters",
				strlen(value) >= PEER_SECRET_MIN_BYTES, err);
	case SETTING_LEVEL:
		if (base_log_level_parse(base_str_from(value), field))
			return DAEMON_OK;
		set_error(err, s, value, "error, warn, info or debug");
		return DAEMON_ERR_SETTING;
	case SETTING_SWITCH:
		return set_switch(s, value, field, err);
	case SETTING_NUMBER:
		return set_number(s, value, field, err);
	case SETTING_DURATION:
		return set_duration(s, value, field, err);
	}
	return DAEMON_ERR_SETTING;
}

static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	const char **values = state->input;
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		if (settings_table[i].key == key) {
			values[i] = arg;
			return 0;
		}
	}
	if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument '%s'", arg);
	return ARGP_ERR_UNKNOWN;
}

static void build_options(struct argp_option *options, struct base_buf *docs)
{
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		const struct setting *s = &settings_table[i];

		base_buf_addf(&docs[i], "%s [%s, %s%s]", s->doc, s->env,
			      s->default_value ? "default " : "required",
			      s->default_value ? s->default_value : "");
		options[i] = (struct argp_option){
			.name = s->flag,
			.key = s->key,
			.arg = s->arg,
			.doc = docs[i].ptr,
		};
	}
}

enum daemon_status daemon_settings_parse(int argc, char **argv,
					 struct daemon_settings *settings,
					 struct base_error *err)
{
	struct argp_option options[SETTING_COUNT + 1] = { 0 };
	struct base_buf docs[SETTING_COUNT] = { 0 };
	const char *values[SETTING_COUNT] = { 0 };
	struct argp argp = {
		.options = options,
		.parser = parse_flag,
		.doc = "Overload control daemon beside one backend server.\v"
		       "Each setting is a flag or an environment variable; a "
		       "flag overrides its variable.",
	};
	enum daemon_status status = DAEMON_OK;
	size_t i;

	memset(settings, 0, sizeof(*settings));
	build_options(options, docs);
	argp_parse(&argp, argc, argv, 0, NULL, values);
	for (i = 0; i < SETTING_COUNT && status == DAEMON_OK; i++) {
		const struct setting *s = &settings_table[i];

		if (!values[i])
			values[i] = getenv(s->env);
		if (!values[i])
			values[i] = s->default_value;
		if (values[i]) {
			status = apply_setting(s, values[i], settings, err);
			continue;
		}
		base_error_set(err, "setting --%s (%s) is required", s->flag,
			       s->env);
		status = DAEMON_ERR_SETTING;
	}
	for (i = 0; i < SETTING_COUNT; i++)
		base_buf_release(&docs[i]);
	return status;
}

void daemon_settings_release(struct daemon_settings *settings)
{
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		const struct setting *s = &settings_table[i];

		if (s->type != SETTING_NUMBER && s->type != SETTING_LEVEL &&
		    s->type != SETTING_DURATION && s->type != SETTING_SWITCH)
			free(*(char **)((char *)settings + s->offset));
	}
	memset(settings, 0, sizeof(*settings));
}

const char *daemon_strerror(enum daemon_status status)
{
	switch (status) {
	case DAEMON_OK:
		return "success";
	case DAEMON_ERR_SETTING:
		return "invalid setting";
	case DAEMON_ERR_LISTEN:
		return "cannot listen";
	case DAEMON_ERR_SYSTEM:
		return "system call failed";
	}
	return "unknown status";
}
