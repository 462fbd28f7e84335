/*
 * Framing of a chunked body by the grammar of RFC 9112. Debian's build of
 * http_parser accepts any byte where a line end is due. Private to the package.
 */
#ifndef HTTP_CHUNKED_H
#define HTTP_CHUNKED_H

#include "base.h"

enum http_chunked_state {
	/** The first digit of a chunk's size is due. */
	HTTP_CHUNKED_SIZE_START = 0,
	HTTP_CHUNKED_SIZE,
	/** Blanks between the size and an extension. */
	HTTP_CHUNKED_SIZE_BLANK,
	HTTP_CHUNKED_EXTENSION,
	HTTP_CHUNKED_SIZE_LF,
	HTTP_CHUNKED_DATA,
	HTTP_CHUNKED_DATA_CR,
	HTTP_CHUNKED_DATA_LF,
	/** After the last chunk, at the start of a line of the trailer. */
	HTTP_CHUNKED_TRAILER,
	HTTP_CHUNKED_TRAILER_LINE,
	HTTP_CHUNKED_TRAILER_LF,
	HTTP_CHUNKED_END_LF,
	HTTP_CHUNKED_END,
};

/** All zero at the start of a body. */
struct http_chunked {
	enum http_chunked_state state;
	/** Bytes of the chunk that are still to come. */
	uint64_t left;
};

/**
 * Checks the next bytes of a body. The content of trailer lines is not checked.
 * @param[in,out] len  number of bytes; set to the number up to the end of the
 *                     body
 * @return false when the bytes are not a chunked body
 */
bool http_chunked_check(struct http_chunked *c, const char *bytes, size_t *len);

#endif
