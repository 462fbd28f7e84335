/**
 * @file
 * Configuration: the objects that operators write, the check of the whole set,
 * the published form and the immutable snapshots that daemons work with.
 *
 * Operators' files and published parts have the same form,
 * `{"schema":2,"objects":[{"kind":...,"name":...}]}`. The path is
 *
 *     files -> config_set -> check -> publication (manifest and parts)
 *           -> config_manifest -> config_snapshot
 *
 * Unless a function says otherwise, an object may be used by one thread at a
 * time. Only snapshots are shared between threads.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "base.h"

/** Schema that is written. Schema 1 is upgraded on reading. */
#define CONFIG_SCHEMA 2
/** Largest value that the configuration service holds, in bytes. */
#define CONFIG_VALUE_MAX 1000000
/** Keys of the published values. A part's hash follows the prefix. */
#define CONFIG_KEY_MANIFEST "bilberryhinge/manifest"
#define CONFIG_KEY_PART_PREFIX "bilberryhinge/parts/"
#define CONFIG_KEY_VMS "platform/vms"

/** Results of functions in this package. */
enum config_status {
	CONFIG_OK = 0,
	/** Not JSON, a repeated member, or not the expected form. */
	CONFIG_ERR_SYNTAX,
	/** A schema that this version does not read. */
	CONFIG_ERR_SCHEMA,
	/** The check of the whole set found problems. */
	CONFIG_ERR_PROBLEMS,
	/** A part of the manifest could not be had. */
	CONFIG_ERR_MISSING,
	/** A part's bytes do not match the manifest. */
	CONFIG_ERR_DIGEST,
	/** An argument from outside is out of range. */
	CONFIG_ERR_INVALID,
};

/** Returns a static description of a status. Never NULL. */
const char *config_strerror(enum config_status status);

/** One fault in a set. All texts are NUL-terminated; none is NULL. */
struct config_problem {
	/** Kind of the object, "part" for a published value; may be empty. */
	char *kind;
	char *name;
	char *field;
	/** The value as JSON, shortened when it is long; empty when absent. */
	char *value;
	char *reason;
	/** File or part that the object came from. */
	char *source;
};

/** All faults of a set. */
struct config_report {
	struct config_problem *problems;
	size_t count;
	size_t cap;
};

#define CONFIG_REPORT_INIT ((struct config_report){ NULL, 0, 0 })

void config_report_release(struct config_report *report);

/**
 * True for a name that an object may have: 1 to 64 letters, digits, '.', '_'
 * and '-'.
 */
bool config_name_valid(struct base_str name);

/** A builder that collects objects from files or parts. */
struct config_set;

struct config_set *config_set_create(void);
void config_set_destroy(struct config_set *set);
/** For BASE_CLEANUP. */
void config_set_cleanup(struct config_set **set);
/**
 * Adds the objects of one document and upgrades them to CONFIG_SCHEMA. Faults
 * inside objects are kept for config_set_check().
 * @param source  name for problems, for example the path of the file
 * @return CONFIG_ERR_SYNTAX or CONFIG_ERR_SCHEMA; the set is then unchanged
 */
enum config_status config_set_add(struct config_set *set, const char *source,
				  struct base_str text, struct base_error *err);
/** Number of objects, with duplicates. */
size_t config_set_count(const struct config_set *set);
/**
 * Checks the whole set and appends every problem to @p report.
 * @return CONFIG_ERR_PROBLEMS when there is at least one
 */
enum config_status config_set_check(const struct config_set *set,
				    struct config_report *report);

enum config_change_type {
	CONFIG_CHANGE_ADDED,
	CONFIG_CHANGE_REMOVED,
	CONFIG_CHANGE_FIELD,
};

/** One difference; texts are NUL-terminated and never NULL. */
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

/** Appends the changes from @p before to @p after, by kind, name and field. */
void config_set_diff(const struct config_set *before,
		     const struct config_set *after, struct config_diff *diff);
void config_diff_release(struct config_diff *diff);

/** A part as the manifest names it. */
struct config_part {
	char name[32];
	struct base_digest digest;
	size_t size;
};

/** A published value with its bytes. */
struct config_published_part {
	struct config_part part;
	struct base_buf bytes;
};

/** The published form of a set. Parts without objects are left out. */
struct config_publication {
	int64_t version;
	/** Bytes of CONFIG_KEY_MANIFEST. */
	struct base_buf manifest;
	struct config_published_part *parts;
	size_t part_count;
};

/**
 * Checks and renders a set. Equal sets give equal bytes.
 * @param version  at least 1
 * @return NULL after CONFIG_ERR_PROBLEMS or CONFIG_ERR_INVALID in @p status
 */
struct config_publication *config_set_render(const struct config_set *set,
					     int64_t version,
					     enum config_status *status,
					     struct base_error *err);
void config_publication_destroy(struct config_publication *publication);

/** The list of parts of one version. */
struct config_manifest {
	int64_t version;
	/** Of the manifest's bytes; orders equal versions. */
	struct base_digest digest;
	struct config_part *parts;
	size_t part_count;
};

/** @return NULL with @p status and @p err set when @p text is not valid. */
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
	/** Taken out: gets no new work. */
	bool out;
};

struct config_service;

struct config_vm {
	size_t index;
	struct base_str name;
	const struct config_domain *domain;
	const struct config_service *service;
	/** IP address and port of the peer interface, "a.b.c.d:port" or
	 * "[v6]:port"; NUL-terminated. */
	struct base_str address;
	bool leaving;
	/**
	 * Identity of the running backend server, which it confirms for each
	 * request; empty when the platform has none.
	 */
	struct base_str instance;
	/** IP address and port of the backend server; empty when not known. */
	struct base_str backend;
	/** Requests that this backend server runs at once; 0 as its service. */
	int64_t slots;
	/** Time for which the backend server said that it stays cold. */
	int64_t cold_remaining_us;
	/** When the backend server started, milliseconds since 1970, or 0. */
	int64_t started_ms;
};

struct config_service {
	size_t index;
	struct base_str name;
	/** Requests that one server runs at once. */
	int64_t slots;
	/** Connections that one server accepts. */
	int64_t connections;
	/** Requests at once right after a cold start. */
	int64_t cold_slots;
	/** Time from a cold start to full capacity, microseconds. */
	int64_t cold_us;
	/** Requests a second that a cold server bears; 0 to go by slots. */
	double cold_rate_per_s;
	/** Path of the backend server's own health check; empty for none. */
	struct base_str health_path;
	/** In the order of names. */
	const struct config_vm *const *vms;
	size_t vm_count;
};

struct config_account {
	size_t index;
	struct base_str name;
	/** Requests per second over all VMs. */
	int64_t rate;
	/** Requests admitted at once beyond the rate, over all VMs. */
	int64_t burst;
	int64_t weight;
	bool cancelled;
	/** Goes before the priority of the route; NULL for none. */
	const struct config_priority *priority;
};

struct config_key {
	size_t index;
	struct base_str name;
	struct base_str id;
	/** BLAKE2b-256 of the text of the secret. */
	struct base_digest digest;
	const struct config_account *account;
	bool withdrawn;
};

struct config_priority {
	size_t index;
	struct base_str name;
	/** 0 is the highest class; equal to the index. */
	uint32_t level;
};

/** One of several services that share the requests of a route. */
struct config_split {
	const struct config_service *service;
	/** Share of the requests, relative to the other weights. */
	int64_t weight;
};

struct config_route {
	size_t index;
	struct base_str name;
	/** Without characters for any host. */
	struct base_str host;
	/** Without characters for any method. */
	struct base_str method;
	struct base_str path_prefix;
	/** The only one, or the first of @p splits. */
	const struct config_service *service;
	const struct config_split *splits;
	/** 0 when all requests go to @p service. */
	size_t split_count;
	const struct config_priority *priority;
	bool idempotent;
	/** Servers that one request may be sent to; 0 for no bound. */
	int64_t max_attempts;
	/** An answer within this time has its full worth; 0 when not known. */
	int64_t target_latency_us;
	/** Runs without a key. */
	bool open;
	int64_t timeout_us;
	int64_t max_body_bytes;
};

/** Bounds of what callers may send. A value of 0 sets no bound. */
struct config_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/**
 * One version of the configuration. Immutable: any thread may read it while it
 * holds a reference. Arrays are in the order of names, priorities from the
 * highest; equal manifests give equal indexes on all daemons. All texts are
 * NUL-terminated and live as long as the snapshot.
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
 * Returns the bytes of a part. They must stay valid until the next call or the
 * end of config_snapshot_create().
 * @return false when the part cannot be had
 */
typedef bool (*config_part_cb)(void *ctx, const struct config_part *part,
			       struct base_str *bytes);

/** A config_part_cb whose @p ctx is a struct config_publication. */
bool config_publication_fetch_part(void *ctx, const struct config_part *part,
				   struct base_str *bytes);

/**
 * Fetches the parts, verifies size and hash, and repeats the whole check.
 * @param report  receives the problems; may be NULL
 * @return a snapshot with one reference, or NULL with @p status and @p err set
 */
const struct config_snapshot *
config_snapshot_create(const struct config_manifest *manifest,
		       config_part_cb fetch, void *ctx,
		       struct config_report *report, enum config_status *status,
		       struct base_error *err);
/**
 * Copies a snapshot that another source than a manifest assembled. Its arrays
 * are sorted by name, priorities by level; each index is the position in the
 * array, and references point into the arrays of @p draft. The vms of services
 * are filled in here.
 * @return a snapshot with one reference that shares nothing with @p draft
 */
const struct config_snapshot *
config_snapshot_copy(const struct config_snapshot *draft);
/** Any thread that holds a reference. Returns @p snapshot. */
const struct config_snapshot *
config_snapshot_ref(const struct config_snapshot *snapshot);
/** Any thread; frees the snapshot with the last reference. NULL is ignored. */
void config_snapshot_unref(const struct config_snapshot *snapshot);

/**
 * Returns the route with the longest path prefix that ends on a segment
 * boundary of @p path; of equal prefixes the one with the exact method goes
 * before the one for any method. A route whose host or method does not fit is
 * passed over. Bytes are compared as they are; a query after '?' is ignored.
 * @param host  as the caller sent it, without the port
 * @return NULL when there is none
 */
const struct config_route *
config_snapshot_match_route(const struct config_snapshot *snapshot,
			    struct base_str host, struct base_str method,
			    struct base_str path);
/** The following return NULL when there is none of that name or id. */
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
 * Ranks VMs by rendezvous weight for @p key, highest first. Leaving VMs and
 * those of domains taken out are included: the caller sees both and decides.
 * @param domain   only VMs of this failure domain; NULL for all
 * @param service  only VMs of this service; NULL for all
 * @return the number of VMs written to @p out, at most @p max
 */
size_t config_snapshot_rank_vms(const struct config_snapshot *snapshot,
				struct base_str key,
				const struct config_domain *domain,
				const struct config_service *service,
				const struct config_vm **out, size_t max);

/** One VM in the platform's list. */
struct config_vm_state {
	char *name;
	bool leaving;
};

/** The platform's list of VMs, in the order of names. */
struct config_vm_list {
	struct config_vm_state *vms;
	size_t count;
};

/**
 * Parses the value CONFIG_KEY_VMS. Members that are not known are ignored, as
 * the value belongs to the platform.
 * @return NULL with @p err set when the text is not valid
 */
struct config_vm_list *config_vm_list_parse(struct base_str text,
					    struct base_error *err);
void config_vm_list_destroy(struct config_vm_list *list);
/** Returns NULL when the VM is not in the list. */
const struct config_vm_state *
config_vm_list_find(const struct config_vm_list *list, struct base_str name);

/** Size of a key's id and secret in characters, and of the whole key. */
#define CONFIG_CREDENTIAL_ID_LEN 16
#define CONFIG_CREDENTIAL_SECRET_LEN 64
#define CONFIG_CREDENTIAL_PREFIX "bhk_"

/** A caller's key. The secret is never published; wipe it after use. */
struct config_credential {
	char id[CONFIG_CREDENTIAL_ID_LEN + 1];
	char secret[CONFIG_CREDENTIAL_SECRET_LEN + 1];
};

/** Draws a new credential from the system's entropy. */
void config_credential_generate(struct config_credential *credential);
void config_credential_wipe(struct config_credential *credential);
/**
 * Splits `bhk_ID_SECRET` into views of @p text.
 * @return false when it does not have this form
 */
bool config_credential_parse(struct base_str text, struct base_str *id,
			     struct base_str *secret);
/** Compares the hash of @p secret with the key's in constant time. */
bool config_credential_verify(const struct config_key *key,
			      struct base_str secret);

#endif
