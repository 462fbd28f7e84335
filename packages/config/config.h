/**
 * @file
 * Configuration: parsing and checking the objects that operators write,
 * rendering them into the published form, and building the immutable snapshots
 * that daemons read.
 *
 * Operators' files and published parts share one document format,
 * `{"schema":2,"objects":[{"kind":...,"name":...}]}`. Data flows as follows:
 *
 *     files -> config_set -> check -> publication (manifest and parts)
 *           -> config_manifest -> config_snapshot
 *
 * Unless a function's documentation says otherwise, an object may be used by
 * one thread at a time. Only snapshots may be shared between threads.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "base.h"

/** Schema of written documents. Schema 1 is upgraded when it is read. */
#define CONFIG_SCHEMA 2
/** Size limit of one value in the configuration service. */
#define CONFIG_VALUE_MAX_BYTES 1000000
/**
 * Keys in the configuration service. The key of a part is the prefix followed
 * by the part's digest in hexadecimal.
 */
#define CONFIG_KEY_MANIFEST "bilberryhinge/manifest"
#define CONFIG_KEY_PART_PREFIX "bilberryhinge/parts/"
#define CONFIG_KEY_VMS "platform/vms"

/** Status codes of the functions in this package. */
enum config_status {
	CONFIG_OK = 0,
	/** Not JSON, a repeated member, or not the expected structure. */
	CONFIG_ERR_SYNTAX,
	/** The schema is not supported by this version. */
	CONFIG_ERR_SCHEMA,
	/** config_set_check() found problems. */
	CONFIG_ERR_PROBLEMS,
	/** A part listed in the manifest is not available. */
	CONFIG_ERR_MISSING,
	/** The size or digest of a part does not match the manifest. */
	CONFIG_ERR_DIGEST,
	/** An argument is out of range. */
	CONFIG_ERR_INVALID,
};

/** Returns a static string that describes @p status, never NULL. */
const char *config_strerror(enum config_status status);

/** One problem in a set. All strings are NUL-terminated, none is NULL. */
struct config_problem {
	/** Kind of the object, or "part" for a published part; may be empty. */
	char *kind;
	char *name;
	char *field;
	/** The value as JSON, truncated when long; empty when absent. */
	char *value;
	char *reason;
	/** File or part that contains the object. */
	char *source;
};

/** All problems in a set. */
struct config_report {
	struct config_problem *problems;
	size_t count;
	size_t cap;
};

#define CONFIG_REPORT_INIT ((struct config_report){ NULL, 0, 0 })

void config_report_release(struct config_report *report);

/**
 * Returns whether @p name is a valid object name: 1 to 64 ASCII letters,
 * digits, '.', '_' and '-'.
 */
bool config_name_valid(struct base_str name);

/** Objects collected from files or parts. */
struct config_set;

struct config_set *config_set_create(void);
void config_set_destroy(struct config_set *set);
/** Cleanup function for BASE_CLEANUP. */
void config_set_cleanup(struct config_set **set);
/**
 * Adds the objects of one document and upgrades them to CONFIG_SCHEMA. Problems
 * within objects are recorded and reported by config_set_check().
 * @param source  name of the document in problems, for example a file path;
 *                the set keeps a copy
 * @return CONFIG_OK, or CONFIG_ERR_SYNTAX or CONFIG_ERR_SCHEMA with @p err set
 *         and the set unchanged
 */
enum config_status config_set_add(struct config_set *set, const char *source,
				  struct base_str text, struct base_error *err);
/** Number of objects, including duplicates. */
size_t config_set_count(const struct config_set *set);
/**
 * Checks the whole set and appends every problem to @p report.
 * @return CONFIG_ERR_PROBLEMS when at least one was appended, else CONFIG_OK
 */
enum config_status config_set_check(const struct config_set *set,
				    struct config_report *report);

/**
 * Appends advice on a valid set: entries without effect, such as an account
 * without an active key, and limits that contradict each other. None of it
 * keeps the set from being published.
 */
void config_set_advise(const struct config_set *set,
		       struct config_report *report);

enum config_change_type {
	CONFIG_CHANGE_ADDED,
	CONFIG_CHANGE_REMOVED,
	CONFIG_CHANGE_FIELD,
};

/** One difference. All strings are NUL-terminated, none is NULL. */
struct config_change {
	enum config_change_type type;
	char *kind;
	char *name;
	/** Empty unless the type is CONFIG_CHANGE_FIELD. */
	char *field;
	/** Values as JSON; empty when the field or object is absent. */
	char *before;
	char *after;
};

struct config_diff {
	struct config_change *changes;
	size_t count;
	size_t cap;
};

#define CONFIG_DIFF_INIT ((struct config_diff){ NULL, 0, 0 })

/**
 * Appends the changes from @p before to @p after, in the order of kind, name
 * and field.
 */
void config_set_diff(const struct config_set *before,
		     const struct config_set *after, struct config_diff *diff);
void config_diff_release(struct config_diff *diff);

/** Entry of a part in the manifest. */
struct config_part {
	char name[32];
	struct base_digest digest;
	size_t size;
};

/** A published part with its contents. */
struct config_published_part {
	struct config_part part;
	struct base_buf bytes;
};

/** The published form of a set. Parts without objects are omitted. */
struct config_publication {
	int64_t version;
	/** Value to store under CONFIG_KEY_MANIFEST. */
	struct base_buf manifest;
	struct config_published_part *parts;
	size_t part_count;
};

/**
 * Checks a set and renders it. Equal sets and versions yield identical bytes.
 * @param version  at least 1
 * @return a publication that the caller destroys, or NULL with @p err set and
 *         CONFIG_ERR_PROBLEMS or CONFIG_ERR_INVALID in @p status
 */
struct config_publication *config_set_render(const struct config_set *set,
					     int64_t version,
					     enum config_status *status,
					     struct base_error *err);
void config_publication_destroy(struct config_publication *publication);

/** The list of parts of one version. */
struct config_manifest {
	int64_t version;
	/** Digest of the manifest's bytes; orders manifests of one version. */
	struct base_digest digest;
	struct config_part *parts;
	size_t part_count;
};

/**
 * @return a manifest that the caller destroys, or NULL with @p status and
 *         @p err set when @p text is not a valid manifest
 */
struct config_manifest *config_manifest_parse(struct base_str text,
					      enum config_status *status,
					      struct base_error *err);
void config_manifest_destroy(struct config_manifest *manifest);

struct config_region {
	size_t index;
	struct base_str name;
};

struct config_domain {
	size_t index;
	struct base_str name;
	const struct config_region *region;
	/** Taken out of service: the VMs receive no new requests. */
	bool out;
};

struct config_service;

struct config_vm {
	size_t index;
	struct base_str name;
	const struct config_domain *domain;
	const struct config_service *service;
	/**
	 * IP address and port of the peer interface, "a.b.c.d:port" or
	 * "[v6]:port"; NUL-terminated.
	 */
	struct base_str address;
	/** Being removed from service. */
	bool leaving;
	/**
	 * Identity of the running backend server, which confirms it for each
	 * request; empty when the platform has none.
	 */
	struct base_str instance;
	/** IP address and port of the backend server; empty when unknown. */
	struct base_str backend;
	/** Maximum number of concurrent requests; 0: slots of the service. */
	int64_t slots;
	/** Remaining cold-start time that the backend server reported. */
	int64_t cold_remaining_us;
	/** Unix time at which the backend server started; 0 when unknown. */
	int64_t started_ms;
};

struct config_service {
	size_t index;
	struct base_str name;
	/** Maximum number of concurrent requests per backend server. */
	int64_t slots;
	/** Maximum number of connections per backend server. */
	int64_t connections;
	/** As slots, but directly after a cold start. */
	int64_t cold_slots;
	/** Time from a cold start to full capacity. */
	int64_t cold_us;
	/**
	 * Request rate that a backend server sustains while cold; 0 when the
	 * slots apply instead.
	 */
	double cold_rate_per_s;
	/** Path of the backend server's health check; empty for none. */
	struct base_str health_path;
	/** Sorted by name. */
	const struct config_vm *const *vms;
	size_t vm_count;
};

struct config_account {
	size_t index;
	struct base_str name;
	/** Requests per second over all VMs. */
	int64_t rate;
	/** Requests admitted in a burst above the rate, over all VMs. */
	int64_t burst;
	/** Share in fair queuing, relative to the other accounts. */
	int64_t weight;
	bool cancelled;
	/** Overrides the priority of the route; NULL for none. */
	const struct config_priority *priority;
};

struct config_key {
	size_t index;
	struct base_str name;
	struct base_str id;
	/** BLAKE2b-256 of the secret in its textual form. */
	struct base_digest digest;
	const struct config_account *account;
	/** Revoked. */
	bool withdrawn;
};

struct config_priority {
	size_t index;
	struct base_str name;
	/** 0 is the highest priority; equal to the index. */
	uint32_t level;
};

/** One of several services among which a route's requests are divided. */
struct config_split {
	const struct config_service *service;
	/** Share of the requests, relative to the sum of the weights. */
	int64_t weight;
};

struct config_route {
	size_t index;
	struct base_str name;
	/** Empty for any host. */
	struct base_str host;
	/** Empty for any method. */
	struct base_str method;
	struct base_str path_prefix;
	/** The only service, or the first one of splits. */
	const struct config_service *service;
	const struct config_split *splits;
	/** 0 when all requests go to service. */
	size_t split_count;
	const struct config_priority *priority;
	bool idempotent;
	/** Backend servers that a request may be sent to; 0: no limit. */
	int64_t max_attempts;
	/** Target latency: an answer within it has full value; 0: unknown. */
	int64_t target_latency_us;
	/** Accepts requests without a caller's key. */
	bool open;
	int64_t timeout_us;
	int64_t max_body_bytes;
};

/** Limits on requests from callers; 0 means no limit. */
struct config_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/**
 * One version of the configuration. It is immutable, and any thread may read it
 * while holding a reference. Arrays are sorted by name, priorities from the
 * highest to the lowest, and the index of an object is its position in its
 * array, so that equal manifests yield equal indexes on all daemons. All
 * strings are NUL-terminated and live as long as the snapshot.
 */
struct config_snapshot {
	int64_t version;
	struct base_digest digest;
	const struct config_region *regions;
	size_t region_count;
	const struct config_domain *domains;
	size_t domain_count;
	const struct config_vm *vms;
	size_t vm_count;
	const struct config_service *services;
	size_t service_count;
	const struct config_account *accounts;
	size_t account_count;
	const struct config_key *keys;
	size_t key_count;
	const struct config_priority *priorities;
	size_t priority_count;
	const struct config_route *routes;
	size_t route_count;
	struct config_limits limits;
};

/**
 * Provides the contents of a part, which must remain valid until the next call
 * or until config_snapshot_create() returns.
 * @return false when the part is not available
 */
typedef bool (*config_part_cb)(void *ctx, const struct config_part *part,
			       struct base_str *bytes);

/** A config_part_cb whose @p ctx is a struct config_publication. */
bool config_publication_fetch_part(void *ctx, const struct config_part *part,
				   struct base_str *bytes);

/**
 * Fetches the parts, verifies their sizes and digests, and runs
 * config_set_check() on their objects.
 * @param report  receives the problems; may be NULL
 * @return a snapshot with one reference, or NULL with @p status and @p err set
 */
const struct config_snapshot *
config_snapshot_create(const struct config_manifest *manifest,
		       config_part_cb fetch, void *ctx,
		       struct config_report *report, enum config_status *status,
		       struct base_error *err);
/**
 * Makes a deep copy of a snapshot that was not built from a manifest. The
 * arrays of @p draft must be sorted by name, priorities by level; each index
 * must equal the position in its array, and pointers between objects must point
 * into the arrays of @p draft. This function fills in the vms of services.
 * @return a snapshot with one reference that shares no memory with @p draft
 */
const struct config_snapshot *
config_snapshot_copy(const struct config_snapshot *draft);
/**
 * Takes another reference. May be called by any thread that holds one.
 * @return @p snapshot
 */
const struct config_snapshot *
config_snapshot_ref(const struct config_snapshot *snapshot);
/**
 * Drops a reference and frees the snapshot with the last one. May be called by
 * any thread. NULL is ignored.
 */
void config_snapshot_unref(const struct config_snapshot *snapshot);

/**
 * Returns the route with the longest path prefix that ends on a segment
 * boundary of @p path. Among equal prefixes, a route for this host takes
 * precedence over one for any host, then a route for this method over one for
 * any method. Routes for another host or method do not match. Paths and
 * methods are compared byte by byte, hosts without regard to case; a query
 * after '?' is ignored.
 * @param host  as sent by the caller, without the port
 * @return NULL when no route matches
 */
const struct config_route *
config_snapshot_match_route(const struct config_snapshot *snapshot,
			    struct base_str host, struct base_str method,
			    struct base_str path);
/*
 * The objects that the following functions return belong to the snapshot. They
 * return NULL when there is no such object.
 */
const struct config_key *
config_snapshot_find_key(const struct config_snapshot *snapshot,
			 struct base_str id);
const struct config_vm *
config_snapshot_find_vm(const struct config_snapshot *snapshot,
			struct base_str name);
const struct config_service *
config_snapshot_find_service(const struct config_snapshot *snapshot,
			     struct base_str name);
const struct config_route *
config_snapshot_find_route(const struct config_snapshot *snapshot,
			   struct base_str name);
const struct config_account *
config_snapshot_find_account(const struct config_snapshot *snapshot,
			     struct base_str name);
const struct config_domain *
config_snapshot_find_domain(const struct config_snapshot *snapshot,
			    struct base_str name);
/**
 * Ranks VMs by rendezvous weight for @p key, highest first. VMs that are
 * leaving or belong to a failure domain taken out of service are included; the
 * caller decides whether to use them.
 * @param domain   only VMs of this failure domain; NULL for all
 * @param service  only VMs of this service; NULL for all
 * @return number of VMs written to @p out, at most @p max
 */
size_t config_snapshot_rank_vms(const struct config_snapshot *snapshot,
				struct base_str key,
				const struct config_domain *domain,
				const struct config_service *service,
				const struct config_vm **out, size_t max);

/** Entry of the platform's list of VMs. */
struct config_vm_state {
	char *name;
	bool leaving;
};

/** The platform's list of VMs, sorted by name. */
struct config_vm_list {
	struct config_vm_state *vms;
	size_t count;
};

/**
 * Parses the value of CONFIG_KEY_VMS. Unknown members are ignored, as the
 * platform defines the format.
 * @return a list that the caller destroys, or NULL with @p err set when @p text
 *         is not valid
 */
struct config_vm_list *config_vm_list_parse(struct base_str text,
					    struct base_error *err);
void config_vm_list_destroy(struct config_vm_list *list);
/** Returns NULL when the VM is not in the list. */
const struct config_vm_state *
config_vm_list_find(const struct config_vm_list *list, struct base_str name);

/** Characters of a generated key's id and secret, and the prefix of keys. */
#define CONFIG_CREDENTIAL_ID_LEN 16
#define CONFIG_CREDENTIAL_SECRET_LEN 64
#define CONFIG_CREDENTIAL_PREFIX "bhk_"

/**
 * A caller's key in plain text. The secret is never published; callers of this
 * package wipe it after use with config_credential_wipe().
 */
struct config_credential {
	char id[CONFIG_CREDENTIAL_ID_LEN + 1];
	char secret[CONFIG_CREDENTIAL_SECRET_LEN + 1];
};

/** Generates a credential with the operating system's random generator. */
void config_credential_generate(struct config_credential *credential);
void config_credential_wipe(struct config_credential *credential);
/**
 * Parses `bhk_ID_SECRET`. @p id and @p secret point into @p text.
 * @return false when @p text does not have this form
 */
bool config_credential_parse(struct base_str text, struct base_str *id,
			     struct base_str *secret);
/** Compares the digest of @p secret with that of @p key in constant time. */
bool config_credential_verify(const struct config_key *key,
			      struct base_str secret);

#endif
