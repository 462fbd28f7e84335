/**
 * @file
 * Dialects: the headers, paths and value formats of one platform.
 *
 * The setting --dialect selects the dialect that the daemon uses towards
 * callers, backend servers and the platform. All decisions are made outside of
 * it: a dialect gives names of headers and paths, states a few properties of
 * the platform and decodes its values. The native dialect is the product's own
 * interface.
 */
#ifndef DIALECT_H
#define DIALECT_H

#include "config.h"
#include "http.h"

/** One value of the platform's registry; does not own its strings. */
struct registry_item {
	struct base_str key;
	struct base_str value;
	/** Revision of the last change. */
	int64_t revision;
	/** Revision at which the key was created. */
	int64_t created;
	/** The key was removed; @p value is empty. */
	bool removed;
};

/** A decoded answer of the registry to a range read or a watch. */
struct registry_page {
	struct registry_item *items;
	size_t count;
	/** Revision of the registry at the time of the answer. */
	int64_t revision;
	/** It answers a range read, not a watch. */
	bool lists_items;
	/** The range has further items after @p last_key. */
	bool more;
	/** Key of the last item, also of one that is left out. */
	struct base_str last_key;
	/** Number of items without key or revision, which are left out. */
	size_t malformed_count;
	/** Memory of the items, owned by the page. */
	void *memory;
};

/**
 * Place of a write in the order of its writer, which does not depend on
 * revisions: by @p start, then by @p sequence.
 */
struct registry_write_order {
	/** Start of the writer; 0 when it has none. */
	int64_t start;
	int64_t sequence;
};

/** Decoded contents of the registry; defined by each codec. */
struct registry_view;

struct registry_view_settings {
	/** Port of the peer interface, equal on all VMs. */
	uint16_t peer_port;
	/** Region of the failure domains. */
	struct base_str region;
};

/** Protocol of a platform's registry: call targets, answers and values. */
struct registry_codec {
	/**
	 * Appends the target of a read of the items after the key @p after;
	 * with an empty key, of all items.
	 */
	void (*range_target)(struct base_str after, struct base_buf *out);
	/**
	 * Appends the target of a long poll for changes after @p revision that
	 * waits for at most @p wait_ms.
	 */
	void (*watch_target)(int64_t revision, int64_t wait_ms,
			     struct base_buf *out);
	/** @return false with @p err set when the answer cannot be read */
	bool (*page_parse)(struct base_str body, struct registry_page *page,
			   struct base_error *err);
	void (*page_release)(struct registry_page *page);
	/** The status means that the requested revision is no longer stored. */
	bool (*is_revision_compacted)(int status);
	/**
	 * Header of all answers whose number rises by one each time the
	 * registry was restored from an older copy of itself.
	 */
	const char *era_header;
	/** The key is that of a backend server's entry. */
	bool (*is_server)(struct base_str key);
	/**
	 * Reads the place of a value in the order of its writer.
	 * @return false when the writer of the key states none, or the value
	 *         cannot be read; NULL when no writer does
	 */
	bool (*write_order)(struct base_str key, struct base_str value,
			    struct registry_write_order *order);

	struct registry_view *(*view_create)(
		const struct registry_view_settings *settings);
	void (*view_destroy)(struct registry_view *view);
	/**
	 * Decodes a value. A malformed value replaces the previous one too,
	 * except for the configuration, which is kept.
	 * @return false with @p err set when the value is malformed; true with
	 *         @p err set when only one field is malformed and was left out
	 */
	bool (*view_put)(struct registry_view *view,
			 const struct registry_item *item,
			 struct base_error *err);
	void (*view_remove)(struct registry_view *view, struct base_str key);
	/**
	 * @return a snapshot with one reference, which the caller owns; NULL
	 *         before the first configuration
	 */
	const struct config_snapshot *(*view_assemble)(
		const struct registry_view *view, int64_t version,
		const struct base_digest *digest);
	/** Version that the operators gave the configuration. */
	int64_t (*view_version)(const struct registry_view *view);
};

/** Names of headers; NULL for a header that the dialect does not have. */
struct dialect_headers {
	/** Identifies one request of a caller. */
	const char *request_id;
	/** In requests: time for which the sender waits, in milliseconds. */
	const char *timeout_ms;
	/** In requests to backend servers: client account. */
	const char *account;
	/** In requests to backend servers: service of the VM of the entry. */
	const char *caller_service;
	/** In requests to backend servers: identity of the intended server. */
	const char *expect_instance;
	/** In answers of backend servers: identity of the server. */
	const char *instance;
	/** In answers: the backend server has not run the request. */
	const char *not_run;
	/**
	 * In answers to health checks: time for which the backend server stays
	 * cold, in milliseconds.
	 */
	const char *cold_ms;
	/**
	 * In answers of a backend server in need: requests a second that it
	 * takes from all VMs together, as a decimal number.
	 */
	const char *rate_limit;
	/** In answers of a backend server that leaves: 1. */
	const char *leaving;
	/**
	 * In requests to backend servers: token of the request, which the
	 * server repeats in its onward calls.
	 */
	const char *call_token;
	/** In answers: VM that served the request. */
	const char *served_by;
};

struct daemon_dialect {
	const char *name;
	struct dialect_headers headers;
	/** Path of readiness checks. */
	const char *ready_path;
	/**
	 * Time for which new callers still arrive after readiness checks fail,
	 * in us; 0 where a stopping daemon need not wait for them.
	 */
	int64_t deregistration_delay_us;
	/**
	 * The statuses 408, 421, 429 and 503 mean that a request has not run;
	 * there is no header for that.
	 */
	bool status_implies_not_run;
	/** Non-idempotent requests carry an Idempotency-Key header. */
	bool idempotency_keys;
	/** W3C trace context is read and propagated. */
	bool trace_context;
	/**
	 * Number of server deaths with which a request may be associated before
	 * it needs a permit to run. Where requests that crash servers are rare
	 * and do not count against the system, a single death is no reason to
	 * hold back every request that ran on the server at the time.
	 */
	uint32_t permit_free_deaths;
	/** Answers of backend servers may be delimited by connection close. */
	bool accept_close_delimited;
	/** The caller's Host header is forwarded to backend servers. */
	bool forwards_host;
	/**
	 * Condition of a deployment whose backend servers fail or slow down
	 * while their health checks pass; NULL where none is stated. It
	 * switches on learned capacity and graph admission.
	 */
	const char *unreliable_servers_condition;
	/**
	 * Splits the value of an Authorization header into the id of an API key
	 * and its secret. A derived id is stored in @p id_buf.
	 * @return false when the value does not have the form of a key
	 */
	bool (*parse_credential)(struct base_str authorization,
				 char id_buf[CONFIG_CREDENTIAL_ID_LEN + 1],
				 struct base_str *id, struct base_str *secret);
	/** NULL when the platform serves the product's own published form. */
	const struct registry_codec *registry;
};

struct daemon_settings;

/**
 * Switches on what the conditions in @p settings call for. Conditions that the
 * dialect does not name are ignored.
 */
void dialect_apply_conditions(const struct daemon_dialect *dialect,
			      struct daemon_settings *settings);

/** The native dialect; static. */
const struct daemon_dialect *dialect_native(void);

/**
 * Derives the id of an API key that is published without one: the start of the
 * hex digest of its secret.
 */
void dialect_derive_key_id(struct base_str secret,
			   char id[CONFIG_CREDENTIAL_ID_LEN + 1]);

/** True for a header of callers that is not forwarded to backend servers. */
bool dialect_is_reserved_header(const struct daemon_dialect *dialect,
				struct base_str name);

#endif
