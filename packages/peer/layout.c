/* Field tables of the message types, in the order of encoding. */
#include "layout.h"

#define FIELD(type, member, k, limit, in)                                \
	{                                                                \
		.name = #member, .kind = (k),                            \
		.offset = offsetof(struct type, member), .max = (limit), \
		.inner = (in)                                            \
	}
#define BOOL(type, member) FIELD(type, member, FIELD_BOOL, 0, NULL)
#define U32(type, member) FIELD(type, member, FIELD_U32, 0, NULL)
#define U64(type, member) FIELD(type, member, FIELD_U64, 0, NULL)
#define I64(type, member) FIELD(type, member, FIELD_I64, 0, NULL)
#define ENUM(type, member, end) FIELD(type, member, FIELD_ENUM, end, NULL)
#define NAME(type, member) \
	FIELD(type, member, FIELD_TEXT, PEER_NAME_MAX_BYTES, NULL)
#define TEXT(type, member) \
	FIELD(type, member, FIELD_TEXT, PEER_TEXT_MAX_BYTES, NULL)
#define BODY(type, member) \
	FIELD(type, member, FIELD_BYTES, PEER_BODY_MAX_BYTES, NULL)
#define DIGEST(type, member) FIELD(type, member, FIELD_DIGEST, 0, NULL)
#define STRUCT(type, member, in) FIELD(type, member, FIELD_STRUCT, 0, in)
#define LIST(type, member, in) \
	FIELD(type, member, FIELD_LIST, PEER_LIST_MAX_ITEMS, in)

/* A type whose first version had only the first `required_count` fields. */
#define LAYOUT_EXTENDED(type, table, required_count)                           \
	{                                                                      \
		.name = #type, .fields = (table),                              \
		.count = BASE_ARRAY_SIZE(table), .required = (required_count), \
		.size = sizeof(struct type)                                    \
	}
#define LAYOUT(type, table) LAYOUT_EXTENDED(type, table, BASE_ARRAY_SIZE(table))

static const struct field header_fields[] = {
	NAME(peer_header, name),
	TEXT(peer_header, value),
};
static const struct layout header = LAYOUT(peer_header, header_fields);

static const struct field context_fields[] = {
	NAME(peer_context, account),
	NAME(peer_context, route),
	U32(peer_context, priority),
	U32(peer_context, attempt),
	NAME(peer_context, idempotency_key),
	NAME(peer_context, traceparent),
	I64(peer_context, remaining_us),
	U32(peer_context, depth),
	BOOL(peer_context, open),
	NAME(peer_context, service),
	NAME(peer_context, caller_service),
	BOOL(peer_context, idempotent),
};
#define CONTEXT_REQUIRED_FIELDS 9
static const struct layout context =
	LAYOUT_EXTENDED(peer_context, context_fields, CONTEXT_REQUIRED_FIELDS);

static const struct field hello_fields[] = {
	NAME(peer_hello, vm),
	U64(peer_hello, incarnation),
	U64(peer_hello, version),
};

static const struct field domain_version_fields[] = {
	NAME(peer_domain_version, domain),
	U64(peer_domain_version, version),
};
static const struct layout domain_version =
	LAYOUT(peer_domain_version, domain_version_fields);

static const struct field heartbeat_fields[] = {
	U32(peer_heartbeat, load),
	U32(peer_heartbeat, limit),
	BOOL(peer_heartbeat, cold_full),
	BOOL(peer_heartbeat, draining),
	U64(peer_heartbeat, version),
	DIGEST(peer_heartbeat, hash),
	LIST(peer_heartbeat, domains, &domain_version),
	BOOL(peer_heartbeat, stopping),
	I64(peer_heartbeat, service_us),
	I64(peer_heartbeat, success_permille),
};
#define HEARTBEAT_REQUIRED_FIELDS 7

static const struct field request_fields[] = {
	I64(peer_request, deadline_us),
	STRUCT(peer_request, context, &context),
	NAME(peer_request, method),
	TEXT(peer_request, path),
	LIST(peer_request, headers, &header),
	BODY(peer_request, body),
};

static const struct field cutoff_fields[] = {
	NAME(peer_cutoff, service),
	U32(peer_cutoff, level),
};
static const struct layout cutoff = LAYOUT(peer_cutoff, cutoff_fields);

static const struct field answer_fields[] = {
	U32(peer_answer, status),
	ENUM(peer_answer, outcome, PEER_OUTCOME_END),
	NAME(peer_answer, reason),
	U32(peer_answer, retry_after_ms),
	LIST(peer_answer, headers, &header),
	BODY(peer_answer, body),
	U32(peer_answer, load),
	U32(peer_answer, limit),
	BOOL(peer_answer, cold_full),
	BOOL(peer_answer, draining),
	LIST(peer_answer, cutoffs, &cutoff),
	BOOL(peer_answer, retried),
	BOOL(peer_answer, arrived),
	BOOL(peer_answer, stopping),
	I64(peer_answer, service_us),
	I64(peer_answer, success_permille),
};
#define ANSWER_REQUIRED_FIELDS 12

static const struct field claim_fields[] = {
	NAME(peer_claim, account),
	NAME(peer_claim, key),
	DIGEST(peer_claim, fingerprint),
	I64(peer_claim, remaining_us),
};

static const struct field stored_fields[] = {
	U32(peer_stored_answer, status),
	LIST(peer_stored_answer, headers, &header),
	BODY(peer_stored_answer, body),
};
static const struct layout stored = LAYOUT(peer_stored_answer, stored_fields);

static const struct field claim_answer_fields[] = {
	ENUM(peer_claim_answer, result, PEER_CLAIM_RESULT_END),
	U64(peer_claim_answer, claim_id),
	STRUCT(peer_claim_answer, stored, &stored),
};

static const struct field complete_fields[] = {
	NAME(peer_complete, account),
	NAME(peer_complete, key),
	U64(peer_complete, claim_id),
	ENUM(peer_complete, outcome, PEER_OUTCOME_END),
	STRUCT(peer_complete, stored, &stored),
};

static const struct field release_fields[] = {
	NAME(peer_release, account),
	NAME(peer_release, key),
	U64(peer_release, claim_id),
};

static const struct field rate_return_fields[] = {
	U64(peer_rate_return, grant_id),
	I64(peer_rate_return, used_mtok),
	I64(peer_rate_return, returned_mtok),
};
static const struct layout rate_return =
	LAYOUT(peer_rate_return, rate_return_fields);

static const struct field rate_ask_fields[] = {
	NAME(peer_rate_ask, account),
	NAME(peer_rate_ask, vm),
	U64(peer_rate_ask, incarnation),
	U64(peer_rate_ask, sequence),
	I64(peer_rate_ask, wanted_mtok),
	LIST(peer_rate_ask, returns, &rate_return),
	I64(peer_rate_ask, ahead_mtok),
	U64(peer_rate_ask, holder),
};
#define RATE_ASK_REQUIRED_FIELDS 6

static const struct field rate_grant_fields[] = {
	NAME(peer_rate_grant, account),
	U64(peer_rate_grant, sequence),
	U64(peer_rate_grant, grant_id),
	I64(peer_rate_grant, granted_mtok),
	I64(peer_rate_grant, lifetime_us),
	I64(peer_rate_grant, wait_us),
	U64(peer_rate_grant, incarnation),
	U64(peer_rate_grant, holder),
	ENUM(peer_rate_grant, status, PEER_RATE_STATUS_END),
};
#define RATE_GRANT_REQUIRED_FIELDS 6

static const struct field suspect_fields[] = {
	NAME(peer_suspect, service),
	DIGEST(peer_suspect, fingerprint),
	ENUM(peer_suspect, state, PEER_SUSPECT_STATE_END),
	U32(peer_suspect, round),
	U64(peer_suspect, permit_id),
};

static const struct field suspect_ask_fields[] = {
	NAME(peer_suspect_ask, service),
	DIGEST(peer_suspect_ask, fingerprint),
	ENUM(peer_suspect_ask, state, PEER_SUSPECT_STATE_END),
	U32(peer_suspect_ask, round),
	I64(peer_suspect_ask, remaining_us),
};

static const struct field suspect_answer_fields[] = {
	ENUM(peer_suspect_answer, verdict, PEER_SUSPECT_VERDICT_END),
	U64(peer_suspect_answer, permit_id),
	I64(peer_suspect_answer, lifetime_us),
	I64(peer_suspect_answer, wait_us),
};

static const struct field config_announce_fields[] = {
	U64(peer_config_announce, version),
	DIGEST(peer_config_announce, hash),
	I64(peer_config_announce, since_outage_us),
	I64(peer_config_announce, current_us),
	I64(peer_config_announce, steady_us),
};
#define CONFIG_ANNOUNCE_REQUIRED_FIELDS 3

static const struct field config_get_fields[] = {
	NAME(peer_config_get, key),
};

static const struct field config_value_fields[] = {
	NAME(peer_config_value, key),	 U64(peer_config_value, version),
	DIGEST(peer_config_value, hash), BOOL(peer_config_value, found),
	BODY(peer_config_value, value),
};

static const struct layout layouts[PEER_TYPE_END] = {
	[PEER_HELLO] = LAYOUT(peer_hello, hello_fields),
	[PEER_HEARTBEAT] = LAYOUT_EXTENDED(peer_heartbeat, heartbeat_fields,
					   HEARTBEAT_REQUIRED_FIELDS),
	[PEER_REQUEST] = LAYOUT(peer_request, request_fields),
	[PEER_CANCEL] = { .name = "peer_cancel" },
	[PEER_ANSWER] = LAYOUT_EXTENDED(peer_answer, answer_fields,
					ANSWER_REQUIRED_FIELDS),
	[PEER_CLAIM] = LAYOUT(peer_claim, claim_fields),
	[PEER_CLAIM_ANSWER] = LAYOUT(peer_claim_answer, claim_answer_fields),
	[PEER_COMPLETE] = LAYOUT(peer_complete, complete_fields),
	[PEER_RELEASE] = LAYOUT(peer_release, release_fields),
	[PEER_RATE_ASK] = LAYOUT_EXTENDED(peer_rate_ask, rate_ask_fields,
					  RATE_ASK_REQUIRED_FIELDS),
	[PEER_RATE_GRANT] = LAYOUT_EXTENDED(peer_rate_grant, rate_grant_fields,
					    RATE_GRANT_REQUIRED_FIELDS),
	[PEER_SUSPECT] = LAYOUT_EXTENDED(peer_suspect, suspect_fields, 3),
	[PEER_SUSPECT_ASK] =
		LAYOUT_EXTENDED(peer_suspect_ask, suspect_ask_fields, 2),
	[PEER_SUSPECT_ANSWER] =
		LAYOUT_EXTENDED(peer_suspect_answer, suspect_answer_fields, 1),
	[PEER_CONFIG_ANNOUNCE] =
		LAYOUT_EXTENDED(peer_config_announce, config_announce_fields,
				CONFIG_ANNOUNCE_REQUIRED_FIELDS),
	[PEER_CONFIG_GET] = LAYOUT(peer_config_get, config_get_fields),
	[PEER_CONFIG_VALUE] = LAYOUT(peer_config_value, config_value_fields),
};

const struct layout *layout_for_type(uint64_t type)
{
	if (type < PEER_HELLO || type >= PEER_TYPE_END)
		return NULL;
	return &layouts[type];
}

void *layout_payload(struct peer_message *msg)
{
	return &msg->hello;
}

const void *layout_payload_const(const struct peer_message *msg)
{
	return &msg->hello;
}
