/* State shared by the files of this package. */
#ifndef ROUTING_INTERNAL_H
#define ROUTING_INTERNAL_H

#include "routing.h"

#include <uthash.h>

/* Why a server is out of rotation, i.e. gets no requests other than trials. */
enum routing_out_reason {
	ROUTING_OUT_NONE,
	/* Only the configuration clears these two. */
	ROUTING_OUT_LEAVING,
	ROUTING_OUT_DOMAIN,
	/* Only the platform's VM list clears this one. */
	ROUTING_OUT_PLATFORM,
	ROUTING_OUT_DRAINING,
	/* Gets requests only when no other server has headroom. */
	ROUTING_OUT_STOPPING,
	/* Trial requests are sent after a back-off. */
	ROUTING_OUT_LINK,
	ROUTING_OUT_BACKEND,
	ROUTING_OUT_SILENT,
	/* Cleared by the next report, or when the current one is stale. */
	ROUTING_OUT_COLD,
	ROUTING_OUT_NO_CAPACITY,
};

/* Average latency of the requests of one route at one server. */
struct routing_latency;

/* State of one server as seen by this entry. */
struct routing_state {
	struct routing_server conf;
	enum routing_platform platform;
	/* Requests of this entry that were sent and have not ended. */
	uint32_t in_flight;

	struct routing_load_report report;
	bool has_report;
	int64_t report_at;
	/* in_flight when the report arrived; part of the reported load. */
	uint32_t in_flight_at_report;

	bool draining;
	/* ROUTING_OUT_NONE, _LINK, _BACKEND or _SILENT. */
	enum routing_out_reason failure;
	/* Failures since the last answer; determines the back-off. */
	uint32_t failures;
	/* Earliest time of the next trial or probe if failed or draining. */
	int64_t retry_at;
	bool in_trial;

	/* A request was sent; heartbeats are due while the link is in use. */
	bool link_used;
	int64_t last_sent_at;
	struct routing_liveness liveness;
	int64_t heartbeat_interval_us;

	/* Hash table by route. */
	struct routing_latency *latencies;

	/* Used within routing_configure() only. */
	bool in_new_config;
	UT_hash_handle hh;
};

struct routing_service {
	uint32_t id;
	struct routing_state **servers;
	size_t count;
	/* Array of `count` entries for the candidates of a pick. */
	struct routing_state **scratch;
	size_t round_robin;
	UT_hash_handle hh;
};

struct routing_table {
	const struct routing_policy *policy;
	struct base_rand rnd;
	struct routing_state *states;
	struct routing_service *services;
	bool by_completion;
	uint64_t absurd_reports;
	uint64_t completion_picks;
	uint64_t probes;
};

/* policy.c */

/* Estimate of the requests that run or are queued at the server. */
int64_t routing_outstanding(const struct routing_state *s, int64_t now);
/* Concurrency limit; at least 1. */
uint32_t routing_limit(const struct routing_state *s);

/* completion.c */

bool routing_figures_valid(const struct routing_load_report *report);
/* The report states figures, but not all are in range. */
bool routing_figures_absurd(const struct routing_load_report *report);
/* The last report is fresh and states valid figures. */
bool routing_figures_known(const struct routing_state *s, int64_t now);
/* Expected completion time; the figures of the server must be known. */
double routing_completion_us(const struct routing_state *s, int64_t now);
/*
 * Draws two different servers, with probabilities by the rates that they
 * sustain. Returns false when the figures of all are unknown or there are fewer
 * than two servers.
 */
bool routing_completion_draw(struct routing_table *table,
			     struct routing_state *const *servers, size_t n,
			     int64_t now, struct routing_state *drawn[2]);
/* Highest success share of the servers with headroom; 0 when unknown. */
int64_t routing_best_success(struct routing_state *const *servers, size_t n,
			     int64_t now);
/* Whether the server fails most requests while another one is healthy. */
bool routing_is_failing(const struct routing_state *s, int64_t best_success,
			int64_t now);
bool routing_probe_is_due(struct routing_table *table);

/* health.c */

void routing_health_init(struct routing_state *state);
/* Records a failure, which starts the back-off, if the server is silent. */
void routing_health_refresh(struct routing_state *state, struct base_rand *rnd,
			    int64_t now);
enum routing_out_reason
routing_health_out_reason(const struct routing_state *state, int64_t now);
void routing_health_fail(struct routing_state *state,
			 enum routing_out_reason failure, struct base_rand *rnd,
			 int64_t now);
/* The server was selected for a trial request or a probe. */
void routing_health_trial_started(struct routing_state *state,
				  struct base_rand *rnd, int64_t now);
/* Whether to check a server that has requests in flight but sends nothing. */
bool routing_health_check_due(const struct routing_state *state, int64_t now);
bool routing_health_trial_due(const struct routing_state *state, int64_t now);
bool routing_health_has_fresh_report(const struct routing_state *state,
				     int64_t now);
void routing_health_set_draining(struct routing_state *state,
				 struct base_rand *rnd, int64_t now);
void routing_health_report(struct routing_state *state,
			   const struct routing_load_report *report,
			   struct base_rand *rnd, int64_t now);
const char *routing_health_out_reason_str(enum routing_out_reason out);

/* latency.c */

void routing_latency_add(struct routing_state *s, uint64_t route, int64_t us,
			 int64_t now);
void routing_latency_destroy(struct routing_state *s);
/* Returns 0 when no latency was recorded. */
double routing_latency_average_us(const struct routing_state *s,
				  uint64_t route);
/*
 * Whether requests of the route are likely to exceed the latency target at the
 * server, and a server with the average @p fastest_us is clearly faster.
 */
bool routing_latency_is_slow(const struct routing_state *s,
			     const struct routing_query *query,
			     double fastest_us, int64_t now);
/* The server was selected; postpones the next recheck if it was due. */
void routing_latency_picked(struct routing_state *s, uint64_t route,
			    int64_t now);

/* table.c */

struct routing_service *routing_service_find(const struct routing_table *table,
					     uint32_t service);

#endif
