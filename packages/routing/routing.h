/**
 * @file
 * Chooses the backend server for a request at the entry (D3) and keeps the
 * entry's view of which servers may get work.
 *
 * A server is out while any source says so: the configuration, the platform's
 * list, a drain notice, failed calls or silence. One whose daemon is stopping
 * gets work only when no other server of its service has room. Answers and
 * heartbeats end the last three; they never override the configuration or the
 * platform's list.
 *
 * Pure decision code: no sockets, no clock. A table belongs to one thread.
 */
#ifndef ROUTING_H
#define ROUTING_H

#include "base.h"

/** Silence for this many heartbeat intervals takes a server out. */
#define ROUTING_MISSED_HEARTBEATS 3
/** Interval of heartbeats on a link that carries requests. */
#define ROUTING_HEARTBEAT_INTERVAL_US (500 * BASE_MS_US)
/** A peer sends heartbeats this long after the last request on the link. */
#define ROUTING_LINK_IDLE_US (30 * BASE_SECOND_US)
/**
 * A server that has requests and says nothing for this long is asked for a sign
 * of life. Most answers take longer than a heartbeat's way of some
 * milliseconds.
 */
#define ROUTING_QUIET_US (250 * BASE_MS_US)
/** Without a sign of life for this long after the first ask, it is silent. */
#define ROUTING_SIGN_US (400 * BASE_MS_US)
/** Reported load older than this, or than two intervals, is not compared. */
#define ROUTING_REPORT_FRESH_US (2 * BASE_SECOND_US)
/** Wait before the first trial of a failed server; doubles per failure. */
#define ROUTING_BACKOFF_MIN_US (100 * BASE_MS_US)
#define ROUTING_BACKOFF_MAX_US (10 * BASE_SECOND_US)

/** A backend server as the configuration states it. */
struct routing_server {
	/** VM index. It names the same VM for the life of the table. */
	uint32_t id;
	uint32_t service;
	uint32_t domain;
	uint32_t region;
	/** Slots of the service; the limit until the first report. */
	uint32_t slots;
	/** The configuration says that the VM leaves. */
	bool leaving;
	/** The configuration takes the failure domain out. */
	bool domain_out;
};

/** State of a guard as carried on answers and heartbeats. */
struct routing_load_report {
	/** Requests running and queued at the guard, from all entries. */
	uint32_t load;
	/** Concurrency limit; 0 when the guard cannot run anything. */
	uint32_t limit;
	bool draining;
	/** In cold start with all allowed slots taken. */
	bool cold_full;
	/**
	 * Its daemon is about to stop and takes work until it says that it is
	 * draining.
	 */
	bool stopping;
};

/** How a request failed to get an answer from its server. */
enum routing_failure {
	/** It could not be sent; it has not run. */
	ROUTING_SEND_FAILED,
	/**
	 * The guard could not run it, for example because its backend server
	 * is down. A refusal for overload is an answer, not a failure.
	 */
	ROUTING_NOT_RUN,
	/** The link broke while the request was in flight. */
	ROUTING_LOST,
};

/** State of a VM on the platform's list. */
enum routing_platform {
	/** Not on the list, which alone is no reason to avoid it. */
	ROUTING_PLATFORM_UNKNOWN,
	ROUTING_PLATFORM_LIVE,
	ROUTING_PLATFORM_LEAVING,
};

/** Result of routing_pick(): picked, or why no server was. */
enum routing_reason {
	ROUTING_PICKED = 0,
	/** The service has no servers in the configuration. */
	ROUTING_NO_SERVERS,
	/** All are leaving, draining or in failure domains taken out. */
	ROUTING_ALL_LEAVING,
	/** All others failed or are silent, and no trial is due. */
	ROUTING_ALL_FAILED,
	/** All others are in cold start and full, or report no capacity. */
	ROUTING_ALL_COLD,
	/** All usable servers were excluded by the caller. */
	ROUTING_ALL_EXCLUDED,
};

/** Returns a static description. Never NULL. */
const char *routing_reason_str(enum routing_reason reason);

/** What a request asks of routing_pick(). */
struct routing_query {
	uint32_t service;
	uint32_t own_domain;
	uint32_t own_region;
	/** Servers already tried for this request. */
	const uint32_t *excluded;
	size_t excluded_len;
	/**
	 * Do not use this request to try a server whose link failed or that is
	 * silent, unless nothing else is left: the request could be lost. For
	 * non-idempotent requests of a daemon that sends probes, see
	 * routing_due_probes(). It may still try a server after
	 * ROUTING_NOT_RUN, because its guard would say "not run" again.
	 */
	bool avoid_trial;
	/** Identifies the route, whose times are compared; any number. */
	uint64_t route;
	/**
	 * Time within which an answer is of full use. A server that probably
	 * takes longer is avoided while a quicker one has room, also one in
	 * another failure domain. 0 to compare no times.
	 */
	int64_t latency_target_us;
};

struct routing_table;

/** Behaviour that differs between routing policies. */
struct routing_policy {
	const char *name;
	enum routing_reason (*pick)(struct routing_table *table,
				    const struct routing_query *query,
				    int64_t now, uint32_t *server);
};

/**
 * The design: the better of two random choices by (own in flight + reported
 * load) / limit, own failure domain first, then own region, then anywhere.
 * Servers at which requests of the route would be late come after the others.
 */
extern const struct routing_policy routing_policy_two_choices;
/**
 * The baseline: rotates over all servers that the configuration leaves in,
 * without regard to load, health or distance.
 */
extern const struct routing_policy routing_policy_round_robin;

/**
 * @param seed    of the random choices and of back-off jitter
 * @param policy  NULL for routing_policy_two_choices
 */
struct routing_table *routing_table_create(uint64_t seed,
					   const struct routing_policy *policy);
void routing_table_destroy(struct routing_table *table);

/**
 * Replaces the servers of all services. Servers that stay keep their in-flight
 * count, health and place on the platform's list; others are forgotten.
 */
void routing_configure(struct routing_table *table,
		       const struct routing_server *servers, size_t count);

/* Events. Servers that are not in the configuration are ignored. */

/** A request left for the server; it is in flight until it ends. */
void routing_sent(struct routing_table *table, uint32_t server, int64_t now);
/**
 * A request ended with an answer, including a refusal for overload. Ends a
 * failure, silence and (unless the report says so) draining.
 * @param report  NULL when the answer carried none
 */
void routing_answered(struct routing_table *table, uint32_t server,
		      const struct routing_load_report *report, int64_t now);
/** A request ended without an answer; the server is out until a trial. */
void routing_failed(struct routing_table *table, uint32_t server,
		    enum routing_failure failure, int64_t now);
/**
 * A request of the route took this long at the server. One that failed there
 * counts as the time allowed, at least.
 */
void routing_record_latency(struct routing_table *table, uint32_t server,
			    uint64_t route, int64_t us, int64_t now);
/**
 * A request ended for reasons of the caller (cancelled, out of time); it says
 * nothing about the server.
 */
void routing_abandoned(struct routing_table *table, uint32_t server);
/**
 * Ends silence, failures to send, lost links and draining, but not
 * ROUTING_NOT_RUN: the guard's heartbeat says nothing of its backend server.
 * @param interval  time to the next heartbeat as announced by the peer; 0 for
 *                  ROUTING_HEARTBEAT_INTERVAL_US
 */
void routing_heartbeat(struct routing_table *table, uint32_t server,
		       const struct routing_load_report *report,
		       int64_t interval, int64_t now);
/** The peer said that it drains; new work to it stops at once. */
void routing_drain_notice(struct routing_table *table, uint32_t server,
			  int64_t now);
/** The platform's list states a VM so; call with UNKNOWN when it is missing. */
void routing_platform(struct routing_table *table, uint32_t server,
		      enum routing_platform state);
/**
 * This process woke from a pause. Silence is measured from @p now on, because
 * heartbeats of the pause may still be queued.
 */
void routing_on_resume(struct routing_table *table, int64_t now);

/**
 * Chooses a server. Counts nothing: call routing_sent() once it was sent.
 * A failed server whose back-off has passed is chosen for one trial request.
 * @param[out] server  set only when the result is ROUTING_PICKED
 */
enum routing_reason routing_pick(struct routing_table *table,
				 const struct routing_query *query, int64_t now,
				 uint32_t *server);

/**
 * Lists servers that have requests of this entry and are quiet: the daemon
 * sends each a heartbeat, to which the peer replies with its own. Heartbeats
 * alone come too seldom where there are many links.
 * @return the number of ids written, at most @p max
 */
size_t routing_due_checks(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max);
/** The server was heard of neither by heartbeats nor after checks. */
bool routing_is_silent(const struct routing_table *table, uint32_t server,
		       int64_t now);

/**
 * Average time of requests of a route at the quickest server of a service, in
 * microseconds; 0 when none is known.
 */
int64_t routing_fastest_latency_us(const struct routing_table *table,
				   uint32_t service, uint64_t route);

/** Whether a server of the service other than @p server may get work. */
bool routing_has_other_usable(const struct routing_table *table,
			      uint32_t service, uint32_t server, int64_t now);

/**
 * Lists servers that are draining, silent or whose link failed, and that are
 * due for a probe: the daemon opens the link and sends a heartbeat, to which
 * the peer replies with its own. Without probes a drained server that restarted
 * stays out until it sends a heartbeat by itself. Each listed server waits for
 * its next, longer back-off.
 * @return the number of ids written, at most @p max
 */
size_t routing_due_probes(struct routing_table *table, int64_t now,
			  uint32_t *ids, size_t max);

/** View of one server for status output. */
struct routing_view {
	uint32_t in_flight;
	uint32_t load;
	uint32_t limit;
	/** The server may get work now, other than a trial. */
	bool usable;
	/** Short name of the reason when it is not; else "". */
	const char *unusable_reason;
};

/** @return false when the server is not in the configuration */
bool routing_server_view(const struct routing_table *table, uint32_t server,
			 int64_t now, struct routing_view *view);

#endif
