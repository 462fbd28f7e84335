/* Keys of callers in plain text, `bhk_ID_SECRET`. */
#include "config.h"
#include "text.h"

#include <sodium.h>
#include <string.h>

void config_credential_generate(struct config_credential *credential)
{
	uint8_t id[CONFIG_CREDENTIAL_ID_LEN / 2];
	uint8_t secret[CONFIG_CREDENTIAL_SECRET_LEN / 2];

	randombytes_buf(id, sizeof(id));
	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(credential->id, sizeof(credential->id), id, sizeof(id));
	sodium_bin2hex(credential->secret, sizeof(credential->secret), secret,
		       sizeof(secret));
	sodium_memzero(secret, sizeof(secret));
}

void config_credential_wipe(struct config_credential *credential)
{
	sodium_memzero(credential, sizeof(*credential));
}

bool config_credential_parse(struct base_str text, struct base_str *id,
			     struct base_str *secret)
{
	struct base_str prefix = BASE_STR(CONFIG_CREDENTIAL_PREFIX);
	const char *separator;

	if (!base_str_starts_with(text, prefix))
		return false;
	text.ptr += prefix.len;
	text.len -= prefix.len;
	separator = text.len ? memchr(text.ptr, '_', text.len) : NULL;
	if (!separator)
		return false;
	*id = (struct base_str){ text.ptr, (size_t)(separator - text.ptr) };
	*secret = (struct base_str){ separator + 1, text.len - id->len - 1 };
	return text_is_key_id(*id) && secret->len > 0;
}

bool config_credential_verify(const struct config_key *key,
			      struct base_str secret)
{
	struct base_digest digest = base_digest_of(secret);

	return base_digest_equal(&digest, &key->digest);
}
