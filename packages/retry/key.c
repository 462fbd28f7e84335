/* Parsing of idempotency keys, and fingerprints of requests. */
#include "retry.h"

#include <string.h>

#define KEY_TEXT_LEN 36
#define KEY_VERSION 7

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static bool is_dash_at(size_t i)
{
	return i == 8 || i == 13 || i == 18 || i == 23;
}

bool retry_key_parse(struct base_str text, struct retry_key *key)
{
	size_t i, digits = 0;
	int value;

	if (text.len != KEY_TEXT_LEN)
		return false;
	memset(key, 0, sizeof(*key));
	for (i = 0; i < text.len; i++) {
		if (is_dash_at(i)) {
			if (text.ptr[i] != '-')
				return false;
			continue;
		}
		value = hex_value(text.ptr[i]);
		if (value < 0)
			return false;
		key->bytes[digits / 2] |=
			(uint8_t)(digits % 2 ? value : value << 4);
		digits++;
	}
	/* RFC 9562: the version is in octet 6, the variant 0b10 in octet 8. */
	return key->bytes[6] >> 4 == KEY_VERSION && key->bytes[8] >> 6 == 2;
}

int64_t retry_key_created_ms(const struct retry_key *key)
{
	int64_t ms = 0;
	int i;

	for (i = 0; i < 6; i++)
		ms = ms << 8 | key->bytes[i];
	return ms;
}

struct base_digest retry_fingerprint(const struct base_str *parts, size_t count)
{
	BASE_CLEANUP(base_buf_release) struct base_buf all = BASE_BUF_INIT;
	size_t i;

	for (i = 0; i < count; i++) {
		base_buf_addf(&all, "%zu:", parts[i].len);
		base_buf_add_str(&all, parts[i]);
	}
	return base_digest_of(base_buf_str(&all));
}
