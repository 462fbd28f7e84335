/* Advice on a valid set: entries without effect and contradicting limits. */
#include "set.h"

static bool has_state(const struct object *object, const char *state)
{
	return object_text_equals(object, "state", state);
}

static void advise(struct config_report *report, const struct object *object,
		   const char *field, const char *reason)
{
	report_add(report, object_location(object, field),
		   json_object_get(object->json, field), "%s", reason);
}

/* Whether an object of @p kind names @p name in @p field. */
static bool is_referenced(const struct config_set *set, enum object_kind kind,
			  const char *field, const char *name)
{
	const struct object *object, *next;

	HASH_ITER (hh, set->by_name[kind], object, next)
		if (object_text_equals(object, field, name))
			return true;
	return false;
}

/* An object of @p kind has no effect unless one of @p user_kind names it. */
static void advise_unused(const struct config_set *set, enum object_kind kind,
			  enum object_kind user_kind, const char *field,
			  const char *reason, struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, kind, &count);

	for (i = 0; i < count; i++)
		if (!is_referenced(set, user_kind, field, sorted[i]->name))
			advise(report, sorted[i], "name", reason);
	free(sorted);
}

static bool is_usable_vm(const struct config_set *set, const struct object *vm)
{
	const struct object *domain =
		set_find(set, KIND_DOMAIN, object_text(vm, "failure_domain"));

	return has_state(vm, "active") && domain && !has_state(domain, "out");
}

static bool has_usable_vm(const struct config_set *set, const char *service)
{
	const struct object *vm, *next;

	HASH_ITER (hh, set->by_name[KIND_VM], vm, next)
		if (object_text_equals(vm, "service", service) &&
		    is_usable_vm(set, vm))
			return true;
	return false;
}

static void advise_routes(const struct config_set *set,
			  struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_ROUTE, &count);

	for (i = 0; i < count; i++)
		if (!has_usable_vm(set, object_text(sorted[i], "service")))
			advise(report, sorted[i], "service",
			       "all requests are refused: each vm of the "
			       "service is leaving or in a failure_domain that "
			       "is out");
	free(sorted);
}

static bool has_active_key(const struct config_set *set, const char *account)
{
	const struct object *key, *next;

	HASH_ITER (hh, set->by_name[KIND_KEY], key, next)
		if (has_state(key, "active") &&
		    object_text_equals(key, "account", account))
			return true;
	return false;
}

static void advise_accounts(const struct config_set *set,
			    struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_ACCOUNT, &count);

	for (i = 0; i < count; i++)
		if (has_state(sorted[i], "active") &&
		    !has_active_key(set, sorted[i]->name))
			advise(report, sorted[i], "name",
			       "no request matches: no active key belongs to "
			       "the account");
	free(sorted);
}

static void advise_keys(const struct config_set *set,
			struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_KEY, &count);

	for (i = 0; i < count; i++) {
		const struct object *account = set_find(
			set, KIND_ACCOUNT, object_text(sorted[i], "account"));

		if (has_state(sorted[i], "active") && account &&
		    has_state(account, "cancelled"))
			advise(report, sorted[i], "account",
			       "requests with this key are refused: the "
			       "account is cancelled");
	}
	free(sorted);
}

static void advise_services(const struct config_set *set,
			    struct config_report *report)
{
	size_t count, i;
	const struct object **sorted = set_sorted(set, KIND_SERVICE, &count);

	for (i = 0; i < count; i++) {
		const struct object *service = sorted[i];
		int64_t slots = object_int(service, "slots");

		if (object_int(service, "connections") < slots)
			advise(report, service, "connections",
			       "below slots: a request needs a connection, so "
			       "some slots are never used");
		if (!object_int(service, "cold_ms") &&
		    object_int(service, "cold_slots") < slots)
			advise(report, service, "cold_slots",
			       "has no effect with a cold_ms of 0");
	}
	free(sorted);
}

void config_set_advise(const struct config_set *set,
		       struct config_report *report)
{
	advise_unused(set, KIND_REGION, KIND_DOMAIN, "region",
		      "no failure_domain is in it", report);
	advise_unused(set, KIND_DOMAIN, KIND_VM, "failure_domain",
		      "no vm is in it", report);
	advise_unused(set, KIND_SERVICE, KIND_ROUTE, "service",
		      "no route leads to it", report);
	advise_unused(set, KIND_PRIORITY, KIND_ROUTE, "priority",
		      "no route has it", report);
	advise_accounts(set, report);
	advise_keys(set, report);
	advise_routes(set, report);
	advise_services(set, report);
}
