/* Validation of strings in objects. */
#include "text.h"

#include <arpa/inet.h>
#include <string.h>

#define NAME_MAX_LEN 64
#define METHOD_MAX_LEN 16
#define PATH_MAX_LEN 256

#define DIGITS "0123456789"
#define UPPER "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
#define LOWER "abcdefghijklmnopqrstuvwxyz"

static bool consists_of(struct base_str s, size_t max, const char *allowed)
{
	size_t i;

	if (!s.len || s.len > max)
		return false;
	for (i = 0; i < s.len; i++)
		if (!s.ptr[i] || !strchr(allowed, s.ptr[i]))
			return false;
	return true;
}

bool text_is_name(struct base_str s)
{
	return consists_of(s, NAME_MAX_LEN, LOWER UPPER DIGITS "._-");
}

bool text_is_key_id(struct base_str s)
{
	return consists_of(s, NAME_MAX_LEN, LOWER UPPER DIGITS);
}

bool text_is_hash(struct base_str s)
{
	size_t len = (size_t)BASE_DIGEST_SIZE * 2;

	return s.len == len && consists_of(s, len, DIGITS "abcdef");
}

bool text_is_method(struct base_str s)
{
	return base_str_equal(s, BASE_STR("any")) ||
	       consists_of(s, METHOD_MAX_LEN, UPPER);
}

bool text_is_address(struct base_str s)
{
	struct in6_addr parsed;
	char host[INET6_ADDRSTRLEN + 2];
	const char *colon = s.len ? memrchr(s.ptr, ':', s.len) : NULL;
	struct base_str digits;
	int64_t port;
	size_t len;

	if (!colon)
		return false;
	len = (size_t)(colon - s.ptr);
	digits = (struct base_str){ colon + 1, s.len - len - 1 };
	if (!consists_of(digits, 5, DIGITS) || !base_str_to_i64(digits, &port))
		return false;
	if (port < 1 || port > 65535 || len < 2 || len >= sizeof(host))
		return false;
	memcpy(host, s.ptr, len);
	host[len] = '\0';
	if (host[0] != '[')
		return inet_pton(AF_INET, host, &parsed) == 1;
	if (host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	return inet_pton(AF_INET6, host + 1, &parsed) == 1;
}

static bool segment_valid(struct base_str s)
{
	size_t i;

	if (!s.len || base_str_equal(s, BASE_STR(".")) ||
	    base_str_equal(s, BASE_STR("..")))
		return false;
	for (i = 0; i < s.len; i++)
		if (s.ptr[i] <= ' ' || s.ptr[i] >= 0x7f ||
		    strchr("?#\"\\", s.ptr[i]))
			return false;
	return true;
}

bool text_is_path_prefix(struct base_str s)
{
	size_t start = 1;

	if (!s.len || s.len > PATH_MAX_LEN || s.ptr[0] != '/')
		return false;
	if (s.len == 1)
		return true;
	while (start <= s.len) {
		size_t rest = s.len - start;
		const char *slash = memchr(s.ptr + start, '/', rest);
		size_t len = slash ? (size_t)(slash - s.ptr) - start : rest;

		if (!segment_valid((struct base_str){ s.ptr + start, len }))
			return false;
		start += len + 1;
	}
	return true;
}
