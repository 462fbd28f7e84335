/* A small valid set and helpers to check and load sets. */
#ifndef CONFIG_TEST_FIXTURE_H
#define CONFIG_TEST_FIXTURE_H

#include "config.h"

/** JSON objects of a valid set, without the enclosing document. */
extern const char fixture_objects[];

/** Creates a set from a document of @p schema with @p objects. */
struct config_set *fixture_set(int schema, const char *objects);
/** Creates a set of fixture_objects and @p more objects. */
struct config_set *fixture_set_with(const char *more);
/** Publishes @p set, which must be valid, and loads it; destroys @p set. */
const struct config_snapshot *fixture_load(struct config_set *set);
/**
 * Returns the problems as lines "kind name field value: reason"; destroys
 * @p set. The caller frees the result.
 */
char *fixture_problems(struct config_set *set);

#endif
