/* Grammar of the parts of a message head. */
#include "grammar.h"
#include "http.h"

#include <string.h>

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

bool http_grammar_is_token(struct base_str s)
{
	/* Bit c % 32 of word c / 32 is set for the bytes of a token. */
	static const uint32_t token_bytes[8] = { 0, 0x03ff6cfa, 0xc7fffffe,
						 0x57ffffff };
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (!(token_bytes[c / 32] >> (c % 32) & 1))
			return false;
	}
	return s.len > 0;
}

bool http_grammar_is_text_byte(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

bool http_grammar_is_text(struct base_str s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (!http_grammar_is_text_byte((unsigned char)s.ptr[i]))
			return false;
	return true;
}

bool http_grammar_is_status_line(struct base_str line)
{
	/* `#` stands for a digit. */
	static const char start[] = "HTTP/#.# ### ";
	const size_t len = sizeof(start) - 1;
	const size_t status_at = sizeof("HTTP/#.# ") - 1;
	size_t i;

	if (line.len < len)
		return false;
	for (i = 0; i < len; i++)
		if (start[i] == '#' ? !is_digit(line.ptr[i])
				    : line.ptr[i] != start[i])
			return false;
	if (line.ptr[status_at] < '1' || line.ptr[status_at] > '5')
		return false;
	return http_grammar_is_text(
		(struct base_str){ line.ptr + len, line.len - len });
}

bool http_header_is_valid(struct base_str name, struct base_str value)
{
	return http_grammar_is_token(name) && http_grammar_is_text(value);
}

bool http_headers_are_valid(const struct http_headers *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (!http_header_is_valid(headers->items[i].name,
					  headers->items[i].value))
			return false;
	return true;
}

bool http_status_is_final(int status)
{
	return status >= 200 && status <= 599;
}
