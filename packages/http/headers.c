/* Header lists, addresses and error descriptions. */
#include "http.h"

#include <event2/util.h>
#include <string.h>

const char *http_strerror(enum http_error status)
{
	switch (status) {
	case HTTP_ERR_NONE:
		return "success";
	case HTTP_ERR_ADDRESS:
		return "invalid address";
	case HTTP_ERR_BIND:
		return "cannot listen on the address";
	case HTTP_ERR_NO_MEMORY:
		return "out of memory";
	}
	return "unknown status";
}

/* Splits at the last colon and removes the brackets of an IPv6 address. */
static bool split_address(struct base_str text, char host[64], int64_t *port)
{
	size_t colon = text.len;
	struct base_str ip;

	while (colon > 0 && text.ptr[colon - 1] != ':')
		colon--;
	if (colon < 2)
		return false;
	if (!base_str_to_i64(
		    (struct base_str){ text.ptr + colon, text.len - colon },
		    port))
		return false;
	ip = (struct base_str){ text.ptr, colon - 1 };
	if (ip.len > 2 && ip.ptr[0] == '[' && ip.ptr[ip.len - 1] == ']')
		ip = (struct base_str){ ip.ptr + 1, ip.len - 2 };
	if (ip.len >= 64 || *port < 0 || *port > 65535)
		return false;
	memcpy(host, ip.ptr, ip.len);
	host[ip.len] = '\0';
	return true;
}

enum http_error http_address_parse(struct base_str text,
				   struct sockaddr_storage *addr,
				   socklen_t *len, struct base_error *err)
{
	struct sockaddr_in *in = (struct sockaddr_in *)addr;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)addr;
	char host[64];
	int64_t port;

	memset(addr, 0, sizeof(*addr));
	if (split_address(text, host, &port)) {
		if (evutil_inet_pton(AF_INET, host, &in->sin_addr) == 1) {
			in->sin_family = AF_INET;
			in->sin_port = htons((uint16_t)port);
			*len = sizeof(*in);
			return HTTP_ERR_NONE;
		}
		if (evutil_inet_pton(AF_INET6, host, &in6->sin6_addr) == 1) {
			in6->sin6_family = AF_INET6;
			in6->sin6_port = htons((uint16_t)port);
			*len = sizeof(*in6);
			return HTTP_ERR_NONE;
		}
	}
	base_error_set(err, "'%.*s' is not an address of the form IP:PORT",
		       BASE_STR_ARG(text));
	return HTTP_ERR_ADDRESS;
}

/*
 * Memory for the strings of a list. Strings stay where they are when the list
 * grows, and removed headers keep their memory until the list is released.
 */
struct http_header_block {
	struct http_header_block *next;
	size_t used;
	size_t size;
	char bytes[];
};

/* Most heads fit into one block of this size. */
#define BLOCK_MIN_BYTES 480
#define ITEMS_MIN_CAPACITY 12

static char *reserve_bytes(struct http_headers *headers, size_t len)
{
	struct http_header_block *b = headers->blocks;
	size_t size = len > BLOCK_MIN_BYTES ? len : BLOCK_MIN_BYTES;

	if (!b || b->size - b->used < len) {
		b = base_realloc(NULL, sizeof(*b) + size);
		*b = (struct http_header_block){ headers->blocks, 0, size };
		headers->blocks = b;
	}
	b->used += len;
	return b->bytes + b->used - len;
}

/* Ends the copy with a zero byte, which the length does not count. */
static struct base_str copy_str(char *to, struct base_str s)
{
	if (s.len)
		memcpy(to, s.ptr, s.len);
	to[s.len] = '\0';
	return (struct base_str){ to, s.len };
}

void http_headers_release(struct http_headers *headers)
{
	while (headers->blocks) {
		struct http_header_block *b = headers->blocks;

		headers->blocks = b->next;
		free(b);
	}
	free(headers->items);
	*headers = (struct http_headers){ 0 };
}

void http_headers_add(struct http_headers *headers, struct base_str name,
		      struct base_str value)
{
	char *bytes = reserve_bytes(headers, name.len + value.len + 2);

	http_headers_add_view(headers, copy_str(bytes, name),
			      copy_str(bytes + name.len + 1, value));
}

void http_headers_add_view(struct http_headers *headers, struct base_str name,
			   struct base_str value)
{
	if (headers->count == headers->capacity) {
		headers->capacity = headers->capacity ? headers->capacity * 2
						      : ITEMS_MIN_CAPACITY;
		headers->items = base_realloc(headers->items,
					      headers->capacity *
						      sizeof(*headers->items));
	}
	headers->items[headers->count++] = (struct http_header){
		.name = name,
		.value = value,
	};
}

void http_headers_copy(struct http_headers *to, const struct http_headers *from)
{
	size_t i;

	for (i = 0; i < from->count; i++)
		http_headers_add(to, from->items[i].name, from->items[i].value);
}

void http_headers_remove(struct http_headers *headers, struct base_str name)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		if (!base_str_equal_nocase(headers->items[i].name, name))
			headers->items[kept++] = headers->items[i];
	}
	headers->count = kept;
}

struct base_str http_headers_find(const struct http_headers *headers,
				  struct base_str name)
{
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (base_str_equal_nocase(headers->items[i].name, name))
			return headers->items[i].value;
	return BASE_STR_NONE;
}

static bool list_contains(struct base_str list, struct base_str name)
{
	while (list.len) {
		const char *comma = memchr(list.ptr, ',', list.len);
		struct base_str token = list;

		if (comma)
			token.len = (size_t)(comma - list.ptr);
		list.ptr += token.len + (comma != NULL);
		list.len -= token.len + (comma != NULL);
		while (token.len && token.ptr[0] == ' ') {
			token.ptr++;
			token.len--;
		}
		while (token.len && token.ptr[token.len - 1] == ' ')
			token.len--;
		if (base_str_equal_nocase(token, name))
			return true;
	}
	return false;
}

bool http_headers_has_connection_option(const struct http_headers *headers,
					struct base_str name)
{
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (base_str_equal_nocase(headers->items[i].name,
					  BASE_STR("Connection")) &&
		    list_contains(headers->items[i].value, name))
			return true;
	return false;
}

bool http_header_is_hop_by_hop(struct base_str name)
{
#define NAME(text)                     \
	{                              \
		text, sizeof(text) - 1 \
	}
	static const struct base_str names[] = {
		NAME("Connection"),
		NAME("Keep-Alive"),
		NAME("Proxy-Connection"),
		NAME("Proxy-Authenticate"),
		NAME("Proxy-Authorization"),
		NAME("TE"),
		NAME("Trailer"),
		NAME("Transfer-Encoding"),
		NAME("Upgrade"),
		NAME("Content-Length"),
		NAME("Expect"),
		NAME("Host"),
	};
#undef NAME
	/* Most other headers have a length that no name has. */
	static const uint32_t lengths = 1U << 2 | 1U << 4 | 1U << 6 | 1U << 7 |
					1U << 10 | 1U << 14 | 1U << 16 |
					1U << 17 | 1U << 18 | 1U << 19;
	size_t i;

	if (name.len > 19 || !(lengths >> name.len & 1))
		return false;
	for (i = 0; i < BASE_ARRAY_SIZE(names); i++)
		if (names[i].len == name.len &&
		    base_str_equal_nocase(name, names[i]))
			return true;
	return false;
}
