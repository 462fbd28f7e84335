/**
 * @file
 * Selects the backend server for a request. The entry, which is the daemon that
 * accepted the request, keeps one table with its view of all servers.
 *
 * A server is out of rotation while at least one source takes it out: the
 * configuration, the platform's VM list, a drain notice, failed requests,
 * silence, or a fresh report that it has no capacity left (a full cold start or
 * the limit 0). Answers and heartbeats end the last four, apart from the
 * exception at routing_heartbeat(); they never override the configuration or
 * the VM list. A server whose daemon is stopping gets requests only when no
 * other server of its service has headroom.
 *
 * The package opens no sockets and reads no clock. `now` is monotonic time in
 * microseconds. A table belongs to one thread. See decision D3 in
 * docs/design.md.
 */
#ifndef ROUTING_H
#define ROUTING_H

#include "base.h"

/** A server that misses this many heartbeats is taken out of rotation. */
#define ROUTING_MISSED_HEARTBEATS 3
/** Shortest interval of heartbeats on a link that carries requests. */
#define ROUTING_HEARTBEAT_INTERVAL_US (500 * BASE_MS_US)
/** Heartbeats are expected for this long after the last request on a link. */
#define ROUTING_LINK_IDLE_US (30 * BASE_SECOND_US)
/**
 * A server with requests in flight that has sent nothing for this long is
 * checked with a heartbeat. Heartbeats take a few milliseconds, most answers
 * longer.
 */
#define ROUTING_CHECK_AFTER_US (250 * BASE_MS_US)
/** A server that sends nothing for this long after a first check is silent. */
#define ROUTING_CHECK_TIMEOUT_US (400 * BASE_MS_US)
/**
 * Reports older than this and than two heartbeat intervals are stale, and their
 * load is ignored.
 */
#define ROUTING_REPORT_MAX_AGE_US (2 * BASE_SECOND_US)
/**
 * Mean delay before a failed server gets its first trial request. It doubles
 * with each further failure up to the maximum; jitter changes it by up to half.
 */
#define ROUTING_BACKOFF_MIN_US (100 * BASE_MS_US)
#define ROUTING_BACKOFF_MAX_US (10 * BASE_SECOND_US)

/** Configuration of a backend server. */
struct routing_server {
	/** Number of the VM, constant for the lifetime of the table. */
	uint32_t id;
	uint32_t service;
	uint32_t domain;
	uint32_t region;
	/** Slots of the service; used as the limit until the first report. */
	uint32_t slots;
	/** The configuration marks the VM as leaving. */
	bool leaving;
	/** The configuration takes the whole failure domain out of rotation. */
	bool domain_out;
};

/**
 * Load report of a guard, which is the daemon in front of a backend server. It
 * is part of answers and heartbeats.
 */
struct routing_load_report {
	/** Requests from all entries that run or are queued at the guard. */
	uint32_t load;
	/** Concurrency limit; 0 when the guard cannot run any request. */
	uint32_t limit;
	bool draining;
	/** The server is in cold start and uses all slots allowed meanwhile. */
	bool cold_full;
	/**
	 * The daemon is about to stop. It accepts requests until it reports
	 * `draining`.
	 */
	bool stopping;
	/**
	 * Time that the server itself takes for a request at present, in
	 * microseconds, and the share of requests that succeed there, 1 to
	 * 1000; 0 when unknown. Values out of range count as unknown.
	 */
	int64_t service_us;
	int64_t success_permille;
};

/** Why a request got no answer from its server. */
enum routing_failure {
	/** The request could not be sent and has not run. */
	ROUTING_SEND_FAILED,
	/**
	 * The guard could not run the request, for example because its backend
	 * server is down. A refusal for overload is an answer, not a failure.
	 */
	ROUTING_NOT_RUN,
	/** The link broke while the request was in flight. */
	ROUTING_LOST,
};

/** State of a VM on the platform's VM list. */
enum routing_platform {
	/** Not on the list; the list may lag, so the server stays usable. */
	ROUTING_PLATFORM_UNKNOWN,
	ROUTING_PLATFORM_LIVE,
	ROUTING_PLATFORM_LEAVING,
};

/**
 * Checks whether a peer with requests in flight is alive. The table has one for
 * each server; the daemon has one for each link to a server that the table no
 * longer has. Times are those of the caller.
 */
struct routing_liveness {
	int64_t last_received_at;
	/** First and last check since the peer sent something. */
	int64_t check_started_at;
	int64_t last_check_at;
};

/** The peer has sent nothing for ROUTING_CHECK_AFTER_US, nor was checked. */
bool routing_liveness_check_due(const struct routing_liveness *l, int64_t now);
void routing_liveness_check_sent(struct routing_liveness *l, int64_t now);
/** Nothing has arrived for ROUTING_CHECK_TIMEOUT_US since the first check. */
bool routing_liveness_timed_out(const struct routing_liveness *l, int64_t now);

/** Result of routing_pick(): picked, or the reason why no server was. */
enum routing_reason {
	ROUTING_PICKED = 0,
	/** The service has no servers in the configuration. */
	ROUTING_NO_SERVERS,
	/** All are leaving, draining or in failure domains out of rotation. */
	ROUTING_ALL_LEAVING,
	/** The remaining servers failed or are silent; no trial is due. */
	ROUTING_ALL_FAILED,
	/** The remaining servers are full in cold start or have no capacity. */
	ROUTING_ALL_COLD,
	/** The query excludes all usable servers. */
	ROUTING_ALL_EXCLUDED,
};

/** Returns a static name. Never NULL. */
const char *routing_reason_str(enum routing_reason reason);

/** Input of routing_pick(). */
struct routing_query {
	uint32_t service;
	uint32_t own_domain;
	uint32_t own_region;
	/** Servers already tried for this request. */
	const uint32_t *excluded;
	size_t excluded_len;
	/**
	 * Use this request for the trial of a server that is silent or whose
	 * link failed only when no other server is left, because it could be
	 * lost. Meant for non-idempotent requests; probes find out when such a
	 * server is back, see routing_due_probes(). The request may still be a
	 * trial after ROUTING_NOT_RUN, because its guard reports if it has not
	 * run.
	 */
	bool avoid_trial;
	/** Identifies the route whose latencies are compared; any number. */
	uint64_t route;
	/**
	 * Latency up to which an answer has its full value. A server that would
	 * probably exceed it is avoided while a faster one has headroom, even
	 * one in another failure domain. 0 to ignore latencies.
	 */
	int64_t latency_target_us;
};

/** Servers of all services with their state, as seen by one entry. */
struct routing_table;

/** Selects servers for routing_pick(); chosen when the table is created. */
struct routing_policy {
	const char *name;
	enum routing_reason (*pick)(struct routing_table *table,
				    const struct routing_query *query,
				    int64_t now, uint32_t *server);
};

/**
 * The default policy. Picks two random servers and takes the one with the lower
 * (own requests in flight + reported load) / limit. Prefers the own failure
 * domain, then the own region. Servers at which requests of the route would
 * probably be late come after the others.
 */
extern const struct routing_policy routing_policy_two_choices;
/**
 * The baseline for comparison. Rotates over all servers that the configuration
 * has in rotation, without regard to load, health or distance.
 */
extern const struct routing_policy routing_policy_round_robin;

/**
 * @param seed    seeds the random choices and the back-off jitter
 * @param policy  must outlive the table; NULL for routing_policy_two_choices
 */
struct routing_table *routing_table_create(uint64_t seed,
					   const struct routing_policy *policy);
void routing_table_destroy(struct routing_table *table);
/**
 * Whether the default policy selects servers by the expected completion time
 * (load + 1) * service time / limit, weighed with the success share, where
 * reports state these. Off when the table is created.
 */
void routing_use_completion_times(struct routing_table *table, bool use);

/** Totals since the table was created. */
struct routing_figures {
	/** Reports whose service time or success share was out of range. */
	uint64_t absurd_reports;
	/** Servers selected by expected completion time. */
	uint64_t completion_picks;
	/** Requests sent to a server without regard to its figures. */
	uint64_t probes;
};

struct routing_figures routing_figures(const struct routing_table *table);

/**
 * Replaces the servers of all services. Servers that remain keep their
 * in-flight count, health, latencies and platform state; the state of the
 * others is freed.
 * @param servers  copied; each id at most once
 */
void routing_configure(struct routing_table *table,
		       const struct routing_server *servers, size_t count);

/* Events. Those for servers that are not in the configuration are ignored. */

/** A request was sent; it counts as in flight until one of the next calls. */
void routing_sent(struct routing_table *table, uint32_t server, int64_t now);
/**
 * A request ended with an answer, including a refusal for overload. Clears
 * failures and silence. A report also sets or clears draining.
 * @param report  NULL when the answer carried none
 */
void routing_answered(struct routing_table *table, uint32_t server,
		      const struct routing_load_report *report, int64_t now);
/**
 * A request ended without an answer. Takes the server out of rotation, apart
 * from trial requests, until an answer or (unless the failure is
 * ROUTING_NOT_RUN) a heartbeat arrives.
 */
void routing_failed(struct routing_table *table, uint32_t server,
		    enum routing_failure failure, int64_t now);
/**
 * Records the latency of a request of the route at the server.
 * @param us  microseconds; for a request that failed there, at least the
 *            latency target
 */
void routing_record_latency(struct routing_table *table, uint32_t server,
			    uint64_t route, int64_t us, int64_t now);
/**
 * A request ended because of its caller (cancelled or past its deadline). Only
 * the in-flight count changes.
 */
void routing_abandoned(struct routing_table *table, uint32_t server);
/**
 * A heartbeat arrived. Clears silence, failures to send and lost links, but not
 * ROUTING_NOT_RUN, because a guard sends heartbeats also while its backend
 * server is down. The report sets or clears draining.
 * @param report                 must not be NULL
 * @param heartbeat_interval_us  time to the next heartbeat, announced by the
 *                               peer; 0 for ROUTING_HEARTBEAT_INTERVAL_US
 */
void routing_heartbeat(struct routing_table *table, uint32_t server,
		       const struct routing_load_report *report,
		       int64_t heartbeat_interval_us, int64_t now);
/** The peer announced that it drains; it gets no new requests from now on. */
void routing_drain_notice(struct routing_table *table, uint32_t server,
			  int64_t now);
/**
 * Sets the state of a VM on the platform's VM list; ROUTING_PLATFORM_UNKNOWN
 * when it is not listed.
 */
void routing_platform(struct routing_table *table, uint32_t server,
		      enum routing_platform state);
/**
 * This process resumed after a pause. Silence is measured from @p now on,
 * because heartbeats received during the pause may still be queued.
 */
void routing_on_resume(struct routing_table *table, int64_t now);

/**
 * Selects a server for a request. Does not count the request as in flight; call
 * routing_sent() when it was sent. A failed server whose back-off has passed is
 * selected for one trial request.
 * @param[out] server  set only when the result is ROUTING_PICKED
 */
enum routing_reason routing_pick(struct routing_table *table,
				 const struct routing_query *query, int64_t now,
				 uint32_t *server);

/**
 * Lists servers that have requests of this entry in flight and have sent
 * nothing for ROUTING_CHECK_AFTER_US. The daemon sends each of them a
 * heartbeat, and the peer replies with its own. Regular heartbeats are too
 * infrequent for this when there are many links.
 * @return the number of ids written, at most @p max
 */
size_t routing_due_checks(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max);
/**
 * Whether the server is out of rotation because its heartbeats are missing or a
 * check timed out. False when the configuration, the VM list, a drain or a
 * failed request takes it out.
 */
bool routing_is_silent(const struct routing_table *table, uint32_t server,
		       int64_t now);

/**
 * Average latency of a route at the fastest server of a service, in
 * microseconds; 0 when none was recorded.
 */
int64_t routing_fastest_latency_us(const struct routing_table *table,
				   uint32_t service, uint64_t route);

/**
 * Whether a request of the service that was meant for the server, and waited
 * for its link, may still be sent: the server is in the configuration, serves
 * the service, and nobody has said that it leaves or takes no new requests.
 */
bool routing_may_send(const struct routing_table *table, uint32_t server,
		      uint32_t service, int64_t now);

/** Whether a server of the service other than @p server is in rotation. */
bool routing_has_other_usable(const struct routing_table *table,
			      uint32_t service, uint32_t server, int64_t now);

/**
 * Lists servers that are draining, silent or whose link failed and that are due
 * for a probe. The daemon opens the link and sends a heartbeat, and the peer
 * replies with its own. Without probes a drained server that restarted would
 * stay out of rotation until it sends a heartbeat on its own. Each listed
 * server is due again after its next, longer back-off.
 * @return the number of ids written, at most @p max
 */
size_t routing_due_probes(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max);

/** State of one server for status output. */
struct routing_view {
	/** Requests of this entry. */
	uint32_t in_flight;
	/** As last reported; before the first report 0 and the slots. */
	uint32_t load;
	uint32_t limit;
	/** As last reported, when in range; else 0. */
	int64_t service_us;
	int64_t success_permille;
	/** The server may get requests other than a trial. */
	bool usable;
	/** Static name of the reason when it is not usable; else "". */
	const char *unusable_reason;
};

/** @return false when the server is not in the configuration */
bool routing_server_view(const struct routing_table *table, uint32_t server,
			 int64_t now, struct routing_view *view);

#endif
