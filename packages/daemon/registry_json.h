/*
 * Bounded decoding of JSON that a registry or its writers send. A few bytes of
 * text can take hundreds of bytes once they are decoded.
 */
#ifndef REGISTRY_JSON_H
#define REGISTRY_JSON_H

#include "base.h"

#include <jansson.h>

/** Limit on the estimated memory of one decoded text, in bytes. */
#define REGISTRY_JSON_MAX_MEMORY (48U << 20)

/**
 * @return the decoded text with one reference, which the caller owns; NULL with
 *         @p err set when it is malformed or would take too much memory
 */
json_t *registry_json_load(struct base_str text, struct base_error *err);

#endif
