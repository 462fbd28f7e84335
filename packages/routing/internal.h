/* State shared by the files of this package. */
#ifndef ROUTING_INTERNAL_H
#define ROUTING_INTERNAL_H

#include "routing.h"

#include <uthash.h>

/* Why a server gets no ordinary work. */
enum routing_out {
	ROUTING_OUT_NOT,
	/* Only the configuration ends these two. */
	ROUTING_OUT_LEAVING,
	ROUTING_OUT_DOMAIN,
	/* Only the platform's list ends this one. */
	ROUTING_OUT_PLATFORM,
	ROUTING_OUT_DRAINING,
	/* It gets what no other server can take. */
	ROUTING_OUT_STOPPING,
	/* These are tried again after a back-off. */
	ROUTING_OUT_LINK,
	ROUTING_OUT_BACKEND,
	ROUTING_OUT_SILENT,
	/* These end with the next report, or when the report is stale. */
	ROUTING_OUT_COLD,
	ROUTING_OUT_NO_CAPACITY,
};

/* Average time of the requests of one route at one server. */
struct routing_speed;

/* All that an entry knows of one server. */
struct routing_state {
	struct routing_server conf;
	enum routing_platform platform;
	/* Requests sent by this entry that have not ended. */
	uint32_t in_flight;

	struct routing_load_report report;
	bool has_report;
	int64_t report_at;
	/* in_flight when the report came; it is part of the reported load. */
	uint32_t in_flight_at_report;

	bool draining;
	/* ROUTING_OUT_NOT, _LINK, _BACKEND or _SILENT. */
	enum routing_out failure;
	/* Failures since the last answer; sets the back-off. */
	uint32_t failures;
	/* Earliest next trial or probe while failed or draining. */
	int64_t retry_at;
	bool in_trial;

	/* Heartbeats are due while the link is in use. */
	bool link_used;
	int64_t sent_at;
	int64_t heard_at;
	int64_t interval;
	/* First and last ask for a sign of life. */
	int64_t asked_since;
	int64_t asked_at;

	/* By route. */
	struct routing_speed *speeds;

	/* Mark of routing_configure(). */
	bool kept;
	UT_hash_handle hh;
};

struct routing_service {
	uint32_t id;
	struct routing_state **servers;
	size_t count;
	/* Room for `count` candidates during a pick. */
	struct routing_state **scratch;
	size_t round_robin;
	UT_hash_handle hh;
};

struct routing_table {
	const struct routing_policy *policy;
	struct base_rand rnd;
	struct routing_state *states;
	struct routing_service *services;
};

/* health.c */

void routing_health_init(struct routing_state *state);
/* Turns silence into a failure with its back-off. */
void routing_health_refresh(struct routing_state *state, struct base_rand *rnd,
			    int64_t now);
enum routing_out routing_health_out(const struct routing_state *state,
				    int64_t now);
void routing_health_fail(struct routing_state *state, enum routing_out failure,
			 struct base_rand *rnd, int64_t now);
/* A trial request or a probe leaves for the server. */
void routing_health_tried(struct routing_state *state, struct base_rand *rnd,
			  int64_t now);
/* The server has requests and was not heard of for a while. */
bool routing_health_check_due(const struct routing_state *state, int64_t now);
void routing_health_checked(struct routing_state *state, int64_t now);
bool routing_health_trial_due(const struct routing_state *state, int64_t now);
bool routing_health_fresh(const struct routing_state *state, int64_t now);
void routing_health_drain(struct routing_state *state, struct base_rand *rnd,
			  int64_t now);
void routing_health_report(struct routing_state *state,
			   const struct routing_load_report *report,
			   struct base_rand *rnd, int64_t now);
const char *routing_health_out_str(enum routing_out out);

/* speed.c */

void routing_speed_add(struct routing_state *s, uint64_t route, int64_t us,
		       int64_t now);
void routing_speed_forget(struct routing_state *s);
/* 0 while it is not known. */
double routing_speed_average(const struct routing_state *s, uint64_t route);
/*
 * Requests of the route are likely to be late there, and less so at the server
 * whose average is @p quickest.
 */
bool routing_speed_is_slow(const struct routing_state *s,
			   const struct routing_query *query, double quickest,
			   int64_t now);
/* The server was chosen. */
void routing_speed_tried(struct routing_state *s, uint64_t route, int64_t now);

/* table.c */

struct routing_service *routing_service_find(const struct routing_table *table,
					     uint32_t service);

#endif
