/* A small valid set and shorthand to load it. */
#ifndef CONFIG_TEST_FIXTURE_H
#define CONFIG_TEST_FIXTURE_H

#include "config.h"

/** Objects of a valid set without the enclosing document. */
extern const char fixture_objects[];

/** A set of @p objects in a document of @p schema. */
struct config_set *fixture_set(int schema, const char *objects);
/** The valid set with @p more objects added. */
struct config_set *fixture_set_with(const char *more);
/** Publishes and loads @p set, which must be valid; destroys it. */
const struct config_snapshot *fixture_load(struct config_set *set);
/** Problems as lines "kind name field value: reason"; destroys @p set. */
char *fixture_problems(struct config_set *set);

#endif
