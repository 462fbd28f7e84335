/* Description of how an account's request on a route is handled. */
#include "explain.h"
#include "print.h"

#include <inttypes.h>

static const char *retry_rule(const struct config_route *route)
{
	if (route->idempotent)
		return "retried at most once per call chain, within a budget "
		       "of 10% of recent successes";
	return "needs an Idempotency-Key and runs at most once; tried "
	       "elsewhere only after an answer that it did not run";
}

static const char *server_state(const struct config_vm *vm)
{
	if (vm->leaving)
		return "leaving";
	return vm->domain->out ? "domain out" : "active";
}

static size_t active_keys(const struct explain_query *query)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < query->snapshot->key_count; i++)
		if (query->snapshot->keys[i].account == query->account &&
		    !query->snapshot->keys[i].withdrawn)
			count++;
	return count;
}

static const char *access_rule(const struct explain_query *query)
{
	if (query->route->open)
		return "open: runs without a key";
	if (query->account->cancelled)
		return "refused: the account is cancelled";
	if (!active_keys(query))
		return "refused: the account has no active key";
	return "runs with an active key of the account";
}

static const char *method_text(const struct config_route *route)
{
	return route->method.len ? route->method.ptr : "any";
}

static void print_account(const struct explain_query *query)
{
	const struct config_account *account = query->account;

	if (!account) {
		printf("account    none\n");
		return;
	}
	printf("account    %s (%s, active keys: %zu)\n", account->name.ptr,
	       account->cancelled ? "cancelled" : "active", active_keys(query));
	printf("  limits   %" PRId64 " requests/s over all VMs, burst %" PRId64
	       ", weight %" PRId64 "\n",
	       account->rate, account->burst, account->weight);
}

void explain_print(const struct explain_query *query)
{
	const struct config_route *route = query->route;
	const struct config_service *service = route->service;
	size_t i;

	printf("route      %s (%s %s)\n", route->name.ptr, method_text(route),
	       route->path_prefix.ptr);
	printf("access     %s\n", access_rule(query));
	print_account(query);
	printf("priority   %s, level %" PRIu32 " of 0 to %zu, 0 is shed last\n",
	       route->priority->name.ptr, route->priority->level,
	       query->snapshot->priority_count - 1);
	printf("retry      %s: %s\n",
	       route->idempotent ? "idempotent" : "non-idempotent",
	       retry_rule(route));
	printf("request    timeout %" PRId64 " ms, body up to %" PRId64
	       " bytes\n",
	       route->timeout_us / BASE_MS_US, route->max_body_bytes);
	printf("service    %s\n", service->name.ptr);
	printf("  limits   %" PRId64 " slots and %" PRId64
	       " connections per server; from %" PRId64 " slots over %" PRId64
	       " ms after a cold start\n",
	       service->slots, service->connections, service->cold_slots,
	       service->cold_us / BASE_MS_US);
	for (i = 0; i < service->vm_count; i++) {
		const struct config_vm *vm = service->vms[i];

		printf("  server   %-20s %-16s %-22s %s\n", vm->name.ptr,
		       vm->domain->name.ptr, vm->address.ptr, server_state(vm));
	}
}

static json_t *servers_json(const struct config_service *service)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < service->vm_count; i++) {
		const struct config_vm *vm = service->vms[i];

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s}", "name",
						vm->name.ptr, "failure_domain",
						vm->domain->name.ptr,
						"peer_address", vm->address.ptr,
						"state", server_state(vm)));
	}
	return list;
}

static json_t *service_json(const struct config_service *service)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:o}", "name",
			 service->name.ptr, "slots", (json_int_t)service->slots,
			 "connections", (json_int_t)service->connections,
			 "cold_slots", (json_int_t)service->cold_slots,
			 "cold_ms", (json_int_t)(service->cold_us / BASE_MS_US),
			 "servers", servers_json(service));
}

static json_t *account_json(const struct explain_query *query)
{
	const struct config_account *account = query->account;

	if (!account)
		return json_null();
	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:I}", "name",
			 account->name.ptr, "cancelled", account->cancelled,
			 "rate", (json_int_t)account->rate, "burst",
			 (json_int_t)account->burst, "weight",
			 (json_int_t)account->weight, "active_keys",
			 (json_int_t)active_keys(query));
}

json_t *explain_to_json(const struct explain_query *query)
{
	const struct config_route *route = query->route;
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:b, s:b, s:s, s:s, s:I, s:I}", "route",
		route->name.ptr, "method", method_text(route), "path_prefix",
		route->path_prefix.ptr, "open", route->open, "idempotent",
		route->idempotent, "access", access_rule(query), "retry",
		retry_rule(route), "timeout_ms",
		(json_int_t)(route->timeout_us / BASE_MS_US), "max_body_bytes",
		(json_int_t)route->max_body_bytes);

	json_object_set_new(json, "priority",
			    json_pack("{s:s, s:i}", "name",
				      route->priority->name.ptr, "level",
				      (int)route->priority->level));
	json_object_set_new(json, "account", account_json(query));
	json_object_set_new(json, "service", service_json(route->service));
	return json;
}
