/*
 * A mirror of a registry whose codec is made for tests: keys that begin with
 * `s` are those of servers, and values of the form "NUMBER:..." state their
 * place in the order of their writer.
 */
#ifndef REGISTRY_FIXTURE_H
#define REGISTRY_FIXTURE_H

#include "registry.h"

/* Time for which a leaving server serves on the users' platform. */
#define MIRROR_LEAVE_US (2 * BASE_SECOND_US)

struct registry *mirror_create(void);
/** Applies a write, or with a @p value of NULL a removal. */
void mirror_apply(struct registry *r, const char *key, const char *value,
		  int64_t revision, int64_t now);
/** True when the manifest that is published for peers contains the text. */
bool mirror_publishes(struct registry *r, const char *text);

#endif
