/*
 * The parts of a message head by the grammar of RFC 9110 and RFC 9112, which
 * http_parser checks only in part. Private to the package.
 */
#ifndef HTTP_GRAMMAR_H
#define HTTP_GRAMMAR_H

#include "base.h"

/** Whether @p s is a token, as names of fields are. */
bool http_grammar_is_token(struct base_str s);
/** Whether @p c is no control byte, or a tab. */
bool http_grammar_is_text_byte(unsigned char c);
/**
 * Whether @p s, which may be empty, has no control bytes but tabs, as values of
 * fields and reasons.
 */
bool http_grammar_is_text(struct base_str s);
/**
 * Whether @p line, without its line end, is a status line: the version, one
 * space, a status of three digits from 100 to 599, one space, and a reason that
 * may be empty.
 */
bool http_grammar_is_status_line(struct base_str line);

#endif
