/* Check of the priorities that the routes of a service use. */
#ifndef CONFIG_ROUTE_ORDER_H
#define CONFIG_ROUTE_ORDER_H

#include "set.h"

/**
 * Reports non-idempotent routes that have a lower priority than an idempotent
 * route of the same service, because under overload they would be shed first.
 */
void route_order_check(const struct config_set *set,
		       struct config_report *report);

#endif
