/* Checks the framing of chunked bodies byte by byte. */
#include "chunked.h"
#include "grammar.h"

#include <ctype.h>

/* Far beyond the limit of a body, and no sum with it overflows. */
#define CHUNK_MAX_BYTES (UINT64_C(1) << 56)

static uint64_t hex_value(unsigned char c)
{
	return (uint64_t)(isdigit(c) ? c - '0' : tolower(c) - 'a' + 10);
}

static bool is_blank(unsigned char c)
{
	return c == ' ' || c == '\t';
}

/* A byte after the first digit of a chunk's size, in the same line. */
static bool check_size_line(struct http_chunked *c, unsigned char byte)
{
	bool may_extend = c->state != HTTP_CHUNKED_EXTENSION;

	if (byte == '\r' && c->state != HTTP_CHUNKED_SIZE_BLANK)
		c->state = HTTP_CHUNKED_SIZE_LF;
	else if (may_extend && byte == ';')
		c->state = HTTP_CHUNKED_EXTENSION;
	else if (may_extend && is_blank(byte))
		c->state = HTTP_CHUNKED_SIZE_BLANK;
	else if (may_extend || !http_grammar_is_text_byte(byte))
		return false;
	return true;
}

static bool check_size(struct http_chunked *c, unsigned char byte)
{
	if (!isxdigit(byte))
		return c->state == HTTP_CHUNKED_SIZE &&
		       check_size_line(c, byte);
	c->left = c->left * 16 + hex_value(byte);
	c->state = HTTP_CHUNKED_SIZE;
	return c->left <= CHUNK_MAX_BYTES;
}

static bool check_trailer(struct http_chunked *c, unsigned char byte)
{
	bool line_begins = c->state == HTTP_CHUNKED_TRAILER;

	if (byte == '\r')
		c->state = line_begins ? HTTP_CHUNKED_END_LF
				       : HTTP_CHUNKED_TRAILER_LF;
	else if (byte == '\n' || (line_begins && is_blank(byte)))
		return false;
	else
		c->state = HTTP_CHUNKED_TRAILER_LINE;
	return true;
}

static bool check_byte(struct http_chunked *c, unsigned char byte)
{
	switch (c->state) {
	case HTTP_CHUNKED_SIZE_START:
	case HTTP_CHUNKED_SIZE:
		return check_size(c, byte);
	case HTTP_CHUNKED_SIZE_BLANK:
	case HTTP_CHUNKED_EXTENSION:
		return check_size_line(c, byte);
	case HTTP_CHUNKED_SIZE_LF:
		c->state = c->left ? HTTP_CHUNKED_DATA : HTTP_CHUNKED_TRAILER;
		return byte == '\n';
	case HTTP_CHUNKED_DATA_CR:
		c->state = HTTP_CHUNKED_DATA_LF;
		return byte == '\r';
	case HTTP_CHUNKED_DATA_LF:
		c->state = HTTP_CHUNKED_SIZE_START;
		return byte == '\n';
	case HTTP_CHUNKED_TRAILER:
	case HTTP_CHUNKED_TRAILER_LINE:
		return check_trailer(c, byte);
	case HTTP_CHUNKED_TRAILER_LF:
		c->state = HTTP_CHUNKED_TRAILER;
		return byte == '\n';
	case HTTP_CHUNKED_END_LF:
		c->state = HTTP_CHUNKED_END;
		return byte == '\n';
	default:
		return false;
	}
}

static size_t skip_data(struct http_chunked *c, size_t len)
{
	size_t n = len < c->left ? len : (size_t)c->left;

	c->left -= n;
	if (!c->left)
		c->state = HTTP_CHUNKED_DATA_CR;
	return n;
}

bool http_chunked_check(struct http_chunked *c, const char *bytes, size_t *len)
{
	size_t i = 0;

	while (i < *len && c->state != HTTP_CHUNKED_END) {
		if (c->state == HTTP_CHUNKED_DATA)
			i += skip_data(c, *len - i);
		else if (!check_byte(c, (unsigned char)bytes[i++]))
			return false;
	}
	*len = i;
	return true;
}
