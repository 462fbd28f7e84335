/**
 * @file
 * The daemon that runs on each backend server VM.
 *
 * A daemon has two tasks. The data task runs on the thread that calls
 * daemon_run(); it owns all interfaces and all state of the decisions. The
 * control task has a thread of its own; it reads the platform and checks
 * configurations. The tasks communicate by messages only.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "base.h"

enum daemon_status {
	DAEMON_OK = 0,
	/** A setting is missing or not allowed. */
	DAEMON_ERR_SETTING,
	/** An address cannot be bound. */
	DAEMON_ERR_LISTEN,
	/** A library or the control task cannot be started. */
	DAEMON_ERR_SYSTEM,
};

/** Returns a static description of a status. Never NULL. */
const char *daemon_strerror(enum daemon_status status);

/** All settings, checked. Strings are NUL-terminated. */
struct daemon_settings {
	char *vm;
	char *domain;
	/**
	 * Failure domains of the deployment, separated by commas; those that
	 * the platform lists are added.
	 */
	char *domains;
	char *region;
	/**
	 * Service of the own backend server, sent as the caller's service with
	 * requests that enter here. Empty to send none and to go by the
	 * configuration.
	 */
	char *service;
	/** "native" or "platform". */
	char *dialect;
	/** Conditions that the platform states, separated by commas. */
	char *conditions;
	char *caller_listen;
	char *onward_listen;
	char *admin_listen;
	/**
	 * Interface for the platform's readiness checks; empty to answer them
	 * on admin_listen only.
	 */
	char *ready_listen;
	char *peer_listen;
	char *backend;
	char *platform;
	char *fleet_secret;
	/**
	 * Comma-separated peer addresses, from which the configuration is
	 * fetched when the platform is down and none is active.
	 */
	char *seed_peers;
	enum base_log_level log_level;
	/** Longest duration of a planned stop, in which requests complete. */
	int64_t drain_us;
	/** Limit of the bytes held for all answers together. */
	int64_t answer_memory;
	/** Limit of the bytes held for all requests together. */
	int64_t request_memory;
	/** Time for which a leaving backend server still takes requests. */
	int64_t leave_us;
	/** Interval in which a backend server writes its entry. */
	int64_t beat_us;
	/**
	 * Shortest time from the end of a backend server until its address may
	 * belong to a server of another service.
	 */
	int64_t reuse_after_us;
	/** Idle time of connections to the backend server, in us. */
	int64_t backend_idle_us;
	/** New connections a second to a server in trouble; 0 for no limit. */
	int64_t backend_connect_rate;
	/** Largest number of concurrent caller connections. */
	/** Largest number of concurrent connections that send requests. */
	int64_t max_connections;
	/** Largest request and answer body, in bytes. */
	int64_t max_body;
	/**
	 * Learn how much load the backend server sustains, and select servers
	 * by expected completion time.
	 */
	bool learned_capacity;
	/** Admission control for whole call graphs is in force. */
	bool graph_admission;
};

/**
 * Reads settings from flags and environment variables; a flag overrides its
 * variable. With --help or --version it prints and ends the process.
 * @param settings  to be released with daemon_settings_release(), also after an
 *                  error
 * @return DAEMON_OK, or DAEMON_ERR_SETTING with a message that names the
 *         setting, its value and the allowed ones
 */
enum daemon_status daemon_settings_parse(int argc, char **argv,
					 struct daemon_settings *settings,
					 struct base_error *err);
void daemon_settings_release(struct daemon_settings *settings);

struct daemon;

struct daemon_dialect;

/**
 * Binds all interfaces and starts the control task.
 * @param settings  must outlive the daemon
 * @param out       set on success; to be released with daemon_destroy()
 */
enum daemon_status daemon_create(const struct daemon_settings *settings,
				 const struct daemon_dialect *dialect,
				 struct daemon **out, struct base_error *err);
/** Serves until SIGTERM or SIGINT, then drains open requests and returns. */
void daemon_run(struct daemon *daemon);
void daemon_destroy(struct daemon *daemon);

#endif
