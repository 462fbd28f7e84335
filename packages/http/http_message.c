/* Strict parsing of HTTP/1.1 messages over http_parser. */
#include "http_message.h"
#include "grammar.h"

#include <string.h>

void http_message_init(struct http_message *m, enum http_parser_type type,
		       size_t max_body)
{
	memset(m, 0, sizeof(*m));
	m->type = type;
	m->max_body = max_body;
	http_parser_init(&m->parser, type);
	m->parser.data = m;
}

void http_message_release(struct http_message *m)
{
	http_headers_release(&m->headers);
	base_buf_release(&m->target);
	base_buf_release(&m->name);
	base_buf_release(&m->value);
	base_buf_release(&m->body);
}

/*
 * The next message on the connection uses these buffers again. Larger ones are
 * freed, as many connections are idle.
 */
#define KEPT_BUFFER_MAX_BYTES 512

static struct base_buf keep_small(struct base_buf *buf)
{
	struct base_buf kept = *buf;

	if (buf->cap > KEPT_BUFFER_MAX_BYTES)
		return BASE_BUF_INIT;
	*buf = BASE_BUF_INIT;
	base_buf_reset(&kept);
	return kept;
}

void http_message_reset(struct http_message *m)
{
	bool is_head_response = m->is_head_response;
	struct base_buf target = keep_small(&m->target);
	struct base_buf name = keep_small(&m->name);
	struct base_buf value = keep_small(&m->value);

	http_message_release(m);
	http_message_init(m, m->type, m->max_body);
	m->is_head_response = is_head_response;
	m->target = target;
	m->name = name;
	m->value = value;
}

/*
 * A few bytes of a head can be a header, which takes over a hundred bytes when
 * it is stored. Callers' requests have a limit of their own at the entry.
 */
#define RESPONSE_HEADERS_MAX 256
/* Trailers are not stored, but each is collected until it ends. */
#define TRAILER_MAX_BYTES (16U << 10)

static struct base_str trim_trailing_whitespace(struct base_str s)
{
	while (s.len && (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t'))
		s.len--;
	return s;
}

static int set_fault(struct http_message *m, enum http_message_fault fault)
{
	m->fault = fault;
	return -1;
}

/* A second coding would be applied to the first, also when both are chunked. */
static bool is_only_coding(const struct http_message *m, struct base_str coding)
{
	return base_str_equal_nocase(coding, BASE_STR("chunked")) &&
	       !http_headers_find(&m->headers, BASE_STR("Transfer-Encoding"))
			.ptr;
}

/*
 * Checks and stores the header that was parsed last. It is known to be complete
 * when the next header begins, or at the end of the headers or trailers.
 */
static int finish_header(struct http_message *m)
{
	struct base_str name = base_buf_str(&m->name);
	struct base_str value =
		trim_trailing_whitespace(base_buf_str(&m->value));

	if (!name.len)
		return 0;
	/* http_parser does not check the first byte of a value. */
	if (!http_header_is_valid(name, value))
		return set_fault(m, HTTP_MESSAGE_FAULT_SYNTAX);
	if (base_str_equal_nocase(name, BASE_STR("Transfer-Encoding")) &&
	    !is_only_coding(m, value))
		return set_fault(m, HTTP_MESSAGE_FAULT_TRANSFER_CODING);
	/* Trailers, which follow the body, are not stored. */
	if (!m->headers_complete) {
		if (m->type == HTTP_RESPONSE &&
		    m->headers.count == RESPONSE_HEADERS_MAX)
			return set_fault(m, HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE);
		http_headers_add(&m->headers, name, value);
	}
	base_buf_reset(&m->name);
	base_buf_reset(&m->value);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_message *m = parser->data;

	base_buf_add(&m->target, at, len);
	return 0;
}

static int count_trailer(struct http_message *m, size_t len)
{
	if (!m->headers_complete)
		return 0;
	m->trailer_bytes += len;
	if (m->trailer_bytes > TRAILER_MAX_BYTES)
		return set_fault(m, HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE);
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_message *m = parser->data;

	if (m->value.len && finish_header(m))
		return -1;
	if (count_trailer(m, len))
		return -1;
	base_buf_add(&m->name, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_message *m = parser->data;

	if (count_trailer(m, len))
		return -1;
	base_buf_add(&m->value, at, len);
	/*
	 * An empty value is stored as a space, which is trimmed later, so that
	 * on_field() detects the end of the header.
	 */
	if (!m->value.len)
		base_buf_add(&m->value, " ", 1);
	return 0;
}

bool http_message_status_has_no_body(int status)
{
	return status / 100 == 1 || status == 204 || status == 304;
}

/* Its end is the end of the head, whatever length that declares. */
static bool ends_with_head(const struct http_message *m)
{
	return m->is_head_response ||
	       http_message_status_has_no_body((int)m->parser.status_code);
}

static int on_headers_complete(http_parser *parser)
{
	struct http_message *m = parser->data;

	if (finish_header(m))
		return -1;
	m->headers_complete = true;
	if (parser->http_major != 1)
		return set_fault(m, HTTP_MESSAGE_FAULT_VERSION);
	/* Transfer codings are not part of HTTP/1.0. */
	if (parser->flags & F_CHUNKED && parser->http_minor == 0)
		return set_fault(m, HTTP_MESSAGE_FAULT_TRANSFER_CODING);
	if (parser->flags & F_CONTENTLENGTH &&
	    parser->content_length > m->max_body && !ends_with_head(m))
		return set_fault(m, HTTP_MESSAGE_FAULT_BODY_TOO_LARGE);
	/* Upgrades are not supported: the bytes that follow are HTTP too. */
	parser->upgrade = 0;
	return ends_with_head(m) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_message *m = parser->data;

	if (m->body.len + len > m->max_body)
		return set_fault(m, HTTP_MESSAGE_FAULT_BODY_TOO_LARGE);
	base_buf_add(&m->body, at, len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_message *m = parser->data;

	if (finish_header(m))
		return -1;
	m->complete = true;
	/* Bytes after the message belong to the next one. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/*
 * Rejects bytes that other parsers may interpret differently: bare CR or LF,
 * NUL, and folded header lines.
 */
static bool is_unambiguous(const char *head, size_t len)
{
	const char *end = head + len;
	const char *line = head;

	if (memchr(head, '\0', len))
		return false;
	while (line < end) {
		const char *cr = memchr(line, '\r', (size_t)(end - line));
		const char *lf = memchr(line, '\n', (size_t)(end - line));

		if (line > head && (*line == ' ' || *line == '\t'))
			return false;
		if (!cr && !lf)
			return true;
		if (!cr || lf != cr + 1)
			return false;
		line = lf + 1;
	}
	return true;
}

/*
 * Checks for "HTTP/" in a request line. Debian's build of http_parser accepts
 * any four bytes, including line ends, in place of "TTP/" and would then parse
 * beyond the head that was checked.
 */
static bool has_protocol_name(struct base_str line)
{
	const char *space = line.len ? memrchr(line.ptr, ' ', line.len) : NULL;

	if (!space)
		return false;
	line.len -= (size_t)(space + 1 - line.ptr);
	line.ptr = space + 1;
	return base_str_starts_with(line, BASE_STR("HTTP/"));
}

/* http_parser also accepts a status of fewer digits, or more with zeros. */
static bool is_start_line(enum http_parser_type type, const char *head,
			  size_t len)
{
	const char *end = memchr(head, '\r', len);
	struct base_str line = { head, end ? (size_t)(end - head) : len };

	return type == HTTP_RESPONSE ? http_grammar_is_status_line(line)
				     : has_protocol_name(line);
}

/* Some callers send an empty line after a body. */
static void skip_empty_lines(struct evbuffer *in)
{
	char line[2];

	while (evbuffer_copyout(in, line, sizeof(line)) == sizeof(line) &&
	       !memcmp(line, "\r\n", sizeof(line)))
		evbuffer_drain(in, sizeof(line));
}

bool http_message_check_head(struct evbuffer *in, enum http_parser_type type,
			     size_t max_head, enum http_message_fault *fault)
{
	struct evbuffer_ptr end, bare;
	const char *head;
	size_t len;

	skip_empty_lines(in);
	end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	*fault = HTTP_MESSAGE_OK;
	if (end.pos < 0) {
		bare = evbuffer_search(in, "\n\n", 2, NULL);
		if (bare.pos >= 0)
			*fault = HTTP_MESSAGE_FAULT_SYNTAX;
		else if (evbuffer_get_length(in) > max_head)
			*fault = HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE;
		return *fault != HTTP_MESSAGE_OK;
	}
	len = (size_t)end.pos + 4;
	if (len > max_head) {
		*fault = HTTP_MESSAGE_FAULT_HEAD_TOO_LARGE;
		return true;
	}
	head = (const char *)evbuffer_pullup(in, (ev_ssize_t)len);
	if (!is_unambiguous(head, len) || !is_start_line(type, head, len))
		*fault = HTTP_MESSAGE_FAULT_SYNTAX;
	return true;
}

/*
 * Sets @p len to the number of bytes of the head or of the chunked body that
 * may be parsed next.
 */
static bool check_framing(struct http_message *m, struct evbuffer *in,
			  const char *bytes, size_t *len)
{
	struct evbuffer_ptr end;

	if (m->headers_complete)
		return !(m->parser.flags & F_CHUNKED) ||
		       http_chunked_check(&m->chunked, bytes, len);
	end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	if (end.pos >= 0 && (size_t)end.pos + 4 < *len)
		*len = (size_t)end.pos + 4;
	return true;
}

static void parse(struct http_message *m, struct evbuffer *in, bool head_only)
{
	struct evbuffer_iovec chunk;

	while (!m->complete && !m->fault &&
	       !(head_only && m->headers_complete) &&
	       evbuffer_peek(in, -1, NULL, &chunk, 1) > 0 && chunk.iov_len) {
		size_t len = chunk.iov_len;
		enum http_errno error;

		if (!check_framing(m, in, chunk.iov_base, &len)) {
			m->fault = HTTP_MESSAGE_FAULT_SYNTAX;
			return;
		}
		len = http_parser_execute(&m->parser, &callbacks,
					  chunk.iov_base, len);
		error = HTTP_PARSER_ERRNO(&m->parser);
		evbuffer_drain(in, len);
		if (m->fault || error == HPE_OK || error == HPE_PAUSED)
			continue;
		m->fault = error == HPE_INVALID_VERSION
				   ? HTTP_MESSAGE_FAULT_VERSION
				   : HTTP_MESSAGE_FAULT_SYNTAX;
	}
}

void http_message_parse(struct http_message *m, struct evbuffer *in)
{
	parse(m, in, false);
}

void http_message_parse_head(struct http_message *m, struct evbuffer *in)
{
	parse(m, in, true);
}

bool http_message_is_close_delimited(const struct http_message *m)
{
	if (!m->headers_complete || ends_with_head(m))
		return false;
	return !(m->parser.flags & (F_CHUNKED | F_CONTENTLENGTH));
}

void http_message_finish(struct http_message *m)
{
	if (!m->complete && !m->fault)
		http_parser_execute(&m->parser, &callbacks, NULL, 0);
}
