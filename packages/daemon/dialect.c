/* The native dialect and helpers for all dialects. */
#include "dialect.h"
#include "daemon.h"

#include <string.h>

#define HEADER_PREFIX "Bilberryhinge-"

static bool split_bearer(struct base_str authorization,
			 char id_buf[CONFIG_CREDENTIAL_ID_LEN + 1],
			 struct base_str *id, struct base_str *secret)
{
	static const struct base_str scheme = { "Bearer ", 7 };

	(void)id_buf;
	if (!base_str_starts_with(authorization, scheme))
		return false;
	authorization.ptr += scheme.len;
	authorization.len -= scheme.len;
	return config_credential_parse(authorization, id, secret);
}

static const struct daemon_dialect native = {
	.name = "native",
	.headers = {
		.timeout_ms = HEADER_PREFIX "Timeout-Ms",
		.account = HEADER_PREFIX "Account",
		.call_token = HEADER_PREFIX "Call",
		.served_by = HEADER_PREFIX "Served-By",
	},
	.ready_path = "/ready",
	.idempotency_keys = true,
	.trace_context = true,
	.parse_credential = split_bearer,
};

const struct daemon_dialect *dialect_native(void)
{
	return &native;
}

void dialect_derive_key_id(struct base_str secret,
			   char id[CONFIG_CREDENTIAL_ID_LEN + 1])
{
	struct base_digest digest = base_digest_of(secret);
	char hex[2 * BASE_DIGEST_SIZE + 1];

	base_digest_hex(&digest, hex);
	memcpy(id, hex, CONFIG_CREDENTIAL_ID_LEN);
	id[CONFIG_CREDENTIAL_ID_LEN] = '\0';
}

static bool matches_header(struct base_str name, const char *header)
{
	return header && base_str_equal_nocase(name, base_str_from(header));
}

bool dialect_is_reserved_header(const struct daemon_dialect *dialect,
				struct base_str name)
{
	const struct dialect_headers *h = &dialect->headers;
	size_t prefix = sizeof(HEADER_PREFIX) - 1;

	return matches_header(name, "Authorization") ||
	       matches_header(name, "traceparent") ||
	       matches_header(name, "Idempotency-Key") ||
	       matches_header(name, h->timeout_ms) ||
	       matches_header(name, h->account) ||
	       matches_header(name, h->caller_service) ||
	       matches_header(name, h->expect_instance) ||
	       matches_header(name, h->call_token) ||
	       (name.len >= prefix &&
		!strncasecmp(name.ptr, HEADER_PREFIX, prefix));
}

static bool lists_condition(const struct daemon_settings *settings,
			    const char *condition)
{
	struct base_str rest = base_str_from(settings->conditions);
	struct base_str name;

	while (base_str_next_item(&rest, &name))
		if (base_str_equal(name, base_str_from(condition)))
			return true;
	return false;
}

void dialect_apply_conditions(const struct daemon_dialect *dialect,
			      struct daemon_settings *settings)
{
	const char *condition = dialect->unreliable_servers_condition;

	if (!condition || !lists_condition(settings, condition))
		return;
	settings->learned_capacity = true;
	settings->graph_admission = true;
}
