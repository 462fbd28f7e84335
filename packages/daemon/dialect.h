/**
 * @file
 * How callers, backend servers and the platform spell what the daemon means.
 *
 * The daemon decides; a dialect only names headers and paths and decodes values
 * of the platform. The native dialect is the product's own interface.
 */
#ifndef DIALECT_H
#define DIALECT_H

#include "config.h"
#include "http.h"

/** One value of the platform's registry; the views belong to the caller. */
struct registry_item {
	struct base_str key;
	struct base_str value;
	/** Of its last change. */
	int64_t revision;
	/** Revision at which the key appeared. */
	int64_t created;
	/** The key was removed; @p value is empty. */
	bool removed;
};

/** A decoded answer of the registry, of a range or of a watch. */
struct registry_page {
	struct registry_item *items;
	size_t count;
	/** Revision that the answer reflects. */
	int64_t revision;
	/** The range goes on after the last key. */
	bool more;
	/** Items without key or revision, which are left out. */
	size_t malformed_count;
	/** Owned by the page. */
	void *memory;
};

/** Decoded contents of the registry. */
struct registry_view;

struct registry_view_settings {
	/** Port of the peer interface, equal on all VMs. */
	uint16_t peer_port;
	/** Region of the failure domains. */
	struct base_str region;
};

/** Translation of a platform's registry: calls, answers and values. */
struct registry_codec {
	/** Target of a read of the items after @p after, all at first. */
	void (*range_target)(struct base_str after, struct base_buf *out);
	/** Target of a read that waits for a change after @p revision. */
	void (*watch_target)(int64_t revision, int64_t wait_ms,
			     struct base_buf *out);
	/** @return false with @p err set when the answer cannot be read */
	bool (*page_parse)(struct base_str body, struct registry_page *page,
			   struct base_error *err);
	void (*page_release)(struct registry_page *page);
	/** The status says that the revision asked for is forgotten. */
	bool (*is_revision_compacted)(int status);
	/** The item is the entry of a backend server. */
	bool (*is_server)(struct base_str key);

	struct registry_view *(*view_create)(
		const struct registry_view_settings *settings);
	void (*view_destroy)(struct registry_view *view);
	/**
	 * Decodes a value. One that cannot be read takes the place of the
	 * former one, except for the configuration, which stays.
	 * @return false with @p err set when the value cannot be read; when it
	 *         is taken without a field that cannot be read, @p err names it
	 */
	bool (*view_put)(struct registry_view *view,
			 const struct registry_item *item,
			 struct base_error *err);
	void (*view_remove)(struct registry_view *view, struct base_str key);
	/**
	 * @return a snapshot with one reference; NULL before the first
	 *         configuration
	 */
	const struct config_snapshot *(*view_assemble)(
		const struct registry_view *view, int64_t version,
		const struct base_digest *digest);
	/** Version of the configuration in the operators' words. */
	int64_t (*view_version)(const struct registry_view *view);
};

/** Names of headers; NULL for one that the interface does not have. */
struct dialect_headers {
	/** Identifies one request of a caller. */
	const char *request_id;
	/** Time that the sender of a request waits, in milliseconds. */
	const char *timeout_ms;
	/** Client account, told to backend servers. */
	const char *account;
	/** Service at whose VM a request began, told to backend servers. */
	const char *caller_service;
	/** Identity of the backend server that is to run a request. */
	const char *expect_instance;
	/** Identity of a backend server, in its answers. */
	const char *instance;
	/** In answers: the backend server has not run the request. */
	const char *not_run;
	/** In answers to health checks: time for which it stays cold. */
	const char *cold_ms;
	/** Names the running request in calls of a backend server. */
	const char *call_token;
	/** Names the VM that served a request, in answers. */
	const char *served_by;
};

struct daemon_dialect {
	const char *name;
	struct dialect_headers headers;
	/** Path of the readiness interface. */
	const char *ready_path;
	/**
	 * Time for which callers still come after the readiness has ended; 0
	 * where a daemon that stops need not wait for them.
	 */
	int64_t deregistration_delay_us;
	/**
	 * Statuses 408, 421, 429 and 503 promise that a request has not run;
	 * no header says so.
	 */
	bool status_implies_not_run;
	/** Non-idempotent requests carry an Idempotency-Key. */
	bool idempotency_keys;
	/** W3C trace context is read and passed on. */
	bool trace_context;
	/**
	 * Deaths of servers that a request may be seen at before it needs a
	 * permit to run. Where requests that crash servers are rare and are not
	 * counted against the system, one death is no reason to hold back all
	 * that were running beside it.
	 */
	uint32_t permit_free_deaths;
	/** Answers of backend servers may end with their connection. */
	bool accept_close_delimited;
	/** Backend servers get the caller's Host header. */
	bool forwards_host;
	/**
	 * Splits the value of Authorization into the id of a key and its
	 * secret. @p id_buf holds the id when it is derived.
	 * @return false when it does not have the form of a key
	 */
	bool (*parse_credential)(struct base_str authorization,
				 char id_buf[CONFIG_CREDENTIAL_ID_LEN + 1],
				 struct base_str *id, struct base_str *secret);
	/** NULL for the product's own published form. */
	const struct registry_codec *registry;
};

/** The product's own interface. */
const struct daemon_dialect *dialect_native(void);

/**
 * Id of a key that is published without one: the start of the secret's digest.
 */
void dialect_derive_key_id(struct base_str secret,
			   char id[CONFIG_CREDENTIAL_ID_LEN + 1]);

/** True for a header that a caller may not set towards backend servers. */
bool dialect_is_reserved_header(const struct daemon_dialect *dialect,
				struct base_str name);

#endif
