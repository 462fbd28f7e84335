/* The order of routes of one service among the priorities. */
#ifndef CONFIG_ROUTE_ORDER_H
#define CONFIG_ROUTE_ORDER_H

#include "set.h"

/**
 * Reports non-idempotent routes in a lower priority than an idempotent route of
 * the same service: they would be shed first.
 */
void route_order_check(const struct config_set *set,
		       struct config_report *report);

#endif
