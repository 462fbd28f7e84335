/* Status, headers and body of refusals. */
#include "http.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/*
 * Temporary conditions usually end within about a second: a link opens in
 * 0.3 s, the content of a queue is replaced in 1 s, and a stopped VM is taken
 * out of service in 2.5 s.
 */
#define RETRY_AFTER_MS 1000
/* A suspect request waits for a permit, which is valid for up to this long. */
#define SUSPECT_RETRY_AFTER_MS 5000

/* Room that the body of a refusal starts with. */
#define BODY_TYPICAL_BYTES 200

struct refusal_properties {
	const char *name;
	int default_status;
	bool implies_not_run;
	/* Default for Retry-After; 0 where a retry is of no use. */
	int64_t retry_after_ms;
};

static const struct refusal_properties refusals[HTTP_REFUSAL_COUNT] = {
	[HTTP_REFUSAL_BAD_REQUEST] = { "bad_request", 400, true },
	[HTTP_REFUSAL_UNAUTHENTICATED] = { "unauthenticated", 401, true },
	[HTTP_REFUSAL_FORBIDDEN] = { "forbidden", 403, true },
	[HTTP_REFUSAL_NO_ROUTE] = { "no_route", 404, true },
	[HTTP_REFUSAL_BODY_TOO_LARGE] = { "body_too_large", 413, true },
	[HTTP_REFUSAL_IDEMPOTENCY_KEY_REQUIRED] = { "idempotency_key_required",
						    400, true },
	[HTTP_REFUSAL_IDEMPOTENCY_KEY_INVALID] = { "idempotency_key_invalid",
						   400, true },
	[HTTP_REFUSAL_IDEMPOTENCY_MISMATCH] = { "idempotency_mismatch", 422,
						true },
	[HTTP_REFUSAL_IN_PROGRESS] = { "in_progress", 409, false,
				       RETRY_AFTER_MS },
	[HTTP_REFUSAL_KEY_TOO_OLD] = { "key_too_old", 409, false },
	[HTTP_REFUSAL_RATE_LIMITED] = { "rate_limited", 429, true,
					RETRY_AFTER_MS },
	[HTTP_REFUSAL_OVERLOADED] = { "overloaded", 503, true, RETRY_AFTER_MS },
	[HTTP_REFUSAL_NO_SERVER] = { "no_server", 503, true, RETRY_AFTER_MS },
	[HTTP_REFUSAL_OWNER_UNREACHABLE] = { "owner_unreachable", 503, true,
					     RETRY_AFTER_MS },
	[HTTP_REFUSAL_DRAINING] = { "draining", 503, true, RETRY_AFTER_MS },
	[HTTP_REFUSAL_SUSPECT] = { "suspect", 503, true,
				   SUSPECT_RETRY_AFTER_MS },
	[HTTP_REFUSAL_NOT_READY] = { "not_ready", 503, true, RETRY_AFTER_MS },
	[HTTP_REFUSAL_DEADLINE] = { "deadline", 504, false, RETRY_AFTER_MS },
	[HTTP_REFUSAL_CONNECTION_LOST] = { "connection_lost", 502, false },
	[HTTP_REFUSAL_ANSWER_TOO_LARGE] = { "answer_too_large", 502, false },
};

const char *http_refusal_name(enum http_refusal refusal)
{
	assert(refusal < HTTP_REFUSAL_COUNT);
	return refusals[refusal].name;
}

bool http_refusal_parse(struct base_str name, enum http_refusal *refusal)
{
	size_t i;

	for (i = 0; i < HTTP_REFUSAL_COUNT; i++) {
		if (base_str_equal(name, base_str_from(refusals[i].name))) {
			*refusal = (enum http_refusal)i;
			return true;
		}
	}
	return false;
}

int http_refusal_default_status(enum http_refusal refusal)
{
	assert(refusal < HTTP_REFUSAL_COUNT);
	return refusals[refusal].default_status;
}

bool http_refusal_implies_not_run(enum http_refusal refusal)
{
	assert(refusal < HTTP_REFUSAL_COUNT);
	return refusals[refusal].implies_not_run;
}

int64_t http_refusal_retry_after_us(enum http_refusal refusal)
{
	assert(refusal < HTTP_REFUSAL_COUNT);
	return refusals[refusal].retry_after_ms * BASE_MS_US;
}

int http_refusal_status(const struct http_refusal_details *details)
{
	int default_status = http_refusal_default_status(details->refusal);
	bool status_means_not_run =
		default_status == 429 || default_status == 503;

	if (!details->status_implies_not_run)
		return default_status;
	if (details->not_run)
		return default_status == 502 || default_status == 504
			       ? 503
			       : default_status;
	return status_means_not_run ? 502 : default_status;
}

static void add_retry_after(struct http_headers *headers,
			    const struct http_refusal_details *details,
			    int64_t ms)
{
	char seconds[24];

	if (details->status_implies_not_run)
		snprintf(seconds, sizeof(seconds), "%" PRId64 ".%03d",
			 ms / 1000, (int)(ms % 1000));
	else
		snprintf(seconds, sizeof(seconds), "%" PRId64,
			 (ms + 999) / 1000);
	http_headers_add(headers, BASE_STR("Retry-After"),
			 base_str_from(seconds));
}

static void add_header(struct http_headers *headers, const char *name,
		       const char *value)
{
	http_headers_add(headers, base_str_from(name), base_str_from(value));
}

/* Whether JSON has the text as it is. */
static bool needs_no_escape(struct base_str text)
{
	size_t i;

	for (i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.ptr[i];

		if (c < ' ' || c > '~' || c == '"' || c == '\\')
			return false;
	}
	return true;
}

static void add_text(struct base_buf *body, const char *text)
{
	base_buf_add(body, text, strlen(text));
}

/*
 * Under overload most requests are refused, and Jansson would take a quarter of
 * the processor time of a refusal.
 */
static void add_plain_body(const struct http_refusal_details *details,
			   const char *outcome, int64_t ms,
			   struct base_buf *body)
{
	base_buf_reserve(body, BODY_TYPICAL_BYTES);
	add_text(body, "{\"reason\":\"");
	add_text(body, http_refusal_name(details->refusal));
	add_text(body, "\",\"outcome\":\"");
	add_text(body, outcome);
	add_text(body, "\",\"retry_after_ms\":");
	base_buf_add_int(body, ms);
	add_text(body, ",\"detail\":\"");
	base_buf_add_str(body, details->detail);
	add_text(body, "\"}\n");
}

static void add_escaped_body(const struct http_refusal_details *details,
			     const char *outcome, int64_t ms,
			     struct base_buf *body)
{
	json_t *json =
		json_pack("{s:s,s:s,s:I,s:s%}", "reason",
			  http_refusal_name(details->refusal), "outcome",
			  outcome, "retry_after_ms", (json_int_t)ms, "detail",
			  details->detail.ptr, details->detail.len);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	base_buf_addf(body, "%s\n", text ? text : "{}");
	free(text);
	json_decref(json);
}

void http_refusal_build(const struct http_refusal_details *details,
			struct http_headers *headers, struct base_buf *body)
{
	const char *outcome = details->not_run ? "not-run" : "unknown";
	int64_t ms = (details->retry_after_us + 999) / 1000;

	if (!details->status_implies_not_run) {
		add_header(headers, "Bilberryhinge-Refusal",
			   http_refusal_name(details->refusal));
		add_header(headers, "Bilberryhinge-Outcome", outcome);
	}
	add_header(headers, "Content-Type", "application/json");
	if (details->retry_after_us > 0)
		add_retry_after(headers, details, ms);
	if (needs_no_escape(details->detail))
		add_plain_body(details, outcome, ms, body);
	else
		add_escaped_body(details, outcome, ms, body);
}
