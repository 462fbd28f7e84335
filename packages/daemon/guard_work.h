/* State of the guard, shared by the files that implement it. */
#ifndef GUARD_WORK_H
#define GUARD_WORK_H

#include "guard.h"

#include <uthash.h>

#define TOKEN_BYTES 16
#define TOKEN_LEN (TOKEN_BYTES * 2)

struct guard_work {
	uint64_t id;
	struct guard *guard;
	struct base_buf bytes;
	struct peer_message msg;
	int64_t deadline;
	int64_t submitted_at;
	guard_answer_cb cb;
	void *ctx;
	struct http_call *call;
	char token[TOKEN_LEN + 1];
	/* For cancel messages of remote entries. */
	struct peer_remote remote;
	uint64_t remote_id;
	struct http_trace trace;
	uint32_t onward_open;
	int64_t onward_since;
	int32_t cutoff;
	bool retried;
	bool abandoned;
	/** It was sent to the backend server. */
	bool sent;
	int64_t sent_at;
	bool idempotent;
	/* By the quarantine; not offered yet. */
	bool held;
	guard_end_cb end_cb;
	void *end_ctx;
	UT_hash_handle hh;
	UT_hash_handle hh_token;
};

struct guard {
	struct node *node;
	struct overload_guard *overload;
	struct http_client *backend;
	struct death_detector *death;
	struct backend_health *health;
	/** Identity of the backend server that work is sent to. */
	struct base_buf instance;
	/** The own failure domain was out at the last configuration. */
	bool domain_out;
	/** The daemon stops and takes no more work. */
	bool closed;
	struct event *timer;
	struct guard_work *works;
	struct guard_work *by_token;
	uint64_t next_id;
	bool pumping;
};

/* What is reported when the answer does not come from the backend server. */
struct guard_failure {
	enum http_refusal refusal;
	enum peer_outcome outcome;
	int64_t retry_after_us;
};

/** Bounds of the own backend server; needs node->self. */
struct overload_guard_config guard_bounds(struct node *node);
struct overload_guard *
guard_create_overload(const struct overload_guard_config *config,
		      const struct config_vm *self, int64_t now);
/** Splits a path with its query into the fields of a request. */
void guard_work_split_target(struct base_str target,
			     struct http_request *request);
/** Adds what the system tells a backend server in the dialect's words. */
void guard_work_add_headers(struct guard_work *w, struct http_headers *headers,
			    int64_t now);
/** Takes the work off the guard, without an answer. */
void guard_work_free(struct guard_work *w);
void guard_work_record_span(struct guard_work *w, int status,
			    const char *decision, int64_t now);
/** Answers with a refusal and frees the work. */
void guard_work_fail(struct guard_work *w, const struct guard_failure *failure,
		     int64_t now);
void guard_work_fail_not_run(struct guard_work *w, enum http_refusal refusal,
			     int64_t retry_after_us, int64_t now);
/** Passes on a whole answer of the backend server and frees the work. */
void guard_work_answer(struct guard_work *w, const struct http_answer *http,
		       int64_t now);
/** A guard_answer_cb that sends the answer to a remote entry. */
void guard_work_answer_remote(void *ctx, const struct peer_answer *answer);

#endif
