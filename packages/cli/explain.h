/* Description of how an account's request on a route is handled. */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include "config.h"

#include <jansson.h>

struct explain_query {
	const struct config_snapshot *snapshot;
	const struct config_route *route;
	/** NULL when no account was given, which only open routes allow. */
	const struct config_account *account;
};

/** Prints the description as text to standard output. */
void explain_print(const struct explain_query *query);
/** @return the description as a new JSON object */
json_t *explain_to_json(const struct explain_query *query);

#endif
