/* What a route does with an account's request. */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include "config.h"

#include <jansson.h>

struct explain_query {
	const struct config_snapshot *snapshot;
	const struct config_route *route;
	/** NULL on open routes without an account. */
	const struct config_account *account;
};

/** Prints the answer as text to standard output. */
void explain_print(const struct explain_query *query);
json_t *explain_to_json(const struct explain_query *query);

#endif
