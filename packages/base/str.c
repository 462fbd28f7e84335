/* Length-counted strings and growable buffers. */
#include "base.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Longer numbers could not be converted to an integer of 1/1000. */
#define DECIMAL_MAX_CHARS 15

struct base_str base_str_from(const char *cstr)
{
	return (struct base_str){ cstr, cstr ? strlen(cstr) : 0 };
}

bool base_str_equal(struct base_str a, struct base_str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

bool base_str_equal_nocase(struct base_str a, struct base_str b)
{
	return a.len == b.len && (!a.len || !strncasecmp(a.ptr, b.ptr, a.len));
}

bool base_str_starts_with(struct base_str s, struct base_str prefix)
{
	if (prefix.len > s.len)
		return false;
	return !prefix.len || !memcmp(s.ptr, prefix.ptr, prefix.len);
}

int base_str_compare(struct base_str a, struct base_str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n ? memcmp(a.ptr, b.ptr, n) : 0;

	if (c)
		return c;
	return (a.len > b.len) - (a.len < b.len);
}

char *base_str_dup(struct base_str s)
{
	char *copy = base_alloc(s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	return copy;
}

bool base_str_to_i64(struct base_str s, int64_t *out)
{
	char text[24];
	char *end;
	long long value;

	if (!s.len || s.len >= sizeof(text))
		return false;
	if (s.ptr[0] != '-' && (s.ptr[0] < '0' || s.ptr[0] > '9'))
		return false;
	memcpy(text, s.ptr, s.len);
	text[s.len] = '\0';
	errno = 0;
	value = strtoll(text, &end, 10);
	if (errno || end != text + s.len)
		return false;
	*out = value;
	return true;
}

bool base_str_to_decimal(struct base_str s, double *out)
{
	double value = 0;
	double unit = 1;
	bool fraction = false;
	bool digits = false;
	size_t i;

	if (s.len > DECIMAL_MAX_CHARS)
		return false;
	for (i = 0; i < s.len; i++) {
		if (s.ptr[i] == '.' && digits && !fraction) {
			fraction = true;
			digits = false;
			continue;
		}
		if (s.ptr[i] < '0' || s.ptr[i] > '9')
			return false;
		digits = true;
		unit /= fraction ? 10 : 1;
		value = fraction ? value + unit * (s.ptr[i] - '0')
				 : value * 10 + (s.ptr[i] - '0');
	}
	if (!digits)
		return false;
	*out = value;
	return true;
}

void base_buf_release(struct base_buf *buf)
{
	free(buf->ptr);
	*buf = BASE_BUF_INIT;
}

void base_buf_reset(struct base_buf *buf)
{
	buf->len = 0;
	if (buf->ptr)
		buf->ptr[0] = '\0';
}

/* Saves the first few reallocations of a buffer that grows by small pieces. */
#define BUF_MIN_CAPACITY 64

void base_buf_reserve(struct base_buf *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;

	if (need <= buf->cap)
		return;
	if (need < buf->cap * 2)
		need = buf->cap * 2;
	if (need < BUF_MIN_CAPACITY)
		need = BUF_MIN_CAPACITY;
	buf->ptr = base_realloc(buf->ptr, need);
	buf->cap = need;
}

void base_buf_add(struct base_buf *buf, const void *data, size_t len)
{
	base_buf_reserve(buf, len);
	if (len)
		memcpy(buf->ptr + buf->len, data, len);
	buf->len += len;
	buf->ptr[buf->len] = '\0';
}

void base_buf_add_str(struct base_buf *buf, struct base_str s)
{
	base_buf_add(buf, s.ptr, s.len);
}

void base_buf_addf(struct base_buf *buf, const char *fmt, ...)
{
	va_list args;
	size_t room;
	int len;

	base_buf_reserve(buf, 0);
	room = buf->cap - buf->len;
	va_start(args, fmt);
	len = vsnprintf(buf->ptr + buf->len, room, fmt, args);
	va_end(args);
	assert(len >= 0);
	if ((size_t)len >= room) {
		base_buf_reserve(buf, (size_t)len);
		va_start(args, fmt);
		vsnprintf(buf->ptr + buf->len, (size_t)len + 1, fmt, args);
		va_end(args);
	}
	buf->len += (size_t)len;
}

void base_buf_add_int(struct base_buf *buf, int64_t value)
{
	uint64_t rest = value < 0 ? -(uint64_t)value : (uint64_t)value;
	char digits[24];
	size_t at = sizeof(digits);

	do {
		digits[--at] = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest);
	if (value < 0)
		digits[--at] = '-';
	base_buf_add(buf, digits + at, sizeof(digits) - at);
}

struct base_str base_buf_str(const struct base_buf *buf)
{
	return (struct base_str){ buf->ptr, buf->len };
}

void base_buf_move(struct base_buf *to, struct base_buf *from)
{
	base_buf_release(to);
	*to = *from;
	*from = BASE_BUF_INIT;
}

bool base_str_next_item(struct base_str *rest, struct base_str *item)
{
	const char *comma;

	if (!rest->len)
		return false;
	comma = memchr(rest->ptr, ',', rest->len);
	*item = *rest;
	if (comma)
		item->len = (size_t)(comma - rest->ptr);
	rest->ptr += item->len + (comma != NULL);
	rest->len -= item->len + (comma != NULL);
	return true;
}
