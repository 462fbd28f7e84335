/* Validation of strings in objects. */
#ifndef CONFIG_TEXT_H
#define CONFIG_TEXT_H

#include "base.h"

/** 1 to 64 letters, digits, '.', '_' and '-'. */
bool text_is_name(struct base_str s);
/** 1 to 64 letters and digits; '_' separates the id from the secret. */
bool text_is_key_id(struct base_str s);
/** 64 lower-case hexadecimal digits. */
bool text_is_hash(struct base_str s);
/** "a.b.c.d:port" or "[v6]:port". */
bool text_is_address(struct base_str s);
/** 1 to 16 upper-case letters, or "any". */
bool text_is_method(struct base_str s);
/**
 * "/" or "/segment/segment", at most 256 bytes of printable ASCII without
 * blanks, '?', '#', '"' and '\\'. Segments are not empty, "." or "..".
 */
bool text_is_path_prefix(struct base_str s);

#endif
